//! The planned stop of an entry, and the requests that arrive while it stops.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    shutdown::{LAST_ANSWERS_TIME, ShutdownSchedule},
};
use bluebell_daemon::logs::LogLine;

use crate::{
    context::EntryContext,
    frontend::{CallerRequest, FrontendServer, Refusal, RefusalReason, RequestSource},
    leader,
};

/// Stops the entry: reports not ready, then stops accepting connections, then waits for
/// the requests in progress, and has those answered that take too long. Streams that have begun
/// by then are cut when the process exits.
///
/// If the process closed its listener on the signal, it would reject the callers that the
/// platform still routes here for two seconds, and those that reuse a persistent
/// connection. If it waited until all callers close their connections, it would be killed
/// with requests in progress.
pub async fn run(context: &EntryContext, frontend: &FrontendServer) {
    let signalled = context.now();
    let schedule = ShutdownSchedule::new(signalled, context.settings.bounds.grace);
    LogLine::new("stopping")
        .with("open", context.metrics.requests_open.get())
        .info();
    *context.shutdown.lock() = Some(schedule);
    context.stopping.cancel();
    sleep_until(context, schedule.closes_at()).await;
    frontend.close();
    tokio::select! {
        () = frontend.wait_closed() => {}
        () = sleep_until(context, schedule.answers_due()) => {
            LogLine::new("answers_due")
                .with("open", context.metrics.requests_open.get())
                .warn();
            context.answers_due.cancel();
        }
    }
    let ending = futures::future::join(frontend.wait_closed(), leader::publish_end(context));
    let ended = tokio::time::timeout(LAST_ANSWERS_TIME.as_duration(), ending).await;
    if ended.is_err() {
        LogLine::new("stopped_early")
            .with("open", context.metrics.requests_open.get())
            .warn();
    }
}

async fn sleep_until(context: &EntryContext, time: ClockTime) {
    let span: TimeSpan = time.since(context.now());
    tokio::time::sleep(span.as_duration()).await;
}

/// Admits a request that has been read. While the process stops, its deadline is that of the stop at
/// the latest, and a late request is refused that might not be answered until then.
pub fn admit(context: &EntryContext, mut request: CallerRequest) -> Result<CallerRequest, Refusal> {
    let Some(schedule) = *context.shutdown.lock() else {
        return Ok(request);
    };
    if !schedule.accepts(context.now(), request.deadline) {
        let source = match request.is_proxied {
            true => RequestSource::Instance,
            false => RequestSource::Caller,
        };
        return Err(not_taken(source).with_request(request.id.as_str()));
    }
    request.deadline = schedule.cap_deadline(request.deadline);
    Ok(request)
}

/// The refusal of a request that was not sent anywhere, as the process stops.
pub fn not_taken(source: RequestSource) -> Refusal {
    match source {
        RequestSource::Caller => Refusal::before_sending(RefusalReason::Stopping, TimeSpan::ZERO),
        RequestSource::Instance => Refusal::not_taken(),
    }
}
