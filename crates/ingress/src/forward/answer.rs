//! Endpoint answers that are read completely before they are forwarded.

use bluebell_core::{clock::TimeSpan, placement::EndpointTarget};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_LENGTH, CONTENT_TYPE},
};

use crate::{
    context::EntryContext,
    forward::{
        answer_end::AnswerEnd,
        attempt::{self, EndpointAnswer},
        events::EventSplitter,
    },
    frontend::{AnswerBody, CallerRequest, pieces_body},
    hop_headers,
    memory::AnswerMemory,
};

/// Maximum body size of an answer that is buffered for a caller, in bytes; a larger answer is
/// treated as broken.
pub const MAX_ANSWER_BYTES: usize = 16 * 1_024 * 1_024;

/// An answer whose body was read to its end.
#[derive(Clone, Debug)]
pub struct CompleteAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, in pieces as they arrived.
    pub body: Vec<Bytes>,
    memory: AnswerMemory,
}

impl CompleteAnswer {
    /// Reads the rest of the answer to `request`. Returns `None` if the connection breaks, the body
    /// exceeds `max_bytes`, `timeout` elapses, the endpoint has broken off an event stream, or an
    /// end that isn't marked came with the end of the endpoint. Only the connection of a completely
    /// read answer returns to the pool.
    pub async fn read(
        context: &EntryContext,
        request: &CallerRequest,
        target: &EndpointTarget,
        answer: EndpointAnswer,
        max_bytes: usize,
        timeout: TimeSpan,
    ) -> Option<CompleteAnswer> {
        let read_at = context.now();
        let (head, body) = answer.response.into_parts();
        let end = AnswerEnd::new(&head.headers, &body, answer.sent);
        let memory = context.memory.start_answer(request.answered_caller());
        let pieces = read_pieces(body, &memory, max_bytes);
        let body = tokio::time::timeout(timeout.as_duration(), pieces).await;
        let body = body.ok()??;
        if is_event_stream(&head.headers) && !end.is_marked() && !ends_event(&body) {
            return None;
        }
        let remaining = timeout.saturating_sub(context.now().since(read_at));
        let service = &request.service;
        if !end.is_whole(context, service, target, remaining).await {
            return None;
        }
        attempt::return_to_pool(context, target, answer.connection);
        Some(CompleteAnswer {
            status: head.status,
            headers: head.headers,
            body,
            memory,
        })
    }

    /// Whether the endpoint reports that it failed (status 5xx).
    pub fn is_failure(&self) -> bool {
        self.status.is_server_error()
    }

    /// Converts the answer into the response to the caller.
    pub fn into_response(self) -> Response<AnswerBody> {
        self.memory.offer();
        let mut response = Response::new(pieces_body(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = end_to_end_headers(&self.headers);
        response
    }
}

/// Reads a body to its end, no faster than there is memory for it. Returns `None` if the
/// connection breaks or the body exceeds `max_bytes`.
async fn read_pieces(
    mut body: Incoming,
    memory: &AnswerMemory,
    max_bytes: usize,
) -> Option<Vec<Bytes>> {
    let mut pieces = Vec::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let Ok(bytes) = frame.ok()?.into_data() else {
            continue;
        };
        length += bytes.len();
        if length > max_bytes {
            return None;
        }
        pieces.push(memory.hold(bytes).await);
    }
    Some(pieces)
}

/// Whether the content type of an answer with these headers is that of an event stream.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    content_type.is_some_and(|value| value.starts_with("text/event-stream"))
}

/// Whether the body of an event stream has an event and ends with a complete one.
fn ends_event(body: &[Bytes]) -> bool {
    let mut splitter = EventSplitter::default();
    body.iter().for_each(|piece| splitter.push(piece));
    splitter.take_events().is_some() && !splitter.has_partial_event()
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
