//! The cost of one more request at an engine that runs a limited number at once.

/// Cost in ms that each running request adds to an engine that decodes.
const RUNNING_REQUEST_COST_MS: f64 = 1.0;

/// Share of the slots up to which a running request adds no more than that. Beyond it, the
/// requests that arrive before the others of the fleet know of this one may find no slot.
const UNCROWDED_SHARE: f64 = 0.75;

/// Cost in ms of the last free slot: as much as a caller notices in the first token.
const LAST_SLOT_COST_MS: f64 = 100.0;

/// Cost in ms of a request that finds no free slot. Callers abandon a stream without events
/// for that long, so an engine with a free slot is better however long its queue is.
const FULL_ENGINE_COST_MS: f64 = 2_000.0;

/// Returns the cost in ms of one more request at an engine that runs `running` requests, without
/// the wait for a slot.
pub(super) fn running_cost_ms(running: u32) -> f64 {
    f64::from(running) * RUNNING_REQUEST_COST_MS
}

/// Returns the cost in ms of one more request at an engine that runs `running` requests and
/// runs `slots` at once; 0 slots if the number is unknown.
///
/// Below three quarters of the slots the cost grows by little with each request. It rises up
/// to the last slot, and with each request that waits for one.
pub fn slot_cost_ms(running: u32, slots: u32) -> f64 {
    let running_ms = running_cost_ms(running);
    if slots == 0 {
        return running_ms;
    }
    let (running, slots) = (f64::from(running), f64::from(slots));
    if running >= slots {
        let waiting = running - slots + 1.0;
        return running_ms + FULL_ENGINE_COST_MS * (1.0 + waiting / slots);
    }
    let uncrowded = slots * UNCROWDED_SHARE;
    let crowding = ((running + 1.0 - uncrowded) / (slots - uncrowded)).max(0.0);
    running_ms + LAST_SLOT_COST_MS * crowding.powi(2)
}
