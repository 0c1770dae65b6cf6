//! The admission queue of one entry: its pools, the limits of organisations, and the
//! cost served for each of them.

mod contention;
mod refusals;
mod shares;

use std::collections::{BTreeMap, BTreeSet};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    admission::{
        AdmissionAction, AdmissionRequest, AdmissionSettings, OrganisationLimits, PoolCapacity,
        PoolStatus,
        pool::{PoolQueue, QueuePosition, QueuedWork, WorkClass},
        token_cost,
    },
    clock::{ClockTime, TimeSpan},
    config::WorkPriority,
    ids::{InstanceId, OrganisationId, RequestId},
    routing::RoutePool,
    units::{TokenCount, TokenRate},
};

/// How often queued requests are checked against their deadlines.
const DEADLINE_CHECK_INTERVAL: TimeSpan = TimeSpan::from_millis(250);
/// The share of the maximum output that is expected until outputs have been measured,
/// in thousandths.
const INITIAL_OUTPUT_SHARE: u64 = 500;
/// Weight of a new answer's length in the moving average of the output share, in
/// thousandths.
const OUTPUT_SHARE_WEIGHT: u64 = 20;
/// Number of counters, beyond two per active organisation, above which those of idle
/// organisations are removed.
const PRUNE_THRESHOLD: usize = 1_024;

type ShareKey = (RoutePool, OrganisationId);

#[derive(Clone, Debug)]
struct TrackedRequest {
    admission: AdmissionRequest,
    cost: TokenCount,
    latest_start: ClockTime,
    /// Position in the queue; none once the request runs.
    position: Option<QueuePosition>,
    /// Counter units charged at its start.
    charged: u64,
    /// When the request started, until its first token arrives.
    first_token_pending_since: Option<ClockTime>,
}

/// Decides which requests an entry starts, and which it refuses.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    settings: AdmissionSettings,
    random: ChaCha8Rng,
    limits: BTreeMap<OrganisationId, OrganisationLimits>,
    in_flight: BTreeMap<OrganisationId, u32>,
    pools: BTreeMap<RoutePool, PoolQueue>,
    output_shares: BTreeMap<RoutePool, u64>,
    requests: BTreeMap<RequestId, TrackedRequest>,
    deadlines: BTreeSet<(ClockTime, RequestId)>,
    unsent_costs: BTreeMap<ShareKey, u64>,
    last_peer_reports: BTreeMap<InstanceId, ClockTime>,
    next_sequence: u64,
    last_deadline_check: Option<ClockTime>,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new(settings: AdmissionSettings) -> AdmissionQueue {
        AdmissionQueue {
            settings,
            random: ChaCha8Rng::seed_from_u64(0),
            limits: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            pools: BTreeMap::new(),
            output_shares: BTreeMap::new(),
            requests: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            unsent_costs: BTreeMap::new(),
            last_peer_reports: BTreeMap::new(),
            next_sequence: 0,
            last_deadline_check: None,
        }
    }

    /// Seeds the jitter of `Retry-After`.
    pub fn with_seed(mut self, seed: u64) -> AdmissionQueue {
        self.random = ChaCha8Rng::seed_from_u64(seed);
        self
    }

    /// Sets the limits of an organisation. Requests that are queued already keep their
    /// weight.
    pub fn set_limits(&mut self, organisation: OrganisationId, limits: OrganisationLimits) {
        self.limits.insert(organisation, limits);
    }

    /// Removes the limits of an organisation; the default limits apply again.
    pub fn remove_limits(&mut self, organisation: &OrganisationId) {
        self.limits.remove(organisation);
    }

    /// Sets this entry's share of a pool, and returns the starts and refusals that
    /// follow.
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
                let counts_turns = self.settings.counts_turns;
                let queue = PoolQueue::new(now, capacity).with_turns(counts_turns);
                self.pools.insert(pool.clone(), queue);
            }
        }
        self.last_deadline_check = None;
        self.advance(now)
    }

    /// Starts, queues or refuses a request. A second request with an id that is in
    /// progress is an error of the caller and is ignored.
    pub fn offer(&mut self, now: ClockTime, admission: AdmissionRequest) -> Vec<AdmissionAction> {
        let mut actions = self.advance(now);
        if self.requests.contains_key(&admission.request) {
            return actions;
        }
        match self.check_admission(now, &admission) {
            Ok(tracked) => {
                self.enqueue(now, tracked);
                self.start_ready(now, &mut actions);
            }
            Err((reason, wait)) => actions.push(self.refusal(admission.request, reason, wait)),
        }
        actions
    }

    /// Records the first token of a started request. An entry that never records first
    /// tokens starts as many requests as it has slots.
    pub fn note_first_token(
        &mut self,
        now: ClockTime,
        request: &RequestId,
    ) -> Vec<AdmissionAction> {
        if let Some(tracked) = self.requests.get_mut(request)
            && let Some(started) = tracked.first_token_pending_since.take()
            && let Some(pool) = self.pools.get_mut(&tracked.admission.pool)
        {
            let elapsed = Some(now.since(started));
            pool.record_first_token(
                now,
                tracked.admission.priority,
                elapsed,
                self.settings.start_target,
            );
        }
        self.advance(now)
    }

    /// Records that the caller cancelled. A queued request is removed; a running one
    /// counts as ended with `delivered` output tokens.
    pub fn cancel(
        &mut self,
        now: ClockTime,
        request: &RequestId,
        delivered: TokenCount,
    ) -> Vec<AdmissionAction> {
        self.finish(now, request, delivered)
    }

    /// Records that the request ended with `delivered` output tokens: the estimated
    /// cost is replaced by the actual one, and the slot is free.
    pub fn finish(
        &mut self,
        now: ClockTime,
        request: &RequestId,
        delivered: TokenCount,
    ) -> Vec<AdmissionAction> {
        let Some(tracked) = self.requests.get(request).cloned() else {
            return self.advance(now);
        };
        match tracked.position {
            Some(_) => {
                self.dequeue(request);
            }
            None => self.settle(now, &tracked, delivered),
        }
        self.advance(now)
    }

    /// Refuses the requests that have become too late, and starts those that can start.
    pub fn advance(&mut self, now: ClockTime) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        self.refuse_expired(now, &mut actions);
        let is_due =
            |last_deadline_check| now.since(last_deadline_check) >= DEADLINE_CHECK_INTERVAL;
        if self.last_deadline_check.is_none_or(is_due) {
            self.last_deadline_check = Some(now);
            self.refuse_late(now, &mut actions);
        }
        self.start_ready(now, &mut actions);
        actions
    }

    /// When [`AdmissionQueue::advance`] must be called next if nothing else happens.
    pub fn next_wake(&self) -> Option<ClockTime> {
        let opening = self.pools.values().filter_map(PoolQueue::opens_at).min();
        let check = self.next_check()?;
        Some(opening.map_or(check, |opening| opening.min(check)))
    }

    fn next_check(&self) -> Option<ClockTime> {
        let (deadline, _) = self.deadlines.first()?;
        let expiry = *deadline + TimeSpan::from_millis(1);
        let next_check = self
            .last_deadline_check
            .map(|at| at + DEADLINE_CHECK_INTERVAL);
        Some(next_check.map_or(expiry, |next_check| next_check.min(expiry)))
    }

    /// Returns the state of each pool, for dumps and metrics.
    pub fn status(&self) -> Vec<PoolStatus> {
        let unknown = OrganisationId::new("-").expect("a dash is an identifier");
        let weight = self.settings.default_limits.weight;
        let class = WorkClass {
            priority: WorkPriority::Interactive,
            rank: 0,
            is_new: true,
        };
        let status = |(pool, queue): (&RoutePool, &PoolQueue)| PoolStatus {
            pool: pool.clone(),
            slots: queue.capacity.slots,
            running: queue.running,
            window: queue.window.limit(),
            queued: queue.queued(),
            waiting_organisations: queue.waiting_organisations(),
            token_rate: TokenRate::new(queue.rate()),
            wait: queue.wait(&unknown, weight, class, 0),
        };
        self.pools.iter().map(status).collect()
    }

    /// Number of organisations with a counter, over all pools.
    pub fn tracked_organisations(&self) -> usize {
        self.pools.values().map(|pool| pool.counters.len()).sum()
    }

    fn limits_of(&self, organisation: &OrganisationId) -> OrganisationLimits {
        self.limits
            .get(organisation)
            .copied()
            .unwrap_or(self.settings.default_limits)
    }

    fn expected_cost(&self, admission: &AdmissionRequest) -> TokenCount {
        let share = self.output_shares.get(&admission.pool).copied();
        let share = share.unwrap_or(INITIAL_OUTPUT_SHARE);
        let output = TokenCount::new(admission.max_output.count() * share / 1_000);
        token_cost(admission.prompt_tokens, output)
    }

    fn enqueue(&mut self, now: ClockTime, tracked: TrackedRequest) {
        let Some(position) = tracked.position else {
            return;
        };
        let admission = &tracked.admission;
        let weight = self.limits_of(&admission.organisation).weight;
        let Some(pool) = self.pools.get_mut(&admission.pool) else {
            return;
        };
        let work = QueuedWork {
            request: admission.request.clone(),
            cost: tracked.cost,
            queued_at: now,
        };
        pool.push(
            &admission.organisation,
            weight,
            WorkClass::from(admission),
            position,
            work,
        );
        *self
            .in_flight
            .entry(admission.organisation.clone())
            .or_default() += 1;
        let active = self.in_flight.len();
        if pool.counters.len() > PRUNE_THRESHOLD + 2 * active {
            let in_flight = &self.in_flight;
            let limit = PRUNE_THRESHOLD + active;
            pool.counters
                .prune(limit, |organisation| in_flight.contains_key(organisation));
        }
        self.next_sequence += 1;
        self.deadlines
            .insert((tracked.latest_start, admission.request.clone()));
        self.requests.insert(admission.request.clone(), tracked);
    }

    /// Removes a queued request permanently.
    fn dequeue(&mut self, request: &RequestId) -> Option<TrackedRequest> {
        let tracked = self.requests.get(request)?;
        let position = tracked.position?;
        let tracked = self.requests.remove(request)?;
        self.deadlines
            .remove(&(tracked.latest_start, request.clone()));
        let pool = self.pools.get_mut(&tracked.admission.pool)?;
        pool.remove(
            &tracked.admission.organisation,
            WorkClass::from(&tracked.admission),
            position,
        );
        self.decrement_in_flight(&tracked.admission.organisation);
        Some(tracked)
    }

    fn decrement_in_flight(&mut self, organisation: &OrganisationId) {
        let Some(count) = self.in_flight.get_mut(organisation) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.in_flight.remove(organisation);
        }
    }

    fn settle(&mut self, now: ClockTime, tracked: &TrackedRequest, delivered: TokenCount) {
        let admission = &tracked.admission;
        self.requests.remove(&admission.request);
        self.decrement_in_flight(&admission.organisation);
        self.update_output_share(admission, delivered);
        let weight = self.limits_of(&admission.organisation).weight;
        let actual_cost = token_cost(admission.prompt_tokens, delivered);
        let limit = self.settings.debt_limit;
        if let Some(pool) = self.pools.get_mut(&admission.pool) {
            pool.finish(now, tracked.cost);
            if tracked.first_token_pending_since.is_some() {
                pool.record_first_token(now, admission.priority, None, self.settings.start_target);
            }
            pool.update_counter(&admission.organisation, |counters| {
                counters.correct(
                    &admission.organisation,
                    tracked.charged,
                    actual_cost,
                    weight,
                    limit,
                );
            });
        }
        let key = (admission.pool.clone(), admission.organisation.clone());
        *self.unsent_costs.entry(key).or_default() += actual_cost.count();
    }

    fn update_output_share(&mut self, admission: &AdmissionRequest, delivered: TokenCount) {
        if admission.max_output == TokenCount::ZERO {
            return;
        }
        let share = (delivered.count() * 1_000 / admission.max_output.count()).min(1_000);
        let expected_share = self
            .output_shares
            .entry(admission.pool.clone())
            .or_insert(INITIAL_OUTPUT_SHARE);
        *expected_share =
            (*expected_share * (1_000 - OUTPUT_SHARE_WEIGHT) + share * OUTPUT_SHARE_WEIGHT) / 1_000;
    }

    fn start_ready(&mut self, now: ClockTime, actions: &mut Vec<AdmissionAction>) {
        for (name, pool) in &mut self.pools {
            while let Some(started) = pool.pop(now, &self.settings) {
                let request = started.work.request;
                let Some(tracked) = self.requests.get_mut(&request) else {
                    continue;
                };
                tracked.position = None;
                tracked.charged = started.charged;
                tracked.first_token_pending_since = Some(now);
                self.deadlines
                    .remove(&(tracked.latest_start, request.clone()));
                let waited = now.since(started.work.queued_at);
                let reason = format!(
                    "`{}` is the least served in `{name}`: {} above the floor, waited {waited}, cost {}",
                    started.organisation, started.debt, started.work.cost
                );
                actions.push(AdmissionAction::Start { request, reason });
            }
        }
    }
}
