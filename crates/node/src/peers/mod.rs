//! Opens and accepts the planned connections between instances.
//!
//! Either side may open a connection. The instance with the smaller id does so at
//! once, the other one only after a delay, so that two connections are seldom
//! opened at the same time; if they are, the newer one replaces the older one.

mod link;
pub mod link_table;
mod messages;
pub mod wire;

use std::collections::BTreeMap;

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::InstanceId,
    membership::InstanceListing,
};
use bluebell_daemon::logs::LogLine;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::handle::{NodeHandle, lock};

/// How often the connections are compared with the plan.
const MAINTENANCE_INTERVAL: TimeSpan = TimeSpan::from_millis(500);

/// How long the instance with the greater id waits for the other one to connect.
const DIAL_DELAY: TimeSpan = TimeSpan::from_secs(2);

/// The minimum time between two attempts to connect to the same peer.
const DIAL_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// Time-out for opening a connection.
const DIAL_TIMEOUT: TimeSpan = TimeSpan::from_secs(1);

/// Accepts connections from peers until `token` is cancelled.
pub(crate) async fn accept(node: NodeHandle, listener: TcpListener, token: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = token.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let token = token.child_token();
                tokio::spawn(link::run(node.clone(), stream, false, token));
            }
            Err(error) => {
                LogLine::new("peer_accept_failed")
                    .with("error", error)
                    .warn();
                tokio::time::sleep(MAINTENANCE_INTERVAL.as_duration()).await;
            }
        }
    }
}

/// Keeps the planned connections open until `token` is cancelled.
pub(crate) async fn maintain(node: NodeHandle, local: InstanceListing, token: CancellationToken) {
    let mut dialled_at: BTreeMap<InstanceId, ClockTime> = BTreeMap::new();
    let mut missing: BTreeMap<InstanceId, ClockTime> = BTreeMap::new();
    loop {
        node.refresh_local_presence(&local);
        let targets = node.update_link_plan();
        let now = node.clock().now();
        close_unplanned(&node);
        missing.retain(|peer, _| targets.iter().any(|l| l.instance == *peer));
        for listing in targets {
            let peer = &listing.instance;
            if lock(&node.state.links).link(peer).is_some() {
                missing.remove(peer);
                continue;
            }
            let missing_since = *missing.entry(peer.clone()).or_insert(now);
            let dialled_recently = dialled_at
                .get(peer)
                .is_some_and(|at| now.since(*at) < DIAL_INTERVAL);
            let may_dial = local.instance < *peer || now.since(missing_since) >= DIAL_DELAY;
            if may_dial && !dialled_recently {
                dialled_at.insert(peer.clone(), now);
                tokio::spawn(dial(node.clone(), listing, token.child_token()));
            }
        }
        let state = node.local_state();
        tokio::select! {
            () = token.cancelled() => return,
            () = node.local_changed(state) => {
                node.refresh_local_presence(&local);
                node.request_heartbeats();
            }
            () = tokio::time::sleep(MAINTENANCE_INTERVAL.as_duration()) => {}
        }
    }
}

/// Closes connections that this process opened and the plan no longer includes.
fn close_unplanned(node: &NodeHandle) {
    let plan = node.state.plan.borrow().clone();
    for (peer, link) in lock(&node.state.links).links() {
        if link.dialled && !plan.neighbours.contains(peer) {
            link.token.cancel();
        }
    }
}

async fn dial(node: NodeHandle, listing: InstanceListing, token: CancellationToken) {
    let connect = TcpStream::connect(&listing.peer_address);
    match tokio::time::timeout(DIAL_TIMEOUT.as_duration(), connect).await {
        Ok(Ok(stream)) => link::run(node, stream, true, token).await,
        Ok(Err(error)) => LogLine::new("peer_connect_failed")
            .with("peer", &listing.instance)
            .with("error", error)
            .debug(),
        Err(_) => LogLine::new("peer_connect_timed_out")
            .with("peer", &listing.instance)
            .debug(),
    }
}
