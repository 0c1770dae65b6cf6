//! Requests to model engines: the prefill, the hand-over, the run.

use std::sync::Arc;

use bluebell_adapter::headers;
use bluebell_core::{
    attempts::{RequestAttempts, WorkKind},
    clock::TimeSpan,
    ids::EndpointId,
    ingress::EngineRule,
    placement::{EndpointTarget, NoEngine, PlanRequest, PrefillPlan, PromptWork},
    retries::{EngineArrival, RequestArrivals},
};
use hyper::Response;
use rand::Rng;

use crate::{
    context::EntryContext,
    forward::{
        answer::WholeAnswer,
        attempt::{self, AddedHeaders, AttemptEnd, EndpointAnswer},
        events::{EventReader, NextEvents},
        guards::{PrefillGuard, RunGuard},
        meter,
        prefill::PrefilledSource,
        refuse, request_line,
        stream::{self, RunningStream, StreamMark},
    },
    frontend::{AnswerBody, CallerRequest, DEFAULT_RETRY_AFTER, Refusal, RefusalReason},
};

/// How many engines are asked at most, counting those that refused.
const ASKED_LIMIT: usize = 5;

/// How many engines are tried at most, counting those that could not be reached:
/// when a third of them has crashed, one in 60 requests meets four in a row.
const TRIED_LIMIT: usize = 9;

/// How many steps of urgency at an engine lie between two ranks of routes.
const PRIORITY_STEP: u8 = 3;
/// The least urgent rank that engines know.
const LEAST_URGENT: u8 = 9;

/// How many engines may refuse to take over a prefilled prompt before it is
/// prefilled anew: the first refusals are of the engines, later ones likely of
/// the prompt, which may have lapsed.
const TAKEOVERS_LIMIT: u32 = 2;

/// Why a try did not come to a run.
pub struct FailedTry {
    /// Why, for the caller.
    pub reason: RefusalReason,
    /// Why, for the log.
    pub detail: String,
    is_final: bool,
    /// When the caller is to come back, if more is known than usual.
    retry_after: Option<TimeSpan>,
}

impl FailedTry {
    /// The try failed; another may follow.
    pub fn new<Detail>(reason: RefusalReason, detail: Detail) -> FailedTry
    where
        Detail: Into<String>,
    {
        FailedTry {
            reason,
            detail: detail.into(),
            is_final: false,
            retry_after: None,
        }
    }

    /// No other try is to follow.
    fn last(mut self) -> FailedTry {
        self.is_final = true;
        self
    }
}

/// What a try came to.
enum TryEnd {
    /// A stream has begun: its first events are there.
    Streaming(Box<RunningStream>),
    /// The engine answered in one piece.
    Whole(WholeAnswer),
}

/// The tries of one request at engines.
#[derive(Debug)]
pub struct GenerationRun {
    /// What all parts of the entry share.
    pub context: Arc<EntryContext>,
    /// The request.
    pub request: Arc<CallerRequest>,
    pub(super) work: PromptWork,
    attempts: RequestAttempts,
    tried: Vec<EndpointId>,
    pub(super) asked: usize,
    runs: u32,
    arrivals: RequestArrivals,
    source: Option<PrefilledSource>,
    is_metered: bool,
}

/// Serves a request to a model service.
pub async fn serve(
    context: &Arc<EntryContext>,
    request: &Arc<CallerRequest>,
) -> Response<AnswerBody> {
    let mut run = GenerationRun::new(context, request);
    match run.begin(None).await {
        Ok(TryEnd::Streaming(running)) => stream::into_response(run, *running),
        Ok(TryEnd::Whole(answer)) => {
            let counters = &context.metrics.answers;
            counters.with_label_values(&["model", "answered"]).inc();
            request_line(context, "answered", request)
                .with("status", answer.status.as_u16())
                .with("asked", run.asked)
                .info();
            answer.into_response()
        }
        Err(failed) => {
            let refusal = Refusal::with_outcome(run.attempts.outcome(), failed.reason);
            let refusal = refusal.with_retry_after(failed.retry_after);
            refuse(context, request, refusal, &failed.detail)
        }
    }
}

impl GenerationRun {
    fn new(context: &Arc<EntryContext>, request: &Arc<CallerRequest>) -> GenerationRun {
        let kind = request.route.work_kind();
        GenerationRun {
            context: Arc::clone(context),
            request: Arc::clone(request),
            work: request.work.clone().unwrap_or_default(),
            attempts: RequestAttempts::new(request.id.clone(), kind),
            tried: Vec::new(),
            asked: 0,
            runs: 0,
            arrivals: RequestArrivals::new(),
            source: None,
            is_metered: false,
        }
    }

    /// The running stream came to its end, or nobody waits for it any more.
    pub fn end(&mut self) {
        self.attempts.end();
    }

    /// Goes on with a broken stream elsewhere, from the event after `last_id`.
    pub async fn resume(
        &mut self,
        failed: &EndpointId,
        last_id: Option<u64>,
    ) -> Option<RunningStream> {
        self.lost(failed);
        if self.request.route.work_kind() != WorkKind::Repeatable || !self.may_go_on() {
            return None;
        }
        match self.begin(last_id).await {
            Ok(TryEnd::Streaming(running)) => Some(*running),
            _ => None,
        }
    }

    /// Tries engines until one has begun to answer.
    async fn begin(&mut self, last_id: Option<u64>) -> Result<TryEnd, FailedTry> {
        loop {
            let failed = match self.try_once(last_id).await {
                Ok(end) => return Ok(end),
                Err(failed) => failed,
            };
            let is_repeatable = self.request.route.work_kind() == WorkKind::Repeatable;
            let has_not_run = matches!(
                failed.reason,
                RefusalReason::EndpointsFull | RefusalReason::NoEndpoint
            );
            if failed.is_final || !(is_repeatable || has_not_run) || !self.may_go_on() {
                return Err(failed);
            }
            request_line(&self.context, "sent_elsewhere", &self.request)
                .with("reason", failed.reason)
                .with("detail", failed.detail)
                .info();
        }
    }

    fn may_go_on(&self) -> bool {
        let now = self.context.now();
        let has_time = self.request.time_left(now) > TimeSpan::ZERO;
        has_time
            && self.asked < ASKED_LIMIT
            && self.tried.len() < TRIED_LIMIT
            && self.runs < self.request.route.attempts_limit
    }

    /// Pays for what the next call adds to the arrivals beyond the first.
    pub(super) fn pay_for_next(&mut self) -> Result<(), FailedTry> {
        if !self.arrivals.must_pay() {
            return Ok(());
        }
        let now = self.context.now();
        let service = &self.request.service;
        if self.context.budget.lock().try_repeat(now, service) {
            self.arrivals.pay();
            return Ok(());
        }
        let detail = "the budget of repeats is used up";
        Err(FailedTry::new(RefusalReason::EndpointsFull, detail).last())
    }

    /// Counts a call that left. One that never did was seen by no engine, so what was
    /// paid for it goes to the next. When many engines crash at once, counting those
    /// would use up the budget, and requests would be refused while sound engines idle.
    pub(super) fn note_sent(&mut self, end: &AttemptEnd, arrival: EngineArrival) {
        let arrival = match end {
            AttemptEnd::NotSent(_) => return,
            AttemptEnd::Answered(answer) if answer.response.status().is_success() => arrival,
            _ => EngineArrival::Counted,
        };
        self.asked += 1;
        self.arrivals.arrived(arrival);
    }

    async fn try_once(&mut self, last_id: Option<u64>) -> Result<TryEnd, FailedTry> {
        let prefilled = match self.source.take() {
            Some(prefilled) => prefilled,
            None => {
                let plan = self.plan()?;
                if plan.runs_there {
                    return self.run_at_once(&plan, last_id).await;
                }
                let source = self.prefill(&plan).await?;
                PrefilledSource {
                    plan,
                    source,
                    refusals: 0,
                }
            }
        };
        let target = match self.choose_runner(&prefilled.plan) {
            Ok(target) => target,
            Err(failed) => {
                self.free(&prefilled);
                return Err(failed.last());
            }
        };
        let mut added = self.added_headers(last_id);
        added.push((headers::KV_SOURCE, prefilled.source.clone()));
        let end = self.run(&prefilled.plan, &target, added, None, last_id);
        let end = end.await;
        if let Err(failed) = &end
            && matches!(
                failed.reason,
                RefusalReason::EndpointsFull | RefusalReason::NoEndpoint
            )
        {
            let refusals = prefilled.refusals + 1;
            let kept = PrefilledSource {
                refusals,
                ..prefilled
            };
            self.source = Some(kept).filter(|kept| kept.refusals < TAKEOVERS_LIMIT);
        }
        end
    }

    async fn run_at_once(
        &mut self,
        plan: &PrefillPlan,
        last_id: Option<u64>,
    ) -> Result<TryEnd, FailedTry> {
        let added = self.added_headers(last_id);
        let prefill = PrefillGuard::new(&self.context, &self.request.service, plan, &self.work);
        let target = plan.engine.clone();
        self.run(plan, &target, added, Some(prefill), last_id).await
    }

    fn rule(&self) -> Option<&EngineRule> {
        let service = self.request.table.service(&self.request.service)?;
        service.engine.as_ref()
    }

    /// The share of an engine that the request takes while it runs.
    fn run_share(&self) -> f64 {
        let tokens = self.work.prompt + self.work.output;
        self.rule().map_or(0.0, |rule| rule.run_share(tokens))
    }

    fn ask(&self) -> Result<PlanRequest<'_>, FailedTry> {
        let Some(rule) = self.rule() else {
            // No later try would find any, and trying again at once would hold up
            // everything else in this process.
            let detail = "the service has no engines";
            return Err(FailedTry::new(RefusalReason::NoEndpoint, detail).last());
        };
        Ok(PlanRequest {
            service: &self.request.service,
            rule,
            work: &self.work,
            priority: self.request.priority,
            tried: &self.tried,
            time_left: self.request.time_left(self.context.now()),
        })
    }

    fn plan(&self) -> Result<PrefillPlan, FailedTry> {
        let now = self.context.now();
        let plan = self.context.engines.lock().plan(now, self.ask()?);
        // Trying again at once would find none again, and hold up everything else
        // in this process while it does.
        plan.map_err(|error| no_engine(error).last())
    }

    fn choose_runner(&self, plan: &PrefillPlan) -> Result<EndpointTarget, FailedTry> {
        let now = self.context.now();
        let mut engines = self.context.engines.lock();
        let target = engines.choose_runner(now, self.ask()?, &plan.engine.id);
        target.map_err(|error| FailedTry::new(RefusalReason::NoEndpoint, error.to_string()))
    }

    pub(super) fn added_headers(&self, last_id: Option<u64>) -> AddedHeaders {
        let priority = self.request.priority.saturating_mul(PRIORITY_STEP);
        let priority = priority.min(LEAST_URGENT);
        let mut added = vec![(headers::REQUEST_PRIORITY, priority.to_string())];
        if let Some(id) = last_id {
            added.push((headers::LAST_EVENT_ID, id.to_string()));
        }
        added
    }

    /// Has the request run.
    async fn run(
        &mut self,
        plan: &PrefillPlan,
        target: &EndpointTarget,
        added: AddedHeaders,
        prefill: Option<PrefillGuard>,
        last_id: Option<u64>,
    ) -> Result<TryEnd, FailedTry> {
        self.pay_for_next()?;
        let Ok(permit) = self.attempts.send(&target.id) else {
            return Err(FailedTry::new(
                RefusalReason::EndpointFailed,
                "it has ended",
            ));
        };
        let share = self.run_share();
        let guard = RunGuard::new(&self.context, &target.id, &self.request.service, share);
        let left = self.request.time_left(self.context.now());
        let end = attempt::send(&self.context, &self.request, target, &added, left).await;
        self.note_sent(&end, EngineArrival::Counted);
        match end {
            AttemptEnd::Answered(answer) => {
                self.attempts.answering();
                self.answered(plan, target, answer, guard, prefill, last_id)
                    .await
            }
            AttemptEnd::NotSent(detail) => {
                self.attempts.not_sent(permit);
                self.unreachable(target);
                Err(FailedTry::new(RefusalReason::NoEndpoint, detail))
            }
            AttemptEnd::NotExecuted { status, is_gone } => {
                self.attempts.refused_before_running(permit);
                self.refused(target, status.as_u16(), is_gone);
                let detail = format!("{} refused with status {status}", target.id);
                Err(FailedTry::new(RefusalReason::EndpointsFull, detail))
            }
            AttemptEnd::MaybeRun(detail) => {
                self.lost(&target.id);
                let detail = format!("run at {}: {detail}", target.id);
                Err(FailedTry::new(RefusalReason::EndpointFailed, detail))
            }
            AttemptEnd::TimedOut => {
                self.lost(&target.id);
                let detail = format!("run at {}: no answer in time", target.id);
                Err(FailedTry::new(RefusalReason::TimedOut, detail))
            }
        }
    }

    async fn answered(
        &mut self,
        plan: &PrefillPlan,
        target: &EndpointTarget,
        answer: EndpointAnswer,
        guard: RunGuard,
        prefill: Option<PrefillGuard>,
        last_id: Option<u64>,
    ) -> Result<TryEnd, FailedTry> {
        if !attempt::is_signed(answer.response.headers()) {
            self.lost(&target.id);
            let detail = format!("status {} without a signature", answer.response.status());
            return Err(FailedTry::new(RefusalReason::EndpointFailed, detail));
        }
        if !stream::is_event_stream(&answer.response) {
            let left = self.request.time_left(self.context.now());
            let whole = WholeAnswer::read(&self.context, target, answer, left).await;
            let Some(whole) = whole else {
                self.lost(&target.id);
                let detail = "the answer broke off";
                return Err(FailedTry::new(RefusalReason::EndpointFailed, detail));
            };
            self.meter();
            self.attempts.end();
            return Ok(TryEnd::Whole(whole));
        }
        let (head, body) = answer.response.into_parts();
        let mut events = EventReader::new(body, last_id);
        let left = self.request.time_left(self.context.now());
        let (first, is_complete) = match events.next(left.as_duration()).await {
            NextEvents::Events { bytes, .. } => (bytes, false),
            NextEvents::End => (bytes::Bytes::new(), true),
            NextEvents::Silent => {
                self.lost(&target.id);
                return Err(FailedTry::new(RefusalReason::TimedOut, "no event in time"));
            }
            NextEvents::Broken => {
                self.lost(&target.id);
                let detail = "the stream broke off before its first event";
                return Err(FailedTry::new(RefusalReason::EndpointFailed, detail));
            }
        };
        if let Some(prefill) = prefill {
            prefill.done();
        }
        self.meter();
        let now = self.context.now();
        request_line(&self.context, "first_event", &self.request)
            .with("prefill", &plan.engine.id)
            .with("run", &target.id)
            .with("held", plan.held)
            .with("prompt", self.work.prompt)
            .with("expected", plan.first_token)
            .with("asked", self.asked)
            .info();
        let elapsed = now.since(self.request.arrived).as_millis() as f64 / 1_000.0;
        let latency = &self.context.metrics.latency;
        latency.with_label_values(&["model"]).observe(elapsed);
        let began = StreamMark {
            at: now,
            last_id: events.last_id().unwrap_or_default(),
        };
        Ok(TryEnd::Streaming(Box::new(RunningStream {
            head,
            events,
            began,
            reached_at: now,
            first: Some(first),
            is_complete,
            connection: Some(answer.connection),
            target: target.clone(),
            _guard: guard,
        })))
    }

    fn meter(&mut self) {
        if !self.is_metered {
            self.is_metered = true;
            meter(&self.context, &self.request);
        }
    }

    /// The request may have run at `engine`, and its answer is lost.
    fn lost(&mut self, engine: &EndpointId) {
        self.runs += 1;
        self.attempts.lost();
        self.tried.push(engine.clone());
        let now = self.context.now();
        self.context.engines.lock().failed(now, engine);
    }

    pub(super) fn refused(&mut self, target: &EndpointTarget, status: u16, is_gone: bool) {
        self.tried.push(target.id.clone());
        let now = self.context.now();
        let mut engines = self.context.engines.lock();
        match status {
            421 if is_gone => {
                engines.remove_engine(&target.id);
                drop(engines);
                self.context.directory.lock().drop_endpoint(&target.id);
            }
            421 => engines.wrong_stage(&target.id),
            _ => engines.refused(now, &target.id),
        }
    }

    /// No connection to the engine could be had. It gets nothing for a while, also
    /// from the other entries: it is told among those that refuse.
    pub(super) fn unreachable(&mut self, target: &EndpointTarget) {
        self.engine_failed(target);
        let now = self.context.now();
        self.context.engines.lock().refused(now, &target.id);
    }

    pub(super) fn engine_failed(&mut self, target: &EndpointTarget) {
        self.tried.push(target.id.clone());
        let now = self.context.now();
        let ejected = self.context.engines.lock().failed(now, &target.id);
        if let Some(span) = ejected {
            bluebell_daemon::logs::LogLine::new("endpoint_ejected")
                .with("endpoint", &target.id)
                .with("for", span)
                .info();
        }
    }
}

/// What is told a caller for whom there is no engine. Those who would come too late
/// return when the engines have worked off that much, and not all at the same moment.
fn no_engine(error: NoEngine) -> FailedTry {
    let detail = error.to_string();
    let NoEngine::TooLate { late } = error else {
        return FailedTry::new(RefusalReason::NoEndpoint, detail);
    };
    let least = late.max(DEFAULT_RETRY_AFTER).as_millis();
    let spread = rand::rng().random_range(0..=least / 2);
    FailedTry {
        retry_after: Some(TimeSpan::from_millis(least + spread)),
        ..FailedTry::new(RefusalReason::Overloaded, detail)
    }
}

impl Drop for GenerationRun {
    /// Gives back what was paid for calls that never left, also when the caller has gone.
    fn drop(&mut self) {
        let unused = self.arrivals.unused();
        if unused > 0 {
            let now = self.context.now();
            let service = &self.request.service;
            let mut budget = self.context.budget.lock();
            budget.never_sent(now, service, unused);
        }
    }
}
