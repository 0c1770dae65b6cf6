//! How far the directory of an instance agrees with the registrations in the store.
//!
//! The directory is confirmed by complete reads of the store, by messages of an instance that
//! reads it and has the same directory, and by copies. A confirmation counts from when the
//! information was current, not from when it arrived.

use std::{collections::VecDeque, fmt};

use serde::Serialize;

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::InstanceId,
    relay::{
        ConfirmationSource, DigestMismatchTimer, KnownState, StateValidity, StoreReads,
        relay_age_limit,
    },
};

/// Subtracted from the drain bound to limit the age of the directory by which requests are sent:
/// clocks drift, and a request takes some ms to reach its endpoint.
const SEND_MARGIN: TimeSpan = TimeSpan::from_millis(150);

/// The maximum age of the directory by which requests are sent, if an endpoint must not get any
/// from `bound` after it announced that it leaves.
pub fn max_directory_age(bound: TimeSpan) -> TimeSpan {
    bound.saturating_sub(SEND_MARGIN)
}

/// The directory of an instance that reads the store, as its relay message describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayedDirectory {
    /// The instance.
    pub reader: InstanceId,
    /// The digest of its directory.
    pub digest: u64,
    /// When that was known to be complete, on the clock of the receiver.
    pub known_at: ClockTime,
    /// How many times it left out changes, because they were too many to relay.
    pub omissions: u64,
}

/// The changes that a reader left out: the reader and how many times it has done so.
type ReaderOmissions = (InstanceId, u64);

/// What an instance knows of the reader of its failure domain.
#[derive(Clone, Copy, Debug)]
pub struct ReaderState {
    /// Whether it relays state that it has not read for some time.
    pub is_behind: bool,
    /// The time since current state was relayed.
    pub silent_for: TimeSpan,
}

/// The copy that an instance needs from another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WantedCopy {
    /// The digest of the reader's directory; `None` if none was relayed.
    pub digest: Option<u64>,
    /// The age below which a copy with another digest will do; `None` if any will.
    pub max_age: Option<TimeSpan>,
}

/// The number of relayed digests that are kept to recognise copies by. A copy lacks the changes
/// that the reader has relayed during its transfer.
const MAX_RELAYED_DIGESTS: usize = 16;

/// The age of a directory and how it was confirmed, for logs and the state dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DirectoryStatus {
    /// The age of the newest confirmation; `None` before the first one.
    pub age: Option<TimeSpan>,
    /// From where it came.
    pub source: Option<ConfirmationSource>,
    /// For how long the directory has differed from that of the reader.
    pub differs_for: Option<TimeSpan>,
}

impl fmt::Display for DirectoryStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.age, &self.source) {
            (Some(age), Some(source)) => write!(f, "{age} by {source}")?,
            _ => f.write_str("never")?,
        }
        match self.differs_for {
            Some(span) => write!(f, " differs {span}"),
            None => Ok(()),
        }
    }
}

/// The newest confirmation of a directory, and its difference from the reader's.
#[derive(Clone, Debug, Default)]
pub struct DirectorySync {
    confirmed: Option<(ClockTime, ConfirmationSource)>,
    /// The newest relayed directories, in rising order of their times.
    relayed: VecDeque<RelayedDirectory>,
    difference: DigestMismatchTimer,
    /// The left out changes that the directory contains.
    included_omissions: Option<ReaderOmissions>,
    /// Those that it will contain after the next copy or complete read.
    pending_omissions: Option<ReaderOmissions>,
    must_resync: bool,
    failed_copies: u32,
}

impl DirectorySync {
    /// The state before the first read.
    pub fn new() -> DirectorySync {
        DirectorySync::default()
    }

    /// When the directory was last known to contain everything that was in the store.
    pub fn confirmed_at(&self) -> Option<ClockTime> {
        self.confirmed.as_ref().map(|(at, _)| *at)
    }

    /// The age of the newest confirmation.
    pub fn age(&self, now: ClockTime) -> Option<TimeSpan> {
        self.confirmed_at().map(|at| now.since(at))
    }

    /// What decides from where the directory is taken, in a process that started at `started_at`.
    /// Changes have to take effect within `drain_bound`; `reader` is what is known of the reader.
    pub fn known_state(
        &self,
        now: ClockTime,
        started_at: ClockTime,
        drain_bound: TimeSpan,
        reader: ReaderState,
    ) -> KnownState {
        let age = now.since(self.confirmed_at().unwrap_or(started_at));
        let age_limit = relay_age_limit(drain_bound);
        // Reads by all instances whose copies fail at the same time would take the store longer
        // than the copies; until the directory is too old, only copies are tried.
        let is_usable = self.confirmed.is_some() && age < age_limit;
        KnownState {
            age,
            age_limit,
            // A direct read transfers all registrations, so the instances have to take turns.
            max_read_delay: TimeSpan::MAX,
            is_incomplete: self.confirmed.is_none() || self.must_resync,
            superseded_for: TimeSpan::ZERO,
            is_reader_behind: reader.is_behind,
            silent_for: reader.silent_for,
            failed_copies: if is_usable { 0 } else { self.failed_copies },
        }
    }

    /// Whether the directory differs from the reader's, so that it has to be read or copied.
    pub fn must_resync(&self) -> bool {
        self.must_resync
    }

    /// Records that a copy failed.
    pub fn note_failed_copy(&mut self) {
        self.failed_copies += 1;
    }

    /// Records that the directory contains everything that was in the store at `known_at`.
    pub fn confirm(&mut self, known_at: ClockTime, source: ConfirmationSource) {
        self.must_resync = false;
        self.failed_copies = 0;
        self.difference.reset();
        if let Some(omissions) = self.pending_omissions.take() {
            self.included_omissions = Some(omissions);
        }
        self.advance(known_at, source);
    }

    fn advance(&mut self, known_at: ClockTime, source: ConfirmationSource) {
        if self.confirmed_at() < Some(known_at) {
            self.confirmed = Some((known_at, source));
        }
    }

    /// Compares the directory, which has the digest `local`, with that of a reader after its
    /// changes were applied. Returns whether all registrations have to be read or copied now.
    pub fn note_relayed(&mut self, now: ClockTime, local: u64, relayed: RelayedDirectory) -> bool {
        // What another reader knew earlier may differ from what is known here.
        let is_newer = self.confirmed_at() <= Some(relayed.known_at);
        if is_newer {
            let is_overdue = self.difference.compare(now, local, relayed.digest);
            self.must_resync = self.note_omissions(local, &relayed) || is_overdue;
        }
        if local == relayed.digest {
            let source = ConfirmationSource::Instance(relayed.reader.clone());
            self.advance(relayed.known_at, source);
        }
        self.remember(relayed);
        self.must_resync
    }

    /// Whether the reader has left out changes that are missing here.
    fn note_omissions(&mut self, local: u64, relayed: &RelayedDirectory) -> bool {
        let omissions = (relayed.reader.clone(), relayed.omissions);
        if relayed.omissions == 0 || self.included_omissions.as_ref() == Some(&omissions) {
            return false;
        }
        if local == relayed.digest {
            self.included_omissions = Some(omissions);
            return false;
        }
        self.pending_omissions = Some(omissions);
        true
    }

    fn remember(&mut self, relayed: RelayedDirectory) {
        let newest_at = self.relayed.back().map(|newest| newest.known_at);
        if newest_at > Some(relayed.known_at) {
            return;
        }
        self.relayed.retain(|known| known.digest != relayed.digest);
        self.relayed.push_back(relayed);
        if self.relayed.len() > MAX_RELAYED_DIGESTS {
            self.relayed.pop_front();
        }
    }

    /// The copy that would bring the directory up to date.
    pub fn wanted_copy(&self, now: ClockTime) -> WantedCopy {
        WantedCopy {
            digest: self.relayed.back().map(|newest| newest.digest),
            max_age: self.age(now),
        }
    }

    /// The time at which a copy with this digest, which its source had confirmed at `known_at`,
    /// was complete. `None` if it may be older than the directory here: it would bring back
    /// endpoints that have left since.
    pub fn copy_known_at(&self, known_at: ClockTime, digest: u64) -> Option<ClockTime> {
        let relayed = self.relayed.iter().find(|known| known.digest == digest);
        let relayed_at = relayed.map(|relayed| relayed.known_at);
        let known_at = Some(known_at).max(relayed_at)?;
        (Some(known_at) > self.confirmed_at()).then_some(known_at)
    }

    /// Whether requests may be sent by the directory.
    pub fn validity(
        &self,
        now: ClockTime,
        drain_bound: TimeSpan,
        reads: StoreReads,
    ) -> StateValidity {
        let max_age = max_directory_age(drain_bound);
        StateValidity::at(now, self.age(now), max_age, reads)
    }

    /// The status at `now`.
    pub fn status(&self, now: ClockTime) -> DirectoryStatus {
        DirectoryStatus {
            age: self.age(now),
            source: self.confirmed.as_ref().map(|(_, source)| source.clone()),
            differs_for: self.difference.differs_for(now),
        }
    }
}
