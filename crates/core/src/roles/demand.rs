//! How many tokens of prompt and output are asked for in a second.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    clock::{ClockTime, TimeSpan},
    routing::RoutePool,
    units::{TokenCount, TokenRate},
};

/// The length of one bucket of arrivals.
const BUCKET: TimeSpan = TimeSpan::from_secs(1);
/// The short window: what is asked for now.
pub const SHORT_WINDOW: TimeSpan = TimeSpan::from_secs(15);
/// The long window: what has been asked for all along.
pub const LONG_WINDOW: TimeSpan = TimeSpan::from_secs(45);
/// The share of the allowed output that is expected at first, in thousandths.
const FIRST_OUTPUT_SHARE: u64 = 500;
/// How much a new answer's length counts for the expected output, in thousandths.
const OUTPUT_SHARE_GAIN: u64 = 10;

/// Prompt and output tokens asked for in a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenDemand {
    /// Prompt tokens to prefill.
    pub prefill: TokenRate,
    /// Output tokens that callers will stay for.
    pub decode: TokenRate,
}

impl TokenDemand {
    /// The sum of two demands.
    pub fn plus(self, other: TokenDemand) -> TokenDemand {
        TokenDemand {
            prefill: self.prefill + other.prefill,
            decode: self.decode + other.decode,
        }
    }
}

/// The demand for one pool, at one entry or in all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolDemand {
    /// The pool.
    pub pool: RoutePool,
    /// What is asked for now.
    pub short: TokenDemand,
    /// What has been asked for all along.
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

/// Counts arrivals and cancels at one entry.
#[derive(Clone, Debug, Default)]
pub struct DemandEstimator {
    pools: BTreeMap<RoutePool, PoolArrivals>,
    started_at: Option<ClockTime>,
}

impl DemandEstimator {
    /// Nothing has arrived yet.
    pub fn new() -> DemandEstimator {
        DemandEstimator::default()
    }

    /// A request arrived, whether it is admitted or not. `cached` tokens of its
    /// prompt are expected to be in a prefix cache.
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

    /// The caller left before the prompt was sent: it is no demand any more. A
    /// refusal by us is none of this, as the demand is still there.
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

    /// A started request ended, by itself or by its caller, with `delivered` of
    /// `max_output` tokens: how much of the allowed output callers stay for.
    pub fn note_end(&mut self, pool: &RoutePool, max_output: TokenCount, delivered: TokenCount) {
        if max_output == TokenCount::ZERO {
            return;
        }
        let Some(arrivals) = self.pools.get_mut(pool) else {
            return;
        };
        let share = (delivered.count() * 1_000 / max_output.count()).min(1_000);
        let kept = arrivals.output_share * (1_000 - OUTPUT_SHARE_GAIN);
        arrivals.output_share = (kept + share * OUTPUT_SHARE_GAIN) / 1_000;
    }

    /// The demand for each pool, to be added up over all entries.
    pub fn demands(&self, now: ClockTime) -> Vec<PoolDemand> {
        let demand = |(pool, arrivals): (&RoutePool, &PoolArrivals)| PoolDemand {
            pool: pool.clone(),
            short: self.rates(now, arrivals, SHORT_WINDOW),
            long: self.rates(now, arrivals, LONG_WINDOW),
        };
        self.pools.iter().map(demand).collect()
    }

    fn rates(&self, now: ClockTime, arrivals: &PoolArrivals, window: TimeSpan) -> TokenDemand {
        let seen = self.started_at.map_or(TimeSpan::ZERO, |at| now.since(at));
        let window = window.min(seen).max(BUCKET);
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
            let fresh = PoolArrivals {
                buckets: VecDeque::new(),
                output_share: FIRST_OUTPUT_SHARE,
            };
            self.pools.insert(pool.clone(), fresh);
        }
        let arrivals = self.pools.get_mut(pool).expect("it was just inserted");
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
