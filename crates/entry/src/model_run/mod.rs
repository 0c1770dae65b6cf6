//! Runs one model request, from its admission to its end.
//!
//! The run is a separate task, because Rocket does not drop a handler whose caller has
//! disconnected. It assembles the answer from numbered tokens, resumes on another
//! endpoint from the delivered tokens when an endpoint is lost, and cancels the request
//! at the engine when the caller no longer waits.

mod attempt;
mod choice;
mod items;

use std::{collections::BTreeSet, sync::Arc};

use bluebell_core::{
    admission::{AdmissionRequest, OrganisationLimits},
    attempts::{RequestAttempts, RunOutcome, answer::AnswerAssembly},
    clock::{ClockTime, TimeSpan},
    config::WorkPriority,
    ids::{EndpointId, ModelName, OrganisationId, RequestFingerprint, ServiceName},
    retries::RetryDecision,
    routing::RoutePool,
    units::TokenCount,
};
use bluebell_endpoint::api::{FinishReason, KvHandle};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::{
    active_keys::KeyTicket,
    context::{EntryContext, InFlightTicket},
    crash::TrialTicket,
    directory::ChosenEndpoint,
    refusal::{Refusal, RefusalCode},
    traffic::{RouteTicket, WorkTicket},
};

/// Average length of a token of a prompt, in bytes.
const BYTES_PER_TOKEN: u64 = 4;

/// The parameters of a model request.
#[derive(Clone, Debug)]
pub struct ModelWork {
    /// The organisation that sent the request.
    pub organisation: OrganisationId,
    /// The model to run.
    pub model: ModelName,
    /// The prompt.
    pub prompt: String,
    /// Maximum number of output tokens.
    pub max_tokens: TokenCount,
    /// Whether the request is interactive or deferrable.
    pub priority: WorkPriority,
    /// Time by which the first token must arrive.
    pub deadline: ClockTime,
    /// Maximum time between two tokens.
    pub progress_limit: TimeSpan,
    /// Identifies repeats of the request, to find requests that crash endpoints.
    pub fingerprint: RequestFingerprint,
    /// The service that was called.
    pub service: ServiceName,
    /// Whether the request may run on capacity that the platform can reclaim.
    pub preemptible: bool,
    /// The limits of the organisation.
    pub limits: OrganisationLimits,
}

impl ModelWork {
    /// Estimates the length of the prompt in tokens; engines count it exactly.
    fn prompt_tokens(&self) -> TokenCount {
        TokenCount::new(self.prompt.len() as u64 / BYTES_PER_TOKEN + 1)
    }

    fn pool(&self) -> RoutePool {
        RoutePool::Model(self.model.clone())
    }
}

/// The end of a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerEnd {
    /// Why the engine ended the answer.
    pub finish: FinishReason,
    /// Number of tokens in the prompt.
    pub prompt_tokens: TokenCount,
    /// Number of tokens of the prompt that the engine had cached.
    pub cached_tokens: TokenCount,
}

/// An event of the run, sent to the response body.
#[derive(Clone, Debug)]
pub enum AnswerEvent {
    /// The next token.
    Token(String),
    /// The answer is complete.
    End(AnswerEnd),
    /// The answer failed and stays incomplete.
    Failed(Refusal),
}

/// The outcome of one attempt.
enum AttemptOutcome {
    Complete(AnswerEnd),
    /// Another attempt follows if the retry limits allow it.
    Retry,
    /// The attempt was not sent, because its endpoint is draining; a new one is chosen.
    Reroute,
}

/// Why an attempt did not complete the answer.
enum AttemptLoss {
    /// The connection or the answer was lost.
    Broken(String),
    /// No item arrived within this time.
    TimedOut(TimeSpan),
}

/// One model request in progress.
pub struct ModelRun {
    context: Arc<EntryContext>,
    work: ModelWork,
    attempts: RequestAttempts,
    answer: AnswerAssembly,
    events: mpsc::Sender<AnswerEvent>,
    chosen: Option<ChosenEndpoint>,
    work_ticket: Option<WorkTicket>,
    route_ticket: Option<RouteTicket>,
    trial_ticket: Option<TrialTicket>,
    /// Endpoints that refused an attempt or could not be reached.
    failed: BTreeSet<EndpointId>,
    /// Endpoints that lost an attempt but answer on new connections.
    lost_but_healthy: BTreeSet<EndpointId>,
    kv_import: Option<KvHandle>,
    /// Number of attempts so far, without prefills on another engine.
    attempt_count: u32,
    started: ClockTime,
}

impl ModelRun {
    /// Creates a run that sends its events to `events`.
    pub fn new(
        context: Arc<EntryContext>,
        work: ModelWork,
        attempts: RequestAttempts,
        events: mpsc::Sender<AnswerEvent>,
    ) -> ModelRun {
        let answer = AnswerAssembly::new(attempts.request().clone());
        let started = context.now();
        ModelRun {
            context,
            work,
            attempts,
            answer,
            events,
            chosen: None,
            work_ticket: None,
            route_ticket: None,
            trial_ticket: None,
            failed: BTreeSet::new(),
            lost_but_healthy: BTreeSet::new(),
            kv_import: None,
            attempt_count: 0,
            started,
        }
    }

    /// Runs until the answer ends, `caller_left` is cancelled or the caller's key is
    /// withdrawn.
    pub async fn run(
        mut self,
        caller_left: CancellationToken,
        ticket: KeyTicket,
        in_flight: InFlightTicket,
    ) {
        let end = tokio::select! {
            biased;
            () = caller_left.cancelled() => None,
            () = ticket.withdrawn().cancelled() => {
                let message = "the API key was withdrawn";
                Some(Err(self.refusal(RefusalCode::KeyWithdrawn, message)))
            }
            end = self.run_attempts() => Some(end),
        };
        if let Some(mut ticket) = self.work_ticket.take() {
            ticket.note_delivered(self.answer.tokens().len() as u64);
        }
        match end {
            None => self.note_cancelled(),
            Some(Ok(end)) => {
                self.attempts.end();
                self.context
                    .metrics
                    .ended
                    .with_label_values(&["whole"])
                    .inc();
                let _ = self.events.send(AnswerEvent::End(end)).await;
            }
            Some(Err(refusal)) => {
                self.context.note_refusal(&refusal);
                let _ = self.events.send(AnswerEvent::Failed(refusal)).await;
            }
        }
        self.cancel_at_engine().await;
        drop(in_flight);
    }

    fn note_cancelled(&self) {
        self.context
            .metrics
            .ended
            .with_label_values(&["cancelled"])
            .inc();
        let request = self.attempts.request().as_str();
        let reason = format!(
            "the caller disconnected after {} tokens",
            self.answer.tokens().len()
        );
        self.context
            .record_decision(&[request], "cancelled", reason);
    }

    /// Cancels the attempt in progress, if any, at its engine. Otherwise the engine
    /// would generate the rest of an answer that no caller receives.
    async fn cancel_at_engine(&mut self) {
        let Some(chosen) = self.chosen.take() else {
            return;
        };
        if !self.answer.is_complete() {
            let _ = chosen.client.cancel(self.attempts.request()).await;
        }
    }

    fn refusal<Message>(&self, code: RefusalCode, message: Message) -> Refusal
    where
        Message: Into<String>,
    {
        Refusal::new(code, message, &self.attempts)
    }

    async fn run_attempts(&mut self) -> Result<AnswerEnd, Refusal> {
        let admission = AdmissionRequest {
            request: self.attempts.request().clone(),
            organisation: self.work.organisation.clone(),
            pool: self.work.pool(),
            priority: self.work.priority,
            rank: 0,
            has_returned: false,
            deadline: self.work.deadline,
            prompt_tokens: self.work.prompt_tokens(),
            max_output: self.work.max_tokens,
        };
        let started = self
            .context
            .start_work(admission, self.work.limits, &self.attempts);
        self.work_ticket = Some(started.await?);
        let organisation = self.work.organisation.clone();
        self.context.traffic.note_request(&organisation);
        loop {
            let routed = self.choose().await?;
            self.prefill(routed.prefill.as_ref()).await?;
            match self.attempt(routed).await? {
                AttemptOutcome::Complete(end) => return Ok(end),
                AttemptOutcome::Retry => self.pause_before_retry().await?,
                AttemptOutcome::Reroute => self.trial_ticket = None,
            }
        }
    }

    async fn pause_before_retry(&mut self) -> Result<(), Refusal> {
        self.trial_ticket = None;
        match self
            .context
            .traffic
            .try_retry(&self.work.organisation, self.attempt_count)
        {
            RetryDecision::Retry { after, .. } => {
                tokio::time::sleep(after.as_duration()).await;
                Ok(())
            }
            RetryDecision::GiveUp { reason } => {
                let code = match self.attempts.outcome() {
                    RunOutcome::NotRun(_) => RefusalCode::NoEndpoint,
                    RunOutcome::Unknown => RefusalCode::EndpointLost,
                };
                Err(self.refusal(code, reason))
            }
        }
    }
}
