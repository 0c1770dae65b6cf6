//! What a controller counts.

use prometheus::{IntCounterVec, IntGaugeVec, Opts, Registry};

/// The controller's metrics; clones share them.
#[derive(Clone, Debug)]
pub struct ControllerMetrics {
    /// The registry that `/metrics` shows.
    pub registry: Registry,
    /// Duties held: 1 while this controller counts on the lease.
    pub held: IntGaugeVec,
    /// Orders by kind and outcome.
    pub orders: IntCounterVec,
    /// Appends that failed, by kind of record.
    pub append_failures: IntCounterVec,
}

impl ControllerMetrics {
    /// Metrics in a registry of their own.
    pub fn new() -> Result<ControllerMetrics, prometheus::Error> {
        let registry = Registry::new();
        let held = IntGaugeVec::new(
            Opts::new("bluebell_duty_held", "1 while the duty is held here"),
            &["duty"],
        )?;
        let orders = IntCounterVec::new(
            Opts::new("bluebell_orders_total", "orders by kind and outcome"),
            &["order", "outcome"],
        )?;
        let append_failures = IntCounterVec::new(
            Opts::new("bluebell_append_failures_total", "records not appended"),
            &["record"],
        )?;
        registry.register(Box::new(held.clone()))?;
        registry.register(Box::new(orders.clone()))?;
        registry.register(Box::new(append_failures.clone()))?;
        Ok(ControllerMetrics {
            registry,
            held,
            orders,
            append_failures,
        })
    }
}
