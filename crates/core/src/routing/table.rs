//! The endpoints known to an entry, by pool.

use std::collections::{BTreeMap, VecDeque};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::EndpointId,
    records::CapacityKind,
    routing::{
        EndpointEntry, EndpointSnapshot, RoutePool, RouteRequest, RoutingSettings,
        health::EndpointHealth,
        load::{EndpointLoad, OutstandingWork},
    },
    units::TokenCount,
};

/// Maximum number of recent prefixes recorded for an endpoint.
const MAX_RECENT_PREFIXES: usize = 8;

/// An endpoint with the load and health that the selection is based on.
#[derive(Clone, Debug)]
pub(super) struct EndpointSlot {
    pub entry: EndpointEntry,
    pub load: EndpointLoad,
    pub health: EndpointHealth,
    hash: u64,
    /// Digests of the prompt prefixes that this entry sent there most recently.
    recent_prefixes: VecDeque<u64>,
}

impl EndpointSlot {
    /// Whether the endpoint is ready and not about to stop.
    pub fn is_available(&self) -> bool {
        self.entry.ready && !self.entry.leaving
    }

    /// Whether `request` may run on this endpoint.
    pub fn accepts(&self, request: &RouteRequest) -> bool {
        let capacity =
            self.entry.capacity == CapacityKind::Reserved || request.allows_preemptible();
        capacity && !request.excluded.contains(&self.entry.endpoint)
    }

    /// Rendezvous score of the endpoint for a prefix; the endpoint with the highest
    /// score is preferred.
    pub fn rendezvous_score(&self, prefix: u64) -> u64 {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&prefix.to_le_bytes());
        bytes[8..].copy_from_slice(&self.hash.to_le_bytes());
        xxh3_64(&bytes)
    }

    /// Whether this entry recently sent a prompt with the prefix to this endpoint.
    pub fn has_recent_prefix(&self, prefix: u64) -> bool {
        self.recent_prefixes.contains(&prefix)
    }

    /// Records that a prompt with the prefix is sent to this endpoint.
    pub fn note_prefix(&mut self, prefix: u64) {
        self.recent_prefixes.retain(|recorded| *recorded != prefix);
        self.recent_prefixes.push_back(prefix);
        if self.recent_prefixes.len() > MAX_RECENT_PREFIXES {
            self.recent_prefixes.pop_front();
        }
    }

    /// Clears the recorded prefixes: the endpoint starts with an empty cache.
    pub fn clear_prefixes(&mut self) {
        self.recent_prefixes.clear();
    }

    /// Estimated time until the engine would process a request that is sent now. It is
    /// scaled up during the slow start.
    pub fn estimated_wait(&self, now: ClockTime, settings: &RoutingSettings) -> TimeSpan {
        let local = self.load.local();
        let remote = self.load.remote(now, settings.report_life);
        let total = OutstandingWork {
            requests: local.requests + remote.requests,
            prefill: local.prefill + remote.prefill,
        };
        let wait = estimated_work_time(total, settings);
        let share = u64::from(self.health.share(now, settings));
        if share == 100 {
            return wait;
        }
        let added = settings.running_cost.as_millis() * (local.requests + 1);
        let scaled = (wait.as_millis() + added) * 100 / share;
        TimeSpan::from_millis(scaled)
    }

    pub fn snapshot(&self, now: ClockTime, settings: &RoutingSettings) -> EndpointSnapshot {
        let local = self.load.local();
        let remote = self.load.remote(now, settings.report_life);
        EndpointSnapshot {
            endpoint: self.entry.endpoint.clone(),
            failure_domain: self.entry.failure_domain.clone(),
            capacity: self.entry.capacity,
            role: self.entry.role,
            open: self.is_available(),
            ejected_until: self.health.ejected_until(now),
            share: self.health.share(now, settings),
            own_requests: u32::try_from(local.requests).unwrap_or(u32::MAX),
            own_prefill: local.prefill,
            other_requests: remote.requests,
            other_prefill: remote.prefill,
            reported: self.load.reported(),
        }
    }
}

/// Time that an engine needs to prefill `tokens` of a prompt.
pub(super) fn prefill_time(tokens: TokenCount, settings: &RoutingSettings) -> TimeSpan {
    let rate = settings.prefill_rate.count().max(1);
    TimeSpan::from_millis(tokens.count().saturating_mul(1_000) / rate)
}

fn estimated_work_time(work: OutstandingWork, settings: &RoutingSettings) -> TimeSpan {
    let running = settings.running_cost.times(work.requests);
    let overflow = (work.requests + 1).saturating_sub(u64::from(settings.endpoint_slots));
    running + settings.overflow_cost.times(overflow) + prefill_time(work.prefill, settings)
}

/// All endpoints by pool, sorted by their ids.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointTable {
    pools: BTreeMap<RoutePool, Vec<EndpointSlot>>,
    pools_by_endpoint: BTreeMap<EndpointId, RoutePool>,
}

impl EndpointTable {
    /// Adds or updates an endpoint. With `slow_start`, an endpoint that begins to serve
    /// goes through the slow start; the endpoints that a new entry finds in its first
    /// update do not.
    pub fn set(&mut self, now: ClockTime, entry: EndpointEntry, slow_start: bool) {
        if self.pools_by_endpoint.get(&entry.endpoint) != Some(&entry.pool) {
            self.remove(&entry.endpoint);
        }
        self.pools_by_endpoint
            .insert(entry.endpoint.clone(), entry.pool.clone());
        let pool = self.pools.entry(entry.pool.clone()).or_default();
        let found = pool.binary_search_by(|slot| slot.entry.endpoint.cmp(&entry.endpoint));
        let health = match slow_start {
            true => EndpointHealth::with_slow_start(now),
            false => EndpointHealth::new(),
        };
        match found {
            Ok(index) => {
                let slot = &mut pool[index];
                let becomes_available = !slot.is_available() && entry.ready && !entry.leaving;
                if becomes_available {
                    slot.health = health;
                    slot.clear_prefixes();
                }
                slot.entry = entry;
            }
            Err(index) => {
                let hash = xxh3_64(entry.endpoint.as_str().as_bytes());
                let slot = EndpointSlot {
                    entry,
                    load: EndpointLoad::new(),
                    health,
                    hash,
                    recent_prefixes: VecDeque::new(),
                };
                pool.insert(index, slot);
            }
        }
    }

    pub fn remove(&mut self, endpoint: &EndpointId) {
        let Some(pool) = self.pools_by_endpoint.remove(endpoint) else {
            return;
        };
        let Some(slots) = self.pools.get_mut(&pool) else {
            return;
        };
        slots.retain(|slot| slot.entry.endpoint != *endpoint);
        if slots.is_empty() {
            self.pools.remove(&pool);
        }
    }

    pub fn pool(&self, pool: &RoutePool) -> &[EndpointSlot] {
        self.pools.get(pool).map_or(&[], Vec::as_slice)
    }

    pub fn slot_mut(&mut self, endpoint: &EndpointId) -> Option<&mut EndpointSlot> {
        let pool = self.pools.get_mut(self.pools_by_endpoint.get(endpoint)?)?;
        let index = pool
            .binary_search_by(|slot| slot.entry.endpoint.cmp(endpoint))
            .ok()?;
        Some(&mut pool[index])
    }

    pub fn slots(&self) -> impl Iterator<Item = &EndpointSlot> {
        self.pools.values().flatten()
    }

    pub fn slots_mut(&mut self) -> impl Iterator<Item = &mut EndpointSlot> {
        self.pools.values_mut().flatten()
    }

    pub fn endpoints(&self) -> Vec<EndpointId> {
        self.pools_by_endpoint.keys().cloned().collect()
    }
}
