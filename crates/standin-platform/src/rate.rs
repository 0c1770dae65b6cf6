//! A limit on calls in each second.

use bluebell_core::clock::{ClockTime, TimeSpan};

const WINDOW: TimeSpan = TimeSpan::from_secs(1);

/// Counts calls in windows of one second.
#[derive(Debug)]
pub(crate) struct RateLimit {
    per_second: u64,
    window_start: ClockTime,
    taken: u64,
}

impl RateLimit {
    pub(crate) fn new(per_second: u64) -> RateLimit {
        RateLimit {
            per_second,
            window_start: ClockTime::default(),
            taken: 0,
        }
    }

    /// Takes one call, or answers `false` if this second's are used up.
    pub(crate) fn take(&mut self, now: ClockTime) -> bool {
        if now.since(self.window_start) >= WINDOW {
            self.window_start = now;
            self.taken = 0;
        }
        let allowed = self.taken < self.per_second;
        self.taken += u64::from(allowed);
        allowed
    }
}
