//! Checks of runs and denials against the versions of the configuration that may be in force.

use std::fmt;

use bluebell_core::clock::{ClockTime, TimeSpan};

use bluebell_platform_standin::events::RunStart;

use super::{DROPPED, Promise, PromiseBook, PromiseChecker, REGRESS_SLACK, SentRequest};

/// The length of the spans by which denials and runs by an older version are counted.
const SPAN: TimeSpan = TimeSpan::from_millis(1_000);

/// The number of these spans; the last one has all that came later.
const SPANS: usize = 8;

/// How requests for what the operator added and changed fared, whether the instance was in touch
/// or not. Times are from the acknowledgement of the change to the sending of the request.
#[derive(Clone, Debug, Default)]
pub struct ChangeTally {
    asked: u64,
    served: u64,
    denied: [u64; SPANS],
    old_runs: [u64; SPANS],
}

impl ChangeTally {
    /// Counts a request with a route or key that was added.
    pub fn count_asked(&mut self, is_served: bool) {
        self.asked += 1;
        self.served += u64::from(is_served);
    }

    /// Counts a denial of what had been allowed for `span`.
    pub fn count_denied(&mut self, span: TimeSpan) {
        self.denied[place(span)] += 1;
    }

    /// Counts a run by a service that the route had not led to for `span`.
    pub fn count_old_run(&mut self, span: TimeSpan) {
        self.old_runs[place(span)] += 1;
    }
}

fn place(span: TimeSpan) -> usize {
    let place = span.as_millis() / SPAN.as_millis();
    (place as usize).min(SPANS - 1)
}

impl fmt::Display for ChangeTally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ChangeTally {
            asked,
            served,
            denied,
            old_runs,
        } = self;
        let join = |counts: &[u64]| {
            let counts: Vec<String> = counts.iter().map(u64::to_string).collect();
            counts.join("/")
        };
        let (denied, old_runs) = (join(denied), join(old_runs));
        write!(
            f,
            "asked={asked} served={served} denied_by_s={denied} old_runs_by_s={old_runs}"
        )
    }
}

impl PromiseChecker {
    /// Checks the service of a run against the configurations that may have been in force.
    pub(super) fn check_service(
        &self,
        book: &mut PromiseBook,
        now: ClockTime,
        run: &RunStart,
        request: &SentRequest,
        sent: ClockTime,
        who: &str,
    ) {
        let places = book
            .routes
            .get(&request.prefix)
            .cloned()
            .unwrap_or_default();
        let matching = |(_, (_, name)): &(usize, &(ClockTime, String))| *name == run.service;
        let matching = places.iter().enumerate().filter(matching);
        let matching: Vec<usize> = matching.map(|(place, _)| place).collect();
        let Some(place) = matching.last().copied() else {
            let detail = format!("{who} service={}", run.service);
            return book.broke(now, Promise::RightService, detail);
        };
        let instance = request.process.instance.as_str();
        let is_in_touch = book.is_in_touch(instance, sent, now);
        let is_late = |place: usize| {
            let newer = places.get(place + 1).map(|(at, _)| *at);
            is_in_touch && newer.is_some_and(|at| sent > at + self.bounds.configuration)
        };
        let key = (request.process.clone(), request.prefix.clone());
        let followed = book.followed.get(&key).copied();
        if followed.is_some_and(|(seen, at)| place < seen && sent > at + REGRESS_SLACK) {
            let detail = format!("{who} service={} went back", run.service);
            book.broke(now, Promise::NoOlderConfiguration, detail);
        }
        // A route may lead back to a service. The run shows no more than the earliest
        // configuration that may still be in force.
        let seen = followed.map_or(0, |(seen, _)| seen);
        let mut possible = matching.into_iter().filter(|place| *place >= seen);
        let shown = possible.find(|place| !is_late(*place)).unwrap_or(place);
        if followed.is_none_or(|(seen, _)| shown > seen) {
            book.followed.insert(key, (shown, now));
        }
        if is_late(place) {
            let detail = format!("{who} service={} is not in force any more", run.service);
            book.broke(now, Promise::NoOlderConfiguration, detail);
        }
        if let Some((since, _)) = places.get(place + 1)
            && sent >= *since
        {
            book.changes.count_old_run(sent.since(*since));
        }
    }

    /// Checks a denial against the configurations that may have been in force.
    pub(super) fn check_denial(
        &self,
        book: &mut PromiseBook,
        now: ClockTime,
        request: &SentRequest,
        sent: ClockTime,
        status: u16,
    ) {
        let who = format!(
            "attempt={} instance={} prefix={} organisation={} status={status}",
            request.attempt, request.process.instance, request.prefix, request.organisation
        );
        let allowed_since = match status {
            404 => book.route_since(&request.prefix),
            _ => book.key_since(&request.organisation),
        };
        let since = match allowed_since {
            AllowedSince::Always => return book.broke(now, Promise::NotDenied, who),
            AllowedSince::Never => return,
            AllowedSince::Time(since) => since,
        };
        if sent < since {
            return;
        }
        let span = sent.since(since);
        book.changes.count_denied(span);
        let is_in_touch = book.is_in_touch(request.process.instance.as_str(), sent, now);
        if span > self.bounds.configuration && is_in_touch {
            let detail = format!("{who} allowed_for={span}");
            book.broke(now, Promise::AddedServed, detail);
        }
    }
}

/// Since when all acknowledged configurations allow something.
enum AllowedSince {
    /// From the start.
    Always,
    /// The newest one does not allow it.
    Never,
    /// Since the acknowledgement of a change.
    Time(ClockTime),
}

impl PromiseBook {
    fn route_since(&self, prefix: &str) -> AllowedSince {
        if !self.added.contains(prefix) {
            return AllowedSince::Always;
        }
        let places = self.routes.get(prefix).map_or(&[][..], Vec::as_slice);
        let present = places.iter().rev();
        let mut present = present.take_while(|(_, service)| service != DROPPED);
        let newest = present.next();
        match present.last().or(newest) {
            Some((since, _)) => AllowedSince::Time(*since),
            None => AllowedSince::Never,
        }
    }

    fn key_since(&self, organisation: &str) -> AllowedSince {
        if self.withdrawn.contains_key(organisation) {
            return AllowedSince::Never;
        }
        match self.granted.get(organisation) {
            Some(since) => AllowedSince::Time(*since),
            None => AllowedSince::Always,
        }
    }
}
