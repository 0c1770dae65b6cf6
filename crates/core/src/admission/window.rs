//! Limits the number of started requests without a first token.
//!
//! An engine's queue implements neither shares nor deadlines: requests wait there in
//! the order of arrival, so a flood that arrived first is served first. The symptom is
//! late first tokens while few requests are queued at the entries. An entry therefore
//! starts only as many requests as the engines answer with a first token within a
//! target time: the window grows while they meet the target and shrinks when they miss
//! it, so that requests wait in the fair queue instead.

use crate::{
    clock::{ClockTime, TimeSpan},
    config::WorkPriority,
};

/// Window units per request.
const UNITS_PER_REQUEST: u64 = 1_000;
/// Weight of a new time to the first token in the moving average, in percent.
const FIRST_TOKEN_GAIN: u64 = 10;

/// The window of one pool.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartWindow {
    limit: u64,
    interactive_pending: u32,
    deferrable_pending: u32,
    last_reduction: ClockTime,
    first_token: TimeSpan,
}

impl StartWindow {
    /// Creates a window that admits `slots` requests until the first measurements.
    pub fn new(slots: u32, first_token: TimeSpan) -> StartWindow {
        StartWindow {
            limit: u64::from(slots.max(1)) * UNITS_PER_REQUEST,
            interactive_pending: 0,
            deferrable_pending: 0,
            last_reduction: ClockTime::default(),
            first_token,
        }
    }

    /// Scales the limit with the number of slots; measurements then adjust it again.
    pub fn rescale(&mut self, old: u32, new: u32) {
        let (old, new) = (u64::from(old.max(1)), u64::from(new.max(1)));
        self.limit = (self.limit * new / old).clamp(UNITS_PER_REQUEST, new * UNITS_PER_REQUEST);
    }

    /// Moving average of the time from a start to the first token.
    pub fn first_token(&self) -> TimeSpan {
        self.first_token
    }

    /// Maximum number of started requests without a first token.
    pub fn limit(&self) -> u64 {
        self.limit / UNITS_PER_REQUEST
    }

    /// Whether one more request may start. Deferrable requests wait at engines behind
    /// all others and must not keep interactive ones from starting.
    pub fn admits(&self, priority: WorkPriority) -> bool {
        let pending = match priority {
            WorkPriority::Interactive => self.interactive_pending,
            WorkPriority::Deferrable => self.interactive_pending + self.deferrable_pending,
        };
        u64::from(pending) < self.limit()
    }

    /// Counts a request that starts.
    pub fn record_start(&mut self, priority: WorkPriority) {
        *self.pending_mut(priority) += 1;
    }

    /// Records that a started request produced its first token after `elapsed`, or
    /// ended without one. Adjusts the limit by the first tokens of interactive
    /// requests.
    pub fn record_first_token(
        &mut self,
        now: ClockTime,
        priority: WorkPriority,
        elapsed: Option<TimeSpan>,
        target: TimeSpan,
        slots: u32,
    ) {
        let is_half_used =
            u64::from(self.interactive_pending + self.deferrable_pending) * 2 >= self.limit();
        let count = self.pending_mut(priority);
        *count = count.saturating_sub(1);
        let (Some(elapsed), WorkPriority::Interactive) = (elapsed, priority) else {
            return;
        };
        let weighted_ms = self.first_token.as_millis() * (100 - FIRST_TOKEN_GAIN);
        let average_ms = (weighted_ms + elapsed.as_millis() * FIRST_TOKEN_GAIN) / 100;
        self.first_token = TimeSpan::from_millis(average_ms);
        if elapsed > target {
            if now.since(self.last_reduction) >= target {
                self.last_reduction = now;
                self.limit = (self.limit * 9 / 10).max(UNITS_PER_REQUEST);
            }
        } else if is_half_used {
            let max_limit = u64::from(slots.max(1)) * UNITS_PER_REQUEST;
            self.limit = (self.limit + UNITS_PER_REQUEST * UNITS_PER_REQUEST / self.limit)
                .min(max_limit.max(UNITS_PER_REQUEST));
        }
    }

    fn pending_mut(&mut self, priority: WorkPriority) -> &mut u32 {
        match priority {
            WorkPriority::Interactive => &mut self.interactive_pending,
            WorkPriority::Deferrable => &mut self.deferrable_pending,
        }
    }
}
