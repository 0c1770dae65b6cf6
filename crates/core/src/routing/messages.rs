//! Inputs and results of request routing.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    clock::{ClockTime, TimeSpan},
    config::WorkPriority,
    ids::{EndpointId, FailureDomain, ModelName, RequestId, ServiceName},
    records::{CapacityKind, EngineRole},
    units::{TokenCount, TokenRate},
};

/// Length of the prompt prefix, in bytes, whose digest identifies a cached prefix.
pub const PREFIX_BYTES: usize = 512;

/// Digest of the first `PREFIX_BYTES` bytes of a prompt. Prompts with the same digest
/// benefit from the same prefix cache of an engine.
pub fn prefix_digest(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    xxh3_64(&bytes[..bytes.len().min(PREFIX_BYTES)])
}

/// A group of endpoints that can run the same requests.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoutePool {
    /// Engines that have loaded a model.
    Model(ModelName),
    /// Replicas of a plain service.
    Plain(ServiceName),
}

impl fmt::Display for RoutePool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RoutePool::Model(model) => write!(f, "model/{model}"),
            RoutePool::Plain(service) => write!(f, "plain/{service}"),
        }
    }
}

/// Settings of the request routing of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingSettings {
    /// By how many percent the cost at an endpoint may exceed the lowest cost before a
    /// request goes to the next endpoint in the rendezvous order of its prefix.
    pub load_bound: u32,
    /// Part of a prompt that the prefix cache is expected to hold, in percent.
    pub cached_percent: u32,
    /// Weight of the prefill of the uncached part of a prompt. It is above 1 because
    /// this prefill also delays other requests and evicts cached prefixes that they
    /// need.
    pub miss_weight: u32,
    /// Prompt tokens that an engine prefills per second.
    pub prefill_rate: TokenRate,
    /// Time that each running request adds to the wait of another for its first token.
    pub running_cost: TimeSpan,
    /// Requests that an endpoint runs at the same time; further requests wait until one
    /// ends.
    pub endpoint_slots: u32,
    /// Time that each request beyond the slots adds to the wait of another.
    pub overflow_cost: TimeSpan,
    /// Additional latency of an endpoint in another failure domain.
    pub domain_latency: TimeSpan,
    /// Time that the handover of a prompt's KV cache takes.
    pub handover_cost: TimeSpan,
    /// Number of consecutive failures after which an endpoint is ejected.
    pub eject_after: u32,
    /// Duration of the first ejection; each further ejection lasts twice as long as the
    /// one before.
    pub eject_first: TimeSpan,
    /// Maximum duration of an ejection, without jitter.
    pub eject_most: TimeSpan,
    /// Duration of the slow start: the time until a new or returning endpoint gets its
    /// full share of the load.
    pub slow_start: TimeSpan,
    /// How long the reports of peers and endpoints are valid.
    pub report_life: TimeSpan,
}

impl Default for RoutingSettings {
    fn default() -> RoutingSettings {
        RoutingSettings {
            load_bound: 10,
            cached_percent: 80,
            miss_weight: 5,
            prefill_rate: TokenRate::new(8_000),
            running_cost: TimeSpan::from_millis(8),
            endpoint_slots: 24,
            overflow_cost: TimeSpan::from_millis(150),
            domain_latency: TimeSpan::from_millis(1),
            handover_cost: TimeSpan::from_millis(40),
            eject_after: 3,
            eject_first: TimeSpan::from_secs(2),
            eject_most: TimeSpan::from_secs(60),
            slow_start: TimeSpan::from_secs(10),
            report_life: TimeSpan::from_secs(15),
        }
    }
}

/// An endpoint as known from the platform's list and the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The pool that it belongs to.
    pub pool: RoutePool,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// The kind of capacity that it runs on.
    pub capacity: CapacityKind,
    /// Its role for the model; [`EngineRole::Mixed`] for plain services.
    pub role: EngineRole,
    /// Whether the endpoint is ready to serve.
    pub ready: bool,
    /// Whether the endpoint is about to stop: it is reclaimed, drains, or changes its
    /// role or model.
    pub leaving: bool,
}

/// A request that has to be routed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRequest {
    /// The request.
    pub request: RequestId,
    /// The pool whose endpoints can run it.
    pub pool: RoutePool,
    /// Digest of its prompt prefix, if it has a prompt; see [`prefix_digest`].
    pub prefix: Option<u64>,
    /// Length of its prompt, in tokens.
    pub prompt_tokens: TokenCount,
    /// Whether a caller waits for the answer (interactive) or not (deferrable).
    pub priority: WorkPriority,
    /// Whether it may run more than once. A request that must not be repeated never
    /// runs on preemptible capacity.
    pub repeatable: bool,
    /// Whether its service may run on preemptible capacity.
    pub preemptible: bool,
    /// Endpoints on which earlier attempts of the request failed.
    pub excluded: Vec<EndpointId>,
}

impl RouteRequest {
    /// Whether the request may run on preemptible capacity.
    pub fn allows_preemptible(&self) -> bool {
        self.repeatable && self.preemptible
    }
}

/// The endpoints selected for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteChoice {
    /// The endpoint that generates the answer.
    pub endpoint: EndpointId,
    /// The engine that prefills the prompt first and hands over its KV cache; `None` if
    /// the answering endpoint prefills itself.
    pub prefill: Option<EndpointId>,
    /// Reason for the selection, for log events.
    pub reason: String,
}

/// The reason why a request cannot be routed. Nothing was sent.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoRoute {
    /// The pool has no endpoint that is ready and stays.
    #[error("no endpoint of `{0}` is ready")]
    NoEndpoint(RoutePool),
    /// All ready endpoints run on preemptible capacity or were attempted already.
    #[error("none of the {ready} ready endpoints of `{pool}` may run this work")]
    NoneAllowed {
        /// The pool.
        pool: RoutePool,
        /// Number of ready endpoints in the pool.
        ready: usize,
    },
}

/// Result of an attempt at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteOutcome {
    /// The endpoint answered, with any status.
    Answered,
    /// The caller cancelled the request; this says nothing about the health of the
    /// endpoint.
    Cancelled,
    /// The endpoint refused the request before it ran, for instance because the
    /// endpoint drains.
    Refused,
    /// The connection failed, or the endpoint did not answer in time.
    Failed,
}

/// Load that an endpoint reports for itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReportedLoad {
    /// Number of requests that wait or run.
    pub requests: u64,
    /// Prompt tokens that are not prefilled yet.
    pub prefill_backlog: TokenCount,
}

/// Work that one entry has outstanding at an endpoint, as reported to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerOutstanding {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Number of requests that were sent and have not ended.
    pub requests: u32,
    /// Prompt tokens of those requests that have no first token yet.
    pub prefill_tokens: TokenCount,
}

/// State of an endpoint that the selection is based on; also the input of the
/// [`baselines`](crate::routing::baselines).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointSnapshot {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// The kind of capacity that it runs on.
    pub capacity: CapacityKind,
    /// Its role.
    pub role: EngineRole,
    /// Whether the endpoint is ready and not about to stop.
    pub open: bool,
    /// End of the ejection, if the endpoint is ejected.
    pub ejected_until: Option<ClockTime>,
    /// Share of the full load that it gets now, in percent; below 100 during the slow
    /// start.
    pub share: u32,
    /// Requests that this entry has outstanding there.
    pub own_requests: u32,
    /// Prompt tokens of this entry there that are not prefilled.
    pub own_prefill: TokenCount,
    /// Estimated requests of other entries there.
    pub other_requests: u64,
    /// Estimated prompt tokens of other entries there that are not prefilled.
    pub other_prefill: TokenCount,
    /// Last report of the endpoint, uncorrected.
    pub reported: ReportedLoad,
}
