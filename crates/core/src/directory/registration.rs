//! The registration of an endpoint.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    clock::TimeSpan,
    ids::{EndpointId, FailureDomain, ServiceName},
};

/// The stage of model inference that an engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineStage {
    /// Prefills prompts at full speed and hands the KV cache over.
    Prefill,
    /// Generates tokens, and prefills at a lower speed if needed.
    Decode,
}

/// The registration of an endpoint as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRegistration {
    /// The id of the endpoint; a restarted endpoint may reuse it.
    pub id: EndpointId,
    /// Its start time by its own clock, which distinguishes restarts under one id.
    pub start: u64,
    /// The service that it runs.
    pub service: ServiceName,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is leaving and receives no new work.
    pub is_leaving: bool,
    /// The time until it leaves, if announced.
    pub leaves_in: Option<TimeSpan>,
    /// Whether it may be withdrawn at short notice.
    pub is_preemptible: bool,
    /// The stage that it runs, if it is an engine.
    pub stage: Option<EngineStage>,
    /// How much longer it runs slowly after its start.
    pub warming: TimeSpan,
    /// The heartbeat number, which rises with each heartbeat.
    pub sequence: u64,
}

impl EndpointRegistration {
    /// Whether `other` is equal but for the heartbeat number and the warming time.
    pub fn same_except_heartbeat(&self, other: &EndpointRegistration) -> bool {
        let other = EndpointRegistration {
            sequence: self.sequence,
            warming: self.warming,
            ..other.clone()
        };
        *self == other
    }
}
