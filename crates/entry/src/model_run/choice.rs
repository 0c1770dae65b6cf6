//! Where the next attempt of a model request goes.

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

/// How long an answer that has begun waits to go on as a suspect.
const TRIAL_PATIENCE: TimeSpan = TimeSpan::from_secs(30);

impl ModelRun {
    pub(super) async fn choose(&mut self) -> Result<RoutedAttempt, Refusal> {
        self.check_deadline()?;
        let excluded = match self.context.crash_status(&self.work.fingerprint) {
            CrashStatus::Clean => self.avoided.union(&self.lossy).cloned().collect(),
            CrashStatus::Suspect => self.wait_for_trial().await?,
            CrashStatus::Quarantined => {
                let message = "the request crashed endpoints and is not run again";
                return Err(self.refusal(RefusalCode::RequestQuarantined, message));
            }
        };
        let mut ask = RouteRequest {
            request: self.attempts.request().clone(),
            pool: self.work.pool(),
            prefix: Some(prefix_digest(&self.work.prompt)),
            prompt_tokens: self.work.prompt_tokens(),
            priority: self.work.priority,
            repeatable: true,
            preemptible: self.work.preemptible,
            excluded,
        };
        let mut routed = self.context.route(&ask);
        if routed.is_err() && !self.lossy.is_empty() && self.trial.is_none() {
            // Whoever lost an attempt but answers probes is better than nobody.
            ask.excluded = self.avoided.iter().cloned().collect();
            routed = self.context.route(&ask);
        }
        routed.map_err(|error| self.refusal(RefusalCode::NoEndpoint, error.to_string()))
    }

    /// Waits until the suspect may run alone among suspects, and begins its trial;
    /// answers the endpoints that it may not run on.
    pub(super) async fn wait_for_trial(&mut self) -> Result<Vec<EndpointId>, Refusal> {
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
                TrialChoice::AnyOf(free) => {
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

    pub(super) fn check_deadline(&self) -> Result<(), Refusal> {
        if self.answer.tokens().is_empty() && self.context.now() >= self.work.deadline {
            let message = "no token was there before the deadline";
            return Err(self.refusal(RefusalCode::DeadlineExceeded, message));
        }
        Ok(())
    }

    /// Has `prefill` take the prompt and hands its KV cache over, if the router
    /// chose one. If that fails the answering engine does without.
    pub(super) async fn prefill(&mut self, prefill: Option<&EndpointId>) -> Result<(), Refusal> {
        self.import = None;
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
                "the prefill ended without an end mark".to_string(),
            ))
        };
        let limit = self.silence_limit().as_duration();
        let handle = tokio::time::timeout(limit, handover).await;
        self.attempts.connection_lost();
        self.chosen = None;
        let subjects = [subjects[0].as_str(), subjects[1].as_str()];
        match handle {
            Ok(Ok(handle)) => self.import = Some(handle),
            Ok(Err(error)) => {
                self.context
                    .record_decision(&subjects, "prefill failed", error.to_string());
            }
            Err(_) => {
                self.context
                    .record_decision(&subjects, "prefill failed", "nothing came in time");
            }
        }
        Ok(())
    }
}
