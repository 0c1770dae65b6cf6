//! The platform's list of endpoints, as last read.

use std::sync::{Arc, Mutex};

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::EndpointId,
};
use bluebell_daemon::logs::LogLine;
use bluebell_node::NodeHandle;
use bluebell_platform::api::EndpointListing;
use tokio_util::sync::CancellationToken;

use crate::duties::DutyDesk;

#[derive(Debug, Default)]
struct DirectoryState {
    listings: Vec<EndpointListing>,
    asked_at: Option<ClockTime>,
}

/// The endpoints; clones share them.
#[derive(Clone, Debug, Default)]
pub struct EndpointDirectory {
    state: Arc<Mutex<DirectoryState>>,
}

impl EndpointDirectory {
    /// A directory that has not been read.
    pub fn new() -> EndpointDirectory {
        EndpointDirectory::default()
    }

    /// All endpoints.
    pub fn listings(&self) -> Vec<EndpointListing> {
        self.state
            .lock()
            .expect("no holder panics")
            .listings
            .clone()
    }

    /// When the platform was asked for what the directory holds; none if it has
    /// never answered.
    pub fn asked_at(&self) -> Option<ClockTime> {
        self.state.lock().expect("no holder panics").asked_at
    }

    /// The endpoint's listing, if it is listed.
    pub fn listing(&self, endpoint: &EndpointId) -> Option<EndpointListing> {
        let state = self.state.lock().expect("no holder panics");
        let listing = state.listings.iter().find(|l| l.endpoint == *endpoint);
        listing.cloned()
    }

    /// Asks the platform.
    pub async fn refresh(&self, node: &NodeHandle) {
        let asked_at = node.clock().now();
        match node.platform().endpoints().await {
            Ok(listings) => {
                let mut state = self.state.lock().expect("no holder panics");
                state.listings = listings;
                state.asked_at = Some(asked_at);
            }
            Err(error) => LogLine::new("endpoints_failed")
                .with("error", &error)
                .debug(),
        }
    }
}

/// Keeps the directory up to date while any duty is held here, until `token` is
/// cancelled.
pub async fn run(
    node: NodeHandle,
    desk: DutyDesk,
    directory: EndpointDirectory,
    interval: TimeSpan,
    token: CancellationToken,
) {
    loop {
        if !desk.grants().is_empty() {
            directory.refresh(&node).await;
        }
        tokio::select! {
            () = token.cancelled() => return,
            () = tokio::time::sleep(interval.as_duration()) => {}
        }
    }
}
