//! Estimates the requested prompt and output tokens per second.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    clock::{ClockTime, TimeSpan},
    routing::RoutePool,
    units::{TokenCount, TokenRate},
};

/// The duration of one bucket of arrivals.
const BUCKET: TimeSpan = TimeSpan::from_secs(1);
/// The short averaging window, for the current demand.
pub const SHORT_WINDOW: TimeSpan = TimeSpan::from_secs(15);
/// The long averaging window, for the lasting demand.
pub const LONG_WINDOW: TimeSpan = TimeSpan::from_secs(45);
/// The initial estimate of the delivered share of the maximum output, in thousandths.
const INITIAL_OUTPUT_SHARE: u64 = 500;
/// The weight of a new answer in the smoothed output share, in thousandths.
const OUTPUT_SHARE_GAIN: u64 = 10;

/// Requested prompt and output tokens per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenDemand {
    /// Prompt tokens to prefill.
    pub prefill: TokenRate,
    /// Output tokens that callers are expected to receive before they cancel.
    pub decode: TokenRate,
}

impl TokenDemand {
    /// Returns the sum of two demands.
    pub fn plus(self, other: TokenDemand) -> TokenDemand {
        TokenDemand {
            prefill: self.prefill + other.prefill,
            decode: self.decode + other.decode,
        }
    }
}

/// The demand for one pool, at one entry or summed over all entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolDemand {
    /// The pool.
    pub pool: RoutePool,
    /// The demand of the short window.
    pub short: TokenDemand,
    /// The demand of the long window.
    pub long: TokenDemand,
}

#[derive(Clone, Copy, Debug, Default)]
struct DemandBucket {
    number: u64,
    prompt: u64,
    output: u64,
}

#[derive(Clone, Debug)]
struct PoolArrivals {
    buckets: VecDeque<DemandBucket>,
    output_share: u64,
}

/// Estimates the demand at one entry from arrivals, cancellations and ends of requests.
#[derive(Clone, Debug, Default)]
pub struct DemandEstimator {
    pools: BTreeMap<RoutePool, PoolArrivals>,
    started_at: Option<ClockTime>,
}

impl DemandEstimator {
    /// Creates an estimator without arrivals.
    pub fn new() -> DemandEstimator {
        DemandEstimator::default()
    }

    /// Records the arrival of a request, whether it is admitted or not. `cached` tokens of
    /// its prompt are expected to be in a prefix cache.
    pub fn note_arrival(
        &mut self,
        now: ClockTime,
        pool: &RoutePool,
        prompt: TokenCount,
        cached: TokenCount,
        max_output: TokenCount,
    ) {
        self.started_at.get_or_insert(now);
        let bucket = self.bucket(now, pool);
        bucket.prompt += prompt.saturating_sub(cached).count();
        bucket.output += max_output.count();
    }

    /// Records that the caller cancelled the request before the prompt was sent, which
    /// removes it from the demand. A request that the entry refused stays in the demand.
    pub fn note_queued_cancel(
        &mut self,
        now: ClockTime,
        pool: &RoutePool,
        prompt: TokenCount,
        max_output: TokenCount,
    ) {
        let bucket = self.bucket(now, pool);
        bucket.prompt = bucket.prompt.saturating_sub(prompt.count());
        bucket.output = bucket.output.saturating_sub(max_output.count());
    }

    /// Records the end of a started request, completed or cancelled, after `delivered` of
    /// `max_output` tokens. This updates the expected share of the maximum output.
    pub fn note_end(&mut self, pool: &RoutePool, max_output: TokenCount, delivered: TokenCount) {
        if max_output == TokenCount::ZERO {
            return;
        }
        let Some(arrivals) = self.pools.get_mut(pool) else {
            return;
        };
        let share = (delivered.count() * 1_000 / max_output.count()).min(1_000);
        let retained = arrivals.output_share * (1_000 - OUTPUT_SHARE_GAIN);
        arrivals.output_share = (retained + share * OUTPUT_SHARE_GAIN) / 1_000;
    }

    /// The demand for each pool at this entry.
    pub fn demands(&self, now: ClockTime) -> Vec<PoolDemand> {
        let demand = |(pool, arrivals): (&RoutePool, &PoolArrivals)| PoolDemand {
            pool: pool.clone(),
            short: self.rates(now, arrivals, SHORT_WINDOW),
            long: self.rates(now, arrivals, LONG_WINDOW),
        };
        self.pools.iter().map(demand).collect()
    }

    fn rates(&self, now: ClockTime, arrivals: &PoolArrivals, window: TimeSpan) -> TokenDemand {
        let observed = self.started_at.map_or(TimeSpan::ZERO, |at| now.since(at));
        let window = window.min(observed).max(BUCKET);
        let first = (now - window).as_millis() / BUCKET.as_millis();
        let recent = arrivals.buckets.iter().filter(|b| b.number >= first);
        let (prompt, output) = recent.fold((0, 0), |sum, bucket| {
            (sum.0 + bucket.prompt, sum.1 + bucket.output)
        });
        let expected = output * arrivals.output_share / 1_000;
        let rate = |tokens: u64| TokenRate::new(tokens * 1_000 / window.as_millis());
        TokenDemand {
            prefill: rate(prompt),
            decode: rate(expected),
        }
    }

    fn bucket(&mut self, now: ClockTime, pool: &RoutePool) -> &mut DemandBucket {
        let number = now.as_millis() / BUCKET.as_millis();
        if !self.pools.contains_key(pool) {
            let new_pool = PoolArrivals {
                buckets: VecDeque::new(),
                output_share: INITIAL_OUTPUT_SHARE,
            };
            self.pools.insert(pool.clone(), new_pool);
        }
        let arrivals = self
            .pools
            .get_mut(pool)
            .expect("the pool was inserted above");
        let buckets = &mut arrivals.buckets;
        if buckets.back().is_none_or(|bucket| bucket.number < number) {
            buckets.push_back(DemandBucket {
                number,
                ..DemandBucket::default()
            });
        }
        let oldest = number.saturating_sub(LONG_WINDOW.as_millis() / BUCKET.as_millis());
        while buckets.front().is_some_and(|bucket| bucket.number < oldest) {
            buckets.pop_front();
        }
        buckets.back_mut().expect("the newest bucket is kept")
    }
}
