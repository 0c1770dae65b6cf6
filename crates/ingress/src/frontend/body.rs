//! Bodies of requests and of responses to callers.

use std::{
    collections::VecDeque,
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bluebell_core::{ids::OrganisationId, units::ByteSize};
use bytes::{Bytes, BytesMut};
use futures::Stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::{
    context::EntryContext,
    frontend::refusal::{DEFAULT_RETRY_AFTER, Refusal, RefusalReason},
};

/// Reads the body of a request completely. Its memory is accounted to `organisation` until
/// the last copy of the body is dropped; a body that does not fit is refused before it is
/// read.
pub async fn read(
    context: &EntryContext,
    organisation: Option<&OrganisationId>,
    mut body: Incoming,
    max_size: ByteSize,
) -> Result<Bytes, Refusal> {
    let too_large = || Refusal::invalid_request(RefusalReason::TooLarge);
    let no_memory = |_| Refusal::before_sending(RefusalReason::OutOfMemory, DEFAULT_RETRY_AFTER);
    // Of a body without a length, what has arrived is accounted for.
    let stated = body.size_hint().exact().unwrap_or_default();
    if stated > max_size.count() {
        return Err(too_large());
    }
    let memory = context.memory.admit(organisation, ByteSize::new(stated));
    let memory = memory.map_err(no_memory)?;
    let mut bytes = BytesMut::with_capacity(stated as usize);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::invalid_request(RefusalReason::Malformed))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = (bytes.len() + data.len()) as u64;
        if length > max_size.count() {
            return Err(too_large());
        }
        if length > stated {
            let size = ByteSize::new(data.len() as u64);
            memory.grow(size).map_err(no_memory)?;
        }
        bytes.extend_from_slice(&data);
    }
    Ok(memory.attach(bytes.freeze()))
}

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

/// Returns a body of known length that is sent piece by piece, so that the memory of each
/// piece is released when it has been written.
pub fn pieces_body(pieces: Vec<Bytes>) -> AnswerBody {
    let body = PiecesBody {
        pieces: pieces.into(),
    };
    body.map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body that is streamed frame by frame.
pub fn stream_body<Frames>(frames: Frames) -> AnswerBody
where
    Frames: Stream<Item = Result<Frame<Bytes>, StreamAborted>> + Send + 'static,
{
    StreamBody::new(frames).boxed_unsync()
}

struct PiecesBody {
    pieces: VecDeque<Bytes>,
}

impl Body for PiecesBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let piece = self.pieces.pop_front();
        Poll::Ready(piece.map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.pieces.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        let length = self.pieces.iter().map(|piece| piece.len() as u64);
        SizeHint::with_exact(length.sum())
    }
}
