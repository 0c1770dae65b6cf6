//! Endpoint answers that are read completely before they are forwarded.

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

/// Maximum body size of a buffered answer in bytes; a larger answer is treated as broken.
const MAX_ANSWER_BYTES: usize = 16 * 1_024 * 1_024;

/// An answer whose body was read to its end.
#[derive(Clone, Debug)]
pub struct CompleteAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl CompleteAnswer {
    /// Reads the rest of an answer. Returns `None` if the connection breaks, the body
    /// exceeds the size limit or `timeout` elapses. Only the connection of a completely
    /// read answer returns to the pool.
    pub async fn read(
        context: &EntryContext,
        target: &EndpointTarget,
        answer: EndpointAnswer,
        timeout: TimeSpan,
    ) -> Option<CompleteAnswer> {
        let (head, body) = answer.response.into_parts();
        let collected = Limited::new(body, MAX_ANSWER_BYTES).collect();
        let collected = tokio::time::timeout(timeout.as_duration(), collected).await;
        let body = collected.ok()?.ok()?.to_bytes();
        attempt::return_to_pool(context, target, answer.connection);
        Some(CompleteAnswer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Whether the endpoint reports that it failed (status 5xx).
    pub fn is_failure(&self) -> bool {
        self.status.is_server_error()
    }

    /// Converts the answer into the response to the caller.
    pub fn into_response(self) -> Response<AnswerBody> {
        let mut response = Response::new(full_body(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = end_to_end_headers(&self.headers);
        response
    }
}

/// Returns the headers of an answer that are forwarded to the caller: all except
/// hop-by-hop headers and `Content-Length`.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_options = hop_headers::connection_options(headers);
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_connection_option = connection_options
            .iter()
            .any(|option| option == name.as_str());
        if !is_connection_option && !hop_headers::is_hop_by_hop(name) && *name != CONTENT_LENGTH {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}
