//! Whether the engine runs at all: the platform stops and starts it through
//! `POST /control/power`, as it does with machines.

use rocket::{
    Request, Route, State,
    http::Status,
    post,
    request::{FromRequest, Outcome},
    routes,
    serde::json::Json,
};
use serde::{Deserialize, Serialize};

use crate::state::SharedState;

/// Starts or stops an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PowerRequest {
    /// Whether it is to run.
    pub on: bool,
}

/// Lets a call through only while the engine runs.
pub(crate) struct PoweredOn;

#[rocket::async_trait]
impl<'r> FromRequest<'r> for PoweredOn {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<PoweredOn, ()> {
        let state = request.rocket().state::<SharedState>();
        match state.is_some_and(|state| state.runs()) {
            true => Outcome::Success(PoweredOn),
            false => Outcome::Error((Status::BadGateway, ())),
        }
    }
}

/// Stopping cuts whatever the engine still runs.
#[post("/control/power", data = "<power>")]
fn set_power(state: &State<SharedState>, power: Json<PowerRequest>) -> Status {
    let PowerRequest { on } = power.into_inner();
    let was_on = std::mem::replace(&mut state.lock().powered, on);
    if was_on && !on {
        state.lose_memory();
    }
    Status::NoContent
}

pub(crate) fn routes() -> Vec<Route> {
    routes![set_power]
}
