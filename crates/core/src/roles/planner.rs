//! Plans role changes whose gain exceeds their cost.

use serde::{Deserialize, Serialize};

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{EndpointId, FailureDomain},
    records::EngineRole,
    roles::{EngineRates, RoleCounts, TokenDemand, servable_share},
};

const ROLES: [EngineRole; 3] = [EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode];
/// Roles that the planner may assign. In a fleet with separate roles a mixed engine is the
/// slowest, because prompts interrupt its output, so only operators configure mixed
/// engines.
const ASSIGNABLE_ROLES: [EngineRole; 2] = [EngineRole::Prefill, EngineRole::Decode];

/// Settings that decide when a change of role is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoleSettings {
    /// How long the demand is assumed to stay constant.
    pub horizon: TimeSpan,
    /// How long an engine is unavailable during a change, including the drain.
    pub change_time: TimeSpan,
    /// Minimum time between two role changes of an engine.
    #[serde(rename = "rest")]
    pub min_role_time: TimeSpan,
    /// The servable share of the demand to aim for, in thousandths, including headroom.
    /// Capacity beyond it is not counted as a gain.
    #[serde(rename = "enough")]
    pub target_share: u64,
    /// Minimum gain over the horizon, in thousandths of the demand.
    #[serde(rename = "least_gain")]
    pub min_gain: u64,
}

impl Default for RoleSettings {
    fn default() -> RoleSettings {
        RoleSettings {
            horizon: TimeSpan::from_secs(90),
            change_time: TimeSpan::from_secs(8),
            min_role_time: TimeSpan::from_secs(45),
            target_share: 1_300,
            min_gain: 20,
        }
    }
}

/// The state of an engine, as input to the planner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleEngine {
    /// The endpoint id of the engine.
    pub endpoint: EndpointId,
    /// The failure domain of the engine.
    pub failure_domain: FailureDomain,
    /// The current role, or the new one while it changes.
    pub role: EngineRole,
    /// Whether it serves requests; an engine that is changing, starting or leaving
    /// doesn't.
    pub serving: bool,
    /// Whether a change of it is in progress or ordered.
    pub changing: bool,
    /// When its role was last changed.
    pub changed_at: Option<ClockTime>,
}

/// The input to the planner, for the engines of one model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleInputs {
    /// The engines.
    pub engines: Vec<RoleEngine>,
    /// The demand of the short window, summed over all entries.
    pub short: TokenDemand,
    /// The demand of the long window, summed over all entries.
    pub long: TokenDemand,
    /// The throughput of one engine.
    pub rates: EngineRates,
}

/// A planned change of an engine's role.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedRoleChange {
    /// The engine.
    pub endpoint: EndpointId,
    /// The current role.
    pub from: EngineRole,
    /// The new role.
    pub to: EngineRole,
    /// The reason, for the decision record.
    pub reason: String,
}

/// Plans role changes.
#[derive(Clone, Copy, Debug)]
pub struct RolePlanner {
    settings: RoleSettings,
}

/// The gain of changing one engine from a role to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RoleGain {
    from: EngineRole,
    to: EngineRole,
    /// The gain over the horizon, in thousandths of the demand times milliseconds.
    gain: i64,
    share_before: u64,
    share_after: u64,
}

impl RolePlanner {
    /// Creates a planner with these settings.
    pub fn new(settings: RoleSettings) -> RolePlanner {
        RolePlanner { settings }
    }

    /// Returns the changes to order at `now`: at most one in each failure domain, counting
    /// those in progress, and each only if it is a gain after the ones before it.
    pub fn plan(&self, now: ClockTime, inputs: &RoleInputs) -> Vec<PlannedRoleChange> {
        let mut counts = serving_counts(&inputs.engines);
        let mut busy_domains: Vec<&FailureDomain> = Vec::new();
        for engine in inputs.engines.iter().filter(|engine| engine.changing) {
            busy_domains.push(&engine.failure_domain);
            // The engine will serve again in its new role, which `role` already holds.
            if !engine.serving {
                *counts.of(engine.role) += 1;
            }
        }
        let mut planned = Vec::new();
        loop {
            let candidates: Vec<&RoleEngine> = inputs
                .engines
                .iter()
                .filter(|engine| {
                    self.may_change(now, engine) && !busy_domains.contains(&&engine.failure_domain)
                })
                .collect();
            let Some((engine, best)) = self.best_change(&candidates, counts, inputs) else {
                return planned;
            };
            busy_domains.push(&engine.failure_domain);
            counts = counts.without(best.from).with(best.to);
            planned.push(self.planned(engine, best));
        }
    }

    fn may_change(&self, now: ClockTime, engine: &RoleEngine) -> bool {
        let min_time_passed = |at| now.since(at) >= self.settings.min_role_time;
        engine.serving && !engine.changing && engine.changed_at.is_none_or(min_time_passed)
    }

    fn best_change<'a>(
        &self,
        candidates: &[&'a RoleEngine],
        counts: RoleCounts,
        inputs: &RoleInputs,
    ) -> Option<(&'a RoleEngine, RoleGain)> {
        let mut best: Option<(&RoleEngine, RoleGain)> = None;
        for from in ROLES {
            let Some(engine) = candidates.iter().find(|engine| engine.role == from) else {
                continue;
            };
            for to in ASSIGNABLE_ROLES.into_iter().filter(|to| *to != from) {
                let Some(gain) = self.gain(from, to, counts, inputs) else {
                    continue;
                };
                if best.is_none_or(|(_, current)| gain.gain > current.gain) {
                    best = Some((engine, gain));
                }
            }
        }
        best
    }

    /// The gain of a change by the short or the long window, whichever is less; `None` if
    /// it is below the minimum. A burst raises the demand of the short window only, and
    /// demand that has ended remains in the long window only.
    fn gain(
        &self,
        from: EngineRole,
        to: EngineRole,
        counts: RoleCounts,
        inputs: &RoleInputs,
    ) -> Option<RoleGain> {
        let settings = &self.settings;
        let after = counts.without(from).with(to);
        // Without prefill or without decode no request can complete.
        let covers_both_stages = after.mixed > 0 || (after.prefill > 0 && after.decode > 0);
        if !covers_both_stages {
            return None;
        }
        let gain_by = |demand: TokenDemand| {
            let share =
                |counts| servable_share(counts, demand, inputs.rates).min(settings.target_share);
            let (before, during) = (share(counts), share(counts.without(from)));
            let after = share(after);
            let time_after = settings
                .horizon
                .saturating_sub(settings.change_time)
                .as_millis();
            let gained = (after as i64 - before as i64) * time_after as i64;
            let lost = (before as i64 - during as i64) * settings.change_time.as_millis() as i64;
            RoleGain {
                from,
                to,
                gain: gained - lost,
                share_before: before,
                share_after: after,
            }
        };
        let (short, long) = (gain_by(inputs.short), gain_by(inputs.long));
        let smaller = match short.gain <= long.gain {
            true => short,
            false => long,
        };
        let required = (settings.min_gain * settings.horizon.as_millis()) as i64;
        (smaller.gain >= required).then_some(smaller)
    }

    fn planned(&self, engine: &RoleEngine, gain: RoleGain) -> PlannedRoleChange {
        let percent = |share: u64| share / 10;
        PlannedRoleChange {
            endpoint: engine.endpoint.clone(),
            from: gain.from,
            to: gain.to,
            reason: format!(
                "{} to {}: {}% of the demand can be served instead of {}%, a net gain of {} after a change of {} over {}",
                gain.from,
                gain.to,
                percent(gain.share_after),
                percent(gain.share_before),
                format_args!(
                    "{}%",
                    gain.gain / self.settings.horizon.as_millis().max(1) as i64 / 10
                ),
                self.settings.change_time,
                self.settings.horizon,
            ),
        }
    }
}

/// The number of serving engines in each role.
pub(super) fn serving_counts(engines: &[RoleEngine]) -> RoleCounts {
    let mut counts = RoleCounts::default();
    for engine in engines.iter().filter(|engine| engine.serving) {
        *counts.of(engine.role) += 1;
    }
    counts
}
