//! Sharing reads of the store within a failure domain.
//!
//! Each call to the store has a price, and the total call rate of all instances is
//! limited, so the instances can't all poll it. In each failure domain one instance,
//! the *reader*, follows the store and relays the changes and their freshness to the
//! others; an instance whose relayed data is too old or incomplete takes it from another
//! instance or reads the store directly ([`state_source`]). A failure domain that is
//! partitioned from the others has its own reader.
//!
//! The age of relayed data is computed without comparing clocks: each instance sends a
//! timestamp of its own clock, and each message of the reader echoes the last timestamp
//! that the reader had received when it sent the message. A datagram that waited in
//! a buffer while its receiver was suspended therefore can't make old data look fresh. The
//! clock begins anew with the machine, so a timestamp counts only for the process that sent it.

mod changes;
mod confirmation;
mod copies;
mod source;

pub use self::changes::ChangeQueue;
pub use self::confirmation::{ConfirmationSource, StateValidity, StoreReads};
pub use self::copies::{
    AdvertisedConfiguration, COPY_THRESHOLD, CopyLocation, CopyState, VersionAdvertisement,
    VersionSource,
};
pub use self::source::{
    DIRECT_READERS, KnownState, MAX_CONFIGURATION_READ_DELAY, MAX_FAILED_COPIES, MAX_READER_AGE,
    RELAY_TIMEOUT, StateSource, copy_timeout, direct_read_delay, is_domain_caller,
    is_read_deferred, is_relaying, parent_rank, read_wait, state_source,
};
use serde::Serialize;

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::InstanceId,
};

/// The time from relayed data being too old until a direct read has completed: the age
/// is checked a few times per second, and the read may have to be repeated once.
const DIRECT_READ_TIME: TimeSpan = TimeSpan::from_millis(700);

/// The lower bound of [`relay_age_limit`]: readers poll the store about twice per
/// second, and their messages arrive some tenths of a second later.
const MIN_RELAY_AGE_LIMIT: TimeSpan = TimeSpan::from_millis(1_100);

/// The maximum age of relayed data for changes that must take effect within `bound`:
/// past it, a direct read still finds a change that was not relayed in time.
pub fn relay_age_limit(bound: TimeSpan) -> TimeSpan {
    bound
        .saturating_sub(DIRECT_READ_TIME)
        .max(MIN_RELAY_AGE_LIMIT)
}

/// How long the endpoint digests of an instance and its reader may differ before the
/// instance reads all registrations: changes in transit cause short differences.
pub const DIGEST_MISMATCH_TIMEOUT: TimeSpan = TimeSpan::from_millis(700);

/// Whether `local` is the reader of its failure domain, which is the first by name of
/// the live instances there. `alive` yields the other ones.
pub fn is_reader<'a, Alive>(local: &InstanceId, mut alive: Alive) -> bool
where
    Alive: Iterator<Item = &'a InstanceId>,
{
    alive.all(|peer| local < peer)
}

/// A timestamp of an instance, with the start of the process that sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ProcessStamp {
    /// The time of the start in ms, which distinguishes the restarts of the instance.
    pub start: u64,
    /// The clock of the process in ms; 0 for no timestamp.
    pub millis: u64,
}

impl ProcessStamp {
    /// The timestamp `millis` of the process that started at `start`.
    pub const fn new(start: u64, millis: u64) -> ProcessStamp {
        ProcessStamp { start, millis }
    }
}

/// The last timestamp of this instance that another one had received before it sent its
/// message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EchoedTimestamp {
    /// The time at which this instance sent the timestamp, on its own clock.
    pub sent: ClockTime,
}

impl EchoedTimestamp {
    /// The timestamp that `echo` holds for the process that started at `start`. `None` if the
    /// sender has not received one of this process: after a loss of power the timestamps of
    /// earlier processes lie in the future of this one.
    pub fn of_process(echo: ProcessStamp, start: u64, now: ClockTime) -> Option<EchoedTimestamp> {
        let sent = ClockTime::from_millis(echo.millis);
        let is_own = echo.start == start && echo.millis > 0 && sent <= now;
        is_own.then_some(EchoedTimestamp { sent })
    }

    /// The time on the local clock at which the message's data was known to be current:
    /// the peer sent it after it had received the timestamp, when the data was `age` old.
    pub fn known_at(self, age: TimeSpan) -> ClockTime {
        self.sent - age
    }
}

/// Measures how long the endpoint digests of an instance and its reader have differed.
#[derive(Clone, Copy, Debug, Default)]
pub struct DigestMismatchTimer {
    mismatch_since: Option<ClockTime>,
}

impl DigestMismatchTimer {
    /// A timer without an observed difference.
    pub fn new() -> DigestMismatchTimer {
        DigestMismatchTimer::default()
    }

    /// Compares the digests; returns whether all registrations have to be read because
    /// the digests have differed for [`DIGEST_MISMATCH_TIMEOUT`].
    pub fn compare(&mut self, now: ClockTime, local: u64, reader: u64) -> bool {
        if local == reader {
            self.mismatch_since = None;
            return false;
        }
        let since = *self.mismatch_since.get_or_insert(now);
        now.since(since) >= DIGEST_MISMATCH_TIMEOUT
    }

    /// For how long the digests have differed at `now`.
    pub fn differs_for(&self, now: ClockTime) -> Option<TimeSpan> {
        self.mismatch_since.map(|since| now.since(since))
    }

    /// Restarts the measurement after all registrations were read.
    pub fn reset(&mut self) {
        self.mismatch_since = None;
    }
}
