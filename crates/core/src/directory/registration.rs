//! What an endpoint says of itself.

use std::net::SocketAddr;

use serde::Serialize;

use crate::{
    clock::TimeSpan,
    ids::{EndpointId, FailureDomain, ServiceName},
};

/// What an engine does with prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineStage {
    /// It prefills prompts at full speed and hands the KV cache over.
    Prefill,
    /// It generates tokens, and prefills at a lower speed if it has to.
    Decode,
}

/// One endpoint as it stands in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EndpointRegistration {
    /// Its id; an endpoint may start again under the same one.
    pub id: EndpointId,
    /// Tells its starts apart: the time of its start, as it says.
    pub start: u64,
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it leaves and gets nothing new.
    pub is_leaving: bool,
    /// How soon it is gone, if it says so.
    pub leaves_in: Option<TimeSpan>,
    /// Whether it may be withdrawn at short notice.
    pub is_preemptible: bool,
    /// The stage of an engine.
    pub stage: Option<EngineStage>,
    /// How much longer it is slow after its start.
    pub warming: TimeSpan,
    /// Rises with each heartbeat.
    pub sequence: u64,
}

impl EndpointRegistration {
    /// Whether `other` says the same, but for the heartbeat's number.
    pub fn same_except_heartbeat(&self, other: &EndpointRegistration) -> bool {
        let other = EndpointRegistration {
            sequence: self.sequence,
            warming: self.warming,
            ..other.clone()
        };
        *self == other
    }
}
