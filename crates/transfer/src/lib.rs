//! HTTP calls that are bounded by the progress of their answers.
//!
//! How long a whole answer takes depends on its size and on the link. A limit on the
//! whole gives up large answers that are still coming, and the next try begins anew;
//! with many instances that keeps links and servers busy while nobody gets anything.
//! So the wait for the head is bounded, then the wait for each piece of the body.

use bluebell_core::{clock::TimeSpan, units::ByteSize};
use bytes::{Bytes, BytesMut};
use reqwest::{RequestBuilder, StatusCode, header::HeaderMap};

/// The longest time that a body may take to come, as long as it keeps coming.
const LONGEST_TRANSFER: TimeSpan = TimeSpan::from_secs(15);

/// A whole answer.
#[derive(Clone, Debug)]
pub struct CompleteAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Why a call brought no whole answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TransferError {
    /// No connection came about: the call has not been carried out.
    #[error("no connection: {0}")]
    NotSent(String),
    /// The answer, or more of it, has not come in time; the call may be carried out
    /// all the same.
    #[error("no answer within {limit}, {received} received")]
    TimedOut {
        /// The time allowed for the head of the answer and for each piece of its
        /// body, or for a whole answer.
        limit: TimeSpan,
        /// What had come of the body: nothing from a silent server, something from
        /// one that stopped in the middle.
        received: ByteSize,
    },
    /// The connection broke; the call may have been carried out.
    #[error("the connection broke: {0}")]
    Broken(String),
}

/// Sends `request` and reads its whole answer. `patience` bounds the wait for the head
/// and for each piece of the body.
pub async fn fetch(
    request: RequestBuilder,
    patience: TimeSpan,
) -> Result<CompleteAnswer, TransferError> {
    let mut body = BytesMut::new();
    let read = read_pieces(request, patience, &mut body);
    let limit = patience + LONGEST_TRANSFER;
    let read = tokio::time::timeout(limit.as_duration(), read).await;
    let (status, headers) = read.map_err(|_| timed_out(limit, &body))??;
    Ok(CompleteAnswer {
        status,
        headers,
        body: body.freeze(),
    })
}

async fn read_pieces(
    request: RequestBuilder,
    patience: TimeSpan,
    body: &mut BytesMut,
) -> Result<(StatusCode, HeaderMap), TransferError> {
    let wait = patience.as_duration();
    let sent = tokio::time::timeout(wait, request.send()).await;
    let sent = sent.map_err(|_| timed_out(patience, body))?;
    let mut answer = sent.map_err(|error| transfer_error(&error))?;
    loop {
        let piece = tokio::time::timeout(wait, answer.chunk()).await;
        let piece = piece.map_err(|_| timed_out(patience, body))?;
        match piece.map_err(|error| transfer_error(&error))? {
            Some(piece) => body.extend_from_slice(&piece),
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
