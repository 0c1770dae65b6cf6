//! Callers as the users describe them: connections that are kept, deadlines, some
//! who leave early or read slowly, and a pause when a refusal asks for one.

mod exchange;
mod taking_up;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, atomic::Ordering},
    time::Duration,
};

use bluebell_core::{clock::TimeSpan, ids::FailureDomain};
use bluebell_platform_standin::operator::OperatorKind;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tokio_util::sync::CancellationToken;

use self::exchange::{ReadPace, ReceivedAnswer, RequestParts, RequestSender, connect, receive};
use self::taking_up::BegunStream;
pub use self::taking_up::{IdenticalRequests, StreamNaming};
use crate::{
    fleet::{ORGANISATIONS, ROUTES, RouteSample, SoakFleet, organisation_name},
    promises::{CallerOutcome, ProcessName, Promise, SentRequest},
};

/// How many requests go over one connection at most.
const KEPT_FOR: u32 = 12;
/// The shortest and the longest pause between two requests of a caller, in ms.
const THINK_MS: (u64, u64) = (10, 60);
/// The shortest and the longest time that a caller waits, in ms.
const PATIENCE_MS: (u64, u64) = (1_500, 4_000);
/// The share of callers who leave early.
const LEAVING: f64 = 0.04;
/// The longest time after which these leave, in ms.
const LEAVES_MS: u64 = 60;
/// The share of requests for routes that were added, and with keys that were.
const USING_ADDED: f64 = 0.4;
/// How long after a caller left its work may go on: the half second that the users
/// allow, and what a busy machine takes.
const STOP_SLACK: Duration = Duration::from_millis(900);
/// How long after its deadline a caller still listens. A final answer is due half
/// a second after it.
const LATE: TimeSpan = TimeSpan::from_millis(500);
/// Each request with a number divisible by this is read slowly.
const SLOW_READ_EVERY: u64 = 20;
/// How many pieces of an answer are read slowly; the pauses end well before [`LATE`].
const SLOW_PIECES: usize = 10;
/// The share of streams that callers break off to take them up elsewhere.
const BREAKING_OFF: f64 = 0.3;
/// How many pieces of these they read before.
const KEPT_PIECES: usize = 3;
/// Keeps the draws of callers that name no streams apart from those of all callers.
const UNNAMED_STREAM: u64 = 1;
/// The share of requests whose prompts have a part that crashes endpoints.
const CRASHING: f64 = 0.02;

/// How requests of one kind from one failure domain fared.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct CallerTally {
    /// Answered with success, whole.
    pub served: u64,
    /// Answered 401, 408, 421, 429 or 503.
    pub refused: u64,
    /// Ended in another way.
    pub failed: u64,
}

/// Tallies by failure domain and start of the path.
pub type TallyBook = Mutex<BTreeMap<(FailureDomain, &'static str), CallerTally>>;

/// One caller.
pub struct SoakCaller {
    fleet: Arc<SoakFleet>,
    domain: FailureDomain,
    number: usize,
    random: ChaCha8Rng,
    /// Draws what only callers that name no streams do.
    unnamed_random: ChaCha8Rng,
    asked: u64,
    taking_up: Option<StreamNaming>,
    uses_added: bool,
    sends_crashing: bool,
}

/// What the caller does with its connection after a request.
enum ConnectionUse {
    Keep,
    Close,
}

impl SoakCaller {
    /// The caller with this number, of a failure domain.
    pub fn new(fleet: Arc<SoakFleet>, domain: FailureDomain, number: usize) -> SoakCaller {
        let seed = fleet.seed.wrapping_mul(1_000) + number as u64;
        let random = ChaCha8Rng::seed_from_u64(seed);
        let mut unnamed_random = random.clone();
        unnamed_random.set_stream(UNNAMED_STREAM);
        SoakCaller {
            fleet,
            domain,
            number,
            random,
            unnamed_random,
            asked: 0,
            taking_up: None,
            uses_added: false,
            sends_crashing: false,
        }
    }

    /// Sets whether the caller uses routes and keys that were added.
    pub fn with_added(mut self, uses_added: bool) -> SoakCaller {
        self.uses_added = uses_added;
        self
    }

    /// Sets whether some of the prompts have a part that crashes endpoints.
    pub fn with_crashing(mut self, sends_crashing: bool) -> SoakCaller {
        self.sends_crashing = sends_crashing;
        self
    }

    /// Sets whether and how the caller takes up streams that broke, and breaks some off to do so.
    pub fn with_taking_up(mut self, taking_up: Option<StreamNaming>) -> SoakCaller {
        self.taking_up = taking_up;
        self
    }

    /// Sends requests until `stop`.
    pub async fn call(mut self, stop: CancellationToken) {
        let fleet = Arc::clone(&self.fleet);
        while !stop.is_cancelled() {
            let rotation = &fleet.rotation;
            let slot = rotation.pick(&fleet.instances, &self.domain, &mut self.random);
            let start = slot.starts.load(Ordering::SeqCst);
            let process = ProcessName {
                instance: slot.name.clone(),
                start,
            };
            match connect(slot).await {
                Some(sender) => self.use_connection(sender, process, &stop).await,
                None => self.think().await,
            }
        }
    }

    async fn use_connection(
        &mut self,
        mut sender: RequestSender,
        process: ProcessName,
        stop: &CancellationToken,
    ) {
        for place in 0..KEPT_FOR {
            if stop.is_cancelled() || sender.ready().await.is_err() {
                return;
            }
            let used = self.ask(&mut sender, &process, place == 0).await;
            self.think().await;
            if matches!(used, ConnectionUse::Close) {
                return;
            }
        }
    }

    async fn think(&mut self) {
        let ms = self.random.random_range(THINK_MS.0..=THINK_MS.1);
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }

    async fn ask(
        &mut self,
        sender: &mut RequestSender,
        process: &ProcessName,
        is_first: bool,
    ) -> ConnectionUse {
        self.asked += 1;
        let attempt = format!("{}-{}-{}", self.fleet.seed, self.number, self.asked);
        let (route, organisation) = self.draw_use();
        let patience_ms = self.random.random_range(PATIENCE_MS.0..=PATIENCE_MS.1);
        let patience = TimeSpan::from_millis(patience_ms.min(route.timeout_ms));
        let own_parts = RequestParts {
            is_crashing: self.sends_crashing && self.random.random_bool(CRASHING),
            ..RequestParts::new(route, &attempt, organisation)
        };
        let parts = self.draw_identical(own_parts);
        let fleet = Arc::clone(&self.fleet);
        let checker = &fleet.checker;
        checker.sent(SentRequest {
            attempt: attempt.clone(),
            process: process.clone(),
            prefix: parts.prefix.to_string(),
            kind: parts.kind,
            organisation: organisation_name(parts.organisation),
            is_first,
            takes_up: None,
        });
        let request = parts.build(&attempt, patience_ms);
        if self.random.random_bool(LEAVING) {
            let leaves_ms = self.random.random_range(1..LEAVES_MS);
            return self.leave(sender, request, attempt, leaves_ms).await;
        }
        let slow_pieces = match self.asked % SLOW_READ_EVERY {
            0 => SLOW_PIECES,
            _ => 0,
        };
        let is_resumable = route.kind == OperatorKind::Resumable;
        let taking_up = self.taking_up.filter(|_| is_resumable);
        let breaks_off = taking_up.is_some() && self.random.random_bool(BREAKING_OFF);
        let pace = ReadPace {
            slow_pieces,
            most_pieces: if breaks_off { KEPT_PIECES } else { usize::MAX },
        };
        let answering = receive(sender, request, pace);
        let waited = tokio::time::timeout((patience + LATE).as_duration(), answering).await;
        let answer =
            waited.unwrap_or_else(|_| ReceivedAnswer::with_outcome(CallerOutcome::Nothing));
        checker.got(&attempt, &answer.outcome);
        if !answer.has_hint && answer.outcome == CallerOutcome::Status(503) {
            let detail = format!("attempt={attempt} status=503 without a time to come back");
            checker.broke(Promise::RefusalTrue, detail);
        }
        self.count(route.prefix, &answer.outcome);
        if let Some(naming) = taking_up {
            let begun = BegunStream {
                attempt,
                parts,
                instance: process.instance.clone(),
            };
            self.take_up(naming, begun, &answer.outcome).await;
        }
        tokio::time::sleep(answer.pause).await;
        match answer.is_kept {
            true => ConnectionUse::Keep,
            false => ConnectionUse::Close,
        }
    }

    /// The route of the next request, and the organisation whose key it bears.
    fn draw_use(&mut self) -> (&'static RouteSample, usize) {
        let route = &ROUTES[self.random.random_range(0..ROUTES.len())];
        let organisation = self.random.random_range(0..ORGANISATIONS);
        if !self.uses_added || !self.random.random_bool(USING_ADDED) {
            return (route, organisation);
        }
        let added = self.fleet.draw_added_route(&mut self.random);
        let added_organisation = self.fleet.draw_added_organisation(&mut self.random);
        (
            added.unwrap_or(route),
            added_organisation.unwrap_or(organisation),
        )
    }

    /// Sends the request and leaves without waiting for its answer.
    async fn leave(
        &self,
        sender: &mut RequestSender,
        request: Request<Full<Bytes>>,
        attempt: String,
        leaves_ms: u64,
    ) -> ConnectionUse {
        let wait = Duration::from_millis(leaves_ms);
        drop(tokio::time::timeout(wait, receive(sender, request, ReadPace::default())).await);
        let fleet = Arc::clone(&self.fleet);
        tokio::spawn(async move {
            tokio::time::sleep(STOP_SLACK).await;
            fleet.checker.left(&attempt);
        });
        ConnectionUse::Close
    }

    fn count(&self, prefix: &'static str, outcome: &CallerOutcome) {
        let mut tallies = self.fleet.tallies.lock().expect("held briefly");
        let tally = tallies.entry((self.domain.clone(), prefix)).or_default();
        match outcome {
            outcome if outcome.is_served() => tally.served += 1,
            CallerOutcome::Status(401 | 408 | 421 | 429 | 503) => tally.refused += 1,
            _ => tally.failed += 1,
        }
    }
}
