//! The endpoints that the platform lists, and the clients of each.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use bluebell_core::{clock::TimeSpan, ids::EndpointId};
use bluebell_daemon::logs::LogLine;
use bluebell_endpoint::{EndpointClient, api::EngineStatus};
use bluebell_node::NodeHandle;
use bluebell_platform::api::{EndpointListing, EndpointState};
use serde::Serialize;
use tokio_util::sync::CancellationToken;

/// What this entry knows of one endpoint.
#[derive(Clone, Debug, Serialize)]
pub struct ListedEndpoint {
    /// The platform's word.
    pub listing: EndpointListing,
    /// The engine's state as it was last seen.
    pub status: Option<EngineStatus>,
    #[serde(skip)]
    client: EndpointClient,
}

impl ListedEndpoint {
    /// The client of the endpoint.
    pub fn client(&self) -> &EndpointClient {
        &self.client
    }
}

/// The endpoints; clones share them.
#[derive(Clone, Debug, Default)]
pub struct EndpointDirectory {
    slots: Arc<Mutex<BTreeMap<EndpointId, ListedEndpoint>>>,
}

/// An endpoint that was chosen for an attempt.
#[derive(Clone, Debug)]
pub struct ChosenEndpoint {
    /// Which.
    pub endpoint: EndpointId,
    /// How to reach it.
    pub client: EndpointClient,
    /// The engine's start that was last seen before it was chosen.
    pub incarnation: Option<u64>,
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
                Some(slot) => ListedEndpoint { listing, ..slot },
                None => ListedEndpoint {
                    client: EndpointClient::new(&listing.address),
                    listing,
                    status: None,
                },
            };
            slots.insert(slot.listing.endpoint.clone(), slot);
        }
    }

    /// Takes `endpoint` for an attempt, if it is still listed.
    pub fn choose(&self, endpoint: &EndpointId) -> Option<ChosenEndpoint> {
        let slots = self.slots.lock().expect("no holder panics");
        let slot = slots.get(endpoint)?;
        Some(ChosenEndpoint {
            endpoint: endpoint.clone(),
            client: slot.client.clone(),
            incarnation: slot.status.as_ref().map(|status| status.incarnation),
        })
    }

    /// Where the endpoint stands in its life, by the platform's list.
    pub fn state(&self, endpoint: &EndpointId) -> Option<EndpointState> {
        let slots = self.slots.lock().expect("no holder panics");
        slots.get(endpoint).map(|slot| slot.listing.state)
    }

    /// Everything, by id.
    pub fn endpoints(&self) -> Vec<ListedEndpoint> {
        let slots = self.slots.lock().expect("no holder panics");
        slots.values().cloned().collect()
    }

    /// Notes an engine's state.
    pub fn note_status(&self, endpoint: &EndpointId, status: EngineStatus) {
        let mut slots = self.slots.lock().expect("no holder panics");
        if let Some(slot) = slots.get_mut(endpoint) {
            slot.status = Some(status);
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
}
