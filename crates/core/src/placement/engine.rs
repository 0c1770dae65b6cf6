//! Selects the engines that prefill a prompt and run its request.
//!
//! Each engine is modelled as a queue of unfinished prefills: those that this entry
//! sent, and those that other entries report. A prompt adds to the queue the tokens
//! that the engine doesn't hold yet. Entries broadcast where they sent shared parts.
//! For parts without such a report the engine is selected by rendezvous hashing, so
//! that entries agree before they have exchanged any message.
//!
//! The engine that runs a request is selected when its prompt has been prefilled: the
//! state known when the request arrived may be a second old by then, and the engine may
//! be about to leave.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    clock::{ClockTime, TimeSpan},
    directory::{EndpointRegistration, EngineStage},
    ids::{EndpointId, FailureDomain, InstanceId, ServiceName},
    placement::{
        EndpointTarget, EngineKey, PartLocations, PeerPart, PlacementError, PlanRequest,
        PrefillPlan, PromptWork,
        engine_speeds::{AppliedSpeeds, weighted_rendezvous},
        queue::EngineQueue,
        slots::{running_cost_ms, slot_cost_ms},
    },
    routing::{EndpointHealth, RoutingSettings},
    streams::OriginHash,
};

/// Prefill rate of an engine in tokens per ms, assumed until one has been measured. It
/// is low, so that a new entry doesn't overload an engine.
pub(super) const INITIAL_PREFILL_RATE: f64 = 55.0;
/// Fixed part of the time to the first token of a request, in ms.
pub(super) const FIXED_LATENCY_MS: f64 = 20.0;
/// Factor by which an engine of the decode stage prefills more slowly.
pub(super) const DECODE_STAGE_SLOWDOWN: f64 = 2.0;
/// Fixed time of a handover between engines, in ms.
const HANDOVER_MS: f64 = 8.0;
/// Factor by which the transfer of a handover takes longer between failure domains.
const CROSS_DOMAIN_HANDOVER_FACTOR: f64 = 2.0;
/// Additional cost per ms of prefill work: the work delays other requests and evicts
/// prefixes that they would reuse. If this weight is too high, a popular part is sent
/// to one engine only and overloads it while others are idle.
const PREFILL_WORK_WEIGHT: f64 = 0.5;
/// The share of a shared part that its rendezvous engine is assumed to hold when no
/// entry is known to have sent the part there.
const RENDEZVOUS_HELD_SHARE: f64 = 0.5;
/// Cost in ms of a prefill on an engine of the decode stage for the requests that run
/// there: each of their tokens waits for a chunk of the prompt, which stretches the
/// gaps between tokens beyond the objective.
const DECODE_INTERFERENCE_MS: f64 = 1_000.0;
/// How long an engine that was ordered to change its stage is assumed to be
/// unavailable, unless it reports the new stage sooner: it finishes its work, is
/// unavailable for about 3 s, and reports the stage with its next heartbeat.
const STAGE_SWITCH_TIMEOUT: TimeSpan = TimeSpan::from_millis(7_000);
/// Minimum share of the engines that are candidates for a request: two engines of a few
/// hundred.
const MIN_CANDIDATE_SHARE: f64 = 0.005;
/// Maximum relative random increase of a cost, so that entries with the same state
/// don't all select the same engine.
const COST_NOISE: f64 = 0.05;

#[derive(Clone, Debug)]
pub(super) struct EngineState {
    pub(super) number: u32,
    pub(super) hash: u64,
    pub(super) target: EndpointTarget,
    pub(super) start: u64,
    pub(super) service: ServiceName,
    pub(super) domain: FailureDomain,
    pub(super) stage: Option<EngineStage>,
    /// The number of requests that the engine runs at once.
    pub(super) slots: u32,
    /// Its prefill speed relative to the typical one of its service.
    pub(super) speed_factor: f64,
    /// The stage that the engine was ordered to take, and when the order was received.
    pub(super) ordered_stage: Option<(EngineStage, ClockTime)>,
    /// The engine is excluded from selection until then, as it refused a request of
    /// this or another entry.
    pub(super) excluded_until: ClockTime,
    /// Until when the engine is excluded because it refused requests of this entry.
    pub(super) local_refusal_until: ClockTime,
    /// Number of consecutive refusals.
    pub(super) consecutive_refusals: u32,
    pub(super) is_leaving: bool,
    pub(super) queue: EngineQueue,
    pub(super) health: EndpointHealth,
}

impl EngineState {
    pub(super) fn prefill_slowdown(&self) -> f64 {
        match self.stage {
            Some(EngineStage::Decode) => DECODE_STAGE_SLOWDOWN,
            _ => 1.0,
        }
    }

    pub(super) fn runs_requests(&self) -> bool {
        self.stage != Some(EngineStage::Prefill)
    }

    /// Whether the engine is unavailable because it changes its stage. The order may
    /// not have reached it, so after the timeout the engine is used again in the stage
    /// that it reports.
    fn is_switching(&self, now: ClockTime) -> bool {
        self.ordered_stage.is_some_and(|(stage, at)| {
            self.stage != Some(stage) && now.since(at) < STAGE_SWITCH_TIMEOUT
        })
    }

    fn accepts_work(&self, now: ClockTime) -> bool {
        !self.is_leaving && !self.is_switching(now)
    }

    /// Whether the engine is neither ejected nor excluded after a refusal.
    fn is_healthy(&self, now: ClockTime) -> bool {
        !self.health.is_ejected(now) && now >= self.excluded_until
    }
}

/// State of all engines, as known to this entry.
#[derive(Clone, Debug)]
pub struct EngineTable {
    pub(super) settings: RoutingSettings,
    pub(super) random: ChaCha8Rng,
    pub(super) engines: BTreeMap<EndpointId, EngineState>,
    pub(super) by_hash: BTreeMap<u64, EndpointId>,
    /// The engines on which other entries reported load last.
    pub(super) reported_engines: BTreeMap<InstanceId, Vec<u64>>,
    pub(super) part_locations: PartLocations,
    pub(super) prefill_rates: BTreeMap<ServiceName, f64>,
    pub(super) next_number: u32,
    pub(super) next_ticket: u64,
    /// Parts that have not been broadcast to the other entries yet.
    pub(super) unsent_parts: Vec<PeerPart>,
    pub(super) unreachable_domains: BTreeSet<FailureDomain>,
    /// The share of the engines that are candidates for a request.
    pub(super) candidate_share: f64,
    pub(super) speeds: AppliedSpeeds,
}

impl EngineTable {
    /// Creates an empty table.
    pub fn new(settings: RoutingSettings) -> EngineTable {
        EngineTable {
            settings,
            random: ChaCha8Rng::seed_from_u64(0),
            engines: BTreeMap::new(),
            by_hash: BTreeMap::new(),
            reported_engines: BTreeMap::new(),
            part_locations: PartLocations::new(),
            prefill_rates: BTreeMap::new(),
            next_number: 0,
            next_ticket: 0,
            unsent_parts: Vec::new(),
            unreachable_domains: BTreeSet::new(),
            candidate_share: 1.0,
            speeds: AppliedSpeeds::default(),
        }
    }

    /// Seeds the random sampling of candidates and the noise of costs.
    pub fn with_seed(mut self, seed: u64) -> EngineTable {
        self.random = ChaCha8Rng::seed_from_u64(seed);
        self
    }

    /// Adds or updates an engine. A registration with a new start discards the state of
    /// the previous process.
    pub fn set_engine(&mut self, now: ClockTime, registration: &EndpointRegistration) {
        let existing = self.engines.get_mut(&registration.id);
        if let Some(state) = existing.filter(|state| state.start == registration.start) {
            if state.stage != registration.stage {
                state.stage = registration.stage;
                state.ordered_stage = None;
            }
            state.is_leaving = registration.is_leaving;
            state.slots = registration.slots;
            state.target.address = registration.address;
            return;
        }
        self.remove_engine(&registration.id);
        let hash = xxh3_64_with_seed(registration.id.as_str().as_bytes(), 0);
        let start = registration.start;
        let key = EngineKey { hash, start };
        let speed_factor = self.speeds.factor(key, &registration.service);
        // Preemptible engines prefill, but start in the decode stage. The order to
        // change the stage arrives within a second; requests that run there until then
        // would delay it.
        let awaits_order =
            registration.is_preemptible && registration.stage == Some(EngineStage::Decode);
        let state = EngineState {
            number: self.next_number,
            hash,
            target: EndpointTarget {
                id: registration.id.clone(),
                address: registration.address,
                start: registration.start,
                origin: registration.origin(),
            },
            start,
            service: registration.service.clone(),
            domain: registration.domain.clone(),
            stage: registration.stage,
            slots: registration.slots,
            speed_factor,
            ordered_stage: awaits_order.then_some((EngineStage::Prefill, now)),
            excluded_until: ClockTime::default(),
            local_refusal_until: ClockTime::default(),
            consecutive_refusals: 0,
            is_leaving: registration.is_leaving,
            queue: EngineQueue::new(),
            health: EndpointHealth::new(),
        };
        self.next_number += 1;
        self.by_hash.insert(hash, registration.id.clone());
        self.engines.insert(registration.id.clone(), state);
    }

    /// Removes an engine that is no longer registered.
    pub fn remove_engine(&mut self, id: &EndpointId) {
        if let Some(state) = self.engines.remove(id) {
            self.part_locations.remove_engine(state.number);
            self.by_hash.remove(&state.hash);
            self.speeds.remove_engine(state.key());
        }
    }

    /// Returns the measured prefill rate of the service's engines, in tokens per ms.
    pub fn prefill_rate(&self, service: &ServiceName) -> f64 {
        let rate = self.prefill_rates.get(service).copied();
        rate.unwrap_or(INITIAL_PREFILL_RATE)
    }

    /// Selects the engine that prefills a request's prompt.
    ///
    /// Returns an error if no engine is left, or if none would produce the first token
    /// before the deadline.
    pub fn plan(
        &mut self,
        now: ClockTime,
        request: PlanRequest<'_>,
    ) -> Result<PrefillPlan, PlacementError> {
        for healthy_only in [true, false] {
            if let Some(plan) = self.best_plan(now, request, healthy_only, None) {
                self.check_deadline(now, request, healthy_only, &plan)?;
                return Ok(plan);
            }
        }
        Err(PlacementError::NoEngineLeft)
    }

    /// Refuses a request that no engine can begin before its deadline.
    ///
    /// Under overload, prompts wait in the engines until their deadlines pass: their
    /// callers wait in vain, and prompts that are prefilled for callers that have
    /// disconnected delay the next ones. One engine may be idle while others have long
    /// queues, so all engines are checked before a request is refused.
    pub(super) fn check_deadline(
        &self,
        now: ClockTime,
        request: PlanRequest<'_>,
        healthy_only: bool,
        plan: &PrefillPlan,
    ) -> Result<(), PlacementError> {
        if plan.first_token <= request.time_left {
            return Ok(());
        }
        let earliest = self
            .usable_engines(now, request, healthy_only)
            .map(|state| {
                let work_ms = self.prefill_plan(now, state, &request, false).work_ms;
                state.queue.wait_ms(now, request.rank()) + work_ms
            });
        let earliest_ms = earliest.min_by(f64::total_cmp).unwrap_or_default();
        let earliest = TimeSpan::from_millis(earliest_ms as u64);
        match earliest > request.time_left {
            true => Err(PlacementError::TooLate {
                late: earliest.saturating_sub(request.time_left),
            }),
            false => Ok(()),
        }
    }

    /// Returns the plan of the lowest cost: among the engines in `asked`, or among a random
    /// sample of all.
    pub(super) fn best_plan(
        &mut self,
        now: ClockTime,
        request: PlanRequest<'_>,
        healthy_only: bool,
        asked: Option<&[EngineKey]>,
    ) -> Option<PrefillPlan> {
        let engines: Vec<&EngineState> = self.usable_engines(now, request, healthy_only).collect();
        let handovers = handover_costs_ms(now, &engines, request);
        let preferred = rendezvous_engine(&engines, request.work);
        let mut costs: Vec<(f64, PrefillPlan)> = Vec::with_capacity(engines.len());
        let share = self.candidate_share;
        let mut random = self.random.clone();
        for (index, state) in engines.iter().enumerate() {
            if asked.is_some_and(|asked| !asked.contains(&state.key())) {
                continue;
            }
            // The last two engines are both candidates if there are no others.
            let is_required = costs.len() + (engines.len() - index) <= 2;
            let is_sampled = asked.is_some() || is_required || random.random_bool(share);
            let holds_prefix = preferred == Some(state.number)
                || self
                    .part_locations
                    .held(now, state.number, &request.work.parts)
                    > 0;
            if !is_sampled && !holds_prefix {
                continue;
            }
            let mut plan = self.prefill_plan(now, state, &request, preferred == Some(state.number));
            let wait_ms = state.queue.wait_ms(now, request.rank());
            let overhead_ms = match state.stage {
                Some(EngineStage::Decode) => DECODE_INTERFERENCE_MS,
                Some(EngineStage::Prefill) => match handovers.get(&state.target.origin) {
                    Some(handover_ms) => *handover_ms,
                    // No engine of its version runs requests.
                    None => continue,
                },
                None => slot_cost_ms(state.queue.running(now), state.slots),
            };
            let first_token_ms = wait_ms + plan.work_ms + FIXED_LATENCY_MS + overhead_ms;
            plan.first_token = TimeSpan::from_millis(first_token_ms as u64);
            costs.push((first_token_ms + PREFILL_WORK_WEIGHT * plan.work_ms, plan));
        }
        self.random = random;
        self.cheapest(costs)
    }

    pub(super) fn usable_engines<'a>(
        &'a self,
        now: ClockTime,
        request: PlanRequest<'a>,
        healthy_only: bool,
    ) -> impl Iterator<Item = &'a EngineState> {
        self.engines.values().filter(move |state| {
            state.service == *request.service
                && state.accepts_work(now)
                && request
                    .origin
                    .is_none_or(|origin| origin == state.target.origin)
                && !request.excluded.contains(&state.target.id)
                && (!healthy_only || self.is_healthy(now, state))
        })
    }

    fn is_healthy(&self, now: ClockTime, state: &EngineState) -> bool {
        state.is_healthy(now) && !self.unreachable_domains.contains(&state.domain)
    }

    /// Sets the share of the engines that are candidates for a request, in addition to
    /// those that hold a part of its prompt.
    ///
    /// Entries receive each other's load reports with a delay. If every entry selected
    /// the least loaded of all engines, all requests that arrive within that delay
    /// would go to the same few engines, and streams there would stall while other
    /// engines are idle. In a random sample the least loaded engine differs between
    /// entries; two candidates are nearly as good as all engines would be with complete
    /// information.
    pub fn set_candidate_share(&mut self, share: f64) {
        self.candidate_share = share.clamp(MIN_CANDIDATE_SHARE, 1.0);
    }

    /// Sets the failure domains that seem unreachable from here; their engines are
    /// selected only if there are no others.
    pub fn set_unreachable_domains(&mut self, domains: BTreeSet<FailureDomain>) {
        self.unreachable_domains = domains;
    }

    fn prefill_plan(
        &self,
        now: ClockTime,
        state: &EngineState,
        request: &PlanRequest<'_>,
        is_preferred: bool,
    ) -> PrefillPlan {
        let held = self
            .part_locations
            .held(now, state.number, &request.work.parts);
        let shared: u64 = request.work.shared().iter().map(|part| part.tokens).sum();
        let assumed = if is_preferred && held < shared {
            let missing = (shared - held) as f64;
            held + (missing * RENDEZVOUS_HELD_SHARE) as u64
        } else {
            held
        };
        let prompt = request.work.prompt.count();
        let tokens = prompt.saturating_sub(assumed).max(1);
        let rate =
            self.prefill_rate(request.service) * state.speed_factor / state.prefill_slowdown();
        PrefillPlan {
            engine: state.target.clone(),
            runs_request: state.runs_requests(),
            work_ms: tokens as f64 / rate,
            held_tokens: assumed,
            tokens,
            first_token: TimeSpan::ZERO,
            rank: request.rank(),
            was_idle: state.queue.is_idle(now),
        }
    }

    /// Returns the candidate with the lowest cost after random noise.
    pub(super) fn cheapest<Candidate>(
        &mut self,
        costs: Vec<(f64, Candidate)>,
    ) -> Option<Candidate> {
        let noisy = costs.into_iter().map(|(cost, candidate)| {
            let noise = self.random.random_range(1.0..1.0 + COST_NOISE);
            (cost * noise, candidate)
        });
        let cheapest = noisy.min_by(|a, b| a.0.total_cmp(&b.0));
        cheapest.map(|(_, candidate)| candidate)
    }
}

/// Returns the cost in ms of running a request on an engine until its next token: the
/// handover from `source`, the prefills queued at the engine, the requests that run there and
/// the wait for a slot.
pub(super) fn run_cost_ms(
    now: ClockTime,
    state: &EngineState,
    source: Option<&FailureDomain>,
    request: PlanRequest<'_>,
) -> f64 {
    let running_ms = slot_cost_ms(state.queue.running(now), state.slots);
    handover_cost_ms(now, state, source, request) + running_ms
}

fn handover_cost_ms(
    now: ClockTime,
    state: &EngineState,
    source: Option<&FailureDomain>,
    request: PlanRequest<'_>,
) -> f64 {
    let bytes = request.work.prompt.count() * request.rule.token_bytes.count();
    let transfer_ms = bytes as f64 / request.rule.link_bytes_per_ms.max(1) as f64;
    let is_cross_domain = source.is_some_and(|source| *source != state.domain);
    let handover_factor = if is_cross_domain {
        CROSS_DOMAIN_HANDOVER_FACTOR
    } else {
        1.0
    };
    let wait_ms = state.queue.wait_ms(now, request.rank());
    HANDOVER_MS + transfer_ms * handover_factor + wait_ms
}

/// Returns the lowest cost in ms of a handover for each version of the engines. A prompt is
/// handed over within one version only.
///
/// The wait for a slot is left out: a request waits for one wherever its prompt is prefilled, and
/// a prefill at the engine that runs it would delay the requests that hold the slots.
fn handover_costs_ms(
    now: ClockTime,
    engines: &[&EngineState],
    request: PlanRequest<'_>,
) -> BTreeMap<OriginHash, f64> {
    let mut costs: BTreeMap<OriginHash, f64> = BTreeMap::new();
    for state in engines.iter().filter(|state| state.runs_requests()) {
        let running_ms = running_cost_ms(state.queue.running(now));
        let cost = handover_cost_ms(now, state, None, request) + running_ms;
        let lowest = costs.entry(state.target.origin).or_insert(cost);
        *lowest = lowest.min(cost);
    }
    costs
}

/// Returns the number of the engine to which all entries assign the last shared part: of the
/// engines that prefill at full speed, one by rendezvous hashing, weighted by their speeds.
pub(super) fn rendezvous_engine(engines: &[&EngineState], work: &PromptWork) -> Option<u32> {
    let part = work.shared().last()?;
    let has_fast = engines.iter().any(|state| state.prefill_slowdown() == 1.0);
    let candidates = engines
        .iter()
        .filter(|state| !has_fast || state.prefill_slowdown() == 1.0);
    weighted_rendezvous(candidates.copied(), part.id).map(|state| state.number)
}
