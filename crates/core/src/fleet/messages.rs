//! Settings, inputs and results of the fleet planner.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{EndpointId, FailureDomain, ServiceName},
    records::CapacityKind,
    units::WorkCost,
};

/// Settings for the size of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSettings {
    /// Maximum percentage of its time that an endpoint is busy with work that can't wait,
    /// so that it answers in time.
    pub utilisation: u64,
    /// Maximum percentage of its time that an endpoint is busy with deferrable work.
    pub deferrable_utilisation: u64,
    /// Maximum percentage of its time that an endpoint is busy with work that can't wait
    /// just after a failure domain has lost its preemptible endpoints.
    pub loss_utilisation: u64,
    /// The cost of a preemptible endpoint, in percent of that of a reserved one.
    pub preemptible_price: u64,
    /// Minimum number of reserved endpoints of each service in each failure domain.
    #[serde(rename = "least_reserved")]
    pub min_reserved: u64,
    /// Maximum number of endpoints that fetch weights at the same time.
    #[serde(rename = "starts_at_once")]
    pub max_concurrent_starts: u64,
    /// Minimum time that an endpoint runs before it is stopped.
    #[serde(rename = "least_life")]
    pub min_lifetime: TimeSpan,
    /// How long no preemptible endpoint is ordered in a failure domain where one was
    /// refused or reclaimed.
    #[serde(rename = "unavailable_for")]
    pub unavailable_retry_after: TimeSpan,
}

impl Default for FleetSettings {
    fn default() -> FleetSettings {
        FleetSettings {
            utilisation: 70,
            deferrable_utilisation: 95,
            loss_utilisation: 95,
            preemptible_price: 35,
            min_reserved: 1,
            max_concurrent_starts: 3,
            min_lifetime: TimeSpan::from_secs(300),
            unavailable_retry_after: TimeSpan::from_secs(180),
        }
    }
}

/// Work that arrives per second, in milliseconds of one endpoint's time: 1,000 ms keep one
/// endpoint busy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorkDemand {
    /// Work that may run only once, and repeatable work of services that may
    /// not run on preemptible capacity.
    pub reserved_only: WorkCost,
    /// Other work of interactive priority.
    pub interactive: WorkCost,
    /// Other work of deferrable priority.
    pub deferrable: WorkCost,
}

impl WorkDemand {
    /// The maximum of both demands, by kind of work.
    pub fn max(self, other: WorkDemand) -> WorkDemand {
        WorkDemand {
            reserved_only: self.reserved_only.max(other.reserved_only),
            interactive: self.interactive.max(other.interactive),
            deferrable: self.deferrable.max(other.deferrable),
        }
    }

    /// The work that can't wait: `reserved_only` and `interactive`.
    pub fn urgent(self) -> WorkCost {
        self.reserved_only + self.interactive
    }
}

/// The demand for one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceNeed {
    /// The service.
    pub service: ServiceName,
    /// The current demand.
    pub now: WorkDemand,
    /// The maximum demand during about the last 15 minutes.
    pub recent_peak: WorkDemand,
}

impl ServiceNeed {
    /// The demand that the fleet is sized for: rising demand is followed at once, falling
    /// demand only when the recent peak has passed.
    pub fn sizing_demand(&self) -> WorkDemand {
        self.now.max(self.recent_peak)
    }
}

/// The stage in an endpoint's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointStage {
    /// It was ordered, or is fetching weights.
    Starting,
    /// It serves requests.
    Ready,
    /// It is draining, reclaimed or being stopped.
    Leaving,
}

/// The state of an endpoint, as input to the planner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetEndpoint {
    /// The id of the endpoint.
    pub endpoint: EndpointId,
    /// The service that it serves.
    pub service: ServiceName,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Its kind of capacity.
    pub capacity: CapacityKind,
    /// Its stage.
    pub stage: EndpointStage,
    /// When it was first observed.
    pub since: ClockTime,
}

/// The input to the planner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetInputs {
    /// The failure domains that have endpoints.
    pub failure_domains: Vec<FailureDomain>,
    /// The demand for each service.
    pub needs: Vec<ServiceNeed>,
    /// The endpoints that run, start or leave.
    pub endpoints: Vec<FleetEndpoint>,
    /// When a preemptible endpoint was last refused or reclaimed, by failure domain.
    pub preemptible_lost: BTreeMap<FailureDomain, ClockTime>,
}

/// A planned change of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum PlannedChange {
    /// Start an endpoint.
    Start {
        /// The service that it will serve.
        service: ServiceName,
        /// The failure domain to start it in.
        failure_domain: FailureDomain,
        /// The kind of capacity to start it on.
        capacity: CapacityKind,
        /// The reason, for the decision record.
        reason: String,
    },
    /// Stop an endpoint: set its drain mark, wait until it is observed empty, then send the
    /// order.
    Stop {
        /// The endpoint to stop.
        endpoint: EndpointId,
        /// The reason, for the decision record.
        reason: String,
    },
}
