//! Plans the number of endpoints of each kind in each failure domain.
//!
//! [`FleetPlanner`] sizes the fleet of each service for its objective at minimum cost.
//! Preemptible endpoints are cheaper, but all of those in a failure domain can be
//! reclaimed at once. So their share is limited: when any one failure domain loses all
//! its preemptible endpoints, the remaining endpoints must still have the capacity for
//! the work that can't wait. Work that may not be repeated runs on reserved endpoints
//! only, and each failure domain keeps at least one of those, because it must continue
//! to serve when it is partitioned from the others.
//!
//! The plan follows rising demand at once and falling demand with a delay: starting an
//! endpoint takes a minute, and a fleet that shrinks in every lull would answer late
//! afterwards. The number of concurrent starts is limited by the capacity of the weight
//! store. A failure domain in which preemptible endpoints are unavailable gets none
//! until some time has passed.

pub mod baselines;
mod messages;
mod planner;
mod sizing;

pub use messages::{
    EndpointStage, FleetEndpoint, FleetInputs, FleetSettings, PlannedChange, ServiceNeed,
    WorkDemand,
};
pub use planner::FleetPlanner;
pub use sizing::{FleetSize, cheapest_size, has_capacity, survives_reclaim};
