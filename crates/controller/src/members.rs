//! Which instances are live, as far as the platform's lagging list tells.

use std::sync::{Arc, Mutex};

use bluebell_core::{
    authority::DutyCandidate, clock::TimeSpan, ids::FailureDomain, marks::EntryProgress,
};
use bluebell_daemon::logs::LogLine;
use bluebell_node::NodeHandle;
use bluebell_platform::api::{InstanceListing, InstanceProgram, InstanceState};
use tokio_util::sync::CancellationToken;

/// How often the list is read and this instance announced.
const REFRESH_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// The instances on the platform's list; clones share it.
#[derive(Clone, Debug, Default)]
pub struct InstanceList {
    listings: Arc<Mutex<Vec<InstanceListing>>>,
}

impl InstanceList {
    /// An empty list.
    pub fn new() -> InstanceList {
        InstanceList::default()
    }

    fn replace(&self, listings: Vec<InstanceListing>) {
        *self.listings.lock().expect("no holder panics") = listings;
    }

    /// The live instances that run `program`.
    pub fn live(&self, program: InstanceProgram) -> Vec<InstanceListing> {
        let listings = self.listings.lock().expect("no holder panics");
        let wanted = |listing: &&InstanceListing| {
            listing.program == program && listing.state == InstanceState::Live
        };
        listings.iter().filter(wanted).cloned().collect()
    }

    /// The controllers that could hold a duty.
    pub fn candidates(&self) -> Vec<DutyCandidate> {
        let candidate = |listing: InstanceListing| DutyCandidate {
            instance: listing.instance,
            failure_domain: listing.failure_domain,
        };
        let live = self.live(InstanceProgram::Controller);
        live.into_iter().map(candidate).collect()
    }

    /// How far the live entries have read the log.
    pub fn entries(&self) -> Vec<EntryProgress> {
        let progress = |listing: InstanceListing| EntryProgress {
            instance: listing.instance,
            next: None,
        };
        let live = self.live(InstanceProgram::Entry);
        live.into_iter().map(progress).collect()
    }

    /// The failure domains that any instance runs in, sorted.
    pub fn failure_domains(&self) -> Vec<FailureDomain> {
        let listings = self.listings.lock().expect("no holder panics");
        let mut domains: Vec<FailureDomain> = listings
            .iter()
            .map(|listing| listing.failure_domain.clone())
            .collect();
        domains.sort();
        domains.dedup();
        domains
    }
}

/// Announces `own` and keeps `list` up to date until `token` is cancelled.
pub async fn run(
    node: NodeHandle,
    list: InstanceList,
    own: InstanceListing,
    token: CancellationToken,
) {
    loop {
        if let Err(error) = node.platform().announce(&own).await {
            let line = LogLine::new("announce_failed").with("error", &error);
            line.debug();
        }
        match node.platform().instances().await {
            Ok(listings) => list.replace(listings),
            Err(error) => LogLine::new("instances_failed")
                .with("error", &error)
                .debug(),
        }
        tokio::select! {
            () = token.cancelled() => return,
            () = tokio::time::sleep(REFRESH_INTERVAL.as_duration()) => {}
        }
    }
}
