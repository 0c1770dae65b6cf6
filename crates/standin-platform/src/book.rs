//! The endpoints that the platform knows, its spares, and what became of orders.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{EndpointId, FailureDomain, InstanceId, LogOffset, OrderId},
    records::CapacityKind,
};
use bluebell_platform::api::{EndpointListing, EndpointState, StartEndpoint, StopEndpoint};
use futures::future::BoxFuture;
use rocket::http::Status;
use serde::{Deserialize, Serialize};

use crate::{
    history::{EndpointOrder, OrderSeen},
    settings::PlatformSettings,
};

/// Starts an endpoint for an embedder; none if there is none to be had.
pub(crate) type EndpointStarter =
    Arc<dyn Fn(StartEndpoint) -> BoxFuture<'static, Option<EndpointListing>> + Send + Sync>;

/// Takes back the preemptible endpoints of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReclaimRequest {
    /// Whose endpoints.
    pub failure_domain: FailureDomain,
    /// How long they still run.
    pub notice: TimeSpan,
}

#[derive(Clone, Debug)]
pub(crate) enum LifeState {
    Starting { ready_at: ClockTime },
    Ready,
    Reclaimed { gone_at: ClockTime },
    Gone,
}

#[derive(Clone, Debug)]
struct BookEntry {
    listing: EndpointListing,
    life: LifeState,
    from_pool: bool,
}

impl BookEntry {
    fn state(&self, now: ClockTime) -> EndpointState {
        match self.life {
            LifeState::Starting { ready_at } if now < ready_at => EndpointState::Starting,
            LifeState::Starting { .. } | LifeState::Ready => EndpointState::Ready,
            LifeState::Reclaimed { gone_at } if now < gone_at => EndpointState::Reclaimed {
                remaining: gone_at.since(now),
            },
            LifeState::Reclaimed { .. } | LifeState::Gone => EndpointState::Gone,
        }
    }

    fn listing(&self, now: ClockTime) -> EndpointListing {
        EndpointListing {
            state: self.state(now),
            ..self.listing.clone()
        }
    }
}

/// All endpoints, the pool of spares, and what became of each order.
pub(crate) struct EndpointBook {
    checks_fencing: bool,
    start_delay: TimeSpan,
    pub(crate) starter: Option<EndpointStarter>,
    entries: BTreeMap<EndpointId, BookEntry>,
    pub(crate) spares: Vec<EndpointListing>,
    pub(crate) running: BTreeSet<OrderId>,
    started: BTreeMap<OrderId, EndpointId>,
    stopped: BTreeMap<OrderId, EndpointId>,
    fence: LogOffset,
    pub(crate) seen: Vec<OrderSeen>,
}

impl EndpointBook {
    pub(crate) fn new(
        settings: &PlatformSettings,
        starter: Option<EndpointStarter>,
    ) -> EndpointBook {
        EndpointBook {
            checks_fencing: settings.checks_fencing,
            start_delay: settings.start_delay,
            starter,
            entries: BTreeMap::new(),
            spares: Vec::new(),
            running: BTreeSet::new(),
            started: BTreeMap::new(),
            stopped: BTreeMap::new(),
            fence: LogOffset::START,
            seen: Vec::new(),
        }
    }

    pub(crate) fn add(&mut self, listing: EndpointListing, life: LifeState, from_pool: bool) {
        let entry = BookEntry {
            listing,
            life,
            from_pool,
        };
        self.entries.insert(entry.listing.endpoint.clone(), entry);
    }

    pub(crate) fn list(&self, now: ClockTime) -> Vec<EndpointListing> {
        self.entries
            .values()
            .map(|entry| entry.listing(now))
            .collect()
    }

    pub(crate) fn note(
        &mut self,
        at: ClockTime,
        sender: Option<InstanceId>,
        order: EndpointOrder,
        effect: bool,
    ) {
        self.seen.push(OrderSeen {
            at,
            sender,
            order,
            effect,
        });
    }

    /// The listing of the endpoint that an order started.
    pub(crate) fn started(&self, now: ClockTime, order: &OrderId) -> Option<EndpointListing> {
        let endpoint = self.started.get(order)?;
        self.entries.get(endpoint).map(|entry| entry.listing(now))
    }

    /// Refuses an order with an old fencing number.
    pub(crate) fn check_fence(&mut self, fence: LogOffset) -> Result<(), Status> {
        if self.checks_fencing && fence < self.fence {
            return Err(Status::Conflict);
        }
        self.fence = self.fence.max(fence);
        Ok(())
    }

    pub(crate) fn take_spare(&mut self, order: &StartEndpoint) -> Option<EndpointListing> {
        let fits = |spare: &EndpointListing| {
            spare.failure_domain == order.failure_domain && spare.service == order.service
        };
        let index = self.spares.iter().position(fits)?;
        Some(self.spares.remove(index))
    }

    pub(crate) fn install(
        &mut self,
        now: ClockTime,
        order: &StartEndpoint,
        mut listing: EndpointListing,
    ) -> EndpointListing {
        listing.capacity = order.capacity;
        let endpoint = listing.endpoint.clone();
        let ready_at = now + self.start_delay;
        self.add(listing, LifeState::Starting { ready_at }, true);
        self.started.insert(order.order.clone(), endpoint.clone());
        self.entries[&endpoint].listing(now)
    }

    /// Stops an endpoint; answers its address if that had an effect.
    pub(crate) fn stop(&mut self, order: &StopEndpoint) -> Result<Option<String>, Status> {
        if self.stopped.contains_key(&order.order) {
            return Ok(None);
        }
        self.check_fence(order.fence)?;
        let entry = self
            .entries
            .get_mut(&order.endpoint)
            .ok_or(Status::NotFound)?;
        let was_gone = matches!(entry.life, LifeState::Gone);
        entry.life = LifeState::Gone;
        let address = entry.listing.address.clone();
        if entry.from_pool && !was_gone {
            self.spares.push(entry.listing.clone());
        }
        self.stopped
            .insert(order.order.clone(), order.endpoint.clone());
        Ok((!was_gone).then_some(address))
    }

    pub(crate) fn reclaim(
        &mut self,
        now: ClockTime,
        request: &ReclaimRequest,
    ) -> Vec<EndpointListing> {
        let gone_at = now + request.notice;
        let mut reclaimed = Vec::new();
        for entry in self.entries.values_mut() {
            let listing = &entry.listing;
            let concerned = listing.failure_domain == request.failure_domain
                && listing.capacity == CapacityKind::Preemptible
                && !matches!(entry.life, LifeState::Gone | LifeState::Reclaimed { .. });
            if !concerned {
                continue;
            }
            entry.life = LifeState::Reclaimed { gone_at };
            reclaimed.push(entry.listing(now));
        }
        reclaimed
    }
}
