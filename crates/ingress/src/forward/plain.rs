//! Requests to plain services.

use std::sync::Arc;

use bluebell_core::{
    attempts::{RequestAttempts, WorkKind},
    clock::TimeSpan,
    ids::EndpointId,
    placement::EndpointTarget,
};
use hyper::Response;

use crate::{
    context::EntryContext,
    forward::{
        answer::WholeAnswer,
        attempt::{self, AttemptEnd},
        guards::ReplicaGuard,
        meter, refuse, request_line,
    },
    frontend::{AnswerBody, CallerRequest, Refusal, RefusalReason},
};

/// How many replicas are asked at most, counting those that refused.
const ASKED_LIMIT: usize = 4;

/// After how many times its objective an idempotent request is sent elsewhere: a
/// replica that hangs answers nothing at all.
const SILENCE_OBJECTIVES: u64 = 4;

/// The least of that time.
const SILENCE_LEAST: TimeSpan = TimeSpan::from_millis(300);

/// What to do after an attempt.
enum NextStep {
    Answer(WholeAnswer),
    TryElsewhere(RefusalReason, String),
    GiveUp(RefusalReason, String),
}

struct PlainRun<'a> {
    context: &'a Arc<EntryContext>,
    request: &'a CallerRequest,
    attempts: RequestAttempts,
    tried: Vec<EndpointId>,
    /// Replicas that may have run the request.
    runs: u32,
    /// The failure that a replica signed, for want of anything better.
    failure: Option<WholeAnswer>,
    is_metered: bool,
}

/// Serves a request to a plain service.
pub async fn serve(
    context: &Arc<EntryContext>,
    request: &Arc<CallerRequest>,
) -> Response<AnswerBody> {
    let kind = request.route.work_kind();
    let mut run = PlainRun {
        context,
        request,
        attempts: RequestAttempts::new(request.id.clone(), kind),
        tried: Vec::new(),
        runs: 0,
        failure: None,
        is_metered: false,
    };
    loop {
        let Some(target) = run.choose() else {
            return run.give_up(RefusalReason::NoEndpoint, "no replica is left");
        };
        match run.attempt(&target).await {
            NextStep::Answer(answer) => return run.answer(&target, answer),
            NextStep::GiveUp(reason, detail) => return run.give_up(reason, &detail),
            NextStep::TryElsewhere(reason, detail) => {
                if !run.may_repeat(reason) {
                    return run.give_up(reason, &detail);
                }
                request_line(context, "sent_elsewhere", request)
                    .with("endpoint", &target.id)
                    .with("reason", reason)
                    .with("detail", detail)
                    .info();
            }
        }
    }
}

impl PlainRun<'_> {
    fn choose(&mut self) -> Option<EndpointTarget> {
        let now = self.context.now();
        let directory = self.context.directory.lock();
        let open = directory.open_for(&self.request.service);
        let choice = self
            .context
            .replicas
            .lock()
            .choose(now, open, &self.tried)?;
        let address = directory.get(&choice.endpoint)?.address;
        Some(EndpointTarget {
            id: choice.endpoint,
            address,
        })
    }

    /// Sends the request to `target`.
    async fn attempt(&mut self, target: &EndpointTarget) -> NextStep {
        let left = self.request.time_left(self.context.now());
        if left == TimeSpan::ZERO {
            return NextStep::GiveUp(RefusalReason::TimedOut, "no time is left".to_string());
        }
        let Ok(permit) = self.attempts.send(&target.id) else {
            return NextStep::GiveUp(RefusalReason::EndpointFailed, "it has ended".to_string());
        };
        self.tried.push(target.id.clone());
        let guard = ReplicaGuard::new(self.context, &target.id);
        let patience = self.patience(left);
        let end = attempt::send(self.context, self.request, target, &Vec::new(), patience).await;
        match end {
            AttemptEnd::NotSent(detail) => {
                self.attempts.not_sent(permit);
                guard.failed();
                NextStep::TryElsewhere(RefusalReason::NoEndpoint, detail)
            }
            AttemptEnd::NotExecuted { status, is_gone } => {
                self.attempts.refused_before_running(permit);
                if is_gone {
                    self.context.directory.lock().drop_endpoint(&target.id);
                }
                guard.failed();
                NextStep::TryElsewhere(RefusalReason::EndpointsFull, format!("status {status}"))
            }
            AttemptEnd::MaybeRun(detail) => {
                guard.failed();
                let detail = format!("{}: {detail}", target.id);
                self.lost(RefusalReason::EndpointFailed, detail)
            }
            AttemptEnd::TimedOut => {
                guard.failed();
                let detail = format!("{}: no answer in time", target.id);
                self.lost(RefusalReason::TimedOut, detail)
            }
            AttemptEnd::Answered(answer) => {
                self.attempts.answering();
                let signed = attempt::is_signed(answer.response.headers());
                let left = self.request.time_left(self.context.now()).min(patience);
                let whole = WholeAnswer::read(self.context, target, answer, left).await;
                match whole {
                    Some(answer) if signed => self.judge(guard, answer),
                    Some(answer) => {
                        guard.failed();
                        let detail = format!("status {} without a signature", answer.status);
                        self.lost(RefusalReason::EndpointFailed, detail)
                    }
                    None => {
                        guard.failed();
                        let detail = "the answer broke off".to_string();
                        self.lost(RefusalReason::EndpointFailed, detail)
                    }
                }
            }
        }
    }

    /// An idempotent request does not wait for a silent replica until its end.
    fn patience(&self, left: TimeSpan) -> TimeSpan {
        let may_repeat = self.request.route.work_kind() == WorkKind::Repeatable
            && self.runs + 1 < self.request.route.attempts_limit;
        if !may_repeat {
            return left;
        }
        let objective = self.request.route.objective.times(SILENCE_OBJECTIVES);
        left.min(objective.max(SILENCE_LEAST))
    }

    /// An answer that came whole and signed.
    fn judge(&mut self, guard: ReplicaGuard, answer: WholeAnswer) -> NextStep {
        guard.answered();
        self.meter();
        let may_repeat = self.request.route.work_kind() == WorkKind::Repeatable;
        if !answer.is_failure() || !may_repeat {
            self.attempts.end();
            return NextStep::Answer(answer);
        }
        let detail = format!("status {}", answer.status);
        self.failure = Some(answer);
        self.lost(RefusalReason::EndpointFailed, detail)
    }

    /// The request may have run.
    fn lost(&mut self, reason: RefusalReason, detail: String) -> NextStep {
        self.runs += 1;
        self.attempts.lost();
        match self.request.route.work_kind() {
            WorkKind::Repeatable => NextStep::TryElsewhere(reason, detail),
            WorkKind::AtMostOnce => NextStep::GiveUp(reason, detail),
        }
    }

    fn may_repeat(&mut self, reason: RefusalReason) -> bool {
        let now = self.context.now();
        if self.tried.len() >= ASKED_LIMIT || self.request.time_left(now) == TimeSpan::ZERO {
            return false;
        }
        if self.runs >= self.request.route.attempts_limit {
            return false;
        }
        // What never left needs no budget: the service has not seen it.
        if reason == RefusalReason::NoEndpoint {
            return true;
        }
        let service = &self.request.service;
        self.context.budget.lock().try_repeat(now, service)
    }

    fn meter(&mut self) {
        if !self.is_metered {
            self.is_metered = true;
            meter(self.context, self.request);
        }
    }

    fn answer(&self, target: &EndpointTarget, answer: WholeAnswer) -> Response<AnswerBody> {
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
        request_line(self.context, "answered", self.request)
            .with("endpoint", &target.id)
            .with("status", answer.status.as_u16())
            .with("asked", self.tried.len())
            .info();
        answer.into_response()
    }

    fn give_up(&mut self, reason: RefusalReason, detail: &str) -> Response<AnswerBody> {
        if let Some(failure) = self.failure.take() {
            request_line(self.context, "answered", self.request)
                .with("status", failure.status.as_u16())
                .with("asked", self.tried.len())
                .with("detail", detail)
                .info();
            return failure.into_response();
        }
        let refusal = Refusal::with_outcome(self.attempts.outcome(), reason);
        refuse(self.context, self.request, refusal, detail)
    }
}
