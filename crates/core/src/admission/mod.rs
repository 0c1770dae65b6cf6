//! Who may start work now: deadlines, limits and fair shares.
//!
//! Each entry has one [`AdmissionQueue`]. It keeps a queue per pool of
//! endpoints and shares a pool among organisations by the cost of their work in
//! tokens (a *virtual token counter* per organisation, Sheng et al. 2024): the
//! organisation that was served least, by its weight, starts next.
//!
//! * **No banked credit.** An organisation that comes back from idleness starts
//!   at the pool's floor, the counter of whoever started last.
//! * **Shares across entries.** Entries tell each other what they served
//!   ([`AdmissionQueue::take_shares`], [`AdmissionQueue::note_peer_shares`]), so
//!   spreading a flood over all entries gains nothing.
//! * **Deadlines.** Work that can't meet its deadline is refused at once with a
//!   time after which asking again makes sense. Nothing is held back.
//! * **The queue is here.** No more is started than engines turn into first
//!   tokens in time ([`AdmissionQueue::note_first_token`]), as their own queues
//!   know neither shares nor deadlines.
//! * **Costs are corrected.** An estimate is charged at the start and replaced
//!   by what was delivered at the end, as most callers cancel.
//!
//! The slice draws randomness only from its seed (jitter of `Retry-After`, so
//! that those refused together don't return together).

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
