//! Decisions of the retry budget, as they are logged and counted.

use crate::{context::EntryContext, forward::request_log_line, frontend::CallerRequest};

/// Whether the retry budget allows `request` to be sent once more, by a call named `call`.
pub fn try_retry(context: &EntryContext, request: &CallerRequest, call: &str) -> bool {
    let now = context.now();
    let (is_granted, status) = {
        let mut budget = context.budget.lock();
        let is_granted = budget.try_retry(now, &request.service);
        (is_granted, budget.service_status(now, &request.service))
    };
    let outcome = if is_granted { "granted" } else { "exhausted" };
    context.metrics.retries.with_label_values(&[outcome]).inc();
    request_log_line(context, "retry", request)
        .with("call", call)
        .with("outcome", outcome)
        .with("requests", status.requests)
        .with("retries", status.retries)
        .with("extra", format!("{:.1}", status.extra))
        .info();
    is_granted
}

/// Returns retries to the budget that were granted but not sent.
pub fn return_unsent(context: &EntryContext, request: &CallerRequest, unused: u32) {
    if unused == 0 {
        return;
    }
    let now = context.now();
    let mut budget = context.budget.lock();
    budget.return_unsent(now, &request.service, unused);
    drop(budget);
    let returned = context.metrics.retries.with_label_values(&["returned"]);
    returned.inc_by(u64::from(unused));
}

/// Logs that the caller disconnected while a call was in progress. The call may have reached
/// its endpoint.
pub fn log_abandoned(context: &EntryContext, request: &CallerRequest, call: &str) {
    request_log_line(context, "call_abandoned", request)
        .with("call", call)
        .info();
}
