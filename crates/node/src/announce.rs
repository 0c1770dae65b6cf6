//! Announces this process on the platform's instance list and polls the list.
//!
//! The list is updated with a delay and drops instances that no longer announce
//! themselves, so the announcement is repeated every second. A process that shuts
//! down announces it at once, so that load balancers and peers stop sending it
//! work before it exits.

use bluebell_core::{
    clock::TimeSpan,
    membership::{InstanceListing, InstanceState},
};
use bluebell_daemon::logs::LogLine;
use tokio_util::sync::CancellationToken;

use crate::handle::NodeHandle;

/// The time between two announcements.
pub const ANNOUNCE_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// The time between two reads of the list, per instance on it. The list grows
/// with the fleet: at one read a second, each of 350 instances would receive tens
/// of kilobytes a second. New instances are learned sooner from peers.
const LIST_INTERVAL_PER_INSTANCE: TimeSpan = TimeSpan::from_millis(100);

/// The maximum time between two reads of the list.
const MAX_LIST_INTERVAL: TimeSpan = TimeSpan::from_secs(30);

/// Announces `listing` and polls the list until `token` is cancelled, then
/// announces that this process is leaving.
pub async fn run(node: NodeHandle, listing: InstanceListing, token: CancellationToken) {
    let mut next_read = node.clock().now();
    loop {
        let state = node.local_state();
        announce(&node, &listing, state).await;
        if node.clock().now() >= next_read {
            let pause = read_list(&node).await;
            next_read = node.clock().now() + pause;
        }
        tokio::select! {
            () = token.cancelled() => break,
            () = node.local_changed(state) => {}
            () = tokio::time::sleep(ANNOUNCE_INTERVAL.as_duration()) => {}
        }
    }
    announce(&node, &listing, InstanceState::Leaving).await;
}

async fn announce(node: &NodeHandle, listing: &InstanceListing, state: InstanceState) {
    let mut listing = listing.clone();
    listing.state = state;
    if let Err(error) = node.platform().announce(&listing).await {
        LogLine::new("announce_failed").with("error", error).debug();
    }
}

/// Reads the list; returns the delay until the next read.
async fn read_list(node: &NodeHandle) -> TimeSpan {
    match node.platform().instances().await {
        Ok(listings) => {
            node.note_listings(&listings);
            LIST_INTERVAL_PER_INSTANCE
                .times(listings.len() as u64)
                .min(MAX_LIST_INTERVAL)
        }
        Err(error) => {
            LogLine::new("instance_list_failed")
                .with("error", error)
                .debug();
            TimeSpan::ZERO
        }
    }
}
