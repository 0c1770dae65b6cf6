//! Prefill of a prompt on an engine of the prefill stage.
//!
//! A prefill does not run the request, so it may be repeated for every kind of request.
//! Its KV cache is handed over to the engine that runs the request.

use bluebell_adapter::{engines, headers};
use bluebell_core::{
    clock::TimeSpan,
    placement::{EndpointTarget, PrefillPlan},
    retries::{EngineArrival, EngineCall},
};

use crate::{
    forward::{
        answer::CompleteAnswer,
        attempt::{self, SendOutcome},
        failed_attempt::FailedAttempt,
        generate::GenerationRun,
        guards::PrefillGuard,
        notices, request_log_line,
    },
    frontend::RefusalReason,
};

/// Timeout of the call that frees a prefilled prompt.
const FREE_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);

/// Maximum body size of the answer to a prefill, which names the location of a KV cache.
const MAX_PREFILLED_BYTES: usize = 65_536;

/// A prefilled prompt that no engine has taken over yet.
#[derive(Clone, Debug)]
pub struct PrefilledSource {
    /// The plan that it was prefilled by, with the engine that holds it.
    pub plan: PrefillPlan,
    /// The location of its KV cache, in the form that the engine taking it over expects.
    pub source: String,
    /// Number of engines that have refused to take it over.
    pub refusals: u32,
}

impl GenerationRun {
    /// Prefills the prompt and returns the location of its KV cache. This does not run
    /// the request, so it may be repeated for every kind of request.
    pub(super) async fn prefill(&mut self, plan: &PrefillPlan) -> Result<String, FailedAttempt> {
        let target = &plan.engine;
        let guard = PrefillGuard::new(&self.context, &self.request.service, plan, &self.work);
        let mut extra_headers = self.extra_headers();
        extra_headers.push((headers::STAGE, headers::STAGE_PREFILL.to_string()));
        let remaining = self.request.time_left(self.context.now());
        self.start_call(EngineCall::Prefill)?;
        let outcome = attempt::send(
            &self.context,
            &self.request,
            target,
            &extra_headers,
            remaining,
        )
        .await;
        self.note_sent(&outcome, EngineArrival::PrefillDone);
        let answer = match outcome {
            SendOutcome::Answered(answer) if answer.response.status().is_success() => answer,
            outcome => {
                drop(guard);
                return Err(self.note_prefill_failed(target, &outcome));
            }
        };
        let remaining = self.request.time_left(self.context.now());
        let complete = CompleteAnswer::read(
            &self.context,
            &self.request,
            target,
            answer,
            MAX_PREFILLED_BYTES,
            remaining,
        );
        let prefilled = complete.await;
        let prefilled =
            prefilled.and_then(|answer| engines::decode_prefilled(&answer.body.concat()).ok());
        match prefilled {
            Some(prompt) => {
                guard.finish();
                request_log_line(&self.context, "prefilled", &self.request)
                    .with("prefill", &target.id)
                    .with("held", plan.held_tokens)
                    .with("prompt", self.work.prompt)
                    .with("work_ms", plan.work_ms.round())
                    .with("expected", plan.first_token)
                    .info();
                Ok(engines::handover_source(target.address, &prompt))
            }
            None => {
                self.note_failed(target);
                let detail = "the prefill answer is incomplete or not decodable";
                Err(FailedAttempt::new(RefusalReason::EndpointsFull, detail))
            }
        }
    }

    fn note_prefill_failed(
        &mut self,
        target: &EndpointTarget,
        outcome: &SendOutcome,
    ) -> FailedAttempt {
        let detail = format!("prefill at {}: {}", target.id, outcome.as_str());
        match outcome {
            SendOutcome::Withheld(reason) => self.note_withheld(target, *reason),
            SendOutcome::NotSent(_) => {
                self.note_unreachable(target);
                FailedAttempt::new(RefusalReason::NoEndpoint, detail)
            }
            SendOutcome::NotExecuted {
                status,
                is_replaced,
            } => {
                self.note_refused(target, status.as_u16(), *is_replaced);
                FailedAttempt::new(RefusalReason::EndpointsFull, detail)
            }
            SendOutcome::TimedOut => {
                self.note_failed(target);
                FailedAttempt::new(RefusalReason::TimedOut, detail)
            }
            _ => {
                self.note_failed(target);
                FailedAttempt::new(RefusalReason::EndpointsFull, detail)
            }
        }
    }

    /// Frees a prefilled prompt that no engine takes over, without waiting for the
    /// answer. If the call is lost, or the engine must not be called, the prompt expires there.
    pub(super) fn free_prefilled(&self, prefilled: &PrefilledSource) {
        let engine = &prefilled.plan.engine;
        if notices::call_obstacle(&self.context, &engine.id, engine.start).is_some() {
            return;
        }
        let client = self.context.engine_client.clone();
        let address = prefilled.plan.engine.address;
        let handle = prefilled
            .source
            .rsplit('/')
            .next()
            .unwrap_or_default()
            .to_string();
        let timeout = FREE_TIMEOUT;
        tokio::spawn(async move {
            if let Err(error) = client.free_handle(address, &handle, timeout).await {
                log::debug!("event=handle_not_freed error={error:?}");
            }
        });
    }
}
