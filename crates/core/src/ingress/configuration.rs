//! A configuration as entries use it.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{
    attempts::WorkKind,
    clock::TimeSpan,
    ids::{FailureDomain, KeyDigest, OrganisationId, ServiceName},
    units::{ByteSize, TokenCount},
};

/// What may be repeated on a route, and how it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Idempotent; it may run more than once.
    Safe,
    /// At most once for each of the caller's attempts.
    Unsafe,
    /// A stream of numbered events; at most once unless it can be resumed.
    Streaming,
}

/// A service that a route sends a share of its requests to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the other services of the route.
    pub weight: u32,
}

/// One route: which requests it takes and how they are treated.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RouteRule {
    /// The operator's name for it.
    pub name: String,
    /// The host that callers name, in lower case and without a port.
    pub host: String,
    /// What the path begins with; it begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// How long the operator wants a caller kept waiting at most.
    pub timeout: TimeSpan,
    /// Within what time an answer, or the first event of a stream, earns in full.
    pub objective: TimeSpan,
    /// The longest pause between two events that is still on time.
    pub gap_objective: Option<TimeSpan>,
    /// Its rank, 0 being the most urgent.
    pub priority: u8,
    /// Where requests go.
    pub targets: Vec<WeightedService>,
    /// How many endpoints may run one attempt of a caller.
    pub attempts_limit: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Whether a broken stream may go on elsewhere.
    pub is_resumable: bool,
}

impl RouteRule {
    /// Whether a request of this route may be sent again after it may have run.
    pub fn work_kind(&self) -> WorkKind {
        match self.kind {
            RouteKind::Safe => WorkKind::Repeatable,
            RouteKind::Streaming if self.is_resumable => WorkKind::Repeatable,
            RouteKind::Unsafe | RouteKind::Streaming => WorkKind::AtMostOnce,
        }
    }

    /// Whether requests may go to `service`.
    pub fn allows_service(&self, service: &ServiceName) -> bool {
        self.targets.iter().any(|target| target.service == *service)
    }
}

/// What the operator says of the engines of a service.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EngineRule {
    /// How many requests an engine runs at once.
    pub slots: u32,
    /// The tokens that its memory holds.
    pub memory: TokenCount,
    /// The memory that a token takes.
    pub token_bytes: ByteSize,
    /// The bandwidth between engines in bytes a millisecond.
    pub link_bytes_per_ms: u64,
    /// How long a prefilled prompt is kept for a hand-over.
    #[serde(rename = "handle_life")]
    pub handle_lifetime: TimeSpan,
    /// How long an engine is away when it changes its stage.
    pub stage_switch: TimeSpan,
}

impl EngineRule {
    /// The share of an engine that a request of `tokens` takes while it runs: of its
    /// slots or of its memory, whichever is more.
    pub fn capacity_share(&self, tokens: TokenCount) -> f64 {
        let of_memory = tokens.count() as f64 / self.memory.count().max(1) as f64;
        let of_slots = 1.0 / f64::from(self.slots.max(1));
        of_memory.max(of_slots)
    }
}

/// How many endpoints of a service may be ordered, and what they cost.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ScalingRule {
    /// The fewest in a failure domain, of both kinds together.
    #[serde(rename = "least")]
    pub min_endpoints: u32,
    /// The most in a failure domain, of both kinds together.
    #[serde(rename = "most")]
    pub max_endpoints: u32,
    /// How long a new one takes to serve.
    #[serde(rename = "boot")]
    pub startup_time: TimeSpan,
    /// The price of a preemptible endpoint, relative to the others.
    pub preemptible_price: Option<f64>,
    /// Prices relative to each other, by failure domain.
    pub domain_prices: BTreeMap<FailureDomain, f64>,
}

/// What the operator says of a service.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServiceRule {
    /// Its name.
    pub name: ServiceName,
    /// Where its endpoints answer health checks.
    pub health_path: String,
    /// How many connections an endpoint takes from everybody together.
    pub connections_limit: u32,
    /// Set for model engines.
    pub engine: Option<EngineRule>,
    /// Set where endpoints can be ordered.
    pub scaling: Option<ScalingRule>,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct CallerLimits {
    /// The largest head of a request.
    pub head: ByteSize,
    /// The largest body.
    pub body: ByteSize,
    /// How long a head may take to come in.
    pub head_timeout: TimeSpan,
    /// How long a connection may stay idle.
    pub idle_timeout: TimeSpan,
}

/// An organisation and its keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct OrganisationRule {
    /// Its name.
    pub name: OrganisationId,
    /// The digests of its keys.
    #[serde(skip)]
    pub keys: Vec<KeyDigest>,
    /// A rank that goes before the route's, if it has one.
    pub priority: Option<u8>,
}

/// One version of everything that the operator decides.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct IngressConfiguration {
    /// Rises with each change, in uneven steps.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteRule>,
    /// All services by name.
    pub services: BTreeMap<ServiceName, ServiceRule>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Who may call; none if requests need no key at all.
    pub organisations: Option<Vec<OrganisationRule>>,
}
