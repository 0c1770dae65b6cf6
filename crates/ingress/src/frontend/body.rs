//! Bodies of responses to callers.

use bytes::Bytes;
use futures::Stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;

/// A stream that ended prematurely. The caller's connection is aborted, so that the
/// truncated answer does not appear complete.
#[derive(Debug, thiserror::Error)]
#[error("the answer of the endpoint ended prematurely")]
pub struct StreamAborted;

/// The body of a response.
pub type AnswerBody = UnsyncBoxBody<Bytes, StreamAborted>;

/// Returns a body of known length.
pub fn full_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns an empty body.
pub fn empty_body() -> AnswerBody {
    full_body(Bytes::new())
}

/// Returns a body that is streamed frame by frame.
pub fn stream_body<Frames>(frames: Frames) -> AnswerBody
where
    Frames: Stream<Item = Result<Frame<Bytes>, StreamAborted>> + Send + 'static,
{
    StreamBody::new(frames).boxed_unsync()
}
