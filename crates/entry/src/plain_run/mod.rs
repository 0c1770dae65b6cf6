//! One call of a plain service, from its claim to its settlement.
//!
//! The run is a task of its own: a call that must run at most once and was sent
//! goes on when its caller's deadline passes, so that the outcome can still be
//! recorded for a repeat with the same idempotency key.

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
    attempt::{CallEnd, TriedEndpoints},
    claim::claim_of,
};
use crate::{
    active_keys::KeyTicket,
    context::{EntryContext, InFlightTicket},
    refusal::{Refusal, RefusalCode},
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
    /// How long a call that may be repeated waits for an answer before it is sent
    /// on a new connection.
    pub progress_limit: TimeSpan,
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
        ticket: KeyTicket,
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
        ticket: KeyTicket,
        in_flight: InFlightTicket,
        reply: oneshot::Sender<Result<CallAnswer, Refusal>>,
    ) {
        let left = self.work.deadline.since(self.context.now());
        let mut work = Box::pin(self.work());
        let interruption = tokio::select! {
            biased;
            () = ticket.withdrawn().cancelled() => (RefusalCode::KeyWithdrawn, "the key was withdrawn"),
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

    fn check_quarantine(&self) -> Result<(), Refusal> {
        if self.context.crash_status(&self.work.fingerprint) != CrashStatus::Quarantined {
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
        let mut tried = TriedEndpoints::default();
        self.context.traffic.note_request(&self.work.organisation);
        loop {
            let routed = self.choose(&tried)?;
            let endpoint = routed.chosen.endpoint.clone();
            match self.attempt(routed).await? {
                CallEnd::Answered(answer) => {
                    self.change(RequestAttempts::end);
                    let ended = &self.context.metrics.ended;
                    ended.with_label_values(&["whole"]).inc();
                    return Ok(answer);
                }
                CallEnd::LostButHealthy => tried.lossy.push(endpoint),
                CallEnd::Failed => tried.failed.push(endpoint),
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
            RetryDecision::Retry { after, .. } => {
                tokio::time::sleep(after.as_duration()).await;
                Ok(())
            }
            RetryDecision::GiveUp { reason } => {
                let code = match self.change(|attempts| attempts.outcome()) {
                    RunOutcome::NotRun(_) => RefusalCode::NoEndpoint,
                    RunOutcome::Unknown => RefusalCode::EndpointLost,
                };
                Err(self.refusal(code, reason))
            }
        }
    }
}
