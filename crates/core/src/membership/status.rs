//! What instances tell of themselves, to the platform's list and to peers.

use serde::{Deserialize, Serialize};

use crate::{
    clock::ClockTime,
    ids::{EndpointId, FailureDomain, InstanceId, LogOffset, OrganisationId},
    units::{TokenCount, WorkCost},
};

/// What an instance runs.
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

/// Whether an instance stays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It runs.
    #[default]
    Live,
    /// It is being shut down.
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

/// One of our processes on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceListing {
    /// Which.
    pub instance: InstanceId,
    /// Where.
    pub failure_domain: FailureDomain,
    /// What it runs.
    pub program: InstanceProgram,
    /// Whether it stays.
    pub state: InstanceState,
    /// Where it answers HTTP, as `ip:port`.
    pub http_address: String,
    /// Where it takes peer connections, as `ip:port`.
    pub peer_address: String,
}

/// What one instance has outstanding at one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointLoad {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Requests sent and not ended.
    pub requests: u64,
    /// Tokens that those may still need.
    pub tokens: TokenCount,
}

/// What one instance has served one organisation since the instance started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationShare {
    /// The organisation.
    pub organisation: OrganisationId,
    /// The cost of the work served.
    pub cost: WorkCost,
}

/// What an instance tells its peers of its own work.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LocalStatus {
    /// Whether it stays.
    pub state: InstanceState,
    /// Its outstanding work, by endpoint.
    pub loads: Vec<EndpointLoad>,
    /// The work served, by organisation.
    pub shares: Vec<OrganisationShare>,
}

/// What an instance knows of a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerStatus {
    /// Which.
    pub instance: InstanceId,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// What it runs.
    pub program: InstanceProgram,
    /// Whether it stays.
    pub state: InstanceState,
    /// Whether nothing has been heard from it for longer than a heartbeat may take.
    pub suspected: bool,
    /// The offset of the next entry that it will apply, if it has told.
    pub next_offset: Option<LogOffset>,
    /// When it was last heard, directly or through others, on the reader's clock.
    #[serde(rename = "heard_at")]
    pub last_seen: Option<ClockTime>,
    /// What it tells of its work; what did not fit is left out.
    pub status: LocalStatus,
}
