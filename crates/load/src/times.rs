//! Times of many calls, and their percentiles.

use std::{fmt, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

/// The longest time that is told apart, in microseconds.
const LONGEST_MICROS: u64 = 600_000_000;

/// Significant digits of times.
const DIGITS: u8 = 3;

/// Times, kept so that percentiles can be had.
#[derive(Clone, Debug)]
pub struct TimeStats {
    histogram: Histogram<u64>,
}

impl TimeStats {
    /// No times yet.
    pub fn new() -> TimeStats {
        let histogram = Histogram::new_with_bounds(1, LONGEST_MICROS, DIGITS);
        TimeStats {
            histogram: histogram.expect("the bounds are constant"),
        }
    }

    /// Adds a time.
    pub fn add(&mut self, time: Duration) {
        let micros = time.as_micros().min(u128::from(LONGEST_MICROS)) as u64;
        self.histogram.saturating_record(micros.max(1));
    }

    /// Adds all times of `other`.
    pub fn merge(&mut self, other: &TimeStats) {
        let added = self.histogram.add(&other.histogram);
        added.expect("all histograms have the same bounds");
    }

    /// The time that this share of all is within, in milliseconds.
    pub fn quantile(&self, share: f64) -> f64 {
        self.histogram.value_at_quantile(share) as f64 / 1_000.0
    }

    /// The usual percentiles.
    pub fn percentiles(&self) -> TimePercentiles {
        TimePercentiles {
            count: self.histogram.len(),
            p50_ms: self.quantile(0.5),
            p90_ms: self.quantile(0.9),
            p99_ms: self.quantile(0.99),
            max_ms: self.histogram.max() as f64 / 1_000.0,
        }
    }
}

impl Default for TimeStats {
    fn default() -> TimeStats {
        TimeStats::new()
    }
}

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct TimePercentiles {
    /// How many times there are.
    pub count: u64,
    /// Half are within this.
    pub p50_ms: f64,
    /// Nine tenths are within this.
    pub p90_ms: f64,
    /// All but a hundredth are within this.
    pub p99_ms: f64,
    /// All are within this.
    pub max_ms: f64,
}

impl fmt::Display for TimePercentiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TimePercentiles {
            p50_ms,
            p90_ms,
            p99_ms,
            max_ms,
            ..
        } = self;
        write!(
            f,
            "p50 {p50_ms:.1} p90 {p90_ms:.1} p99 {p99_ms:.1} max {max_ms:.1} ms"
        )
    }
}
