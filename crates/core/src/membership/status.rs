//! The status that instances report to the platform's list and to peers.

use serde::{Deserialize, Serialize};

use crate::{
    clock::ClockTime,
    ids::{EndpointId, FailureDomain, InstanceId, LogOffset, OrganisationId},
    units::{TokenCount, WorkCost},
};

/// The program that an instance runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceProgram {
    /// `bluebell-entry`.
    Entry,
    /// `bluebell-controller`.
    Controller,
}

impl std::fmt::Display for InstanceProgram {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            InstanceProgram::Entry => "entry",
            InstanceProgram::Controller => "controller",
        })
    }
}

/// Whether an instance is in service or shutting down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance is in service.
    #[default]
    Live,
    /// The instance is shutting down.
    Leaving,
}

impl std::fmt::Display for InstanceState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            InstanceState::Live => "live",
            InstanceState::Leaving => "leaving",
        })
    }
}

/// An entry of the platform's list of instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceListing {
    /// The id of the instance.
    pub instance: InstanceId,
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// The program that it runs.
    pub program: InstanceProgram,
    /// Whether it is live or leaving.
    pub state: InstanceState,
    /// The address of its HTTP server, as `ip:port`.
    pub http_address: String,
    /// The address on which it accepts peer connections, as `ip:port`.
    pub peer_address: String,
}

/// The outstanding work of one instance at one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointLoad {
    /// The id of the endpoint.
    pub endpoint: EndpointId,
    /// The number of requests that were sent and have not ended.
    pub requests: u64,
    /// The maximum number of tokens that these requests may still need.
    pub tokens: TokenCount,
}

/// The work that one instance has served for one organisation since its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationShare {
    /// The name of the organisation.
    pub organisation: OrganisationId,
    /// The cost of the work served.
    pub cost: WorkCost,
}

/// The state and work that an instance reports to its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LocalStatus {
    /// Whether it is live or leaving.
    pub state: InstanceState,
    /// Its outstanding work, by endpoint.
    pub loads: Vec<EndpointLoad>,
    /// The work served, by organisation.
    pub shares: Vec<OrganisationShare>,
}

/// A peer, as one instance's member table has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerStatus {
    /// The id of the peer.
    pub instance: InstanceId,
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// The program that it runs.
    pub program: InstanceProgram,
    /// Whether it is live or leaving.
    pub state: InstanceState,
    /// Whether no sign of it was received for longer than the time-out that applies.
    pub suspected: bool,
    /// The offset of the next log entry that it will apply, if it was received.
    pub next_offset: Option<LogOffset>,
    /// When a heartbeat of it or a relayed update about it was last received, on the
    /// receiver's clock.
    #[serde(rename = "heard_at")]
    pub last_seen: Option<ClockTime>,
    /// The work that it reports; items that exceed the gossip limits are missing.
    pub status: LocalStatus,
}
