//! Health, and the routes by which tests switch faults.

use rocket::{Route, State, get, http::Status, post, routes, serde::json::Json};

use serde::{Deserialize, Serialize};

use crate::{faults::ServiceFaults, history::ServiceHistory, state::ServiceState};

/// Starts or stops the replica.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct PowerRequest {
    on: bool,
}

#[get("/health")]
fn health(state: &State<ServiceState>) -> Status {
    match state.is_powered() {
        true => Status::NoContent,
        false => Status::BadGateway,
    }
}

#[post("/control/power", data = "<power>")]
fn set_power(state: &State<ServiceState>, power: Json<PowerRequest>) -> Status {
    let PowerRequest { on } = power.into_inner();
    state.set_power(on);
    Status::NoContent
}

#[post("/control/faults", data = "<faults>")]
fn set_faults(state: &State<ServiceState>, faults: Json<ServiceFaults>) -> Status {
    state.set_faults(faults.into_inner());
    Status::NoContent
}

#[get("/control/faults")]
fn show_faults(state: &State<ServiceState>) -> Json<ServiceFaults> {
    Json(state.faults())
}

#[get("/control/history")]
fn history(state: &State<ServiceState>) -> Json<ServiceHistory> {
    Json(state.history())
}

pub(crate) fn routes() -> Vec<Route> {
    routes![health, set_power, set_faults, show_faults, history]
}
