//! One attempt at one endpoint: sends the request and classifies the result.
//!
//! An attempt that failed before any byte was written, or that the endpoint reports as
//! not executed, may be retried on another endpoint for every kind of request. After
//! any other failure the request may have run.

use bluebell_adapter::headers;
use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    endpoint_notices::CallObstacle,
    placement::EndpointTarget,
    relay::StateValidity,
};
use http_body_util::Full;
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_ENCODING, HeaderName, HeaderValue},
};

use crate::{
    context::EntryContext,
    forward::{
        connection::EndpointConnection,
        notices,
        process_probes::{self, EventNumber},
        reach, request_log_line,
    },
    frontend::CallerRequest,
};

/// The head of an answer, with the connection that carries it.
#[derive(Debug)]
pub struct EndpointAnswer {
    /// Status, headers and the unread body.
    pub response: Response<Incoming>,
    /// The connection that the body is read from.
    pub connection: EndpointConnection,
    /// When the request was sent.
    pub sent: EventNumber,
}

/// Why a request was not sent to the endpoint that had been chosen for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// The endpoint is leaving, has left or has restarted.
    EndpointLeft,
    /// The endpoint has asked for rest.
    EndpointResting,
    /// The directory of endpoints has not been confirmed in time.
    DirectoryUnconfirmed,
    /// The deadline of the request has passed.
    DeadlinePassed,
}

impl Withheld {
    /// Whether another endpoint may get the request.
    pub const fn concerns_endpoint(self) -> bool {
        matches!(self, Withheld::EndpointLeft | Withheld::EndpointResting)
    }

    /// The reason for the log.
    pub const fn as_str(self) -> &'static str {
        match self {
            Withheld::EndpointLeft => "endpoint_left",
            Withheld::EndpointResting => "endpoint_resting",
            Withheld::DirectoryUnconfirmed => "directory_unconfirmed",
            Withheld::DeadlinePassed => "deadline_passed",
        }
    }
}

/// Result of an attempt, up to the head of the answer.
#[derive(Debug)]
pub enum SendOutcome {
    /// The endpoint answered.
    Answered(EndpointAnswer),
    /// The endpoint reports that it did not run the request.
    NotExecuted {
        /// Status of the answer.
        status: StatusCode,
        /// Whether a different endpoint now answers at the address.
        is_replaced: bool,
    },
    /// The endpoint answered with a status that refuses the request, without stating that it did not
    /// run it. The request may have run; to its caller the status would promise that it has not.
    RefusedWithoutProof(StatusCode),
    /// No byte of the request was written, as it must not be sent to the endpoint any more.
    Withheld(Withheld),
    /// No byte of the request was written; holds the error.
    NotSent(String),
    /// The request may have run; holds the error.
    MaybeRun(String),
    /// No answer arrived within the timeout; the request may have run.
    TimedOut,
}

impl SendOutcome {
    /// The label of the outcome in logs and metrics.
    pub const fn as_str(&self) -> &'static str {
        match self {
            SendOutcome::Answered(_) => "answered",
            SendOutcome::NotExecuted { .. } => "not_executed",
            SendOutcome::RefusedWithoutProof(_) => "refused_without_proof",
            SendOutcome::Withheld(_) => "withheld",
            SendOutcome::NotSent(_) => "not_sent",
            SendOutcome::MaybeRun(_) => "maybe_run",
            SendOutcome::TimedOut => "timed_out",
        }
    }
}

/// Headers that the entry adds to a single attempt.
pub type ExtraHeaders = Vec<(&'static str, String)>;

/// Sends the request to `target` and waits up to `timeout` for the head of the answer.
pub async fn send(
    context: &EntryContext,
    request: &CallerRequest,
    target: &EndpointTarget,
    extra_headers: &ExtraHeaders,
    timeout: TimeSpan,
) -> SendOutcome {
    notices::note_sent(context, target);
    let outcome = tokio::time::timeout(
        timeout.as_duration(),
        exchange(context, request, target, extra_headers),
    );
    let outcome = outcome.await.unwrap_or(SendOutcome::TimedOut);
    let counters = &context.metrics.attempts;
    counters.with_label_values(&[outcome.as_str()]).inc();
    outcome
}

/// Sends the request on pooled connections until one is still open, or on a new one.
async fn exchange(
    context: &EntryContext,
    request: &CallerRequest,
    target: &EndpointTarget,
    extra_headers: &ExtraHeaders,
) -> SendOutcome {
    process_probes::prepare(context, &request.service, target).await;
    // The endpoint may have closed a pooled connection. Nothing was written then, and
    // the next pooled connection or a new one is used.
    while let Some(connection) = take_pooled(context, request, target) {
        match exchange_on(context, request, target, extra_headers, connection).await {
            SendOutcome::NotSent(_) => {}
            outcome => return outcome,
        }
    }
    match EndpointConnection::connect(target.address).await {
        Ok(connection) => {
            reach::note_connected(context, &request.service);
            exchange_on(context, request, target, extra_headers, connection).await
        }
        Err(error) => {
            reach::note_not_connected(context, &request.service, &target.id);
            SendOutcome::NotSent(error.to_string())
        }
    }
}

/// Takes an idle connection on which the request has not been sent before. A late second copy of the
/// earlier answer there would carry the same attempt id as the answer that is due.
fn take_pooled(
    context: &EntryContext,
    request: &CallerRequest,
    target: &EndpointTarget,
) -> Option<EndpointConnection> {
    let used = request.used_connections.lock();
    context
        .pools
        .take(context.now(), &target.id, target.address, &used)
}

/// Sends the request on `connection` and reads the head of the answer.
async fn exchange_on(
    context: &EntryContext,
    request: &CallerRequest,
    target: &EndpointTarget,
    extra_headers: &ExtraHeaders,
    mut connection: EndpointConnection,
) -> SendOutcome {
    if let Some(reason) = withheld(context, request, target) {
        log_withheld(context, request, target, reason);
        return SendOutcome::Withheld(reason);
    }
    let outgoing = match build_request(context, request, target, extra_headers) {
        Ok(outgoing) => outgoing,
        Err(error) => return SendOutcome::NotSent(error.to_string()),
    };
    request.used_connections.lock().insert(connection.number());
    let (sent, sent_at) = (EventNumber::next(), context.now());
    let sending = connection.sender.try_send_request(outgoing);
    let noticing = notice_silence(context, request, target, sent_at);
    let response = match first_of(sending, noticing).await {
        Ok(response) => {
            reach::note_answered(context, &request.service);
            response
        }
        Err(mut failure) => {
            let is_unsent = failure.take_message().is_some();
            let error = failure.into_error().to_string();
            return match is_unsent {
                true => SendOutcome::NotSent(error),
                false => {
                    reach::note_broken(context, &request.service, &target.id);
                    SendOutcome::MaybeRun(error)
                }
            };
        }
    };
    // A late answer to an earlier request may arrive in place of the answer to this one.
    let response_id = response.headers().get(headers::ATTEMPT_ID);
    if response_id.is_none_or(|id| id.as_bytes() != request.id.as_str().as_bytes()) {
        return SendOutcome::MaybeRun(
            "the attempt id of the answer is that of another request".to_string(),
        );
    }
    let status = response.status();
    if !is_final(status) {
        return SendOutcome::MaybeRun(status_error(status));
    }
    let keep_alive = response.headers().get("keep-alive");
    connection.note_keep_alive(keep_alive.and_then(|value| value.to_str().ok()));
    notices::note_answer(context, target, status, response.headers());
    if status == StatusCode::MISDIRECTED_REQUEST
        || response.headers().contains_key(headers::NOT_EXECUTED)
    {
        let responder = response.headers().get(headers::ENDPOINT_ID);
        let is_replaced = status == StatusCode::MISDIRECTED_REQUEST
            && responder.is_some_and(|id| id.as_bytes() != target.id.as_str().as_bytes());
        let answer = EndpointAnswer {
            response,
            connection,
            sent,
        };
        discard_body(context, target, answer).await;
        return SendOutcome::NotExecuted {
            status,
            is_replaced,
        };
    }
    if promises_not_run(status) {
        let answer = EndpointAnswer {
            response,
            connection,
            sent,
        };
        discard_body(context, target, answer).await;
        log_refused_without_proof(context, request, target, status);
        return SendOutcome::RefusedWithoutProof(status);
    }
    SendOutcome::Answered(EndpointAnswer {
        response,
        connection,
        sent,
    })
}

/// Whether the status is that of a final answer. A faulty endpoint may send any digits.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// The error for an answer whose status is not that of a final one.
pub fn status_error(status: StatusCode) -> String {
    format!("`{}` is not the status of a final answer", status.as_u16())
}

/// Whether the status tells a caller that its request has not run and never will.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Whether the request must not be sent to `target` although it was chosen. The choice may have
/// been made long before: the request has waited for a connection, a prefill or other endpoints.
fn withheld(
    context: &EntryContext,
    request: &CallerRequest,
    target: &EndpointTarget,
) -> Option<Withheld> {
    let now = context.now();
    if request.time_left(now) == TimeSpan::ZERO {
        return Some(Withheld::DeadlinePassed);
    }
    if context.directory_validity(now) == StateValidity::Unconfirmed {
        return Some(Withheld::DirectoryUnconfirmed);
    }
    match notices::call_obstacle(context, &target.id, target.start) {
        Some(CallObstacle::Resting(_)) => return Some(Withheld::EndpointResting),
        Some(CallObstacle::Leaving) => return Some(Withheld::EndpointLeft),
        None => {}
    }
    let directory = context.directory.lock();
    let is_available = directory
        .open_at(now, &target.id)
        .is_some_and(|known| known.start == target.start);
    (!is_available).then_some(Withheld::EndpointLeft)
}

fn log_withheld(
    context: &EntryContext,
    request: &CallerRequest,
    target: &EndpointTarget,
    reason: Withheld,
) {
    request_log_line(context, "withheld", request)
        .with("endpoint", &target.id)
        .with("reason", reason.as_str())
        .info();
}

fn log_refused_without_proof(
    context: &EntryContext,
    request: &CallerRequest,
    target: &EndpointTarget,
    status: StatusCode,
) {
    request_log_line(context, "refused_without_proof", request)
        .with("endpoint", &target.id)
        .with("status", status.as_u16())
        .info();
}

/// Counts a call that stays unanswered for long against the path to its endpoint.
async fn notice_silence(
    context: &EntryContext,
    request: &CallerRequest,
    target: &EndpointTarget,
    sent: ClockTime,
) {
    tokio::time::sleep(reach::MAX_SILENCE.as_duration()).await;
    reach::note_silent(context, &request.service, &target.id, sent);
}

/// Runs `other` beside `main` and returns the result of `main`.
async fn first_of<Main, Other>(main: Main, other: Other) -> Main::Output
where
    Main: Future,
    Other: Future<Output = ()>,
{
    let main = std::pin::pin!(main);
    let other = std::pin::pin!(other);
    match futures::future::select(main, other).await {
        futures::future::Either::Left((output, _)) => output,
        futures::future::Either::Right(((), main)) => main.await,
    }
}

/// Reads and discards the short rest of an answer and returns the connection to the pool.
async fn discard_body(context: &EntryContext, target: &EndpointTarget, answer: EndpointAnswer) {
    /// The body of a refusal is a few bytes long. A connection that does not deliver it
    /// within this time is closed instead of pooled.
    const DISCARD_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(20);
    let body = http_body_util::Limited::new(answer.response.into_body(), 65_536);
    let collected = http_body_util::BodyExt::collect(body);
    if let Ok(Ok(_)) = tokio::time::timeout(DISCARD_TIMEOUT, collected).await {
        return_to_pool(context, target, answer.connection);
    }
}

/// Returns a connection to the pool after its answer was read to the end. A connection
/// that can't take another request is closed.
pub fn return_to_pool(
    context: &EntryContext,
    target: &EndpointTarget,
    mut connection: EndpointConnection,
) {
    let now = context.now();
    if futures::FutureExt::now_or_never(connection.sender.ready())
        .is_some_and(|ready| ready.is_ok())
    {
        context
            .pools
            .put(now, &target.id, target.address, connection);
    }
}

fn build_request(
    context: &EntryContext,
    request: &CallerRequest,
    target: &EndpointTarget,
    extra_headers: &ExtraHeaders,
) -> Result<Request<Full<bytes::Bytes>>, hyper::http::Error> {
    let mut outgoing = Request::builder()
        .method(request.method.clone())
        .uri(request.target.as_str())
        .body(Full::new(request.body.clone()))?;
    let mut headers_to_send: HeaderMap = request.headers.clone();
    let remaining = request.time_left(context.now()).as_millis();
    let mut set = |name: &'static str, value: String| -> Result<(), hyper::http::Error> {
        headers_to_send.insert(
            HeaderName::from_static(name),
            HeaderValue::from_str(&value)?,
        );
        Ok(())
    };
    set(headers::DEADLINE_MS, remaining.to_string())?;
    set(headers::EXPECT_ENDPOINT, target.id.to_string())?;
    if let Some(organisation) = &request.organisation {
        set(headers::ORGANISATION, organisation.to_string())?;
    }
    for (name, value) in extra_headers {
        set(name, value.clone())?;
    }
    *outgoing.headers_mut() = headers_to_send;
    Ok(outgoing)
}

/// Whether an answer comes from the endpoint itself: it has the signature header, and
/// no content encoding, which requests never ask for.
pub fn is_signed(headers: &HeaderMap) -> bool {
    headers.contains_key(headers::SIGNATURE) && !headers.contains_key(CONTENT_ENCODING)
}
