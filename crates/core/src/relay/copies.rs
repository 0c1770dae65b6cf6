//! Fetching the configuration version that the reader advertises.
//!
//! If every instance fetched a large configuration from the store, the transfers would
//! saturate the store's bandwidth and the instances' links for longer than a version
//! may take to be in force. The reader of a failure domain therefore publishes a
//! compressed copy in a separate topic and advertises its offset, and the other
//! instances fetch that copy. An instance that receives no offset in time, or can't
//! read the copy, fetches the original.

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::LogOffset,
    units::ByteSize,
};

/// The minimum size of a configuration that is copied: fetching a smaller one is faster
/// than making a copy.
pub const COPY_THRESHOLD: ByteSize = ByteSize::new(128 * 1_024);

/// How long an instance waits for the copy of an advertised version before it fetches
/// the original.
const COPY_TIMEOUT: TimeSpan = TimeSpan::from_millis(700);

/// The location of a copy in the topic of copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyLocation {
    /// The offset of its first record.
    pub offset: LogOffset,
    /// The number of its records.
    pub records: u32,
    /// The total size of its records.
    pub size: ByteSize,
}

/// The state of the copy of the reader's version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CopyState {
    /// No copy exists or is being made.
    #[default]
    Absent,
    /// The copy is being made.
    Pending,
    /// The copy can be fetched.
    Available(CopyLocation),
}

/// The source from which to fetch a version that is missing here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionSource {
    /// None yet, as the copy is being made.
    Pending,
    /// The copy.
    Copy(CopyLocation),
    /// The operator's record in the store.
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

/// The configuration version that a reader advertises.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionAdvertisement {
    /// The version that the reader has in force.
    pub version: u64,
    /// When this was known to be the newest version, on the receiver's clock.
    pub known_at: ClockTime,
    /// The offset that the reader reads next; no newer version lies before it.
    pub next: LogOffset,
    /// The copy of the version.
    pub copy: CopyState,
}

impl AdvertisedConfiguration {
    /// The state before any version was advertised.
    pub fn new() -> AdvertisedConfiguration {
        AdvertisedConfiguration::default()
    }

    /// Records an advertisement of the reader; older versions are ignored. Returns
    /// whether the version or the state of its copy has changed, so that a waiting
    /// follower must be woken.
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

    /// The advertised version; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// When the version was last known to be the newest.
    pub fn known_at(&self) -> ClockTime {
        self.known_at
    }

    /// The offset from which an instance with `version` in force can follow the log
    /// directly; `None` if it has another version and must fetch the newest one.
    pub fn resume_offset(&self, version: Option<u64>) -> Option<LogOffset> {
        let is_known = version == Some(self.version) && self.next > LogOffset::START;
        is_known.then_some(self.next)
    }

    /// Records that the copy could not be used, so that the original is fetched instead.
    pub fn note_failed_copy(&mut self) {
        self.copy_failed = true;
    }

    /// The source from which to fetch the advertised version at `now`.
    pub fn source(&self, now: ClockTime) -> VersionSource {
        match self.copy {
            CopyState::Available(location) if !self.copy_failed => VersionSource::Copy(location),
            CopyState::Pending if now.since(self.advertised_at) < COPY_TIMEOUT => {
                VersionSource::Pending
            }
            _ => VersionSource::Original,
        }
    }
}
