//! The engines whose load is asked for before a choice, and the choice among them.
//!
//! An instance that does not know the load of each engine asks the engines' trackers. It
//! asks for few engines, as each answer costs messages: two of them at random are nearly as
//! good as all with complete information.

use rand::{Rng, seq::SliceRandom};

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::EndpointId,
    placement::{
        EndpointTarget, EngineCandidate, EngineKey, EngineLoad, EngineTable, PlacementError,
        PlanRequest, PrefillPlan, PrefillSample, TrackedLoad,
        engine::{EngineState, rendezvous_engine},
    },
};

/// The number of engines at random that are candidates to prefill a prompt.
const SAMPLED_PREFILL_ENGINES: usize = 2;

/// The maximum number of candidates that hold parts of the prompt, those with most of it.
const MAX_HOLDERS: usize = 4;

/// The number of candidates to run a request.
const SAMPLED_RUNNERS: usize = 4;

impl EngineState {
    pub(super) fn key(&self) -> EngineKey {
        EngineKey {
            hash: self.hash,
            start: self.start,
        }
    }

    fn candidate(&self) -> EngineCandidate {
        EngineCandidate {
            engine: self.key(),
            domain: self.domain.clone(),
        }
    }
}

/// Keeps `count` of the candidates at random.
fn keep_sample<Random>(random: &mut Random, engines: &mut Vec<&EngineState>, count: usize)
where
    Random: Rng,
{
    let (sampled, _) = engines.partial_shuffle(random, count);
    let sampled = sampled.to_vec();
    *engines = sampled;
}

impl EngineTable {
    /// Returns the engines whose load matters for [`Self::plan_among`]: those that hold parts
    /// of the prompt, the one that all instances assign its last shared part to, and some at
    /// random.
    pub fn prefill_candidates(
        &mut self,
        now: ClockTime,
        request: PlanRequest<'_>,
    ) -> Vec<EngineCandidate> {
        let mut random = self.random.clone();
        let mut engines: Vec<&EngineState> = self.usable_engines(now, request, true).collect();
        let preferred = rendezvous_engine(&engines, request.work);
        let parts = &request.work.parts;
        let held = engines.iter().map(|state| {
            let held = self.part_locations.held(now, state.number, parts);
            (held, *state)
        });
        let mut holders: Vec<(u64, &EngineState)> = held.filter(|(held, _)| *held > 0).collect();
        holders.sort_by_key(|(held, state)| (std::cmp::Reverse(*held), state.number));
        holders.truncate(MAX_HOLDERS);
        let holders = holders.into_iter().map(|(_, state)| state);
        let owner = engines
            .iter()
            .copied()
            .filter(|state| preferred == Some(state.number));
        let mut chosen: Vec<&EngineState> = owner.chain(holders).collect();
        // A prefill on a decode engine disturbs the streams there.
        let has_prefill_stage = engines.iter().any(|state| !state.runs_requests());
        engines.retain(|state| !has_prefill_stage || !state.runs_requests());
        keep_sample(&mut random, &mut engines, SAMPLED_PREFILL_ENGINES);
        chosen.extend(engines);
        let mut candidates: Vec<EngineCandidate> =
            chosen.into_iter().map(EngineState::candidate).collect();
        candidates.sort();
        candidates.dedup();
        self.random = random;
        candidates
    }

    /// Returns the engines whose load matters for [`Self::choose_runner_among`].
    pub fn runner_candidates(
        &mut self,
        now: ClockTime,
        request: PlanRequest<'_>,
    ) -> Vec<EngineCandidate> {
        let mut random = self.random.clone();
        let usable = self.usable_engines(now, request, true);
        let mut runners: Vec<&EngineState> = usable.filter(|state| state.runs_requests()).collect();
        keep_sample(&mut random, &mut runners, SAMPLED_RUNNERS);
        let candidates = runners.into_iter().map(EngineState::candidate).collect();
        self.random = random;
        candidates
    }

    /// Stores the load of an engine that its tracker answered. For some tenths of a second
    /// it counts in place of what other instances reported directly.
    pub fn note_tracked(&mut self, now: ClockTime, tracked: &TrackedLoad) {
        let id = self.by_hash.get(&tracked.engine.hash);
        let state = id.and_then(|id| self.engines.get_mut(id));
        if let Some(state) = state.filter(|state| state.start == tracked.engine.start) {
            state.queue.note_tracked(now, tracked.load.clone());
        }
    }

    /// Selects the engine that prefills a request's prompt among those in `asked`, or as
    /// [`Self::plan`] does if none of them is usable.
    pub fn plan_among(
        &mut self,
        now: ClockTime,
        request: PlanRequest<'_>,
        asked: &[EngineKey],
    ) -> Result<PrefillPlan, PlacementError> {
        match self.best_plan(now, request, true, Some(asked)) {
            Some(plan) => {
                self.check_deadline(now, request, true, &plan)?;
                Ok(plan)
            }
            None => self.plan(now, request),
        }
    }

    /// Selects the engine that runs a request among those in `asked`, or as
    /// [`Self::choose_runner`] does if none of them is usable.
    pub fn choose_runner_among(
        &mut self,
        now: ClockTime,
        request: PlanRequest<'_>,
        source: &EndpointId,
        asked: &[EngineKey],
    ) -> Result<EndpointTarget, PlacementError> {
        let mut costs = self.runner_costs(now, request, source, true);
        costs.retain(|(_, engine, _)| asked.contains(engine));
        let costs = costs
            .into_iter()
            .map(|(cost, _, target)| (cost, target))
            .collect();
        match self.cheapest(costs) {
            Some(target) => Ok(target),
            None => self.choose_runner(now, request, source),
        }
    }

    /// Returns all loads that this instance has placed on engines.
    pub fn loads_to_track(&self) -> Vec<(EngineCandidate, EngineLoad)> {
        let loads = self.engines.values().map(|state| {
            let load = state.queue.local_load();
            (state, load)
        });
        let loads = loads.filter(|(_, load)| !load.is_empty());
        loads
            .map(|(state, load)| (state.candidate(), load))
            .collect()
    }

    /// The number of requests that run on an engine as far as is known here; 0 for an unknown
    /// engine.
    pub fn known_running(&self, now: ClockTime, id: &EndpointId) -> u32 {
        let state = self.engines.get(id);
        state.map_or(0, |state| state.queue.running(now))
    }

    /// Returns the measurement of a prefill that took `elapsed`, if the engine had nothing
    /// else queued as far as was known.
    pub fn prefill_sample(
        &self,
        plan: &PrefillPlan,
        elapsed: TimeSpan,
    ) -> Option<(EngineCandidate, PrefillSample)> {
        let state = self.engines.get(&plan.engine.id)?;
        if !plan.was_idle || state.start != plan.engine.start {
            return None;
        }
        let sample = PrefillSample {
            engine: state.key(),
            tokens: plan.tokens,
            elapsed,
            is_decode_stage: state.prefill_slowdown() > 1.0,
        };
        Some((state.candidate(), sample))
    }
}
