//! What the fleet slice is told and what it answers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{EndpointId, FailureDomain, ServiceName},
    records::CapacityKind,
    units::WorkCost,
};

/// How the fleet is sized.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSettings {
    /// Percent of its time that an endpoint may be busy with work that can't
    /// wait, so that it answers in time.
    pub utilisation: u64,
    /// Percent of its time that an endpoint may be busy with deferrable work.
    pub deferrable_utilisation: u64,
    /// Percent of its time that an endpoint may be busy with work that can't
    /// wait just after a failure domain's preemptible endpoints are gone.
    pub loss_utilisation: u64,
    /// What a preemptible endpoint costs, in percent of a reserved one.
    pub preemptible_price: u64,
    /// Reserved endpoints of each service in each failure domain, at least.
    #[serde(rename = "least_reserved")]
    pub min_reserved: u64,
    /// Endpoints that may fetch weights at the same time.
    #[serde(rename = "starts_at_once")]
    pub max_concurrent_starts: u64,
    /// How long an endpoint runs at least before it is stopped.
    #[serde(rename = "least_life")]
    pub min_lifetime: TimeSpan,
    /// For how long the cheaper kind isn't asked for in a failure domain where
    /// it was not to be had or was reclaimed.
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

/// Work that arrives in a second, in milliseconds of an endpoint's time: 1,000
/// keep one endpoint busy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorkDemand {
    /// Work that may run only once, and repeatable work of services that may
    /// not run on preemptible capacity.
    pub reserved_only: WorkCost,
    /// Other work that somebody waits for.
    pub interactive: WorkCost,
    /// Other work that can wait.
    pub deferrable: WorkCost,
}

impl WorkDemand {
    /// The greater of both in each part.
    pub fn max(self, other: WorkDemand) -> WorkDemand {
        WorkDemand {
            reserved_only: self.reserved_only.max(other.reserved_only),
            interactive: self.interactive.max(other.interactive),
            deferrable: self.deferrable.max(other.deferrable),
        }
    }

    /// What can't wait.
    pub fn urgent(self) -> WorkCost {
        self.reserved_only + self.interactive
    }
}

/// What one service needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceNeed {
    /// The service.
    pub service: ServiceName,
    /// What arrives now.
    pub now: WorkDemand,
    /// The most that arrived at any time of the last quarter of an hour or so.
    pub recent_peak: WorkDemand,
}

impl ServiceNeed {
    /// What the fleet is sized for: rising demand counts at once, falling demand
    /// only when the recent peak has passed.
    pub fn sizing_demand(&self) -> WorkDemand {
        self.now.max(self.recent_peak)
    }
}

/// Where an endpoint stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointStage {
    /// Ordered, or fetching weights.
    Starting,
    /// Serving.
    Ready,
    /// Marked as leaving, reclaimed or being stopped.
    Leaving,
}

/// An endpoint as the planner sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetEndpoint {
    /// Which.
    pub endpoint: EndpointId,
    /// For which service.
    pub service: ServiceName,
    /// Where.
    pub failure_domain: FailureDomain,
    /// On what.
    pub capacity: CapacityKind,
    /// Where it stands.
    pub stage: EndpointStage,
    /// Since when it is known.
    pub since: ClockTime,
}

/// What the planner goes by.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetInputs {
    /// The failure domains that have endpoints.
    pub failure_domains: Vec<FailureDomain>,
    /// What each service needs.
    pub needs: Vec<ServiceNeed>,
    /// The endpoints that run, start or leave.
    pub endpoints: Vec<FleetEndpoint>,
    /// When the cheaper kind was last refused or reclaimed, by failure domain.
    pub preemptible_lost: BTreeMap<FailureDomain, ClockTime>,
}

/// A change of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum PlannedChange {
    /// Start an endpoint.
    Start {
        /// For which service.
        service: ServiceName,
        /// Where.
        failure_domain: FailureDomain,
        /// On what.
        capacity: CapacityKind,
        /// Why, for the journal.
        reason: String,
    },
    /// Stop an endpoint: mark it, wait until it is observed empty, then order.
    Stop {
        /// Which.
        endpoint: EndpointId,
        /// Why, for the journal.
        reason: String,
    },
}
