//! Whether an endpoint can be trusted with work.
//!
//! An endpoint that fails several requests in a row is left alone for a time
//! that doubles with each return to failure. When it comes back, or is new, its
//! share grows from a tenth to the whole over the slow start: without it, all
//! entries would see an idle endpoint with cold caches and send it everything
//! at once, and its callers would time out together.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::{
    clock::{ClockTime, TimeSpan},
    routing::RoutingSettings,
};

/// The percent of its full share that an endpoint starts with.
const FIRST_SHARE: u64 = 10;

/// The health of one endpoint as this entry sees it.
#[derive(Clone, Debug, Default)]
pub struct EndpointHealth {
    failures: u32,
    ejections: u32,
    ejected_until: Option<ClockTime>,
    ramp_start: Option<ClockTime>,
}

impl EndpointHealth {
    /// An endpoint that has served for long.
    pub fn new() -> EndpointHealth {
        EndpointHealth::default()
    }

    /// An endpoint that begins to serve at `now` and starts slowly.
    pub fn with_start(now: ClockTime) -> EndpointHealth {
        EndpointHealth {
            ramp_start: Some(now),
            ..EndpointHealth::default()
        }
    }

    /// A request was answered.
    pub fn note_success(&mut self, now: ClockTime, settings: &RoutingSettings) {
        self.failures = 0;
        if self.share(now, settings) == 100 {
            self.ejections = 0;
        }
    }

    /// A request failed. Returns the length of the ejection if there is one.
    pub fn note_failure(
        &mut self,
        now: ClockTime,
        settings: &RoutingSettings,
        random: &mut ChaCha8Rng,
    ) -> Option<TimeSpan> {
        if self.is_ejected(now) {
            return None;
        }
        self.failures += 1;
        let returned = self.ejections > 0 && self.share(now, settings) < 100;
        if self.failures < settings.eject_after && !returned {
            return None;
        }
        let doubled = 1_u64 << self.ejections.min(16);
        let span = settings.eject_first.times(doubled).min(settings.eject_most);
        let jitter = random.random_range(0..=span.as_millis() / 4);
        let span = span + TimeSpan::from_millis(jitter);
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = Some(now + span);
        self.ramp_start = Some(now + span);
        Some(span)
    }

    /// Whether it is left alone.
    pub fn is_ejected(&self, now: ClockTime) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Until when it is left alone, if it is.
    pub fn ejected_until(&self, now: ClockTime) -> Option<ClockTime> {
        self.ejected_until.filter(|until| now < *until)
    }

    /// The percent of its full share that it gets now.
    pub fn share(&self, now: ClockTime, settings: &RoutingSettings) -> u32 {
        let Some(start) = self.ramp_start else {
            return 100;
        };
        let whole = settings.slow_start.as_millis().max(1);
        let gone = now.since(start).as_millis().min(whole);
        (FIRST_SHARE + (100 - FIRST_SHARE) * gone / whole) as u32
    }
}
