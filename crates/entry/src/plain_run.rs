//! One call of a plain service, from its first attempt to its end.

use std::{collections::BTreeSet, sync::Arc};

use bluebell_core::{
    attempts::{RequestAttempts, WorkKind},
    clock::ClockTime,
    ids::{EndpointId, OrganisationId, RequestFingerprint},
};
use bluebell_endpoint::{
    EndpointError,
    client::{PlainAnswer, PlainCall},
};

use crate::{
    context::{EntryContext, InFlightTicket},
    directory::{ChosenEndpoint, EndpointNeed},
    refusal::{Refusal, RefusalCode},
    running::RunningTicket,
};

/// What a plain service is asked.
#[derive(Clone, Debug)]
pub struct PlainWork {
    /// Whose call it is.
    pub organisation: OrganisationId,
    /// Whether it may be repeated.
    pub kind: WorkKind,
    /// When the whole answer must be there.
    pub deadline: ClockTime,
    /// Tells the call from others.
    pub fingerprint: RequestFingerprint,
    /// What it needs of an endpoint.
    pub need: EndpointNeed,
    /// What is sent.
    pub call: PlainCall,
}

/// One call in progress.
pub struct PlainRun {
    context: Arc<EntryContext>,
    work: PlainWork,
    attempts: RequestAttempts,
    avoided: BTreeSet<EndpointId>,
}

impl PlainRun {
    /// A run of `work`.
    pub fn new(context: Arc<EntryContext>, work: PlainWork, attempts: RequestAttempts) -> PlainRun {
        PlainRun {
            context,
            work,
            attempts,
            avoided: BTreeSet::new(),
        }
    }

    /// Runs the call and answers its caller.
    pub async fn answer(
        mut self,
        ticket: RunningTicket,
        in_flight: InFlightTicket,
    ) -> Result<PlainAnswer, Refusal> {
        let left = self.work.deadline.since(self.context.now());
        let end = tokio::select! {
            biased;
            () = ticket.lost().cancelled() => {
                Err(self.refusal(RefusalCode::KeyWithdrawn, "the key was withdrawn"))
            }
            () = tokio::time::sleep(left.as_duration()) => {
                let message = "the answer was not there before the deadline";
                Err(self.refusal(RefusalCode::DeadlineExceeded, message))
            }
            end = self.drive() => end,
        };
        drop(in_flight);
        end
    }

    fn refusal<Message>(&self, code: RefusalCode, message: Message) -> Refusal
    where
        Message: Into<String>,
    {
        Refusal::new(code, message, &self.attempts)
    }

    async fn drive(&mut self) -> Result<PlainAnswer, Refusal> {
        loop {
            let chosen = self.choose()?;
            if let Some(answer) = self.attempt(&chosen).await? {
                self.attempts.end();
                self.context
                    .metrics
                    .ended
                    .with_label_values(&["whole"])
                    .inc();
                return Ok(answer);
            }
        }
    }

    fn choose(&mut self) -> Result<ChosenEndpoint, Refusal> {
        if self.attempts.attempt() >= self.context.settings.requests.max_attempts {
            let message = format!("gave up after {} attempts", self.attempts.attempt());
            return Err(self.refusal(RefusalCode::EndpointLost, message));
        }
        let candidates = self.context.directory.candidates(&self.work.need);
        let usable = candidates.into_iter();
        let usable = usable.filter(|slot| !self.avoided.contains(&slot.listing.endpoint));
        let best = usable.min_by_key(|slot| (slot.outstanding, slot.listing.endpoint.clone()));
        let chosen = best.and_then(|slot| self.context.directory.choose(&slot.listing.endpoint));
        let Some(chosen) = chosen else {
            let message = format!("no endpoint of `{}` takes work now", self.work.need.service);
            return Err(self.refusal(RefusalCode::NoEndpoint, message));
        };
        let subjects = [self.attempts.request().as_str(), chosen.endpoint.as_str()];
        let reason = "least outstanding work of this entry";
        self.context.decided(&subjects, "chose endpoint", reason);
        Ok(chosen)
    }

    async fn attempt(&mut self, chosen: &ChosenEndpoint) -> Result<Option<PlainAnswer>, Refusal> {
        let permit = self
            .attempts
            .send(&chosen.endpoint)
            .map_err(|error| self.refusal(RefusalCode::EndpointLost, error.to_string()))?;
        self.context.metrics.attempts.inc();
        let limit = self.context.settings.requests.max_answer.count() as usize;
        let error = match chosen.client.call(&permit, &self.work.call, limit).await {
            Ok(answer) => return Ok(Some(answer)),
            Err(error) => error,
        };
        let subjects = [self.attempts.request().as_str(), chosen.endpoint.as_str()];
        self.context
            .decided(&subjects, "attempt failed", error.to_string());
        self.avoided.insert(chosen.endpoint.clone());
        match error {
            EndpointError::NotSent(_) => self.attempts.not_sent(permit),
            EndpointError::Refused { .. } | EndpointError::Lost(_) => self.attempts.lost(),
        }
        if self.work.kind == WorkKind::AtMostOnce && self.is_over() {
            let message =
                format!("the endpoint was lost, and the call may not be repeated: {error}");
            return Err(self.refusal(RefusalCode::EndpointLost, message));
        }
        Ok(None)
    }

    fn is_over(&self) -> bool {
        *self.attempts.phase() == bluebell_core::attempts::AttemptPhase::Done
    }
}
