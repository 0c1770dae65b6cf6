//! Selects a replica of a plain service.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    clock::{ClockTime, TimeSpan},
    directory::EndpointRegistration,
    ids::{EndpointId, FailureDomain},
    routing::{EndpointHealth, RoutingSettings},
};

/// Weight of the newest response in the moving average of response times.
const LATENCY_SMOOTHING: f64 = 0.1;

/// Response time in ms assumed for a replica that has not answered yet.
const INITIAL_LATENCY_MS: f64 = 20.0;

/// Weight of the newest answer in the failure share.
const FAILURE_SMOOTHING: f64 = 0.25;

/// Time after which half of a failure share is forgotten.
const FAILURE_HALF_LIFE: TimeSpan = TimeSpan::from_millis(2_000);

/// Cost of a failed answer in ms of response time: the caller has lost its request, or waits for
/// a second attempt.
const FAILURE_COST_MS: f64 = 1_000.0;

/// Limits of the time in ms for which a replica that refused a request counts as full.
const MIN_FULL_MS: f64 = 10.0;
const MAX_FULL_MS: f64 = 500.0;

#[derive(Clone, Debug)]
struct ReplicaState {
    outstanding: u32,
    average_latency_ms: f64,
    health: EndpointHealth,
    full_until: Option<ClockTime>,
    failure_share: f64,
    last_answer: ClockTime,
}

impl ReplicaState {
    fn new() -> ReplicaState {
        ReplicaState {
            outstanding: 0,
            average_latency_ms: INITIAL_LATENCY_MS,
            health: EndpointHealth::new(),
            full_until: None,
            failure_share: 0.0,
            last_answer: ClockTime::default(),
        }
    }

    /// Fraction of its recent answers that were failures. It fades with time, so that the replica
    /// is tried again.
    fn failure_share(&self, now: ClockTime) -> f64 {
        let elapsed = now.since(self.last_answer).as_millis() as f64;
        self.failure_share * 0.5_f64.powf(elapsed / FAILURE_HALF_LIFE.as_millis() as f64)
    }

    fn note_answer(&mut self, now: ClockTime, is_failure: bool) {
        let newest = if is_failure { 1.0 } else { 0.0 };
        let share = self.failure_share(now);
        self.failure_share = share + FAILURE_SMOOTHING * (newest - share);
        self.last_answer = now;
    }
}

/// The room at the replicas of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaRoom {
    /// Requests that they run at once; 0 without replicas.
    pub slots: u32,
    /// Their average response time.
    pub response_time: TimeSpan,
    /// Time until one is expected to have room, if all are full.
    pub room_in: Option<TimeSpan>,
}

/// A selected replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaChoice {
    /// The replica's id.
    pub endpoint: EndpointId,
    /// Requests of this entry in flight at the replica when it was selected.
    pub outstanding: u32,
    /// Whether the replica is ejected or in an unreachable failure domain; such a
    /// replica is selected only if no healthy one is left.
    pub is_ejected: bool,
}

/// Load, response times and health of the replicas of plain services, as observed by
/// this entry.
#[derive(Clone, Debug)]
pub struct ReplicaTable {
    settings: RoutingSettings,
    random: ChaCha8Rng,
    replicas: BTreeMap<EndpointId, ReplicaState>,
    unreachable_domains: BTreeSet<FailureDomain>,
}

impl ReplicaTable {
    /// Creates an empty table.
    pub fn new(settings: RoutingSettings) -> ReplicaTable {
        ReplicaTable {
            settings,
            random: ChaCha8Rng::seed_from_u64(0),
            replicas: BTreeMap::new(),
            unreachable_domains: BTreeSet::new(),
        }
    }

    /// Seeds the jitter of costs, so that entries don't all select the same replica.
    pub fn with_seed(mut self, seed: u64) -> ReplicaTable {
        self.random = ChaCha8Rng::seed_from_u64(seed);
        self
    }

    /// Selects a replica from `candidates` that is not in `excluded`. Ejected replicas
    /// are selected only if no other is left: a service with all replicas ejected still
    /// has to serve.
    pub fn choose<'a, Candidates>(
        &mut self,
        now: ClockTime,
        candidates: Candidates,
        excluded: &[EndpointId],
    ) -> Option<ReplicaChoice>
    where
        Candidates: Iterator<Item = &'a EndpointRegistration>,
    {
        let mut best: Option<(bool, f64, ReplicaChoice)> = None;
        for registration in candidates.filter(|candidate| !excluded.contains(&candidate.id)) {
            let jitter: f64 = self.random.random_range(0.9..1.1);
            let state = self
                .replicas
                .entry(registration.id.clone())
                .or_insert_with(ReplicaState::new);
            let is_ejected = state.health.is_ejected(now)
                || self.unreachable_domains.contains(&registration.domain);
            let traffic_share = f64::from(state.health.share(now, &self.settings).max(1)) / 100.0;
            let warming_factor = if registration.warming == TimeSpan::ZERO {
                1.0
            } else {
                1.5
            };
            let cost = f64::from(state.outstanding + 1)
                * state.average_latency_ms
                * warming_factor
                * jitter
                / traffic_share
                + state.failure_share(now) * FAILURE_COST_MS;
            let is_better = match &best {
                Some((best_is_ejected, lowest_cost, _)) => {
                    (is_ejected, cost) < (*best_is_ejected, *lowest_cost)
                }
                None => true,
            };
            if is_better {
                let choice = ReplicaChoice {
                    endpoint: registration.id.clone(),
                    outstanding: state.outstanding,
                    is_ejected,
                };
                best = Some((is_ejected, cost, choice));
            }
        }
        best.map(|(_, _, choice)| choice)
    }

    /// Sets the failure domains that seem unreachable from here; their replicas are
    /// selected only if there are no others.
    pub fn set_unreachable_domains(&mut self, domains: BTreeSet<FailureDomain>) {
        self.unreachable_domains = domains;
    }

    /// Records that a request was sent to the replica.
    pub fn sent(&mut self, endpoint: &EndpointId) {
        let state = self
            .replicas
            .entry(endpoint.clone())
            .or_insert_with(ReplicaState::new);
        state.outstanding += 1;
    }

    /// Records that the replica refused a request for lack of room. It counts as full for about
    /// the time in which its requests end.
    pub fn full(&mut self, now: ClockTime, endpoint: &EndpointId) {
        let Some(state) = self.replicas.get_mut(endpoint) else {
            return;
        };
        let jitter: f64 = self.random.random_range(0.5..1.5);
        let full_ms = (state.average_latency_ms * jitter).clamp(MIN_FULL_MS, MAX_FULL_MS);
        state.full_until = Some(now + TimeSpan::from_millis(full_ms as u64));
    }

    /// Returns the room at the replicas `candidates`.
    pub fn room<'a, Candidates>(&self, now: ClockTime, candidates: Candidates) -> ReplicaRoom
    where
        Candidates: Iterator<Item = &'a EndpointRegistration>,
    {
        let (mut slots, mut total_ms, mut count) = (0_u32, 0.0, 0_u32);
        let mut room_in: Option<TimeSpan> = None;
        for registration in candidates {
            let state = self.replicas.get(&registration.id);
            slots = slots.saturating_add(registration.slots);
            total_ms += state.map_or(INITIAL_LATENCY_MS, |state| state.average_latency_ms);
            count += 1;
            let full_until = state.and_then(|state| state.full_until);
            let full_for = full_until.map_or(TimeSpan::ZERO, |until| until.since(now));
            room_in = Some(room_in.map_or(full_for, |shortest| shortest.min(full_for)));
        }
        let average_ms = total_ms / f64::from(count.max(1));
        ReplicaRoom {
            slots,
            response_time: TimeSpan::from_millis(average_ms as u64),
            room_in: room_in.filter(|span| *span > TimeSpan::ZERO),
        }
    }

    /// Records that the replica answered a request after `latency`.
    pub fn answered(&mut self, now: ClockTime, endpoint: &EndpointId, latency: TimeSpan) {
        let Some(state) = self.replicas.get_mut(endpoint) else {
            return;
        };
        state.outstanding = state.outstanding.saturating_sub(1);
        let latency_ms = latency.as_millis() as f64;
        state.average_latency_ms += LATENCY_SMOOTHING * (latency_ms - state.average_latency_ms);
        state.health.note_success(now, &self.settings);
        state.full_until = None;
        state.note_answer(now, false);
    }

    /// Records that the replica answered that it failed (status 5xx). Whether the request or the
    /// replica is the reason is not known: the replica stays in use, after those that fail less.
    /// The response time does not count, as failures are often faster than answers.
    pub fn answered_failure(&mut self, now: ClockTime, endpoint: &EndpointId) {
        let Some(state) = self.replicas.get_mut(endpoint) else {
            return;
        };
        state.outstanding = state.outstanding.saturating_sub(1);
        state.note_answer(now, true);
    }

    /// Records that a request failed, was refused or timed out. Returns the duration of
    /// the ejection if the replica is ejected for it.
    pub fn failed(&mut self, now: ClockTime, endpoint: &EndpointId) -> Option<TimeSpan> {
        let state = self.replicas.get_mut(endpoint)?;
        state.outstanding = state.outstanding.saturating_sub(1);
        state
            .health
            .note_failure(now, &self.settings, &mut self.random)
    }

    /// Records that a request was abandoned for a reason unrelated to the replica.
    pub fn released(&mut self, endpoint: &EndpointId) {
        if let Some(state) = self.replicas.get_mut(endpoint) {
            state.outstanding = state.outstanding.saturating_sub(1);
        }
    }

    /// Forgets the failures of the replica: this entry could not reach it.
    pub fn forget_failures(&mut self, endpoint: &EndpointId) {
        if let Some(state) = self.replicas.get_mut(endpoint) {
            state.health = EndpointHealth::new();
        }
    }

    /// Removes a replica that is no longer registered.
    pub fn remove(&mut self, endpoint: &EndpointId) {
        self.replicas.remove(endpoint);
    }
}
