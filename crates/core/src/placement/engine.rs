//! Choosing engines for a prompt: where it is prefilled and where it runs.
//!
//! Each engine is modelled as a queue of prefills: those that this entry sent and
//! that are not done, and those that the other entries say they have there. What
//! a prompt adds to a queue are the tokens that the engine doesn't hold. Entries
//! tell each other where they sent shared parts; what nobody has told is decided
//! by rendezvous hashing, so that entries agree before they have talked.
//!
//! The engine that runs a request is chosen when its prompt is prefilled: what
//! was known at its arrival may be a second old by then, and the engine may be
//! about to leave.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    clock::{ClockTime, TimeSpan},
    directory::{EndpointRegistration, EngineStage},
    ids::{EndpointId, FailureDomain, InstanceId, ServiceName},
    ingress::EngineRule,
    placement::{
        PartLocations, PromptWork,
        queue::{EngineLoad, EngineQueue, PRIORITY_RANKS},
    },
    routing::{EndpointHealth, RoutingSettings},
};

/// Tokens that an engine prefills in a ms, reckoned with until prefills are seen: a
/// low one, so that a new entry doesn't crowd an engine.
const FIRST_PREFILL_RATE: f64 = 55.0;
/// The bounds of what is believed of a measured rate, in tokens a ms.
const PREFILL_RATES: (f64, f64) = (5.0, 1_000.0);
/// The weight of the newest measurement of the prefill rate.
const RATE_WEIGHT: f64 = 0.05;
/// Prompts below this size measure the fixed cost rather than the rate.
const RATE_SAMPLE_TOKENS: f64 = 1_500.0;
/// The fixed time of a request before its first token, in ms.
const FIXED_MS: f64 = 20.0;
/// How much slower an engine of the decode stage prefills.
const DECODE_STAGE_SLOWDOWN: f64 = 2.0;
/// The fixed time of a hand-over between engines, in ms.
const HANDOVER_MS: f64 = 8.0;
/// How many times a hand-over takes longer between failure domains.
const FAR_HANDOVER: f64 = 2.0;
/// What prefill work costs beside its own time, per ms of it: it keeps others
/// waiting, and takes the place of what others would find. A weight that is too high
/// has a popular part flood one engine while others idle.
const WORK_WEIGHT: f64 = 0.5;
/// The share of a shared part that is taken to be held by its rendezvous engine
/// when nobody is known to have sent it there.
const RENDEZVOUS_TRUST: f64 = 0.5;
/// What a running request adds to the cost of an engine that decodes, in ms.
const RUNNING_MS: f64 = 1.0;
/// What a prefill on an engine of the decode stage costs those that run there, in
/// ms: each of their tokens waits for a piece of the prompt, which stretches their
/// pauses beyond what is on time.
const MIXED_MS: f64 = 1_000.0;
/// How long an engine that was ordered to change its stage is taken to be away,
/// unless it says sooner that it is back: it ends its work, is away for some 3 s,
/// and says so with its next heartbeat.
const SWITCH_PATIENCE: TimeSpan = TimeSpan::from_millis(7_000);
/// How long an engine that refused a request gets no other, at first: others would
/// be refused as well, and each refusal counts as a repeat. The pause doubles with
/// each refusal in a row, as an engine that changes its stage is away for seconds.
const REFUSAL_PAUSE: TimeSpan = TimeSpan::from_millis(150);
/// How often the pause doubles at most: to 1.2 s.
const REFUSAL_DOUBLINGS: u32 = 3;
/// How long an engine gets nothing that refused another entry.
const TOLD_REFUSAL_PAUSE: TimeSpan = TimeSpan::from_millis(400);
/// The least share of the engines that is considered for a request: two of some
/// hundred.
const LEAST_CONSIDERED: f64 = 0.005;
/// By how much costs are varied, so that entries with the same picture don't all
/// take the same engine.
const COST_NOISE: f64 = 0.05;

/// An endpoint that a request is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointTarget {
    /// The endpoint.
    pub id: EndpointId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Prefill work that a plan puts into an engine's queue.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefillPlan {
    /// The engine that prefills.
    pub engine: EndpointTarget,
    /// Whether the engine runs the request as well.
    pub runs_request: bool,
    /// The time that the prefill itself takes, in ms.
    pub work_ms: f64,
    /// Tokens of the prompt that the engine holds already.
    pub held_tokens: u64,
    /// Tokens to be prefilled.
    pub tokens: u64,
    /// When the first token is expected, from now.
    pub first_token: TimeSpan,
    rank: usize,
    was_idle: bool,
}

/// Names a prefill in an engine's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefillTicket(u64);

/// A request that looks for engines.
#[derive(Clone, Copy, Debug)]
pub struct PlanRequest<'a> {
    /// Its service.
    pub service: &'a ServiceName,
    /// What the operator says of the service's engines.
    pub rule: &'a EngineRule,
    /// Its prompt.
    pub work: &'a PromptWork,
    /// Its urgency, 0 being the first.
    pub priority: u8,
    /// Engines that it must not go to again.
    pub excluded: &'a [EndpointId],
    /// For how much longer its caller waits.
    pub time_left: TimeSpan,
}

impl PlanRequest<'_> {
    fn rank(&self) -> usize {
        usize::from(self.priority).min(PRIORITY_RANKS - 1)
    }
}

/// Why there is no engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlacementError {
    /// None is registered, or all were tried.
    #[error("no engine is left")]
    NoEngineLeft,
    /// On none of them would the first token come in time.
    #[error("the first token would come {late} too late on each engine")]
    TooLate {
        /// By how much, on the engine where it would come first.
        late: TimeSpan,
    },
}

/// What entries tell each other of one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerLoad {
    /// The engine, by the hash of its id.
    pub engine: u64,
    /// What the teller has there.
    pub load: EngineLoad,
}

/// A part of a prompt that was sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerPart {
    /// The engine, by the hash of its id.
    pub engine: u64,
    /// The part's id.
    pub part: u64,
}

#[derive(Clone, Debug)]
struct EngineState {
    number: u32,
    hash: u64,
    target: EndpointTarget,
    start: u64,
    service: ServiceName,
    domain: FailureDomain,
    stage: Option<EngineStage>,
    /// The stage that it was ordered to take, and when that was heard.
    ordered: Option<(EngineStage, ClockTime)>,
    /// Until when it is left alone because it refused work that it had room for.
    refuses_until: ClockTime,
    /// Until when that is so by this entry's own experience.
    refused_until: ClockTime,
    /// How often it refused in a row.
    refusals: u32,
    is_leaving: bool,
    queue: EngineQueue,
    health: EndpointHealth,
}

impl EngineState {
    fn prefill_slowdown(&self) -> f64 {
        match self.stage {
            Some(EngineStage::Decode) => DECODE_STAGE_SLOWDOWN,
            _ => 1.0,
        }
    }

    fn runs_requests(&self) -> bool {
        self.stage != Some(EngineStage::Prefill)
    }

    /// Whether it is away to change its stage. An order that was given may not have
    /// been heard, so after some time it is tried again as what it says it is.
    fn is_switching(&self, now: ClockTime) -> bool {
        self.ordered
            .is_some_and(|(stage, at)| self.stage != Some(stage) && now.since(at) < SWITCH_PATIENCE)
    }

    fn takes_work(&self, now: ClockTime) -> bool {
        !self.is_leaving && !self.is_switching(now)
    }

    /// Whether it has neither failed nor refused work lately.
    fn is_sound(&self, now: ClockTime) -> bool {
        !self.health.is_ejected(now) && now >= self.refuses_until
    }
}

/// What this entry knows of all engines.
#[derive(Clone, Debug)]
pub struct EngineTable {
    settings: RoutingSettings,
    random: ChaCha8Rng,
    books: BTreeMap<EndpointId, EngineState>,
    by_hash: BTreeMap<u64, EndpointId>,
    places: PartLocations,
    rates: BTreeMap<ServiceName, f64>,
    next_number: u32,
    next_ticket: u64,
    /// What has not been told to the other entries.
    untold: Vec<PeerPart>,
    silent_domains: BTreeSet<FailureDomain>,
    /// The share of the engines that is considered for a request.
    considered: f64,
}

/// The most parts that wait to be told; the oldest are dropped, which costs a
/// wrong guess.
const UNTOLD_LIMIT: usize = 256;

impl EngineTable {
    /// No engine.
    pub fn new(settings: RoutingSettings) -> EngineTable {
        EngineTable {
            settings,
            random: ChaCha8Rng::seed_from_u64(0),
            books: BTreeMap::new(),
            by_hash: BTreeMap::new(),
            places: PartLocations::new(),
            rates: BTreeMap::new(),
            next_number: 0,
            next_ticket: 0,
            untold: Vec::new(),
            silent_domains: BTreeSet::new(),
            considered: 1.0,
        }
    }

    /// Draws ties from `seed`.
    pub fn with_seed(mut self, seed: u64) -> EngineTable {
        self.random = ChaCha8Rng::seed_from_u64(seed);
        self
    }

    /// Takes a registration; a new start forgets what the engine held.
    pub fn set_engine(&mut self, now: ClockTime, registration: &EndpointRegistration) {
        let known = self.books.get_mut(&registration.id);
        if let Some(book) = known.filter(|book| book.start == registration.start) {
            if book.stage != registration.stage {
                book.stage = registration.stage;
                book.ordered = None;
            }
            book.is_leaving = registration.is_leaving;
            book.target.address = registration.address;
            return;
        }
        self.remove_engine(&registration.id);
        let hash = xxh3_64_with_seed(registration.id.as_str().as_bytes(), 0);
        // Preemptible engines prefill, and start in the other stage. Their order
        // comes within a second; what ran there until then would stand in its way.
        let awaits_order =
            registration.is_preemptible && registration.stage == Some(EngineStage::Decode);
        let book = EngineState {
            number: self.next_number,
            hash,
            target: EndpointTarget {
                id: registration.id.clone(),
                address: registration.address,
            },
            start: registration.start,
            service: registration.service.clone(),
            domain: registration.domain.clone(),
            stage: registration.stage,
            ordered: awaits_order.then_some((EngineStage::Prefill, now)),
            refuses_until: ClockTime::default(),
            refused_until: ClockTime::default(),
            refusals: 0,
            is_leaving: registration.is_leaving,
            queue: EngineQueue::new(),
            health: EndpointHealth::new(),
        };
        self.next_number += 1;
        self.by_hash.insert(hash, registration.id.clone());
        self.books.insert(registration.id.clone(), book);
    }

    /// The engine is gone.
    pub fn remove_engine(&mut self, id: &EndpointId) {
        if let Some(book) = self.books.remove(id) {
            self.places.forget_engine(book.number);
            self.by_hash.remove(&book.hash);
        }
    }

    /// Tokens that an engine of the service prefills in a ms, as measured.
    pub fn prefill_rate(&self, service: &ServiceName) -> f64 {
        let rate = self.rates.get(service).copied();
        rate.unwrap_or(FIRST_PREFILL_RATE)
    }

    /// Chooses the engine that prefills a request's prompt.
    pub fn plan(
        &mut self,
        now: ClockTime,
        ask: PlanRequest<'_>,
    ) -> Result<PrefillPlan, PlacementError> {
        for sound_only in [true, false] {
            if let Some(plan) = self.best_plan(now, ask, sound_only) {
                self.check_time(now, ask, sound_only, &plan)?;
                return Ok(plan);
            }
        }
        Err(PlacementError::NoEngineLeft)
    }

    /// Refuses what no engine can begin before its caller has left.
    ///
    /// In a flood prompts wait in the engines until their deadlines pass: callers wait
    /// for nothing, and prompts that are read for those who have left keep the next
    /// ones waiting. Whatever waits at one engine, another one may be free; so all are
    /// asked before a request is refused.
    fn check_time(
        &self,
        now: ClockTime,
        ask: PlanRequest<'_>,
        sound_only: bool,
        plan: &PrefillPlan,
    ) -> Result<(), PlacementError> {
        if plan.first_token <= ask.time_left {
            return Ok(());
        }
        let soonest = self.usable(now, ask, sound_only).map(|book| {
            let work_ms = self.prefill_at(now, book, &ask, false).work_ms;
            book.queue.wait_ms(now, ask.rank()) + work_ms
        });
        let soonest_ms = soonest.min_by(f64::total_cmp).unwrap_or_default();
        let soonest = TimeSpan::from_millis(soonest_ms as u64);
        match soonest > ask.time_left {
            true => Err(PlacementError::TooLate {
                late: soonest.less(ask.time_left),
            }),
            false => Ok(()),
        }
    }

    fn best_plan(
        &mut self,
        now: ClockTime,
        ask: PlanRequest<'_>,
        sound_only: bool,
    ) -> Option<PrefillPlan> {
        let books: Vec<&EngineState> = self.usable(now, ask, sound_only).collect();
        let handover_ms = books
            .iter()
            .filter(|book| book.runs_requests())
            .map(|book| run_cost_ms(now, book, None, ask))
            .min_by(f64::total_cmp)?;
        let preferred = rendezvous(&books, ask.work);
        let mut costs: Vec<(f64, PrefillPlan)> = Vec::with_capacity(books.len());
        let share = self.considered;
        let mut random = self.random.clone();
        for (place, book) in books.iter().enumerate() {
            // Of the last two, both are taken if nobody else was.
            let is_needed = costs.len() + (books.len() - place) <= 2;
            let is_drawn = is_needed || random.random_bool(share);
            let is_near = preferred == Some(book.number)
                || self.places.held(now, book.number, &ask.work.parts) > 0;
            if !is_drawn && !is_near {
                continue;
            }
            let mut plan = self.prefill_at(now, book, &ask, preferred == Some(book.number));
            let wait_ms = book.queue.wait_ms(now, ask.rank());
            let rest_ms = match book.stage {
                Some(EngineStage::Decode) => MIXED_MS,
                Some(EngineStage::Prefill) => handover_ms,
                None => f64::from(book.queue.running(now)) * RUNNING_MS,
            };
            let first_token_ms = wait_ms + plan.work_ms + FIXED_MS + rest_ms;
            plan.first_token = TimeSpan::from_millis(first_token_ms as u64);
            costs.push((first_token_ms + WORK_WEIGHT * plan.work_ms, plan));
        }
        self.random = random;
        self.least(costs)
    }

    fn usable<'a>(
        &'a self,
        now: ClockTime,
        ask: PlanRequest<'a>,
        sound_only: bool,
    ) -> impl Iterator<Item = &'a EngineState> {
        self.books.values().filter(move |book| {
            book.service == *ask.service
                && book.takes_work(now)
                && !ask.excluded.contains(&book.target.id)
                && (!sound_only || self.is_sound(now, book))
        })
    }

    fn is_sound(&self, now: ClockTime, book: &EngineState) -> bool {
        book.is_sound(now) && !self.silent_domains.contains(&book.domain)
    }

    /// Sets the share of the engines that is considered for a request, besides those
    /// that hold something of its prompt.
    ///
    /// Entries hear of each other's work with a delay. If all of them took the least
    /// busy engine of all, everything that arrives in that time would go to the same
    /// few, and streams there would stall while others idle. Of a part drawn at
    /// random each takes another one; two candidates are nearly as good as all of
    /// them would be if everything were known.
    pub fn set_candidate_share(&mut self, share: f64) {
        self.considered = share.clamp(LEAST_CONSIDERED, 1.0);
    }

    /// Failure domains that seem to be cut off from here; their engines are taken
    /// only if there are no others.
    pub fn set_unreachable_domains(&mut self, domains: BTreeSet<FailureDomain>) {
        self.silent_domains = domains;
    }

    fn prefill_at(
        &self,
        now: ClockTime,
        book: &EngineState,
        ask: &PlanRequest<'_>,
        is_preferred: bool,
    ) -> PrefillPlan {
        let held = self.places.held(now, book.number, &ask.work.parts);
        let shared: u64 = ask.work.shared().iter().map(|part| part.tokens).sum();
        let believed = if is_preferred && held < shared {
            let missing = (shared - held) as f64;
            held + (missing * RENDEZVOUS_TRUST) as u64
        } else {
            held
        };
        let prompt = ask.work.prompt.count();
        let tokens = prompt.saturating_sub(believed).max(1);
        let rate = self.prefill_rate(ask.service) / book.prefill_slowdown();
        PrefillPlan {
            engine: book.target.clone(),
            runs_request: book.runs_requests(),
            work_ms: tokens as f64 / rate,
            held_tokens: believed,
            tokens,
            first_token: TimeSpan::ZERO,
            rank: ask.rank(),
            was_idle: book.queue.is_idle(now),
        }
    }

    /// Chooses the engine that runs a request whose prompt lies at `source`.
    pub fn choose_runner(
        &mut self,
        now: ClockTime,
        ask: PlanRequest<'_>,
        source: &EndpointId,
    ) -> Result<EndpointTarget, PlacementError> {
        let domain = self.books.get(source).map(|book| book.domain.clone());
        for sound_only in [true, false] {
            let runners = self.usable(now, ask, sound_only);
            let runners = runners.filter(|book| book.runs_requests());
            let costs = runners.map(|book| {
                let cost = run_cost_ms(now, book, domain.as_ref(), ask);
                (cost, book.target.clone())
            });
            let mut costs: Vec<(f64, EndpointTarget)> = costs.collect();
            let count = (costs.len() as f64 * self.considered).ceil() as usize;
            self.draw(&mut costs, count.max(2));
            if let Some(target) = self.least(costs) {
                return Ok(target);
            }
        }
        Err(PlacementError::NoEngineLeft)
    }

    /// Keeps `count` of the candidates, drawn at random.
    fn draw<Candidate>(&mut self, candidates: &mut Vec<Candidate>, count: usize) {
        while candidates.len() > count {
            let place = self.random.random_range(0..candidates.len());
            candidates.swap_remove(place);
        }
    }

    /// The candidate that costs least, with a little noise.
    fn least<Candidate>(&mut self, costs: Vec<(f64, Candidate)>) -> Option<Candidate> {
        let noisy = costs.into_iter().map(|(cost, candidate)| {
            let noise = self.random.random_range(1.0..1.0 + COST_NOISE);
            (cost * noise, candidate)
        });
        let best = noisy.min_by(|one, two| one.0.total_cmp(&two.0));
        best.map(|(_, candidate)| candidate)
    }

    /// The prefill was sent: it lengthens the engine's queue, and its parts will
    /// be held there.
    pub fn prefill_sent(
        &mut self,
        now: ClockTime,
        plan: &PrefillPlan,
        work: &PromptWork,
    ) -> PrefillTicket {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        if let Some(book) = self.books.get_mut(&plan.engine.id) {
            book.queue.push(now, ticket, plan.rank, plan.work_ms);
            self.places.note(now, book.number, &work.parts);
            let told = work.shared().iter().map(|part| PeerPart {
                engine: book.hash,
                part: part.id,
            });
            self.untold.extend(told);
            let excess = self.untold.len().saturating_sub(UNTOLD_LIMIT);
            self.untold.drain(..excess);
        }
        PrefillTicket(ticket)
    }

    /// The prefill is done: its first token or its handle came.
    pub fn prefill_done(
        &mut self,
        now: ClockTime,
        plan: &PrefillPlan,
        ticket: PrefillTicket,
        sent: ClockTime,
    ) {
        let Some(book) = self.books.get_mut(&plan.engine.id) else {
            return;
        };
        book.queue.remove(now, ticket.0);
        book.health.note_success(now, &self.settings);
        book.refusals = 0;
        let slowdown = book.prefill_slowdown();
        let service = book.service.clone();
        let tokens = plan.tokens as f64;
        let took = now.since(sent).as_millis() as f64 - FIXED_MS;
        if !plan.was_idle || tokens < RATE_SAMPLE_TOKENS || took < 1.0 {
            return;
        }
        let rate = self.rates.entry(service).or_insert(FIRST_PREFILL_RATE);
        let measured = (tokens / took * slowdown).clamp(PREFILL_RATES.0, PREFILL_RATES.1);
        *rate += RATE_WEIGHT * (measured - *rate);
    }

    /// The prefill will not be done there: it was refused, failed or given up.
    pub fn prefill_dropped(&mut self, now: ClockTime, plan: &PrefillPlan, ticket: PrefillTicket) {
        if let Some(book) = self.books.get_mut(&plan.engine.id) {
            book.queue.remove(now, ticket.0);
        }
    }

    /// A request began to run on the engine.
    pub fn run_started(&mut self, id: &EndpointId) {
        if let Some(book) = self.books.get_mut(id) {
            book.queue.run_started();
        }
    }

    /// A request no longer runs on the engine.
    pub fn run_ended(&mut self, id: &EndpointId) {
        if let Some(book) = self.books.get_mut(id) {
            book.queue.run_ended();
        }
    }

    /// The engine served a request to its end.
    pub fn succeeded(&mut self, now: ClockTime, id: &EndpointId) {
        if let Some(book) = self.books.get_mut(id) {
            book.health.note_success(now, &self.settings);
            book.refusals = 0;
        }
    }

    /// The engine failed, refused or fell silent. Answers the length of an ejection.
    pub fn failed(&mut self, now: ClockTime, id: &EndpointId) -> Option<TimeSpan> {
        let book = self.books.get_mut(id)?;
        book.health
            .note_failure(now, &self.settings, &mut self.random)
    }

    /// The engine was ordered to change its stage.
    pub fn stage_ordered(&mut self, now: ClockTime, engine: u64, stage: EngineStage) {
        let id = self.by_hash.get(&engine);
        let Some(book) = id.and_then(|id| self.books.get_mut(id)) else {
            return;
        };
        // The order is told several times; its time is that of the first.
        if book.ordered.is_none_or(|(known, _)| known != stage) {
            book.ordered = Some((stage, now));
        }
    }

    /// The hash that entries name the engine by.
    pub fn hash(&self, id: &EndpointId) -> Option<u64> {
        self.books.get(id).map(|book| book.hash)
    }

    /// The engine refused a request without running it.
    pub fn refused(&mut self, now: ClockTime, id: &EndpointId) {
        if let Some(book) = self.books.get_mut(id) {
            let doublings = book.refusals.min(REFUSAL_DOUBLINGS);
            book.refused_until = now + REFUSAL_PAUSE.times(1 << doublings);
            book.refuses_until = book.refuses_until.max(book.refused_until);
            book.refusals += 1;
        }
    }

    /// The engines that refused this entry lately, for the others to know.
    pub fn refusing(&self, now: ClockTime) -> Vec<u64> {
        let refusing = self.books.values().filter(|book| now < book.refused_until);
        refusing.map(|book| book.hash).collect()
    }

    /// Another entry was refused by the engine.
    pub fn note_peer_refusal(&mut self, now: ClockTime, engine: u64) {
        let id = self.by_hash.get(&engine);
        if let Some(book) = id.and_then(|id| self.books.get_mut(id)) {
            book.refuses_until = book.refuses_until.max(now + TOLD_REFUSAL_PAUSE);
        }
    }

    /// The engine says that requests like the last one are not for its stage: it
    /// has changed it, and its registration does not say so yet.
    pub fn note_wrong_stage(&mut self, id: &EndpointId) {
        if let Some(book) = self.books.get_mut(id) {
            book.stage = match book.stage {
                Some(EngineStage::Decode) => Some(EngineStage::Prefill),
                Some(EngineStage::Prefill) => Some(EngineStage::Decode),
                None => None,
            };
            book.ordered = None;
        }
    }

    /// What this entry has at each engine where it has anything.
    pub fn local_loads(&self) -> Vec<PeerLoad> {
        let loads = self.books.values().map(|book| PeerLoad {
            engine: book.hash,
            load: book.queue.own(),
        });
        loads.filter(|told| !told.load.is_empty()).collect()
    }

    /// The parts that were sent since this was last asked.
    pub fn take_unsent_parts(&mut self) -> Vec<PeerPart> {
        std::mem::take(&mut self.untold)
    }

    /// Another entry told what it has at engines: everything, so engines that it
    /// does not name have nothing of it.
    pub fn note_peer(
        &mut self,
        now: ClockTime,
        peer: &InstanceId,
        loads: &[PeerLoad],
        parts: &[PeerPart],
    ) {
        for book in self.books.values_mut() {
            let told = loads.iter().find(|told| told.engine == book.hash);
            let load = told.map(|told| told.load.clone()).unwrap_or_default();
            book.queue.note_peer(now, peer, load);
        }
        for told in parts {
            let id = self.by_hash.get(&told.engine);
            if let Some(book) = id.and_then(|id| self.books.get(id)) {
                self.places.note_id(now, book.number, told.part);
            }
        }
    }
}

/// What running a request on an engine costs until its next token: the hand-over
/// from `source`, the prefills that the engine has to do itself, and its batch.
fn run_cost_ms(
    now: ClockTime,
    book: &EngineState,
    source: Option<&FailureDomain>,
    ask: PlanRequest<'_>,
) -> f64 {
    let bytes = ask.work.prompt.count() * ask.rule.token_bytes.count();
    let transfer_ms = bytes as f64 / ask.rule.link_bytes_per_ms.max(1) as f64;
    let is_far = source.is_some_and(|source| *source != book.domain);
    let far = if is_far { FAR_HANDOVER } else { 1.0 };
    let wait_ms = book.queue.wait_ms(now, ask.rank());
    let running_ms = f64::from(book.queue.running(now)) * RUNNING_MS;
    HANDOVER_MS + transfer_ms * far + wait_ms + running_ms
}

/// The engine that all entries take the last shared part to belong to: of the
/// engines that prefill at full speed, the one with the greatest hash.
fn rendezvous(books: &[&EngineState], work: &PromptWork) -> Option<u32> {
    let part = work.shared().last()?;
    let has_fast = books.iter().any(|book| book.prefill_slowdown() == 1.0);
    let candidates = books
        .iter()
        .filter(|book| !has_fast || book.prefill_slowdown() == 1.0);
    let score = |book: &&&EngineState| xxh3_64_with_seed(&book.hash.to_le_bytes(), part.id);
    candidates.max_by_key(score).map(|book| book.number)
}
