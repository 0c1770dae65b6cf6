//! What the admission slice is told and what it answers.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    clock::{ClockTime, TimeSpan},
    config::WorkPriority,
    ids::{OrganisationId, RequestId},
    routing::RoutePool,
    units::{ShareWeight, TokenCount, TokenRate},
};

/// How much an output token costs against a prompt token: decoding occupies an
/// engine longer for each token than prefilling does.
pub const OUTPUT_TOKEN_COST: u64 = 2;

/// The cost of a request in prompt-token equivalents.
pub fn token_cost(prompt: TokenCount, output: TokenCount) -> TokenCount {
    TokenCount::new(prompt.count() + OUTPUT_TOKEN_COST * output.count())
}

/// How an entry admits work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionSettings {
    /// Percent of a pool's slots that deferrable work never takes, so that
    /// interactive work finds a free one.
    pub interactive_reserve: u32,
    /// By how much cost an organisation must be behind before its deferrable work
    /// goes before others' interactive work.
    pub deferrable_handicap: TokenCount,
    /// The most cost by which work at other entries puts an organisation behind.
    pub debt_limit: TokenCount,
    /// How soon after its start a request should have its first token.
    pub start_target: TimeSpan,
    /// The least `Retry-After`.
    pub least_retry_after: TimeSpan,
    /// The greatest `Retry-After`.
    pub most_retry_after: TimeSpan,
    /// The limits of an organisation for which none were set.
    pub default_limits: OrganisationLimits,
}

impl Default for AdmissionSettings {
    fn default() -> AdmissionSettings {
        AdmissionSettings {
            interactive_reserve: 10,
            deferrable_handicap: TokenCount::new(4_000),
            debt_limit: TokenCount::new(200_000),
            start_target: TimeSpan::from_millis(300),
            least_retry_after: TimeSpan::from_secs(1),
            most_retry_after: TimeSpan::from_secs(60),
            default_limits: OrganisationLimits::default(),
        }
    }
}

/// What one organisation may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationLimits {
    /// Its share against the others'.
    pub weight: ShareWeight,
    /// The most requests in progress at this entry, queued and running.
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

/// This entry's part of a pool of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolCapacity {
    /// The most requests that this entry runs there at once.
    pub slots: u32,
    /// The cost that those slots work off in a second. Only a start value: it is
    /// measured as soon as there is a queue.
    pub token_rate: TokenRate,
    /// The time from a start to the first token or, for plain services, to the
    /// answer. Only a start value, too, where first tokens are noted.
    pub first_token: TimeSpan,
}

impl PoolCapacity {
    /// The slots of one of `entries` entries in a pool of `total` slots, where
    /// this entry runs `own` and the others `peers` requests. Every entry may
    /// always use an equal part, and takes an equal part of what is free beyond
    /// it, so that a busy entry isn't bound by idle ones and entries that see
    /// the same free slots don't all take all of them.
    pub fn shared_slots(total: u32, entries: u32, own: u32, peers: u32) -> u32 {
        let entries = entries.max(1);
        let free = total.saturating_sub(own + peers);
        total.div_ceil(entries).max(own + free.div_ceil(entries))
    }
}

/// Work that asks to start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdmissionRequest {
    /// The request.
    pub request: RequestId,
    /// Whose it is.
    pub organisation: OrganisationId,
    /// The endpoints that can run it.
    pub pool: RoutePool,
    /// Whether somebody waits.
    pub priority: WorkPriority,
    /// When the first token or the answer must be there.
    pub deadline: ClockTime,
    /// The prompt's length; 1 for a call of a plain service.
    pub prompt_tokens: TokenCount,
    /// The most output; 0 for a call of a plain service.
    pub max_output: TokenCount,
}

/// What the entry has to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum AdmissionAction {
    /// Send it to an endpoint now.
    Start {
        /// The request.
        request: RequestId,
        /// Why now, for the journal.
        reason: String,
    },
    /// Tell the caller that it was not run.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        reason: RefuseReason,
        /// When asking again makes sense.
        retry_after: TimeSpan,
    },
}

/// Why work is refused. None of it was run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum RefuseReason {
    /// It would start too late.
    DeadlineUnreachable {
        /// The estimated wait for a start.
        wait: TimeSpan,
        /// The longest wait that the deadline leaves.
        allowed: TimeSpan,
    },
    /// The organisation has too many requests in progress at this entry.
    InFlightLimit {
        /// The limit.
        limit: u32,
    },
    /// No endpoint of the pool serves.
    NoCapacity,
}

impl RefuseReason {
    /// A word for metrics and log lines.
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
                "the deadline can't be met: a start would take {wait}, the deadline leaves {allowed}"
            ),
            RefuseReason::InFlightLimit { limit } => write!(
                f,
                "the organisation has {limit} requests in progress at this entry, its limit"
            ),
            RefuseReason::NoCapacity => f.write_str("no endpoint serves this work now"),
        }
    }
}

/// What one entry served of one organisation since its last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerShare {
    /// The pool.
    pub pool: RoutePool,
    /// The organisation.
    pub organisation: OrganisationId,
    /// The cost served.
    pub served: TokenCount,
}

/// What one entry tells its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShareReport {
    /// When it was made, on the sender's clock. Only compared with other reports
    /// of the same sender: one that is not newer than the last is a repeat.
    pub made_at: ClockTime,
    /// What was served, the largest first.
    pub shares: Vec<PeerShare>,
}

/// A pool's state, for dumps and metrics.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// The pool.
    pub pool: RoutePool,
    /// Its slots here.
    pub slots: u32,
    /// Requests that run.
    pub running: u32,
    /// Started requests that may be without a first token.
    pub window: u64,
    /// Requests that wait.
    pub queued: usize,
    /// Organisations that wait.
    pub waiting_organisations: usize,
    /// The cost worked off in a second, as measured.
    pub token_rate: TokenRate,
    /// The estimated wait of a new interactive request of an organisation that
    /// has none in progress.
    pub wait: TimeSpan,
}
