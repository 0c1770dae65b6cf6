//! Copies of runs that must not be repeated, and going on at them.

use std::{io, time::Duration};

use bluebell_adapter::{engines, headers};
use bluebell_core::{
    backups::{self, RunBackup, SourceState},
    clock::TimeSpan,
    ids::{EndpointId, FailureDomain},
    ingress::RouteKind,
    placement::{EndpointTarget, PlanRequest, PrefillPlan},
};
use tokio::net::TcpStream;

use crate::{
    forward::{
        attempt::ExtraHeaders,
        broken_runs,
        generate::{AttemptOutcome, GenerationRun},
        notices, request_log_line,
    },
    frontend::RefusalReason,
};

/// Timeout for opening a connection to the engine of an interrupted run. One that has ended refuses
/// it within a round trip; callers wait meanwhile.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// A run that is copied while it runs.
#[derive(Debug)]
pub(super) struct BackedRun {
    backup: RunBackup,
    /// The plan of the run.
    plan: PrefillPlan,
}

impl GenerationRun {
    /// Chooses the engine that keeps a copy of the run at `target`, and adds it to the headers.
    pub(super) fn add_backup(
        &mut self,
        plan: &PrefillPlan,
        target: &EndpointTarget,
        extra_headers: &mut ExtraHeaders,
    ) {
        self.backup = None;
        let Some(copy) = self.choose_backup(plan, target) else {
            return;
        };
        let request = self.request.id.clone();
        let Some(backup) = RunBackup::new(request, target.clone(), copy) else {
            return;
        };
        extra_headers.push((headers::KV_BACKUP, backup.copy().address.to_string()));
        self.count_backup("ordered");
        self.backup = Some(BackedRun {
            backup,
            plan: plan.clone(),
        });
    }

    /// The engine for a copy of the run at `target`; none unless an endpoint is known to have crashed
    /// lately, here or at another instance.
    fn choose_backup(&self, plan: &PrefillPlan, target: &EndpointTarget) -> Option<EndpointTarget> {
        if self.context.quarantine.lock().is_empty() {
            return None;
        }
        let route = &self.request.route;
        let is_stream = route.kind == RouteKind::Streaming;
        if !is_stream || !backups::is_worthwhile(route.work_kind(), self.engine_rule()?, &self.work)
        {
            return None;
        }
        let domain = self.domain_of(&target.id)?;
        backups::choose_copy(&domain, |passed_over| {
            let mut attempted = self.attempted.clone();
            attempted.push(target.id.clone());
            attempted.extend_from_slice(passed_over);
            let excluded = notices::excluded(&self.context, &attempted);
            let request = PlanRequest {
                origin: Some(target.origin),
                ..self.plan_request(&excluded).ok()?
            };
            let now = self.context.now();
            let mut engines = self.context.engines.lock();
            let engine = engines.choose_runner(now, request, &plan.engine.id).ok()?;
            drop(engines);
            let engine_domain = self.domain_of(&engine.id)?;
            Some((engine, engine_domain))
        })
    }

    fn domain_of(&self, engine: &EndpointId) -> Option<FailureDomain> {
        let directory = self.context.directory.lock();
        directory.get(engine).map(|known| known.domain.clone())
    }

    /// Has an interrupted run go on at its copy after the events that the caller has, if there is a copy
    /// and the engine that ran the request has ended.
    pub(super) async fn go_on_at_backup(&mut self) -> Option<AttemptOutcome> {
        let BackedRun { backup, plan } = self.backup.take()?;
        let has_time = self.request.time_left(self.context.now()) > TimeSpan::ZERO;
        if !self.attempts.is_interrupted() || !has_time {
            return None;
        }
        let (source, copy) = (backup.source().clone(), backup.copy().clone());
        // The request may have crashed its engine; the quarantine has to know before it is sent again.
        broken_runs::wait_for_probe(&self.context, &source).await;
        let state = source_state(&source).await;
        let Some(place) = backup.into_place(state) else {
            self.log_backup("backup_unused", &source, &copy, "engine_not_ended");
            return None;
        };
        let location = engines::backup_source(copy.address, place.request());
        let mut extra_headers = self.run_headers();
        extra_headers.push((headers::KV_SOURCE, location));
        let resumed = self.resume_run(place, &plan, &copy, extra_headers).await;
        match resumed {
            Ok(outcome) => {
                self.log_backup("backup_used", &source, &copy, "engine_ended");
                Some(outcome)
            }
            Err(failed) => {
                let reason = match failed.reason {
                    RefusalReason::EndpointsFull => "no_copy",
                    RefusalReason::NoEndpoint => "not_reached",
                    _ => "failed",
                };
                self.log_backup("backup_failed", &source, &copy, reason);
                None
            }
        }
    }

    fn log_backup(
        &self,
        event: &str,
        source: &EndpointTarget,
        copy: &EndpointTarget,
        reason: &str,
    ) {
        let outcome = match event {
            "backup_used" => "used",
            _ => reason,
        };
        self.count_backup(outcome);
        request_log_line(&self.context, event, &self.request)
            .with("from", &source.id)
            .with("to", &copy.id)
            .with("after_event", self.order.last_id().unwrap_or_default())
            .with("reason", reason)
            .info();
    }

    fn count_backup(&self, outcome: &str) {
        let counters = &self.context.metrics.backups;
        counters.with_label_values(&[outcome]).inc();
    }
}

/// Whether the engine has ended: nothing listens at its address. One that accepts connections is
/// alive or has restarted, and one that does not answer may be behind a broken link.
async fn source_state(source: &EndpointTarget) -> SourceState {
    let connecting = TcpStream::connect(source.address);
    match tokio::time::timeout(PROBE_TIMEOUT, connecting).await {
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => SourceState::Ended,
        _ => SourceState::Unknown,
    }
}
