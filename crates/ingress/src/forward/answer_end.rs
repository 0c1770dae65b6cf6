//! Ends of answers: whether they are marked, and whether an end that isn't marked is that of the whole
//! answer.

use bluebell_core::{clock::TimeSpan, ids::ServiceName, placement::EndpointTarget};
use hyper::{
    HeaderMap,
    body::{Body, Incoming},
    header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING},
};

use crate::{
    context::EntryContext,
    forward::{
        process_check::{self, ProcessState},
        process_probes::{self, EventNumber},
    },
};

/// How the end of an answer is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// By its length or its last chunk.
    Marked,
    /// By the end of its connection, which ends in the same way if the endpoint crashes.
    Unmarked {
        /// When the request was sent.
        sent: EventNumber,
    },
}

impl AnswerEnd {
    /// The kind of end of an answer whose body was not read yet, to a request that was sent at `sent`.
    /// Some answers have no body, whatever their headers.
    pub fn new(headers: &HeaderMap, body: &Incoming, sent: EventNumber) -> AnswerEnd {
        // Other codings than `chunked` are read to the end of the connection, whatever the length says.
        let is_framed = match headers.get_all(TRANSFER_ENCODING).iter().next_back() {
            Some(codings) => is_chunked(codings),
            None => headers.contains_key(CONTENT_LENGTH),
        };
        match is_framed || body.is_end_stream() {
            true => AnswerEnd::Marked,
            false => AnswerEnd::Unmarked { sent },
        }
    }

    /// Whether the end is marked in the answer itself.
    pub const fn is_marked(self) -> bool {
        matches!(self, AnswerEnd::Marked)
    }

    /// The label in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            AnswerEnd::Marked => "marked",
            AnswerEnd::Unmarked { .. } => "unmarked",
        }
    }

    /// Whether an answer of `target` that has ended in this way is whole. An end that isn't marked
    /// counts if the process of the endpoint still serves, which is found out within `timeout`.
    pub async fn is_whole(
        self,
        context: &EntryContext,
        service: &ServiceName,
        target: &EndpointTarget,
        timeout: TimeSpan,
    ) -> bool {
        let AnswerEnd::Unmarked { sent } = self else {
            return true;
        };
        let checking = serves_since(context, service, target, sent);
        let checked = tokio::time::timeout(timeout.as_duration(), checking).await;
        let outcome = match checked {
            Ok(true) => "running",
            Ok(false) => "not_running",
            Err(_) => "no_time",
        };
        let counters = &context.metrics.unmarked_ends;
        counters.with_label_values(&[outcome]).inc();
        checked == Ok(true)
    }
}

/// Whether the process that got a request at `sent` still serves.
async fn serves_since(
    context: &EntryContext,
    service: &ServiceName,
    target: &EndpointTarget,
    sent: EventNumber,
) -> bool {
    if context.probes.are_needed(service)
        && process_probes::has_run_since(context, service, target, sent).await
    {
        return true;
    }
    match process_check::check(context, target).await {
        ProcessState::Registered => true,
        ProcessState::Restarted | ProcessState::Gone => false,
        ProcessState::Unstated | ProcessState::Unreported => {
            process_probes::has_run_since(context, service, target, sent).await
        }
    }
}

/// Whether the last of the transfer codings is `chunked`.
fn is_chunked(codings: &HeaderValue) -> bool {
    let codings = codings.to_str().unwrap_or_default();
    let last = codings.rsplit(',').next().unwrap_or_default();
    last.trim().eq_ignore_ascii_case("chunked")
}
