//! The endpoints that the platform lists, with a client for each.

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

/// One listed endpoint and its last known state.
#[derive(Clone, Debug, Serialize)]
pub struct ListedEndpoint {
    /// The platform's listing.
    pub listing: EndpointListing,
    /// The last state that the engine reported, if any.
    pub status: Option<EngineStatus>,
    #[serde(skip)]
    client: EndpointClient,
}

impl ListedEndpoint {
    /// The HTTP client of the endpoint.
    pub fn client(&self) -> &EndpointClient {
        &self.client
    }
}

/// The listed endpoints; clones share them.
#[derive(Clone, Debug, Default)]
pub struct EndpointDirectory {
    endpoints: Arc<Mutex<BTreeMap<EndpointId, ListedEndpoint>>>,
}

/// An endpoint that was chosen for an attempt.
#[derive(Clone, Debug)]
pub struct ChosenEndpoint {
    /// The id of the endpoint.
    pub endpoint: EndpointId,
    /// The HTTP client of the endpoint.
    pub client: EndpointClient,
    /// The engine's incarnation last seen before it was chosen, if known; it changes
    /// when the engine restarts.
    pub incarnation: Option<u64>,
}

impl EndpointDirectory {
    /// Creates an empty directory.
    pub fn new() -> EndpointDirectory {
        EndpointDirectory::default()
    }

    /// Replaces the list with the platform's. Endpoints whose address is unchanged keep
    /// their client and state.
    pub fn replace(&self, listings: Vec<EndpointListing>) {
        let mut endpoints = self.endpoints.lock().expect("no holder panics");
        let mut previous = std::mem::take(&mut *endpoints);
        for listing in listings {
            let known = previous.remove(&listing.endpoint);
            let known = known.filter(|listed| listed.listing.address == listing.address);
            let listed = match known {
                Some(listed) => ListedEndpoint { listing, ..listed },
                None => ListedEndpoint {
                    client: EndpointClient::new(&listing.address),
                    listing,
                    status: None,
                },
            };
            endpoints.insert(listed.listing.endpoint.clone(), listed);
        }
    }

    /// Returns `endpoint` for an attempt, if it is still listed.
    pub fn choose(&self, endpoint: &EndpointId) -> Option<ChosenEndpoint> {
        let endpoints = self.endpoints.lock().expect("no holder panics");
        let listed = endpoints.get(endpoint)?;
        Some(ChosenEndpoint {
            endpoint: endpoint.clone(),
            client: listed.client.clone(),
            incarnation: listed.status.as_ref().map(|status| status.incarnation),
        })
    }

    /// The endpoint's lifecycle state in the platform's list.
    pub fn state(&self, endpoint: &EndpointId) -> Option<EndpointState> {
        let endpoints = self.endpoints.lock().expect("no holder panics");
        endpoints.get(endpoint).map(|listed| listed.listing.state)
    }

    /// All listed endpoints, sorted by id.
    pub fn endpoints(&self) -> Vec<ListedEndpoint> {
        let endpoints = self.endpoints.lock().expect("no holder panics");
        endpoints.values().cloned().collect()
    }

    /// Stores an engine's reported state.
    pub fn note_status(&self, endpoint: &EndpointId, status: EngineStatus) {
        let mut endpoints = self.endpoints.lock().expect("no holder panics");
        if let Some(listed) = endpoints.get_mut(endpoint) {
            listed.status = Some(status);
        }
    }

    /// Fetches the platform's list every `interval` until `token` is cancelled. While
    /// the platform is unreachable, the last list stays in use.
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
