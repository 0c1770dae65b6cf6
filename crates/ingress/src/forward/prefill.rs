//! Having a prompt prefilled on an engine that does nothing else.
//!
//! A prefill runs nothing, so it may be repeated whatever the request is; what it
//! leaves is handed over to the engine that runs the request.

use bluebell_adapter::{engines, headers};
use bluebell_core::{
    clock::TimeSpan,
    placement::{EndpointTarget, PrefillPlan},
    retries::EngineArrival,
};

use crate::{
    forward::{
        answer::WholeAnswer,
        attempt::{self, AttemptEnd},
        generate::{FailedTry, GenerationRun},
        guards::PrefillGuard,
        request_line,
    },
    frontend::RefusalReason,
};

/// How long freeing a prefilled prompt may take.
const FREE_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);

/// A prompt that was prefilled and not yet taken over.
#[derive(Clone, Debug)]
pub struct PrefilledSource {
    /// Where it was prefilled.
    pub plan: PrefillPlan,
    /// Where its KV cache lies, as the engine that takes it over wants it named.
    pub source: String,
    /// How many engines have refused to take it over.
    pub refusals: u32,
}

impl GenerationRun {
    /// Has the prompt prefilled; answers where its KV cache lies. This runs
    /// nothing, so it may be repeated whatever the request is.
    pub(super) async fn prefill(&mut self, plan: &PrefillPlan) -> Result<String, FailedTry> {
        let target = &plan.engine;
        let guard = PrefillGuard::new(&self.context, &self.request.service, plan, &self.work);
        let mut added = self.added_headers(None);
        added.push((headers::STAGE, headers::STAGE_PREFILL.to_string()));
        let left = self.request.time_left(self.context.now());
        self.pay_for_next()?;
        let end = attempt::send(&self.context, &self.request, target, &added, left).await;
        self.note_sent(&end, EngineArrival::PrefillDone);
        let answer = match end {
            AttemptEnd::Answered(answer) if answer.response.status().is_success() => answer,
            end => {
                drop(guard);
                return Err(self.prefill_failed(target, &end));
            }
        };
        let left = self.request.time_left(self.context.now());
        let whole = WholeAnswer::read(&self.context, target, answer, left).await;
        let prefilled = whole.and_then(|whole| engines::decode_prefilled(&whole.body).ok());
        match prefilled {
            Some(prompt) => {
                guard.done();
                request_line(&self.context, "prefilled", &self.request)
                    .with("prefill", &target.id)
                    .with("held", plan.held)
                    .with("prompt", self.work.prompt)
                    .with("work_ms", plan.work_ms.round())
                    .with("expected", plan.first_token)
                    .info();
                Ok(engines::handover_source(target.address, &prompt))
            }
            None => {
                self.engine_failed(target);
                let detail = "the prefill's answer broke off";
                Err(FailedTry::new(RefusalReason::EndpointsFull, detail))
            }
        }
    }

    fn prefill_failed(&mut self, target: &EndpointTarget, end: &AttemptEnd) -> FailedTry {
        let detail = format!("prefill at {}: {}", target.id, end.as_str());
        match end {
            AttemptEnd::NotSent(_) => {
                self.unreachable(target);
                FailedTry::new(RefusalReason::NoEndpoint, detail)
            }
            AttemptEnd::NotExecuted { status, is_gone } => {
                self.refused(target, status.as_u16(), *is_gone);
                FailedTry::new(RefusalReason::EndpointsFull, detail)
            }
            AttemptEnd::TimedOut => {
                self.engine_failed(target);
                FailedTry::new(RefusalReason::TimedOut, detail)
            }
            _ => {
                self.engine_failed(target);
                FailedTry::new(RefusalReason::EndpointsFull, detail)
            }
        }
    }

    /// Frees a prefilled prompt that no engine takes over. Nobody waits for it; if
    /// it is not heard, the prompt lapses by itself.
    pub(super) fn free(&self, prefilled: &PrefilledSource) {
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
