//! How many endpoints of each kind run in each failure domain.
//!
//! [`FleetPlanner`] sizes each service's fleet for its objective at the least
//! cost. The cheaper kind can be reclaimed a whole failure domain at a time, so
//! its share is limited by what the rest could absorb: with all preemptible
//! endpoints of any one failure domain gone at once, the others must still
//! carry the work that can't wait. Work that may not be repeated counts against
//! reserved endpoints only, and each failure domain keeps one of those, as it
//! may be cut off and has to go on serving.
//!
//! The plan follows rising demand at once and falling demand late: starting an
//! endpoint takes a minute, and a fleet that shrinks with every lull pays for
//! it with late answers. Starts keep to what the weight store lets through at
//! once. Where the cheaper kind isn't to be had, the plan does without it until
//! some time has passed.

pub mod baselines;
mod messages;
mod planner;
mod sizing;

pub use messages::{
    EndpointStage, FleetEndpoint, FleetInputs, FleetSettings, PlannedChange, ServiceNeed,
    WorkDemand,
};
pub use planner::FleetPlanner;
pub use sizing::{FleetSize, carries, cheapest_size, survives_reclaim};
