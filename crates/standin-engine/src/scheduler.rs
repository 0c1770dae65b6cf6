//! The loop that takes the batch's steps in real time.

use std::time::Duration;

use tokio::time::Instant;

use crate::state::{EngineState, SharedState};

/// How often a stalled engine looks whether it still is.
const STALL_PAUSE: Duration = Duration::from_millis(10);

/// Takes steps until the engine stops. Each step is due a step's cost after the
/// one before it, so that late timers do not add up.
pub(crate) async fn run(state: SharedState) {
    let mut due = Instant::now();
    loop {
        let step = begin(&state);
        let ended = match step {
            StepStart::Idle => {
                tokio::select! {
                    () = state.wake.notified() => {}
                    () = state.token.cancelled() => return,
                }
                due = Instant::now();
                continue;
            }
            StepStart::Stalled => {
                due = Instant::now() + STALL_PAUSE;
                false
            }
            StepStart::Takes(cost) => {
                due += cost;
                true
            }
        };
        tokio::select! {
            () = tokio::time::sleep_until(due) => {}
            () = state.token.cancelled() => return,
        }
        if ended {
            finish(&state);
        }
    }
}

enum StepStart {
    Idle,
    Stalled,
    Takes(Duration),
}

fn begin(state: &EngineState) -> StepStart {
    let mut parts = state.lock();
    if parts.faults.stalled || parts.crashing {
        return StepStart::Stalled;
    }
    let factor = parts.faults.slow_factor.unwrap_or(1);
    match parts.batch.begin_step() {
        None => StepStart::Idle,
        Some(micros) => StepStart::Takes(Duration::from_micros(micros * factor)),
    }
}

fn finish(state: &EngineState) {
    let result = state.lock().batch.finish_step();
    if result.crashed {
        let down = state.lock().faults.crash.as_ref().map(|c| c.down_for);
        state.crash(down.flatten());
        return;
    }
    if !result.prefilled.is_empty() {
        state.keep_kv(result.prefilled);
    }
}
