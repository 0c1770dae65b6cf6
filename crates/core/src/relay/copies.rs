//! Fetching a version of the configuration that the reader has told of.
//!
//! A large configuration that every instance reads from the store as it lies there
//! takes the store's bandwidth and the instances' links for longer than it may take
//! to be in force. So the reader of a failure domain appends a compressed copy to a
//! topic of our own and tells where it stands; the others read that. Whoever is not
//! told of a copy in time, or can't read it, reads the configuration itself.

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::LogOffset,
    units::ByteSize,
};

/// From which size on a configuration is copied: smaller ones are read faster than a
/// copy is made.
pub const COPIED_FROM: ByteSize = ByteSize::new(128 * 1_024);

/// How long those who are told of a version wait until its copy stands.
const COPY_PATIENCE: TimeSpan = TimeSpan::from_millis(700);

/// Where a copy stands in the topic of copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyPlace {
    /// The offset of its first record.
    pub offset: LogOffset,
    /// How many records it has.
    pub records: u32,
    /// Its size, all records together.
    pub size: ByteSize,
}

/// What a reader says of the copy of the version that it has in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CopyState {
    /// There is none, and there will be none.
    #[default]
    Absent,
    /// It is being made.
    Pending,
    /// It can be read.
    Stands(CopyPlace),
}

/// Where a version that is missing here is to be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionSource {
    /// Nowhere yet; its copy is being made.
    Awaited,
    /// The copy.
    Copy(CopyPlace),
    /// The configuration itself.
    Original,
}

/// The newest version that the reader of the failure domain has told of.
#[derive(Clone, Copy, Debug, Default)]
pub struct ToldConfiguration {
    version: u64,
    told_at: ClockTime,
    known_at: ClockTime,
    end: LogOffset,
    copy: CopyState,
    has_failed: bool,
}

/// What a reader says of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigurationWord {
    /// The version that it has in force.
    pub version: u64,
    /// When that was known to be the newest one, on the clock of who is told.
    pub known_at: ClockTime,
    /// Where the reader reads on; no newer version stands before it.
    pub end: LogOffset,
    /// The copy of the version.
    pub copy: CopyState,
}

impl ToldConfiguration {
    /// No version told of.
    pub fn new() -> ToldConfiguration {
        ToldConfiguration::default()
    }

    /// Takes the reader's word. Answers whether something changed that a follower
    /// waits for.
    pub fn note(&mut self, now: ClockTime, word: ConfigurationWord) -> bool {
        if word.version < self.version {
            return false;
        }
        if word.version > self.version {
            *self = ToldConfiguration {
                version: word.version,
                told_at: now,
                known_at: word.known_at,
                end: word.end,
                copy: word.copy,
                has_failed: false,
            };
            return true;
        }
        self.known_at = self.known_at.max(word.known_at);
        self.end = self.end.max(word.end);
        let is_changed = word.copy != self.copy;
        self.copy = word.copy;
        is_changed
    }

    /// The version; 0 if none was told of.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// When the version was last known to be the newest one.
    pub fn known_at(&self) -> ClockTime {
        self.known_at
    }

    /// Where whoever has `version` in force reads on when it is not told any more;
    /// nothing if that is not the version told of, and the newest one has to be read.
    pub fn read_on_from(&self, version: Option<u64>) -> Option<LogOffset> {
        let is_known = version == Some(self.version) && self.end > LogOffset::START;
        is_known.then_some(self.end)
    }

    /// The copy could not be used: the version is read as it lies in the store.
    pub fn note_failed_copy(&mut self) {
        self.has_failed = true;
    }

    /// Where the version is to be had.
    pub fn source(&self, now: ClockTime) -> VersionSource {
        match self.copy {
            CopyState::Stands(place) if !self.has_failed => VersionSource::Copy(place),
            CopyState::Pending if now.since(self.told_at) < COPY_PATIENCE => VersionSource::Awaited,
            _ => VersionSource::Original,
        }
    }
}
