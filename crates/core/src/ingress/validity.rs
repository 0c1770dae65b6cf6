//! What requests may be decided by the configuration in force.
//!
//! From the rollout bound after the acknowledgement of a version on, no request may be handled as
//! only an older version allows. An instance that has confirmed its configuration within the bound
//! knows that no newer version has to be in force yet. Without such a confirmation, denying a
//! request can be as wrong as running it. An instance that can't read the store gets no
//! confirmation, and goes on serving the routes that it knows.

use std::fmt;

use serde::Serialize;

use crate::{
    clock::{ClockTime, TimeSpan},
    ingress::ConfigurationTracker,
    relay::{StateValidity, StoreReads},
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

impl ConfigurationValidity {
    /// Whether requests of known routes are served.
    pub fn serves_known_routes(self) -> bool {
        matches!(
            self,
            ConfigurationValidity::CutOff | ConfigurationValidity::Current
        )
    }
}

impl fmt::Display for ConfigurationValidity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ConfigurationValidity::Missing => "no configuration has been read",
            ConfigurationValidity::Outdated => "a newer configuration has not arrived",
            ConfigurationValidity::Unconfirmed => "the configuration is not confirmed",
            ConfigurationValidity::CutOff => "the store can't be read",
            ConfigurationValidity::Current => "the configuration is current",
        })
    }
}

/// How long a configuration is valid.
#[derive(Clone, Copy, Debug)]
pub struct ValidityLimits {
    /// The maximum age of its last confirmation.
    pub max_age: TimeSpan,
    /// The maximum time for which a newer version has been known.
    pub max_superseded: TimeSpan,
}

/// Subtracted from the rollout bound to limit the age of the last confirmation: clocks drift.
const CLOCK_MARGIN: TimeSpan = TimeSpan::from_millis(50);

/// Subtracted from the rollout bound to limit the use of a superseded version: its first
/// advertisement may arrive that late.
const ADVERTISEMENT_DELAY: TimeSpan = TimeSpan::from_millis(1_000);

impl ValidityLimits {
    /// The limits for changes that must be in force everywhere within `bound`.
    pub fn with_bound(bound: TimeSpan) -> ValidityLimits {
        ValidityLimits {
            max_age: bound.saturating_sub(CLOCK_MARGIN),
            max_superseded: bound.saturating_sub(ADVERTISEMENT_DELAY),
        }
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
        match StateValidity::at(now, self.age(now), limits.max_age, reads) {
            StateValidity::Current => ConfigurationValidity::Current,
            StateValidity::CutOff => ConfigurationValidity::CutOff,
            StateValidity::Unconfirmed => ConfigurationValidity::Unconfirmed,
        }
    }
}
