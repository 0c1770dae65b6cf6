//! The endpoint interface: a list, start and stop orders, reclaim.
//!
//! `POST /control/endpoints` puts a running endpoint on the list,
//! `POST /control/spares` adds one to the pool that starts are served from,
//! and `POST /control/reclaim` takes the preemptible ones of a failure domain.

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
use rocket::{Route, State, get, http::Status, post, routes, serde::json::Json};
use serde::{Deserialize, Serialize};

use crate::{
    faults::EffectCall,
    history::{EndpointOrder, OrderSeen},
    power,
    sender::CallSender,
    settings::PlatformSettings,
    state::{PlatformState, hold},
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
enum LifeState {
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
    starter: Option<EndpointStarter>,
    entries: BTreeMap<EndpointId, BookEntry>,
    spares: Vec<EndpointListing>,
    running: BTreeSet<OrderId>,
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

    fn add(&mut self, listing: EndpointListing, life: LifeState, from_pool: bool) {
        let entry = BookEntry {
            listing,
            life,
            from_pool,
        };
        self.entries.insert(entry.listing.endpoint.clone(), entry);
    }

    fn list(&self, now: ClockTime) -> Vec<EndpointListing> {
        self.entries
            .values()
            .map(|entry| entry.listing(now))
            .collect()
    }

    fn note(
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

    /// Refuses an order with an old fencing number.
    fn check_fence(&mut self, fence: LogOffset) -> Result<(), Status> {
        if self.checks_fencing && fence < self.fence {
            return Err(Status::Conflict);
        }
        self.fence = self.fence.max(fence);
        Ok(())
    }

    fn take_spare(&mut self, order: &StartEndpoint) -> Option<EndpointListing> {
        let fits = |spare: &EndpointListing| {
            spare.failure_domain == order.failure_domain && spare.service == order.service
        };
        let index = self.spares.iter().position(fits)?;
        Some(self.spares.remove(index))
    }

    fn install(
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
    fn stop(&mut self, order: &StopEndpoint) -> Result<Option<String>, Status> {
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

    fn reclaim(&mut self, now: ClockTime, request: &ReclaimRequest) -> Vec<EndpointListing> {
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

#[get("/endpoints")]
fn list(state: &State<PlatformState>, _sender: CallSender) -> Json<Vec<EndpointListing>> {
    Json(hold(&state.endpoints).list(state.now()))
}

/// What to do with a start order, decided under the book's lock.
enum StartStep {
    Answer(EndpointListing),
    Run(EndpointStarter),
}

fn begin_start(
    state: &PlatformState,
    sender: &CallSender,
    order: &StartEndpoint,
) -> Result<StartStep, Status> {
    let now = state.now();
    let mut book = hold(&state.endpoints);
    let seen = EndpointOrder::Start(order.clone());
    if let Some(endpoint) = book.started.get(&order.order).cloned() {
        book.note(now, sender.instance.clone(), seen, false);
        return Ok(StartStep::Answer(book.entries[&endpoint].listing(now)));
    }
    if let Err(status) = book.check_fence(order.fence) {
        book.note(now, sender.instance.clone(), seen, false);
        return Err(status);
    }
    let preemptible = order.capacity == CapacityKind::Preemptible;
    if preemptible && state.faults().preemptible_unavailable {
        book.note(now, sender.instance.clone(), seen, false);
        return Err(Status::ServiceUnavailable);
    }
    if let Some(starter) = book.starter.clone() {
        // A repeat that overtakes the first copy would start a second endpoint.
        if !book.running.insert(order.order.clone()) {
            return Err(Status::ServiceUnavailable);
        }
        return Ok(StartStep::Run(starter));
    }
    let spare = book.take_spare(order);
    book.note(now, sender.instance.clone(), seen, spare.is_some());
    let spare = spare.ok_or(Status::ServiceUnavailable)?;
    Ok(StartStep::Answer(book.install(now, order, spare)))
}

#[post("/endpoints/start", data = "<order>")]
async fn start(
    state: &State<PlatformState>,
    sender: CallSender,
    order: Json<StartEndpoint>,
) -> Result<Json<EndpointListing>, Status> {
    if state.faults().endpoint_outage {
        return Err(Status::ServiceUnavailable);
    }
    let order = order.into_inner();
    let listing = match begin_start(state, &sender, &order)? {
        StartStep::Answer(listing) => listing,
        StartStep::Run(starter) => {
            let listing = starter(order.clone()).await;
            let now = state.now();
            let mut book = hold(&state.endpoints);
            book.running.remove(&order.order);
            let seen = EndpointOrder::Start(order.clone());
            book.note(now, sender.instance, seen, listing.is_some());
            let listing = listing.ok_or(Status::ServiceUnavailable)?;
            book.install(now, &order, listing)
        }
    };
    power::switch(&state.http, &listing.address, true).await;
    state.answer(EffectCall::Endpoint, Json(listing)).await
}

#[post("/endpoints/stop", data = "<order>")]
async fn stop(
    state: &State<PlatformState>,
    sender: CallSender,
    order: Json<StopEndpoint>,
) -> Result<Status, Status> {
    if state.faults().endpoint_outage {
        return Err(Status::ServiceUnavailable);
    }
    let now = state.now();
    let result = {
        let mut book = hold(&state.endpoints);
        let result = book.stop(&order);
        let effect = matches!(result, Ok(Some(_)));
        let seen = EndpointOrder::Stop(order.into_inner());
        book.note(now, sender.instance, seen, effect);
        result
    };
    if let Some(address) = result? {
        power::switch(&state.http, &address, false).await;
    }
    state.answer(EffectCall::Endpoint, Status::NoContent).await
}

#[post("/control/endpoints", data = "<listing>")]
fn register(state: &State<PlatformState>, listing: Json<EndpointListing>) -> Status {
    hold(&state.endpoints).add(listing.into_inner(), LifeState::Ready, false);
    Status::NoContent
}

#[post("/control/spares", data = "<listing>")]
fn add_spare(state: &State<PlatformState>, listing: Json<EndpointListing>) -> Status {
    hold(&state.endpoints).spares.push(listing.into_inner());
    Status::NoContent
}

#[post("/control/reclaim", data = "<request>")]
async fn reclaim(
    state: &State<PlatformState>,
    request: Json<ReclaimRequest>,
) -> Json<Vec<EndpointListing>> {
    let request = request.into_inner();
    let reclaimed = hold(&state.endpoints).reclaim(state.now(), &request);
    for listing in &reclaimed {
        let (http, address) = (state.http.clone(), listing.address.clone());
        tokio::spawn(async move {
            tokio::time::sleep(request.notice.as_duration()).await;
            power::switch(&http, &address, false).await;
        });
    }
    Json(reclaimed)
}

pub(crate) fn routes() -> Vec<Route> {
    routes![list, start, stop, register, add_spare, reclaim]
}
