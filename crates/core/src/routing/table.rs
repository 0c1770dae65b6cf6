//! The endpoints that an entry knows, by pool.

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

/// How many prompt starts are remembered for an endpoint.
const RECENT_PREFIXES: usize = 8;

/// One endpoint with all that a choice reads.
#[derive(Clone, Debug)]
pub(super) struct EndpointSlot {
    pub entry: EndpointEntry,
    pub load: EndpointLoad,
    pub health: EndpointHealth,
    hash: u64,
    /// Prompt starts that this entry sent there last.
    recent: VecDeque<u64>,
}

impl EndpointSlot {
    /// Whether it serves and stays.
    pub fn is_open(&self) -> bool {
        self.entry.ready && !self.entry.leaving
    }

    /// Whether `request` may run here at all.
    pub fn allows(&self, request: &RouteRequest) -> bool {
        let capacity =
            self.entry.capacity == CapacityKind::Reserved || request.allows_preemptible();
        capacity && !request.excluded.contains(&self.entry.endpoint)
    }

    /// The endpoint's place in the rendezvous order of a prefix: the greatest
    /// comes first.
    pub fn rendezvous(&self, prefix: u64) -> u64 {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&prefix.to_le_bytes());
        bytes[8..].copy_from_slice(&self.hash.to_le_bytes());
        xxh3_64(&bytes)
    }

    /// Whether this entry sent the prefix here lately.
    pub fn remembers(&self, prefix: u64) -> bool {
        self.recent.contains(&prefix)
    }

    /// Notes that the prefix is sent here.
    pub fn remember(&mut self, prefix: u64) {
        self.recent.retain(|known| *known != prefix);
        self.recent.push_back(prefix);
        if self.recent.len() > RECENT_PREFIXES {
            self.recent.pop_front();
        }
    }

    /// Forgets what was sent: the endpoint starts with an empty cache.
    pub fn forget_prefixes(&mut self) {
        self.recent.clear();
    }

    /// The estimated time until a request sent now would have the engine's
    /// attention, stretched while the endpoint starts slowly.
    pub fn wait(&self, now: ClockTime, settings: &RoutingSettings) -> TimeSpan {
        let own = self.load.own();
        let others = self.load.others(now, settings.report_life);
        let all = OutstandingWork {
            requests: own.requests + others.requests,
            prefill: own.prefill + others.prefill,
        };
        let wait = work_time(all, settings);
        let share = u64::from(self.health.share(now, settings));
        if share == 100 {
            return wait;
        }
        let base = settings.running_cost.as_millis() * (own.requests + 1);
        let stretched = (wait.as_millis() + base) * 100 / share;
        TimeSpan::from_millis(stretched)
    }

    pub fn snapshot(&self, now: ClockTime, settings: &RoutingSettings) -> EndpointSnapshot {
        let own = self.load.own();
        let others = self.load.others(now, settings.report_life);
        EndpointSnapshot {
            endpoint: self.entry.endpoint.clone(),
            failure_domain: self.entry.failure_domain.clone(),
            capacity: self.entry.capacity,
            role: self.entry.role,
            open: self.is_open(),
            ejected_until: self.health.ejected_until(now),
            share: self.health.share(now, settings),
            own_requests: u32::try_from(own.requests).unwrap_or(u32::MAX),
            own_prefill: own.prefill,
            other_requests: others.requests,
            other_prefill: others.prefill,
            reported: self.load.reported(),
        }
    }
}

/// How long an engine needs for `tokens` of a prompt.
pub(super) fn prefill_time(tokens: TokenCount, settings: &RoutingSettings) -> TimeSpan {
    let rate = settings.prefill_rate.count().max(1);
    TimeSpan::from_millis(tokens.count().saturating_mul(1_000) / rate)
}

fn work_time(work: OutstandingWork, settings: &RoutingSettings) -> TimeSpan {
    let running = settings.running_cost.times(work.requests);
    let beyond = (work.requests + 1).saturating_sub(u64::from(settings.endpoint_slots));
    running + settings.overflow_cost.times(beyond) + prefill_time(work.prefill, settings)
}

/// All endpoints, by pool and in the order of their ids.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointTable {
    pools: BTreeMap<RoutePool, Vec<EndpointSlot>>,
    places: BTreeMap<EndpointId, RoutePool>,
}

impl EndpointTable {
    /// Adds or changes an endpoint. One that begins to serve starts slowly,
    /// unless it is among the first that this entry learns of.
    pub fn set(&mut self, now: ClockTime, entry: EndpointEntry, slowly: bool) {
        if self.places.get(&entry.endpoint) != Some(&entry.pool) {
            self.remove(&entry.endpoint);
        }
        self.places
            .insert(entry.endpoint.clone(), entry.pool.clone());
        let pool = self.pools.entry(entry.pool.clone()).or_default();
        let found = pool.binary_search_by(|slot| slot.entry.endpoint.cmp(&entry.endpoint));
        let start = match slowly {
            true => EndpointHealth::with_start(now),
            false => EndpointHealth::new(),
        };
        match found {
            Ok(index) => {
                let slot = &mut pool[index];
                let opens = !slot.is_open() && entry.ready && !entry.leaving;
                if opens {
                    slot.health = start;
                    slot.forget_prefixes();
                }
                slot.entry = entry;
            }
            Err(index) => {
                let hash = xxh3_64(entry.endpoint.as_str().as_bytes());
                let slot = EndpointSlot {
                    entry,
                    load: EndpointLoad::new(),
                    health: start,
                    hash,
                    recent: VecDeque::new(),
                };
                pool.insert(index, slot);
            }
        }
    }

    pub fn remove(&mut self, endpoint: &EndpointId) {
        let Some(pool) = self.places.remove(endpoint) else {
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
        let pool = self.pools.get_mut(self.places.get(endpoint)?)?;
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
        self.places.keys().cloned().collect()
    }
}
