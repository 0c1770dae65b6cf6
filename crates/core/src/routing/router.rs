//! Request routing of one entry.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    clock::ClockTime,
    ids::{EndpointId, FailureDomain, InstanceId, RequestId},
    records::EngineRole,
    routing::{
        EndpointEntry, EndpointSnapshot, NoRoute, PeerOutstanding, ReportedLoad, RouteChoice,
        RouteOutcome, RoutePool, RouteRequest, RoutingSettings, choice::RouteDecision,
        load::OutstandingWork, table::EndpointTable,
    },
    units::TokenCount,
};

/// An attempt that was sent and has not ended.
#[derive(Clone, Debug)]
struct SentAttempt {
    endpoint: EndpointId,
    /// The engine that prefills the prompt; the same as `endpoint` if the prefill is
    /// not separate.
    prefill: EndpointId,
    /// Prompt tokens that are not prefilled yet.
    unprefilled: TokenCount,
}

/// Selects endpoints for the requests of one entry and tracks the work that it has
/// outstanding at them.
#[derive(Clone, Debug)]
pub struct RequestRouter {
    pub(super) settings: RoutingSettings,
    pub(super) failure_domain: FailureDomain,
    random: ChaCha8Rng,
    pub(super) table: EndpointTable,
    sent: BTreeMap<RequestId, SentAttempt>,
    first_update_at: Option<ClockTime>,
}

impl RequestRouter {
    /// Creates a router without endpoints for an entry in `failure_domain`.
    pub fn new(settings: RoutingSettings, failure_domain: FailureDomain) -> RequestRouter {
        RequestRouter {
            settings,
            failure_domain,
            random: ChaCha8Rng::seed_from_u64(0),
            table: EndpointTable::default(),
            sent: BTreeMap::new(),
            first_update_at: None,
        }
    }

    /// Sets the seed of the random draws.
    pub fn with_seed(mut self, seed: u64) -> RequestRouter {
        self.random = ChaCha8Rng::seed_from_u64(seed);
        self
    }

    /// Adds or updates an endpoint.
    pub fn set_endpoint(&mut self, now: ClockTime, entry: EndpointEntry) {
        // Endpoints that a new entry finds at its start have already served other
        // entries, so they need no slow start.
        let first = *self.first_update_at.get_or_insert(now);
        let slow_start = now > first;
        self.table.set(now, entry, slow_start);
    }

    /// Removes an endpoint that is no longer registered. Attempts there still end with
    /// [`RequestRouter::finish`].
    pub fn remove_endpoint(&mut self, endpoint: &EndpointId) {
        self.table.remove(endpoint);
    }

    /// The known endpoints, for comparison with the platform's list.
    pub fn endpoints(&self) -> Vec<EndpointId> {
        self.table.endpoints()
    }

    /// Records a load report of an endpoint that was measured at `measured_at` on the
    /// clock of this entry (the time of receipt minus the age stated in the report).
    pub fn note_report(
        &mut self,
        measured_at: ClockTime,
        endpoint: &EndpointId,
        reported: ReportedLoad,
    ) {
        if let Some(slot) = self.table.slot_mut(endpoint) {
            slot.load.note_report(measured_at, reported);
        }
    }

    /// Replaces the outstanding work recorded for a peer: endpoints that are not in
    /// `outstanding` have none.
    pub fn note_peer(
        &mut self,
        now: ClockTime,
        peer: &InstanceId,
        outstanding: &[PeerOutstanding],
    ) {
        self.forget_peer(peer);
        for item in outstanding {
            let Some(slot) = self.table.slot_mut(&item.endpoint) else {
                continue;
            };
            let work = OutstandingWork {
                requests: u64::from(item.requests),
                prefill: item.prefill_tokens,
            };
            slot.load.note_peer(now, peer, work);
        }
    }

    /// Removes the outstanding work of a peer that is no longer registered.
    pub fn forget_peer(&mut self, peer: &InstanceId) {
        for slot in self.table.slots_mut() {
            slot.load.remove_peer(peer);
        }
    }

    /// Work that this entry has outstanding, as reported to its peers.
    pub fn outstanding(&self) -> Vec<PeerOutstanding> {
        let in_use = self
            .table
            .slots()
            .filter(|slot| slot.load.local().requests > 0);
        in_use
            .map(|slot| PeerOutstanding {
                endpoint: slot.entry.endpoint.clone(),
                requests: u32::try_from(slot.load.local().requests).unwrap_or(u32::MAX),
                prefill_tokens: slot.load.local().prefill,
            })
            .collect()
    }

    /// Load of the available endpoints of a pool; the input of
    /// [`crate::admission::PoolCapacity`].
    pub fn pool_load(&self, now: ClockTime, pool: &RoutePool) -> PoolLoad {
        let mut load = PoolLoad::default();
        for slot in self.table.pool(pool) {
            if !slot.is_available() || slot.health.is_ejected(now) {
                continue;
            }
            load.available += 1;
            // Requests leave an engine that only prefills after their prompts; only
            // engines that generate answers provide slots.
            if slot.entry.role == EngineRole::Prefill {
                continue;
            }
            load.slots += self.settings.endpoint_slots;
            load.local += slot.load.local().requests;
            load.remote += slot.load.remote(now, self.settings.report_life).requests;
        }
        load
    }

    /// State of all endpoints of a pool, as used for the selection.
    pub fn snapshots(&self, now: ClockTime, pool: &RoutePool) -> Vec<EndpointSnapshot> {
        let slots = self.table.pool(pool).iter();
        slots
            .map(|slot| slot.snapshot(now, &self.settings))
            .collect()
    }

    /// Selects where a request goes and counts it as outstanding there until
    /// [`RequestRouter::finish`] is called. Before the next attempt of the same request
    /// is routed, the previous one must be finished.
    pub fn choose(
        &mut self,
        now: ClockTime,
        request: &RouteRequest,
    ) -> Result<RouteChoice, NoRoute> {
        let draws = (self.random.random(), self.random.random());
        let decision = self.decide(now, request, draws)?;
        self.note_sent(now, request, &decision);
        Ok(decision.choice)
    }

    /// Routes a request with the policy `select`, which returns the index of an
    /// endpoint among those that may run the request. The
    /// [`baselines`](crate::routing::baselines) are evaluated with it.
    pub fn choose_by<Select>(
        &mut self,
        now: ClockTime,
        request: &RouteRequest,
        select: Select,
    ) -> Result<RouteChoice, NoRoute>
    where
        Select: FnOnce(&[EndpointSnapshot]) -> Option<usize>,
    {
        let candidates = self.candidates(now, request)?;
        let snapshots: Vec<EndpointSnapshot> = candidates
            .iter()
            .map(|candidate| candidate.slot.snapshot(now, &self.settings))
            .collect();
        let chosen = select(&snapshots).and_then(|index| snapshots.get(index));
        let Some(chosen) = chosen else {
            return Err(NoRoute::NoEndpoint(request.pool.clone()));
        };
        let choice = RouteChoice {
            endpoint: chosen.endpoint.clone(),
            prefill: None,
            reason: "selected by a custom policy".to_string(),
        };
        let decision = RouteDecision {
            choice,
            uncached: request.prompt_tokens,
        };
        self.note_sent(now, request, &decision);
        Ok(decision.choice)
    }

    fn note_sent(&mut self, now: ClockTime, request: &RouteRequest, decision: &RouteDecision) {
        let RouteDecision { choice, uncached } = decision;
        let prefill = choice.prefill.as_ref().unwrap_or(&choice.endpoint).clone();
        let max_age = self.settings.report_life;
        if let Some(slot) = self.table.slot_mut(&prefill) {
            slot.load.note_sent(now, *uncached, max_age);
            if let Some(prefix) = request.prefix {
                slot.note_prefix(prefix);
            }
        }
        if prefill != choice.endpoint
            && let Some(slot) = self.table.slot_mut(&choice.endpoint)
        {
            slot.load.note_sent(now, TokenCount::ZERO, max_age);
        }
        let attempt = SentAttempt {
            endpoint: choice.endpoint.clone(),
            prefill,
            unprefilled: *uncached,
        };
        self.sent.insert(request.request.clone(), attempt);
    }

    /// Records the first token of a request: its prompt no longer delays other
    /// requests.
    pub fn note_first_token(&mut self, now: ClockTime, request: &RequestId) {
        let Some(attempt) = self.sent.get_mut(request) else {
            return;
        };
        let unprefilled = std::mem::take(&mut attempt.unprefilled);
        let max_age = self.settings.report_life;
        let (prefill, split) = (attempt.prefill.clone(), attempt.prefill != attempt.endpoint);
        let Some(slot) = self.table.slot_mut(&prefill) else {
            return;
        };
        match split && unprefilled > TokenCount::ZERO {
            true => slot.load.note_ended(now, unprefilled, max_age),
            false => slot.load.note_prefilled(now, unprefilled, max_age),
        }
    }

    /// Records the end of an attempt. Returns a message if the endpoint is ejected
    /// because of it.
    pub fn finish(
        &mut self,
        now: ClockTime,
        request: &RequestId,
        outcome: RouteOutcome,
    ) -> Option<String> {
        let attempt = self.sent.remove(request)?;
        let max_age = self.settings.report_life;
        let split = attempt.prefill != attempt.endpoint;
        if split
            && attempt.unprefilled > TokenCount::ZERO
            && let Some(slot) = self.table.slot_mut(&attempt.prefill)
        {
            slot.load.note_ended(now, attempt.unprefilled, max_age);
        }
        let unprefilled = match split {
            true => TokenCount::ZERO,
            false => attempt.unprefilled,
        };
        let slot = self.table.slot_mut(&attempt.endpoint)?;
        slot.load.note_ended(now, unprefilled, max_age);
        match outcome {
            RouteOutcome::Answered => slot.health.note_success(now, &self.settings),
            RouteOutcome::Cancelled | RouteOutcome::Refused => {}
            RouteOutcome::Failed => {
                let ejection = slot
                    .health
                    .note_failure(now, &self.settings, &mut self.random)?;
                return Some(format!(
                    "`{}` failed and is ejected for {ejection}",
                    attempt.endpoint
                ));
            }
        }
        None
    }
}

/// Load of a pool as estimated by one entry. Endpoints that are not ready, about to
/// stop or ejected are left out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// Number of available endpoints.
    pub available: u32,
    /// Number of requests that these endpoints run at the same time. Endpoints that
    /// only prefill don't count, here and in the fields below.
    pub slots: u32,
    /// Requests of this entry at these endpoints.
    pub local: u64,
    /// Estimated requests of other entries at these endpoints.
    pub remote: u64,
}
