//! The admission queue of one entry: its pools, its organisations' limits and
//! what it served of each.

mod refusals;
mod shares;

use std::collections::{BTreeMap, BTreeSet};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    admission::{
        AdmissionAction, AdmissionRequest, AdmissionSettings, OrganisationLimits, PoolCapacity,
        PoolStatus,
        pool::{PoolQueue, QueuePlace, QueuedWork},
        token_cost,
    },
    clock::{ClockTime, TimeSpan},
    config::WorkPriority,
    ids::{InstanceId, OrganisationId, RequestId},
    routing::RoutePool,
    units::{ShareWeight, TokenCount, TokenRate},
};

/// How often queued work is compared with its deadlines.
const REVIEW_PERIOD: TimeSpan = TimeSpan::from_millis(250);
/// The share of the allowed output that is expected at first, in thousandths.
const FIRST_OUTPUT_SHARE: u64 = 500;
/// How much a new answer's length counts for the expected output, in thousandths.
const OUTPUT_SHARE_GAIN: u64 = 20;
/// How many organisations may be remembered before idle ones are forgotten.
const SWEEP_SIZE: usize = 1_024;

type ShareKey = (RoutePool, OrganisationId);

#[derive(Clone, Debug)]
struct KnownRequest {
    ask: AdmissionRequest,
    cost: TokenCount,
    latest_start: ClockTime,
    /// Its place in the queue; none once it runs.
    place: Option<QueuePlace>,
    /// The counter units that it was charged at its start.
    charged: u64,
    /// When it started, until its first token came.
    unanswered_since: Option<ClockTime>,
}

/// Decides who starts at one entry, and whom it refuses.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    settings: AdmissionSettings,
    random: ChaCha8Rng,
    limits: BTreeMap<OrganisationId, OrganisationLimits>,
    in_flight: BTreeMap<OrganisationId, u32>,
    pools: BTreeMap<RoutePool, PoolQueue>,
    output_share: BTreeMap<RoutePool, u64>,
    requests: BTreeMap<RequestId, KnownRequest>,
    deadlines: BTreeSet<(ClockTime, RequestId)>,
    unsent: BTreeMap<ShareKey, u64>,
    peers: BTreeMap<InstanceId, ClockTime>,
    next_place: u64,
    reviewed_at: Option<ClockTime>,
}

impl AdmissionQueue {
    /// An empty queue.
    pub fn new(settings: AdmissionSettings) -> AdmissionQueue {
        AdmissionQueue {
            settings,
            random: ChaCha8Rng::seed_from_u64(0),
            limits: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            pools: BTreeMap::new(),
            output_share: BTreeMap::new(),
            requests: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            unsent: BTreeMap::new(),
            peers: BTreeMap::new(),
            next_place: 0,
            reviewed_at: None,
        }
    }

    /// Draws the jitter of `Retry-After` from `seed`.
    pub fn with_seed(mut self, seed: u64) -> AdmissionQueue {
        self.random = ChaCha8Rng::seed_from_u64(seed);
        self
    }

    /// Sets what an organisation may have. Work that already waits keeps the
    /// weight that it came with.
    pub fn set_limits(&mut self, organisation: OrganisationId, limits: OrganisationLimits) {
        self.limits.insert(organisation, limits);
    }

    /// Forgets an organisation's limits; the default ones hold again.
    pub fn remove_limits(&mut self, organisation: &OrganisationId) {
        self.limits.remove(organisation);
    }

    /// Sets this entry's part of a pool, and starts or refuses what follows.
    pub fn set_capacity(
        &mut self,
        now: ClockTime,
        pool: &RoutePool,
        capacity: PoolCapacity,
    ) -> Vec<AdmissionAction> {
        match self.pools.get_mut(pool) {
            Some(queue) if queue.capacity == capacity => return Vec::new(),
            Some(queue) => queue.set_capacity(capacity),
            None => {
                let queue = PoolQueue::new(now, capacity);
                self.pools.insert(pool.clone(), queue);
            }
        }
        self.reviewed_at = None;
        self.advance(now)
    }

    /// Takes a request: it starts, is queued or is refused. A second request
    /// with an id that is in progress is the caller's fault and is ignored.
    pub fn offer(&mut self, now: ClockTime, ask: AdmissionRequest) -> Vec<AdmissionAction> {
        let mut actions = self.advance(now);
        if self.requests.contains_key(&ask.request) {
            return actions;
        }
        match self.check(now, &ask) {
            Ok(known) => {
                self.enqueue(now, known);
                self.start_ready(now, &mut actions);
            }
            Err((reason, wait)) => actions.push(self.refusal(ask.request, reason, wait)),
        }
        actions
    }

    /// The first token of a started request came. Entries that never say so start
    /// as many requests as they have slots.
    pub fn note_first_token(
        &mut self,
        now: ClockTime,
        request: &RequestId,
    ) -> Vec<AdmissionAction> {
        if let Some(known) = self.requests.get_mut(request)
            && let Some(started) = known.unanswered_since.take()
            && let Some(pool) = self.pools.get_mut(&known.ask.pool)
        {
            let took = Some(now.since(started));
            pool.answered(now, known.ask.priority, took, self.settings.start_target);
        }
        self.advance(now)
    }

    /// The caller is gone. Queued work is dropped; running work counts as ended
    /// with `delivered` output tokens.
    pub fn cancel(
        &mut self,
        now: ClockTime,
        request: &RequestId,
        delivered: TokenCount,
    ) -> Vec<AdmissionAction> {
        self.finish(now, request, delivered)
    }

    /// The request ended with `delivered` output tokens: the estimated cost is
    /// replaced by the real one, and the slot is free.
    pub fn finish(
        &mut self,
        now: ClockTime,
        request: &RequestId,
        delivered: TokenCount,
    ) -> Vec<AdmissionAction> {
        let Some(known) = self.requests.get(request).cloned() else {
            return self.advance(now);
        };
        match known.place {
            Some(_) => {
                self.unqueue(request);
            }
            None => self.settle(now, &known, delivered),
        }
        self.advance(now)
    }

    /// Lets time pass: refuses what has become too late, and starts what can be.
    pub fn advance(&mut self, now: ClockTime) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        self.refuse_expired(now, &mut actions);
        let due = |reviewed_at| now.since(reviewed_at) >= REVIEW_PERIOD;
        if self.reviewed_at.is_none_or(due) {
            self.reviewed_at = Some(now);
            self.review(now, &mut actions);
        }
        self.start_ready(now, &mut actions);
        actions
    }

    /// When [`AdmissionQueue::advance`] must be called next, if nothing happens.
    pub fn next_wake(&self) -> Option<ClockTime> {
        let (deadline, _) = self.deadlines.first()?;
        let expiry = *deadline + TimeSpan::from_millis(1);
        let review = self.reviewed_at.map(|at| at + REVIEW_PERIOD);
        Some(review.map_or(expiry, |review| review.min(expiry)))
    }

    /// The state of each pool, for dumps and metrics.
    pub fn status(&self) -> Vec<PoolStatus> {
        let nobody = OrganisationId::new("-").expect("a dash is an identifier");
        let weight = self.settings.default_limits.weight;
        let status = |(pool, queue): (&RoutePool, &PoolQueue)| PoolStatus {
            pool: pool.clone(),
            slots: queue.capacity.slots,
            running: queue.running,
            window: queue.window.limit(),
            queued: queue.queued(),
            waiting_organisations: queue.waiting_organisations(),
            token_rate: TokenRate::new(queue.rate()),
            wait: queue.wait(&nobody, weight, WorkPriority::Interactive, 0),
        };
        self.pools.iter().map(status).collect()
    }

    /// How many organisations' counters are remembered, over all pools.
    pub fn tracked_organisations(&self) -> usize {
        self.pools.values().map(|pool| pool.counters.len()).sum()
    }

    fn limits_of(&self, organisation: &OrganisationId) -> OrganisationLimits {
        self.limits
            .get(organisation)
            .copied()
            .unwrap_or(self.settings.default_limits)
    }

    fn expected_cost(&self, ask: &AdmissionRequest) -> TokenCount {
        let share = self.output_share.get(&ask.pool).copied();
        let share = share.unwrap_or(FIRST_OUTPUT_SHARE);
        let output = TokenCount::new(ask.max_output.count() * share / 1_000);
        token_cost(ask.prompt_tokens, output)
    }

    fn enqueue(&mut self, now: ClockTime, known: KnownRequest) {
        let Some(place) = known.place else { return };
        let ask = &known.ask;
        let weight = self.limits_of(&ask.organisation).weight;
        let Some(pool) = self.pools.get_mut(&ask.pool) else {
            return;
        };
        let work = QueuedWork {
            request: ask.request.clone(),
            cost: known.cost,
            queued_at: now,
        };
        pool.push(&ask.organisation, weight, ask.priority, place, work);
        *self.in_flight.entry(ask.organisation.clone()).or_default() += 1;
        let busy = self.in_flight.len();
        if pool.counters.len() > SWEEP_SIZE + 2 * busy {
            let in_flight = &self.in_flight;
            let limit = SWEEP_SIZE + busy;
            pool.counters
                .sweep(limit, |org| in_flight.contains_key(org));
        }
        self.next_place += 1;
        self.deadlines
            .insert((known.latest_start, ask.request.clone()));
        self.requests.insert(ask.request.clone(), known);
    }

    /// Takes a request out of the queue for good.
    fn unqueue(&mut self, request: &RequestId) -> Option<KnownRequest> {
        let known = self.requests.get(request)?;
        let place = known.place?;
        let known = self.requests.remove(request)?;
        self.deadlines
            .remove(&(known.latest_start, request.clone()));
        let pool = self.pools.get_mut(&known.ask.pool)?;
        pool.remove(&known.ask.organisation, known.ask.priority, place);
        self.leave(&known.ask.organisation);
        Some(known)
    }

    fn leave(&mut self, organisation: &OrganisationId) {
        let Some(count) = self.in_flight.get_mut(organisation) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.in_flight.remove(organisation);
        }
    }

    fn settle(&mut self, now: ClockTime, known: &KnownRequest, delivered: TokenCount) {
        let ask = &known.ask;
        self.requests.remove(&ask.request);
        self.leave(&ask.organisation);
        self.learn_output(ask, delivered);
        let weight = self.limits_of(&ask.organisation).weight;
        let real = token_cost(ask.prompt_tokens, delivered);
        let limit = self.settings.debt_limit;
        if let Some(pool) = self.pools.get_mut(&ask.pool) {
            pool.finish(now, known.cost);
            if known.unanswered_since.is_some() {
                pool.answered(now, ask.priority, None, self.settings.start_target);
            }
            pool.recount(&ask.organisation, |counters| {
                counters.correct(&ask.organisation, known.charged, real, weight, limit);
            });
        }
        let key = (ask.pool.clone(), ask.organisation.clone());
        *self.unsent.entry(key).or_default() += real.count();
    }

    fn learn_output(&mut self, ask: &AdmissionRequest, delivered: TokenCount) {
        if ask.max_output == TokenCount::ZERO {
            return;
        }
        let share = (delivered.count() * 1_000 / ask.max_output.count()).min(1_000);
        let known = self
            .output_share
            .entry(ask.pool.clone())
            .or_insert(FIRST_OUTPUT_SHARE);
        *known = (*known * (1_000 - OUTPUT_SHARE_GAIN) + share * OUTPUT_SHARE_GAIN) / 1_000;
    }

    fn start_ready(&mut self, now: ClockTime, actions: &mut Vec<AdmissionAction>) {
        for (name, pool) in &mut self.pools {
            while let Some(started) = pool.pop(&self.settings) {
                let request = started.work.request;
                let Some(known) = self.requests.get_mut(&request) else {
                    continue;
                };
                known.place = None;
                known.charged = started.charged;
                known.unanswered_since = Some(now);
                self.deadlines
                    .remove(&(known.latest_start, request.clone()));
                let waited = now.since(started.work.queued_at);
                let reason = format!(
                    "`{}` served least in `{name}`: {} ahead of the floor, waited {waited}, cost {}",
                    started.organisation, started.debt, started.work.cost
                );
                actions.push(AdmissionAction::Start { request, reason });
            }
        }
    }
}

/// An organisation's weight as the default settings have it.
impl From<ShareWeight> for OrganisationLimits {
    fn from(weight: ShareWeight) -> OrganisationLimits {
        OrganisationLimits {
            weight,
            ..OrganisationLimits::default()
        }
    }
}
