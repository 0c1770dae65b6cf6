//! Limits that endpoints name in their answers, as they concern requests.

use std::borrow::Cow;

use bluebell_adapter::headers;
use bluebell_core::{
    clock::TimeSpan,
    endpoint_limits::LimitStatement,
    ids::{EndpointId, ServiceName},
    placement::EndpointTarget,
};
use bluebell_daemon::logs::LogLine;
use hyper::{HeaderMap, StatusCode};

use crate::{context::EntryContext, frontend::DEFAULT_RETRY_AFTER};

/// Records what an answer of `target` says about its limit. An endpoint that rejects a
/// request may do so without naming its limit, so only a success lifts the limit.
pub fn note_answer(
    context: &EntryContext,
    target: &EndpointTarget,
    status: StatusCode,
    answer_headers: &HeaderMap,
) {
    let statement = match answer_headers.get(headers::REQUEST_LIMIT) {
        Some(value) => {
            let rate = value.to_str().ok().and_then(headers::decode_limit);
            let Some(rate) = rate else {
                LogLine::new("endpoint_limit_rejected")
                    .with("endpoint", &target.id)
                    .with("value", format!("{value:?}"))
                    .warn();
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
/// at, and those whose limits leave no room.
pub fn excluded<'a>(context: &EntryContext, attempted: &'a [EndpointId]) -> Cow<'a, [EndpointId]> {
    let limits = context.endpoint_limits.lock();
    if limits.is_empty() {
        return Cow::Borrowed(attempted);
    }
    let mut excluded = limits.exhausted(context.now());
    excluded.extend_from_slice(attempted);
    Cow::Owned(excluded)
}

/// Records a request to `target`.
pub fn note_sent(context: &EntryContext, target: &EndpointTarget) {
    let mut limits = context.endpoint_limits.lock();
    limits.note_sent(context.now(), &target.id);
}

/// The time until the limit of an endpoint leaves room for a request to `service` that was
/// refused for lack of endpoints; `None` if no limit is the reason.
pub fn retry_after(context: &EntryContext, service: &ServiceName) -> Option<TimeSpan> {
    let directory = context.directory.lock();
    let is_candidate = |endpoint: &EndpointId| {
        let registration = directory.get(endpoint);
        registration.is_some_and(|registration| registration.service == *service)
    };
    let limits = context.endpoint_limits.lock();
    let room_in = limits.room_in(context.now(), is_candidate);
    room_in.map(|span| span.max(DEFAULT_RETRY_AFTER))
}
