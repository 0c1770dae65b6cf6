//! One model request, from its first attempt to its end.
//!
//! The run is a task of its own, because Rocket does not drop a handler whose
//! caller has gone. It puts the answer together from numbered tokens, goes on
//! elsewhere with what was delivered when an endpoint is lost, and tells the
//! engine when nobody waits any more.

use std::{collections::BTreeSet, sync::Arc};

use bluebell_core::{
    admission::{AdmissionRequest, OrganisationLimits},
    attempts::{
        RequestAttempts, RunOutcome, SendPermit,
        answer::{AnswerAssembly, EndVerdict, TokenVerdict},
    },
    clock::{ClockTime, TimeSpan},
    config::WorkPriority,
    ids::{EndpointId, ModelName, OrganisationId, RequestFingerprint, ServiceName},
    quarantine::{CrashStanding, TrialChoice},
    retries::RetryAnswer,
    routing::{RouteOutcome, RoutePool, RouteRequest, prefix_digest},
    units::TokenCount,
};
use bluebell_endpoint::{
    EndpointError,
    api::{FinishReason, GenerateRequest, KvHandle, StreamItem},
    client::{ItemStream, ProbeResult},
};
use futures::StreamExt as _;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::{
    context::{EntryContext, InFlightTicket, RoutedAttempt},
    crash::TrialTicket,
    directory::ChosenEndpoint,
    refusal::{Refusal, RefusalCode},
    running::RunningTicket,
    traffic::RouteTicket,
};

/// How many bytes of a prompt make a token, on average.
const BYTES_PER_TOKEN: u64 = 4;

/// How long an answer that has begun waits to go on as a suspect.
const TRIAL_PATIENCE: TimeSpan = TimeSpan::from_secs(30);

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
    route: Option<RouteTicket>,
    trial: Option<TrialTicket>,
    avoided: BTreeSet<EndpointId>,
    import: Option<KvHandle>,
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
            route: None,
            trial: None,
            avoided: BTreeSet::new(),
            import: None,
            started,
        }
    }

    /// Runs to the end, or until the caller is `gone` or its key is withdrawn.
    pub async fn run(
        mut self,
        gone: CancellationToken,
        ticket: RunningTicket,
        in_flight: InFlightTicket,
    ) {
        let end = tokio::select! {
            biased;
            () = gone.cancelled() => None,
            () = ticket.lost().cancelled() => {
                let message = "the key was withdrawn";
                Some(Err(self.refusal(RefusalCode::KeyWithdrawn, message)))
            }
            end = self.drive() => Some(end),
        };
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
                self.context.refused(&refusal);
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
        self.context.decided(&[request], "cancelled", reason);
    }

    /// Tells the engine of the attempt under way, if there is one, that nobody
    /// waits. Without this it would go on to the answer's end for nobody.
    async fn abandon(&mut self) {
        let Some(chosen) = self.chosen.take() else {
            return;
        };
        if !self.answer.is_whole() {
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
        let mut ticket = started.await?;
        let organisation = self.work.organisation.clone();
        self.context.traffic.note_request(&organisation);
        loop {
            let routed = self.choose().await?;
            self.prefill(routed.prefill.as_ref()).await?;
            let end = self.attempt(routed).await;
            ticket.note_delivered(self.answer.tokens().len() as u64);
            match end? {
                AttemptEnd::Whole(end) => return Ok(end),
                AttemptEnd::GoOn => self.pause_before_retry().await?,
            }
        }
    }

    async fn pause_before_retry(&mut self) -> Result<(), Refusal> {
        self.trial = None;
        let failed = self.attempts.attempt();
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
                let code = match self.attempts.outcome() {
                    RunOutcome::NotRun(_) => RefusalCode::NoEndpoint,
                    RunOutcome::Unknown => RefusalCode::EndpointLost,
                };
                Err(self.refusal(code, reason))
            }
        }
    }

    async fn choose(&mut self) -> Result<RoutedAttempt, Refusal> {
        self.check_deadline()?;
        let excluded = match self.context.standing(&self.work.fingerprint) {
            CrashStanding::Clean => self.avoided.iter().cloned().collect(),
            CrashStanding::Suspect => self.wait_for_trial().await?,
            CrashStanding::Quarantined => {
                let message = "the request crashed endpoints and is not run again";
                return Err(self.refusal(RefusalCode::RequestQuarantined, message));
            }
        };
        let ask = RouteRequest {
            request: self.attempts.request().clone(),
            pool: self.work.pool(),
            prefix: Some(prefix_digest(&self.work.prompt)),
            prompt_tokens: self.work.prompt_tokens(),
            priority: self.work.priority,
            repeatable: true,
            preemptible: self.work.preemptible,
            excluded,
        };
        let routed = self.context.route(&ask);
        routed.map_err(|error| self.refusal(RefusalCode::NoEndpoint, error.to_string()))
    }

    /// Waits until the suspect may run alone among suspects, and begins its trial;
    /// answers the endpoints that it may not run on.
    async fn wait_for_trial(&mut self) -> Result<Vec<EndpointId>, Refusal> {
        let context = self.context.clone();
        let pool = self.work.pool();
        let fingerprint = self.work.fingerprint.clone();
        let watch = context.crashes.clone();
        let avoided = self.avoided.clone();
        let found = watch.wait_for(|| {
            let mut usable = context.open_endpoints(&pool);
            usable.retain(|endpoint| !avoided.contains(endpoint));
            if usable.is_empty() {
                return Some(None);
            }
            match context.trial_choice(&fingerprint, &usable) {
                TrialChoice::Among(free) => {
                    let endpoint = free.into_iter().next()?;
                    let ticket = watch.begin(&fingerprint, &endpoint);
                    Some(Some((endpoint, ticket)))
                }
                TrialChoice::Wait => None,
            }
        });
        let left = self.work.deadline.since(context.now());
        let patience = match self.answer.tokens().is_empty() {
            true => left,
            false => TRIAL_PATIENCE,
        };
        let found = tokio::time::timeout(patience.as_duration(), found).await;
        let found = found.map_err(|_| {
            let message = "it may have crashed an endpoint, and no other was free to try it alone";
            self.refusal(RefusalCode::SuspectWaiting, message)
        })?;
        let Some((endpoint, ticket)) = found else {
            let message = format!("no endpoint of `{}` takes work now", self.work.service);
            return Err(self.refusal(RefusalCode::NoEndpoint, message));
        };
        self.trial = Some(ticket);
        let all = context.open_endpoints(&pool);
        Ok(all.into_iter().filter(|other| *other != endpoint).collect())
    }

    fn check_deadline(&self) -> Result<(), Refusal> {
        if self.answer.tokens().is_empty() && self.context.now() >= self.work.deadline {
            let message = "no token was there before the deadline";
            return Err(self.refusal(RefusalCode::DeadlineExceeded, message));
        }
        Ok(())
    }

    /// How long nothing may come. Before the first token an engine may be busy
    /// with long prompts, so half of what is left until the deadline is allowed.
    fn silence_limit(&self) -> TimeSpan {
        if !self.answer.tokens().is_empty() {
            return self.work.progress_limit;
        }
        let left = self.work.deadline.since(self.context.now());
        let half = TimeSpan::from_millis(left.as_millis() / 2);
        half.max(self.work.progress_limit).min(left)
    }

    /// Has `prefill` take the prompt and hands its KV cache over, if the router
    /// chose one. If that fails the answering engine does without.
    async fn prefill(&mut self, prefill: Option<&EndpointId>) -> Result<(), Refusal> {
        self.import = None;
        let chosen = prefill.and_then(|prefill| self.context.directory.choose(prefill));
        let Some(chosen) = chosen else { return Ok(()) };
        let permit = self.attempts.send(&chosen.endpoint);
        let permit =
            permit.map_err(|error| self.refusal(RefusalCode::Internal, error.to_string()))?;
        let mut work = self.generate_request(&permit);
        work.prefill_only = true;
        let client = chosen.client.clone();
        let subjects = [permit.request().to_string(), chosen.endpoint.to_string()];
        self.chosen = Some(chosen);
        let handover = async {
            let mut items = client.generate(&permit, &work).await?;
            while let Some(item) = items.next().await {
                if matches!(item?, StreamItem::End { .. }) {
                    return client.export(permit.request()).await;
                }
            }
            Err(EndpointError::Lost(
                "the prefill ended without an end mark".to_string(),
            ))
        };
        let limit = self.silence_limit().as_duration();
        let handle = tokio::time::timeout(limit, handover).await;
        self.attempts.lost();
        self.chosen = None;
        let subjects = [subjects[0].as_str(), subjects[1].as_str()];
        match handle {
            Ok(Ok(handle)) => self.import = Some(handle),
            Ok(Err(error)) => self
                .context
                .decided(&subjects, "prefill failed", error.to_string()),
            Err(_) => self
                .context
                .decided(&subjects, "prefill failed", "nothing came in time"),
        }
        Ok(())
    }

    async fn attempt(&mut self, routed: RoutedAttempt) -> Result<AttemptEnd, Refusal> {
        let chosen = routed.chosen;
        self.route = Some(routed.ticket);
        let permit = self
            .attempts
            .send(&chosen.endpoint)
            .map_err(|error| self.refusal(RefusalCode::Internal, error.to_string()))?;
        self.context.metrics.attempts.inc();
        self.answer.begin_attempt(permit.attempt());
        let work = self.generate_request(&permit);
        let client = chosen.client.clone();
        self.chosen = Some(chosen);
        let limit = self.silence_limit();
        let opened = client.generate(&permit, &work);
        let opened = tokio::time::timeout(limit.as_duration(), opened).await;
        let items = match opened {
            Ok(Ok(items)) => items,
            Ok(Err(EndpointError::NotSent(message))) => {
                self.attempts.not_sent(permit);
                self.route_ended(RouteOutcome::Failed);
                return Ok(self.try_elsewhere("failed to connect", &message));
            }
            Ok(Err(EndpointError::Refused { status, message })) => {
                self.attempts.refused_before_running(permit);
                self.route_ended(RouteOutcome::Refused);
                let message = format!("status {status}: {message}");
                return Ok(self.try_elsewhere("refused before running", &message));
            }
            Ok(Err(EndpointError::Lost(message))) => {
                return self.after_loss(AttemptLoss::Broken(message)).await;
            }
            Err(_) => return self.after_loss(AttemptLoss::Silent(limit)).await,
        };
        self.attempts.answering();
        match self.read(items).await? {
            Ok(end) => {
                self.route_ended(RouteOutcome::Answered);
                self.clear_suspicion().await;
                Ok(AttemptEnd::Whole(end))
            }
            Err(loss) => self.after_loss(loss).await,
        }
    }

    fn route_ended(&mut self, outcome: RouteOutcome) {
        if let Some(ticket) = self.route.take() {
            ticket.ended(outcome);
        }
    }

    async fn clear_suspicion(&mut self) {
        let (Some(_), Some(chosen)) = (self.trial.take(), &self.chosen) else {
            return;
        };
        let cleared = self
            .context
            .note_cleared(&self.work.fingerprint, &chosen.endpoint);
        cleared.await;
    }

    fn generate_request(&self, permit: &SendPermit) -> GenerateRequest {
        GenerateRequest {
            request: permit.request().clone(),
            attempt: permit.attempt(),
            model: self.work.model.clone(),
            prompt: self.work.prompt.clone(),
            delivered: self.answer.tokens().to_vec(),
            max_tokens: self.work.max_tokens,
            priority: self.work.priority,
            prefill_only: false,
            import: self.import.clone(),
        }
    }

    async fn read(
        &mut self,
        mut items: ItemStream,
    ) -> Result<Result<AnswerEnd, AttemptLoss>, Refusal> {
        loop {
            let limit = self.silence_limit();
            let item = tokio::time::timeout(limit.as_duration(), items.next()).await;
            let item = match item {
                Err(_) => return Ok(Err(AttemptLoss::Silent(limit))),
                Ok(None) => return Ok(Err(broken("the answer ended without an end mark"))),
                Ok(Some(Err(error))) => return Ok(Err(broken(&error.to_string()))),
                Ok(Some(Ok(item))) => item,
            };
            match self.take(item).await {
                Ok(None) => {}
                Ok(Some(end)) => return Ok(Ok(end)),
                Err(loss) => return Ok(Err(loss)),
            }
        }
    }

    async fn take(&mut self, item: StreamItem) -> Result<Option<AnswerEnd>, AttemptLoss> {
        match item {
            StreamItem::Token {
                request,
                attempt,
                position,
                text,
            } => {
                let verdict = self.answer.token(&request, attempt, position, &text);
                match verdict {
                    TokenVerdict::Next => self.pass_on(text).await,
                    TokenVerdict::Dropped => self.context.metrics.dropped_items.inc(),
                    TokenVerdict::Gap => return Err(broken("tokens are missing")),
                }
                Ok(None)
            }
            StreamItem::End {
                request,
                attempt,
                length,
                finish,
                prompt_tokens,
                cached_tokens,
            } => {
                if finish == FinishReason::Cancelled {
                    return Err(broken("the engine cancelled the answer"));
                }
                match self.answer.end(&request, attempt, length) {
                    EndVerdict::Whole => Ok(Some(AnswerEnd {
                        finish,
                        prompt_tokens,
                        cached_tokens,
                    })),
                    EndVerdict::Dropped => {
                        self.context.metrics.dropped_items.inc();
                        Ok(None)
                    }
                    EndVerdict::WrongLength => Err(broken("the end mark has another length")),
                }
            }
        }
    }

    async fn pass_on(&mut self, text: String) {
        if self.answer.tokens().len() == 1 {
            let waited = self.context.now().since(self.started);
            let seconds = waited.as_duration().as_secs_f64();
            self.context.metrics.first_token.observe(seconds);
            if let Some(ticket) = &self.route {
                ticket.first_token();
            }
        }
        let _ = self.events.send(AnswerEvent::Token(text)).await;
    }

    fn try_elsewhere(&mut self, decision: &str, reason: &str) -> AttemptEnd {
        if let Some(chosen) = self.chosen.take() {
            let subjects = [self.attempts.request().as_str(), chosen.endpoint.as_str()];
            self.context.decided(&subjects, decision, reason);
            self.avoided.insert(chosen.endpoint.clone());
        }
        AttemptEnd::GoOn
    }

    /// Decides how to go on after an attempt was lost. A silent connection is
    /// told from a dead endpoint by a probe on a new one: if that works, only
    /// the old connections are given up, and the endpoint may be used again.
    async fn after_loss(&mut self, loss: AttemptLoss) -> Result<AttemptEnd, Refusal> {
        let Some(chosen) = self.chosen.take() else {
            return Ok(AttemptEnd::GoOn);
        };
        self.attempts.lost();
        self.route_ended(RouteOutcome::Failed);
        let reason = match &loss {
            AttemptLoss::Broken(message) => message.clone(),
            AttemptLoss::Silent(limit) => format!("nothing came for {limit}"),
        };
        let probe = chosen.client.probe().await;
        let subjects = [self.attempts.request().as_str(), chosen.endpoint.as_str()];
        let reason = format!("{reason}; probe on a new connection: {probe:?}");
        self.context.decided(&subjects, "attempt lost", reason);
        chosen.client.discard_connections();
        if self.context.has_crashed(&chosen, probe).await {
            let noted = self.context.note_crash(&self.work.fingerprint, &chosen);
            noted.await;
        }
        match probe {
            // The engine may still be at work for the old connection; it must
            // hear the cancel before it hears of the next attempt.
            ProbeResult::Healthy => drop(chosen.client.cancel(self.attempts.request()).await),
            ProbeResult::ConnectionRefused | ProbeResult::Unreachable => {
                self.avoided.insert(chosen.endpoint.clone());
            }
        }
        Ok(AttemptEnd::GoOn)
    }
}

fn broken(message: &str) -> AttemptLoss {
    AttemptLoss::Broken(message.to_string())
}
