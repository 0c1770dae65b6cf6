//! Ends of answers: whether they are marked, and whether an end that isn't marked is the one that
//! the endpoint meant.

use bluebell_core::{clock::TimeSpan, placement::EndpointTarget};
use hyper::{
    HeaderMap,
    body::{Body, Incoming},
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};

use crate::{context::EntryContext, forward::process_check};

/// How the end of an answer is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// By its length or its last chunk.
    Marked,
    /// By the end of its connection, which ends in the same way if the endpoint crashes.
    Unmarked,
}

impl AnswerEnd {
    /// The kind of end of an answer whose body was not read yet. Some answers have no body, whatever
    /// their headers.
    pub fn new(headers: &HeaderMap, body: &Incoming) -> AnswerEnd {
        let has_length =
            headers.contains_key(TRANSFER_ENCODING) || headers.contains_key(CONTENT_LENGTH);
        match has_length || body.is_end_stream() {
            true => AnswerEnd::Marked,
            false => AnswerEnd::Unmarked,
        }
    }

    /// The label in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            AnswerEnd::Marked => "marked",
            AnswerEnd::Unmarked => "unmarked",
        }
    }

    /// Whether an answer of `target` that has ended in this way is whole. An end that isn't marked
    /// counts if the process of the endpoint still serves, which is found out within `timeout`.
    pub async fn is_whole(
        self,
        context: &EntryContext,
        target: &EndpointTarget,
        timeout: TimeSpan,
    ) -> bool {
        if self == AnswerEnd::Marked {
            return true;
        }
        let checking = process_check::is_running(context, target);
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
