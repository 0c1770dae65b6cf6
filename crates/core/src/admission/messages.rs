//! Inputs and outputs of admission control, and its settings.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    clock::{ClockTime, TimeSpan},
    config::WorkPriority,
    ids::{OrganisationId, RequestId},
    routing::RoutePool,
    units::{ShareWeight, TokenCount, TokenRate},
};

/// Cost of an output token in prompt-token equivalents: decoding occupies an engine
/// longer per token than prefilling does.
pub const OUTPUT_TOKEN_COST: u64 = 2;

/// Returns the cost of a request in prompt-token equivalents.
pub fn token_cost(prompt: TokenCount, output: TokenCount) -> TokenCount {
    TokenCount::new(prompt.count() + OUTPUT_TOKEN_COST * output.count())
}

/// Settings of an entry's admission control.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionSettings {
    /// Percentage of a pool's slots that deferrable work never takes, so that a slot is
    /// free for interactive work.
    pub interactive_reserve: u32,
    /// The cost by which an organisation's counter must be behind before its deferrable
    /// work starts before other organisations' interactive work.
    pub deferrable_handicap: TokenCount,
    /// Maximum cost above the floor to which charges, those of other entries included,
    /// raise an organisation's counter.
    pub debt_limit: TokenCount,
    /// Target time from a request's start to its first token.
    pub start_target: TimeSpan,
    /// Minimum `Retry-After`.
    #[serde(rename = "least_retry_after")]
    pub min_retry_after: TimeSpan,
    /// Maximum `Retry-After`.
    #[serde(rename = "most_retry_after")]
    pub max_retry_after: TimeSpan,
    /// Whether the estimated wait of a request includes the requests of other organisations
    /// that have their turn before its own organisation. That matters where many organisations
    /// have one request each.
    pub counts_turns: bool,
    /// The limits of organisations without limits of their own.
    pub default_limits: OrganisationLimits,
}

impl Default for AdmissionSettings {
    fn default() -> AdmissionSettings {
        AdmissionSettings {
            interactive_reserve: 10,
            deferrable_handicap: TokenCount::new(4_000),
            debt_limit: TokenCount::new(200_000),
            start_target: TimeSpan::from_millis(300),
            min_retry_after: TimeSpan::from_secs(1),
            max_retry_after: TimeSpan::from_secs(60),
            counts_turns: false,
            default_limits: OrganisationLimits::default(),
        }
    }
}

/// The weight and the limits of one organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationLimits {
    /// Weight of its share relative to the other organisations.
    pub weight: ShareWeight,
    /// Maximum number of requests in progress at this entry, queued and running.
    pub max_in_flight: u32,
}

impl Default for OrganisationLimits {
    fn default() -> OrganisationLimits {
        OrganisationLimits {
            weight: ShareWeight::new(1),
            max_in_flight: 256,
        }
    }
}

/// The default limits with the organisation's weight.
impl From<ShareWeight> for OrganisationLimits {
    fn from(weight: ShareWeight) -> OrganisationLimits {
        OrganisationLimits {
            weight,
            ..OrganisationLimits::default()
        }
    }
}

/// This entry's share of a pool of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolCapacity {
    /// Maximum number of requests that this entry runs in the pool at once.
    pub slots: u32,
    /// Cost that those slots process per second. Only an initial value: the rate is
    /// measured as soon as requests are queued.
    pub token_rate: TokenRate,
    /// Time from a start to the first token or, for plain services, to the answer. Also
    /// only an initial value where first tokens are recorded.
    pub first_token: TimeSpan,
}

impl PoolCapacity {
    /// Returns the slots of one of `entries` entries in a pool of `total` slots, where
    /// this entry runs `local_running` requests and the others run `peer_running`. Each
    /// entry may always use an equal share of the slots, and takes an equal share of
    /// the free slots beyond it, so that idle entries don't limit a busy one and
    /// entries that see the same free slots don't all take all of them.
    pub fn shared_slots(total: u32, entries: u32, local_running: u32, peer_running: u32) -> u32 {
        let entries = entries.max(1);
        let free = total.saturating_sub(local_running + peer_running);
        total
            .div_ceil(entries)
            .max(local_running + free.div_ceil(entries))
    }
}

/// A request for admission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdmissionRequest {
    /// Id of the request.
    pub request: RequestId,
    /// The organisation that sent it.
    pub organisation: OrganisationId,
    /// The endpoints that can run it.
    pub pool: RoutePool,
    /// Whether a caller is waiting for the answer (interactive) or the request is
    /// deferrable.
    pub priority: WorkPriority,
    /// The rank within the priority; 0 is the most urgent.
    #[serde(default)]
    pub rank: u8,
    /// Whether the request was refused once and comes again; it starts before new ones of
    /// its rank.
    #[serde(default)]
    pub has_returned: bool,
    /// Deadline of the first token or, for plain services, of the answer.
    pub deadline: ClockTime,
    /// Size of the prompt; 1 for a call of a plain service.
    pub prompt_tokens: TokenCount,
    /// Maximum output; 0 for a call of a plain service.
    pub max_output: TokenCount,
}

/// What the entry must do next with a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum AdmissionAction {
    /// Send the request to an endpoint now.
    Start {
        /// Id of the request.
        request: RequestId,
        /// Why it starts now, for the journal.
        reason: String,
    },
    /// Answer the caller that the request was not run.
    Refuse {
        /// Id of the request.
        request: RequestId,
        /// Why it is refused.
        reason: RefuseReason,
        /// Time after which a retry makes sense.
        retry_after: TimeSpan,
    },
}

/// The reason why a request is refused. A refused request was not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum RefuseReason {
    /// The request would start too late to meet its deadline.
    DeadlineUnreachable {
        /// The estimated wait until a start.
        wait: TimeSpan,
        /// The longest wait with which the deadline can be met.
        allowed: TimeSpan,
    },
    /// The organisation has reached its limit of requests in progress at this entry.
    InFlightLimit {
        /// The limit.
        limit: u32,
    },
    /// No endpoint of the pool accepts requests.
    NoCapacity,
}

impl RefuseReason {
    /// The value used in metrics and log lines.
    pub fn label(&self) -> &'static str {
        match self {
            RefuseReason::DeadlineUnreachable { .. } => "deadline_unreachable",
            RefuseReason::InFlightLimit { .. } => "in_flight_limit",
            RefuseReason::NoCapacity => "no_capacity",
        }
    }
}

impl fmt::Display for RefuseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RefuseReason::DeadlineUnreachable { wait, allowed } => write!(
                f,
                "the deadline can't be met: the estimated wait is {wait}, the deadline allows {allowed}"
            ),
            RefuseReason::InFlightLimit { limit } => write!(
                f,
                "the organisation has reached its limit of {limit} requests in progress at this entry"
            ),
            RefuseReason::NoCapacity => f.write_str("no endpoint of the pool accepts requests now"),
        }
    }
}

/// The cost that one entry served for one organisation since its last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerShare {
    /// The pool.
    pub pool: RoutePool,
    /// The organisation.
    pub organisation: OrganisationId,
    /// The cost served, in prompt-token equivalents.
    pub served: TokenCount,
}

/// The report of served costs that an entry sends to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShareReport {
    /// When the report was made, by the sender's clock. It is compared only with other
    /// reports of the same sender: a report that is not newer than the last one is a
    /// duplicate.
    pub made_at: ClockTime,
    /// The costs served, the largest first.
    pub shares: Vec<PeerShare>,
}

/// State of a pool, for dumps and metrics.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// The pool.
    pub pool: RoutePool,
    /// This entry's slots in the pool.
    pub slots: u32,
    /// Number of running requests.
    pub running: u32,
    /// Maximum number of started requests without a first token.
    pub window: u64,
    /// Number of queued requests.
    pub queued: usize,
    /// Number of organisations with queued requests.
    pub waiting_organisations: usize,
    /// Measured cost processed per second.
    pub token_rate: TokenRate,
    /// The estimated wait of a new interactive request of an organisation with no
    /// requests in progress.
    pub wait: TimeSpan,
}
