//! Whole answers of endpoints.

use bluebell_core::{clock::TimeSpan, placement::EngineTarget};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{
    HeaderMap, Response, StatusCode,
    header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING},
};

use crate::{
    context::EntryContext,
    forward::attempt::{self, EndpointAnswer},
    front::{AnswerBody, full_body},
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
        target: &EngineTarget,
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
        *response.headers_mut() = caller_headers(self.headers);
        response
    }
}

/// The headers of an answer that go on to the caller: all but those of the
/// connection and of the framing.
pub fn caller_headers(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING] {
        headers.remove(name);
    }
    for name in ["keep-alive", "proxy-connection", "trailer", "upgrade"] {
        headers.remove(name);
    }
    headers
}
