//! One attempt of a plain call: where it goes, and how to go on after it was lost.

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

/// How one attempt ended.
pub(super) enum CallEnd {
    Answered(PlainAnswer),
    /// The connection was lost, but the endpoint answers on a new one.
    LostButHealthy,
    Failed,
}

/// Endpoints that attempts of this call were lost on.
#[derive(Default)]
pub(super) struct TriedEndpoints {
    /// They answer on new connections: better than none.
    pub lossy: Vec<EndpointId>,
    pub failed: Vec<EndpointId>,
}

impl PlainRun {
    pub(super) fn choose(&self, tried: &TriedEndpoints) -> Result<RoutedAttempt, Refusal> {
        let mut ask = RouteRequest {
            request: self.change(|attempts| attempts.request().clone()),
            pool: RoutePool::Plain(self.work.service.clone()),
            prefix: None,
            prompt_tokens: TokenCount::ZERO,
            priority: self.work.priority,
            repeatable: self.work.kind == WorkKind::Repeatable,
            preemptible: self.work.preemptible,
            excluded: [tried.failed.as_slice(), &tried.lossy].concat(),
        };
        let mut routed = self.context.route(&ask);
        if routed.is_err() && !tried.lossy.is_empty() {
            ask.excluded.clone_from(&tried.failed);
            routed = self.context.route(&ask);
        }
        routed.map_err(|error| self.refusal(RefusalCode::NoEndpoint, error.to_string()))
    }

    pub(super) async fn attempt(&self, routed: RoutedAttempt) -> Result<CallEnd, Refusal> {
        let RoutedAttempt { chosen, ticket, .. } = routed;
        let permit = self
            .change(|attempts| attempts.permit_send(&chosen.endpoint))
            .map_err(|error| self.refusal(RefusalCode::EndpointLost, error.to_string()))?;
        self.context.metrics.attempts.inc();
        let error = match self.call(&chosen, &permit).await {
            Ok(answer) => {
                ticket.set_outcome(RouteOutcome::Answered);
                return Ok(CallEnd::Answered(answer));
            }
            Err(error) => error,
        };
        ticket.set_outcome(RouteOutcome::Failed);
        let subjects = [permit.request().as_str(), chosen.endpoint.as_str()];
        self.context
            .record_decision(&subjects, "attempt failed", error.to_string());
        if matches!(error, EndpointError::NotSent(_)) {
            self.change(|attempts| attempts.not_sent(permit));
            return Ok(CallEnd::Failed);
        }
        self.change(RequestAttempts::connection_lost);
        let probe = self.after_loss(&chosen).await;
        if self.change(|attempts| *attempts.phase() == AttemptPhase::Done) {
            let message =
                format!("the endpoint was lost, and the call may not be repeated: {error}");
            return Err(self.refusal(RefusalCode::EndpointLost, message));
        }
        Ok(match probe {
            ProbeResult::Healthy => CallEnd::LostButHealthy,
            ProbeResult::ConnectionRefused | ProbeResult::Unreachable => CallEnd::Failed,
        })
    }

    /// Sends the call. A kept connection may have gone silent for good, so a call
    /// that may be repeated does not wait on it until its deadline.
    pub(super) async fn call(
        &self,
        chosen: &ChosenEndpoint,
        permit: &SendPermit,
    ) -> Result<PlainAnswer, EndpointError> {
        let max_answer = self.context.settings.requests.max_answer.count() as usize;
        let call = chosen.client.call(permit, &self.work.call, max_answer);
        if self.work.kind == WorkKind::AtMostOnce {
            return call.await;
        }
        let limit = self.work.progress_limit;
        let silent = |_| Err(EndpointError::Lost(format!("nothing came for {limit}")));
        let answer = tokio::time::timeout(limit.as_duration(), call).await;
        answer.unwrap_or_else(silent)
    }

    pub(super) async fn after_loss(&self, chosen: &ChosenEndpoint) -> ProbeResult {
        chosen.client.discard_connections();
        let probe = chosen.client.probe().await;
        if self.context.has_crashed(chosen, probe).await {
            let noted = self.context.note_crash(&self.work.fingerprint, chosen);
            noted.await;
        }
        probe
    }
}
