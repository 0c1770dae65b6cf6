//! Reading a caller's body, up to its limit.

use bluebell_core::{clock::TimeSpan, units::ByteSize};
use bytes::Bytes;
use rocket::{
    Data,
    data::{ByteUnit, DataStream},
    tokio::io::{AsyncReadExt, copy, sink},
};

use crate::{
    caller::CallerHeaders,
    context::EntryContext,
    refusal::{Refusal, RefusalCode},
};

/// How long a caller may take to send its body. Without a limit, callers that
/// stop half way would hold on to handlers for good.
const BODY_PATIENCE: TimeSpan = TimeSpan::from_secs(30);

/// How much of a refused request's body is read and thrown away.
const DISCARD_LIMIT: ByteSize = ByteSize::new(64 * 1024 * 1024);

/// How long throwing a body away may take.
const DISCARD_PATIENCE: TimeSpan = TimeSpan::from_secs(5);

/// The body of a request, as far as it has not been read.
pub struct CallerBody<'r> {
    stream: DataStream<'r>,
    limit: ByteSize,
}

impl<'r> CallerBody<'r> {
    /// The body that comes with `data`.
    pub fn new(context: &EntryContext, data: Data<'r>) -> CallerBody<'r> {
        let limit = context.settings.requests.max_body;
        let most = ByteUnit::from((limit + DISCARD_LIMIT).count());
        CallerBody {
            stream: data.open(most),
            limit,
        }
    }

    /// Reads the body whole, or refuses it.
    pub async fn read(&mut self, head: &CallerHeaders) -> Result<Bytes, Refusal> {
        let limit = self.limit.count();
        let mut body = Vec::new();
        let mut most = (&mut self.stream).take(limit + 1);
        let read = most.read_to_end(&mut body);
        let read = tokio::time::timeout(BODY_PATIENCE.as_duration(), read).await;
        let broken = |error: String| {
            let message = format!("failed to read the body: {error}");
            head.refuse(RefusalCode::InvalidRequest, message)
        };
        read.map_err(|_| broken(format!("not whole after {BODY_PATIENCE}")))?
            .map_err(|error| broken(error.to_string()))?;
        if body.len() as u64 > limit {
            let message = format!("the body is longer than {limit} bytes");
            return Err(head.refuse(RefusalCode::BodyTooLarge, message));
        }
        Ok(body.into())
    }

    /// Throws away what a refused caller is still sending. If the connection were
    /// closed on unread bytes, the caller's side would be reset, and the caller
    /// would see a broken connection in place of the refusal: it could not tell
    /// that nothing ran, nor why. Bounded in size and time, so that nobody holds on
    /// to a handler this way.
    pub async fn discard(mut self) {
        let mut nowhere = sink();
        let rest = copy(&mut self.stream, &mut nowhere);
        let _ = tokio::time::timeout(DISCARD_PATIENCE.as_duration(), rest).await;
    }
}
