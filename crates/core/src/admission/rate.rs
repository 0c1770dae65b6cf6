//! How fast a pool works off its queue, as measured.

use crate::clock::{ClockTime, TimeSpan};

/// How much a new measurement counts, in percent.
const RATE_GAIN: u64 = 30;

/// How long a measurement takes.
const RATE_SPAN: TimeSpan = TimeSpan::from_secs(1);

/// The measured rates of one pool.
#[derive(Clone, Debug)]
pub(super) struct RateMeter {
    rate: u64,
    /// Counter units by which the floor rises in a second; zero until measured.
    floor_rate: u64,
    since: ClockTime,
    cost: u64,
    saturated: bool,
    floor: u64,
}

impl RateMeter {
    /// A meter that goes by `rate` until it has measured one.
    pub fn new(now: ClockTime, rate: u64) -> RateMeter {
        RateMeter {
            rate: rate.max(1),
            floor_rate: 0,
            since: now,
            cost: 0,
            saturated: false,
            floor: 0,
        }
    }

    /// Cost units worked off in a second.
    pub fn rate(&self) -> u64 {
        self.rate
    }

    /// Counter units by which the floor rises in a second; zero until measured.
    pub fn floor_rate(&self) -> u64 {
        self.floor_rate
    }

    /// Scales the rate with the slots, as a lost endpoint takes its part of the
    /// rate along; from or to none at all it is `fallback`.
    pub fn rescale(&mut self, old_slots: u32, new_slots: u32, fallback: u64) {
        self.rate = match (old_slots, new_slots) {
            (0, _) | (_, 0) => fallback.max(1),
            (old, new) => (self.rate * u64::from(new) / u64::from(old)).max(1),
        };
    }

    /// Counts work that has ended.
    pub fn finish(&mut self, cost: u64) {
        self.cost += cost;
    }

    /// Ends the measurement when its time has come. One in which nothing waited
    /// tells only a lower bound of the rate.
    pub fn measure(&mut self, now: ClockTime, waits: bool, floor: u64) {
        let elapsed = now.since(self.since);
        if elapsed < RATE_SPAN {
            self.saturated &= waits;
            return;
        }
        let elapsed = elapsed.as_millis().max(1);
        let measured = self.cost * 1_000 / elapsed;
        if self.saturated || measured > self.rate {
            self.rate = blend(self.rate, measured).max(1);
        }
        let risen = floor.saturating_sub(self.floor).saturating_mul(1_000) / elapsed;
        if self.saturated {
            self.floor_rate = blend(self.floor_rate, risen);
        }
        self.floor = floor;
        self.since = now;
        self.cost = 0;
        self.saturated = waits;
    }
}

fn blend(kept: u64, measured: u64) -> u64 {
    (kept * (100 - RATE_GAIN) + measured * RATE_GAIN) / 100
}
