//! The lagging list of live and leaving instances.

use std::collections::{BTreeMap, VecDeque};

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::InstanceId,
};
use bluebell_platform::api::InstanceListing;
use rocket::{Route, State, get, http::Status, put, routes, serde::json::Json};

use crate::{
    sender::CallSender,
    settings::PlatformSettings,
    state::{PlatformState, hold},
};

#[derive(Clone, Debug)]
struct SeenListing {
    seen_at: ClockTime,
    listing: InstanceListing,
}

/// Announcements, of which the list shows those older than the lag.
#[derive(Debug)]
pub(crate) struct InstanceList {
    lag: TimeSpan,
    expiry: TimeSpan,
    announced: VecDeque<SeenListing>,
    shown: BTreeMap<InstanceId, SeenListing>,
}

impl InstanceList {
    pub(crate) fn new(settings: &PlatformSettings) -> InstanceList {
        InstanceList {
            lag: settings.list_lag,
            expiry: settings.list_expiry,
            announced: VecDeque::new(),
            shown: BTreeMap::new(),
        }
    }

    fn announce(&mut self, now: ClockTime, listing: InstanceListing) {
        let seen_at = now;
        self.announced.push_back(SeenListing { seen_at, listing });
    }

    fn advance(&mut self, now: ClockTime) {
        while let Some(first) = self.announced.front()
            && now.since(first.seen_at) >= self.lag
        {
            let Some(seen) = self.announced.pop_front() else {
                break;
            };
            self.shown.insert(seen.listing.instance.clone(), seen);
        }
        let life = self.lag + self.expiry;
        self.shown.retain(|_, seen| now.since(seen.seen_at) < life);
    }

    fn list(&self) -> Vec<InstanceListing> {
        self.shown
            .values()
            .map(|seen| seen.listing.clone())
            .collect()
    }
}

#[put("/instances", data = "<listing>")]
fn announce(
    state: &State<PlatformState>,
    _sender: CallSender,
    listing: Json<InstanceListing>,
) -> Status {
    hold(&state.instances).announce(state.now(), listing.into_inner());
    Status::NoContent
}

#[get("/instances")]
fn list(state: &State<PlatformState>, _sender: CallSender) -> Json<Vec<InstanceListing>> {
    let frozen = state.faults().list_frozen;
    let mut instances = hold(&state.instances);
    if !frozen {
        instances.advance(state.now());
    }
    Json(instances.list())
}

pub(crate) fn routes() -> Vec<Route> {
    routes![announce, list]
}
