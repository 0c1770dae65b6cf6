//! The calls to engines that one request makes, against the retry budget and the quarantine.

use bluebell_core::{
    attempts::RunOutcome,
    retries::{EngineArrival, EngineCall},
};

use crate::{
    forward::{
        attempt::SendOutcome, crashes, failed_attempt::FailedAttempt, generate::GenerationRun,
        proxy, retries,
    },
    frontend::RefusalReason,
};

impl GenerationRun {
    /// Starts a call, unless the request is quarantined, and charges the retry budget if the
    /// call counts as a retry.
    pub(super) fn start_call(&mut self, call: EngineCall) -> Result<(), FailedAttempt> {
        if let Some(quarantined) = crashes::quarantined(&self.context, &self.request) {
            return Err(FailedAttempt::quarantined(quarantined));
        }
        if self.arrivals.needs_grant(call) {
            if !retries::try_retry(&self.context, &self.request, call.as_str()) {
                let detail = "the retry budget of the service is exhausted";
                let failed = FailedAttempt::new(RefusalReason::EndpointsFull, detail);
                return Err(failed.without_retry());
            }
            self.arrivals.note_grant();
        }
        self.arrivals.start_call(call);
        Ok(())
    }

    /// Counts a call that was sent. No engine received a call that was not sent, so its
    /// charge applies to the next call. If unsent calls were counted, a simultaneous
    /// crash of many engines would exhaust the budget, and requests would be refused
    /// while working engines are idle.
    pub(super) fn note_sent(&mut self, outcome: &SendOutcome, arrival: EngineArrival) {
        let call = match arrival {
            EngineArrival::PrefillDone if self.arrivals.has_prefilled() => "prefill_again",
            EngineArrival::PrefillDone => "prefill",
            EngineArrival::Counted => "run",
        };
        let arrival = match outcome {
            SendOutcome::NotSent(_) | SendOutcome::Withheld(_) => {
                self.arrivals.note_unsent();
                return;
            }
            SendOutcome::Answered(answer) if answer.response.status().is_success() => arrival,
            _ => EngineArrival::Counted,
        };
        let counters = &self.context.metrics.engine_calls;
        counters.with_label_values(&[call, outcome.as_str()]).inc();
        self.calls += 1;
        self.arrivals.note_arrival(arrival);
    }

    /// Whether another instance may serve the request after `failed`: it has not run, and no
    /// endpoint is reached from here.
    pub(super) async fn may_be_proxied(&mut self, failed: &FailedAttempt) -> bool {
        let is_unserved = failed.reason == RefusalReason::NoEndpoint
            && matches!(self.attempts.outcome(), RunOutcome::NotRun(_));
        if !is_unserved || !proxy::is_needed(&self.context, &self.request).await {
            return false;
        }
        let is_granted = self.start_call(EngineCall::Prefill).is_ok();
        if is_granted {
            self.arrivals.note_arrival(EngineArrival::Counted);
        }
        is_granted
    }
}
