//! HTTP calls with time limits on the progress of their answers.
//!
//! The time for a complete answer depends on its size and on the link. A limit on that
//! time aborts large answers that are still arriving, and the next attempt starts from
//! the beginning; with many instances this keeps links and servers busy while no answer
//! completes. The limit therefore applies to the head and then to each chunk of the body.

mod revocable;

use bluebell_core::{clock::TimeSpan, units::ByteSize};
use bytes::{Bytes, BytesMut};
use reqwest::{RequestBuilder, StatusCode, header::HeaderMap};

pub use self::revocable::fetch_revocable;

/// The maximum total time of a body that makes progress.
const LONGEST_TRANSFER: TimeSpan = TimeSpan::from_secs(15);

/// A complete answer.
#[derive(Clone, Debug)]
pub struct CompleteAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Why a call returned no complete answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TransferError {
    /// The connection could not be opened: the call has not been carried out.
    #[error("failed to connect: {0}")]
    NotSent(String),
    /// The answer, or its next chunk, did not arrive in time; the call may still be
    /// carried out.
    #[error("no answer within {limit}, {received} of the body received")]
    TimedOut {
        /// The time limit for the head of the answer and for each chunk of its body, or
        /// for the complete answer.
        limit: TimeSpan,
        /// The size of the part of the body that was received: zero from a server that
        /// didn't answer, more from one that stalled in the middle.
        received: ByteSize,
    },
    /// The answer is larger than the caller accepts; the call may have been carried out.
    #[error("the answer exceeds {limit}")]
    TooLarge {
        /// The maximum size of the body.
        limit: ByteSize,
    },
    /// The connection broke during the call, which may have been carried out.
    #[error("the connection broke: {0}")]
    Broken(String),
}

/// Sends `request` and reads its complete answer, with a body of at most `max_body`. `timeout`
/// bounds the wait for the head and for each chunk of the body.
pub async fn fetch(
    request: RequestBuilder,
    timeout: TimeSpan,
    max_body: ByteSize,
) -> Result<CompleteAnswer, TransferError> {
    let mut body = BytesMut::new();
    let read = read_chunks(request, timeout, max_body, &mut body);
    let limit = timeout + LONGEST_TRANSFER;
    let read = tokio::time::timeout(limit.as_duration(), read).await;
    let (status, headers) = read.map_err(|_| timed_out(limit, &body))??;
    Ok(CompleteAnswer {
        status,
        headers,
        body: body.freeze(),
    })
}

async fn read_chunks(
    request: RequestBuilder,
    timeout: TimeSpan,
    max_body: ByteSize,
    body: &mut BytesMut,
) -> Result<(StatusCode, HeaderMap), TransferError> {
    let wait = timeout.as_duration();
    let sent = tokio::time::timeout(wait, request.send()).await;
    let sent = sent.map_err(|_| timed_out(timeout, body))?;
    let mut answer = sent.map_err(|error| transfer_error(&error))?;
    loop {
        let chunk = tokio::time::timeout(wait, answer.chunk()).await;
        let chunk = chunk.map_err(|_| timed_out(timeout, body))?;
        match chunk.map_err(|error| transfer_error(&error))? {
            Some(chunk) if (body.len() + chunk.len()) as u64 > max_body.count() => {
                return Err(TransferError::TooLarge { limit: max_body });
            }
            Some(chunk) => body.extend_from_slice(&chunk),
            None => return Ok((answer.status(), answer.headers().clone())),
        }
    }
}

fn timed_out(limit: TimeSpan, body: &BytesMut) -> TransferError {
    let received = ByteSize::new(body.len() as u64);
    TransferError::TimedOut { limit, received }
}

fn transfer_error(error: &reqwest::Error) -> TransferError {
    match error.is_connect() {
        true => TransferError::NotSent(error.to_string()),
        false => TransferError::Broken(error.to_string()),
    }
}
