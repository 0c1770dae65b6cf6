//! Orders and status, and the routes by which tests switch faults.

use bluebell_core::clock::TimeSpan;
use bluebell_endpoint::api::{EngineOrder, EngineStatus, OrderAnswer};
use rocket::{Route, State, get, http::Status, post, routes, serde::json::Json};
use serde::{Deserialize, Serialize};

use crate::{
    faults::EngineFaults, history::EngineEvent, orders::OrderResult, power::PoweredOn,
    state::SharedState,
};

/// A crash at once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CrashRequest {
    /// How long the engine is down; none means for good.
    pub down_for: Option<TimeSpan>,
}

#[post("/orders", data = "<order>")]
fn order(
    state: &State<SharedState>,
    _power: PoweredOn,
    order: Json<EngineOrder>,
) -> Result<Json<OrderAnswer>, Status> {
    let order = order.into_inner();
    let now = state.clock.now();
    let mut parts = state.lock();
    let busy = parts.orders.change_left(now).is_some();
    let result = parts.orders.take(now, &order);
    let effect = matches!(result, OrderResult::Applied(_));
    let cut = match effect {
        true => parts.batch.running() + parts.batch.waiting(),
        false => 0,
    };
    if effect {
        // The change takes the engine away from whatever it still runs.
        parts.batch.clear();
    }
    let repeated = matches!(result, OrderResult::Repeated(_));
    parts.history.push(EngineEvent::Order {
        at: now,
        order,
        effect,
        conflicting: busy && !repeated,
        cut: cut as u64,
    });
    match result {
        OrderResult::Applied(answer) | OrderResult::Repeated(answer) => Ok(Json(answer)),
        OrderResult::Stale => Err(Status::Conflict),
        OrderResult::Busy { .. } => Err(Status::ServiceUnavailable),
        OrderResult::Unknown => Err(Status::UnprocessableEntity),
    }
}

#[get("/state")]
fn status(state: &State<SharedState>, _power: PoweredOn) -> Json<EngineStatus> {
    let now = state.clock.now();
    let parts = state.lock();
    Json(EngineStatus {
        incarnation: parts.incarnation,
        role: parts.orders.role(),
        model: parts.orders.model().clone(),
        changing: parts.orders.change_left(now).is_some(),
        in_flight: (parts.batch.waiting() + parts.batch.running()) as u64,
        fence: parts.orders.fence(),
        last_order: parts.orders.last_order().cloned(),
    })
}

#[get("/health")]
fn health(_power: PoweredOn) -> Status {
    Status::NoContent
}

#[post("/control/faults", data = "<faults>")]
fn set_faults(state: &State<SharedState>, faults: Json<EngineFaults>) -> Status {
    state.lock().faults = faults.into_inner();
    state.wake.notify_one();
    Status::NoContent
}

#[get("/control/faults")]
fn show_faults(state: &State<SharedState>) -> Json<EngineFaults> {
    Json(state.lock().faults.clone())
}

/// Makes all open streams mute for good; new ones work.
#[post("/control/silence")]
fn silence(state: &State<SharedState>) -> Status {
    state.silences.send_modify(|silences| *silences += 1);
    Status::NoContent
}

#[post("/control/crash", data = "<crash>")]
fn crash(state: &State<SharedState>, crash: Json<CrashRequest>) -> Status {
    let CrashRequest { down_for } = crash.into_inner();
    state.crash(down_for);
    Status::NoContent
}

#[get("/control/history")]
fn history(state: &State<SharedState>) -> Json<Vec<EngineEvent>> {
    Json(state.lock().history.events.iter().cloned().collect())
}

pub(crate) fn routes() -> Vec<Route> {
    routes![
        order,
        status,
        health,
        set_faults,
        show_faults,
        silence,
        crash,
        history
    ]
}
