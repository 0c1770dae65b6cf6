//! The configuration of an entry instance: which routes and keys are in force, and
//! how long they may be used without a new confirmation from the store.
//!
//! An operator writes complete configurations with rising versions. An entry never
//! returns to an older one ([`ConfigurationTracker`]), in whatever order its reads
//! complete. It also tracks the age of its last confirmation, because a key that is
//! withdrawn while the store is unreachable must be rejected in time as well.

mod configuration;
mod routes;
mod tracker;
mod validity;

pub use self::{
    configuration::{
        CallerLimits, EngineRule, IngressConfiguration, OrganisationRule, RouteKind, RouteRule,
        ScalingRule, ServiceRule, WeightedService,
    },
    routes::RouteTable,
    tracker::{AdvertisedVersion, ConfigurationStatus, ConfigurationTracker, OfferOutcome},
    validity::{ConfigurationValidity, ValidityLimits},
};
