//! Plain rules for roles, which the planner is measured against.

use crate::{
    clock::ClockTime,
    records::EngineRole,
    roles::{PlannedRoleChange, RoleInputs, planner::serving_counts},
};

/// Roles stay as they were set up.
pub fn static_roles() -> impl FnMut(ClockTime, &RoleInputs) -> Vec<PlannedRoleChange> {
    |_, _| Vec::new()
}

/// Roles follow the demand of the last seconds at once, whatever a change costs:
/// the engines that don't mix are divided as the work is.
pub fn eager_roles() -> impl FnMut(ClockTime, &RoleInputs) -> Vec<PlannedRoleChange> {
    |_, inputs| {
        let counts = serving_counts(&inputs.engines);
        let engines = counts.prefill + counts.decode;
        let prefill = inputs.short.prefill.count() * 1_000 / inputs.rates.prefill.count().max(1);
        let decode = inputs.short.decode.count() * 1_000 / inputs.rates.decode.count().max(1);
        if engines < 2 || prefill + decode == 0 {
            return Vec::new();
        }
        let wanted = (engines * prefill + (prefill + decode) / 2) / (prefill + decode);
        let wanted = wanted.clamp(1, engines - 1);
        let (from, to, count) = match wanted.cmp(&counts.prefill) {
            std::cmp::Ordering::Equal => return Vec::new(),
            std::cmp::Ordering::Greater => (
                EngineRole::Decode,
                EngineRole::Prefill,
                wanted - counts.prefill,
            ),
            std::cmp::Ordering::Less => (
                EngineRole::Prefill,
                EngineRole::Decode,
                counts.prefill - wanted,
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
                reason: format!("{wanted} of {engines} engines prefill"),
            })
            .collect()
    }
}
