//! The router of one entry.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    clock::ClockTime,
    ids::{EndpointId, FailureDomain, InstanceId, RequestId},
    records::EngineRole,
    routing::{
        EndpointEntry, EndpointSnapshot, NoRoute, PeerOutstanding, ReportedLoad, RouteChoice,
        RouteOutcome, RoutePool, RouteRequest, RoutingSettings, choice::WeighedChoice,
        load::OutstandingWork, table::EndpointTable,
    },
    units::TokenCount,
};

/// An attempt that this entry has sent and that has not ended.
#[derive(Clone, Debug)]
struct SentAttempt {
    endpoint: EndpointId,
    /// The engine that has the prompt; the answering one if they don't differ.
    prefill: EndpointId,
    /// What of the prompt is not prefilled.
    unfilled: TokenCount,
}

/// Chooses endpoints at one entry.
#[derive(Clone, Debug)]
pub struct RequestRouter {
    pub(super) settings: RoutingSettings,
    pub(super) failure_domain: FailureDomain,
    random: ChaCha8Rng,
    pub(super) table: EndpointTable,
    sent: BTreeMap<RequestId, SentAttempt>,
    first_learnt: Option<ClockTime>,
}

impl RequestRouter {
    /// A router of an entry in `failure_domain` that knows no endpoints.
    pub fn new(settings: RoutingSettings, failure_domain: FailureDomain) -> RequestRouter {
        RequestRouter {
            settings,
            failure_domain,
            random: ChaCha8Rng::seed_from_u64(0),
            table: EndpointTable::default(),
            sent: BTreeMap::new(),
            first_learnt: None,
        }
    }

    /// Draws its choices from `seed`.
    pub fn with_seed(mut self, seed: u64) -> RequestRouter {
        self.random = ChaCha8Rng::seed_from_u64(seed);
        self
    }

    /// Adds or changes an endpoint.
    pub fn set_endpoint(&mut self, now: ClockTime, entry: EndpointEntry) {
        // The endpoints that a new entry finds have served others for long.
        let first = *self.first_learnt.get_or_insert(now);
        let slowly = now > first;
        self.table.set(now, entry, slowly);
    }

    /// Forgets an endpoint that is gone. Attempts there end by
    /// [`RequestRouter::finish`] as usual.
    pub fn remove_endpoint(&mut self, endpoint: &EndpointId) {
        self.table.remove(endpoint);
    }

    /// The endpoints known, for comparing with the platform's list.
    pub fn endpoints(&self) -> Vec<EndpointId> {
        self.table.endpoints()
    }

    /// Takes in an endpoint's report, measured at `measured_at` on our clock
    /// (the time of receipt less the age that the report states).
    pub fn note_report(
        &mut self,
        measured_at: ClockTime,
        endpoint: &EndpointId,
        reported: ReportedLoad,
    ) {
        if let Some(slot) = self.table.slot_mut(endpoint) {
            slot.load.report(measured_at, reported);
        }
    }

    /// Takes in what a peer has outstanding: all of it, endpoints that are not
    /// named have none.
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

    /// Forgets a peer that is gone.
    pub fn forget_peer(&mut self, peer: &InstanceId) {
        for slot in self.table.slots_mut() {
            slot.load.forget_peer(peer);
        }
    }

    /// What this entry has outstanding, for its peers.
    pub fn outstanding(&self) -> Vec<PeerOutstanding> {
        let busy = self
            .table
            .slots()
            .filter(|slot| slot.load.own().requests > 0);
        busy.map(|slot| PeerOutstanding {
            endpoint: slot.entry.endpoint.clone(),
            requests: u32::try_from(slot.load.own().requests).unwrap_or(u32::MAX),
            prefill_tokens: slot.load.own().prefill,
        })
        .collect()
    }

    /// How many endpoints of a pool serve and stay, and what others have
    /// outstanding there: what [`crate::admission::PoolCapacity`] is made from.
    pub fn pool_load(&self, now: ClockTime, pool: &RoutePool) -> PoolLoad {
        let mut load = PoolLoad::default();
        for slot in self.table.pool(pool) {
            if !slot.is_open() || slot.health.is_ejected(now) {
                continue;
            }
            load.available += 1;
            // Prompts leave an engine that only prefills; answers keep slots.
            if slot.entry.role == EngineRole::Prefill {
                continue;
            }
            load.slots += self.settings.endpoint_slots;
            load.local += slot.load.own().requests;
            load.remote += slot.load.others(now, self.settings.report_life).requests;
        }
        load
    }

    /// All endpoints of a pool as a choice sees them.
    pub fn snapshots(&self, now: ClockTime, pool: &RoutePool) -> Vec<EndpointSnapshot> {
        let slots = self.table.pool(pool).iter();
        slots
            .map(|slot| slot.snapshot(now, &self.settings))
            .collect()
    }

    /// Chooses where a request goes and counts it as sent there until
    /// [`RequestRouter::finish`]. A second attempt of a request is chosen after
    /// the first has been finished.
    pub fn choose(&mut self, now: ClockTime, ask: &RouteRequest) -> Result<RouteChoice, NoRoute> {
        let draws = (self.random.random(), self.random.random());
        let weighed = self.decide(now, ask, draws)?;
        self.send(now, ask, &weighed);
        Ok(weighed.choice)
    }

    /// Lets `pick` choose among the endpoints that may run the request; what
    /// [`baselines`](crate::routing::baselines) are measured through.
    pub fn choose_by<Pick>(
        &mut self,
        now: ClockTime,
        ask: &RouteRequest,
        pick: Pick,
    ) -> Result<RouteChoice, NoRoute>
    where
        Pick: FnOnce(&[EndpointSnapshot]) -> Option<usize>,
    {
        let candidates = self.candidates(now, ask)?;
        let snapshots: Vec<EndpointSnapshot> = candidates
            .iter()
            .map(|candidate| candidate.slot.snapshot(now, &self.settings))
            .collect();
        let chosen = pick(&snapshots).and_then(|index| snapshots.get(index));
        let Some(chosen) = chosen else {
            return Err(NoRoute::NoEndpoint(ask.pool.clone()));
        };
        let choice = RouteChoice {
            endpoint: chosen.endpoint.clone(),
            prefill: None,
            reason: "picked by the caller's rule".to_string(),
        };
        let weighed = WeighedChoice {
            choice,
            uncached: ask.prompt_tokens,
        };
        self.send(now, ask, &weighed);
        Ok(weighed.choice)
    }

    fn send(&mut self, now: ClockTime, ask: &RouteRequest, weighed: &WeighedChoice) {
        let WeighedChoice { choice, uncached } = weighed;
        let prefill = choice.prefill.as_ref().unwrap_or(&choice.endpoint).clone();
        let life = self.settings.report_life;
        if let Some(slot) = self.table.slot_mut(&prefill) {
            slot.load.sent(now, *uncached, life);
            if let Some(prefix) = ask.prefix {
                slot.remember(prefix);
            }
        }
        if prefill != choice.endpoint
            && let Some(slot) = self.table.slot_mut(&choice.endpoint)
        {
            slot.load.sent(now, TokenCount::ZERO, life);
        }
        let attempt = SentAttempt {
            endpoint: choice.endpoint.clone(),
            prefill,
            unfilled: *uncached,
        };
        self.sent.insert(ask.request.clone(), attempt);
    }

    /// The first token came: the prompt is no longer in the way of others.
    pub fn note_first_token(&mut self, now: ClockTime, request: &RequestId) {
        let Some(attempt) = self.sent.get_mut(request) else {
            return;
        };
        let unfilled = std::mem::take(&mut attempt.unfilled);
        let life = self.settings.report_life;
        let (prefill, split) = (attempt.prefill.clone(), attempt.prefill != attempt.endpoint);
        let Some(slot) = self.table.slot_mut(&prefill) else {
            return;
        };
        match split && unfilled > TokenCount::ZERO {
            true => slot.load.ended(now, unfilled, life),
            false => slot.load.prefilled(now, unfilled, life),
        }
    }

    /// An attempt ended. Returns why the endpoint is left alone from now on, if
    /// it is.
    pub fn finish(
        &mut self,
        now: ClockTime,
        request: &RequestId,
        outcome: RouteOutcome,
    ) -> Option<String> {
        let attempt = self.sent.remove(request)?;
        let life = self.settings.report_life;
        let split = attempt.prefill != attempt.endpoint;
        if split
            && attempt.unfilled > TokenCount::ZERO
            && let Some(slot) = self.table.slot_mut(&attempt.prefill)
        {
            slot.load.ended(now, attempt.unfilled, life);
        }
        let unfilled = match split {
            true => TokenCount::ZERO,
            false => attempt.unfilled,
        };
        let slot = self.table.slot_mut(&attempt.endpoint)?;
        slot.load.ended(now, unfilled, life);
        match outcome {
            RouteOutcome::Answered => slot.health.note_success(now, &self.settings),
            RouteOutcome::Cancelled | RouteOutcome::Refused => {}
            RouteOutcome::Failed => {
                let span = slot
                    .health
                    .note_failure(now, &self.settings, &mut self.random)?;
                return Some(format!(
                    "`{}` failed and gets no work for {span}",
                    attempt.endpoint
                ));
            }
        }
        None
    }
}

/// What an entry knows of a pool as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// Endpoints that serve and stay.
    pub available: u32,
    /// Requests that those run at once.
    pub slots: u32,
    /// Requests of this entry there.
    pub local: u64,
    /// Requests of others there, as estimated.
    pub remote: u64,
}
