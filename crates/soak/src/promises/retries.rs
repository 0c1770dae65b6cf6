//! Arrivals of requests at a service beyond the first of each, against the budget of all instances.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
};

use bluebell_core::clock::{ClockTime, TimeSpan};

use crate::promises::{DROPPED, Promise, PromiseBook};

/// The length of the windows in which arrivals are counted.
const WINDOW: TimeSpan = TimeSpan::from_millis(10_000);
/// The arrivals beyond the first for each request for a service.
const BUDGET_RATIO: f64 = 0.2;
/// The arrivals beyond the first in each window besides.
const BUDGET_EXTRA: f64 = 50.0;

/// The arrivals of one attempt at one service.
#[derive(Debug, Default)]
struct AttemptArrivals {
    arrivals: u32,
    has_prefilled: bool,
    /// When the latest counted as repeated, if it did.
    repeated_at: Option<ClockTime>,
}

#[derive(Debug, Default)]
struct ServiceArrivals {
    requests: Vec<ClockTime>,
    repeats: Vec<ClockTime>,
    attempts: HashMap<String, AttemptArrivals>,
}

impl ServiceArrivals {
    fn requests_in(&self, from: ClockTime, until: ClockTime) -> usize {
        let until = self.requests.partition_point(|at| *at <= until);
        until - self.requests.partition_point(|at| *at <= from)
    }

    /// The repeats in the window that ends at `end`, and how many are allowed there.
    fn window(&self, end: ClockTime) -> (usize, f64) {
        let start = end - WINDOW;
        let half = TimeSpan::from_millis(WINDOW.as_millis() / 2);
        let repeats = self.repeats.iter().filter(|at| **at > start).count();
        let windows = [TimeSpan::ZERO, half, WINDOW];
        let requests = windows.map(|shift| self.requests_in(start - shift, end - shift));
        let most = requests.into_iter().max().unwrap_or_default();
        (repeats, BUDGET_RATIO * most as f64 + BUDGET_EXTRA)
    }
}

/// The arrivals at all services.
#[derive(Debug, Default)]
pub struct RetryTally {
    services: BTreeMap<String, ServiceArrivals>,
    repeats: u64,
    /// The largest number of repeats in a window, with what is allowed there.
    most: Option<(usize, f64)>,
}

impl RetryTally {
    /// A caller sent a request on a route to `service`.
    pub fn note_request(&mut self, now: ClockTime, service: &str) {
        let known = self.services.entry(service.to_string()).or_default();
        known.requests.push(now);
    }

    /// An attempt reached an endpoint of `service`. Returns the repeats in the window up to now, and
    /// how many are allowed, if there are too many.
    pub fn note_arrival(
        &mut self,
        now: ClockTime,
        service: &str,
        attempt: &str,
    ) -> Option<(usize, f64)> {
        let known = self.services.entry(service.to_string()).or_default();
        let arrivals = known.attempts.entry(attempt.to_string()).or_default();
        arrivals.arrivals += 1;
        let is_repeat = arrivals.arrivals > 1;
        arrivals.repeated_at = is_repeat.then_some(now);
        if !is_repeat {
            return None;
        }
        self.repeats += 1;
        known.repeats.push(now);
        let (repeats, allowed) = known.window(now);
        if self.most.is_none_or(|(most, _)| repeats > most) {
            self.most = Some((repeats, allowed));
        }
        (repeats as f64 > allowed).then_some((repeats, allowed))
    }

    /// The latest arrival of an attempt only had its prompt read, which is free the first time.
    pub fn note_prefilled(&mut self, attempt: &str) {
        for known in self.services.values_mut() {
            let Some(arrivals) = known.attempts.get_mut(attempt) else {
                continue;
            };
            if std::mem::replace(&mut arrivals.has_prefilled, true) {
                continue;
            }
            arrivals.arrivals -= 1;
            if let Some(at) = arrivals.repeated_at.take()
                && let Ok(place) = known.repeats.binary_search(&at)
            {
                known.repeats.remove(place);
                self.repeats -= 1;
            }
        }
    }
}

impl PromiseBook {
    /// A caller sends a request on a route.
    pub(super) fn count_request(&mut self, now: ClockTime, prefix: &str) {
        let places = self.routes.get(prefix);
        let service = places.and_then(|places| places.last().map(|(_, service)| service.clone()));
        if let Some(service) = service.filter(|service| service != DROPPED) {
            self.retries.note_request(now, &service);
        }
    }

    /// All instances together keep to the budget of repeats.
    pub(super) fn check_repeats(&mut self, now: ClockTime, attempt: &str, service: &str) {
        let excess = self.retries.note_arrival(now, service, attempt);
        if let Some((repeats, allowed)) = excess {
            let detail = format!(
                "attempt={attempt} service={service} repeats={repeats} allowed={allowed:.0}"
            );
            self.broke(now, Promise::RepeatsLimited, detail);
        }
    }
}

impl fmt::Display for RetryTally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (most, allowed) = self.most.unwrap_or_default();
        write!(
            f,
            "repeats={} most_in_window={most} allowed={allowed:.0}",
            self.repeats
        )
    }
}
