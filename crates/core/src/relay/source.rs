//! From where an instance takes the state of the store.
//!
//! Reads of the complete state are large. If each instance of a large failure domain made
//! them when it starts, or when the relayed state is too old, the calls and bytes at the
//! store would grow with the number of instances, and no instance would get ready while
//! the store is at its limit. Only the first [`DIRECT_READERS`] of the failure domain, by
//! name, read the store at once; the others copy the state from one of them, along a tree.
//! Where no copy can be had, further instances read the store, group by group. The configuration
//! has to be confirmed in time, so its read is delayed by one step at most.

use super::StoreReads;
use crate::clock::{ClockTime, TimeSpan};

/// The number of instances of a failure domain that may read the store without delay, and
/// of copies that one instance hands on.
pub const DIRECT_READERS: usize = 8;

/// The delay between the groups of instances that read the store where no copy is available.
/// An answer of the store takes less, so a group copies what the one before it has read.
const DIRECT_READ_STEP: TimeSpan = TimeSpan::from_millis(400);

/// The age of a reader's own state from which on others read the store in its place. A reader
/// that reaches the store reads it twice a second.
pub const MAX_READER_AGE: TimeSpan = TimeSpan::from_millis(1_500);

/// How long after the last relay of current state the reader is considered to have failed.
/// Readers relay four times a second.
pub const RELAY_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_000);

/// The time that the next instance has to relay in place of a reader that has failed, before the
/// one after it does.
const TAKEOVER_STEP: TimeSpan = TimeSpan::from_millis(250);

/// Failed copies in a row after which an instance reads the store. The instances that it
/// tried may have failed, and the next ones are tried at random.
pub const MAX_FAILED_COPIES: u32 = 4;

/// The maximum delay of a direct read of the configuration. The read continues from a known
/// offset, so its answer is small, and requests are refused until it has confirmed the state.
pub const MAX_CONFIGURATION_READ_DELAY: TimeSpan = DIRECT_READ_STEP;

/// How long the store may hold a read until there is a record, while the state is current.
/// The age of the state counts from when the read was sent, so a longer wait would exceed
/// [`KnownState::age_limit`] at the instances that it is relayed to.
const READ_WAIT: TimeSpan = TimeSpan::from_millis(600);

/// How long an instance that has a state waits for copies of a newer one. A suspended source
/// accepts connections and never answers.
const STATE_COPY_TIMEOUT: TimeSpan = TimeSpan::from_millis(700);

/// From where an instance takes the state of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateSource {
    /// The state here is current as long as the reader relays changes.
    Relay,
    /// Another instance of the failure domain.
    Copy,
    /// The store itself.
    Store,
}

/// What an instance knows of the state of the store.
#[derive(Clone, Copy, Debug)]
pub struct KnownState {
    /// The age of the state, or the time since the start if there is none yet.
    pub age: TimeSpan,
    /// The age beyond which it must not be used; see [`super::relay_age_limit`].
    pub age_limit: TimeSpan,
    /// The maximum delay of a direct read after that.
    pub max_read_delay: TimeSpan,
    /// Whether there is none yet, or it differs from the reader's.
    pub is_incomplete: bool,
    /// The time since a newer version was first advertised; zero if none was.
    pub superseded_for: TimeSpan,
    /// Whether the reader relays state that it has not read for [`MAX_READER_AGE`]: the store
    /// turns it away.
    pub is_reader_behind: bool,
    /// The time since an instance has relayed current state.
    pub silent_for: TimeSpan,
    /// The number of attempts in a row to copy it that have failed.
    pub failed_copies: u32,
}

/// How much longer than the age limit the instance at `rank` in its failure domain waits
/// for a copy before it reads the store.
pub fn direct_read_delay(rank: usize) -> TimeSpan {
    DIRECT_READ_STEP.times((rank / DIRECT_READERS) as u64)
}

/// From where the instance at `rank` in its failure domain has to take the state. The rank
/// is the number of instances there with lower names.
pub fn state_source(rank: usize, state: KnownState) -> StateSource {
    let is_stale = state.age >= state.age_limit;
    let is_overdue = state.superseded_for >= STATE_COPY_TIMEOUT;
    let is_reader_lost = state.is_reader_behind || state.silent_for >= takeover_delay(rank);
    if is_overdue || (is_reader_lost && rank < DIRECT_READERS) {
        return StateSource::Store;
    }
    if !is_stale && !state.is_incomplete {
        return StateSource::Relay;
    }
    let may_read = rank < DIRECT_READERS
        || state.failed_copies >= MAX_FAILED_COPIES
        || state.age >= read_age(rank, state);
    match may_read {
        true => StateSource::Store,
        false => StateSource::Copy,
    }
}

/// The time without relayed state after which the instance at `rank` reads the store in place of
/// the reader. Followers would notice only by the age of their state that it has stopped.
fn takeover_delay(rank: usize) -> TimeSpan {
    RELAY_TIMEOUT + TAKEOVER_STEP.times(rank.saturating_sub(1) as u64)
}

/// Whether the instance at `rank` relays its state to the others of its failure domain. One that
/// reads the store only to complete its own state does not: the others have those changes.
pub fn is_relaying(rank: usize, state: KnownState) -> bool {
    let complete = KnownState {
        is_incomplete: false,
        superseded_for: TimeSpan::ZERO,
        ..state
    };
    rank == 0 || state_source(rank, complete) == StateSource::Store
}

/// Whether the instance at `rank` makes the calls that one instance makes for its failure domain,
/// such as publishing usage and following the leader. The first one does, and those that read the
/// store in its place as long as they reach it: in an outage the state of all of them is old, and
/// the first one alone finds out that it is over.
pub fn is_domain_caller(rank: usize, state: KnownState, reaches_store: bool) -> bool {
    rank == 0 || (reaches_store && is_relaying(rank, state))
}

/// Whether the instance at `rank` leaves out a read of the endpoints, because its last read of
/// the configuration (`configuration_reads`) found that the store can't be read and the next one
/// is due. The first one reads both, for the others of its failure domain.
pub fn is_read_deferred(rank: usize, configuration_reads: StoreReads, now: ClockTime) -> bool {
    rank > 0 && configuration_reads.is_lost(now)
}

/// The age of the state at which the instance at `rank` reads the store, if it has no copy.
fn read_age(rank: usize, state: KnownState) -> TimeSpan {
    let delay = direct_read_delay(rank).min(state.max_read_delay);
    state.age_limit + delay
}

/// How long the instance at `rank`, which has a state, may wait for a copy of a newer one before
/// it has to read the store.
pub fn copy_timeout(rank: usize, state: KnownState) -> TimeSpan {
    let remaining = read_age(rank, state).saturating_sub(state.age);
    remaining.min(STATE_COPY_TIMEOUT.saturating_sub(state.superseded_for))
}

/// How long the store may hold a read. One that has to confirm an old state is not held.
pub fn read_wait(age: TimeSpan, age_limit: TimeSpan) -> TimeSpan {
    match age < age_limit {
        true => READ_WAIT,
        false => TimeSpan::ZERO,
    }
}

/// The rank of the instance from which the one at `rank` copies the state first; `None` for
/// those that read the store.
pub fn parent_rank(rank: usize) -> Option<usize> {
    let position = rank.checked_sub(DIRECT_READERS)?;
    Some(position / DIRECT_READERS)
}
