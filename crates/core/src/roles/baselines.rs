//! Simple role policies, as baselines for the planner in simulations.

use crate::{
    clock::ClockTime,
    records::EngineRole,
    roles::{PlannedRoleChange, RoleInputs, planner::serving_counts},
};

/// A policy that never changes a role.
pub fn static_roles() -> impl FnMut(ClockTime, &RoleInputs) -> Vec<PlannedRoleChange> {
    |_, _| Vec::new()
}

/// A policy that follows the demand of the short window at once, regardless of the cost
/// of a change: it splits the engines with separate roles in proportion to the work.
pub fn eager_roles() -> impl FnMut(ClockTime, &RoleInputs) -> Vec<PlannedRoleChange> {
    |_, inputs| {
        let counts = serving_counts(&inputs.engines);
        let engines = counts.prefill + counts.decode;
        let prefill = inputs.short.prefill.count() * 1_000 / inputs.rates.prefill.count().max(1);
        let decode = inputs.short.decode.count() * 1_000 / inputs.rates.decode.count().max(1);
        if engines < 2 || prefill + decode == 0 {
            return Vec::new();
        }
        let wanted_prefill = (engines * prefill + (prefill + decode) / 2) / (prefill + decode);
        let wanted_prefill = wanted_prefill.clamp(1, engines - 1);
        let (from, to, count) = match wanted_prefill.cmp(&counts.prefill) {
            std::cmp::Ordering::Equal => return Vec::new(),
            std::cmp::Ordering::Greater => (
                EngineRole::Decode,
                EngineRole::Prefill,
                wanted_prefill - counts.prefill,
            ),
            std::cmp::Ordering::Less => (
                EngineRole::Prefill,
                EngineRole::Decode,
                counts.prefill - wanted_prefill,
            ),
        };
        let free = inputs
            .engines
            .iter()
            .filter(|engine| engine.serving && !engine.changing && engine.role == from);
        free.take(count as usize)
            .map(|engine| PlannedRoleChange {
                endpoint: engine.endpoint.clone(),
                from,
                to,
                reason: format!("{wanted_prefill} of {engines} engines should prefill"),
            })
            .collect()
    }
}
