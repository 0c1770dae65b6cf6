//! Requests that other instances forward for this one.
//!
//! An instance that reaches no endpoint of a service, or whose directory of endpoints is not
//! confirmed, hands requests to instances that can serve them. They treat them like those of their
//! own callers: they check keys and limits, choose endpoints and account for retries and usage. A
//! proxied request is not proxied again.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use bluebell_adapter::headers;
use bluebell_core::{
    attempts::{RequestAttempts, SendPermit, WorkKind},
    ids::{EndpointId, InstanceId},
    ingress::RouteKind,
};
use bytes::Bytes;
use futures::Stream;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response, StatusCode,
    body::{Frame, Incoming},
    header::{AUTHORIZATION, HeaderValue},
};
use tokio::time::Instant;

use crate::{
    context::EntryContext,
    forward::{
        answer::end_to_end_headers, attempt, connection::EndpointConnection, reach, refuse,
        request_log_line, retries,
    },
    frontend::{
        AnswerBody, CONFIGURATION_VERSION, CallerRequest, Refusal, RefusalReason, StreamAborted,
        stream_body,
    },
    memory::AnswerMemory,
    peers,
};

/// The number of instances that a request is offered to at most. Those of other failure
/// domains may miss the endpoints as well, and say so within a round trip.
const MAX_PROXIES: usize = 8;

/// The name of a proxied call in the log.
const CALL_NAME: &str = "proxy";

/// What became of a request that was sent to another instance.
enum ProxyOutcome {
    Answered(Response<Incoming>, EndpointConnection),
    /// The request was not sent, or the other instance can't serve it either: it does not reach
    /// the endpoints, its directory is not confirmed, or it has an older configuration.
    NotTaken(String),
    MaybeRun(String),
    TimedOut,
}

/// Whether the request is to be handed to another instance, as this one reaches no endpoint
/// of its service. Waits while that is in doubt.
pub async fn is_needed(context: &EntryContext, request: &CallerRequest) -> bool {
    !request.is_proxied && reach::is_unreachable(context, &request.service).await
}

/// Has another instance answer the request. Returns `None` if there is none that takes it.
pub async fn serve(
    context: &Arc<EntryContext>,
    request: &CallerRequest,
) -> Option<Response<AnswerBody>> {
    let proxies = context.peers.lock().proxies(
        context.now(),
        &context.settings.domain,
        &request.service,
        MAX_PROXIES,
    );
    let kind = request.route.work_kind();
    let mut attempts = RequestAttempts::new(request.id.clone(), kind);
    let mut failure = None;
    for (peer, address) in proxies {
        let Some(permit) = permit_send(&mut attempts, &peer) else {
            break;
        };
        let outcome = send(context, request, peers::proxy_address(address)).await;
        log_outcome(context, request, &peer, &outcome);
        match outcome {
            ProxyOutcome::Answered(response, connection) => {
                return Some(into_response(context, request, response, connection));
            }
            ProxyOutcome::NotTaken(_) => {
                attempts.not_sent(permit);
                let missed = BTreeSet::from([request.service.clone()]);
                let mut peers = context.peers.lock();
                peers.note_unreachable(context.now(), &peer, missed);
            }
            ProxyOutcome::TimedOut => {
                failure = Some((RefusalReason::TimedOut, "no answer in time".to_string()));
                break;
            }
            ProxyOutcome::MaybeRun(detail) => {
                attempts.connection_lost();
                failure = Some((RefusalReason::EndpointFailed, detail));
                // The instance may have recorded that the stream began there.
                let is_stream = request.route.kind == RouteKind::Streaming;
                let is_repeatable = kind == WorkKind::Repeatable && !is_stream;
                if !is_repeatable || !retries::try_retry(context, request, CALL_NAME) {
                    break;
                }
            }
        }
    }
    let (reason, detail) = failure?;
    let refusal = Refusal::with_outcome(attempts.outcome(), reason);
    Some(refuse(context, request, refusal, &detail))
}

fn permit_send(attempts: &mut RequestAttempts, peer: &InstanceId) -> Option<SendPermit> {
    let target = EndpointId::new(peer.as_str()).ok()?;
    attempts.permit_send(&target).ok()
}

async fn send(
    context: &EntryContext,
    request: &CallerRequest,
    address: SocketAddr,
) -> ProxyOutcome {
    let remaining = request.time_left(context.now());
    let exchange = exchange(context, request, address);
    let outcome = tokio::time::timeout(remaining.as_duration(), exchange).await;
    outcome.unwrap_or(ProxyOutcome::TimedOut)
}

async fn exchange(
    context: &EntryContext,
    request: &CallerRequest,
    address: SocketAddr,
) -> ProxyOutcome {
    let mut connection = match EndpointConnection::connect(address).await {
        Ok(connection) => connection,
        Err(error) => return ProxyOutcome::NotTaken(error.to_string()),
    };
    let outgoing = match build_request(context, request) {
        Ok(outgoing) => outgoing,
        Err(error) => return ProxyOutcome::NotTaken(error.to_string()),
    };
    match connection.sender.try_send_request(outgoing).await {
        // The other instance states in this way that it has not sent the request anywhere.
        Ok(response) if response.status() == StatusCode::MISDIRECTED_REQUEST => {
            ProxyOutcome::NotTaken("endpoints or configuration missing there as well".to_string())
        }
        Ok(response) if !attempt::is_final(response.status()) => {
            ProxyOutcome::MaybeRun(attempt::status_error(response.status()))
        }
        Ok(response) => ProxyOutcome::Answered(response, connection),
        Err(mut failure) => {
            let is_unsent = failure.take_message().is_some();
            let error = failure.into_error().to_string();
            match is_unsent {
                true => ProxyOutcome::NotTaken(error),
                false => ProxyOutcome::MaybeRun(error),
            }
        }
    }
}

fn build_request(
    context: &EntryContext,
    request: &CallerRequest,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut outgoing = Request::builder()
        .method(request.method.clone())
        .uri(request.target.as_str())
        .body(Full::new(request.body.clone()))?;
    let mut headers_to_send = request.headers.clone();
    let remaining = request.time_left(context.now()).as_millis();
    headers_to_send.insert(headers::DEADLINE_MS, HeaderValue::from(remaining));
    let version = request.table.configuration().version;
    headers_to_send.insert(CONFIGURATION_VERSION, HeaderValue::from(version));
    if let Some(key) = &request.key {
        headers_to_send.insert(AUTHORIZATION, key.clone());
    }
    *outgoing.headers_mut() = headers_to_send;
    Ok(outgoing)
}

fn log_outcome(
    context: &EntryContext,
    request: &CallerRequest,
    peer: &InstanceId,
    outcome: &ProxyOutcome,
) {
    let (label, detail) = match outcome {
        ProxyOutcome::Answered(response, _) => ("answered", response.status().to_string()),
        ProxyOutcome::NotTaken(detail) => ("not_taken", detail.clone()),
        ProxyOutcome::MaybeRun(detail) => ("maybe_run", detail.clone()),
        ProxyOutcome::TimedOut => ("timed_out", "-".to_string()),
    };
    context.metrics.proxied.with_label_values(&[label]).inc();
    request_log_line(context, "proxied", request)
        .with("instance", peer)
        .with("outcome", label)
        .with("detail", detail)
        .info();
}

/// The state of an answer that is passed on: dropping it closes the connection, which stops
/// the work at the other instance.
struct ProxiedBody {
    body: Incoming,
    memory: AnswerMemory,
    /// When the caller no longer waits for the rest.
    deadline: Instant,
    _connection: EndpointConnection,
}

fn into_response(
    context: &EntryContext,
    request: &CallerRequest,
    response: Response<Incoming>,
    connection: EndpointConnection,
) -> Response<AnswerBody> {
    let (head, body) = response.into_parts();
    let state = ProxiedBody {
        body,
        memory: context.memory.start_answer(request.answered_caller()),
        deadline: Instant::now() + request.time_left(context.now()).as_duration(),
        _connection: connection,
    };
    let mut response = Response::new(stream_body(frames(state)));
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end_headers(&head.headers);
    response
}

/// The data of a proxied answer. An answer that breaks off, or stalls until the deadline, is aborted,
/// so that it does not appear complete.
fn frames(state: ProxiedBody) -> impl Stream<Item = Result<Frame<Bytes>, StreamAborted>> {
    futures::stream::try_unfold(state, |mut state| async move {
        loop {
            let reading = tokio::time::timeout_at(state.deadline, state.body.frame());
            let Some(frame) = reading.await.map_err(|_| StreamAborted)? else {
                return Ok(None);
            };
            let frame = frame.map_err(|_| StreamAborted)?;
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            let bytes = state.memory.hold(bytes).await;
            state.memory.offer();
            return Ok(Some((Frame::data(bytes), state)));
        }
    })
}
