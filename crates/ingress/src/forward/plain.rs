//! Requests to plain services, whose replicas are not model engines.

mod waiting;

use std::sync::Arc;

use bluebell_core::{
    attempts::{AttemptPhase, RequestAttempts, RunOutcome, WorkKind},
    clock::TimeSpan,
    ids::EndpointId,
    ingress::RouteKind,
    placement::EndpointTarget,
};
use hyper::{Response, StatusCode};

use crate::{
    context::EntryContext,
    forward::{
        answer::{CompleteAnswer, MAX_ANSWER_BYTES},
        attempt::{self, SendOutcome, Withheld},
        broken_runs::{self, AnswerProgress},
        continuation, crashes, endpoint_changes,
        failed_attempt::refusal_of_withheld,
        guards::ReplicaGuard,
        meter, notices, proxy,
        quota::QuotaCharge,
        refuse, request_log_line, resume, retries,
        room::{self, RoomTicket},
        software,
    },
    frontend::{AnswerBody, CallerRequest, Refusal, RefusalReason},
};

/// Maximum number of replicas that one request is sent to, including those that refuse.
const MAX_ATTEMPTS: usize = 4;

/// Maximum number of replicas that can't be reached before a request is refused. Registrations may
/// lead to addresses at which nothing listens.
const MAX_UNREACHED: usize = 12;

/// Timeout of one attempt of an idempotent request, in multiples of the latency
/// objective of its route. A replica that hangs never answers, so the request is then
/// sent to another one.
const ATTEMPT_TIMEOUT_OBJECTIVES: u64 = 4;

/// Minimum timeout of one attempt of an idempotent request.
const MIN_ATTEMPT_TIMEOUT: TimeSpan = TimeSpan::from_millis(300);

/// The name of a call to a replica in the log.
const CALL_NAME: &str = "plain";

/// The step that follows an attempt.
enum NextStep {
    Answer(CompleteAnswer),
    Retry(RefusalReason, String),
    Refuse(RefusalReason, String),
}

/// The attempts of one request at the replicas of its service.
struct PlainRun<'a> {
    context: &'a Arc<EntryContext>,
    request: &'a CallerRequest,
    attempts: RequestAttempts,
    attempted: Vec<EndpointId>,
    /// Number of replicas that may have run the request.
    possible_runs: u32,
    /// The latest signed failure of a replica, returned if no other replica answers.
    failed_answer: Option<CompleteAnswer>,
    /// When the caller may retry, if a better value than the default is known.
    retry_after: Option<TimeSpan>,
    /// The place of the request once it has waited for room.
    ticket: Option<RoomTicket>,
    /// Number of attempts, also those before the request waited.
    sends: usize,
    /// Number of replicas that could not be reached.
    unreached: usize,
    is_metered: bool,
    charge: Option<QuotaCharge>,
}

/// Serves a request to a plain service.
pub async fn serve(
    context: &Arc<EntryContext>,
    request: &Arc<CallerRequest>,
    charge: Option<QuotaCharge>,
) -> Response<AnswerBody> {
    let kind = request.route.work_kind();
    let mut run = PlainRun {
        context,
        request,
        attempts: RequestAttempts::new(request.id.clone(), kind),
        attempted: Vec::new(),
        possible_runs: 0,
        failed_answer: None,
        retry_after: None,
        ticket: None,
        sends: 0,
        unreached: 0,
        is_metered: false,
        charge,
    };
    if room::is_contended(context, request)
        && let Err(detail) = run.wait_for_room().await
    {
        return run.respond_failed(RefusalReason::Overloaded, detail);
    }
    loop {
        let Some(target) = run.choose_replica() else {
            if run.may_be_proxied().await
                && let Some(response) = proxy::serve(context, request).await
            {
                return response;
            }
            run.retry_after = notices::retry_after(context, &request.service);
            return run
                .respond_failed(RefusalReason::NoEndpoint, "no further replica is available");
        };
        match run.attempt(&target).await {
            NextStep::Answer(answer) => return run.answer(&target, answer),
            NextStep::Refuse(reason, detail) => return run.respond_failed(reason, &detail),
            NextStep::Retry(reason, detail) => {
                if reason == RefusalReason::NoEndpoint
                    && run.may_be_proxied().await
                    && let Some(response) = proxy::serve(context, request).await
                {
                    return response;
                }
                if run.has_no_room(reason)
                    && let Err(detail) = run.wait_for_room().await
                {
                    return run.respond_failed(RefusalReason::Overloaded, detail);
                }
                if !run.may_retry(reason) {
                    return run.respond_failed(reason, &detail);
                }
                request_log_line(context, "sent_elsewhere", request)
                    .with("endpoint", &target.id)
                    .with("reason", reason)
                    .with("detail", detail)
                    .info();
            }
        }
    }
}

impl PlainRun<'_> {
    fn choose_replica(&mut self) -> Option<EndpointTarget> {
        let now = self.context.now();
        let excluded = notices::excluded(self.context, &self.attempted);
        let directory = self.context.directory.lock();
        let origin = self.request.origin;
        let candidates = directory
            .available_for(&self.request.service)
            .filter(|candidate| origin.is_none_or(|origin| origin == candidate.origin()));
        let choice = self
            .context
            .replicas
            .lock()
            .choose(now, candidates, &excluded)?;
        let registration = directory.get(&choice.endpoint)?;
        Some(EndpointTarget {
            id: choice.endpoint,
            address: registration.address,
            start: registration.start,
            origin: registration.origin(),
        })
    }

    /// Whether another instance may serve the request: it has not run, and no endpoint is
    /// reached from here.
    async fn may_be_proxied(&self) -> bool {
        let is_unserved = matches!(self.attempts.outcome(), RunOutcome::NotRun(_));
        is_unserved && proxy::is_needed(self.context, self.request).await
    }

    /// Sends the request to `target` and determines the next step.
    async fn attempt(&mut self, target: &EndpointTarget) -> NextStep {
        let remaining = self.request.time_left(self.context.now());
        if remaining == TimeSpan::ZERO {
            return NextStep::Refuse(
                RefusalReason::TimedOut,
                "the deadline of the request has passed".to_string(),
            );
        }
        if let Some(quarantined) = crashes::quarantined(self.context, self.request) {
            self.retry_after = Some(quarantined.remaining);
            return NextStep::Refuse(RefusalReason::Quarantined, quarantined.detail);
        }
        let Ok(permit) = self.attempts.permit_send(&target.id) else {
            return NextStep::Refuse(
                RefusalReason::EndpointFailed,
                "the request has already ended".to_string(),
            );
        };
        self.attempted.push(target.id.clone());
        self.sends += 1;
        let guard = ReplicaGuard::new(self.context, &target.id);
        let timeout = self.attempt_timeout(remaining);
        let outcome = attempt::send(self.context, self.request, target, &Vec::new(), timeout).await;
        match outcome {
            SendOutcome::Withheld(withheld) => {
                self.attempts.not_sent(permit);
                drop(guard);
                self.next_after_withheld(withheld)
            }
            SendOutcome::NotSent(detail) => {
                self.attempts.not_sent(permit);
                guard.failed();
                self.sends -= 1;
                self.unreached += 1;
                NextStep::Retry(RefusalReason::NoEndpoint, detail)
            }
            SendOutcome::NotExecuted {
                status,
                is_replaced,
            } => {
                self.attempts.refused_before_running(permit);
                if is_replaced {
                    endpoint_changes::note_replaced(self.context, &target.id);
                }
                guard.failed();
                if status == StatusCode::SERVICE_UNAVAILABLE {
                    let now = self.context.now();
                    self.context.replicas.lock().full(now, &target.id);
                }
                NextStep::Retry(RefusalReason::EndpointsFull, format!("status {status}"))
            }
            SendOutcome::RefusedWithoutProof(status) => {
                guard.answered_failure();
                let detail = format!("{}: refused with {status} without proof", target.id);
                self.note_possible_run(RefusalReason::EndpointFailed, detail)
            }
            SendOutcome::MaybeRun(detail) => {
                guard.failed();
                let progress = AnswerProgress::None;
                broken_runs::note_lost_run(self.context, self.request, target, progress).await;
                let detail = format!("{}: {detail}", target.id);
                self.note_possible_run(RefusalReason::EndpointFailed, detail)
            }
            SendOutcome::TimedOut => {
                guard.failed();
                let detail = format!("{}: no answer in time", target.id);
                self.note_possible_run(RefusalReason::TimedOut, detail)
            }
            SendOutcome::Answered(answer) => {
                self.attempts.answer_started();
                if !attempt::is_signed(answer.response.headers()) {
                    guard.failed();
                    let status = answer.response.status();
                    let detail = format!("answer with status {status} is not signed");
                    return self.note_possible_run(RefusalReason::EndpointFailed, detail);
                }
                let remaining = self.request.time_left(self.context.now()).min(timeout);
                let reading = CompleteAnswer::read(
                    self.context,
                    self.request,
                    target,
                    answer,
                    MAX_ANSWER_BYTES,
                    remaining,
                );
                let complete = match self.request.origin {
                    Some(_) => {
                        let has_events = Option::is_some;
                        let (context, request) = (self.context, self.request);
                        continuation::read_checked(context, request, target, reading, has_events)
                            .await
                    }
                    None => Some(reading.await),
                };
                let Some(complete) = complete else {
                    guard.failed();
                    let detail = continuation::unproved_detail(target);
                    return self.note_possible_run(RefusalReason::EndpointFailed, detail);
                };
                match complete {
                    Some(answer) => self.handle_answer(guard, answer),
                    None => {
                        guard.failed();
                        let progress = AnswerProgress::Head;
                        broken_runs::note_lost_run(self.context, self.request, target, progress)
                            .await;
                        let detail = "the answer is incomplete".to_string();
                        self.note_possible_run(RefusalReason::EndpointFailed, detail)
                    }
                }
            }
        }
    }

    /// The step after a replica was chosen that the request must not be sent to.
    fn next_after_withheld(&mut self, withheld: Withheld) -> NextStep {
        let (reason, retry_after) = refusal_of_withheld(withheld);
        let detail = withheld.as_str().to_string();
        if withheld.concerns_endpoint() {
            return NextStep::Retry(reason, detail);
        }
        self.retry_after = retry_after;
        NextStep::Refuse(reason, detail)
    }

    /// Returns the timeout of the next attempt. A request that may be retried does not
    /// spend all of its `remaining` time on an unresponsive replica.
    fn attempt_timeout(&self, remaining: TimeSpan) -> TimeSpan {
        let may_retry = self.request.route.work_kind() == WorkKind::Repeatable
            && self.possible_runs + 1 < self.request.route.attempts_limit;
        if !may_retry {
            return remaining;
        }
        let objective = self
            .request
            .route
            .objective
            .times(ATTEMPT_TIMEOUT_OBJECTIVES);
        remaining.min(objective.max(MIN_ATTEMPT_TIMEOUT))
    }

    /// Handles a complete and signed answer.
    fn handle_answer(&mut self, guard: ReplicaGuard, answer: CompleteAnswer) -> NextStep {
        match answer.is_failure() {
            true => guard.answered_failure(),
            false => {
                guard.answered();
                crashes::note_completed(self.context, self.request);
            }
        }
        if answer.status.is_success() {
            crashes::note_answered(self.context, self.request);
        }
        self.meter();
        let is_repeatable = self.request.route.work_kind() == WorkKind::Repeatable;
        if !answer.is_failure() || !is_repeatable {
            self.attempts.end();
            return NextStep::Answer(answer);
        }
        let detail = format!("status {}", answer.status);
        self.failed_answer = Some(answer);
        self.note_possible_run(RefusalReason::EndpointFailed, detail)
    }

    /// Records that the request may have run; only a repeatable one is retried.
    fn note_possible_run(&mut self, reason: RefusalReason, detail: String) -> NextStep {
        self.possible_runs += 1;
        self.attempts.connection_lost();
        match self.request.route.work_kind() {
            WorkKind::Repeatable => NextStep::Retry(reason, detail),
            WorkKind::AtMostOnce => NextStep::Refuse(reason, detail),
        }
    }

    fn may_retry(&mut self, reason: RefusalReason) -> bool {
        let now = self.context.now();
        if self.sends >= MAX_ATTEMPTS || self.unreached >= MAX_UNREACHED {
            return false;
        }
        if self.request.time_left(now) == TimeSpan::ZERO {
            return false;
        }
        if self.possible_runs >= self.request.route.attempts_limit {
            return false;
        }
        // A request that was not sent costs no retry budget: the service did not
        // receive it.
        if reason == RefusalReason::NoEndpoint {
            return true;
        }
        retries::try_retry(self.context, self.request, CALL_NAME)
    }

    fn meter(&mut self) {
        if !self.is_metered {
            self.is_metered = true;
            meter(self.context, self.request);
        }
    }

    fn answer(&self, target: &EndpointTarget, answer: CompleteAnswer) -> Response<AnswerBody> {
        if self.request.route.kind == RouteKind::Streaming && answer.status.is_success() {
            let earlier = resume::BegunStream::with_origin(self.request.origin);
            resume::note_begun(self.context, self.request, target, earlier);
        }
        let metrics = &self.context.metrics;
        let now = self.context.now();
        let elapsed = now.since(self.request.arrived).as_millis() as f64 / 1_000.0;
        metrics
            .latency
            .with_label_values(&["plain"])
            .observe(elapsed);
        metrics
            .answers
            .with_label_values(&["plain", "answered"])
            .inc();
        request_log_line(self.context, "answered", self.request)
            .with("endpoint", &target.id)
            .with("software", software(self.context, &target.id))
            .with("status", answer.status.as_u16())
            .with("asked", self.sends)
            .info();
        answer.into_response()
    }

    fn respond_failed(&mut self, reason: RefusalReason, detail: &str) -> Response<AnswerBody> {
        if let Some(failed_answer) = self.failed_answer.take() {
            request_log_line(self.context, "answered", self.request)
                .with("status", failed_answer.status.as_u16())
                .with("asked", self.sends)
                .with("detail", detail)
                .info();
            return failed_answer.into_response();
        }
        let refusal = Refusal::with_outcome(self.attempts.outcome(), reason);
        let refusal = refusal.with_retry_after(self.retry_after);
        refuse(self.context, self.request, refusal, detail)
    }
}

impl Drop for PlainRun<'_> {
    /// Gives the charge to the limit back if the request has not run, also when the caller
    /// has disconnected.
    fn drop(&mut self) {
        if matches!(self.attempts.phase(), AttemptPhase::Sent { .. }) {
            retries::log_abandoned(self.context, self.request, CALL_NAME);
        }
        if let Some(charge) = &mut self.charge {
            charge.settle(self.attempts.outcome());
        }
    }
}
