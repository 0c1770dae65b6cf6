//! Messages between the processes of this system and the platform, as JSON over HTTP.
//!
//! | call | answer |
//! |---|---|
//! | `POST /log/append` [`AppendRequest`] | [`AppendAnswer`], 429 or 503 |
//! | `GET /log/read?from=N&limit=M&wait_ms=W` | [`ReadAnswer`] |
//! | `PUT /instances` [`InstanceListing`] | 204; repeated every few seconds |
//! | `GET /instances` | `Vec<`[`InstanceListing`]`>`, possibly out of date |
//! | `GET /endpoints` | `Vec<`[`EndpointListing`]`>` |
//! | `POST /endpoints/start` [`StartEndpoint`] | [`EndpointListing`], 409 old fencing number, 503 no capacity |
//! | `POST /endpoints/stop` [`StopEndpoint`] | 204, 409 old fencing number |
//! | `POST /weights/fetch` [`WeightFetch`] | 204 once fetched, or 429 |
//! | `POST /usage/reports` [`UsageReport`] | 204, 409 old fencing number or differing report |
//! | `GET /usage/reports` | `Vec<`[`UsageReport`]`>` in the order of arrival |
//!
//! The `User-Agent` of every call names the sending instance and its failure domain,
//! as `bluebell/<instance>@<failure domain>`.

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
    /// The writer that appends it.
    pub writer: WriterId,
    /// The writer's sequence number of the record.
    pub sequence: u64,
    /// The record, as text that the platform does not parse.
    pub payload: String,
}

/// The answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// The offset of the appended record.
    pub offset: LogOffset,
}

/// One entry of the log, with its record undecoded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawEntry {
    /// Its offset.
    pub offset: LogOffset,
    /// The writer that appended it.
    pub writer: WriterId,
    /// The writer's sequence number of the record.
    pub sequence: u64,
    /// The record.
    pub payload: String,
}

/// A range of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadAnswer {
    /// The first offset that the platform still keeps.
    pub first_kept: LogOffset,
    /// The offset of the next append.
    pub end: LogOffset,
    /// The entries, from the later of the requested and the first kept offset on.
    pub entries: Vec<RawEntry>,
}

pub use bluebell_core::membership::{InstanceListing, InstanceProgram, InstanceState};

/// The kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A replica of a plain service.
    Plain,
}

/// The lifecycle state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum EndpointState {
    /// Ordered, but not serving yet.
    Starting,
    /// Serving.
    Ready,
    /// The platform has given notice that it reclaims the capacity.
    Reclaimed {
        /// The time left of the notice.
        remaining: TimeSpan,
    },
    /// Stopped or lost.
    Gone,
}

/// One endpoint on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointListing {
    /// The endpoint's id.
    pub endpoint: EndpointId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Its kind.
    pub kind: EndpointKind,
    /// The kind of capacity that it runs on.
    pub capacity: CapacityKind,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// For an engine, the loaded model.
    pub model: Option<ModelName>,
    /// Its HTTP address, as `ip:port`.
    pub address: String,
    /// Its lifecycle state.
    pub state: EndpointState,
    /// Whether it rejects orders with an old fencing number.
    pub checks_fencing: bool,
}

/// An order to start an endpoint. A repeat with the same id has no further effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartEndpoint {
    /// The order's id.
    pub order: OrderId,
    /// The sender's fencing number.
    pub fence: LogOffset,
    /// The failure domain to start it in.
    pub failure_domain: FailureDomain,
    /// The kind of capacity to use.
    pub capacity: CapacityKind,
    /// The service that it will belong to.
    pub service: ServiceName,
}

/// An order to stop an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopEndpoint {
    /// The order's id.
    pub order: OrderId,
    /// The sender's fencing number.
    pub fence: LogOffset,
    /// The endpoint to stop.
    pub endpoint: EndpointId,
}

/// A request to fetch a model's weights for an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightFetch {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The model.
    pub model: ModelName,
}

/// The usage of one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The window.
    pub window: UsageWindow,
    /// The sender's fencing number.
    pub fence: LogOffset,
    /// The instance that sends the report.
    pub reporter: InstanceId,
    /// The usage, line by line.
    pub lines: Vec<UsageLine>,
}
