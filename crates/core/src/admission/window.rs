//! How many started requests may be without a first token.
//!
//! An engine's queue knows no shares and no deadlines: what waits there waits in
//! the order of arrival, and a flood that got in first is served first. One
//! notices it by first tokens that come late although little waits at the
//! entries. So the entry starts no more than the engines turn into first tokens
//! within a target time: the window grows while they keep it and shrinks when
//! they don't, and whatever waits, waits in the fair queue.

use crate::{
    clock::{ClockTime, TimeSpan},
    config::WorkPriority,
};

/// Window units for one request.
const UNITS: u64 = 1_000;
/// How much the measured time to a first token moves with a new one, in percent.
const GAIN: u64 = 10;

/// The window of one pool.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartWindow {
    limit: u64,
    interactive: u32,
    deferrable: u32,
    reduced_at: ClockTime,
    first_token: TimeSpan,
}

impl StartWindow {
    /// A window that admits `slots` until the first measurements.
    pub fn new(slots: u32, first_token: TimeSpan) -> StartWindow {
        StartWindow {
            limit: u64::from(slots.max(1)) * UNITS,
            interactive: 0,
            deferrable: 0,
            reduced_at: ClockTime::default(),
            first_token,
        }
    }

    /// The slots changed: the window changes along, and is measured again.
    pub fn rescale(&mut self, old: u32, new: u32) {
        let (old, new) = (u64::from(old.max(1)), u64::from(new.max(1)));
        self.limit = (self.limit * new / old).clamp(UNITS, new * UNITS);
    }

    /// The measured time from a start to the first token.
    pub fn first_token(&self) -> TimeSpan {
        self.first_token
    }

    /// How many requests may be without a first token.
    pub fn limit(&self) -> u64 {
        self.limit / UNITS
    }

    /// Whether one more may start. Deferrable work waits at engines behind all
    /// other; it must not keep interactive work from starting.
    pub fn admits(&self, priority: WorkPriority) -> bool {
        let unanswered = match priority {
            WorkPriority::Interactive => self.interactive,
            WorkPriority::Deferrable => self.interactive + self.deferrable,
        };
        u64::from(unanswered) < self.limit()
    }

    /// A request starts.
    pub fn start(&mut self, priority: WorkPriority) {
        *self.unanswered(priority) += 1;
    }

    /// A started request's first token came after `took`; none if it ended
    /// without one.
    pub fn answer(
        &mut self,
        now: ClockTime,
        priority: WorkPriority,
        took: Option<TimeSpan>,
        target: TimeSpan,
        slots: u32,
    ) {
        let busy = u64::from(self.interactive + self.deferrable) * 2 >= self.limit();
        let count = self.unanswered(priority);
        *count = count.saturating_sub(1);
        let (Some(took), WorkPriority::Interactive) = (took, priority) else {
            return;
        };
        let kept = self.first_token.as_millis() * (100 - GAIN);
        let moved = (kept + took.as_millis() * GAIN) / 100;
        self.first_token = TimeSpan::from_millis(moved);
        if took > target {
            if now.since(self.reduced_at) >= target {
                self.reduced_at = now;
                self.limit = (self.limit * 9 / 10).max(UNITS);
            }
        } else if busy {
            let most = u64::from(slots.max(1)) * UNITS;
            self.limit = (self.limit + UNITS * UNITS / self.limit).min(most.max(UNITS));
        }
    }

    fn unanswered(&mut self, priority: WorkPriority) -> &mut u32 {
        match priority {
            WorkPriority::Interactive => &mut self.interactive,
            WorkPriority::Deferrable => &mut self.deferrable,
        }
    }
}
