//! What an entry instance believes about callers' requests: which routes and
//! keys are in force, and for how long that belief may be trusted.
//!
//! An operator writes whole configurations with rising versions. An entry never
//! goes back to an older one ([`ConfigurationBelief`]), whatever order its reads
//! come back in, and it knows the age of its belief: a key that was withdrawn
//! while the store was out of reach must stop working all the same.

mod configuration;
mod routes;
mod tracker;

pub use self::{
    configuration::{
        CallerLimits, EngineRule, IngressConfiguration, OrganisationRule, RouteKind, RouteRule,
        ScalingRule, ServiceRule, WeightedService,
    },
    routes::RouteTable,
    tracker::{ConfigurationTracker, OfferOutcome},
};
