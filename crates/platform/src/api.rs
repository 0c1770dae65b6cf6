//! What travels between our processes and the platform, as JSON over HTTP.
//!
//! | call | answer |
//! |---|---|
//! | `POST /log/append` [`AppendRequest`] | [`AppendAnswer`], 429 or 503 |
//! | `GET /log/read?from=N&limit=M&wait_ms=W` | [`ReadAnswer`] |
//! | `PUT /instances` [`InstanceListing`] | 204; repeated every few seconds |
//! | `GET /instances` | `Vec<`[`InstanceListing`]`>`, lagging |
//! | `GET /endpoints` | `Vec<`[`EndpointListing`]`>` |
//! | `POST /endpoints/start` [`StartEndpoint`] | [`EndpointListing`], 409 stale, 503 none to be had |
//! | `POST /endpoints/stop` [`StopEndpoint`] | 204, 409 stale |
//! | `POST /weights/fetch` [`WeightFetch`] | 204 once fetched, or 429 |
//! | `POST /usage/reports` [`UsageReport`] | 204, 409 stale or differing |
//! | `GET /usage/reports` | `Vec<`[`UsageReport`]`>` in the order of arrival |
//!
//! Every call says in its `User-Agent` which instance of which failure domain
//! sends it, as `bluebell/<instance>@<failure domain>`.

use bluebell_core::{
    clock::TimeSpan,
    ids::{
        EndpointId, FailureDomain, InstanceId, LogOffset, ModelName, OrderId, ServiceName, WriterId,
    },
    records::{CapacityKind, UsageLine, UsageWindow},
};
use serde::{Deserialize, Serialize};

/// One record to append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Who appends.
    pub writer: WriterId,
    /// The writer's own number for the record.
    pub sequence: u64,
    /// The record, as text that the platform does not look into.
    pub payload: String,
}

/// Where an appended record stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// Its offset.
    pub offset: LogOffset,
}

/// One entry as the platform keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawEntry {
    /// Where it stands.
    pub offset: LogOffset,
    /// Who appended it.
    pub writer: WriterId,
    /// The writer's own number for it.
    pub sequence: u64,
    /// The record.
    pub payload: String,
}

/// A stretch of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadAnswer {
    /// The oldest offset that the platform still keeps.
    pub first_kept: LogOffset,
    /// The offset that the next append will get.
    pub end: LogOffset,
    /// The entries, from the later of the asked and the oldest kept offset.
    pub entries: Vec<RawEntry>,
}

pub use bluebell_core::membership::{InstanceListing, InstanceProgram, InstanceState};

/// What an endpoint is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A replica of a plain service.
    Plain,
}

/// Where an endpoint stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum EndpointState {
    /// Ordered, not yet serving.
    Starting,
    /// Serving.
    Ready,
    /// The platform takes it back.
    Reclaimed {
        /// What is left of the notice.
        remaining: TimeSpan,
    },
    /// Stopped or lost.
    Gone,
}

/// One endpoint on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointListing {
    /// Which.
    pub endpoint: EndpointId,
    /// Where.
    pub failure_domain: FailureDomain,
    /// What it is.
    pub kind: EndpointKind,
    /// On what capacity it runs.
    pub capacity: CapacityKind,
    /// The service that it stands behind.
    pub service: ServiceName,
    /// The model that it has loaded, for engines.
    pub model: Option<ModelName>,
    /// Where it answers HTTP, as `ip:port`.
    pub address: String,
    /// Where it stands in its life.
    pub state: EndpointState,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
}

/// The order to start an endpoint. A repeat with the same id has no further effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartEndpoint {
    /// The order's id.
    pub order: OrderId,
    /// The sender's fencing number.
    pub fence: LogOffset,
    /// Where.
    pub failure_domain: FailureDomain,
    /// On what.
    pub capacity: CapacityKind,
    /// For which service.
    pub service: ServiceName,
}

/// The order to stop an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopEndpoint {
    /// The order's id.
    pub order: OrderId,
    /// The sender's fencing number.
    pub fence: LogOffset,
    /// Which.
    pub endpoint: EndpointId,
}

/// A fetch of a model's weights for an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightFetch {
    /// For which endpoint.
    pub endpoint: EndpointId,
    /// Which model.
    pub model: ModelName,
}

/// The figures of one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The window.
    pub window: UsageWindow,
    /// The sender's fencing number.
    pub fence: LogOffset,
    /// Who sends it.
    pub reporter: InstanceId,
    /// The figures.
    pub lines: Vec<UsageLine>,
}
