//! What an entry counts.

use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

use crate::refusal::RefusalCode;

/// An entry's metrics.
#[derive(Clone, Debug)]
pub struct EntryMetrics {
    /// Requests by how they ended: `whole`, `cancelled` or a refusal's code.
    pub ended: IntCounterVec,
    /// Requests in progress.
    pub in_progress: IntGauge,
    /// Attempts sent to endpoints.
    pub attempts: IntCounter,
    /// Items of answers that came late, crossed or doubled and were dropped.
    pub dropped_items: IntCounter,
    /// Seconds from a request's arrival to its first token.
    pub first_token: Histogram,
    /// Usage whose record may or may not stand in the log, in output tokens.
    pub usage_in_doubt: IntCounter,
}

impl EntryMetrics {
    /// Metrics that `registry` gathers.
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

    /// Counts a refusal.
    pub fn count_refusal(&self, code: RefusalCode) {
        self.ended.with_label_values(&[code.as_str()]).inc();
    }
}
