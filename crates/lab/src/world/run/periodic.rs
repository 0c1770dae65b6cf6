//! What happens at fixed times: reports, gossip, capacity and roles.

use bluebell_core::{
    admission::PoolCapacity,
    clock::{ClockTime, TimeSpan},
    roles::{EngineRates, RoleEngine, RoleInputs},
    units::TokenRate,
};

use super::{LabRun, LateStep, SPEED, engine_id, engine_index};
use crate::world::{entry::exchange, model_pool};

/// How long an engine is away for a change of role, once it is empty.
const ROLE_CHANGE: TimeSpan = TimeSpan::from_secs(5);
/// How often roles are planned.
const ROLE_PERIOD: u64 = 5_000;
/// The percent of the engines' slots that entries use, as their load is never
/// quite even.
const SLOT_PERCENT: u32 = 90;

impl LabRun<'_> {
    /// What happens at fixed times: reports, gossip, capacity, roles.
    pub(super) fn tell(&mut self, now: ClockTime) {
        let millis = now.as_millis();
        if millis.is_multiple_of(100) {
            for engine in &mut self.engines {
                if engine.alive && millis.is_multiple_of(500) {
                    engine.measure(now);
                }
            }
            for index in 0..self.entries.len() {
                let actions = self.entries[index].advance(now);
                self.act(now, actions);
            }
        }
        if millis.is_multiple_of(1_000) {
            exchange(now, &mut self.entries);
            self.report_loads(now);
        }
        if millis.is_multiple_of(200) {
            self.share_slots(now);
        }
        if millis.is_multiple_of(ROLE_PERIOD) && millis > 0 {
            self.plan_roles(now);
        }
        self.drained(now);
    }

    pub(super) fn report_loads(&mut self, now: ClockTime) {
        for (index, engine) in self.engines.iter().enumerate() {
            let Some((measured_at, load)) = engine.report(now, self.policy.report_lag) else {
                continue;
            };
            for entry in &mut self.entries {
                entry
                    .router
                    .note_report(measured_at, &engine_id(index), load);
            }
        }
    }

    pub(super) fn share_slots(&mut self, now: ClockTime) {
        let live = self.entries.iter().filter(|entry| entry.alive).count() as u32;
        for index in 0..self.entries.len() {
            let entry = &mut self.entries[index];
            if !entry.alive {
                continue;
            }
            let load = entry.router.pool_load(now, &model_pool());
            let total = load.slots * SLOT_PERCENT / 100;
            let (own, others) = (load.local as u32, load.remote as u32);
            let slots = PoolCapacity::shared_slots(total, live, own, others);
            let rate = u64::from(load.available) * 6_000 / u64::from(live);
            let actions = entry.set_slots(now, slots, rate);
            self.act(now, actions);
        }
    }

    pub(super) fn plan_roles(&mut self, now: ClockTime) {
        let Some(demand) = self.demand.demands(now).pop() else {
            return;
        };
        let engine = |index: usize| {
            let view = &self.views[index];
            RoleEngine {
                endpoint: engine_id(index),
                failure_domain: self.scenario.domain_of(index).clone(),
                role: view.changing_to.unwrap_or(self.engines[index].role),
                serving: self.engines[index].alive && !view.leaving,
                changing: view.changing_to.is_some(),
                changed_at: view.changed_at,
            }
        };
        let inputs = RoleInputs {
            engines: (0..self.engines.len()).map(engine).collect(),
            short: demand.short,
            long: demand.long,
            rates: EngineRates {
                prefill: TokenRate::new(SPEED.prefill as u64),
                decode: TokenRate::new(SPEED.decode as u64),
                mixed_percent: 80,
            },
        };
        for change in (self.roles)(now, &inputs) {
            let index = engine_index(&change.endpoint);
            self.views[index].leaving = true;
            self.views[index].changing_to = Some(change.to);
            self.result.role_changes += 1;
            self.publish(now, index);
        }
    }

    /// An engine that is to change and has become empty changes now.
    pub(super) fn drained(&mut self, now: ClockTime) {
        for index in 0..self.engines.len() {
            if self.views[index].changing_to.is_none() || self.engines[index].requests() > 0 {
                continue;
            }
            let step = LateStep::NewRole(index);
            if !self.steps.iter().any(|(_, planned)| *planned == step) {
                self.steps.insert((now + ROLE_CHANGE, step));
            }
        }
    }

    pub(super) fn take_role(&mut self, now: ClockTime, index: usize) {
        let view = &mut self.views[index];
        if let Some(role) = view.changing_to.take() {
            self.engines[index].role = role;
        }
        view.changed_at = Some(now);
        view.leaving = false;
        self.publish(now, index);
    }
}
