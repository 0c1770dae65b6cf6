//! Choosing engines for a prompt: where it is prefilled and where it runs.
//!
//! Each engine is modelled as a queue of prefills. What this entry sends
//! lengthens the queue by the tokens that the engine doesn't hold, and each
//! prefill that ends corrects the model by how far it was off, which also tells
//! what other entries sent there. Entries that know nothing of each other still
//! agree on where a shared part belongs, by rendezvous hashing; the queues bound
//! how far that goes.

use std::{collections::BTreeMap, net::SocketAddr};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    clock::{ClockTime, TimeSpan},
    directory::{EndpointRegistration, EngineStage},
    ids::{EndpointId, FailureDomain, ServiceName},
    ingress::EngineRule,
    placement::{PartPlaces, PromptWork},
    routing::{EndpointHealth, RoutingSettings},
};

/// Tokens that an engine prefills in a ms until it has been measured: the lower
/// of the users' two kinds of engine.
const FIRST_PREFILL_RATE: f64 = 55.0;
/// The bounds of what is believed of a measured rate, in tokens a ms.
const PREFILL_RATES: (f64, f64) = (5.0, 1_000.0);
/// The weight of the newest measurement of the prefill rate.
const RATE_WEIGHT: f64 = 0.05;
/// Prompts below this size measure the fixed cost rather than the rate.
const RATE_SAMPLE_TOKENS: f64 = 1_500.0;
/// The fixed time of a request before its first token, in ms.
const FIXED_MS: f64 = 20.0;
/// How much slower an engine of the decode stage prefills, as the users say.
const DECODE_STAGE_SLOWDOWN: f64 = 2.0;
/// The fixed time of a hand-over between engines, in ms.
const HANDOVER_MS: f64 = 8.0;
/// How many times a hand-over takes longer between failure domains.
const FAR_HANDOVER: f64 = 2.0;
/// What prefill work costs beside its own time, per ms of it: it keeps others
/// waiting. A whole ms would be right at full load.
const WORK_WEIGHT: f64 = 0.5;
/// The part of a correction that is believed at once.
const CORRECTION_WEIGHT: f64 = 0.5;
/// How far ahead a queue is believed to reach at most, in ms.
const QUEUE_LIMIT_MS: f64 = 20_000.0;
/// The share of a shared part that is taken to be held by its rendezvous engine
/// when this entry has not sent it there itself.
const RENDEZVOUS_TRUST: f64 = 0.6;
/// How many ranks of urgency have a queue of their own; less urgent ones share
/// the last.
const RANKS: usize = 4;
/// What a running request adds to the cost of a decode engine, in ms.
const RUNNING_MS: f64 = 1.0;

/// An engine that takes part in a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineTarget {
    /// The engine.
    pub id: EndpointId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Prefill work that a plan puts into an engine's queue.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedPrefill {
    /// The engine that prefills.
    pub engine: EngineTarget,
    /// The time that the prefill itself takes, in ms.
    pub work_ms: f64,
    /// Tokens of the prompt that the engine holds already.
    pub held: u64,
    /// When it is expected to be done, on the clock of the books, in ms.
    pub done_at_ms: f64,
    /// Tokens to be prefilled.
    pub tokens: u64,
    /// Its urgency, 0 being the first.
    rank: usize,
    /// Whether the engine's queue was empty as far as known.
    was_idle: bool,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub struct EnginePlan {
    /// The prefill: at the engine that runs the request, or at another.
    pub prefill: PlannedPrefill,
    /// The engine that runs it.
    pub run: EngineTarget,
    /// When its first token is expected, from now.
    pub first_token: TimeSpan,
}

impl EnginePlan {
    /// Whether the prompt is handed over from another engine.
    pub fn has_handover(&self) -> bool {
        self.prefill.engine.id != self.run.id
    }
}

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
    pub tried: &'a [EndpointId],
}

/// Why there is no engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoEngine {
    /// None is registered, or all were tried.
    #[error("no engine is left")]
    NoneLeft,
}

#[derive(Clone, Debug)]
struct EngineBook {
    number: u32,
    target: EngineTarget,
    start: u64,
    service: ServiceName,
    domain: FailureDomain,
    stage: Option<EngineStage>,
    is_leaving: bool,
    /// When all prefills of this urgency or a greater one will be done.
    queue_end_ms: [f64; RANKS],
    running: u32,
    health: EndpointHealth,
}

impl EngineBook {
    fn prefill_slowdown(&self) -> f64 {
        match self.stage {
            Some(EngineStage::Decode) => DECODE_STAGE_SLOWDOWN,
            _ => 1.0,
        }
    }

    fn runs_requests(&self) -> bool {
        self.stage != Some(EngineStage::Prefill)
    }
}

/// What this entry knows of all engines.
#[derive(Clone, Debug)]
pub struct EngineBooks {
    settings: RoutingSettings,
    random: ChaCha8Rng,
    books: BTreeMap<EndpointId, EngineBook>,
    places: PartPlaces,
    rates: BTreeMap<ServiceName, f64>,
    next_number: u32,
}

impl EngineBooks {
    /// No engine.
    pub fn new(settings: RoutingSettings) -> EngineBooks {
        EngineBooks {
            settings,
            random: ChaCha8Rng::seed_from_u64(0),
            books: BTreeMap::new(),
            places: PartPlaces::new(),
            rates: BTreeMap::new(),
            next_number: 0,
        }
    }

    /// Draws ties from `seed`.
    pub fn with_seed(mut self, seed: u64) -> EngineBooks {
        self.random = ChaCha8Rng::seed_from_u64(seed);
        self
    }

    /// Takes a registration; a new start forgets what the engine held.
    pub fn set_engine(&mut self, registration: &EndpointRegistration) {
        let known = self.books.get_mut(&registration.id);
        if let Some(book) = known.filter(|book| book.start == registration.start) {
            book.stage = registration.stage;
            book.is_leaving = registration.is_leaving;
            book.target.address = registration.address;
            return;
        }
        self.remove_engine(&registration.id);
        let book = EngineBook {
            number: self.next_number,
            target: EngineTarget {
                id: registration.id.clone(),
                address: registration.address,
            },
            start: registration.start,
            service: registration.service.clone(),
            domain: registration.domain.clone(),
            stage: registration.stage,
            is_leaving: registration.is_leaving,
            queue_end_ms: [0.0; RANKS],
            running: 0,
            health: EndpointHealth::new(),
        };
        self.next_number += 1;
        self.books.insert(registration.id.clone(), book);
    }

    /// The engine is gone.
    pub fn remove_engine(&mut self, id: &EndpointId) {
        if let Some(book) = self.books.remove(id) {
            self.places.forget_engine(book.number);
        }
    }

    /// Tokens that an engine of the service prefills in a ms, as measured.
    pub fn prefill_rate(&self, service: &ServiceName) -> f64 {
        self.rates
            .get(service)
            .copied()
            .unwrap_or(FIRST_PREFILL_RATE)
    }

    /// Chooses the engines for a request.
    pub fn plan(&mut self, now: ClockTime, ask: PlanRequest<'_>) -> Result<EnginePlan, NoEngine> {
        for sound_only in [true, false] {
            if let Some(plan) = self.best_plan(now, ask, sound_only) {
                return Ok(plan);
            }
        }
        Err(NoEngine::NoneLeft)
    }

    fn best_plan(
        &mut self,
        now: ClockTime,
        ask: PlanRequest<'_>,
        sound_only: bool,
    ) -> Option<EnginePlan> {
        let usable = |book: &&EngineBook| {
            book.service == *ask.service
                && !book.is_leaving
                && !ask.tried.contains(&book.target.id)
                && !(sound_only && book.health.is_ejected(now))
        };
        let books: Vec<&EngineBook> = self.books.values().filter(usable).collect();
        let runners: Vec<&EngineBook> = books
            .iter()
            .filter(|b| b.runs_requests())
            .copied()
            .collect();
        if runners.is_empty() {
            return None;
        }
        let preferred = rendezvous(&books, ask.work);
        let mut best: Option<(f64, EnginePlan)> = None;
        for book in &books {
            let prefill = self.prefill_at(now, book, &ask, preferred == Some(book.number));
            let prefill_ms = prefill.done_at_ms - now.as_millis() as f64;
            let (run, handover_ms) = if book.runs_requests() {
                (*book, 0.0)
            } else {
                let spread = self.random.random_range(0..runners.len());
                cheapest_runner(now, book, &runners, ask, spread)
            };
            let first_token = prefill_ms + handover_ms;
            let running = f64::from(run.running) * RUNNING_MS;
            let cost = first_token + running + WORK_WEIGHT * prefill.work_ms;
            if best.as_ref().is_some_and(|(least, _)| *least <= cost) {
                continue;
            }
            let plan = EnginePlan {
                prefill,
                run: run.target.clone(),
                first_token: TimeSpan::from_millis(first_token.max(0.0) as u64),
            };
            best = Some((cost, plan));
        }
        best.map(|(_, plan)| plan)
    }

    fn prefill_at(
        &self,
        now: ClockTime,
        book: &EngineBook,
        ask: &PlanRequest<'_>,
        is_preferred: bool,
    ) -> PlannedPrefill {
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
        let work_ms = tokens as f64 / rate;
        let now_ms = now.as_millis() as f64;
        let rank = usize::from(ask.priority).min(RANKS - 1);
        let start_ms = book.queue_end_ms[rank].max(now_ms);
        PlannedPrefill {
            engine: book.target.clone(),
            work_ms,
            held: believed,
            done_at_ms: start_ms + work_ms + FIXED_MS,
            tokens,
            rank,
            was_idle: book.queue_end_ms[RANKS - 1] <= now_ms,
        }
    }

    /// The prefill was sent: it lengthens the engine's queue, and its parts will
    /// be held there.
    pub fn prefill_sent(&mut self, now: ClockTime, prefill: &PlannedPrefill, work: &PromptWork) {
        let Some(book) = self.books.get_mut(&prefill.engine.id) else {
            return;
        };
        let now_ms = now.as_millis() as f64;
        for end_ms in &mut book.queue_end_ms[prefill.rank..] {
            let end = end_ms.max(now_ms) + prefill.work_ms;
            *end_ms = end.min(now_ms + QUEUE_LIMIT_MS);
        }
        self.places.note(now, book.number, &work.parts);
    }

    /// The prefill is done: its first token or its handle came.
    pub fn prefill_done(&mut self, now: ClockTime, prefill: &PlannedPrefill, sent: ClockTime) {
        let Some(book) = self.books.get_mut(&prefill.engine.id) else {
            return;
        };
        let now_ms = now.as_millis() as f64;
        let late_ms = now_ms - prefill.done_at_ms;
        for end_ms in &mut book.queue_end_ms[prefill.rank..] {
            let corrected = *end_ms + CORRECTION_WEIGHT * late_ms;
            *end_ms = corrected.clamp(now_ms - 1.0, now_ms + QUEUE_LIMIT_MS);
        }
        book.health.succeed(now, &self.settings);
        let slowdown = book.prefill_slowdown();
        let service = book.service.clone();
        let tokens = prefill.tokens as f64;
        let took = now.since(sent).as_millis() as f64 - FIXED_MS;
        if !prefill.was_idle || tokens < RATE_SAMPLE_TOKENS || took < 1.0 {
            return;
        }
        let rate = self.rates.entry(service).or_insert(FIRST_PREFILL_RATE);
        let measured = (tokens / took * slowdown).clamp(PREFILL_RATES.0, PREFILL_RATES.1);
        *rate += RATE_WEIGHT * (measured - *rate);
    }

    /// The prefill will not be done there: it was refused, failed or given up.
    pub fn prefill_dropped(&mut self, prefill: &PlannedPrefill) {
        if let Some(book) = self.books.get_mut(&prefill.engine.id) {
            for end_ms in &mut book.queue_end_ms[prefill.rank..] {
                *end_ms -= prefill.work_ms;
            }
        }
    }

    /// A request began to run on the engine.
    pub fn run_started(&mut self, id: &EndpointId) {
        if let Some(book) = self.books.get_mut(id) {
            book.running += 1;
        }
    }

    /// A request no longer runs on the engine.
    pub fn run_ended(&mut self, id: &EndpointId) {
        if let Some(book) = self.books.get_mut(id) {
            book.running = book.running.saturating_sub(1);
        }
    }

    /// The engine served a request to its end.
    pub fn succeeded(&mut self, now: ClockTime, id: &EndpointId) {
        if let Some(book) = self.books.get_mut(id) {
            book.health.succeed(now, &self.settings);
        }
    }

    /// The engine failed, refused or fell silent. Answers the length of an ejection.
    pub fn failed(&mut self, now: ClockTime, id: &EndpointId) -> Option<TimeSpan> {
        let book = self.books.get_mut(id)?;
        book.health.fail(now, &self.settings, &mut self.random)
    }
}

fn cheapest_runner<'a>(
    now: ClockTime,
    prefill: &EngineBook,
    runners: &[&'a EngineBook],
    ask: PlanRequest<'_>,
    first: usize,
) -> (&'a EngineBook, f64) {
    let bytes = ask.work.prompt.count() * ask.rule.token_bytes.count();
    let transfer_ms = bytes as f64 / ask.rule.link_bytes_per_ms.max(1) as f64;
    let now_ms = now.as_millis() as f64;
    let cost = |book: &EngineBook| {
        let far = if book.domain == prefill.domain {
            1.0
        } else {
            FAR_HANDOVER
        };
        HANDOVER_MS + transfer_ms * far + (book.queue_end_ms[RANKS - 1] - now_ms).max(0.0)
    };
    let mut best = (runners[first], cost(runners[first]));
    let load = |book: &EngineBook, cost: f64| cost + f64::from(book.running) * RUNNING_MS;
    for step in 1..runners.len() {
        let book = runners[(first + step) % runners.len()];
        let book_cost = cost(book);
        if load(book, book_cost) < load(best.0, best.1) {
            best = (book, book_cost);
        }
    }
    best
}

/// The engine that all entries take the last shared part to belong to: of the
/// engines that prefill at full speed, the one with the greatest hash.
fn rendezvous(books: &[&EngineBook], work: &PromptWork) -> Option<u32> {
    let part = work.shared().last()?;
    let fast = books.iter().any(|book| book.prefill_slowdown() == 1.0);
    let candidates = books
        .iter()
        .filter(|book| !fast || book.prefill_slowdown() == 1.0);
    let score =
        |book: &&&EngineBook| xxh3_64_with_seed(book.target.id.as_str().as_bytes(), part.id);
    candidates.max_by_key(score).map(|book| book.number)
}
