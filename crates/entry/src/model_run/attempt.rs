//! One attempt of a model request, and how to go on after it was lost.

use bluebell_core::{attempts::SendPermit, routing::RouteOutcome};
use bluebell_endpoint::{EndpointError, api::GenerateRequest, client::ProbeResult};

use super::{AttemptEnd, AttemptLoss, ModelRun};
use crate::{
    context::RoutedAttempt,
    refusal::{Refusal, RefusalCode},
};

impl ModelRun {
    pub(super) async fn attempt(&mut self, routed: RoutedAttempt) -> Result<AttemptEnd, Refusal> {
        let chosen = routed.chosen;
        if self.context.is_leaving(&chosen.endpoint) {
            // A mark came while the prompt was handed over.
            return Ok(AttemptEnd::ChooseAgain);
        }
        self.route = Some(routed.ticket);
        let permit = self
            .attempts
            .permit_send(&chosen.endpoint)
            .map_err(|error| self.refusal(RefusalCode::Internal, error.to_string()))?;
        self.context.metrics.attempts.inc();
        self.tries += 1;
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
        self.attempts.answer_started();
        match self.read(items).await? {
            Ok(end) => {
                self.route_ended(RouteOutcome::Answered);
                self.clear_suspicion().await;
                Ok(AttemptEnd::Whole(end))
            }
            Err(loss) => self.after_loss(loss).await,
        }
    }

    pub(super) fn route_ended(&mut self, outcome: RouteOutcome) {
        if let Some(ticket) = self.route.take() {
            ticket.set_outcome(outcome);
        }
    }

    pub(super) async fn clear_suspicion(&mut self) {
        let (Some(_), Some(chosen)) = (self.trial.take(), &self.chosen) else {
            return;
        };
        let cleared = self
            .context
            .note_cleared(&self.work.fingerprint, &chosen.endpoint);
        cleared.await;
    }

    pub(super) fn generate_request(&self, permit: &SendPermit) -> GenerateRequest {
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

    pub(super) fn try_elsewhere(&mut self, decision: &str, reason: &str) -> AttemptEnd {
        if let Some(chosen) = self.chosen.take() {
            let subjects = [self.attempts.request().as_str(), chosen.endpoint.as_str()];
            self.context.record_decision(&subjects, decision, reason);
            self.avoided.insert(chosen.endpoint.clone());
        }
        AttemptEnd::GoOn
    }

    /// Decides how to go on after an attempt was lost. A silent connection is
    /// told from a dead endpoint by a probe on a new one: if that works, only
    /// the old connections are given up, and the endpoint may be used again.
    pub(super) async fn after_loss(&mut self, loss: AttemptLoss) -> Result<AttemptEnd, Refusal> {
        if matches!(loss, AttemptLoss::Silent(_)) {
            // A deadline that passed says nothing against the endpoint, which
            // still hears the cancel when the run ends.
            self.check_deadline()?;
        }
        let Some(chosen) = self.chosen.take() else {
            return Ok(AttemptEnd::GoOn);
        };
        self.attempts.connection_lost();
        self.route_ended(RouteOutcome::Failed);
        let reason = match &loss {
            AttemptLoss::Broken(message) => message.clone(),
            AttemptLoss::Silent(limit) => format!("nothing came for {limit}"),
        };
        let probe = chosen.client.probe().await;
        let subjects = [self.attempts.request().as_str(), chosen.endpoint.as_str()];
        let reason = format!("{reason}; probe on a new connection: {probe:?}");
        self.context
            .record_decision(&subjects, "attempt lost", reason);
        chosen.client.discard_connections();
        if self.context.has_crashed(&chosen, probe).await {
            let noted = self.context.note_crash(&self.work.fingerprint, &chosen);
            noted.await;
        }
        match probe {
            // The engine may still be at work for the old connection; it must
            // hear the cancel before it hears of the next attempt.
            ProbeResult::Healthy => {
                drop(chosen.client.cancel(self.attempts.request()).await);
                self.lossy.insert(chosen.endpoint.clone());
            }
            ProbeResult::ConnectionRefused | ProbeResult::Unreachable => {
                self.avoided.insert(chosen.endpoint.clone());
            }
        }
        Ok(AttemptEnd::GoOn)
    }
}
