//! Guards that revert the load accounting of a request when it ends in any way.
//!
//! A caller may disconnect at any time, and the future that handles its request is then
//! dropped. If its load stayed counted, an engine would appear busier after each
//! disconnected caller, until it received no requests at all.

use std::sync::Arc;

use bluebell_core::{
    clock::ClockTime,
    ids::{EndpointId, ServiceName},
    placement::{PrefillPlan, PrefillTicket, PromptWork},
};

use crate::context::EntryContext;

/// Counts a prefill in the queue of an engine.
#[derive(Debug)]
pub struct PrefillGuard {
    context: Arc<EntryContext>,
    plan: PrefillPlan,
    ticket: Option<PrefillTicket>,
    sent: ClockTime,
}

impl PrefillGuard {
    /// Records that the prefill is sent now.
    pub fn new(
        context: &Arc<EntryContext>,
        service: &ServiceName,
        plan: &PrefillPlan,
        work: &PromptWork,
    ) -> PrefillGuard {
        let sent = context.now();
        let ticket = context.engines.lock().prefill_sent(sent, plan, work);
        context.engine_loads.note_change();
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

    /// Records that the prefill is complete, with its duration and the error of the
    /// estimate.
    pub fn finish(mut self) {
        if let Some(ticket) = self.ticket.take() {
            let now = self.context.now();
            let elapsed = now.since(self.sent).as_millis() as f64;
            let error_ms = (elapsed - self.plan.first_token.as_millis() as f64).abs();
            let metrics = &self.context.metrics;
            metrics.estimate_error.observe(error_ms / 1_000.0);
            let mut engines = self.context.engines.lock();
            let sample = engines.prefill_sample(&self.plan, now.since(self.sent));
            engines.prefill_done(now, &self.plan, ticket, self.sent);
            drop(engines);
            let loads = &self.context.engine_loads;
            if let Some((engine, sample)) = sample {
                loads.note_sample(engine, sample);
            }
            loads.note_change();
        }
    }
}

impl Drop for PrefillGuard {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let now = self.context.now();
            let mut engines = self.context.engines.lock();
            engines.prefill_dropped(now, &self.plan, ticket);
            drop(engines);
            self.context.engine_loads.note_change();
        }
    }
}

/// Counts a request that runs on an engine.
#[derive(Debug)]
pub struct RunGuard {
    context: Arc<EntryContext>,
    engine: EndpointId,
    service: ServiceName,
    share: f64,
}

impl RunGuard {
    /// Records that the request is sent now; `share` is the fraction of the engine that
    /// it takes.
    pub fn new(
        context: &Arc<EntryContext>,
        engine: &EndpointId,
        service: &ServiceName,
        share: f64,
    ) -> RunGuard {
        let now = context.now();
        context.engines.lock().run_started(engine);
        context.engine_loads.note_change();
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
        self.context.engine_loads.note_change();
        let mut demands = self.context.demands.lock();
        demands.run_ended(now, &self.service, self.share);
    }
}

/// Counts a request at a replica of a plain service.
#[derive(Debug)]
pub struct ReplicaGuard {
    context: Arc<EntryContext>,
    replica: Option<EndpointId>,
    sent: ClockTime,
}

impl ReplicaGuard {
    /// Records that the request is sent now.
    pub fn new(context: &Arc<EntryContext>, replica: &EndpointId) -> ReplicaGuard {
        context.replicas.lock().sent(replica);
        ReplicaGuard {
            context: Arc::clone(context),
            replica: Some(replica.clone()),
            sent: context.now(),
        }
    }

    /// Records that the replica answered, with its response time.
    pub fn answered(mut self) {
        if let Some(replica) = self.replica.take() {
            let now = self.context.now();
            let elapsed = now.since(self.sent);
            self.context
                .replicas
                .lock()
                .answered(now, &replica, elapsed);
        }
    }

    /// Records that the replica answered that it failed.
    pub fn answered_failure(mut self) {
        if let Some(replica) = self.replica.take() {
            let now = self.context.now();
            self.context.replicas.lock().answered_failure(now, &replica);
        }
    }

    /// Records that the replica failed, and logs its ejection if that follows.
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
