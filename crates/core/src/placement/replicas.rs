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

#[derive(Clone, Debug)]
struct ReplicaState {
    outstanding: u32,
    average_latency_ms: f64,
    health: EndpointHealth,
}

impl ReplicaState {
    fn new() -> ReplicaState {
        ReplicaState {
            outstanding: 0,
            average_latency_ms: INITIAL_LATENCY_MS,
            health: EndpointHealth::new(),
        }
    }
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
                / traffic_share;
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

    /// Records that the replica answered a request after `latency`.
    pub fn answered(&mut self, now: ClockTime, endpoint: &EndpointId, latency: TimeSpan) {
        let Some(state) = self.replicas.get_mut(endpoint) else {
            return;
        };
        state.outstanding = state.outstanding.saturating_sub(1);
        let latency_ms = latency.as_millis() as f64;
        state.average_latency_ms += LATENCY_SMOOTHING * (latency_ms - state.average_latency_ms);
        state.health.note_success(now, &self.settings);
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
