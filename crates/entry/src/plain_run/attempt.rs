//! One attempt of a plain call: chooses its endpoint and handles its loss.

use bluebell_core::{
    attempts::{AttemptPhase, RequestAttempts, SendPermit, WorkKind},
    ids::EndpointId,
    routing::{RouteOutcome, RoutePool, RouteRequest},
    units::TokenCount,
};
use bluebell_endpoint::{
    EndpointError,
    client::{PlainAnswer, ProbeResult},
};

use super::PlainRun;
use crate::{
    context::RoutedAttempt,
    directory::ChosenEndpoint,
    refusal::{Refusal, RefusalCode},
};

/// The outcome of one attempt.
pub(super) enum CallOutcome {
    Answered(PlainAnswer),
    /// The attempt was lost, but the endpoint answers on a new connection.
    LostButHealthy,
    /// The endpoint could not be reached.
    Failed,
}

/// Endpoints on which attempts of this call were lost.
#[derive(Default)]
pub(super) struct TriedEndpoints {
    /// Endpoints that answer on new connections; used again if there is no other.
    pub lost_but_healthy: Vec<EndpointId>,
    /// Endpoints that could not be reached.
    pub failed: Vec<EndpointId>,
}

impl PlainRun {
    pub(super) fn choose(&self, tried: &TriedEndpoints) -> Result<RoutedAttempt, Refusal> {
        let mut route_request = RouteRequest {
            request: self.with_attempts(|attempts| attempts.request().clone()),
            pool: RoutePool::Plain(self.work.service.clone()),
            prefix: None,
            prompt_tokens: TokenCount::ZERO,
            priority: self.work.priority,
            repeatable: self.work.kind == WorkKind::Repeatable,
            preemptible: self.work.preemptible,
            excluded: [tried.failed.as_slice(), &tried.lost_but_healthy].concat(),
        };
        let mut routed = self.context.route(&route_request);
        if routed.is_err() && !tried.lost_but_healthy.is_empty() {
            route_request.excluded.clone_from(&tried.failed);
            routed = self.context.route(&route_request);
        }
        routed.map_err(|error| self.refusal(RefusalCode::NoEndpoint, error.to_string()))
    }

    pub(super) async fn attempt(&self, routed: RoutedAttempt) -> Result<CallOutcome, Refusal> {
        let RoutedAttempt { chosen, ticket, .. } = routed;
        let permit = self
            .with_attempts(|attempts| attempts.permit_send(&chosen.endpoint))
            .map_err(|error| self.refusal(RefusalCode::EndpointLost, error.to_string()))?;
        self.context.metrics.attempts.inc();
        let error = match self.send_call(&chosen, &permit).await {
            Ok(answer) => {
                ticket.set_outcome(RouteOutcome::Answered);
                return Ok(CallOutcome::Answered(answer));
            }
            Err(error) => error,
        };
        ticket.set_outcome(RouteOutcome::Failed);
        let subjects = [permit.request().as_str(), chosen.endpoint.as_str()];
        self.context
            .record_decision(&subjects, "attempt failed", error.to_string());
        if matches!(error, EndpointError::NotSent(_)) {
            self.with_attempts(|attempts| attempts.not_sent(permit));
            return Ok(CallOutcome::Failed);
        }
        self.with_attempts(RequestAttempts::connection_lost);
        let probe = self.handle_loss(&chosen).await;
        if self.with_attempts(|attempts| *attempts.phase() == AttemptPhase::Done) {
            let message =
                format!("the endpoint was lost, and the call must not be repeated: {error}");
            return Err(self.refusal(RefusalCode::EndpointLost, message));
        }
        Ok(match probe {
            ProbeResult::Healthy => CallOutcome::LostButHealthy,
            ProbeResult::ConnectionRefused | ProbeResult::Unreachable => CallOutcome::Failed,
        })
    }

    /// Sends the call. A pooled connection may have become unresponsive, so a repeatable
    /// call waits for its answer only for the progress limit, not until its deadline.
    pub(super) async fn send_call(
        &self,
        chosen: &ChosenEndpoint,
        permit: &SendPermit,
    ) -> Result<PlainAnswer, EndpointError> {
        let max_answer = self.context.settings.requests.max_answer.count() as usize;
        let call = chosen.client.call(permit, &self.work.call, max_answer);
        if self.work.kind == WorkKind::AtMostOnce {
            return call.await;
        }
        let timeout = self.work.progress_limit;
        let timed_out = |_| Err(EndpointError::Lost(format!("no answer within {timeout}")));
        let answer = tokio::time::timeout(timeout.as_duration(), call).await;
        answer.unwrap_or_else(timed_out)
    }

    pub(super) async fn handle_loss(&self, chosen: &ChosenEndpoint) -> ProbeResult {
        chosen.client.discard_connections();
        let probe = chosen.client.probe().await;
        if self.context.has_crashed(chosen, probe).await {
            let noted = self.context.note_crash(&self.work.fingerprint, chosen);
            noted.await;
        }
        probe
    }
}
