//! An average rate that forgets exponentially.

use crate::clock::{ClockTime, TimeSpan};

/// Averaging time of the rate: longer than the delay of reports, shorter than the time
/// within which the load of an organisation changes.
const AVERAGING_TIME: TimeSpan = TimeSpan::from_millis(1_000);

/// Minimum part of the averaging time that has to be observed before the average is scaled
/// up to the whole.
const MIN_OBSERVED_SHARE: f64 = 0.1;

/// The rate at which something arrives, per second.
#[derive(Clone, Copy, Debug)]
pub(super) struct RateAverage {
    value: f64,
    /// The share of the average that lies before the first observation.
    unobserved: f64,
    at: ClockTime,
}

impl RateAverage {
    /// An average that observes from now on.
    pub fn new(now: ClockTime) -> RateAverage {
        RateAverage {
            value: 0.0,
            unobserved: 1.0,
            at: now,
        }
    }

    /// Adds an arrival of `amount`; a negative one takes an earlier arrival back.
    pub fn add(&mut self, now: ClockTime, amount: f64) {
        let decay = self.decay(now);
        self.value = self.value * decay + amount * 1_000.0 / AVERAGING_TIME.as_millis() as f64;
        self.unobserved *= decay;
        self.at = self.at.max(now);
    }

    /// The average rate.
    pub fn rate(&self, now: ClockTime) -> f64 {
        let decay = self.decay(now);
        let observed = 1.0 - self.unobserved * decay;
        (self.value * decay / observed.max(MIN_OBSERVED_SHARE)).max(0.0)
    }

    fn decay(&self, now: ClockTime) -> f64 {
        let elapsed = now.since(self.at).as_millis() as f64;
        (-elapsed / AVERAGING_TIME.as_millis() as f64).exp()
    }
}
