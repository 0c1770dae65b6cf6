//! Which changes of role pay for themselves.

use serde::{Deserialize, Serialize};

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{EndpointId, FailureDomain},
    records::EngineRole,
    roles::{EngineRates, RoleCounts, TokenDemand, servable_share},
};

const ROLES: [EngineRole; 3] = [EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode];
/// Roles that engines are given. In a fleet of separate roles an engine that
/// does both answers slowest of all, as its prompts interrupt its answers: which
/// engines mix is for operators to set up.
const NEW_ROLES: [EngineRole; 2] = [EngineRole::Prefill, EngineRole::Decode];

/// When a change of role is worth it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoleSettings {
    /// For how long the demand is taken to stay as it is.
    pub horizon: TimeSpan,
    /// How long an engine is away while it changes, draining included.
    pub change_time: TimeSpan,
    /// How long an engine keeps a role at least.
    #[serde(rename = "rest")]
    pub min_role_time: TimeSpan,
    /// The headroom to keep, as the share of the demand that can be served, in
    /// thousandths: beyond it more capacity gains nothing.
    #[serde(rename = "enough")]
    pub target_share: u64,
    /// The least gain over the horizon, in thousandths of the demand.
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

/// An engine as the planner sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleEngine {
    /// Which.
    pub endpoint: EndpointId,
    /// Where.
    pub failure_domain: FailureDomain,
    /// What it does.
    pub role: EngineRole,
    /// Whether it serves now; one that is changing, starting or leaving doesn't.
    pub serving: bool,
    /// Whether a change of it is under way or ordered.
    pub changing: bool,
    /// When its role was last changed.
    pub changed_at: Option<ClockTime>,
}

/// What the planner goes by, for the engines of one model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleInputs {
    /// The engines.
    pub engines: Vec<RoleEngine>,
    /// What is asked for now, over all entries.
    pub short: TokenDemand,
    /// What has been asked for all along, over all entries.
    pub long: TokenDemand,
    /// What one engine does.
    pub rates: EngineRates,
}

/// A change of an engine's role.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedRoleChange {
    /// The engine.
    pub endpoint: EndpointId,
    /// Its role now.
    pub from: EngineRole,
    /// Its new role.
    pub to: EngineRole,
    /// Why, for the journal.
    pub reason: String,
}

/// Plans changes of role.
#[derive(Clone, Copy, Debug)]
pub struct RolePlanner {
    settings: RoleSettings,
}

/// A change of one engine from a role to another, and what it gains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RoleGain {
    from: EngineRole,
    to: EngineRole,
    /// In thousandths of the demand times milliseconds.
    gain: i64,
    share_before: u64,
    share_after: u64,
}

impl RolePlanner {
    /// A planner with these settings.
    pub fn new(settings: RoleSettings) -> RolePlanner {
        RolePlanner { settings }
    }

    /// The changes to order now: at most one in each failure domain, counting
    /// those under way, and each only if it pays for itself after the ones
    /// before it.
    pub fn plan(&self, now: ClockTime, inputs: &RoleInputs) -> Vec<PlannedRoleChange> {
        let mut counts = serving_counts(&inputs.engines);
        let mut busy: Vec<&FailureDomain> = Vec::new();
        for engine in inputs.engines.iter().filter(|engine| engine.changing) {
            busy.push(&engine.failure_domain);
            // It will serve again in its new role, which `role` already names.
            if !engine.serving {
                *counts.of(engine.role) += 1;
            }
        }
        let mut planned = Vec::new();
        loop {
            let free: Vec<&RoleEngine> = inputs
                .engines
                .iter()
                .filter(|engine| {
                    self.may_change(now, engine) && !busy.contains(&&engine.failure_domain)
                })
                .collect();
            let Some((engine, best)) = self.best(&free, counts, inputs) else {
                return planned;
            };
            busy.push(&engine.failure_domain);
            counts = counts.without(best.from).with(best.to);
            planned.push(self.planned(engine, best));
        }
    }

    fn may_change(&self, now: ClockTime, engine: &RoleEngine) -> bool {
        let rested = |at| now.since(at) >= self.settings.min_role_time;
        engine.serving && !engine.changing && engine.changed_at.is_none_or(rested)
    }

    fn best<'a>(
        &self,
        free: &[&'a RoleEngine],
        counts: RoleCounts,
        inputs: &RoleInputs,
    ) -> Option<(&'a RoleEngine, RoleGain)> {
        let mut best: Option<(&RoleEngine, RoleGain)> = None;
        for from in ROLES {
            let Some(engine) = free.iter().find(|engine| engine.role == from) else {
                continue;
            };
            for to in NEW_ROLES.into_iter().filter(|to| *to != from) {
                let Some(gain) = self.gain(from, to, counts, inputs) else {
                    continue;
                };
                if best.is_none_or(|(_, known)| gain.gain > known.gain) {
                    best = Some((engine, gain));
                }
            }
        }
        best
    }

    /// What a change gains by the short and the long window, whichever is less;
    /// none if that is too little. A burst shows in the short window only, and
    /// the end of a shift in the long one only.
    fn gain(
        &self,
        from: EngineRole,
        to: EngineRole,
        counts: RoleCounts,
        inputs: &RoleInputs,
    ) -> Option<RoleGain> {
        let settings = &self.settings;
        let after = counts.without(from).with(to);
        // Without prefill or without decode a prompt can't get through at all.
        let whole = after.mixed > 0 || (after.prefill > 0 && after.decode > 0);
        if !whole {
            return None;
        }
        let gain_by = |demand: TokenDemand| {
            let share =
                |counts| servable_share(counts, demand, inputs.rates).min(settings.target_share);
            let (before, during) = (share(counts), share(counts.without(from)));
            let after = share(after);
            let rest = settings
                .horizon
                .saturating_sub(settings.change_time)
                .as_millis();
            let won = (after as i64 - before as i64) * rest as i64;
            let lost = (before as i64 - during as i64) * settings.change_time.as_millis() as i64;
            RoleGain {
                from,
                to,
                gain: won - lost,
                share_before: before,
                share_after: after,
            }
        };
        let (short, long) = (gain_by(inputs.short), gain_by(inputs.long));
        let least = match short.gain <= long.gain {
            true => short,
            false => long,
        };
        let needed = (settings.min_gain * settings.horizon.as_millis()) as i64;
        (least.gain >= needed).then_some(least)
    }

    fn planned(&self, engine: &RoleEngine, gain: RoleGain) -> PlannedRoleChange {
        let percent = |share: u64| share / 10;
        PlannedRoleChange {
            endpoint: engine.endpoint.clone(),
            from: gain.from,
            to: gain.to,
            reason: format!(
                "{} to {}: serves {}% of the demand in place of {}%, worth {} after {} away over {}",
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

/// How many engines serve in each role.
pub(super) fn serving_counts(engines: &[RoleEngine]) -> RoleCounts {
    let mut counts = RoleCounts::default();
    for engine in engines.iter().filter(|engine| engine.serving) {
        *counts.of(engine.role) += 1;
    }
    counts
}
