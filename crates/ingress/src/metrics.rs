//! Prometheus metrics of an entry.

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
};

/// Upper bounds of the latency buckets in seconds: the users' latency objectives are
/// between 0.1 and 0.8 s, their deadlines between 1.5 and 10 s.
const LATENCY_BUCKETS: &[f64] = &[
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0,
];

/// Upper bounds of the age buckets in seconds: reports of loads are repeated each second.
const AGE_BUCKETS: &[f64] = &[0.005, 0.02, 0.1, 0.3, 0.6, 1.0, 1.5, 2.5];

/// The metrics of the exchange with the trackers of engines.
#[derive(Clone, Debug)]
pub struct EngineLoadMetrics {
    /// Queries by outcome, one for each tracker that was asked.
    pub queries: IntCounterVec,
    /// Reports by direction.
    pub reports: IntCounterVec,
    /// Age in seconds of the oldest report in an answer.
    pub age: Histogram,
}

/// The metrics of an entry.
#[derive(Clone, Debug)]
pub struct EntryMetrics {
    /// The registry of all metrics.
    pub registry: Registry,
    /// Final answers by route kind and outcome.
    pub answers: IntCounterVec,
    /// Attempts at endpoints by outcome.
    pub attempts: IntCounterVec,
    /// Decisions of the retry budget by outcome.
    pub retries: IntCounterVec,
    /// Calls that reached engines by what they were for and whether the engine did it.
    pub engine_calls: IntCounterVec,
    /// Time to the first event or the complete answer in seconds, by route kind.
    pub latency: HistogramVec,
    /// Absolute error of the estimated time to the first token, in seconds.
    pub estimate_error: Histogram,
    /// Calls to the store by call and outcome.
    pub store_calls: IntCounterVec,
    /// Calls to the platform's store, its interface for duties and engines: what was called,
    /// what for, and how it ended.
    pub platform_calls: IntCounterVec,
    /// Copies of the state from other instances, by part and outcome.
    pub state_copies: IntCounterVec,
    /// The version of the configuration in force.
    pub configuration_version: IntGauge,
    /// The newest version that the reader of the failure domain advertised.
    pub advertised_version: IntGauge,
    /// The time in ms since the configuration in force was last known to be the newest.
    pub configuration_age: IntGauge,
    /// The time in ms since the directory of endpoints was last known to be complete.
    pub endpoints_age: IntGauge,
    /// Registrations that disappeared from the store, by how they were handled.
    pub registrations_removed: IntCounterVec,
    /// Requests that were handed to other instances, by outcome.
    pub proxied: IntCounterVec,
    /// Streams that callers took up, by how their version was known.
    pub resumed: IntCounterVec,
    /// Answers that ended with their connections, by whether their endpoint still served.
    pub unmarked_ends: IntCounterVec,
    /// Runs that are copied to a second engine, and what became of interrupted ones.
    pub backups: IntCounterVec,
    /// Parts of prompts for which requests are refused.
    pub quarantined_parts: IntGauge,
    /// Engines by their prefill speed in percent of the typical one of their service.
    pub engines_by_speed: IntGaugeVec,
    /// Changes of the speeds of engines, by whether prefills or a report showed them.
    pub speed_changes: IntCounterVec,
    /// Services whose endpoints are not reached.
    pub unreachable_services: IntGauge,
    /// New connections by whether they were taken, or why they were closed unread.
    pub connections: IntCounterVec,
    /// The exchange of loads of engines.
    pub engine_loads: EngineLoadMetrics,
    /// Requests that wait for room, by service and rank.
    pub requests_waiting: IntGaugeVec,
    /// Time that requests waited for room in seconds, by why they left the queue.
    pub queue_time: HistogramVec,
    /// Requests in progress.
    pub requests_open: IntGauge,
}

impl EntryMetrics {
    /// Creates and registers all metrics. Fails if a metric is already registered.
    pub fn new() -> prometheus::Result<EntryMetrics> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let engines_by_speed = IntGaugeVec::new(
            Opts::new(
                "bluebell_engines_by_speed",
                "engines by speed in percent of the typical one",
            ),
            &["percent"],
        )?;
        registry.register(Box::new(engines_by_speed.clone()))?;
        let histogram_opts = |name: &str, help: &str| {
            HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec())
        };
        let latency_opts = histogram_opts(
            "bluebell_latency_seconds",
            "time to the first event or answer",
        );
        let latency = HistogramVec::new(latency_opts, &["kind"])?;
        registry.register(Box::new(latency.clone()))?;
        let queue_time_opts = histogram_opts(
            "bluebell_queue_seconds",
            "time that requests waited for room",
        );
        let queue_time = HistogramVec::new(queue_time_opts, &["reason"])?;
        registry.register(Box::new(queue_time.clone()))?;
        let waiting_opts = Opts::new("bluebell_requests_waiting", "requests that wait for room");
        let requests_waiting = IntGaugeVec::new(waiting_opts, &["service", "rank"])?;
        registry.register(Box::new(requests_waiting.clone()))?;
        let estimate_error_opts = histogram_opts(
            "bluebell_estimate_error_seconds",
            "first token against estimate",
        );
        let estimate_error = Histogram::with_opts(estimate_error_opts)?;
        registry.register(Box::new(estimate_error.clone()))?;
        let age_opts = HistogramOpts::new(
            "bluebell_engine_load_age_seconds",
            "age of the oldest report in the load that a tracker answered",
        );
        let age = Histogram::with_opts(age_opts.buckets(AGE_BUCKETS.to_vec()))?;
        registry.register(Box::new(age.clone()))?;
        let engine_loads = EngineLoadMetrics {
            queries: counter(
                "bluebell_engine_load_queries_total",
                "queries to the trackers of engines",
                &["outcome"],
            )?,
            reports: counter(
                "bluebell_engine_load_reports_total",
                "reports of loads to the trackers of engines",
                &["direction"],
            )?,
            age,
        };
        Ok(EntryMetrics {
            engine_loads,
            answers: counter(
                "bluebell_answers_total",
                "final answers",
                &["kind", "outcome"],
            )?,
            attempts: counter("bluebell_attempts_total", "attempts at endpoints", &["end"])?,
            retries: counter(
                "bluebell_retries_total",
                "decisions of the retry budget",
                &["outcome"],
            )?,
            engine_calls: counter(
                "bluebell_engine_calls_total",
                "calls that reached engines",
                &["call", "outcome"],
            )?,
            store_calls: counter(
                "bluebell_store_calls_total",
                "calls to the store",
                &["call", "outcome"],
            )?,
            platform_calls: counter(
                "bluebell_platform_calls_total",
                "calls to the platform by what they were for",
                &["subject", "action", "outcome"],
            )?,
            state_copies: counter(
                "bluebell_state_copies_total",
                "copies of the state of the store from other instances",
                &["part", "outcome"],
            )?,
            configuration_version: gauge(
                "bluebell_configuration_version",
                "version of the configuration in force",
            )?,
            advertised_version: gauge(
                "bluebell_configuration_advertised_version",
                "newest version that the reader of the failure domain advertised",
            )?,
            configuration_age: gauge(
                "bluebell_configuration_age_ms",
                "time since the configuration in force was last known to be the newest",
            )?,
            endpoints_age: gauge(
                "bluebell_endpoints_age_ms",
                "time since the directory of endpoints was last known to be complete",
            )?,
            registrations_removed: counter(
                "bluebell_registrations_gone_total",
                "registrations that went, by what was made of it",
                &["outcome"],
            )?,
            proxied: counter(
                "bluebell_proxied_total",
                "requests handed to other instances",
                &["outcome"],
            )?,
            resumed: counter(
                "bluebell_resumed_streams_total",
                "streams that callers took up",
                &["known_by"],
            )?,
            unmarked_ends: counter(
                "bluebell_unmarked_ends_total",
                "answers that ended with their connections, by whether their endpoint still served",
                &["outcome"],
            )?,
            backups: counter(
                "bluebell_run_backups_total",
                "runs copied to a second engine, and what became of interrupted ones",
                &["outcome"],
            )?,
            quarantined_parts: gauge(
                "bluebell_quarantined_parts",
                "parts of prompts for which requests are refused",
            )?,
            speed_changes: counter(
                "bluebell_engine_speed_changes_total",
                "changes of the speeds of engines",
                &["source"],
            )?,
            engines_by_speed,
            unreachable_services: gauge(
                "bluebell_unreachable_services",
                "services whose endpoints are not reached",
            )?,
            connections: counter(
                "bluebell_connections_total",
                "new connections, taken or closed unread",
                &["outcome"],
            )?,
            requests_open: gauge("bluebell_requests_open", "requests under way")?,
            requests_waiting,
            queue_time,
            latency,
            estimate_error,
            registry,
        })
    }
}
