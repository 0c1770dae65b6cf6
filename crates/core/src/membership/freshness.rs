//! The freshness of a process's copy of the log.
//!
//! A process that is partitioned from the platform and from all of its readers receives
//! no withdrawal of a key. It can bound for how long this may have been the case: by
//! the time since it last knew the log's end and had applied everything before it.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::LogOffset,
};

/// The maximum number of confirmations that wait for their entries to be applied.
const PENDING_LIMIT: usize = 32;

/// A confirmation that the log ended at `end` at the time `at`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEndConfirmation {
    /// The time, on the clock of the process that holds the confirmation.
    pub at: ClockTime,
    /// The end of the log, which is the offset of the next append.
    pub end: LogOffset,
}

impl LogEndConfirmation {
    /// The confirmation in a peer's heartbeat. The peer sent it after it had received
    /// what this process sent at `echoed`, and reported that its own confirmation, with
    /// everything before `next` applied, was `age` old. The heartbeat's time in transit
    /// does not matter, and no two clocks are compared.
    pub fn with_heartbeat(echoed: ClockTime, age: TimeSpan, next: LogOffset) -> LogEndConfirmation {
        LogEndConfirmation {
            at: echoed - age,
            end: next,
        }
    }
}

/// The log ends that were confirmed to one process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogFreshness {
    known_at: Option<ClockTime>,
    pending: VecDeque<LogEndConfirmation>,
}

impl LogFreshness {
    /// The state before any confirmation.
    pub fn new() -> LogFreshness {
        LogFreshness::default()
    }

    /// Records a confirmation, which takes effect once everything before its end has been
    /// applied. `next` is the offset of the next entry to apply.
    pub fn confirm(&mut self, confirmation: LogEndConfirmation, next: LogOffset) {
        if self.known_at.is_some_and(|known| known >= confirmation.at) {
            return;
        }
        self.pending.push_back(confirmation);
        if self.pending.len() > PENDING_LIMIT {
            // The oldest takes effect first, and the newest is the freshest, so one in
            // between is dropped.
            self.pending.remove(1);
        }
        self.advance(next);
    }

    /// Records that everything before `next` has been applied.
    pub fn advance(&mut self, next: LogOffset) {
        let reached = self.pending.iter().filter(|pending| pending.end <= next);
        let newest = reached.map(|pending| pending.at).max();
        self.known_at = self.known_at.max(newest);
        let known_at = self.known_at;
        self.pending
            .retain(|pending| pending.end > next && Some(pending.at) > known_at);
    }

    /// The age of the newest confirmation in effect: every record that was in the log
    /// longer ago than this has been applied. `None` if there was no confirmation.
    pub fn age(&self, now: ClockTime) -> Option<TimeSpan> {
        self.known_at.map(|known_at| now.since(known_at))
    }
}
