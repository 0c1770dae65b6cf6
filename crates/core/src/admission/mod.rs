//! Admission control: deadlines, limits and fair shares of the work that an entry
//! starts.
//!
//! Each entry has one [`AdmissionQueue`]. It keeps a queue per pool of endpoints and
//! shares a pool among organisations by the cost of their work in tokens (a *virtual
//! token counter* per organisation, Sheng et al. 2024): the next request is one of the
//! organisation with the least service in proportion to its weight.
//!
//! * **No credit for idle time.** An organisation that becomes active again starts at
//!   the pool's floor, the highest counter at which a request has started.
//! * **Shares across entries.** Entries report the cost that they served to each other
//!   ([`AdmissionQueue::take_shares`], [`AdmissionQueue::note_peer_shares`]), so an
//!   organisation gains nothing by spreading its requests over all entries.
//! * **Deadlines.** A request that can't meet its deadline is refused at once, with a
//!   time after which a retry makes sense, rather than held in the queue.
//! * **Queueing at the entry.** An entry starts only as many requests as the engines
//!   answer with a first token in time ([`AdmissionQueue::note_first_token`]), as the
//!   engines' own queues implement neither shares nor deadlines.
//! * **Corrected costs.** An estimated cost is charged at the start and replaced by the
//!   delivered one at the end, as most callers cancel.
//!
//! All randomness comes from the queue's seed (jitter of `Retry-After`, so that callers
//! refused together don't retry together).

pub mod baselines;
mod counters;
mod messages;
mod pool;
mod queue;
mod rate;
mod window;

pub use counters::FairCounters;
pub use messages::{
    AdmissionAction, AdmissionRequest, AdmissionSettings, OrganisationLimits, PeerShare,
    PoolCapacity, PoolStatus, RefuseReason, ShareReport, token_cost,
};
pub use queue::AdmissionQueue;
