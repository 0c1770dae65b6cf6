//! One request on a connection, and its answer.

use std::time::Duration;

use bluebell_adapter::headers;
use bluebell_platform_standin::{endpoint::CRASHING_PART, operator::OperatorKind};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::{
    fleet::{HOST, InstanceSlot, RouteSample, organisation_key},
    promises::CallerOutcome,
};

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause before each piece that is read slowly.
const SLOW_READ_PAUSE: Duration = Duration::from_millis(30);
/// The longest pause that a refusal can make a caller take.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// A connection that requests are sent on.
pub(super) type RequestSender = http1::SendRequest<Full<Bytes>>;

/// What a caller asks for. Two requests with the same parts differ only in their attempts and in the
/// time that is left.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RequestParts {
    /// The start of the path.
    pub prefix: &'static str,
    /// What may be repeated.
    pub kind: OperatorKind,
    /// The rest of the path.
    pub name: String,
    /// Whose key it bears.
    pub organisation: usize,
    /// Whether the prompt has the part that crashes endpoints.
    pub is_crashing: bool,
}

impl RequestParts {
    /// A request on a route, with a path of its own.
    pub fn new(route: &RouteSample, attempt: &str, organisation: usize) -> RequestParts {
        RequestParts {
            prefix: route.prefix,
            kind: route.kind,
            name: attempt.to_string(),
            organisation,
            is_crashing: false,
        }
    }

    /// The request of one attempt.
    pub fn build(&self, attempt: &str, patience_ms: u64) -> Request<Full<Bytes>> {
        let prompt = match self.is_crashing {
            true => format!("5c1e:490,{CRASHING_PART}:10,91bd:400"),
            false => "5c1e:500,91bd:400".to_string(),
        };
        let body = match self.kind {
            OperatorKind::Safe => Bytes::new(),
            _ => Bytes::from_static(b"{\"text\":\"hello\"}"),
        };
        let method = match self.kind {
            OperatorKind::Safe => Method::GET,
            _ => Method::POST,
        };
        let key = organisation_key(self.organisation);
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{}", self.prefix, self.name))
            .header("host", HOST)
            .header(headers::ATTEMPT_ID, attempt)
            .header(headers::DEADLINE_MS, patience_ms)
            .header(headers::MODEL, "m")
            .header(headers::TOKEN_USAGE, "900,20")
            .header(headers::PROMPT_PREFIX, prompt)
            .header("authorization", format!("{}{key}", headers::KEY_SCHEME));
        request
            .body(Full::new(body))
            .expect("all parts are valid text")
    }
}

/// Connects to an instance.
pub(super) async fn connect(slot: &InstanceSlot) -> Option<RequestSender> {
    let connecting = TcpStream::connect(slot.callers);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
    let stream = stream.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move { drop(connection.await) });
    Some(sender)
}

/// An answer with what it asks of the caller.
pub(super) struct ReceivedAnswer {
    pub outcome: CallerOutcome,
    /// Whether the connection takes another request.
    pub is_kept: bool,
    /// Whether it states when to come back.
    pub has_hint: bool,
    /// How long to wait before the next request.
    pub pause: Duration,
}

impl ReceivedAnswer {
    pub fn with_outcome(outcome: CallerOutcome) -> ReceivedAnswer {
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
pub(super) struct ReadPace {
    /// How many of the first pieces it reads slowly.
    pub slow_pieces: usize,
    /// After how many pieces it breaks off.
    pub most_pieces: usize,
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
pub(super) async fn receive(
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
