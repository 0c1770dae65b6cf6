//! How far the directory of an instance agrees with the registrations in the store.
//!
//! The directory is confirmed by complete reads of the store, by messages of an instance that
//! reads it and has the same directory, and by copies. A confirmation counts from when the
//! information was current, not from when it arrived.

use std::fmt;

use serde::Serialize;

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::InstanceId,
    relay::{DigestMismatchTimer, StateValidity, StoreReads},
};

/// Subtracted from the drain bound to limit the age of the directory by which requests are sent:
/// clocks drift, and a request takes some ms to reach its endpoint.
const SEND_MARGIN: TimeSpan = TimeSpan::from_millis(150);

/// The maximum age of the directory by which requests are sent, if an endpoint must not get any
/// from `bound` after it announced that it leaves.
pub fn max_directory_age(bound: TimeSpan) -> TimeSpan {
    bound.saturating_sub(SEND_MARGIN)
}

/// From where a directory was confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DirectorySource {
    /// A read of the store by this instance.
    Store,
    /// A copy from another instance.
    Copy,
    /// The relay message of an instance that reads the store.
    Relay(InstanceId),
}

impl fmt::Display for DirectorySource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DirectorySource::Store => f.write_str("store"),
            DirectorySource::Copy => f.write_str("copy"),
            DirectorySource::Relay(instance) => instance.fmt(f),
        }
    }
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
}

/// What is known at some time of the agreement with the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DirectoryStatus {
    /// The age of the newest confirmation; `None` before the first one.
    pub age: Option<TimeSpan>,
    /// From where it came.
    pub source: Option<DirectorySource>,
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

/// The newest confirmation of a directory, and what is known of the reader's.
#[derive(Clone, Debug, Default)]
pub struct DirectorySync {
    confirmed: Option<(ClockTime, DirectorySource)>,
    difference: DigestMismatchTimer,
    must_resync: bool,
    failed_copies: u32,
}

impl DirectorySync {
    /// Nothing was read yet.
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

    /// Whether all registrations have to be read or copied.
    pub fn is_incomplete(&self) -> bool {
        self.confirmed.is_none() || self.must_resync
    }

    /// The number of copies in a row that have failed.
    pub fn failed_copies(&self) -> u32 {
        self.failed_copies
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
    pub fn confirm(&mut self, known_at: ClockTime, source: DirectorySource) {
        self.must_resync = false;
        self.failed_copies = 0;
        self.difference.reset();
        self.advance(known_at, source);
    }

    fn advance(&mut self, known_at: ClockTime, source: DirectorySource) {
        if self.confirmed_at() < Some(known_at) {
            self.confirmed = Some((known_at, source));
        }
    }

    /// Compares the directory, which has the digest `local`, with that of a reader after its
    /// changes were applied. Returns whether all registrations have to be read or copied now.
    pub fn note_relayed(&mut self, now: ClockTime, local: u64, relayed: RelayedDirectory) -> bool {
        // What another reader knew earlier may differ from what is known here.
        let is_newer = self.confirmed_at() <= Some(relayed.known_at);
        if is_newer && self.difference.compare(now, local, relayed.digest) {
            self.must_resync = true;
            return true;
        }
        if local == relayed.digest {
            let source = DirectorySource::Relay(relayed.reader);
            self.advance(relayed.known_at, source);
        }
        false
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

    /// What is known at `now`.
    pub fn status(&self, now: ClockTime) -> DirectoryStatus {
        DirectoryStatus {
            age: self.age(now),
            source: self.confirmed.as_ref().map(|(_, source)| source.clone()),
            differs_for: self.difference.differs_for(now),
        }
    }
}
