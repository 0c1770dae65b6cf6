//! Callers as the users describe them: connections that are kept, deadlines, some
//! who leave early or read slowly, and a pause when a refusal asks for one.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, atomic::Ordering},
    time::Duration,
};

use bluebell_adapter::headers;
use bluebell_core::{clock::TimeSpan, ids::FailureDomain};
use bluebell_platform_standin::{endpoint::CRASHING_PART, operator::OperatorKind};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, body::Incoming, client::conn::http1, header::HeaderValue};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::{
    fleet::{
        HOST, InstanceSlot, ORGANISATIONS, ROUTES, RouteSample, SoakFleet, organisation_key,
        organisation_name,
    },
    promises::{CallerOutcome, ProcessName, Promise, ReceivedEvents, SentRequest, TakenUpStream},
};

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
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
/// The pause before each piece that is read slowly.
const SLOW_READ_PAUSE: Duration = Duration::from_millis(30);
/// How many pieces of an answer are read slowly; the pauses end well before [`LATE`].
const SLOW_PIECES: usize = 10;
/// The share of streams that callers break off to take them up elsewhere.
const BREAKING_OFF: f64 = 0.3;
/// How many pieces of these they read before.
const KEPT_PIECES: usize = 3;
/// The share of requests whose prompts have a part that crashes endpoints.
const CRASHING: f64 = 0.02;
/// How many engines of a version have to serve for its streams to go on.
const SERVING_ENGINES: usize = 2;
/// The longest pause that a refusal can make a caller take.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

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
    asked: u64,
    takes_up: bool,
    uses_added: bool,
    sends_crashing: bool,
}

type RequestSender = http1::SendRequest<Full<Bytes>>;

/// What the caller does with its connection after a request.
enum ConnectionUse {
    Keep,
    Close,
}

impl SoakCaller {
    /// The caller with this number, of a failure domain.
    pub fn new(fleet: Arc<SoakFleet>, domain: FailureDomain, number: usize) -> SoakCaller {
        let seed = fleet.seed.wrapping_mul(1_000) + number as u64;
        SoakCaller {
            fleet,
            domain,
            number,
            random: ChaCha8Rng::seed_from_u64(seed),
            asked: 0,
            takes_up: false,
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

    /// Sets whether the caller takes up streams that broke, and breaks some off to do so.
    pub fn with_taking_up(mut self, takes_up: bool) -> SoakCaller {
        self.takes_up = takes_up;
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
        let checker = &self.fleet.checker;
        checker.sent(SentRequest {
            attempt: attempt.clone(),
            process: process.clone(),
            prefix: route.prefix.to_string(),
            kind: route.kind,
            organisation: organisation_name(organisation),
            is_first,
            takes_up: None,
        });
        let is_crashing = self.sends_crashing && self.random.random_bool(CRASHING);
        let request = build_request(route, &attempt, organisation, patience_ms, is_crashing);
        if self.random.random_bool(LEAVING) {
            let leaves_ms = self.random.random_range(1..LEAVES_MS);
            return self.leave(sender, request, attempt, leaves_ms).await;
        }
        let slow_pieces = match self.asked % SLOW_READ_EVERY {
            0 => SLOW_PIECES,
            _ => 0,
        };
        let is_resumable = self.takes_up && route.kind == OperatorKind::Resumable;
        let breaks_off = is_resumable && self.random.random_bool(BREAKING_OFF);
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
        if is_resumable {
            self.take_up(route, &attempt, organisation, &answer.outcome)
                .await;
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

    /// Takes up a stream that has broken after its first events, at an instance that the
    /// balancer picks anew.
    async fn take_up(
        &mut self,
        route: &RouteSample,
        stream: &str,
        organisation: usize,
        outcome: &CallerOutcome,
    ) {
        let CallerOutcome::Stream {
            body,
            is_ended: false,
            ..
        } = outcome
        else {
            return;
        };
        let Ok(events) = ReceivedEvents::read(stream, body, 0, false) else {
            return;
        };
        let Some(version) = events.versions.first() else {
            return;
        };
        let fleet = Arc::clone(&self.fleet);
        let rotation = &fleet.rotation;
        let slot = rotation.pick(&fleet.instances, &self.domain, &mut self.random);
        let start = slot.starts.load(Ordering::SeqCst);
        let Some(mut sender) = connect(slot).await else {
            return;
        };
        let attempt = format!("{stream}-again");
        fleet.checker.sent(SentRequest {
            attempt: attempt.clone(),
            process: ProcessName {
                instance: slot.name.clone(),
                start,
            },
            prefix: route.prefix.to_string(),
            kind: route.kind,
            organisation: organisation_name(organisation),
            is_first: true,
            takes_up: Some(TakenUpStream {
                stream: stream.to_string(),
                last: events.last,
                version: version.clone(),
                is_owed: fleet.serving(version) >= SERVING_ENGINES,
            }),
        });
        let mut request = build_request(route, &attempt, organisation, PATIENCE_MS.0, false);
        let request_headers = request.headers_mut();
        request_headers.insert(headers::LAST_EVENT_ID, HeaderValue::from(events.last));
        if let Ok(stream) = HeaderValue::from_str(stream) {
            request_headers.insert(headers::RESUMES, stream);
        }
        let patience = TimeSpan::from_millis(PATIENCE_MS.0) + LATE;
        let answering = receive(&mut sender, request, ReadPace::default());
        let answer = tokio::time::timeout(patience.as_duration(), answering).await;
        let answer =
            answer.unwrap_or_else(|_| ReceivedAnswer::with_outcome(CallerOutcome::Nothing));
        fleet.checker.got(&attempt, &answer.outcome);
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

async fn connect(slot: &InstanceSlot) -> Option<RequestSender> {
    let connecting = TcpStream::connect(slot.callers);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
    let stream = stream.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move { drop(connection.await) });
    Some(sender)
}

fn build_request(
    route: &RouteSample,
    attempt: &str,
    organisation: usize,
    patience_ms: u64,
    is_crashing: bool,
) -> Request<Full<Bytes>> {
    let prompt = match is_crashing {
        true => format!("5c1e:490,{CRASHING_PART}:10,91bd:400"),
        false => "5c1e:500,91bd:400".to_string(),
    };
    let body = match route.kind {
        OperatorKind::Safe => Bytes::new(),
        _ => Bytes::from_static(b"{\"text\":\"hello\"}"),
    };
    let method = match route.kind {
        OperatorKind::Safe => Method::GET,
        _ => Method::POST,
    };
    let key = format!("{}{}", headers::KEY_SCHEME, organisation_key(organisation));
    let request = Request::builder()
        .method(method)
        .uri(format!("{}{attempt}", route.prefix))
        .header("host", HOST)
        .header(headers::ATTEMPT_ID, attempt)
        .header(headers::DEADLINE_MS, patience_ms)
        .header(headers::MODEL, "m")
        .header(headers::TOKEN_USAGE, "900,20")
        .header(headers::PROMPT_PREFIX, prompt)
        .header("authorization", key);
    request
        .body(Full::new(body))
        .expect("all parts are valid text")
}

/// An answer with what it asks of the caller.
struct ReceivedAnswer {
    outcome: CallerOutcome,
    is_kept: bool,
    has_hint: bool,
    pause: Duration,
}

impl ReceivedAnswer {
    fn with_outcome(outcome: CallerOutcome) -> ReceivedAnswer {
        ReceivedAnswer {
            outcome,
            is_kept: false,
            has_hint: false,
            pause: Duration::ZERO,
        }
    }
}

/// How a caller reads an answer.
#[derive(Clone, Copy, Debug)]
struct ReadPace {
    /// How many of the first pieces it reads slowly.
    slow_pieces: usize,
    /// After how many pieces it breaks off.
    most_pieces: usize,
}

impl Default for ReadPace {
    fn default() -> ReadPace {
        ReadPace {
            slow_pieces: 0,
            most_pieces: usize::MAX,
        }
    }
}

/// Sends a request and reads the answer.
async fn receive(
    sender: &mut RequestSender,
    request: Request<Full<Bytes>>,
    pace: ReadPace,
) -> ReceivedAnswer {
    let response = match sender.send_request(request).await {
        Ok(response) => response,
        Err(_) => return ReceivedAnswer::with_outcome(CallerOutcome::Cut),
    };
    let field = |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok());
    let hint = field("retry-after").and_then(|text| text.parse::<f64>().ok());
    let is_closing = field("connection").is_some_and(|text| text.eq_ignore_ascii_case("close"));
    let is_signed = field(headers::SIGNATURE).is_some();
    let is_stream = field("content-type") == Some("text/event-stream");
    let status = response.status().as_u16();
    let (body, is_ended) = read_body(response, pace).await;
    let outcome = match (status, is_stream) {
        (200, true) => CallerOutcome::Stream {
            is_signed,
            body,
            is_ended,
        },
        (200, false) if is_ended => CallerOutcome::Whole { is_signed, body },
        (200, false) => CallerOutcome::CutInside,
        _ => CallerOutcome::Status(status),
    };
    let pause = Duration::from_secs_f64(hint.unwrap_or_default().max(0.0));
    ReceivedAnswer {
        outcome,
        is_kept: is_ended && !is_closing,
        has_hint: hint.is_some(),
        pause: pause.min(LONGEST_PAUSE),
    }
}

async fn read_body(response: Response<Incoming>, pace: ReadPace) -> (String, bool) {
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    let mut pieces = 0;
    loop {
        if pieces >= pace.most_pieces {
            return (String::from_utf8_lossy(&bytes).to_string(), false);
        }
        if pieces < pace.slow_pieces {
            tokio::time::sleep(SLOW_READ_PAUSE).await;
        }
        pieces += 1;
        match body.frame().await {
            None => return (String::from_utf8_lossy(&bytes).to_string(), true),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    bytes.extend_from_slice(&data);
                }
            }
            Some(Err(_)) => return (String::from_utf8_lossy(&bytes).to_string(), false),
        }
    }
}
