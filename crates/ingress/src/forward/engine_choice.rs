//! Which engines a request is sent to, and with which headers.

use bluebell_adapter::headers;
use bluebell_core::{
    ids::EndpointId,
    ingress::EngineRule,
    placement::{
        EndpointTarget, EngineCandidate, EngineKey, PlacementError, PlanRequest, PrefillPlan,
    },
};

use crate::{
    forward::{
        attempt::ExtraHeaders,
        failed_attempt::{FailedAttempt, no_engine_failure},
        generate::GenerationRun,
        notices,
    },
    frontend::RefusalReason,
};

/// Number of engine priority levels per level of route priority.
const PRIORITY_STEP: u8 = 3;
/// The least urgent priority level of engines.
const LOWEST_ENGINE_PRIORITY: u8 = 9;

impl GenerationRun {
    pub(super) fn engine_rule(&self) -> Option<&EngineRule> {
        let service = self.request.table.service(&self.request.service)?;
        service.engine.as_ref()
    }

    /// The fraction of an engine that the request takes while it runs.
    pub(super) fn run_share(&self) -> f64 {
        let tokens = self.work.prompt + self.work.output;
        self.engine_rule()
            .map_or(0.0, |rule| rule.capacity_share(tokens))
    }

    pub(super) fn plan_request<'a>(
        &'a self,
        excluded: &'a [EndpointId],
    ) -> Result<PlanRequest<'a>, FailedAttempt> {
        let Some(rule) = self.engine_rule() else {
            // No later attempt can succeed, and retrying in a loop would block all other
            // tasks of this process.
            let detail = "the service has no engines";
            return Err(FailedAttempt::new(RefusalReason::NoEndpoint, detail).without_retry());
        };
        Ok(PlanRequest {
            service: &self.request.service,
            rule,
            work: &self.work,
            priority: self.request.priority,
            excluded,
            origin: self.begun.origin(),
            time_left: self.request.time_left(self.context.now()),
        })
    }

    /// Asks for the loads of engines right before a choice among them. Returns those whose
    /// loads are known now; none while all instances exchange their loads directly.
    async fn ask_loads(&self, candidates: &[EngineCandidate]) -> Vec<EngineKey> {
        let answers = self.context.engine_loads.query(candidates).await;
        let now = self.context.now();
        let mut engines = self.context.engines.lock();
        for tracked in &answers {
            engines.note_tracked(now, tracked);
        }
        answers.iter().map(|tracked| tracked.engine).collect()
    }

    /// Selects the engine that prefills the prompt.
    pub(super) async fn plan(&self) -> Result<PrefillPlan, FailedAttempt> {
        let excluded = notices::excluded(&self.context, &self.attempted);
        let mut candidates = Vec::new();
        if self.context.engine_loads.is_active() {
            let request = self.plan_request(&excluded)?;
            let now = self.context.now();
            candidates = self.context.engines.lock().prefill_candidates(now, request);
        }
        let known = self.ask_loads(&candidates).await;
        let request = self.plan_request(&excluded)?;
        let now = self.context.now();
        let mut engines = self.context.engines.lock();
        let plan = match known.is_empty() {
            true => engines.plan(now, request),
            false => {
                // One that holds most of the prompt is a candidate also without an answer.
                let asked: Vec<EngineKey> = candidates.iter().map(|one| one.engine).collect();
                engines.plan_among(now, request, &asked)
            }
        };
        drop(engines);
        // An immediate retry would find no engine either, and would block all other
        // tasks of this process meanwhile.
        plan.map_err(|error| self.no_engine(error).without_retry())
    }

    /// Selects the engine that runs the request once its prompt has been prefilled by `plan`, one
    /// of the version that prefilled it.
    pub(super) async fn choose_runner(
        &self,
        plan: &PrefillPlan,
    ) -> Result<EndpointTarget, FailedAttempt> {
        let excluded = notices::excluded(&self.context, &self.attempted);
        let request = PlanRequest {
            origin: Some(plan.engine.origin),
            ..self.plan_request(&excluded)?
        };
        let mut candidates = Vec::new();
        if self.context.engine_loads.is_active() {
            let now = self.context.now();
            candidates = self.context.engines.lock().runner_candidates(now, request);
        }
        let known = self.ask_loads(&candidates).await;
        let now = self.context.now();
        let source = &plan.engine.id;
        let mut engines = self.context.engines.lock();
        let target = match known.is_empty() {
            true => engines.choose_runner(now, request, source),
            false => engines.choose_runner_among(now, request, source, &known),
        };
        drop(engines);
        target.map_err(|error| self.no_engine(error))
    }

    /// Returns the failure for a request that no engine can take.
    fn no_engine(&self, error: PlacementError) -> FailedAttempt {
        let failed = no_engine_failure(error);
        let retry_after = failed.retry_after;
        FailedAttempt {
            retry_after: retry_after
                .or_else(|| notices::retry_after(&self.context, &self.request.service)),
            ..failed
        }
    }

    /// The headers of a call to an engine.
    pub(super) fn extra_headers(&self) -> ExtraHeaders {
        let priority = self.request.priority.saturating_mul(PRIORITY_STEP);
        let priority = priority.min(LOWEST_ENGINE_PRIORITY);
        vec![(headers::REQUEST_PRIORITY, priority.to_string())]
    }

    /// The headers of a call to an engine that runs the request after the events that the caller has.
    pub(super) fn run_headers(&self) -> ExtraHeaders {
        let mut extra_headers = self.extra_headers();
        let last_id = self.order.last_id();
        // The caller's own header is forwarded as it is.
        if last_id != self.request.last_event_id()
            && let Some(id) = last_id
        {
            extra_headers.push((headers::LAST_EVENT_ID, id.to_string()));
        }
        extra_headers
    }
}
