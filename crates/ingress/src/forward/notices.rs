//! What endpoints ask for in their answers, as it concerns requests and control calls: a limit, rest,
//! or nothing more as they leave.

use std::borrow::Cow;

use bluebell_adapter::headers;
use bluebell_core::{
    clock::TimeSpan,
    endpoint_limits::LimitStatement,
    endpoint_notices::{CallObstacle, EndpointNotice},
    ids::{EndpointId, ServiceName},
    placement::EndpointTarget,
};
use bluebell_daemon::logs::LogLine;
use hyper::{HeaderMap, StatusCode, header::HeaderValue};

use crate::{context::EntryContext, frontend::DEFAULT_RETRY_AFTER};

/// Records what an answer of `target` asks for.
pub fn note_answer(
    context: &EntryContext,
    target: &EndpointTarget,
    status: StatusCode,
    answer_headers: &HeaderMap,
) {
    note_limit(context, target, status, answer_headers);
    if answer_headers.contains_key(headers::LEAVING) {
        note_notice(context, target, EndpointNotice::Leaving);
    }
    let Some(value) = answer_headers.get(headers::RETRY_AFTER) else {
        return;
    };
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return;
    }
    match value.to_str().ok().and_then(headers::decode_rest) {
        Some(span) => note_notice(context, target, EndpointNotice::Rest(span)),
        None => log_rejected(target, "rest", value),
    }
}

fn note_notice(context: &EntryContext, target: &EndpointTarget, notice: EndpointNotice) {
    let now = context.now();
    let is_new = {
        let mut notices = context.endpoint_notices.lock();
        notices.note(now, &target.id, target.start, notice)
    };
    if !is_new {
        return;
    }
    let line = LogLine::new("endpoint_notice").with("endpoint", &target.id);
    match notice {
        EndpointNotice::Rest(span) => line.with("asks", "rest").with("for", span).info(),
        EndpointNotice::Leaving => line.with("asks", "nothing_more").info(),
    }
}

fn log_rejected(target: &EndpointTarget, what: &str, value: &HeaderValue) {
    LogLine::new("endpoint_notice_rejected")
        .with("endpoint", &target.id)
        .with("asks", what)
        .with("value", format!("{value:?}"))
        .warn();
}

/// Records what an answer of `target` says about its limit. An endpoint that rejects a
/// request may do so without naming its limit, so only a success lifts the limit.
fn note_limit(
    context: &EntryContext,
    target: &EndpointTarget,
    status: StatusCode,
    answer_headers: &HeaderMap,
) {
    let statement = match answer_headers.get(headers::REQUEST_LIMIT) {
        Some(value) => {
            let rate = value.to_str().ok().and_then(headers::decode_limit);
            let Some(rate) = rate else {
                log_rejected(target, "limit", value);
                return;
            };
            LimitStatement::Limited(rate)
        }
        None if status.is_success() => LimitStatement::Unlimited,
        None => return,
    };
    let is_changed = {
        let mut limits = context.endpoint_limits.lock();
        limits.note_answer(context.now(), &target.id, statement)
    };
    if is_changed {
        log_change(target, statement);
        context.update_endpoint_limits();
    }
}

fn log_change(target: &EndpointTarget, statement: LimitStatement) {
    match statement {
        LimitStatement::Limited(rate) => LogLine::new("endpoint_limited")
            .with("endpoint", &target.id)
            .with("rate", rate)
            .info(),
        LimitStatement::Unlimited => LogLine::new("endpoint_unlimited")
            .with("endpoint", &target.id)
            .info(),
    }
}

/// Returns the endpoints that a request must not be sent to: those that it was `attempted`
/// at, those whose limits leave no room, and those that rest or leave.
pub fn excluded<'a>(context: &EntryContext, attempted: &'a [EndpointId]) -> Cow<'a, [EndpointId]> {
    let limits = context.endpoint_limits.lock();
    let notices = context.endpoint_notices.lock();
    if limits.is_empty() && notices.is_empty() {
        return Cow::Borrowed(attempted);
    }
    let now = context.now();
    let mut excluded = limits.exhausted(now);
    excluded.extend(notices.not_callable(now));
    excluded.extend_from_slice(attempted);
    Cow::Owned(excluded)
}

/// Why nothing may be sent now to the endpoint that was started at `start`, if so. Each call to an
/// endpoint has to ask right before it is sent.
pub fn call_obstacle(
    context: &EntryContext,
    endpoint: &EndpointId,
    start: u64,
) -> Option<CallObstacle> {
    let now = context.now();
    context
        .endpoint_notices
        .lock()
        .obstacle(now, endpoint, start)
}

/// Records a request to `target`.
pub fn note_sent(context: &EntryContext, target: &EndpointTarget) {
    let mut limits = context.endpoint_limits.lock();
    limits.note_sent(context.now(), &target.id);
}

/// The time until an endpoint may be called again, for a request to `service` that was refused for
/// lack of endpoints: its limit leaves room, or its rest is over. `None` if neither is the reason.
pub fn retry_after(context: &EntryContext, service: &ServiceName) -> Option<TimeSpan> {
    let directory = context.directory.lock();
    let is_candidate = |endpoint: &EndpointId| {
        let registration = directory.get(endpoint);
        registration.is_some_and(|registration| registration.service == *service)
    };
    let now = context.now();
    let room_in = context.endpoint_limits.lock().room_in(now, is_candidate);
    let room_in = room_in.map(|span| span.max(DEFAULT_RETRY_AFTER));
    let notices = context.endpoint_notices.lock();
    let rest = notices.shortest_rest(now, is_candidate);
    room_in.into_iter().chain(rest).min()
}
