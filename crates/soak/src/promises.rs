//! What callers got and endpoints ran, held against the promises as it happens.

mod changes;
mod disturbances;
mod messages;
mod notices;
mod overlaps;
mod retries;
mod streams;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{Mutex, MutexGuard},
};

use bluebell_core::clock::{ClockSource, ClockTime, TimeSpan};
use bluebell_platform_standin::{
    events::{PlatformEvent, RunStart, SeenAuthority},
    operator::OperatorKind,
};

use self::disturbances::Disturbance;
pub use self::{
    changes::ChangeTally,
    disturbances::{STORE, store_path},
    messages::{BrokenPromise, CallerOutcome, ProcessName, Promise, SentRequest},
    notices::NoticeTally,
    overlaps::RunOverlap,
    retries::RetryTally,
    streams::{ReceivedEvents, StreamTally, TakenUpStream},
};

/// How long after a disturbance an instance is held to what is bound in time.
const STABLE_WINDOW: TimeSpan = TimeSpan::from_millis(3_000);
/// How long after a configuration was seen in effect an older one may still be:
/// requests overtake each other.
const REGRESS_SLACK: TimeSpan = TimeSpan::from_millis(250);
/// How long after it woke an instance's calls for duties are not counted: what it
/// decided before it was suspended may be on its way.
const THAW_SLACK: TimeSpan = TimeSpan::from_millis(500);
/// How long a request on a new connection may go unread before an end without an
/// answer counts as a loss.
const LOSS_SLACK: TimeSpan = TimeSpan::from_millis(200);

/// The service of a dropped route. No service has an empty name.
const DROPPED: &str = "";

#[derive(Debug)]
struct AttemptBook {
    request: SentRequest,
    sent: ClockTime,
    runs: u32,
    open_runs: Vec<String>,
    is_refused: bool,
}

#[derive(Debug, Default)]
struct PromiseBook {
    attempts: HashMap<String, AttemptBook>,
    withdrawn: BTreeMap<String, ClockTime>,
    /// Since when the keys of organisations that were added are acknowledged.
    granted: BTreeMap<String, ClockTime>,
    /// Where each route was led, and since when that was acknowledged; [`DROPPED`] where it was
    /// dropped.
    routes: BTreeMap<String, Vec<(ClockTime, String)>>,
    /// The routes that were added after the start.
    added: BTreeSet<String>,
    changes: ChangeTally,
    notices: NoticeTally,
    retries: RetryTally,
    /// The attempts that are worked on at two endpoints, to be looked at again.
    overlaps: Vec<RunOverlap>,
    /// The newest place in `routes` that a process was seen to follow.
    followed: BTreeMap<(ProcessName, String), (usize, ClockTime)>,
    /// Since when endpoints are known to the store to have left.
    left: BTreeMap<String, ClockTime>,
    streams: StreamTally,
    reports: BTreeMap<u64, BTreeMap<String, u64>>,
    fences: BTreeMap<String, SeenAuthority>,
    disturbances: BTreeMap<String, Vec<Disturbance>>,
    broken: Vec<BrokenPromise>,
}

/// Within what time changes take effect.
#[derive(Clone, Copy, Debug)]
pub struct PromiseBounds {
    /// How long a key may work after it was withdrawn.
    pub withdrawal: TimeSpan,
    /// How long a configuration may take to be in force.
    pub configuration: TimeSpan,
    /// How long an endpoint may get new work after it left.
    pub leaving: TimeSpan,
}

/// Holds what happens against the promises.
#[derive(Debug)]
pub struct PromiseChecker {
    clock: ClockSource,
    bounds: PromiseBounds,
    book: Mutex<PromiseBook>,
}

impl PromiseChecker {
    /// Nothing has happened.
    pub fn new(clock: ClockSource, bounds: PromiseBounds) -> Self {
        PromiseChecker {
            clock,
            bounds,
            book: Mutex::default(),
        }
    }

    fn hold(&self) -> MutexGuard<'_, PromiseBook> {
        self.book.lock().expect("no holder panics")
    }

    /// The time.
    pub fn now(&self) -> ClockTime {
        self.clock.now()
    }

    /// Notes a broken promise.
    pub fn broke(&self, promise: Promise, detail: String) {
        let now = self.now();
        self.hold().broke(now, promise, detail);
    }

    /// All that was broken so far.
    pub fn broken(&self) -> Vec<BrokenPromise> {
        self.hold().broken.clone()
    }

    /// A configuration that leads a route to a service was acknowledged.
    pub fn route_led(&self, prefix: &str, service: &str) {
        let now = self.now();
        let mut book = self.hold();
        let places = book.routes.entry(prefix.to_string()).or_default();
        if places.last().is_none_or(|(_, last)| last != service) {
            places.push((now, service.to_string()));
        }
    }

    /// A configuration that adds a route to a service, or leads it there, was acknowledged.
    pub fn route_added(&self, prefix: &str, service: &str) {
        self.hold().added.insert(prefix.to_string());
        self.route_led(prefix, service);
    }

    /// A configuration without the route was acknowledged.
    pub fn route_dropped(&self, prefix: &str) {
        self.route_led(prefix, DROPPED);
    }

    /// A configuration with the keys of a further organisation was acknowledged.
    pub fn granted(&self, organisation: &str) {
        let now = self.now();
        let mut book = self.hold();
        book.granted.entry(organisation.to_string()).or_insert(now);
    }

    /// How requests for what the operator added and changed fared.
    pub fn changes(&self) -> ChangeTally {
        self.hold().changes.clone()
    }

    /// An organisation's keys were withdrawn, and that was acknowledged.
    pub fn withdrawn(&self, organisation: &str) {
        let now = self.now();
        let mut book = self.hold();
        book.withdrawn
            .entry(organisation.to_string())
            .or_insert(now);
    }

    /// An endpoint's registration says that it leaves, or is gone.
    pub fn endpoint_left(&self, endpoint: &str) {
        let now = self.now();
        let mut book = self.hold();
        book.left.entry(endpoint.to_string()).or_insert(now);
    }

    /// An endpoint starts again under the id that it had. It has neither left nor asked for rest.
    pub fn endpoint_returned(&self, endpoint: &str) {
        let mut book = self.hold();
        book.left.remove(endpoint);
        book.notices.note_restart(endpoint);
    }

    /// A caller is about to send a request.
    pub fn sent(&self, request: SentRequest) {
        let sent = self.now();
        let attempt = request.attempt.clone();
        let book = AttemptBook {
            request,
            sent,
            runs: 0,
            open_runs: Vec::new(),
            is_refused: false,
        };
        let mut all = self.hold();
        all.count_request(sent, &book.request.prefix);
        all.attempts.insert(attempt, book);
    }

    /// An endpoint or the platform saw something.
    pub fn saw(&self, event: &PlatformEvent) {
        let now = self.now();
        let mut book = self.hold();
        match event {
            PlatformEvent::RunStarted(run) => self.run_began(&mut book, now, run),
            PlatformEvent::RunEnded { attempt, endpoint } => {
                if let Some(attempt) = book.attempts.get_mut(attempt) {
                    attempt.open_runs.retain(|open| open != endpoint);
                }
            }
            PlatformEvent::Arrived {
                attempt,
                endpoint,
                service,
            } => {
                book.check_rest(now, attempt, endpoint);
                book.check_repeats(now, attempt, service);
            }
            PlatformEvent::Prefilled { attempt } => book.retries.note_prefilled(attempt),
            PlatformEvent::AskedForRest {
                attempt,
                endpoint,
                rest_ms,
            } => {
                if let Some(instance) = book.instance_of(attempt) {
                    let span = TimeSpan::from_millis(*rest_ms);
                    book.notices.note_rest(now, endpoint, &instance, span);
                }
            }
            PlatformEvent::Crashed { .. } => book.notices.note_crash(now),
            PlatformEvent::Usage {
                authority,
                window,
                counts,
            } => {
                let first = book
                    .reports
                    .entry(*window)
                    .or_insert_with(|| counts.clone());
                if first != counts {
                    let detail = format!("window={window} first={first:?} then={counts:?}");
                    book.broke(now, Promise::OneReport, detail);
                }
                book.check_fence(now, "usage", authority);
            }
            PlatformEvent::Order { authority, subject } => {
                book.check_fence(now, subject, authority);
            }
        }
    }

    fn run_began(&self, book: &mut PromiseBook, now: ClockTime, run: &RunStart) {
        let Some(attempt) = book.attempts.get_mut(&run.attempt) else {
            let detail = format!("attempt={} endpoint={}", run.attempt, run.endpoint);
            return book.broke(now, Promise::AskedFor, detail);
        };
        attempt.runs += 1;
        let earlier_runs = attempt.open_runs.clone();
        attempt.open_runs.push(run.endpoint.clone());
        let (request, sent) = (attempt.request.clone(), attempt.sent);
        let (runs, is_refused) = (attempt.runs, attempt.is_refused);
        book.note_overlaps(now, &run.attempt, &earlier_runs);
        let who = format!(
            "attempt={} instance={} endpoint={} path={}",
            run.attempt, request.process.instance, run.endpoint, run.path
        );
        if runs > 1 && !is_repeatable(request.kind) {
            book.broke(now, Promise::RunOnce, format!("{who} runs={runs}"));
        }
        if is_refused && !is_repeatable(request.kind) {
            book.broke(now, Promise::RefusalTrue, format!("{who} ran after it"));
        }
        if !run.path.starts_with(&request.prefix) {
            book.broke(now, Promise::AskedFor, format!("{who} another path"));
        }
        if run.has_key || run.organisation.as_deref() != Some(&request.organisation) {
            let detail = format!("{who} named={:?} key={}", run.organisation, run.has_key);
            book.broke(now, Promise::RightOrganisation, detail);
        }
        let withdrawn = book.withdrawn.get(&request.organisation).copied();
        if withdrawn.is_some_and(|at| sent > at + self.bounds.withdrawal) {
            let detail = format!("{who} organisation={}", request.organisation);
            book.broke(now, Promise::WithdrawnKey, detail);
        }
        let left = book.left.get(&run.endpoint).copied();
        if left.is_some_and(|at| sent > at + self.bounds.leaving)
            && book.is_in_touch(request.process.instance.as_str(), sent, now)
        {
            book.broke(now, Promise::DrainRespected, who.clone());
        }
        if run.is_crashing {
            book.check_crashing(now, request.process.instance.as_str(), sent, &who);
        }
        self.check_service(book, now, run, &request, sent, &who);
    }

    /// A caller got something.
    pub fn got(&self, attempt: &str, outcome: &CallerOutcome) {
        let now = self.now();
        let mut book = self.hold();
        let Some(known) = book.attempts.get_mut(attempt) else {
            return;
        };
        let (request, sent, runs) = (known.request.clone(), known.sent, known.runs);
        known.is_refused |= outcome.is_refusal();
        if book.added.contains(&request.prefix) || book.granted.contains_key(&request.organisation)
        {
            book.changes.count_asked(outcome.is_served());
        }
        let instance = request.process.instance.to_string();
        let who = format!(
            "attempt={attempt} instance={instance} kind={:?}",
            request.kind
        );
        if request.kind == OperatorKind::Resumable {
            let is_in_touch = book.is_in_touch(&instance, sent, now);
            let taken_up = request.takes_up.as_ref();
            let has_events = matches!(outcome, CallerOutcome::Stream { .. });
            book.streams.count(taken_up, is_in_touch, has_events);
        }
        match outcome {
            CallerOutcome::Status(status @ (408 | 421 | 429 | 503)) => {
                if runs > 0 && !is_repeatable(request.kind) {
                    let detail = format!("{who} status={status} had run");
                    book.broke(now, Promise::RefusalTrue, detail);
                }
            }
            CallerOutcome::Status(status @ (401 | 403 | 404)) => {
                self.check_denial(&mut book, now, &request, sent, *status);
            }
            CallerOutcome::Status(_) => {}
            CallerOutcome::Whole { is_signed, body } => {
                if !is_signed || *body != format!("answer to {attempt}") {
                    let detail = format!("{who} signed={is_signed} body={body:?}");
                    book.broke(now, Promise::OwnAnswer, detail);
                }
            }
            CallerOutcome::Stream {
                is_signed,
                body,
                is_ended,
            } => {
                if !is_signed {
                    book.broke(now, Promise::OwnAnswer, format!("{who} unsigned"));
                }
                let taken_up = request.takes_up.as_ref();
                let after = taken_up.map_or(0, |stream| stream.last);
                match ReceivedEvents::read(attempt, body, after, *is_ended) {
                    Ok(events) => book.streams.check_versions(&who, taken_up, &events),
                    Err(wrong) => {
                        book.broke(now, Promise::WholeStream, format!("{who} {wrong}"));
                    }
                }
            }
            CallerOutcome::Cut => {
                let waited = now.since(sent);
                let was_taken = runs > 0 || (request.is_first && waited > LOSS_SLACK);
                if was_taken && book.is_calm(&instance, sent, now, false) {
                    let detail = format!("{who} runs={runs} waited={waited}");
                    book.broke(now, Promise::AnswerGiven, detail);
                }
            }
            CallerOutcome::CutInside => {}
            CallerOutcome::Nothing => {
                if book.is_calm(&instance, sent, now, true) {
                    let detail = format!("{who} waited={}", now.since(sent));
                    book.broke(now, Promise::AnswerInTime, detail);
                }
            }
        }
    }

    /// A caller left some time ago; its work must have ended by now.
    pub fn left(&self, attempt: &str) {
        let now = self.now();
        let mut book = self.hold();
        let Some(known) = book.attempts.get(attempt) else {
            return;
        };
        let (request, sent) = (known.request.clone(), known.sent);
        let may_stop = request.kind != OperatorKind::Unsafe;
        for endpoint in known.open_runs.clone() {
            let instance = request.process.instance.as_str();
            let is_calm =
                book.is_calm(instance, sent, now, true) && book.is_calm(&endpoint, sent, now, true);
            if may_stop && is_calm {
                let detail = format!("attempt={attempt} instance={instance} endpoint={endpoint}");
                book.broke(now, Promise::StopsWithCaller, detail);
            }
        }
    }

    /// Checks the streams of the whole soak together; returns how they fared.
    pub fn check_streams(&self) -> String {
        let now = self.now();
        let mut book = self.hold();
        if let Some(detail) = book.streams.mixed() {
            book.broke(now, Promise::OneVersion, detail);
        }
        if let Some(detail) = book.streams.lost() {
            book.broke(now, Promise::StreamsGoOn, detail);
        }
        book.streams.to_string()
    }

    /// How the rests that endpoints asked for and the crashes under a part went.
    pub fn notices(&self) -> String {
        self.hold().notices.to_string()
    }

    /// How often requests reached endpoints beyond the first time.
    pub fn retries(&self) -> String {
        self.hold().retries.to_string()
    }
}

fn is_repeatable(kind: OperatorKind) -> bool {
    matches!(kind, OperatorKind::Safe | OperatorKind::Resumable)
}

impl PromiseBook {
    fn broke(&mut self, now: ClockTime, promise: Promise, detail: String) {
        self.broken.push(BrokenPromise {
            promise,
            at_ms: now.as_millis(),
            detail,
        });
    }

    /// A holder never comes back with an older fencing number than one that was
    /// seen, and no two have the same.
    fn check_fence(&mut self, now: ClockTime, subject: &str, authority: &SeenAuthority) {
        let last = self.fences.get(subject).cloned().unwrap_or_default();
        let is_shared = authority.fence == last.fence && authority.holder != last.holder;
        let woke = self
            .disturbances
            .get(&authority.holder)
            .into_iter()
            .flatten();
        let is_fresh = |one: &Disturbance| one.until.is_none_or(|end| now < end + THAW_SLACK);
        let has_just_woken = woke.filter(|one| !one.is_planned).any(is_fresh);
        if (authority.fence < last.fence || is_shared) && !has_just_woken {
            let detail = format!("subject={subject:?} last={last:?} then={authority:?}");
            self.broke(now, Promise::OneHolder, detail);
        }
        if authority.fence > last.fence {
            self.fences.insert(subject.to_string(), authority.clone());
        }
    }
}
