//! What the calls to engines and the reports of other entries say about the engines.

use crate::{
    clock::{ClockTime, TimeSpan},
    directory::EngineStage,
    ids::{EndpointId, InstanceId, ServiceName},
    placement::{
        EngineTable, PeerLoad, PeerPart, PrefillPlan, PrefillTicket, PromptWork,
        engine::{EngineState, FIXED_LATENCY_MS, INITIAL_PREFILL_RATE},
        queue::EngineLoad,
    },
    routing::EndpointHealth,
};

/// Weight of the newest measurement in the moving average of the prefill rate.
const RATE_SMOOTHING: f64 = 0.05;
/// Minimum size in tokens of a prefill that is used to measure the rate; the time of
/// smaller ones is mostly fixed cost.
const MIN_RATE_SAMPLE_TOKENS: f64 = 1_500.0;
/// Lower and upper bound of a measured prefill rate, in tokens per ms.
const PREFILL_RATE_BOUNDS: (f64, f64) = (5.0, 1_000.0);
/// How long an engine that refused a request is excluded from selection at first: other
/// requests would be refused too, and each refusal counts as a retry. The pause doubles
/// with each consecutive refusal, as an engine that changes its stage is unavailable
/// for seconds.
const REFUSAL_PAUSE: TimeSpan = TimeSpan::from_millis(150);
/// Maximum number of doublings of the pause, which limits it to 1.2 s.
const MAX_REFUSAL_DOUBLINGS: u32 = 3;
/// How long an engine that refused a request of another entry is excluded from
/// selection.
const PEER_REFUSAL_PAUSE: TimeSpan = TimeSpan::from_millis(400);
/// Maximum number of parts that wait to be broadcast. The oldest are dropped, which
/// gives other entries a wrong estimate of what an engine holds.
const MAX_UNSENT_PARTS: usize = 256;

impl EngineTable {
    /// Records that the prefill was sent: it is added to the engine's queue, and the
    /// engine is assumed to hold its parts.
    pub fn prefill_sent(
        &mut self,
        now: ClockTime,
        plan: &PrefillPlan,
        work: &PromptWork,
    ) -> PrefillTicket {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        if let Some(state) = self.engines.get_mut(&plan.engine.id) {
            state.queue.push(now, ticket, plan.rank, plan.work_ms);
            self.part_locations
                .note_parts(now, state.number, &work.parts);
            let unsent = work.shared().iter().map(|part| PeerPart {
                engine: state.hash,
                part: part.id,
            });
            self.unsent_parts.extend(unsent);
            let excess = self.unsent_parts.len().saturating_sub(MAX_UNSENT_PARTS);
            self.unsent_parts.drain(..excess);
        }
        PrefillTicket(ticket)
    }

    /// Records that the prefill is done, that is, its first token or its handle has
    /// arrived.
    pub fn prefill_done(
        &mut self,
        now: ClockTime,
        plan: &PrefillPlan,
        ticket: PrefillTicket,
        sent: ClockTime,
    ) {
        let Some(state) = self.engines.get_mut(&plan.engine.id) else {
            return;
        };
        state.queue.remove(now, ticket.0);
        state.health.note_success(now, &self.settings);
        state.consecutive_refusals = 0;
        let slowdown = state.prefill_slowdown() / state.speed_factor;
        let service = state.service.clone();
        let tokens = plan.tokens as f64;
        let prefill_ms = now.since(sent).as_millis() as f64 - FIXED_LATENCY_MS;
        if !plan.was_idle || tokens < MIN_RATE_SAMPLE_TOKENS || prefill_ms < 1.0 {
            return;
        }
        let rate = self
            .prefill_rates
            .entry(service)
            .or_insert(INITIAL_PREFILL_RATE);
        let measured =
            (tokens / prefill_ms * slowdown).clamp(PREFILL_RATE_BOUNDS.0, PREFILL_RATE_BOUNDS.1);
        *rate += RATE_SMOOTHING * (measured - *rate);
    }

    /// Records that the engine will not do the prefill: it was refused, failed or was
    /// abandoned.
    pub fn prefill_dropped(&mut self, now: ClockTime, plan: &PrefillPlan, ticket: PrefillTicket) {
        if let Some(state) = self.engines.get_mut(&plan.engine.id) {
            state.queue.remove(now, ticket.0);
        }
    }

    /// Counts a request that started to run on the engine.
    pub fn run_started(&mut self, id: &EndpointId) {
        if let Some(state) = self.engines.get_mut(id) {
            state.queue.run_started();
        }
    }

    /// Counts a request that no longer runs on the engine.
    pub fn run_ended(&mut self, id: &EndpointId) {
        if let Some(state) = self.engines.get_mut(id) {
            state.queue.run_ended();
        }
    }

    /// Records that the engine completed a request.
    pub fn succeeded(&mut self, now: ClockTime, id: &EndpointId) {
        if let Some(state) = self.engines.get_mut(id) {
            state.health.note_success(now, &self.settings);
            state.consecutive_refusals = 0;
        }
    }

    /// Records that the engine failed, refused a request or timed out. Returns the
    /// duration of the ejection if the engine is ejected for it.
    pub fn failed(&mut self, now: ClockTime, id: &EndpointId) -> Option<TimeSpan> {
        let state = self.engines.get_mut(id)?;
        state
            .health
            .note_failure(now, &self.settings, &mut self.random)
    }

    /// Records that the engine was ordered to change its stage.
    pub fn stage_ordered(&mut self, now: ClockTime, engine: u64, stage: EngineStage) {
        let id = self.by_hash.get(&engine);
        let Some(state) = id.and_then(|id| self.engines.get_mut(id)) else {
            return;
        };
        // The order is received several times; the first time is kept.
        if state
            .ordered_stage
            .is_none_or(|(existing, _)| existing != stage)
        {
            state.ordered_stage = Some((stage, now));
        }
    }

    /// Returns the hash that identifies the engine in messages between entries.
    pub fn hash(&self, id: &EndpointId) -> Option<u64> {
        self.engines.get(id).map(|state| state.hash)
    }

    /// Records that the engine refused a request without running it.
    pub fn refused(&mut self, now: ClockTime, id: &EndpointId) {
        if let Some(state) = self.engines.get_mut(id) {
            let doublings = state.consecutive_refusals.min(MAX_REFUSAL_DOUBLINGS);
            state.local_refusal_until = now + REFUSAL_PAUSE.times(1 << doublings);
            state.excluded_until = state.excluded_until.max(state.local_refusal_until);
            state.consecutive_refusals += 1;
        }
    }

    /// Forgets what this entry observed of failures and refusals of the engines of `service`:
    /// it could not reach them.
    pub fn forget_failures(&mut self, service: &ServiceName) {
        let engines = self.engines.values_mut();
        for state in engines.filter(|state| state.service == *service) {
            state.health = EndpointHealth::new();
            state.consecutive_refusals = 0;
            state.local_refusal_until = ClockTime::default();
            state.excluded_until = ClockTime::default();
        }
    }

    /// Returns the hashes of the engines that refused requests of this entry recently,
    /// to be broadcast to the other entries.
    pub fn refusing(&self, now: ClockTime) -> Vec<u64> {
        let refusing = self
            .engines
            .values()
            .filter(|state| now < state.local_refusal_until);
        refusing.map(|state| state.hash).collect()
    }

    /// Records that the engine refused a request of another entry.
    pub fn note_peer_refusal(&mut self, now: ClockTime, engine: u64) {
        let id = self.by_hash.get(&engine);
        if let Some(state) = id.and_then(|id| self.engines.get_mut(id)) {
            state.excluded_until = state.excluded_until.max(now + PEER_REFUSAL_PAUSE);
        }
    }

    /// Records that the engine rejected a request as one for the other stage: it has
    /// changed its stage, and its registration does not show that yet.
    pub fn note_wrong_stage(&mut self, id: &EndpointId) {
        if let Some(state) = self.engines.get_mut(id) {
            state.stage = match state.stage {
                Some(EngineStage::Decode) => Some(EngineStage::Prefill),
                Some(EngineStage::Prefill) => Some(EngineStage::Decode),
                None => None,
            };
            state.ordered_stage = None;
        }
    }

    /// Returns the load that this entry has placed on each engine, leaving out engines
    /// without any.
    pub fn local_loads(&self) -> Vec<PeerLoad> {
        let loads = self.engines.values().map(|state| PeerLoad {
            engine: state.hash,
            load: state.queue.local_load(),
        });
        loads.filter(|report| !report.load.is_empty()).collect()
    }

    /// Returns and clears the parts that were sent since the last call.
    pub fn take_unsent_parts(&mut self) -> Vec<PeerPart> {
        std::mem::take(&mut self.unsent_parts)
    }

    fn engine_with_hash(&mut self, engine: u64) -> Option<&mut EngineState> {
        let id = self.by_hash.get(&engine)?;
        self.engines.get_mut(id)
    }

    /// Stores the load that another entry reports. A report is complete, so the entry
    /// has no load on engines that the report does not name.
    pub fn note_peer(
        &mut self,
        now: ClockTime,
        peer: &InstanceId,
        loads: &[PeerLoad],
        parts: &[PeerPart],
    ) {
        let reported = loads.iter().map(|report| report.engine).collect();
        let earlier = self.reported_engines.insert(peer.clone(), reported);
        for engine in earlier.unwrap_or_default() {
            if let Some(state) = self.engine_with_hash(engine) {
                state.queue.note_peer(now, peer, EngineLoad::default());
            }
        }
        for report in loads {
            if let Some(state) = self.engine_with_hash(report.engine) {
                state.queue.note_peer(now, peer, report.load.clone());
            }
        }
        for report in parts {
            let id = self.by_hash.get(&report.engine);
            if let Some(state) = id.and_then(|id| self.engines.get(id)) {
                self.part_locations
                    .note_part(now, state.number, report.part);
            }
        }
    }
}
