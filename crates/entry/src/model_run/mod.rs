//! One model request, from its first attempt to its end.
//!
//! The run is a task of its own, because Rocket does not drop a handler whose
//! caller has gone. It puts the answer together from numbered tokens, goes on
//! elsewhere with what was delivered when an endpoint is lost, and tells the
//! engine when nobody waits any more.

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

/// How many bytes of a prompt make a token, on average.
const BYTES_PER_TOKEN: u64 = 4;

/// What a model is asked.
#[derive(Clone, Debug)]
pub struct ModelWork {
    /// Whose request it is.
    pub organisation: OrganisationId,
    /// The model.
    pub model: ModelName,
    /// The prompt.
    pub prompt: String,
    /// The most output tokens.
    pub max_tokens: TokenCount,
    /// Whether a person waits.
    pub priority: WorkPriority,
    /// When the first token must be there.
    pub deadline: ClockTime,
    /// The longest silence between tokens.
    pub progress_limit: TimeSpan,
    /// Tells the request from others after a crash.
    pub fingerprint: RequestFingerprint,
    /// The service.
    pub service: ServiceName,
    /// Whether capacity that can be reclaimed will do.
    pub preemptible: bool,
    /// What the organisation may have.
    pub limits: OrganisationLimits,
}

impl ModelWork {
    /// The prompt's length, estimated; engines count it exactly.
    fn prompt_tokens(&self) -> TokenCount {
        TokenCount::new(self.prompt.len() as u64 / BYTES_PER_TOKEN + 1)
    }

    fn pool(&self) -> RoutePool {
        RoutePool::Model(self.model.clone())
    }
}

/// How a whole answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerEnd {
    /// Why.
    pub finish: FinishReason,
    /// Tokens of the prompt.
    pub prompt_tokens: TokenCount,
    /// Tokens of the prompt that an engine had cached.
    pub cached_tokens: TokenCount,
}

/// What the run tells the answer's body.
#[derive(Clone, Debug)]
pub enum AnswerEvent {
    /// The next token.
    Token(String),
    /// The answer is whole.
    End(AnswerEnd),
    /// The answer won't be whole.
    Failed(Refusal),
}

/// How one attempt ended.
enum AttemptEnd {
    Whole(AnswerEnd),
    GoOn,
    ChooseAgain,
}

/// Why an attempt brought no whole answer.
enum AttemptLoss {
    /// The connection or the answer was lost.
    Broken(String),
    /// Nothing came for longer than the limit.
    Silent(TimeSpan),
}

/// One model request in progress.
pub struct ModelRun {
    context: Arc<EntryContext>,
    work: ModelWork,
    attempts: RequestAttempts,
    answer: AnswerAssembly,
    events: mpsc::Sender<AnswerEvent>,
    chosen: Option<ChosenEndpoint>,
    ticket: Option<WorkTicket>,
    route: Option<RouteTicket>,
    trial: Option<TrialTicket>,
    avoided: BTreeSet<EndpointId>,
    lossy: BTreeSet<EndpointId>,
    import: Option<KvHandle>,
    /// Attempts to answer; handovers of the prompt are not among them.
    tries: u32,
    started: ClockTime,
}

impl ModelRun {
    /// A run that tells `events` what comes.
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
            ticket: None,
            route: None,
            trial: None,
            avoided: BTreeSet::new(),
            lossy: BTreeSet::new(),
            import: None,
            tries: 0,
            started,
        }
    }

    /// Runs to the end, or until the caller is `gone` or its key is withdrawn.
    pub async fn run(
        mut self,
        gone: CancellationToken,
        ticket: KeyTicket,
        in_flight: InFlightTicket,
    ) {
        let end = tokio::select! {
            biased;
            () = gone.cancelled() => None,
            () = ticket.withdrawn().cancelled() => {
                let message = "the key was withdrawn";
                Some(Err(self.refusal(RefusalCode::KeyWithdrawn, message)))
            }
            end = self.drive() => Some(end),
        };
        if let Some(mut ticket) = self.ticket.take() {
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
        self.abandon().await;
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
            "the caller has gone after {} tokens",
            self.answer.tokens().len()
        );
        self.context
            .record_decision(&[request], "cancelled", reason);
    }

    /// Tells the engine of the attempt under way, if there is one, that nobody
    /// waits. Without this it would go on to the answer's end for nobody.
    async fn abandon(&mut self) {
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

    async fn drive(&mut self) -> Result<AnswerEnd, Refusal> {
        let ask = AdmissionRequest {
            request: self.attempts.request().clone(),
            organisation: self.work.organisation.clone(),
            pool: self.work.pool(),
            priority: self.work.priority,
            deadline: self.work.deadline,
            prompt_tokens: self.work.prompt_tokens(),
            max_output: self.work.max_tokens,
        };
        let started = self
            .context
            .start_work(ask, self.work.limits, &self.attempts);
        self.ticket = Some(started.await?);
        let organisation = self.work.organisation.clone();
        self.context.traffic.note_request(&organisation);
        loop {
            let routed = self.choose().await?;
            self.prefill(routed.prefill.as_ref()).await?;
            match self.attempt(routed).await? {
                AttemptEnd::Whole(end) => return Ok(end),
                AttemptEnd::GoOn => self.pause_before_retry().await?,
                AttemptEnd::ChooseAgain => self.trial = None,
            }
        }
    }

    async fn pause_before_retry(&mut self) -> Result<(), Refusal> {
        self.trial = None;
        match self
            .context
            .traffic
            .try_retry(&self.work.organisation, self.tries)
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
