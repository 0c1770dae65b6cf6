//! The configuration of routes, services, limits and keys, as entries use it.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{
    attempts::WorkKind,
    clock::TimeSpan,
    ids::{FailureDomain, KeyDigest, OrganisationId, ServiceName},
    quota::RateLimit,
    streams::StreamHash,
    units::{ByteSize, TokenCount},
};

/// Whether requests of a route may be repeated, and how they are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Idempotent; it may run more than once.
    Safe,
    /// Runs at most once for each attempt of the caller.
    Unsafe,
    /// A stream of numbered events; runs at most once unless it is resumable.
    Streaming,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WeightedService {
    /// The name of the service.
    pub service: ServiceName,
    /// Its share, relative to the weights of the route's other services.
    pub weight: u32,
}

/// A route: which requests it matches and how they are handled.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RouteRule {
    /// The name that the operator gave to the route.
    pub name: String,
    /// The host of the requests, in lower case and without a port.
    pub host: String,
    /// The prefix of the request path; it starts and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may be repeated, and how they are answered.
    pub kind: RouteKind,
    /// The longest time that a caller may wait for the answer.
    pub timeout: TimeSpan,
    /// The time within which an answer, or the first event of a stream, counts as fully
    /// on time.
    pub objective: TimeSpan,
    /// The longest gap between two events that counts as on time.
    pub gap_objective: Option<TimeSpan>,
    /// The priority of its requests; 0 is the most urgent.
    pub priority: u8,
    /// The services that requests are sent to.
    pub targets: Vec<WeightedService>,
    /// The maximum number of endpoints that one attempt of a caller is sent to.
    pub attempts_limit: u32,
    /// Whether requests are accepted without a key.
    pub is_public: bool,
    /// Whether an interrupted stream may be continued by another endpoint.
    pub is_resumable: bool,
}

impl RouteRule {
    /// Whether a request of this route may be sent again if an earlier attempt may have
    /// run.
    pub fn work_kind(&self) -> WorkKind {
        match self.kind {
            RouteKind::Safe => WorkKind::Repeatable,
            RouteKind::Streaming if self.is_resumable => WorkKind::Repeatable,
            RouteKind::Unsafe | RouteKind::Streaming => WorkKind::AtMostOnce,
        }
    }

    /// The service that the requests of `stream` are sent to. A stream that is taken up goes to
    /// the service that began it, as long as the weights stay the same.
    pub fn service_for(&self, stream: StreamHash) -> Option<&ServiceName> {
        let weights = self.targets.iter().map(|target| u64::from(target.weight));
        let total: u64 = weights.sum();
        let mut draw = stream.number().checked_rem(total)?;
        let drawn = self.targets.iter().find(|target| {
            let weight = u64::from(target.weight);
            let is_drawn = draw < weight;
            draw = draw.saturating_sub(weight);
            is_drawn
        });
        drawn.map(|target| &target.service)
    }

    /// Whether the route leads to several services.
    pub fn is_split(&self) -> bool {
        self.targets.len() > 1
    }

    /// Whether requests may be sent to `service`.
    pub fn allows_service(&self, service: &ServiceName) -> bool {
        self.targets.iter().any(|target| target.service == *service)
    }
}

/// The operator's settings for the engines of a service.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EngineRule {
    /// The maximum number of requests that an engine runs concurrently.
    pub slots: u32,
    /// The capacity of its memory in tokens.
    pub memory: TokenCount,
    /// The memory that one token occupies.
    pub token_bytes: ByteSize,
    /// The bandwidth between two engines, in bytes per millisecond.
    pub link_bytes_per_ms: u64,
    /// How long a prefilled prompt is kept for the hand-over to a decode engine.
    #[serde(rename = "handle_life")]
    pub handle_lifetime: TimeSpan,
    /// How long an engine is unavailable while it changes its stage.
    pub stage_switch: TimeSpan,
    /// Whether engines copy runs to a second one on request.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub has_backups: bool,
}

impl EngineRule {
    /// The share of an engine's capacity that a running request of `tokens` occupies:
    /// of its slots or of its memory, whichever is greater.
    pub fn capacity_share(&self, tokens: TokenCount) -> f64 {
        let of_memory = tokens.count() as f64 / self.memory.count().max(1) as f64;
        let of_slots = 1.0 / f64::from(self.slots.max(1));
        of_memory.max(of_slots)
    }
}

/// How many endpoints of a service may be ordered, and at which prices.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ScalingRule {
    /// The minimum in each failure domain, preemptible endpoints included.
    #[serde(rename = "least")]
    pub min_endpoints: u32,
    /// The maximum in each failure domain, preemptible endpoints included.
    #[serde(rename = "most")]
    pub max_endpoints: u32,
    /// The time until a new endpoint serves.
    #[serde(rename = "boot")]
    pub startup_time: TimeSpan,
    /// The price of a preemptible endpoint, relative to other endpoints.
    pub preemptible_price: Option<f64>,
    /// The price in each failure domain, relative to the other domains.
    pub domain_prices: BTreeMap<FailureDomain, f64>,
}

/// The operator's settings for a service.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServiceRule {
    /// The name of the service.
    pub name: ServiceName,
    /// The path of the health check on its endpoints.
    pub health_path: String,
    /// The maximum number of connections to one endpoint, over all instances.
    pub connections_limit: u32,
    /// The engine settings, if its endpoints are model engines.
    pub engine: Option<EngineRule>,
    /// The scaling settings, if its endpoints can be ordered.
    pub scaling: Option<ScalingRule>,
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct CallerLimits {
    /// The maximum size of a request head.
    pub head: ByteSize,
    /// The maximum size of a request body.
    pub body: ByteSize,
    /// The maximum time to receive a request head.
    pub head_timeout: TimeSpan,
    /// The maximum idle time of a connection.
    pub idle_timeout: TimeSpan,
}

/// An organisation and its keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct OrganisationRule {
    /// The name of the organisation.
    pub name: OrganisationId,
    /// The digests of its API keys.
    #[serde(skip)]
    pub keys: Vec<KeyDigest>,
    /// A priority that overrides the route's, if set.
    pub priority: Option<u8>,
    /// The limit of its requests over all instances; `None` for no limit.
    pub limit: Option<RateLimit>,
}

/// One version of the complete configuration that the operator publishes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct IngressConfiguration {
    /// Rises with each change, not necessarily by one.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteRule>,
    /// All services, by name.
    pub services: BTreeMap<ServiceName, ServiceRule>,
    /// The limits on callers' requests.
    pub limits: CallerLimits,
    /// The organisations that may send requests; `None` if no request needs a key.
    pub organisations: Option<Vec<OrganisationRule>>,
}

impl IngressConfiguration {
    /// The longest timeout of the routes whose streams can be resumed.
    pub fn resumable_timeout(&self) -> TimeSpan {
        let routes = self.routes.iter().filter(|route| route.is_resumable);
        let longest = routes.map(|route| route.timeout).max();
        longest.unwrap_or(TimeSpan::ZERO)
    }

    /// The organisations that have a limit.
    pub fn rate_limits(&self) -> impl Iterator<Item = (OrganisationId, RateLimit)> + '_ {
        let rules = self.organisations.iter().flatten();
        rules.filter_map(|rule| Some((rule.name.clone(), rule.limit?)))
    }
}
