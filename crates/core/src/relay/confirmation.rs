//! Whether state of the store may be relied upon without asking the store again.
//!
//! A change has to take effect everywhere within a bound after the store has acknowledged it.
//! State that was confirmed within the bound contains every change that is due. Beyond the bound
//! only an instance that can't read the store goes on with what it knows: its failure domain
//! serves what it can.

use std::fmt;

use serde::Serialize;

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::InstanceId,
};

/// From where state of the store was confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfirmationSource {
    /// A read of the store by this instance.
    Store,
    /// A copy from another instance.
    Copy,
    /// The advertisement of the reader.
    Reader,
    /// The relay message of an instance.
    Instance(InstanceId),
}

impl fmt::Display for ConfirmationSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfirmationSource::Store => f.write_str("store"),
            ConfirmationSource::Copy => f.write_str("copy"),
            ConfirmationSource::Reader => f.write_str("reader"),
            ConfirmationSource::Instance(instance) => instance.fmt(f),
        }
    }
}

/// Whether state of the store may be relied upon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StateValidity {
    /// It has not been confirmed in time, although the store may be readable.
    Unconfirmed,
    /// It has not been confirmed in time, as the store can't be read.
    CutOff,
    /// It was confirmed in time.
    Current,
}

impl StateValidity {
    /// The validity at `now` of state that was last confirmed `age` ago and has to be confirmed
    /// every `max_age`; `reads` are this instance's own reads of the store.
    pub fn at(
        now: ClockTime,
        age: Option<TimeSpan>,
        max_age: TimeSpan,
        reads: StoreReads,
    ) -> StateValidity {
        let is_current = age.is_some_and(|age| age < max_age);
        match (is_current, reads.is_lost(now)) {
            (true, _) => StateValidity::Current,
            (false, true) => StateValidity::CutOff,
            (false, false) => StateValidity::Unconfirmed,
        }
    }
}

/// Whether this instance can read the store, judged by its last attempts.
///
/// A failed read counts only while the instance goes on trying: one that follows its reader does
/// not read the store for a long time.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreReads {
    /// The read that is under way: when it was sent, and the time within which it is answered.
    pending: Option<(ClockTime, TimeSpan)>,
    /// When the last read ended, if it failed.
    failed_at: Option<ClockTime>,
    /// When the last read was sent that failed.
    unavailable_at: Option<ClockTime>,
}

/// How much longer than its time limit a read may take to count as failed. After a longer time
/// this process has not run meanwhile, and nothing is known of the store.
const MAX_OVERRUN: TimeSpan = TimeSpan::from_millis(150);

/// The longest time until the next read after a failed one.
const MAX_READ_PAUSE: TimeSpan = TimeSpan::from_millis(500);

impl StoreReads {
    /// No read was attempted.
    pub fn new() -> StoreReads {
        StoreReads::default()
    }

    /// Records that a read is sent, which is to be answered within `timeout`.
    pub fn note_sent(&mut self, now: ClockTime, timeout: TimeSpan) {
        if !self.is_lost(now) {
            self.failed_at = None;
        }
        self.pending = Some((now, timeout));
    }

    /// Records that the read was answered.
    pub fn note_answer(&mut self) {
        *self = StoreReads::default();
    }

    /// When the last read was sent that failed; `None` if one was answered since.
    pub fn unavailable_at(&self) -> Option<ClockTime> {
        self.unavailable_at
    }

    /// Records that the read failed.
    pub fn note_failure(&mut self, now: ClockTime) {
        let pending = self.pending.take();
        let sent_at = pending.map(|(sent_at, _)| sent_at);
        self.unavailable_at = sent_at.max(self.unavailable_at);
        let is_conclusive = pending.is_some_and(|pending| is_in_time(now, pending));
        self.failed_at = is_conclusive.then_some(now);
    }

    /// Whether the last read has failed, and the next one is under way or about to be sent.
    pub fn is_lost(&self, now: ClockTime) -> bool {
        match (self.failed_at, self.pending) {
            (None, _) => false,
            (Some(_), Some(pending)) => is_in_time(now, pending),
            (Some(failed_at), None) => now.since(failed_at) <= MAX_READ_PAUSE,
        }
    }
}

fn is_in_time(now: ClockTime, (sent_at, timeout): (ClockTime, TimeSpan)) -> bool {
    now.since(sent_at) <= timeout + MAX_OVERRUN
}
