//! Forwards requests to endpoints and their answers to callers.

mod answer;
mod answer_end;
mod attempt;
mod backups;
mod broken_runs;
mod connection;
mod continuation;
mod crashes;
mod endpoint_changes;
mod engine_calls;
mod engine_choice;
mod engine_failures;
mod event_order;
mod events;
mod failed_attempt;
mod generate;
mod guards;
mod notices;
mod plain;
mod pool;
mod prefill;
mod process_check;
mod process_probes;
mod proxy;
mod quota;
mod reach;
mod resume;
mod retries;
mod room;
mod run_answer;
mod stream;

use std::sync::Arc;

use bluebell_core::{ids::EndpointId, records::UsageWindow};
use bluebell_daemon::logs::LogLine;
use hyper::Response;
use tokio_util::sync::CancellationToken;

pub use self::{
    connection::ConnectionNumber,
    crashes::log_quarantined_parts,
    endpoint_changes::{note_registered, note_removed},
    notices::call_obstacle,
    pool::ConnectionPools,
    process_probes::ProcessProbes,
    room::WaitingRequests,
};
use crate::{
    context::EntryContext,
    frontend::{AnswerBody, CallerRequest, Refusal},
    sync,
    time::wall_time,
};

/// Spawns the tasks that probe endpoints in doubt and that let waiting requests through; they end
/// with `stop`.
pub fn start(context: &Arc<EntryContext>, stop: &CancellationToken) {
    let probing = reach::run(Arc::clone(context));
    let probing_stop = stop.clone();
    tokio::spawn(async move { probing_stop.run_until_cancelled(probing).await });
    let letting_through = room::run(Arc::clone(context));
    let stop = stop.clone();
    tokio::spawn(async move { stop.run_until_cancelled(letting_through).await });
}

/// Forwards a request to an endpoint of its service and returns the answer or a refusal.
pub async fn serve(
    context: &Arc<EntryContext>,
    mut request: CallerRequest,
) -> Response<AnswerBody> {
    context.crash_records.wait_until_read().await;
    if let Some(detail) = obstacle(context, &request).await {
        if request.is_proxied {
            return refuse(context, &request, Refusal::not_taken(), detail);
        }
        if let Some(response) = proxy::serve(context, &request).await {
            return response;
        }
    }
    if request.is_taken_up() {
        request = match resume::find_origin(context, request).await {
            Ok(request) => request,
            Err(refused) => return *refused,
        };
    }
    let now = context.now();
    context.budget.lock().note_request(now, &request.service);
    let charge = match quota::charge(context, &request) {
        Ok(charge) => charge,
        Err(excess) => return refuse(context, &request, excess.refusal, &excess.detail),
    };
    let request = Arc::new(request);
    match request.work {
        Some(_) => generate::serve(context, &request, charge).await,
        None => plain::serve(context, &request, charge).await,
    }
}

/// Why another instance should serve the request, if it takes it.
async fn obstacle(context: &EntryContext, request: &CallerRequest) -> Option<&'static str> {
    if context.reach.lock().is_unreachable(&request.service) {
        return Some("the endpoints of the service are not reached from here");
    }
    let is_confirmed = sync::is_directory_confirmed(context).await;
    (!is_confirmed).then_some("the endpoints are not confirmed here")
}

/// Counts a request that has started to run towards the usage of its organisation.
fn meter(context: &EntryContext, request: &CallerRequest) {
    let Some(organisation) = &request.organisation else {
        return;
    };
    let length = context.settings.bounds.usage_window;
    let window = UsageWindow::at(wall_time(), length);
    context.meter.lock().count(window, organisation);
}

/// Starts a log line with the id and the properties of the request.
fn request_log_line(context: &EntryContext, event: &str, request: &CallerRequest) -> LogLine {
    let now = context.now();
    let organisation = request.organisation.as_ref();
    let endpoints = context.directory_status(now);
    LogLine::new(event)
        .with("request", &request.id)
        .with("route", &request.route.name)
        .with("service", &request.service)
        .with(
            "organisation",
            organisation.map_or("-", |name| name.as_str()),
        )
        .with("version", request.table.configuration().version)
        .with("endpoints", endpoints)
        .with("elapsed", now.since(request.arrived))
}

/// The version of an endpoint's software for the log.
fn software(context: &EntryContext, endpoint: &EndpointId) -> String {
    let directory = context.directory.lock();
    let registration = directory.get(endpoint);
    registration.map_or("-".to_string(), |known| known.version.to_string())
}

/// Refuses a request: counts and logs the refusal and returns the response.
fn refuse(
    context: &EntryContext,
    request: &CallerRequest,
    refusal: Refusal,
    detail: &str,
) -> Response<AnswerBody> {
    let kind = if request.work.is_some() {
        "model"
    } else {
        "plain"
    };
    let outcome = refusal.reason().as_str();
    let counters = &context.metrics.answers;
    counters.with_label_values(&[kind, outcome]).inc();
    let retry_after = refusal.retry_after();
    request_log_line(context, "given_up", request)
        .with("status", refusal.status())
        .with("reason", refusal.reason())
        .with(
            "retry_after",
            retry_after.map_or("-".to_string(), |span| span.to_string()),
        )
        .with("detail", detail)
        .info();
    refusal.into_response()
}
