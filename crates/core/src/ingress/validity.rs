//! What requests may be decided by the configuration in force.
//!
//! A request must not be handled as only a superseded configuration allows, from some time after
//! the newer one was acknowledged. An instance that has confirmed its configuration within that
//! time knows that there is no such version. Without the confirmation, to deny a request is as
//! wrong as to run it. An instance that is cut off from the store can't get a confirmation, and
//! goes on serving the routes that it knows.

use serde::Serialize;

use crate::{
    clock::{ClockTime, TimeSpan},
    ingress::ConfigurationTracker,
};

/// What requests may be decided by the configuration in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigurationValidity {
    /// Nothing: no configuration has been read.
    Missing,
    /// Nothing: a newer version has been known for too long.
    Outdated,
    /// Nothing: it has not been confirmed in time, although the store may be readable.
    Unconfirmed,
    /// It has not been confirmed in time, as the store can't be read. Requests of known routes
    /// are served, and none is denied.
    CutOff,
    /// Everything.
    Current,
}

/// How long a configuration is valid.
#[derive(Clone, Copy, Debug)]
pub struct ValidityLimits {
    /// The maximum age of its last confirmation.
    pub max_age: TimeSpan,
    /// The maximum time for which a newer version has been known.
    pub max_superseded: TimeSpan,
}

/// Whether this instance can read the store, judged by its last complete attempt.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreReads {
    sent_at: ClockTime,
    has_failed: bool,
}

/// How much longer than its time limit a failed read may have taken to count. After a longer time
/// this process has not run meanwhile, and nothing is known of the store.
const MAX_OVERRUN: TimeSpan = TimeSpan::from_millis(150);

impl StoreReads {
    /// No read was attempted.
    pub fn new() -> StoreReads {
        StoreReads::default()
    }

    /// Records that a read is sent.
    pub fn note_sent(&mut self, now: ClockTime) {
        self.sent_at = now;
    }

    /// Records that the read was answered.
    pub fn note_answer(&mut self) {
        self.has_failed = false;
    }

    /// Records that the read failed, which had to be answered within `timeout`.
    pub fn note_failure(&mut self, now: ClockTime, timeout: TimeSpan) {
        let is_conclusive = now.since(self.sent_at) <= timeout + MAX_OVERRUN;
        self.has_failed |= is_conclusive;
    }

    /// Whether the last read that counts has failed.
    pub fn is_lost(&self) -> bool {
        self.has_failed
    }
}

impl ConfigurationTracker {
    /// What requests may be decided at `now`.
    pub fn validity(
        &self,
        now: ClockTime,
        limits: ValidityLimits,
        reads: StoreReads,
    ) -> ConfigurationValidity {
        if self.table().is_none() {
            return ConfigurationValidity::Missing;
        }
        if self.is_outdated(now, limits.max_superseded) {
            return ConfigurationValidity::Outdated;
        }
        match (self.is_fresh(now, limits.max_age), reads.is_lost()) {
            (true, _) => ConfigurationValidity::Current,
            (false, true) => ConfigurationValidity::CutOff,
            (false, false) => ConfigurationValidity::Unconfirmed,
        }
    }
}
