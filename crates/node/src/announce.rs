//! Telling the platform's list that this process runs, and reading the list.
//!
//! The list lags and forgets who has stopped telling it, so the announcement is
//! repeated every second. A process that shuts down says so at once, so that
//! callers' balancers and peers stop sending it work before it is gone.

use bluebell_core::{
    clock::TimeSpan,
    membership::{InstanceListing, InstanceState},
};
use bluebell_daemon::logs::LogLine;
use tokio_util::sync::CancellationToken;

use crate::handle::NodeHandle;

/// The time between two announcements.
pub const ANNOUNCE_EVERY: TimeSpan = TimeSpan::from_secs(1);

/// Announces `listing` and reads the list until `token` is cancelled, then
/// announces that this process leaves.
pub async fn run(node: NodeHandle, listing: InstanceListing, token: CancellationToken) {
    loop {
        let state = node.local_state();
        announce(&node, &listing, state).await;
        match node.platform().instances().await {
            Ok(listings) => node.note_listings(&listings),
            Err(error) => LogLine::new("instance_list_failed")
                .with("error", error)
                .debug(),
        }
        tokio::select! {
            () = token.cancelled() => break,
            () = node.local_changed(state) => {}
            () = tokio::time::sleep(ANNOUNCE_EVERY.as_duration()) => {}
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
