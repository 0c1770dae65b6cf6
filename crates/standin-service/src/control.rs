//! Health, and the routes by which tests switch faults.

use rocket::{Route, State, get, http::Status, post, routes, serde::json::Json};

use crate::{faults::ServiceFaults, history::ServiceHistory, state::ServiceState};

#[get("/health")]
fn health() -> Status {
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
    routes![health, set_faults, show_faults, history]
}
