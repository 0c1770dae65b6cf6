//! The endpoints that the platform lists, with this entry's own work on each.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use bluebell_core::{
    clock::TimeSpan,
    config::ServiceTarget,
    ids::{EndpointId, ServiceName},
    records::CapacityKind,
};
use bluebell_daemon::logs::LogLine;
use bluebell_endpoint::EndpointClient;
use bluebell_node::NodeHandle;
use bluebell_platform::api::{EndpointListing, EndpointState};
use serde::Serialize;
use tokio_util::sync::CancellationToken;

/// What work needs of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointNeed {
    /// The service.
    pub service: ServiceName,
    /// What stands behind it.
    pub target: ServiceTarget,
    /// Whether capacity that can be reclaimed will do.
    pub preemptible: bool,
}

impl EndpointNeed {
    fn is_met_by(&self, listing: &EndpointListing) -> bool {
        let work_fits = match &self.target {
            ServiceTarget::Plain {} => listing.service == self.service,
            ServiceTarget::Model { model, .. } => listing.model.as_ref() == Some(model),
        };
        let capacity_fits = self.preemptible || listing.capacity == CapacityKind::Reserved;
        listing.state == EndpointState::Ready && work_fits && capacity_fits
    }
}

/// What this entry knows of one endpoint.
#[derive(Clone, Debug, Serialize)]
pub struct EndpointSlot {
    /// The platform's word.
    pub listing: EndpointListing,
    /// This entry's requests in progress there.
    pub outstanding: u64,
    /// The number of the engine's last seen start.
    pub incarnation: Option<u64>,
    #[serde(skip)]
    client: EndpointClient,
}

/// The endpoints; clones share them.
#[derive(Clone, Debug, Default)]
pub struct EndpointDirectory {
    slots: Arc<Mutex<BTreeMap<EndpointId, EndpointSlot>>>,
}

/// An endpoint that was chosen; counts as outstanding work until it is dropped.
#[derive(Debug)]
pub struct ChosenEndpoint {
    /// Which.
    pub endpoint: EndpointId,
    /// How to reach it.
    pub client: EndpointClient,
    /// The engine's start that was last seen before it was chosen.
    pub incarnation: Option<u64>,
    directory: EndpointDirectory,
}

impl Drop for ChosenEndpoint {
    fn drop(&mut self) {
        let mut slots = self.directory.slots.lock().expect("no holder panics");
        if let Some(slot) = slots.get_mut(&self.endpoint) {
            slot.outstanding = slot.outstanding.saturating_sub(1);
        }
    }
}

impl EndpointDirectory {
    /// No endpoint known yet.
    pub fn new() -> EndpointDirectory {
        EndpointDirectory::default()
    }

    /// Takes over the platform's list.
    pub fn replace(&self, listings: Vec<EndpointListing>) {
        let mut slots = self.slots.lock().expect("no holder panics");
        let mut before = std::mem::take(&mut *slots);
        for listing in listings {
            let known = before.remove(&listing.endpoint);
            let known = known.filter(|slot| slot.listing.address == listing.address);
            let slot = match known {
                Some(slot) => EndpointSlot { listing, ..slot },
                None => EndpointSlot {
                    client: EndpointClient::new(&listing.address),
                    listing,
                    outstanding: 0,
                    incarnation: None,
                },
            };
            slots.insert(slot.listing.endpoint.clone(), slot);
        }
    }

    /// The endpoints that meet `need`, by id.
    pub fn candidates(&self, need: &EndpointNeed) -> Vec<EndpointSlot> {
        let slots = self.slots.lock().expect("no holder panics");
        let fitting = slots.values().filter(|slot| need.is_met_by(&slot.listing));
        fitting.cloned().collect()
    }

    /// Takes `endpoint` for a request.
    pub fn choose(&self, endpoint: &EndpointId) -> Option<ChosenEndpoint> {
        let mut slots = self.slots.lock().expect("no holder panics");
        let slot = slots.get_mut(endpoint)?;
        slot.outstanding += 1;
        Some(ChosenEndpoint {
            endpoint: endpoint.clone(),
            client: slot.client.clone(),
            incarnation: slot.incarnation,
            directory: self.clone(),
        })
    }

    /// Everything, for the dump.
    pub fn slots(&self) -> Vec<EndpointSlot> {
        let slots = self.slots.lock().expect("no holder panics");
        slots.values().cloned().collect()
    }

    fn note_incarnation(&self, endpoint: &EndpointId, incarnation: u64) {
        let mut slots = self.slots.lock().expect("no holder panics");
        if let Some(slot) = slots.get_mut(endpoint) {
            slot.incarnation = Some(incarnation);
        }
    }

    /// Follows the platform's list until `token` is cancelled. While the platform
    /// is away the last list stands.
    pub async fn follow(self, node: NodeHandle, interval: TimeSpan, token: CancellationToken) {
        loop {
            match node.platform().endpoints().await {
                Ok(listings) => self.replace(listings),
                Err(error) => LogLine::new("endpoint_list_failed")
                    .with("error", &error)
                    .debug(),
            }
            tokio::select! {
                () = token.cancelled() => return,
                () = tokio::time::sleep(interval.as_duration()) => {}
            }
        }
    }

    /// Looks at the engines' states until `token` is cancelled.
    pub async fn watch_engines(self, interval: TimeSpan, token: CancellationToken) {
        loop {
            let engines = self
                .slots()
                .into_iter()
                .filter(|s| s.listing.model.is_some());
            let looks = engines.map(|slot| async move {
                let status = slot.client.state().await.ok()?;
                Some((slot.listing.endpoint, status.incarnation))
            });
            for (endpoint, incarnation) in
                futures::future::join_all(looks).await.into_iter().flatten()
            {
                self.note_incarnation(&endpoint, incarnation);
            }
            tokio::select! {
                () = token.cancelled() => return,
                () = tokio::time::sleep(interval.as_duration()) => {}
            }
        }
    }
}
