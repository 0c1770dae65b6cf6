//! Supplies the traffic state with its inputs: endpoints, drain marks, load reports and
//! the status of peers.

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

/// How often the inputs are updated and the local status is published.
const FEED_INTERVAL: TimeSpan = TimeSpan::from_millis(50);

/// The token cost that is reported to peers as one millisecond of one engine's time.
const COST_PER_ENGINE_MS: u64 = 8;

/// The maximum number of organisations whose served cost is added to the report per
/// update.
const MAX_REPORTED_SHARES: usize = 64;

/// State kept between two updates.
#[derive(Default)]
struct FeedState {
    peer_shares: BTreeMap<(InstanceId, OrganisationId), u64>,
    peers: BTreeSet<InstanceId>,
}

/// Updates the traffic state until `token` is cancelled.
pub async fn run(context: Arc<EntryContext>, token: CancellationToken) {
    let mut feed_state = FeedState::default();
    let mut events = context.node.subscribe();
    let mut tick = tokio::time::interval(FEED_INTERVAL.as_duration());
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            _ = tick.tick() => {}
            // A drain mark is applied at once: a leaving endpoint receives no new work.
            event = events.recv() => match event {
                Ok(ViewEvent::Marked { .. }) | Err(RecvError::Lagged(_)) => {}
                Ok(_) => continue,
                Err(RecvError::Closed) => return,
            }
        }
        sync_endpoints(&context);
        let peers = live_entries(&context.node.peers());
        handle_peer_reports(&context, &peers, &mut feed_state);
        set_capacities(&context, peers.len() as u32 + 1);
        publish_local_status(&context);
        context.traffic.advance();
    }
}

/// The other entries that are live and not suspected of having failed.
pub fn live_entries(peers: &[PeerStatus]) -> Vec<PeerStatus> {
    let live = |peer: &&PeerStatus| {
        peer.program == InstanceProgram::Entry
            && peer.state == InstanceState::Live
            && !peer.suspected
    };
    peers.iter().filter(live).cloned().collect()
}

/// The routing pool that an endpoint belongs to.
pub fn endpoint_pool(listed: &ListedEndpoint) -> RoutePool {
    // The list may still contain the model that was loaded before the last order.
    let loaded = listed.status.as_ref().map(|status| &status.model);
    match loaded.or(listed.listing.model.as_ref()) {
        Some(model) => RoutePool::Model(model.clone()),
        None => RoutePool::Plain(listed.listing.service.clone()),
    }
}

/// Updates the router's endpoints from the platform's list and the drain marks.
pub fn sync_endpoints(context: &EntryContext) {
    let listed_endpoints = context.directory.endpoints();
    let leaving: BTreeSet<_> = context.node.with_view(|view| {
        let ids = listed_endpoints
            .iter()
            .map(|listed| &listed.listing.endpoint);
        ids.filter(|id| view.drain_marks.is_draining(id))
            .cloned()
            .collect()
    });
    let now = context.now();
    let mut state = context.traffic.lock();
    for known in state.router.endpoints() {
        if !listed_endpoints
            .iter()
            .any(|listed| listed.listing.endpoint == known)
        {
            state.router.remove_endpoint(&known);
        }
    }
    for listed in &listed_endpoints {
        let entry = EndpointEntry {
            endpoint: listed.listing.endpoint.clone(),
            pool: endpoint_pool(listed),
            failure_domain: listed.listing.failure_domain.clone(),
            capacity: listed.listing.capacity,
            role: listed.status.as_ref().map_or(EngineRole::Mixed, |s| s.role),
            ready: listed.listing.state == EndpointState::Ready,
            leaving: leaving.contains(&listed.listing.endpoint)
                || listed.status.as_ref().is_some_and(|status| status.changing),
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
            // If all serving endpoints have failed recently, the router tries them all.
            // Without slots the pool would refuse all work until an ejection ends.
            let snapshots = state.router.snapshots(now, &pool);
            load.available = snapshots.iter().filter(|slot| slot.open).count() as u32;
        }
        let (slots, rate, first_token) = match &pool {
            RoutePool::Model(_) => (settings.engine_slots, 8_000, settings.first_token),
            RoutePool::Plain(_) => (settings.plain_slots, 1_000, settings.plain_answer),
        };
        let total = load.available * slots;
        let local = u32::try_from(load.local).unwrap_or(u32::MAX);
        let remote = u32::try_from(load.remote).unwrap_or(u32::MAX);
        let capacity = PoolCapacity {
            slots: PoolCapacity::shared_slots(total, entries, local, remote),
            token_rate: TokenRate::new(rate * u64::from(load.available) / u64::from(entries)),
            first_token,
        };
        let actions = state.queue.set_capacity(now, &pool, capacity);
        state.send_answers(actions);
    }
}

fn handle_peer_reports(context: &EntryContext, peers: &[PeerStatus], feed_state: &mut FeedState) {
    let now = context.now();
    let known: BTreeSet<InstanceId> = peers.iter().map(|peer| peer.instance.clone()).collect();
    let mut state = context.traffic.lock();
    for removed in feed_state.peers.difference(&known) {
        state.router.forget_peer(removed);
        state.queue.remove_peer(removed);
    }
    feed_state
        .peer_shares
        .retain(|(peer, _), _| known.contains(peer));
    feed_state.peers = known;
    for peer in peers {
        let outstanding: Vec<PeerOutstanding> = peer.status.loads.iter().map(outstanding).collect();
        let last_seen = peer.last_seen.unwrap_or(now);
        state
            .router
            .note_peer(last_seen, &peer.instance, &outstanding);
        handle_peer_shares(&mut state, now, peer, feed_state);
    }
}

fn outstanding(load: &EndpointLoad) -> PeerOutstanding {
    PeerOutstanding {
        endpoint: load.endpoint.clone(),
        requests: u32::try_from(load.requests).unwrap_or(u32::MAX),
        prefill_tokens: load.tokens,
    }
}

/// Passes the cost that a peer has served since its last report to the queue. Peers
/// report totals since their start, without the pool: nearly all cost is that of
/// models, so the increase is divided equally among the models' pools.
fn handle_peer_shares(
    state: &mut TrafficState,
    now: ClockTime,
    peer: &PeerStatus,
    feed_state: &mut FeedState,
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
        let reported = share.cost.count();
        let previous = feed_state
            .peer_shares
            .insert(key, reported)
            .unwrap_or(reported);
        // A restarted peer counts from zero.
        let added = reported.checked_sub(previous).unwrap_or(reported) * COST_PER_ENGINE_MS;
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

fn publish_local_status(context: &EntryContext) {
    let now = context.now();
    let (loads, shares) = {
        let mut state = context.traffic.lock();
        for share in state.queue.take_shares(now, MAX_REPORTED_SHARES).shares {
            *state.served.entry(share.organisation).or_default() += share.served.count();
        }
        let loads = state.router.outstanding().into_iter().map(local_load);
        let shares = state.served.iter().map(|(organisation, cost)| {
            let cost = WorkCost::new(cost / COST_PER_ENGINE_MS);
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

fn local_load(outstanding: PeerOutstanding) -> EndpointLoad {
    EndpointLoad {
        endpoint: outstanding.endpoint,
        requests: u64::from(outstanding.requests),
        tokens: outstanding.prefill_tokens,
    }
}

/// Polls the engines' states and load reports until `token` is cancelled.
pub async fn poll_engines(context: Arc<EntryContext>, token: CancellationToken) {
    let interval = context.settings.requests.list_interval;
    loop {
        let endpoints = context.directory.endpoints();
        let engines = endpoints
            .iter()
            .filter(|listed| listed.listing.model.is_some());
        let polls = engines.map(|listed| poll_engine(&context, listed));
        futures::future::join_all(polls).await;
        tokio::select! {
            () = token.cancelled() => return,
            () = tokio::time::sleep(interval.as_duration()) => {}
        }
    }
}

async fn poll_engine(context: &EntryContext, listed: &ListedEndpoint) {
    let endpoint = &listed.listing.endpoint;
    if let Ok(status) = listed.client().state().await {
        context.directory.note_status(endpoint, status);
    }
    let Ok(report) = listed.client().load().await else {
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
