//! The times of a planned stop, in which requests that are open are still answered.
//!
//! The process is killed when its grace period is over, and a request that is open by then ends
//! without an answer. Requests that arrive during the stop therefore get an earlier deadline, and one
//! that arrives late is accepted only if its own deadline is early enough.

use crate::clock::{ClockTime, TimeSpan};

/// How long after the signal connections and requests are still accepted. The platform probes
/// readiness once a second and needs two negative answers to route callers to other
/// instances; callers with a persistent connection continue to use it.
const ACCEPT_TIME: TimeSpan = TimeSpan::from_millis(2_600);

/// How long a connection without a request stays open after no further ones are accepted. Callers
/// are a few ms away, and a request that was already sent is served.
pub const FIRST_REQUEST_TIME: TimeSpan = TimeSpan::from_millis(100);

/// How long before the process would be killed the last requests are answered. The answers take a
/// round trip, and the process then exits by itself, so that it can log what is unfinished.
const ANSWER_MARGIN: TimeSpan = TimeSpan::from_millis(350);

/// The time for writing the last answers.
pub const LAST_ANSWERS_TIME: TimeSpan = TimeSpan::from_millis(200);

/// The times of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    signalled: ClockTime,
    grace: TimeSpan,
}

impl ShutdownSchedule {
    /// The times of a stop that was signalled at `signalled`, of a process that is killed after
    /// `grace`.
    pub fn new(signalled: ClockTime, grace: TimeSpan) -> ShutdownSchedule {
        ShutdownSchedule { signalled, grace }
    }

    /// When no further connections are accepted.
    pub fn closes_at(&self) -> ClockTime {
        self.signalled + ACCEPT_TIME.min(TimeSpan::from_millis(self.grace.as_millis() / 2))
    }

    /// When all requests have to be answered.
    pub fn answers_due(&self) -> ClockTime {
        self.signalled + self.grace.saturating_sub(ANSWER_MARGIN)
    }

    /// The deadline of a request that its caller waits for until `deadline`.
    pub fn cap_deadline(&self, deadline: ClockTime) -> ClockTime {
        deadline.min(self.answers_due())
    }

    /// Whether a request is accepted that has been read at `now` and whose caller waits until
    /// `deadline`.
    pub fn accepts(&self, now: ClockTime, deadline: ClockTime) -> bool {
        now <= self.closes_at() + FIRST_REQUEST_TIME || deadline <= self.answers_due()
    }
}
