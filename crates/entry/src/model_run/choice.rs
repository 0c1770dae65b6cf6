//! Chooses the endpoint of the next attempt of a model request.

use bluebell_core::{
    clock::TimeSpan,
    ids::EndpointId,
    quarantine::{CrashStatus, TrialChoice},
    routing::{RouteRequest, prefix_digest},
};
use bluebell_endpoint::{EndpointError, api::StreamItem};
use futures::StreamExt as _;

use super::ModelRun;
use crate::{
    context::RoutedAttempt,
    refusal::{Refusal, RefusalCode},
};

/// How long a suspect request whose answer has begun waits for an endpoint to resume on.
const TRIAL_TIMEOUT: TimeSpan = TimeSpan::from_secs(30);

impl ModelRun {
    pub(super) async fn choose(&mut self) -> Result<RoutedAttempt, Refusal> {
        self.check_deadline()?;
        let excluded = match self.context.crash_status(&self.work.fingerprint) {
            CrashStatus::Clean => self.failed.union(&self.lost_but_healthy).cloned().collect(),
            CrashStatus::Suspect => self.wait_for_trial().await?,
            CrashStatus::Quarantined => {
                let message = "the request crashed endpoints and is not run again";
                return Err(self.refusal(RefusalCode::RequestQuarantined, message));
            }
        };
        let mut route_request = RouteRequest {
            request: self.attempts.request().clone(),
            pool: self.work.pool(),
            prefix: Some(prefix_digest(&self.work.prompt)),
            prompt_tokens: self.work.prompt_tokens(),
            priority: self.work.priority,
            repeatable: true,
            preemptible: self.work.preemptible,
            excluded,
        };
        let mut routed = self.context.route(&route_request);
        if routed.is_err() && !self.lost_but_healthy.is_empty() && self.trial_ticket.is_none() {
            // An endpoint that lost an attempt but answers probes is better than none.
            route_request.excluded = self.failed.iter().cloned().collect();
            routed = self.context.route(&route_request);
        }
        routed.map_err(|error| self.refusal(RefusalCode::NoEndpoint, error.to_string()))
    }

    /// Waits until an endpoint may run the suspect with no other suspect on it, and
    /// begins its trial there. Returns the endpoints that it may not run on.
    pub(super) async fn wait_for_trial(&mut self) -> Result<Vec<EndpointId>, Refusal> {
        let context = self.context.clone();
        let pool = self.work.pool();
        let fingerprint = self.work.fingerprint.clone();
        let crashes = context.crashes.clone();
        let failed = self.failed.clone();
        let found = crashes.wait_for(|| {
            let mut usable = context.open_endpoints(&pool);
            usable.retain(|endpoint| !failed.contains(endpoint));
            if usable.is_empty() {
                return Some(None);
            }
            match context.trial_choice(&fingerprint, &usable) {
                TrialChoice::AnyOf(free) => {
                    let endpoint = free.into_iter().next()?;
                    let ticket = crashes.begin(&fingerprint, &endpoint);
                    Some(Some((endpoint, ticket)))
                }
                TrialChoice::Wait => None,
            }
        });
        let time_left = self.work.deadline.since(context.now());
        let timeout = match self.answer.tokens().is_empty() {
            true => time_left,
            false => TRIAL_TIMEOUT,
        };
        let found = tokio::time::timeout(timeout.as_duration(), found).await;
        let found = found.map_err(|_| {
            let message = "the request may have crashed an endpoint, and no endpoint became free to run it alone";
            self.refusal(RefusalCode::SuspectWaiting, message)
        })?;
        let Some((endpoint, ticket)) = found else {
            let message = format!(
                "no endpoint of service `{}` accepts work",
                self.work.service
            );
            return Err(self.refusal(RefusalCode::NoEndpoint, message));
        };
        self.trial_ticket = Some(ticket);
        let all = context.open_endpoints(&pool);
        Ok(all.into_iter().filter(|other| *other != endpoint).collect())
    }

    pub(super) fn check_deadline(&self) -> Result<(), Refusal> {
        if self.answer.tokens().is_empty() && self.context.now() >= self.work.deadline {
            let message = "no token arrived before the deadline";
            return Err(self.refusal(RefusalCode::DeadlineExceeded, message));
        }
        Ok(())
    }

    /// Runs the prompt on `prefill`, if the router chose one, and obtains the handle
    /// of its KV cache for the decode engine. If that fails, the decode engine
    /// computes the prompt itself.
    pub(super) async fn prefill(&mut self, prefill: Option<&EndpointId>) -> Result<(), Refusal> {
        self.kv_import = None;
        let chosen = prefill.and_then(|prefill| self.context.directory.choose(prefill));
        let Some(chosen) = chosen else { return Ok(()) };
        let permit = self.attempts.permit_send(&chosen.endpoint);
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
                "the answer to the prefill ended without an end mark".to_string(),
            ))
        };
        let limit = self.progress_timeout().as_duration();
        let handle = tokio::time::timeout(limit, handover).await;
        self.attempts.connection_lost();
        self.chosen = None;
        let subjects = [subjects[0].as_str(), subjects[1].as_str()];
        match handle {
            Ok(Ok(handle)) => self.kv_import = Some(handle),
            Ok(Err(error)) => {
                self.context
                    .record_decision(&subjects, "prefill failed", error.to_string());
            }
            Err(_) => self.context.record_decision(
                &subjects,
                "prefill failed",
                "the handover did not finish in time",
            ),
        }
        Ok(())
    }
}
