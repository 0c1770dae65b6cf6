//! The endpoint interface: a list, start and stop orders, reclaim.
//!
//! `POST /control/endpoints` puts a running endpoint on the list,
//! `POST /control/spares` adds one to the pool that starts are served from,
//! and `POST /control/reclaim` takes the preemptible ones of a failure domain.

use bluebell_core::records::CapacityKind;
use bluebell_platform::api::{EndpointListing, StartEndpoint, StopEndpoint};
use rocket::{Route, State, get, http::Status, post, routes, serde::json::Json};

use crate::{
    book::{EndpointStarter, LifeState, ReclaimRequest},
    faults::EffectCall,
    history::EndpointOrder,
    power,
    sender::CallSender,
    state::{PlatformState, hold},
};

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
    if let Some(listing) = book.started(now, &order.order) {
        book.note(now, sender.instance.clone(), seen, false);
        return Ok(StartStep::Answer(listing));
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
