//! How fresh a process's knowledge of the log is.
//!
//! A process that is cut off from the platform and from everybody who reads it
//! cannot learn that a key was withdrawn. It can know how long that may have
//! been so: the age of the last moment at which it knew the log's end and had
//! applied everything before it.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::LogOffset,
};

/// How many confirmations may wait for their entries to be applied.
const PENDING_LIMIT: usize = 32;

/// What a confirmation says: at `at`, on the reader's clock, the log ended at `end`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEndConfirmation {
    /// When.
    pub at: ClockTime,
    /// The offset that the next append would get.
    pub end: LogOffset,
}

impl LogEndConfirmation {
    /// What a peer's heartbeat confirms. The peer sent it after it had received
    /// what this process sent at `echoed`, and said that its own knowledge,
    /// with everything before `next` applied, was `age` old. How long the
    /// heartbeat travelled does not matter, and no two clocks are compared.
    pub fn with_heartbeat(echoed: ClockTime, age: TimeSpan, next: LogOffset) -> LogEndConfirmation {
        LogEndConfirmation {
            at: echoed - age,
            end: next,
        }
    }
}

/// What one process knows of the log's end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogFreshness {
    known_at: Option<ClockTime>,
    pending: VecDeque<LogEndConfirmation>,
}

impl LogFreshness {
    /// Nothing known yet.
    pub fn new() -> LogFreshness {
        LogFreshness::default()
    }

    /// Takes a confirmation; it counts once everything before its end is applied.
    pub fn confirm(&mut self, confirmation: LogEndConfirmation, next: LogOffset) {
        if self.known_at.is_some_and(|known| known >= confirmation.at) {
            return;
        }
        self.pending.push_back(confirmation);
        if self.pending.len() > PENDING_LIMIT {
            // The oldest is the likeliest to be applied soon; the ones between
            // it and the newest are the least use.
            self.pending.remove(1);
        }
        self.advance(next);
    }

    /// Notes that everything before `next` has been applied.
    pub fn advance(&mut self, next: LogOffset) {
        let reached = self.pending.iter().filter(|pending| pending.end <= next);
        let newest = reached.map(|pending| pending.at).max();
        self.known_at = self.known_at.max(newest);
        let known_at = self.known_at;
        self.pending
            .retain(|pending| pending.end > next && Some(pending.at) > known_at);
    }

    /// The age of the newest confirmed knowledge: no record that stood in the
    /// log longer ago than this is missing. None if there never was any.
    pub fn age(&self, now: ClockTime) -> Option<TimeSpan> {
        self.known_at.map(|known_at| now.since(known_at))
    }
}
