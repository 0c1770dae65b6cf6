//! Prometheus metrics of an entry.

use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

use crate::refusal::RefusalCode;

/// An entry's metrics.
#[derive(Clone, Debug)]
pub struct EntryMetrics {
    /// Ended requests by outcome: `whole`, `cancelled` or a refusal's code.
    pub ended: IntCounterVec,
    /// Requests in progress.
    pub in_progress: IntGauge,
    /// Attempts sent to endpoints.
    pub attempts: IntCounter,
    /// Answer items that were dropped because they were late, out of order or duplicates.
    pub dropped_items: IntCounter,
    /// Seconds from a request's arrival to its first token.
    pub first_token: Histogram,
    /// Output tokens of usage records that may or may not be in the log.
    pub usage_in_doubt: IntCounter,
}

impl EntryMetrics {
    /// Creates the metrics and registers them in `registry`.
    ///
    /// # Errors
    ///
    /// Fails when a metric can't be created or registered.
    pub fn new(registry: &Registry) -> Result<EntryMetrics, prometheus::Error> {
        let ended = IntCounterVec::new(
            Opts::new("bluebell_requests_ended_total", "requests by their end"),
            &["end"],
        )?;
        let in_progress = IntGauge::new("bluebell_requests_in_progress", "requests in progress")?;
        let attempts = IntCounter::new("bluebell_attempts_total", "attempts sent to endpoints")?;
        let dropped_items = IntCounter::new(
            "bluebell_dropped_items_total",
            "late, crossed or doubled items of answers",
        )?;
        let first_token = Histogram::with_opts(
            HistogramOpts::new("bluebell_first_token_seconds", "time to the first token")
                .buckets(prometheus::exponential_buckets(0.005, 2.0, 14)?),
        )?;
        let usage_in_doubt = IntCounter::new(
            "bluebell_usage_in_doubt_tokens_total",
            "output tokens whose usage record may not stand in the log",
        )?;
        registry.register(Box::new(ended.clone()))?;
        registry.register(Box::new(in_progress.clone()))?;
        registry.register(Box::new(attempts.clone()))?;
        registry.register(Box::new(dropped_items.clone()))?;
        registry.register(Box::new(first_token.clone()))?;
        registry.register(Box::new(usage_in_doubt.clone()))?;
        Ok(EntryMetrics {
            ended,
            in_progress,
            attempts,
            dropped_items,
            first_token,
            usage_in_doubt,
        })
    }

    /// Counts a request that ended with a refusal.
    pub fn count_refusal(&self, code: RefusalCode) {
        self.ended.with_label_values(&[code.as_str()]).inc();
    }
}
