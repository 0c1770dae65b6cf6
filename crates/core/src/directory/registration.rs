//! The registration of an endpoint.

use std::{convert::Infallible, fmt, net::SocketAddr, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    clock::TimeSpan,
    ids::{EndpointId, FailureDomain, ServiceName},
    streams::OriginHash,
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

/// The version of an endpoint's software, as the endpoint states it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SoftwareVersion(String);

impl SoftwareVersion {
    /// Creates the version with this name.
    pub fn new<Text>(text: Text) -> SoftwareVersion
    where
        Text: Into<String>,
    {
        SoftwareVersion(text.into())
    }

    /// The version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for SoftwareVersion {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<SoftwareVersion, Infallible> {
        Ok(SoftwareVersion::new(text))
    }
}

/// Orders the registrations of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RegistrationNumber {
    /// The start time of the endpoint.
    pub start: u64,
    /// The heartbeat number since then.
    pub sequence: u64,
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
    /// The version of its software.
    pub version: SoftwareVersion,
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
    /// The service and version that begin a stream at this endpoint.
    pub fn origin(&self) -> OriginHash {
        OriginHash::with_version(&self.service, &self.version)
    }

    /// Its place in the order of the registrations of the endpoint.
    pub fn number(&self) -> RegistrationNumber {
        RegistrationNumber {
            start: self.start,
            sequence: self.sequence,
        }
    }

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
