//! Callers: their connections, their requests, and the answers they get.
//!
//! Rocket goes on running a handler whose caller has left and rewrites what it
//! passes on. Here a caller who leaves must stop the work at the endpoint at once,
//! and answers go on byte by byte as they came, so the front is on the HTTP
//! library below Rocket; Rocket serves the pages about the process.

mod body;
mod listener;
mod refusal;
mod request;

use std::sync::Arc;

use bluebell_daemon::logs::LogLine;
use hyper::{Request, Response, body::Incoming};

pub use self::{
    body::{AnswerBody, StreamAborted, empty_body, full_body, stream_body},
    listener::FrontendServer,
    refusal::{DEFAULT_RETRY_AFTER, Refusal, RefusalReason},
    request::CallerRequest,
};
use crate::{context::EntryContext, forward};

/// Counts a request as open while it exists.
struct OpenRequest<'a>(&'a EntryContext);

impl<'a> OpenRequest<'a> {
    fn new(context: &'a EntryContext) -> OpenRequest<'a> {
        context.metrics.requests_open.inc();
        OpenRequest(context)
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.metrics.requests_open.dec();
    }
}

/// Answers one request.
pub async fn answer(
    context: Arc<EntryContext>,
    incoming: Request<Incoming>,
) -> Response<AnswerBody> {
    let _open = OpenRequest::new(&context);
    let mut response = match request::read(&context, incoming).await {
        Ok(request) => forward::serve(&context, request).await,
        Err(refusal) => {
            let line = LogLine::new("refused")
                .with("request", refusal.request_text())
                .with("status", refusal.status())
                .with("reason", refusal.reason());
            line.info();
            let outcome = refusal.reason().as_str();
            let counters = &context.metrics.answers;
            counters.with_label_values(&["none", outcome]).inc();
            refusal.into_response()
        }
    };
    if context.stopping.is_cancelled() {
        let close = hyper::header::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(hyper::header::CONNECTION, close);
    }
    response
}
