//! Fetching a version of the configuration that the reader advertises.
//!
//! If every instance fetched a large configuration from the store, the store's
//! bandwidth and the instances' links would be busy for longer than a version may
//! take to be in force. So the reader of a failure domain publishes a compressed copy
//! in a topic of our own and advertises its offset; the others fetch that. An instance
//! that gets no offset in time, or can't read the copy, fetches the original.

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::LogOffset,
    units::ByteSize,
};

/// The size from which a configuration is copied: fetching a smaller one is faster than
/// making a copy.
pub const COPY_THRESHOLD: ByteSize = ByteSize::new(128 * 1_024);

/// How long an instance waits for the copy of an advertised version.
const COPY_TIMEOUT: TimeSpan = TimeSpan::from_millis(700);

/// The position of a copy in the topic of copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyLocation {
    /// The offset of its first record.
    pub offset: LogOffset,
    /// How many records it has.
    pub records: u32,
    /// Its size, all records together.
    pub size: ByteSize,
}

/// The state of the copy of the reader's version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CopyState {
    /// No copy is made.
    #[default]
    Absent,
    /// It is being made.
    Pending,
    /// It can be fetched.
    Available(CopyLocation),
}

/// Where to fetch a version that is missing here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionSource {
    /// Nowhere yet; its copy is being made.
    Pending,
    /// From the copy.
    Copy(CopyLocation),
    /// From the operator's record.
    Original,
}

/// The newest version that the reader of the failure domain has advertised.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdvertisedConfiguration {
    version: u64,
    advertised_at: ClockTime,
    known_at: ClockTime,
    next: LogOffset,
    copy: CopyState,
    copy_failed: bool,
}

/// What a reader advertises.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionAdvertisement {
    /// The version that it has in force.
    pub version: u64,
    /// When that was known to be the newest one, on the receiver's clock.
    pub known_at: ClockTime,
    /// The offset that the reader reads next; no newer version precedes it.
    pub next: LogOffset,
    /// The copy of the version.
    pub copy: CopyState,
}

impl AdvertisedConfiguration {
    /// No version yet.
    pub fn new() -> AdvertisedConfiguration {
        AdvertisedConfiguration::default()
    }

    /// Takes what the reader advertises. Returns whether a follower that waits has
    /// something to do.
    pub fn note_advertisement(&mut self, now: ClockTime, received: VersionAdvertisement) -> bool {
        if received.version < self.version {
            return false;
        }
        if received.version > self.version {
            *self = AdvertisedConfiguration {
                version: received.version,
                advertised_at: now,
                known_at: received.known_at,
                next: received.next,
                copy: received.copy,
                copy_failed: false,
            };
            return true;
        }
        self.known_at = self.known_at.max(received.known_at);
        self.next = self.next.max(received.next);
        let is_changed = received.copy != self.copy;
        self.copy = received.copy;
        is_changed
    }

    /// The version; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// When the version was last known to be the newest one.
    pub fn known_at(&self) -> ClockTime {
        self.known_at
    }

    /// The offset from which an instance with `version` in force follows the log by
    /// itself; nothing if it has another version and must fetch the newest one.
    pub fn resume_offset(&self, version: Option<u64>) -> Option<LogOffset> {
        let is_known = version == Some(self.version) && self.next > LogOffset::START;
        is_known.then_some(self.next)
    }

    /// The copy could not be used; the original is fetched instead.
    pub fn note_failed_copy(&mut self) {
        self.copy_failed = true;
    }

    /// Where to fetch the version.
    pub fn source(&self, now: ClockTime) -> VersionSource {
        match self.copy {
            CopyState::Available(place) if !self.copy_failed => VersionSource::Copy(place),
            CopyState::Pending if now.since(self.advertised_at) < COPY_TIMEOUT => {
                VersionSource::Pending
            }
            _ => VersionSource::Original,
        }
    }
}
