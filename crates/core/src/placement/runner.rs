//! Selects the engine that runs a request once its prompt has been prefilled.

use rand::Rng;

use crate::{
    clock::ClockTime,
    ids::EndpointId,
    placement::{
        EndpointTarget, EngineKey, EngineTable, PlacementError, PlanRequest, engine::run_cost_ms,
    },
};

impl EngineTable {
    /// Selects the engine that runs a request whose prompt was prefilled at `source`.
    ///
    /// Returns an error if no engine is left.
    pub fn choose_runner(
        &mut self,
        now: ClockTime,
        request: PlanRequest<'_>,
        source: &EndpointId,
    ) -> Result<EndpointTarget, PlacementError> {
        for healthy_only in [true, false] {
            let costs = self.runner_costs(now, request, source, healthy_only);
            let costs = costs.into_iter().map(|(cost, _, target)| (cost, target));
            let mut costs: Vec<(f64, EndpointTarget)> = costs.collect();
            let count = (costs.len() as f64 * self.candidate_share).ceil() as usize;
            self.sample(&mut costs, count.max(2));
            if let Some(target) = self.cheapest(costs) {
                return Ok(target);
            }
        }
        Err(PlacementError::NoEngineLeft)
    }

    /// Returns the cost in ms of running the request on each usable engine.
    pub(super) fn runner_costs(
        &self,
        now: ClockTime,
        request: PlanRequest<'_>,
        source: &EndpointId,
        healthy_only: bool,
    ) -> Vec<(f64, EngineKey, EndpointTarget)> {
        let domain = self.engines.get(source).map(|state| &state.domain);
        let runners = self.usable_engines(now, request, healthy_only);
        let runners = runners.filter(|state| state.runs_requests());
        let costs = runners.map(|state| {
            let cost = run_cost_ms(now, state, domain, request);
            (cost, state.key(), state.target.clone())
        });
        costs.collect()
    }

    /// Keeps a random sample of `count` candidates.
    fn sample<Candidate>(&mut self, candidates: &mut Vec<Candidate>, count: usize) {
        while candidates.len() > count {
            let index = self.random.random_range(0..candidates.len());
            candidates.swap_remove(index);
        }
    }
}
