//! Measures the rate at which a pool processes its queue.

use crate::clock::{ClockTime, TimeSpan};

/// Weight of a new measurement in the moving average, in percent.
const RATE_GAIN: u64 = 30;

/// Minimum duration of a measurement.
const MEASUREMENT_PERIOD: TimeSpan = TimeSpan::from_secs(1);

/// The measured rates of one pool.
#[derive(Clone, Debug)]
pub(super) struct RateMeter {
    rate: u64,
    /// Counter units by which the floor rises per second; zero until measured.
    floor_rate: u64,
    started_at: ClockTime,
    finished_cost: u64,
    saturated: bool,
    floor: u64,
}

impl RateMeter {
    /// Creates a meter that returns `rate` until it has measured one.
    pub fn new(now: ClockTime, rate: u64) -> RateMeter {
        RateMeter {
            rate: rate.max(1),
            floor_rate: 0,
            started_at: now,
            finished_cost: 0,
            saturated: false,
            floor: 0,
        }
    }

    /// Cost processed per second.
    pub fn rate(&self) -> u64 {
        self.rate
    }

    /// Counter units by which the floor rises per second; zero until measured.
    pub fn floor_rate(&self) -> u64 {
        self.floor_rate
    }

    /// Scales the rate with the slots, as a lost endpoint reduces the rate in
    /// proportion. If there were or are no slots, the rate becomes `fallback`.
    pub fn rescale(&mut self, old_slots: u32, new_slots: u32, fallback: u64) {
        self.rate = match (old_slots, new_slots) {
            (0, _) | (_, 0) => fallback.max(1),
            (old, new) => (self.rate * u64::from(new) / u64::from(old)).max(1),
        };
    }

    /// Counts the cost of work that has ended.
    pub fn finish(&mut self, cost: u64) {
        self.finished_cost += cost;
    }

    /// Completes the measurement if its period is over. A measurement during which the
    /// queue was empty at times gives only a lower bound of the rate.
    pub fn measure(&mut self, now: ClockTime, has_waiting: bool, floor: u64) {
        let elapsed = now.since(self.started_at);
        if elapsed < MEASUREMENT_PERIOD {
            self.saturated &= has_waiting;
            return;
        }
        let elapsed = elapsed.as_millis().max(1);
        let measured = self.finished_cost * 1_000 / elapsed;
        if self.saturated || measured > self.rate {
            self.rate = moving_average(self.rate, measured).max(1);
        }
        let floor_increase = floor.saturating_sub(self.floor).saturating_mul(1_000) / elapsed;
        if self.saturated {
            self.floor_rate = moving_average(self.floor_rate, floor_increase);
        }
        self.floor = floor;
        self.started_at = now;
        self.finished_cost = 0;
        self.saturated = has_waiting;
    }
}

fn moving_average(average: u64, measured: u64) -> u64 {
    (average * (100 - RATE_GAIN) + measured * RATE_GAIN) / 100
}
