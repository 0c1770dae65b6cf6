//! Whole answers of endpoints.

use bluebell_core::{clock::TimeSpan, placement::EndpointTarget};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{HeaderMap, Response, StatusCode, header::CONTENT_LENGTH};

use crate::{
    context::EntryContext,
    forward::attempt::{self, EndpointAnswer},
    frontend::{AnswerBody, full_body},
    hop_headers,
};

/// The largest answer that is held as a whole; larger ones are taken for broken.
const ANSWER_LIMIT: usize = 16 * 1_024 * 1_024;

/// An answer that was read to its end.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl WholeAnswer {
    /// Reads the rest of an answer; `None` if it breaks off or takes too long.
    /// Only an answer that came whole keeps its connection.
    pub async fn read(
        context: &EntryContext,
        target: &EndpointTarget,
        answer: EndpointAnswer,
        patience: TimeSpan,
    ) -> Option<WholeAnswer> {
        let (head, body) = answer.response.into_parts();
        let collected = Limited::new(body, ANSWER_LIMIT).collect();
        let collected = tokio::time::timeout(patience.as_duration(), collected).await;
        let body = collected.ok()?.ok()?.to_bytes();
        attempt::keep(context, target, answer.connection);
        Some(WholeAnswer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Whether the endpoint's own work failed.
    pub fn is_failure(&self) -> bool {
        self.status.is_server_error()
    }

    /// The answer for the caller.
    pub fn into_response(self) -> Response<AnswerBody> {
        let mut response = Response::new(full_body(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = caller_headers(&self.headers);
        response
    }
}

/// The headers of an answer that go on to the caller: all but those of the
/// connection and of the framing.
pub fn caller_headers(headers: &HeaderMap) -> HeaderMap {
    let named = hop_headers::named(headers);
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_named = named.iter().any(|hop_headers| hop_headers == name.as_str());
        if !is_named && !hop_headers::is_hop(name) && *name != CONTENT_LENGTH {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
