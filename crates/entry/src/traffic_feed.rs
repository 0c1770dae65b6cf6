//! What the traffic slices are told: endpoints, marks, load reports, peers.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use bluebell_core::{
    admission::{PeerShare, PoolCapacity, ShareReport},
    clock::{ClockTime, TimeSpan},
    ids::{InstanceId, OrganisationId},
    membership::{
        EndpointLoad, InstanceProgram, InstanceState, LocalStatus, OrganisationShare, PeerStatus,
    },
    records::EngineRole,
    routing::{EndpointEntry, PeerOutstanding, ReportedLoad, RoutePool},
    units::{TokenCount, TokenRate, WorkCost},
    view::ViewEvent,
};
use bluebell_platform::api::EndpointState;
use tokio::sync::broadcast::error::RecvError;
use tokio_util::sync::CancellationToken;

use crate::{context::EntryContext, directory::ListedEndpoint, traffic::TrafficState};

/// How often time passes for the slices and peers are told and heard.
const TICK: TimeSpan = TimeSpan::from_millis(50);

/// Token cost that counts as a millisecond of one engine's time, towards peers.
const COST_PER_MILLI: u64 = 8;

/// The most organisations whose served work is told at once.
const SHARES_TOLD: usize = 64;

/// What is remembered between two ticks.
#[derive(Default)]
struct FeedMemory {
    peer_shares: BTreeMap<(InstanceId, OrganisationId), u64>,
    peers: BTreeSet<InstanceId>,
}

/// Feeds the slices until `token` is cancelled.
pub async fn run(context: Arc<EntryContext>, token: CancellationToken) {
    let mut memory = FeedMemory::default();
    let mut events = context.node.subscribe();
    let mut tick = tokio::time::interval(TICK.as_duration());
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            _ = tick.tick() => {}
            // A mark counts at once: no new work goes to a leaving endpoint.
            event = events.recv() => match event {
                Ok(ViewEvent::Marked { .. }) | Err(RecvError::Lagged(_)) => {}
                Ok(_) => continue,
                Err(RecvError::Closed) => return,
            }
        }
        sync_endpoints(&context);
        let peers = live_entries(&context.node.peers());
        hear_peers(&context, &peers, &mut memory);
        set_capacities(&context, peers.len() as u32 + 1);
        tell_peers(&context);
        context.traffic.advance();
    }
}

/// The other entries that run and were heard of lately.
pub fn live_entries(peers: &[PeerStatus]) -> Vec<PeerStatus> {
    let live = |peer: &&PeerStatus| {
        peer.program == InstanceProgram::Entry
            && peer.state == InstanceState::Live
            && !peer.suspected
    };
    peers.iter().filter(live).cloned().collect()
}

/// The pool that an endpoint belongs to.
pub fn endpoint_pool(slot: &ListedEndpoint) -> RoutePool {
    // The list may still name the model that the engine had before an order.
    let loaded = slot.status.as_ref().map(|status| &status.model);
    match loaded.or(slot.listing.model.as_ref()) {
        Some(model) => RoutePool::Model(model.clone()),
        None => RoutePool::Plain(slot.listing.service.clone()),
    }
}

/// Tells the router of the endpoints as they are listed and marked.
pub fn sync_endpoints(context: &EntryContext) {
    let slots = context.directory.endpoints();
    let leaving: BTreeSet<_> = context.node.with_view(|view| {
        let ids = slots.iter().map(|slot| &slot.listing.endpoint);
        ids.filter(|id| view.drain_marks.is_draining(id))
            .cloned()
            .collect()
    });
    let now = context.now();
    let mut state = context.traffic.lock();
    for known in state.router.endpoints() {
        if !slots.iter().any(|slot| slot.listing.endpoint == known) {
            state.router.remove_endpoint(&known);
        }
    }
    for slot in &slots {
        let entry = EndpointEntry {
            endpoint: slot.listing.endpoint.clone(),
            pool: endpoint_pool(slot),
            failure_domain: slot.listing.failure_domain.clone(),
            capacity: slot.listing.capacity,
            role: slot.status.as_ref().map_or(EngineRole::Mixed, |s| s.role),
            ready: slot.listing.state == EndpointState::Ready,
            leaving: leaving.contains(&slot.listing.endpoint)
                || slot.status.as_ref().is_some_and(|status| status.changing),
        };
        state.router.set_endpoint(now, entry);
    }
}

fn set_capacities(context: &EntryContext, entries: u32) {
    let pools: BTreeSet<RoutePool> = context
        .directory
        .endpoints()
        .iter()
        .map(endpoint_pool)
        .collect();
    let settings = &context.settings.traffic;
    let now = context.now();
    let mut state = context.traffic.lock();
    for pool in pools {
        let mut load = state.router.pool_load(now, &pool);
        if load.available == 0 {
            // If all that serve have failed lately, the router tries them all; with
            // no slots, the pool would refuse everything until a rest is over.
            let snapshots = state.router.snapshots(now, &pool);
            load.available = snapshots.iter().filter(|slot| slot.open).count() as u32;
        }
        let (slots, rate, first_token) = match &pool {
            RoutePool::Model(_) => (settings.engine_slots, 8_000, settings.first_token),
            RoutePool::Plain(_) => (settings.plain_slots, 1_000, settings.plain_answer),
        };
        let total = load.available * slots;
        let own = u32::try_from(load.local).unwrap_or(u32::MAX);
        let others = u32::try_from(load.remote).unwrap_or(u32::MAX);
        let capacity = PoolCapacity {
            slots: PoolCapacity::shared_slots(total, entries, own, others),
            token_rate: TokenRate::new(rate * u64::from(load.available) / u64::from(entries)),
            first_token,
        };
        let actions = state.queue.set_capacity(now, &pool, capacity);
        state.carry_out(actions);
    }
}

fn hear_peers(context: &EntryContext, peers: &[PeerStatus], memory: &mut FeedMemory) {
    let now = context.now();
    let known: BTreeSet<InstanceId> = peers.iter().map(|peer| peer.instance.clone()).collect();
    let mut state = context.traffic.lock();
    for gone in memory.peers.difference(&known) {
        state.router.forget_peer(gone);
        state.queue.remove_peer(gone);
    }
    memory
        .peer_shares
        .retain(|(peer, _), _| known.contains(peer));
    memory.peers = known;
    for peer in peers {
        let outstanding: Vec<PeerOutstanding> = peer.status.loads.iter().map(outstanding).collect();
        let heard_at = peer.last_seen.unwrap_or(now);
        state
            .router
            .note_peer(heard_at, &peer.instance, &outstanding);
        hear_shares(&mut state, now, peer, memory);
    }
}

fn outstanding(load: &EndpointLoad) -> PeerOutstanding {
    PeerOutstanding {
        endpoint: load.endpoint.clone(),
        requests: u32::try_from(load.requests).unwrap_or(u32::MAX),
        prefill_tokens: load.tokens,
    }
}

/// Peers tell what they served since their start; the queue wants what was added.
/// They don't say in which pool: nearly all cost is that of models, so it counts
/// in the models' pools, in equal parts.
fn hear_shares(
    state: &mut TrafficState,
    now: ClockTime,
    peer: &PeerStatus,
    memory: &mut FeedMemory,
) {
    let pools = state.queue.status().into_iter().map(|status| status.pool);
    let pools: Vec<RoutePool> = pools
        .filter(|pool| matches!(pool, RoutePool::Model(_)))
        .collect();
    if pools.is_empty() {
        return;
    }
    let mut shares = Vec::new();
    for share in &peer.status.shares {
        let key = (peer.instance.clone(), share.organisation.clone());
        let told = share.cost.count();
        let before = memory.peer_shares.insert(key, told).unwrap_or(told);
        // A peer that was started again counts from nothing.
        let added = told.checked_sub(before).unwrap_or(told) * COST_PER_MILLI;
        let part = TokenCount::new(added / pools.len() as u64);
        if part > TokenCount::ZERO {
            shares.extend(pools.iter().map(|pool| PeerShare {
                pool: pool.clone(),
                organisation: share.organisation.clone(),
                served: part,
            }));
        }
    }
    if !shares.is_empty() {
        let report = ShareReport {
            made_at: now,
            shares,
        };
        state.queue.note_peer_shares(&peer.instance, &report);
    }
}

fn tell_peers(context: &EntryContext) {
    let now = context.now();
    let (loads, shares) = {
        let mut state = context.traffic.lock();
        for share in state.queue.take_shares(now, SHARES_TOLD).shares {
            *state.served.entry(share.organisation).or_default() += share.served.count();
        }
        let loads = state.router.outstanding().into_iter().map(own_load);
        let shares = state.served.iter().map(|(organisation, cost)| {
            let cost = WorkCost::new(cost / COST_PER_MILLI);
            OrganisationShare {
                organisation: organisation.clone(),
                cost,
            }
        });
        (loads.collect(), shares.collect())
    };
    let state = match context.draining.is_cancelled() {
        true => InstanceState::Leaving,
        false => InstanceState::Live,
    };
    let status = LocalStatus {
        state,
        loads,
        shares,
    };
    if context.node.local() != status {
        context.node.set_local(status);
    }
}

fn own_load(outstanding: PeerOutstanding) -> EndpointLoad {
    EndpointLoad {
        endpoint: outstanding.endpoint,
        requests: u64::from(outstanding.requests),
        tokens: outstanding.prefill_tokens,
    }
}

/// Looks at the engines' states and load reports until `token` is cancelled.
pub async fn poll_engines(context: Arc<EntryContext>, token: CancellationToken) {
    let interval = context.settings.requests.list_interval;
    loop {
        let slots = context.directory.endpoints();
        let engines = slots.iter().filter(|slot| slot.listing.model.is_some());
        let looks = engines.map(|slot| look(&context, slot));
        futures::future::join_all(looks).await;
        tokio::select! {
            () = token.cancelled() => return,
            () = tokio::time::sleep(interval.as_duration()) => {}
        }
    }
}

async fn look(context: &EntryContext, slot: &ListedEndpoint) {
    let endpoint = &slot.listing.endpoint;
    if let Ok(status) = slot.client().state().await {
        context.directory.note_status(endpoint, status);
    }
    let Ok(report) = slot.client().load().await else {
        return;
    };
    let reported = ReportedLoad {
        requests: report.waiting + report.running,
        prefill_backlog: report.prefill_backlog,
    };
    let measured_at = context.now() - report.age;
    let mut state = context.traffic.lock();
    state.router.note_report(measured_at, endpoint, reported);
}
