//! Bodies of answers to callers.

use bytes::Bytes;
use futures::Stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;

/// A stream that ends without its end: the caller's connection is broken off, so
/// that what it got does not look complete.
#[derive(Debug, thiserror::Error)]
#[error("the endpoint's answer broke off")]
pub struct StreamAborted;

/// The body of an answer.
pub type AnswerBody = UnsyncBoxBody<Bytes, StreamAborted>;

/// A body that is known as a whole.
pub fn full_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// No body.
pub fn empty_body() -> AnswerBody {
    full_body(Bytes::new())
}

/// A body that comes piece by piece.
pub fn stream_body<Pieces>(pieces: Pieces) -> AnswerBody
where
    Pieces: Stream<Item = Result<Frame<Bytes>, StreamAborted>> + Send + 'static,
{
    StreamBody::new(pieces).boxed_unsync()
}
