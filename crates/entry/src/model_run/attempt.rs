//! Runs one attempt of a model request and decides how to continue after its loss.

use bluebell_core::{attempts::SendPermit, routing::RouteOutcome};
use bluebell_endpoint::{EndpointError, api::GenerateRequest, client::ProbeResult};

use super::{AttemptLoss, AttemptOutcome, ModelRun};
use crate::{
    context::RoutedAttempt,
    refusal::{Refusal, RefusalCode},
};

impl ModelRun {
    pub(super) async fn attempt(
        &mut self,
        routed: RoutedAttempt,
    ) -> Result<AttemptOutcome, Refusal> {
        let chosen = routed.chosen;
        if self.context.is_leaving(&chosen.endpoint) {
            // The endpoint was marked for draining during the prefill handover.
            return Ok(AttemptOutcome::Reroute);
        }
        self.route_ticket = Some(routed.ticket);
        let permit = self
            .attempts
            .permit_send(&chosen.endpoint)
            .map_err(|error| self.refusal(RefusalCode::Internal, error.to_string()))?;
        self.context.metrics.attempts.inc();
        self.attempt_count += 1;
        self.answer.begin_attempt(permit.attempt());
        let work = self.generate_request(&permit);
        let client = chosen.client.clone();
        self.chosen = Some(chosen);
        let timeout = self.progress_timeout();
        let opened = client.generate(&permit, &work);
        let opened = tokio::time::timeout(timeout.as_duration(), opened).await;
        let items = match opened {
            Ok(Ok(items)) => items,
            Ok(Err(EndpointError::NotSent(message))) => {
                self.attempts.not_sent(permit);
                self.end_route(RouteOutcome::Failed);
                return Ok(self.retry_on_another("failed to connect", &message));
            }
            Ok(Err(EndpointError::Refused { status, message })) => {
                self.attempts.refused_before_running(permit);
                self.end_route(RouteOutcome::Refused);
                let message = format!("status {status}: {message}");
                return Ok(self.retry_on_another("refused before running", &message));
            }
            Ok(Err(EndpointError::Lost(message))) => {
                return self.handle_loss(AttemptLoss::Broken(message)).await;
            }
            Err(_) => return self.handle_loss(AttemptLoss::TimedOut(timeout)).await,
        };
        self.attempts.answer_started();
        match self.read_items(items).await? {
            Ok(end) => {
                self.end_route(RouteOutcome::Answered);
                self.clear_suspect().await;
                Ok(AttemptOutcome::Complete(end))
            }
            Err(loss) => self.handle_loss(loss).await,
        }
    }

    pub(super) fn end_route(&mut self, outcome: RouteOutcome) {
        if let Some(ticket) = self.route_ticket.take() {
            ticket.set_outcome(outcome);
        }
    }

    pub(super) async fn clear_suspect(&mut self) {
        let (Some(_), Some(chosen)) = (self.trial_ticket.take(), &self.chosen) else {
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
            import: self.kv_import.clone(),
        }
    }

    pub(super) fn retry_on_another(&mut self, decision: &str, reason: &str) -> AttemptOutcome {
        if let Some(chosen) = self.chosen.take() {
            let subjects = [self.attempts.request().as_str(), chosen.endpoint.as_str()];
            self.context.record_decision(&subjects, decision, reason);
            self.failed.insert(chosen.endpoint.clone());
        }
        AttemptOutcome::Retry
    }

    /// Decides how to continue after an attempt was lost. A probe on a new connection
    /// distinguishes an unresponsive connection from a dead endpoint: if the probe
    /// succeeds, only the old connections are closed and the endpoint may be used again.
    pub(super) async fn handle_loss(
        &mut self,
        loss: AttemptLoss,
    ) -> Result<AttemptOutcome, Refusal> {
        if matches!(loss, AttemptLoss::TimedOut(_)) {
            // A missed deadline is no evidence of a fault of the endpoint, which is
            // still sent the cancellation when the run ends.
            self.check_deadline()?;
        }
        let Some(chosen) = self.chosen.take() else {
            return Ok(AttemptOutcome::Retry);
        };
        self.attempts.connection_lost();
        self.end_route(RouteOutcome::Failed);
        let reason = match &loss {
            AttemptLoss::Broken(message) => message.clone(),
            AttemptLoss::TimedOut(timeout) => format!("no item within {timeout}"),
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
            // The engine may still be generating for the old connection; it must
            // receive the cancellation before the next attempt.
            ProbeResult::Healthy => {
                drop(chosen.client.cancel(self.attempts.request()).await);
                self.lost_but_healthy.insert(chosen.endpoint.clone());
            }
            ProbeResult::ConnectionRefused | ProbeResult::Unreachable => {
                self.failed.insert(chosen.endpoint.clone());
            }
        }
        Ok(AttemptOutcome::Retry)
    }
}
