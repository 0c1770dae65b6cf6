//! Requests to model engines: prefill, hand-over and run.

use std::sync::Arc;

use bluebell_adapter::headers;
use bluebell_core::{
    attempts::{RequestAttempts, SendPermit, WorkKind},
    backups::BackupPlace,
    clock::TimeSpan,
    ids::EndpointId,
    placement::{EndpointTarget, PrefillPlan, PromptWork},
    retries::{EngineArrival, EngineCall, RequestArrivals},
};
use hyper::Response;

use crate::{
    context::EntryContext,
    forward::{
        answer::CompleteAnswer,
        attempt::{self, ExtraHeaders, SendOutcome},
        backups::BackedRun,
        broken_runs::AnswerProgress,
        event_order::EventOrder,
        failed_attempt::FailedAttempt,
        guards::{PrefillGuard, RunGuard},
        meter,
        prefill::PrefilledSource,
        proxy,
        quota::QuotaCharge,
        refuse, request_log_line,
        resume::{self, BegunStream},
        retries,
        stream::{self, RunningStream},
    },
    frontend::{AnswerBody, CallerRequest, Refusal, RefusalReason},
};

/// Maximum number of calls sent to engines for one request, including refused ones.
const MAX_CALLS: usize = 5;

/// Maximum number of engines attempted for one request, including unreachable ones:
/// when a third of the engines has crashed, one in 60 requests selects four crashed
/// engines in a row.
const MAX_ATTEMPTED_ENGINES: usize = 9;

/// How many engines may refuse to take over a prefilled prompt before it is prefilled
/// again. The first refusals usually concern the engine; later ones probably concern the
/// prompt, which may have expired. An engine that can't be reached says nothing about it.
const MAX_HANDOVER_REFUSALS: u32 = 2;

/// Result of an attempt that an engine answered.
pub(super) enum AttemptOutcome {
    /// The first events of a stream have arrived.
    Streaming(Box<RunningStream>),
    /// The engine sent a complete answer instead of a stream.
    Complete(CompleteAnswer),
}

impl AttemptOutcome {
    fn into_stream(self) -> Option<RunningStream> {
        match self {
            AttemptOutcome::Streaming(running) => Some(*running),
            AttemptOutcome::Complete(_) => None,
        }
    }
}

/// The attempts of one request at engines.
#[derive(Debug)]
pub struct GenerationRun {
    /// The shared state of the entry.
    pub context: Arc<EntryContext>,
    /// The request.
    pub request: Arc<CallerRequest>,
    pub(super) work: PromptWork,
    pub(super) attempts: RequestAttempts,
    pub(super) attempted: Vec<EndpointId>,
    pub(super) calls: usize,
    pub(super) possible_runs: u32,
    pub(super) arrivals: RequestArrivals,
    source: Option<PrefilledSource>,
    /// The copy of the run, while there is one.
    pub(super) backup: Option<BackedRun>,
    /// Where the stream began, once it has.
    pub(super) begun: BegunStream,
    /// The events that the caller has.
    pub(super) order: EventOrder,
    is_metered: bool,
    charge: Option<QuotaCharge>,
}

/// Serves a request to a model service.
pub async fn serve(
    context: &Arc<EntryContext>,
    request: &Arc<CallerRequest>,
    charge: Option<QuotaCharge>,
) -> Response<AnswerBody> {
    let mut run = GenerationRun::new(context, request, charge);
    match run.start_run().await {
        Ok(AttemptOutcome::Streaming(running)) => stream::into_response(run, *running),
        Ok(AttemptOutcome::Complete(answer)) => {
            let counters = &context.metrics.answers;
            counters.with_label_values(&["model", "answered"]).inc();
            request_log_line(context, "answered", request)
                .with("status", answer.status.as_u16())
                .with("asked", run.calls)
                .info();
            answer.into_response()
        }
        Err(failed) => {
            if run.may_be_proxied(&failed).await
                && let Some(response) = proxy::serve(context, request).await
            {
                return response;
            }
            let refusal = Refusal::with_outcome(run.attempts.outcome(), failed.reason);
            let refusal = refusal.with_retry_after(failed.retry_after);
            refuse(context, request, refusal, &failed.detail)
        }
    }
}

impl GenerationRun {
    fn new(
        context: &Arc<EntryContext>,
        request: &Arc<CallerRequest>,
        charge: Option<QuotaCharge>,
    ) -> GenerationRun {
        let kind = request.route.work_kind();
        GenerationRun {
            context: Arc::clone(context),
            request: Arc::clone(request),
            work: request.work.clone().unwrap_or_default(),
            attempts: RequestAttempts::new(request.id.clone(), kind),
            attempted: Vec::new(),
            calls: 0,
            possible_runs: 0,
            arrivals: RequestArrivals::new(),
            source: None,
            backup: None,
            begun: BegunStream::with_origin(request.origin),
            order: EventOrder::with_last_id(request.last_event_id()),
            is_metered: false,
            charge,
        }
    }

    /// Records that the stream has ended or has been aborted.
    pub fn end(&mut self) {
        self.attempts.end();
    }

    /// Continues a stream that broke at `failed` on another engine, after the events of `order`.
    /// Returns `None` if the position after them is not known, if the request may not be retried
    /// and has no copy, or if no engine streams an answer.
    pub async fn resume(
        &mut self,
        failed: &EndpointTarget,
        is_engine_fault: bool,
        order: EventOrder,
    ) -> Option<RunningStream> {
        match is_engine_fault {
            true => self.note_lost_run(failed, AnswerProgress::Events).await,
            false => self.note_unread_run(&failed.id),
        }
        if !order.is_position_known() {
            request_log_line(&self.context, "position_unknown", &self.request)
                .with("run", &failed.id)
                .with("last_event", order.last_id().unwrap_or_default())
                .info();
            return None;
        }
        self.order = order;
        self.begun = resume::confirm_begun(&self.context, &self.request, failed, self.begun);
        if order.last_id().is_some()
            && self.begun != BegunStream::Unknown
            && let Some(outcome) = self.go_on_at_backup().await
        {
            return outcome.into_stream();
        }
        let is_repeatable = self.request.route.work_kind() == WorkKind::Repeatable;
        if !is_repeatable || self.begun == BegunStream::Unknown || !self.may_retry() {
            return None;
        }
        match self.start_run().await {
            Ok(outcome) => outcome.into_stream(),
            Err(_) => None,
        }
    }

    /// Sends the request to engines until one has started to answer.
    async fn start_run(&mut self) -> Result<AttemptOutcome, FailedAttempt> {
        loop {
            let failed = match self.attempt_once().await {
                Ok(outcome) => return Ok(outcome),
                Err(failed) => failed,
            };
            let is_repeatable = self.request.route.work_kind() == WorkKind::Repeatable;
            let has_not_run = matches!(
                failed.reason,
                RefusalReason::EndpointsFull | RefusalReason::NoEndpoint
            );
            if let Some(outcome) = self.go_on_at_backup().await {
                return Ok(outcome);
            }
            if failed.is_final || !(is_repeatable || has_not_run) || !self.may_retry() {
                return Err(failed);
            }
            request_log_line(&self.context, "sent_elsewhere", &self.request)
                .with("reason", failed.reason)
                .with("detail", failed.detail)
                .info();
        }
    }

    fn may_retry(&self) -> bool {
        let now = self.context.now();
        let has_time = self.request.time_left(now) > TimeSpan::ZERO;
        has_time
            && self.calls < MAX_CALLS
            && self.attempted.len() < MAX_ATTEMPTED_ENGINES
            && self.possible_runs < self.request.route.attempts_limit
    }

    async fn attempt_once(&mut self) -> Result<AttemptOutcome, FailedAttempt> {
        let prefilled = match self.source.take() {
            Some(prefilled) => prefilled,
            None => {
                let plan = self.plan().await?;
                if plan.runs_request {
                    return self.run_with_prefill(&plan).await;
                }
                let source = self.prefill(&plan).await?;
                PrefilledSource {
                    plan,
                    source,
                    refusals: 0,
                }
            }
        };
        let target = match self.choose_runner(&prefilled.plan).await {
            Ok(target) => target,
            Err(failed) => {
                // Engines of another version may be left; they need the prompt prefilled anew.
                self.free_prefilled(&prefilled);
                return Err(failed);
            }
        };
        let mut extra_headers = self.run_headers();
        extra_headers.push((headers::KV_SOURCE, prefilled.source.clone()));
        let outcome = self.run(&prefilled.plan, &target, extra_headers, None);
        let outcome = outcome.await;
        if let Err(failed) = &outcome
            && matches!(
                failed.reason,
                RefusalReason::EndpointsFull | RefusalReason::NoEndpoint
            )
        {
            let is_refusal = failed.reason == RefusalReason::EndpointsFull;
            let refusals = prefilled.refusals + u32::from(is_refusal);
            let retained = PrefilledSource {
                refusals,
                ..prefilled
            };
            self.source =
                Some(retained).filter(|retained| retained.refusals < MAX_HANDOVER_REFUSALS);
        }
        outcome
    }

    async fn run_with_prefill(
        &mut self,
        plan: &PrefillPlan,
    ) -> Result<AttemptOutcome, FailedAttempt> {
        let extra_headers = self.run_headers();
        let prefill = PrefillGuard::new(&self.context, &self.request.service, plan, &self.work);
        let target = plan.engine.clone();
        self.run(plan, &target, extra_headers, Some(prefill)).await
    }

    /// Sends the request to `target` to be run, and waits for the start of its answer.
    async fn run(
        &mut self,
        plan: &PrefillPlan,
        target: &EndpointTarget,
        mut extra_headers: ExtraHeaders,
        prefill: Option<PrefillGuard>,
    ) -> Result<AttemptOutcome, FailedAttempt> {
        self.start_call(EngineCall::Run)?;
        let permit = self.attempts.permit_send(&target.id);
        let permit = permit.map_err(|_| FailedAttempt::already_ended())?;
        self.add_backup(plan, target, &mut extra_headers);
        self.send_run(permit, plan, target, extra_headers, prefill)
            .await
    }

    /// Sends an interrupted run to the engine with its copy.
    pub(super) async fn resume_run(
        &mut self,
        place: BackupPlace,
        plan: &PrefillPlan,
        target: &EndpointTarget,
        extra_headers: ExtraHeaders,
    ) -> Result<AttemptOutcome, FailedAttempt> {
        self.start_call(EngineCall::Run)?;
        let permit = self.attempts.permit_resume(place);
        let permit = permit.map_err(|_| FailedAttempt::already_ended())?;
        self.send_run(permit, plan, target, extra_headers, None)
            .await
    }

    async fn send_run(
        &mut self,
        permit: SendPermit,
        plan: &PrefillPlan,
        target: &EndpointTarget,
        extra_headers: ExtraHeaders,
        prefill: Option<PrefillGuard>,
    ) -> Result<AttemptOutcome, FailedAttempt> {
        let share = self.run_share();
        let guard = RunGuard::new(&self.context, &target.id, &self.request.service, share);
        let remaining = self.request.time_left(self.context.now());
        let outcome = attempt::send(
            &self.context,
            &self.request,
            target,
            &extra_headers,
            remaining,
        )
        .await;
        self.note_sent(&outcome, EngineArrival::Counted);
        match outcome {
            SendOutcome::Answered(answer) => {
                self.attempts.answer_started();
                self.read_answer(plan, target, answer, guard, prefill).await
            }
            SendOutcome::Withheld(reason) => {
                self.attempts.not_sent(permit);
                Err(self.note_withheld(target, reason))
            }
            SendOutcome::NotSent(detail) => {
                self.attempts.not_sent(permit);
                self.note_unreachable(target);
                Err(FailedAttempt::new(RefusalReason::NoEndpoint, detail))
            }
            SendOutcome::NotExecuted {
                status,
                is_replaced,
            } => {
                self.attempts.refused_before_running(permit);
                self.note_refused(target, status.as_u16(), is_replaced);
                let detail = format!("{} refused with status {status}", target.id);
                Err(FailedAttempt::new(RefusalReason::EndpointsFull, detail))
            }
            SendOutcome::RefusedWithoutProof(status) => {
                self.note_possible_run(&target.id);
                let detail = format!("run at {}: refused with {status} without proof", target.id);
                Err(FailedAttempt::new(RefusalReason::EndpointFailed, detail))
            }
            SendOutcome::MaybeRun(detail) => {
                self.note_lost_run(target, AnswerProgress::None).await;
                let detail = format!("run at {}: {detail}", target.id);
                Err(FailedAttempt::new(RefusalReason::EndpointFailed, detail))
            }
            SendOutcome::TimedOut => {
                self.note_possible_run(&target.id);
                let detail = format!("run at {}: no answer in time", target.id);
                Err(FailedAttempt::new(RefusalReason::TimedOut, detail))
            }
        }
    }

    pub(super) fn meter(&mut self) {
        if !self.is_metered {
            self.is_metered = true;
            meter(&self.context, &self.request);
        }
    }
}

impl Drop for GenerationRun {
    /// Refunds the charge for calls that were never sent, and the charge to the limit if
    /// the request has not run, also when the caller has disconnected.
    fn drop(&mut self) {
        if let Some(charge) = &mut self.charge {
            charge.settle(self.attempts.outcome());
        }
        if let Some(call) = self.arrivals.call_in_progress() {
            retries::log_abandoned(&self.context, &self.request, call.as_str());
        }
        let unused = self.arrivals.unused_grants();
        retries::return_unsent(&self.context, &self.request, unused);
    }
}
