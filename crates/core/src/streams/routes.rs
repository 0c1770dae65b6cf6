//! Which routes of streams have led elsewhere lately.

use std::collections::BTreeMap;

use crate::{
    clock::{ClockTime, TimeSpan},
    ingress::{IngressConfiguration, RouteKind, RouteRule, WeightedService},
};

/// The host and the prefix of the paths of a route.
type RoutePlace = (String, String);

/// The routes of streams since this instance started. A stream that began before its route
/// moved must not go on at the service to which the route leads now.
#[derive(Clone, Debug, Default)]
pub struct RouteHistory {
    targets: Option<BTreeMap<RoutePlace, Vec<WeightedService>>>,
    moved_at: BTreeMap<RoutePlace, ClockTime>,
}

fn places(configuration: &IngressConfiguration) -> BTreeMap<RoutePlace, Vec<WeightedService>> {
    let is_stream = |route: &&RouteRule| route.kind == RouteKind::Streaming;
    let routes = configuration.routes.iter().filter(is_stream);
    let places = routes.map(|route| {
        let place = (route.host.clone(), route.path_prefix.clone());
        (place, route.targets.clone())
    });
    places.collect()
}

impl RouteHistory {
    /// Creates a history without a configuration.
    pub fn new() -> RouteHistory {
        RouteHistory::default()
    }

    /// Records that `configuration` is in force from now on.
    pub fn note_configuration(&mut self, now: ClockTime, configuration: &IngressConfiguration) {
        let current = places(configuration);
        let Some(earlier) = self.targets.replace(current.clone()) else {
            return;
        };
        let all = earlier.keys().chain(current.keys());
        for place in all.filter(|place| earlier.get(*place) != current.get(*place)) {
            self.moved_at.insert(place.clone(), now);
        }
    }

    /// Whether a request of `path` at `host` may have led to another service within the last
    /// `span`.
    pub fn may_have_moved(&self, now: ClockTime, host: &str, path: &str, span: TimeSpan) -> bool {
        let mut moved = self.moved_at.iter();
        moved.any(|((moved_host, prefix), at)| {
            moved_host == host && path.starts_with(prefix) && now.since(*at) < span
        })
    }

    /// Whether any route has moved within the last `span`.
    pub fn has_moved(&self, now: ClockTime, span: TimeSpan) -> bool {
        let mut moved = self.moved_at.values();
        moved.any(|at| now.since(*at) < span)
    }

    /// Forgets the moves that are older than `span`.
    pub fn sweep(&mut self, now: ClockTime, span: TimeSpan) {
        self.moved_at.retain(|_, at| now.since(*at) < span);
    }
}
