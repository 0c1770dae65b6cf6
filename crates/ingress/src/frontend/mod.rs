//! The server for callers: connections, requests and responses.
//!
//! Rocket continues to run a handler after its caller has disconnected, and modifies
//! forwarded responses. Here a disconnect must stop the work at the endpoint immediately,
//! and answers are forwarded byte for byte, so the frontend uses hyper, the HTTP library
//! below Rocket. Rocket serves the operational pages of the process.

mod basis;
mod body;
mod listener;
mod refusal;
mod request;

use std::sync::Arc;

use bluebell_core::attempts::RunOutcome;
use bluebell_daemon::logs::LogLine;
use hyper::{Request, Response, body::Incoming};
use tokio_util::sync::CancellationToken;

pub use self::{
    basis::SYNC_RETRY_AFTER,
    body::{AnswerBody, StreamAborted, empty_body, pieces_body, stream_body},
    listener::FrontendServer,
    refusal::{DEFAULT_RETRY_AFTER, Refusal, RefusalReason},
    request::{CONFIGURATION_VERSION, CallerRequest, RequestSource},
};
use crate::{context::EntryContext, forward, shutdown};

/// Counts a request as open while the guard exists.
struct OpenRequestGuard<'a>(&'a EntryContext);

impl<'a> OpenRequestGuard<'a> {
    fn new(context: &'a EntryContext) -> OpenRequestGuard<'a> {
        context.metrics.requests_open.inc();
        OpenRequestGuard(context)
    }
}

impl Drop for OpenRequestGuard<'_> {
    fn drop(&mut self) {
        self.0.metrics.requests_open.dec();
    }
}

/// Reads one request, forwards it to an endpoint and returns the response. While the
/// process stops, the response asks the caller to close its connection. `connection` closes
/// the connection of the caller when cancelled.
pub async fn serve_request(
    context: Arc<EntryContext>,
    connection: CancellationToken,
    source: RequestSource,
    incoming: Request<Incoming>,
) -> Response<AnswerBody> {
    let _guard = OpenRequestGuard::new(&context);
    let mut response = match read_in_time(&context, connection, source, incoming).await {
        Ok(request) => forward_in_time(&context, request).await,
        Err(refusal) => refuse(&context, refusal),
    };
    if context.stopping.is_cancelled() {
        let close = hyper::header::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(hyper::header::CONNECTION, close);
    }
    response
}

/// Reads one request. One that has not arrived when the last answers of a stopping process are due
/// is refused.
async fn read_in_time(
    context: &EntryContext,
    connection: CancellationToken,
    source: RequestSource,
    incoming: Request<Incoming>,
) -> Result<CallerRequest, Refusal> {
    let reading = request::read(context, connection, source, incoming);
    let request = tokio::select! {
        read = reading => read?,
        () = context.answers_due.cancelled() => return Err(shutdown::not_taken(source)),
    };
    shutdown::admit(context, request)
}

/// Forwards a request to an endpoint. One that has no answer when the last answers of a stopping
/// process are due may have run.
async fn forward_in_time(
    context: &Arc<EntryContext>,
    request: CallerRequest,
) -> Response<AnswerBody> {
    let id = request.id.clone();
    tokio::select! {
        response = forward::serve(context, request) => response,
        () = context.answers_due.cancelled() => {
            let refusal = Refusal::with_outcome(RunOutcome::Unknown, RefusalReason::Stopping);
            refuse(context, refusal.with_request(id.as_str()))
        }
    }
}

/// Counts and logs a refusal, and returns the response.
fn refuse(context: &EntryContext, refusal: Refusal) -> Response<AnswerBody> {
    log_refusal(context, &refusal);
    let outcome = refusal.reason().as_str();
    let counters = &context.metrics.answers;
    counters.with_label_values(&["none", outcome]).inc();
    refusal.into_response()
}

/// Logs a refusal with what this instance knew of the configuration.
fn log_refusal(context: &EntryContext, refusal: &Refusal) {
    let known = context.configuration.lock().status(context.now());
    LogLine::new("refused")
        .with("request", refusal.request_id_text())
        .with("status", refusal.status())
        .with("reason", refusal.reason())
        .with("configuration", known)
        .info();
}
