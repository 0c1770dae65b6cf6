//! One call of a plain service, from its claim to its settlement.
//!
//! The run is a task of its own: a call that must run at most once and was sent
//! goes on when its caller's deadline passes, so that the outcome can still be
//! recorded for a repeat with the same idempotency key.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, Ordering},
};

use bluebell_core::{
    admission::{AdmissionRequest, OrganisationLimits},
    attempts::{AttemptPhase, RequestAttempts, RunOutcome, WorkKind},
    claims::ClaimVerdict,
    clock::{ClockTime, TimeSpan},
    config::WorkPriority,
    ids::{EndpointId, IdempotencyKey, OrganisationId, RequestFingerprint, ServiceName},
    quarantine::CrashStanding,
    records::{IdempotencyClaim, SettledResult},
    retries::RetryAnswer,
    routing::{RouteOutcome, RoutePool, RouteRequest},
    units::TokenCount,
};
use bluebell_endpoint::{
    EndpointError,
    client::{PlainAnswer, PlainCall},
};
use tokio::sync::oneshot;

use crate::{
    context::{EntryContext, InFlightTicket, RoutedAttempt},
    refusal::{Refusal, RefusalCode},
    running::RunningTicket,
};

/// How long the answer to a call is waited for after its caller was told that
/// the outcome is unknown.
const LATE_ANSWER_LIMIT: TimeSpan = TimeSpan::from_secs(60);

/// What a plain service is asked.
#[derive(Clone, Debug)]
pub struct PlainWork {
    /// Whose call it is.
    pub organisation: OrganisationId,
    /// Whether it may be repeated.
    pub kind: WorkKind,
    /// When the whole answer must be there.
    pub deadline: ClockTime,
    /// Tells the call from others.
    pub fingerprint: RequestFingerprint,
    /// The service.
    pub service: ServiceName,
    /// Whether a person waits.
    pub priority: WorkPriority,
    /// Whether capacity that can be reclaimed will do.
    pub preemptible: bool,
    /// What the organisation may have.
    pub limits: OrganisationLimits,
    /// What is sent.
    pub call: PlainCall,
}

/// What the caller gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallAnswer {
    /// The service's answer.
    pub answer: PlainAnswer,
    /// Whether it is that of an earlier request with the same idempotency key.
    pub replayed: bool,
}

/// One call in progress.
pub struct PlainRun {
    context: Arc<EntryContext>,
    work: PlainWork,
    attempts: Mutex<RequestAttempts>,
    claim: Option<IdempotencyClaim>,
    claimed: AtomicBool,
}

impl PlainRun {
    /// A run of `work`.
    pub fn new(context: Arc<EntryContext>, work: PlainWork, attempts: RequestAttempts) -> PlainRun {
        let key = work.call.idempotency_key.as_ref();
        let key = key.filter(|_| work.kind == WorkKind::AtMostOnce);
        let claim = key.map(|key| claim_of(&context, &work, &attempts, key));
        PlainRun {
            context,
            work,
            attempts: Mutex::new(attempts),
            claim,
            claimed: AtomicBool::new(false),
        }
    }

    /// Runs the call and answers its caller.
    pub async fn answer(
        self,
        ticket: RunningTicket,
        in_flight: InFlightTicket,
    ) -> Result<CallAnswer, Refusal> {
        let (reply, answer) = oneshot::channel();
        let lost = self.refusal(RefusalCode::Internal, "a fault of this program");
        let lost = lost.with_outcome_unknown();
        let context = self.context.clone();
        context.work.spawn(self.run(ticket, in_flight, reply));
        answer.await.unwrap_or(Err(lost))
    }

    async fn run(
        self,
        ticket: RunningTicket,
        in_flight: InFlightTicket,
        reply: oneshot::Sender<Result<CallAnswer, Refusal>>,
    ) {
        let left = self.work.deadline.since(self.context.now());
        let mut work = Box::pin(self.work());
        let interruption = tokio::select! {
            biased;
            () = ticket.lost().cancelled() => (RefusalCode::KeyWithdrawn, "the key was withdrawn"),
            () = tokio::time::sleep(left.as_duration()) => {
                (RefusalCode::DeadlineExceeded, "the answer was not there before the deadline")
            }
            end = &mut work => {
                self.settle(&end);
                let _ = reply.send(end);
                return;
            }
        };
        let (code, message) = interruption;
        let refusal = self.refusal(code, message);
        let ran = refusal.ran;
        let _ = reply.send(Err(refusal.clone()));
        drop(in_flight);
        // Work that has not been sent is dropped here, before it can be: what the
        // caller was told stays true. Work that was sent may still be settled.
        if ran == RunOutcome::Unknown && self.claim.is_some() {
            let late = tokio::time::timeout(LATE_ANSWER_LIMIT.as_duration(), &mut work).await;
            self.settle(&late.unwrap_or(Err(refusal)));
            return;
        }
        drop(work);
        self.settle(&Err(refusal));
    }

    fn refusal<Message>(&self, code: RefusalCode, message: Message) -> Refusal
    where
        Message: Into<String>,
    {
        let attempts = self.attempts.lock().expect("no holder panics");
        Refusal::new(code, message, &attempts)
    }

    fn change<Change, Answer>(&self, change: Change) -> Answer
    where
        Change: FnOnce(&mut RequestAttempts) -> Answer,
    {
        change(&mut self.attempts.lock().expect("no holder panics"))
    }

    /// Records what became of the claimed action. If the claim turned out not to
    /// be the standing one, readers pass over the settlement.
    fn settle(&self, end: &Result<CallAnswer, Refusal>) {
        let claimed = self.claimed.load(Ordering::Relaxed);
        let Some(claim) = self.claim.as_ref().filter(|_| claimed) else {
            return;
        };
        let result = match end {
            Ok(answer) if answer.replayed => return,
            Ok(answer) => self.recorded(&answer.answer),
            Err(_) => match self.change(|attempts| attempts.outcome()) {
                RunOutcome::NotRun(_) => SettledResult::NotRun,
                RunOutcome::Unknown => SettledResult::Unknown,
            },
        };
        self.context.claims.settle(claim, result);
    }

    fn recorded(&self, answer: &PlainAnswer) -> SettledResult {
        let limit = self.context.settings.requests.kept_answer.count() as usize;
        let short = answer.body.len() <= limit;
        let body = short.then(|| String::from_utf8(answer.body.to_vec()).ok());
        SettledResult::Answered {
            status: answer.status,
            content_type: answer.content_type.clone().unwrap_or_default(),
            body: body.flatten(),
        }
    }

    async fn work(&self) -> Result<CallAnswer, Refusal> {
        if self.work.kind == WorkKind::AtMostOnce {
            self.check_freshness()?;
        }
        self.check_quarantine()?;
        let attempts = self.change(|attempts| attempts.clone());
        let started = self
            .context
            .start_work(self.admission(), self.work.limits, &attempts);
        let _ticket = started.await?;
        let recorded = match &self.claim {
            Some(claim) => self.claim_key(claim).await?,
            None => None,
        };
        if let Some(recorded) = recorded {
            return Ok(recorded);
        }
        let answer = self.drive().await?;
        Ok(CallAnswer {
            answer,
            replayed: false,
        })
    }

    /// Refuses work that must run at most once on an instance that has not heard
    /// of the log for long: it may be cut off, and its keys withdrawn elsewhere.
    fn check_freshness(&self) -> Result<(), Refusal> {
        let bound = self.context.settings.requests.freshness_bound;
        if self
            .context
            .node
            .freshness()
            .is_some_and(|age| age <= bound)
        {
            return Ok(());
        }
        let message = format!("this instance has not heard of the log for more than {bound}");
        Err(self.refusal(RefusalCode::ConfigurationStale, message))
    }

    /// Claims the key. Answers an earlier request's outcome, or nothing if this
    /// request may send.
    async fn claim_key(&self, claim: &IdempotencyClaim) -> Result<Option<CallAnswer>, Refusal> {
        match self.verdict(claim) {
            ClaimVerdict::Free => {}
            verdict => return self.follow_verdict(verdict),
        }
        let unavailable = |message: String| {
            let message = format!("the idempotency key could not be claimed: {message}");
            self.refusal(RefusalCode::ClaimUnavailable, message)
        };
        self.claimed.store(true, Ordering::Relaxed);
        let appended = self.context.claims.claim(claim.clone()).await;
        let offset = appended.map_err(|error| unavailable(error.to_string()))?;
        let patience = self.context.settings.requests.claim_patience;
        if !self.context.node.wait_applied(offset, patience).await {
            return Err(unavailable(format!("not read back within {patience}")));
        }
        self.follow_verdict(self.verdict(claim))
    }

    fn verdict(&self, claim: &IdempotencyClaim) -> ClaimVerdict {
        self.context.node.with_view(|view| {
            view.claims.verdict(
                &claim.organisation,
                &claim.key,
                &claim.request,
                &claim.fingerprint,
            )
        })
    }

    fn follow_verdict(&self, verdict: ClaimVerdict) -> Result<Option<CallAnswer>, Refusal> {
        let request = self.change(|attempts| attempts.request().to_string());
        self.context
            .decided(&[&request], "read the claim", format!("{verdict:?}"));
        match verdict {
            ClaimVerdict::Mine => Ok(None),
            ClaimVerdict::Recorded(result) => match replay(result) {
                Some(answer) => Ok(Some(answer)),
                None => Err(self.unknown()),
            },
            ClaimVerdict::Unknown => Err(self.unknown()),
            ClaimVerdict::OtherContent => {
                let message = "the idempotency key was used for another request";
                Err(self.refusal(RefusalCode::IdempotencyKeyReused, message))
            }
            ClaimVerdict::Free => {
                let message = "the claim of the idempotency key no longer stands";
                Err(self.refusal(RefusalCode::ClaimUnavailable, message))
            }
        }
    }

    fn unknown(&self) -> Refusal {
        let message = "an earlier request with this idempotency key may have run";
        let refusal = self.refusal(RefusalCode::OutcomeUnknown, message);
        refusal.with_outcome_unknown()
    }

    fn check_quarantine(&self) -> Result<(), Refusal> {
        if self.context.standing(&self.work.fingerprint) != CrashStanding::Quarantined {
            return Ok(());
        }
        let message = "the request crashed endpoints and is not run again";
        Err(self.refusal(RefusalCode::RequestQuarantined, message))
    }

    fn admission(&self) -> AdmissionRequest {
        AdmissionRequest {
            request: self.change(|attempts| attempts.request().clone()),
            organisation: self.work.organisation.clone(),
            pool: RoutePool::Plain(self.work.service.clone()),
            priority: self.work.priority,
            deadline: self.work.deadline,
            prompt_tokens: TokenCount::new(1),
            max_output: TokenCount::ZERO,
        }
    }

    async fn drive(&self) -> Result<PlainAnswer, Refusal> {
        let mut avoided = Vec::new();
        self.context.traffic.note_request(&self.work.organisation);
        loop {
            let routed = self.choose(&avoided)?;
            avoided.push(routed.chosen.endpoint.clone());
            if let Some(answer) = self.attempt(routed).await? {
                self.change(RequestAttempts::end);
                let ended = &self.context.metrics.ended;
                ended.with_label_values(&["whole"]).inc();
                return Ok(answer);
            }
            self.check_quarantine()?;
            self.pause_before_retry().await?;
        }
    }

    async fn pause_before_retry(&self) -> Result<(), Refusal> {
        let failed = self.change(|attempts| attempts.attempt());
        match self
            .context
            .traffic
            .try_retry(&self.work.organisation, failed)
        {
            RetryAnswer::Retry { after, .. } => {
                tokio::time::sleep(after.as_duration()).await;
                Ok(())
            }
            RetryAnswer::GiveUp { reason } => {
                let code = match self.change(|attempts| attempts.outcome()) {
                    RunOutcome::NotRun(_) => RefusalCode::NoEndpoint,
                    RunOutcome::Unknown => RefusalCode::EndpointLost,
                };
                Err(self.refusal(code, reason))
            }
        }
    }

    fn choose(&self, avoided: &[EndpointId]) -> Result<RoutedAttempt, Refusal> {
        let ask = RouteRequest {
            request: self.change(|attempts| attempts.request().clone()),
            pool: RoutePool::Plain(self.work.service.clone()),
            prefix: None,
            prompt_tokens: TokenCount::ZERO,
            priority: self.work.priority,
            repeatable: self.work.kind == WorkKind::Repeatable,
            preemptible: self.work.preemptible,
            excluded: avoided.to_vec(),
        };
        let routed = self.context.route(&ask);
        routed.map_err(|error| self.refusal(RefusalCode::NoEndpoint, error.to_string()))
    }

    async fn attempt(&self, routed: RoutedAttempt) -> Result<Option<PlainAnswer>, Refusal> {
        let RoutedAttempt { chosen, ticket, .. } = routed;
        let permit = self
            .change(|attempts| attempts.send(&chosen.endpoint))
            .map_err(|error| self.refusal(RefusalCode::EndpointLost, error.to_string()))?;
        self.context.metrics.attempts.inc();
        let limit = self.context.settings.requests.max_answer.count() as usize;
        let error = match chosen.client.call(&permit, &self.work.call, limit).await {
            Ok(answer) => {
                ticket.ended(RouteOutcome::Answered);
                return Ok(Some(answer));
            }
            Err(error) => error,
        };
        ticket.ended(RouteOutcome::Failed);
        let subjects = [permit.request().as_str(), chosen.endpoint.as_str()];
        self.context
            .decided(&subjects, "attempt failed", error.to_string());
        let was_sent = !matches!(error, EndpointError::NotSent(_));
        self.change(|attempts| match was_sent {
            true => attempts.lost(),
            false => attempts.not_sent(permit),
        });
        if was_sent {
            let probe = chosen.client.probe().await;
            if self.context.has_crashed(&chosen, probe).await {
                let noted = self.context.note_crash(&self.work.fingerprint, &chosen);
                noted.await;
            }
        }
        if self.change(|attempts| *attempts.phase() == AttemptPhase::Done) {
            let message =
                format!("the endpoint was lost, and the call may not be repeated: {error}");
            return Err(self.refusal(RefusalCode::EndpointLost, message));
        }
        Ok(None)
    }
}

fn claim_of(
    context: &EntryContext,
    work: &PlainWork,
    attempts: &RequestAttempts,
    key: &IdempotencyKey,
) -> IdempotencyClaim {
    IdempotencyClaim {
        organisation: work.organisation.clone(),
        key: key.clone(),
        request: attempts.request().clone(),
        fingerprint: work.fingerprint.clone(),
        entry: context.settings.node.instance.clone(),
    }
}

/// The recorded answer; none if it was too long to be recorded whole.
fn replay(result: SettledResult) -> Option<CallAnswer> {
    let SettledResult::Answered {
        status,
        content_type,
        body,
    } = result
    else {
        return None;
    };
    let content_type = Some(content_type).filter(|text| !text.is_empty());
    Some(CallAnswer {
        answer: PlainAnswer {
            status,
            content_type,
            body: body.unwrap_or_default().into(),
        },
        replayed: true,
    })
}
