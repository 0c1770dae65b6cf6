//! Runs one call of a plain service, from the claim of its key to the settlement.
//!
//! The run is a separate task: a call that must run at most once and was sent continues
//! after its caller's deadline, so that the outcome can still be recorded for a repeat
//! with the same idempotency key.

mod attempt;
mod claim;

use std::sync::{Arc, Mutex, atomic::AtomicBool};

use bluebell_core::{
    admission::{AdmissionRequest, OrganisationLimits},
    attempts::{RequestAttempts, RunOutcome, WorkKind},
    clock::{ClockTime, TimeSpan},
    config::WorkPriority,
    ids::{OrganisationId, RequestFingerprint, ServiceName},
    quarantine::CrashStatus,
    records::IdempotencyClaim,
    retries::RetryDecision,
    routing::RoutePool,
    units::TokenCount,
};
use bluebell_endpoint::client::{PlainAnswer, PlainCall};
use tokio::sync::oneshot;

use self::{
    attempt::{CallOutcome, TriedEndpoints},
    claim::new_claim,
};
use crate::{
    active_keys::KeyTicket,
    context::{EntryContext, InFlightTicket},
    refusal::{Refusal, RefusalCode},
};

/// How long to wait for the answer to a call after its caller received the refusal that
/// the outcome is unknown.
const LATE_ANSWER_TIMEOUT: TimeSpan = TimeSpan::from_secs(60);

/// The parameters of a call of a plain service.
#[derive(Clone, Debug)]
pub struct PlainWork {
    /// The organisation that sent the call.
    pub organisation: OrganisationId,
    /// Whether the call may be repeated.
    pub kind: WorkKind,
    /// Time by which the complete answer must arrive.
    pub deadline: ClockTime,
    /// How long a repeatable call waits for an answer before it is sent on a new
    /// connection.
    pub progress_limit: TimeSpan,
    /// Identifies the call's content, for its claim and for quarantine.
    pub fingerprint: RequestFingerprint,
    /// The service that was called.
    pub service: ServiceName,
    /// Whether the call is interactive or deferrable.
    pub priority: WorkPriority,
    /// Whether the call may run on capacity that the platform can reclaim.
    pub preemptible: bool,
    /// The limits of the organisation.
    pub limits: OrganisationLimits,
    /// The call to send to the endpoint.
    pub call: PlainCall,
}

/// The answer to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallAnswer {
    /// The service's answer.
    pub answer: PlainAnswer,
    /// Whether it is the recorded answer of an earlier request with the same
    /// idempotency key.
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
    /// Creates a run of `work`.
    pub fn new(context: Arc<EntryContext>, work: PlainWork, attempts: RequestAttempts) -> PlainRun {
        let key = work.call.idempotency_key.as_ref();
        let key = key.filter(|_| work.kind == WorkKind::AtMostOnce);
        let claim = key.map(|key| new_claim(&context, &work, &attempts, key));
        PlainRun {
            context,
            work,
            attempts: Mutex::new(attempts),
            claim,
            claimed: AtomicBool::new(false),
        }
    }

    /// Runs the call in a task of its own and returns the answer to its caller. The task
    /// may outlast this future.
    pub async fn answer(
        self,
        ticket: KeyTicket,
        in_flight: InFlightTicket,
    ) -> Result<CallAnswer, Refusal> {
        let (reply, answer) = oneshot::channel();
        let run_lost = self.refusal(
            RefusalCode::Internal,
            "internal error: the call ended without an answer",
        );
        let run_lost = run_lost.with_outcome_unknown();
        let context = self.context.clone();
        context.work.spawn(self.run(ticket, in_flight, reply));
        answer.await.unwrap_or(Err(run_lost))
    }

    async fn run(
        self,
        ticket: KeyTicket,
        in_flight: InFlightTicket,
        reply: oneshot::Sender<Result<CallAnswer, Refusal>>,
    ) {
        let left = self.work.deadline.since(self.context.now());
        let mut work = Box::pin(self.run_call());
        let interruption = tokio::select! {
            biased;
            () = ticket.withdrawn().cancelled() => (RefusalCode::KeyWithdrawn, "the API key was withdrawn"),
            () = tokio::time::sleep(left.as_duration()) => {
                (RefusalCode::DeadlineExceeded, "the answer did not arrive before the deadline")
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
        // A call that has not been sent is dropped here, before it can be sent, so the
        // refusal sent to the caller stays true. A call that was sent may still be settled.
        if ran == RunOutcome::Unknown && self.claim.is_some() {
            let late = tokio::time::timeout(LATE_ANSWER_TIMEOUT.as_duration(), &mut work).await;
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

    fn with_attempts<Change, Answer>(&self, change: Change) -> Answer
    where
        Change: FnOnce(&mut RequestAttempts) -> Answer,
    {
        change(&mut self.attempts.lock().expect("no holder panics"))
    }

    async fn run_call(&self) -> Result<CallAnswer, Refusal> {
        if self.work.kind == WorkKind::AtMostOnce {
            self.check_freshness()?;
        }
        self.check_quarantine()?;
        let attempts = self.with_attempts(|attempts| attempts.clone());
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
        let answer = self.run_attempts().await?;
        Ok(CallAnswer {
            answer,
            replayed: false,
        })
    }

    /// Refuses work that must run at most once if this instance has had no update from
    /// the log for too long: it may be partitioned, and would miss withdrawals of keys.
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
        let message = format!("this instance has had no update from the log for more than {bound}");
        Err(self.refusal(RefusalCode::ConfigurationStale, message))
    }

    fn check_quarantine(&self) -> Result<(), Refusal> {
        if self.context.crash_status(&self.work.fingerprint) != CrashStatus::Quarantined {
            return Ok(());
        }
        let message = "the request crashed endpoints and is not run again";
        Err(self.refusal(RefusalCode::RequestQuarantined, message))
    }

    fn admission(&self) -> AdmissionRequest {
        AdmissionRequest {
            request: self.with_attempts(|attempts| attempts.request().clone()),
            organisation: self.work.organisation.clone(),
            pool: RoutePool::Plain(self.work.service.clone()),
            priority: self.work.priority,
            rank: 0,
            has_returned: false,
            deadline: self.work.deadline,
            prompt_tokens: TokenCount::new(1),
            max_output: TokenCount::ZERO,
        }
    }

    async fn run_attempts(&self) -> Result<PlainAnswer, Refusal> {
        let mut tried = TriedEndpoints::default();
        self.context.traffic.note_request(&self.work.organisation);
        loop {
            let routed = self.choose(&tried)?;
            let endpoint = routed.chosen.endpoint.clone();
            match self.attempt(routed).await? {
                CallOutcome::Answered(answer) => {
                    self.with_attempts(RequestAttempts::end);
                    let ended = &self.context.metrics.ended;
                    ended.with_label_values(&["whole"]).inc();
                    return Ok(answer);
                }
                CallOutcome::LostButHealthy => tried.lost_but_healthy.push(endpoint),
                CallOutcome::Failed => tried.failed.push(endpoint),
            }
            self.check_quarantine()?;
            self.pause_before_retry().await?;
        }
    }

    async fn pause_before_retry(&self) -> Result<(), Refusal> {
        let failed = self.with_attempts(|attempts| attempts.attempt());
        match self
            .context
            .traffic
            .try_retry(&self.work.organisation, failed)
        {
            RetryDecision::Retry { after, .. } => {
                tokio::time::sleep(after.as_duration()).await;
                Ok(())
            }
            RetryDecision::GiveUp { reason } => {
                let code = match self.with_attempts(|attempts| attempts.outcome()) {
                    RunOutcome::NotRun(_) => RefusalCode::NoEndpoint,
                    RunOutcome::Unknown => RefusalCode::EndpointLost,
                };
                Err(self.refusal(code, reason))
            }
        }
    }
}
