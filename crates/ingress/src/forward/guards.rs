//! Entries in the books that are taken back when a request ends, however it ends.
//!
//! A caller may leave at any moment, and then the whole handling of its request
//! is dropped where it stands. Were its entries left in the books, an engine
//! would look busier for each caller who left, until nothing was sent there.

use std::sync::Arc;

use bluebell_core::{
    clock::ClockTime,
    ids::{EndpointId, ServiceName},
    placement::{PrefillPlan, PrefillTicket, PromptWork},
};

use crate::context::EntryContext;

/// A prefill in an engine's queue.
#[derive(Debug)]
pub struct PrefillGuard {
    context: Arc<EntryContext>,
    plan: PrefillPlan,
    ticket: Option<PrefillTicket>,
    sent: ClockTime,
}

impl PrefillGuard {
    /// The prefill is sent now.
    pub fn new(
        context: &Arc<EntryContext>,
        service: &ServiceName,
        plan: &PrefillPlan,
        work: &PromptWork,
    ) -> PrefillGuard {
        let sent = context.now();
        let ticket = context.engines.lock().prefill_sent(sent, plan, work);
        let mut demands = context.demands.lock();
        demands.prefill_sent(sent, service, plan.work_ms);
        drop(demands);
        PrefillGuard {
            context: Arc::clone(context),
            plan: plan.clone(),
            ticket: Some(ticket),
            sent,
        }
    }

    /// The prefill is done.
    pub fn done(mut self) {
        if let Some(ticket) = self.ticket.take() {
            let now = self.context.now();
            let took = now.since(self.sent).as_millis() as f64;
            let error_ms = (took - self.plan.first_token.as_millis() as f64).abs();
            let metrics = &self.context.metrics;
            metrics.estimate_error.observe(error_ms / 1_000.0);
            let mut engines = self.context.engines.lock();
            engines.prefill_done(now, &self.plan, ticket, self.sent);
        }
    }
}

impl Drop for PrefillGuard {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let now = self.context.now();
            let mut engines = self.context.engines.lock();
            engines.prefill_dropped(now, &self.plan, ticket);
        }
    }
}

/// A request that runs on an engine.
#[derive(Debug)]
pub struct RunGuard {
    context: Arc<EntryContext>,
    engine: EndpointId,
    service: ServiceName,
    share: f64,
}

impl RunGuard {
    /// The request is sent now; it takes `share` of the engine.
    pub fn new(
        context: &Arc<EntryContext>,
        engine: &EndpointId,
        service: &ServiceName,
        share: f64,
    ) -> RunGuard {
        let now = context.now();
        context.engines.lock().run_started(engine);
        context.demands.lock().run_started(now, service, share);
        RunGuard {
            context: Arc::clone(context),
            engine: engine.clone(),
            service: service.clone(),
            share,
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let now = self.context.now();
        self.context.engines.lock().run_ended(&self.engine);
        let mut demands = self.context.demands.lock();
        demands.run_ended(now, &self.service, self.share);
    }
}

/// A request that a replica of a plain service has.
#[derive(Debug)]
pub struct ReplicaGuard {
    context: Arc<EntryContext>,
    replica: Option<EndpointId>,
    sent: ClockTime,
}

impl ReplicaGuard {
    /// The request is sent now.
    pub fn new(context: &Arc<EntryContext>, replica: &EndpointId) -> ReplicaGuard {
        context.replicas.lock().sent(replica);
        ReplicaGuard {
            context: Arc::clone(context),
            replica: Some(replica.clone()),
            sent: context.now(),
        }
    }

    /// The replica answered.
    pub fn answered(mut self) {
        if let Some(replica) = self.replica.take() {
            let now = self.context.now();
            let took = now.since(self.sent);
            self.context.replicas.lock().answered(now, &replica, took);
        }
    }

    /// The replica failed.
    pub fn failed(mut self) {
        if let Some(replica) = self.replica.take() {
            let now = self.context.now();
            let ejected = self.context.replicas.lock().failed(now, &replica);
            if let Some(span) = ejected {
                bluebell_daemon::logs::LogLine::new("endpoint_ejected")
                    .with("endpoint", &replica)
                    .with("for", span)
                    .info();
            }
        }
    }
}

impl Drop for ReplicaGuard {
    fn drop(&mut self) {
        if let Some(replica) = &self.replica {
            self.context.replicas.lock().released(replica);
        }
    }
}
