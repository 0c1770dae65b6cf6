//! The rate-limited weight store.

use bluebell_platform::api::WeightFetch;
use rocket::{Route, State, http::Status, post, routes, serde::json::Json};

use crate::{
    rate::RateLimit,
    sender::CallSender,
    settings::PlatformSettings,
    state::{PlatformState, hold},
};

/// Fetches taken so far.
#[derive(Debug)]
pub(crate) struct WeightStore {
    limit: RateLimit,
    pub(crate) fetched: Vec<WeightFetch>,
}

impl WeightStore {
    pub(crate) fn new(settings: &PlatformSettings) -> WeightStore {
        WeightStore {
            limit: RateLimit::new(settings.fetches_per_second),
            fetched: Vec::new(),
        }
    }
}

#[post("/weights/fetch", data = "<fetch>")]
fn fetch(state: &State<PlatformState>, _sender: CallSender, fetch: Json<WeightFetch>) -> Status {
    let mut weights = hold(&state.weights);
    if !weights.limit.take(state.now()) {
        return Status::TooManyRequests;
    }
    weights.fetched.push(fetch.into_inner());
    Status::NoContent
}

pub(crate) fn routes() -> Vec<Route> {
    routes![fetch]
}
