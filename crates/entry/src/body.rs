//! Reads request bodies up to the configured limit.

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
/// stop sending half way would occupy handlers forever.
const BODY_READ_TIMEOUT: TimeSpan = TimeSpan::from_secs(30);

/// The maximum number of bytes of a refused request's body that are read and discarded.
const DISCARD_LIMIT: ByteSize = ByteSize::new(64 * 1024 * 1024);

/// How long discarding a body may take.
const DISCARD_TIMEOUT: TimeSpan = TimeSpan::from_secs(5);

/// The unread part of a request's body.
pub struct CallerBody<'r> {
    stream: DataStream<'r>,
    limit: ByteSize,
}

impl<'r> CallerBody<'r> {
    /// Opens the body in `data`, limited to `requests.max_body` and what may be discarded.
    pub fn new(context: &EntryContext, data: Data<'r>) -> CallerBody<'r> {
        let limit = context.settings.requests.max_body;
        let max_bytes = ByteUnit::from((limit + DISCARD_LIMIT).count());
        CallerBody {
            stream: data.open(max_bytes),
            limit,
        }
    }

    /// Reads the complete body.
    ///
    /// # Errors
    ///
    /// Refuses a body that is too long, can't be read or does not arrive in time.
    pub async fn read(&mut self, headers: &CallerHeaders) -> Result<Bytes, Refusal> {
        let limit = self.limit.count();
        let mut body = Vec::new();
        let mut limited = (&mut self.stream).take(limit + 1);
        let read = limited.read_to_end(&mut body);
        let read = tokio::time::timeout(BODY_READ_TIMEOUT.as_duration(), read).await;
        let unreadable = |error: String| {
            let message = format!("failed to read the body: {error}");
            headers.refuse(RefusalCode::InvalidRequest, message)
        };
        read.map_err(|_| unreadable(format!("not complete after {BODY_READ_TIMEOUT}")))?
            .map_err(|error| unreadable(error.to_string()))?;
        if body.len() as u64 > limit {
            let message = format!("the body is longer than the limit of {limit} bytes");
            return Err(headers.refuse(RefusalCode::BodyTooLarge, message));
        }
        Ok(body.into())
    }

    /// Discards what a refused caller is still sending. Closing the connection with
    /// unread bytes would reset it, and the caller would see a broken connection
    /// instead of the refusal, without learning that nothing ran, or why. Bounded in
    /// size and time, so that a caller can't occupy a handler this way.
    pub async fn discard(mut self) {
        let mut discarded = sink();
        let copied = copy(&mut self.stream, &mut discarded);
        let _ = tokio::time::timeout(DISCARD_TIMEOUT.as_duration(), copied).await;
    }
}
