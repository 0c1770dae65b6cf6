//! Requests for engines, the plans for them, and the reports of other entries.

use std::net::SocketAddr;

use crate::{
    clock::TimeSpan,
    ids::{EndpointId, ServiceName},
    ingress::EngineRule,
    placement::{
        PromptWork,
        queue::{EngineLoad, PRIORITY_RANKS},
    },
    streams::OriginHash,
};

/// The id and address of an endpoint to which a request is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointTarget {
    /// The endpoint's id.
    pub id: EndpointId,
    /// The address on which the endpoint listens.
    pub address: SocketAddr,
    /// The time of the endpoint's start, which distinguishes its incarnations.
    pub start: u64,
    /// The service and software version of the endpoint.
    pub origin: OriginHash,
}

/// Prefill work that is planned for an engine's queue.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefillPlan {
    /// The engine that prefills.
    pub engine: EndpointTarget,
    /// Whether the same engine also runs the request.
    pub runs_request: bool,
    /// Estimated time of the prefill itself, in ms.
    pub work_ms: f64,
    /// Tokens of the prompt that the engine is assumed to hold already.
    pub held_tokens: u64,
    /// Tokens to be prefilled.
    pub tokens: u64,
    /// Expected time from now to the first token.
    pub first_token: TimeSpan,
    pub(super) rank: usize,
    pub(super) was_idle: bool,
}

/// Identifies a prefill in an engine's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefillTicket(pub(super) u64);

/// A request for which engines are selected.
#[derive(Clone, Copy, Debug)]
pub struct PlanRequest<'a> {
    /// The request's service.
    pub service: &'a ServiceName,
    /// The operator's settings for the service's engines.
    pub rule: &'a EngineRule,
    /// The request's prompt.
    pub work: &'a PromptWork,
    /// The request's priority; 0 is the most urgent.
    pub priority: u8,
    /// Engines to which the request must not be sent.
    pub excluded: &'a [EndpointId],
    /// Where the stream began that the request continues; it goes on there only.
    pub origin: Option<OriginHash>,
    /// Time left until the caller's deadline.
    pub time_left: TimeSpan,
}

impl PlanRequest<'_> {
    pub(super) fn rank(&self) -> usize {
        usize::from(self.priority).min(PRIORITY_RANKS - 1)
    }
}

/// The reason why no engine was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlacementError {
    /// No engine that accepts work is registered for the service, or all are excluded.
    #[error("no engine of the service is available for the request")]
    NoEngineLeft,
    /// No engine would produce the first token before the deadline.
    #[error(
        "no engine can produce the first token before the deadline: the earliest would be {late} late"
    )]
    TooLate {
        /// Time from the deadline to the earliest first token on any engine.
        late: TimeSpan,
    },
}

/// The load that an entry reports for one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerLoad {
    /// Hash of the engine's id.
    pub engine: u64,
    /// The load that the reporting entry has placed on the engine.
    pub load: EngineLoad,
}

/// A part of a prompt that an entry reports to have sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerPart {
    /// Hash of the engine's id.
    pub engine: u64,
    /// Id of the part.
    pub part: u64,
}
