//! Checks of histories: what callers, endpoints and the platform saw.
//!
//! Each function checks one promise of the system on plain records, so it can
//! be run on any test's histories. It answers every violation that it finds.

pub mod callers;
pub mod configuration;
pub mod endpoints;
pub mod orders;
pub mod usage;

use std::fmt;

/// What the system promises.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// An engine receives no conflicting orders.
    OneOrderAtATime,
    /// A planned change cuts no request.
    NoPlannedCut,
    /// An order from a holder that lost its authority has no effect.
    NoStaleEffect,
    /// A request runs for the organisation of its key only, and no endpoint
    /// sees a key.
    OwnOrganisation,
    /// The platform receives endpoint orders from one holder at a time.
    OneFleetHolder,
    /// A usage window is reported with one set of figures, by one holder at a
    /// time.
    OneUsageReport,
    /// A caller gets the whole answer to its own request.
    WholeAnswers,
    /// A request that was refused as not run did not run.
    TrueRefusals,
    /// What may not be repeated runs at most once.
    AtMostOnce,
    /// A leaving endpoint gets no new work after a bound.
    LeavingGetsNoWork,
    /// A graceful shutdown cuts no request.
    NoShutdownCut,
    /// A configuration comes into force everywhere within a bound and never
    /// reverts.
    NeverReverts,
}

/// A promise that a history breaks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub promise: Promise,
    /// How.
    pub detail: String,
}

impl Violation {
    /// A violation of `promise`.
    pub fn new<Detail>(promise: Promise, detail: Detail) -> Violation
    where
        Detail: Into<String>,
    {
        Violation {
            promise,
            detail: detail.into(),
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.promise, self.detail)
    }
}
