//! Tracks failures of an endpoint and ejects it while it fails.
//!
//! An endpoint that fails several requests in a row is ejected: it is excluded from
//! selection for a period that doubles with each ejection, until the endpoint has
//! answered a request at its full share again. After an ejection, and when it is new,
//! its share of the load grows from a tenth to the full share during the slow start.
//! Without the slow start, all entries would see an idle endpoint with cold caches and
//! send all requests to it at once, and these requests would time out together.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::{
    clock::{ClockTime, TimeSpan},
    routing::RoutingSettings,
};

/// Share of the full load at the beginning of the slow start, in percent.
const INITIAL_SHARE_PERCENT: u64 = 10;

/// Health of one endpoint as observed by this entry.
#[derive(Clone, Debug, Default)]
pub struct EndpointHealth {
    failures: u32,
    ejections: u32,
    ejected_until: Option<ClockTime>,
    ramp_start: Option<ClockTime>,
}

impl EndpointHealth {
    /// An endpoint that has served for a long time and gets its full share.
    pub fn new() -> EndpointHealth {
        EndpointHealth::default()
    }

    /// An endpoint that starts to serve at `now` and goes through the slow start.
    pub fn with_slow_start(now: ClockTime) -> EndpointHealth {
        EndpointHealth {
            ramp_start: Some(now),
            ..EndpointHealth::default()
        }
    }

    /// Records that a request was answered.
    pub fn note_success(&mut self, now: ClockTime, settings: &RoutingSettings) {
        self.failures = 0;
        if self.share(now, settings) == 100 {
            self.ejections = 0;
        }
    }

    /// Records that a request failed. Returns the duration of the ejection if the
    /// failure ejects the endpoint.
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
        let is_recovering = self.ejections > 0 && self.share(now, settings) < 100;
        if self.failures < settings.eject_after && !is_recovering {
            return None;
        }
        let factor = 1_u64 << self.ejections.min(16);
        let ejection = settings.eject_first.times(factor).min(settings.eject_most);
        let jitter = random.random_range(0..=ejection.as_millis() / 4);
        let ejection = ejection + TimeSpan::from_millis(jitter);
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = Some(now + ejection);
        self.ramp_start = Some(now + ejection);
        Some(ejection)
    }

    /// Whether the endpoint is ejected.
    pub fn is_ejected(&self, now: ClockTime) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// When the ejection ends; `None` if the endpoint is not ejected.
    pub fn ejected_until(&self, now: ClockTime) -> Option<ClockTime> {
        self.ejected_until.filter(|until| now < *until)
    }

    /// Current share of the full load, in percent.
    pub fn share(&self, now: ClockTime, settings: &RoutingSettings) -> u32 {
        let Some(start) = self.ramp_start else {
            return 100;
        };
        let slow_start = settings.slow_start.as_millis().max(1);
        let elapsed = now.since(start).as_millis().min(slow_start);
        (INITIAL_SHARE_PERCENT + (100 - INITIAL_SHARE_PERCENT) * elapsed / slow_start) as u32
    }
}
