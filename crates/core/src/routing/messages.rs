//! What the routing slice is told and what it answers.

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

/// How many bytes at the start of a prompt decide its affinity.
pub const PREFIX_BYTES: usize = 512;

/// The digest of a prompt's start: prompts with the same start share an engine's
/// prefix cache.
pub fn prefix_digest(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    xxh3_64(&bytes[..bytes.len().min(PREFIX_BYTES)])
}

/// Endpoints that can do the same work.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoutePool {
    /// The engines that have loaded a model.
    Model(ModelName),
    /// The replicas of a plain service.
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

/// How an entry routes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingSettings {
    /// By how many percent an endpoint may cost more than the least costly one
    /// before a prefix goes to the next one in its order.
    pub load_bound: u32,
    /// Percent of a prompt that a prefix cache saves.
    pub cached_percent: u32,
    /// How many times the prefill of what a cache lacks counts: it keeps others
    /// waiting, too, and evicts what others need.
    pub miss_weight: u32,
    /// Prompt tokens that an engine prefills in a second.
    pub prefill_rate: TokenRate,
    /// What a running request adds to another's wait for its first token.
    pub running_cost: TimeSpan,
    /// Requests that an endpoint runs at once; more wait for one to end.
    pub endpoint_slots: u32,
    /// What each request beyond the slots adds to another's wait.
    pub overflow_cost: TimeSpan,
    /// What an endpoint of another failure domain costs in latency.
    pub domain_latency: TimeSpan,
    /// What it costs to hand a prompt's KV cache over.
    pub handover_cost: TimeSpan,
    /// Failures in a row that eject an endpoint.
    pub eject_after: u32,
    /// How long the first ejection lasts; each next one lasts twice as long.
    pub eject_first: TimeSpan,
    /// The longest ejection.
    pub eject_most: TimeSpan,
    /// How long a new or returning endpoint takes to get its full share.
    pub slow_start: TimeSpan,
    /// How long a peer's word and an endpoint's report count.
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

/// An endpoint as the entry knows it from the platform's list and the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointEntry {
    /// Which.
    pub endpoint: EndpointId,
    /// What it can do.
    pub pool: RoutePool,
    /// Where.
    pub failure_domain: FailureDomain,
    /// On what it runs.
    pub capacity: CapacityKind,
    /// What it does for its model; mixed for plain services.
    pub role: EngineRole,
    /// Whether it serves.
    pub ready: bool,
    /// Whether it is about to leave: reclaimed, marked or changing.
    pub leaving: bool,
}

/// A request to route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRequest {
    /// The request.
    pub request: RequestId,
    /// What can run it.
    pub pool: RoutePool,
    /// The digest of its prompt's start, if it has one.
    pub prefix: Option<u64>,
    /// The prompt's length.
    pub prompt_tokens: TokenCount,
    /// Whether somebody waits.
    pub priority: WorkPriority,
    /// Whether it may run more than once. Work that may not never runs on
    /// preemptible capacity.
    pub repeatable: bool,
    /// Whether its service may run on preemptible capacity.
    pub preemptible: bool,
    /// Endpoints that earlier attempts failed on.
    pub excluded: Vec<EndpointId>,
}

impl RouteRequest {
    /// Whether it may run on capacity that can be reclaimed.
    pub fn allows_preemptible(&self) -> bool {
        self.repeatable && self.preemptible
    }
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteChoice {
    /// The endpoint that answers.
    pub endpoint: EndpointId,
    /// The engine that prefills the prompt first and hands its KV cache over.
    pub prefill: Option<EndpointId>,
    /// Why, for the journal.
    pub reason: String,
}

/// Why a request can't be routed. Nothing was sent.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoRoute {
    /// The pool has no endpoint that serves.
    #[error("no endpoint of `{0}` is ready")]
    NoEndpoint(RoutePool),
    /// All that serve run on preemptible capacity, or were tried already.
    #[error("none of the {ready} ready endpoints of `{pool}` may run this work")]
    NoneAllowed {
        /// The pool.
        pool: RoutePool,
        /// How many serve.
        ready: usize,
    },
}

/// How an attempt at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteOutcome {
    /// The endpoint answered, with whatever status.
    Answered,
    /// The caller went away; this says nothing of the endpoint.
    Cancelled,
    /// The endpoint refused before running, for instance because it drains.
    Refused,
    /// The connection failed, or the endpoint was silent for too long.
    Failed,
}

/// An endpoint's own report of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReportedLoad {
    /// Requests waiting or running.
    pub requests: u64,
    /// Prompt tokens not yet prefilled.
    pub prefill_backlog: TokenCount,
}

/// What one entry has outstanding at an endpoint, told to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerOutstanding {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Requests sent and not ended.
    pub requests: u32,
    /// Prompt tokens of those that have no first token yet.
    pub prefill_tokens: TokenCount,
}

/// An endpoint as a choice sees it; what the baselines are given, too.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointSnapshot {
    /// Which.
    pub endpoint: EndpointId,
    /// Where.
    pub failure_domain: FailureDomain,
    /// On what it runs.
    pub capacity: CapacityKind,
    /// Its role.
    pub role: EngineRole,
    /// Whether it serves and stays.
    pub open: bool,
    /// Until when it is left alone after failures.
    pub ejected_until: Option<ClockTime>,
    /// Percent of its full share that it gets while it starts slowly.
    pub share: u32,
    /// What this entry has outstanding there.
    pub own_requests: u32,
    /// What this entry has outstanding there that is not prefilled.
    pub own_prefill: TokenCount,
    /// What others have outstanding there, as estimated.
    pub other_requests: u64,
    /// What others have outstanding there that is not prefilled, as estimated.
    pub other_prefill: TokenCount,
    /// The last report as it came, uncorrected.
    pub reported: ReportedLoad,
}
