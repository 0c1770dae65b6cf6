//! Sharing reads of the store within a failure domain.
//!
//! Each call to the store is priced and the calls of all instances together are
//! limited, so not everybody can ask it all the time. In each failure domain one
//! instance, the *reader*, follows the store and tells the others what changed
//! and how fresh that is; they read for themselves as soon as its word is too old.
//! A failure domain that is cut off from the others has its own reader.
//!
//! What a word is worth is judged without comparing clocks: each instance sends a
//! stamp of its own clock, and the reader's answer names the last stamp that it
//! had received when it spoke. So a datagram that lay in a buffer while its
//! receiver was suspended can't make old knowledge look fresh.

mod copies;

pub use self::copies::{
    AdvertisedConfiguration, COPY_THRESHOLD, CopyLocation, CopyState, VersionAdvertisement,
    VersionSource,
};
use crate::{
    clock::{ClockTime, TimeSpan},
    ids::InstanceId,
};

/// How long it takes from noticing that a reader's word is too old to having read:
/// looking a few times a second, and a read that has to be repeated once.
const DIRECT_READ_TIME: TimeSpan = TimeSpan::from_millis(700);

/// The shortest age at which a reader's word is too old: readers ask the store
/// about twice a second, and their word takes some tenths of a second.
const MIN_RELAY_AGE_LIMIT: TimeSpan = TimeSpan::from_millis(1_100);

/// How old a reader's word may be, so that what it does not say is known in time
/// all the same: a change that must have effect within `bound`.
pub fn relay_age_limit(bound: TimeSpan) -> TimeSpan {
    bound.less(DIRECT_READ_TIME).max(MIN_RELAY_AGE_LIMIT)
}

/// For how long two pictures of the endpoints may differ before the one who is
/// told reads them whole: what is on its way makes them differ for a moment.
pub const DIGEST_MISMATCH_TIMEOUT: TimeSpan = TimeSpan::from_millis(700);

/// Whether `own` is the reader of its failure domain: of the instances there that
/// are alive, the first by name.
pub fn is_reader<'a, Alive>(own: &InstanceId, mut alive: Alive) -> bool
where
    Alive: Iterator<Item = &'a InstanceId>,
{
    alive.all(|peer| own < peer)
}

/// The stamp of ours that another instance names in its word: it had received it
/// before it spoke.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EchoedTimestamp {
    /// Our clock when we sent it.
    pub sent: ClockTime,
}

impl EchoedTimestamp {
    /// The time on our clock at which what the other says was true: it spoke after
    /// it had received our stamp, of knowledge that was `age` old then.
    pub fn known_at(self, age: TimeSpan) -> ClockTime {
        self.sent - age
    }
}

/// Whether two pictures of the endpoints have differed for too long.
#[derive(Clone, Copy, Debug, Default)]
pub struct DigestMismatchTimer {
    mismatch_since: Option<ClockTime>,
}

impl DigestMismatchTimer {
    /// No difference seen.
    pub fn new() -> DigestMismatchTimer {
        DigestMismatchTimer::default()
    }

    /// Compares; answers whether the picture has to be read whole.
    pub fn compare(&mut self, now: ClockTime, local: u64, reader: u64) -> bool {
        if local == reader {
            self.mismatch_since = None;
            return false;
        }
        let since = *self.mismatch_since.get_or_insert(now);
        now.since(since) >= DIGEST_MISMATCH_TIMEOUT
    }

    /// The picture has been read whole.
    pub fn reset(&mut self) {
        self.mismatch_since = None;
    }
}
