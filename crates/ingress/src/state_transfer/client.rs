//! Fetches a copy of the state from another instance.

use std::{io, net::SocketAddr, time::Duration};

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::LogOffset,
    units::ByteSize,
};
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

use crate::{
    compression::decompress,
    context::EntryContext,
    state_transfer::{
        messages::{StateReply, StateRequest},
        server::{MAX_REPLY_BYTES, MAX_WAIT, frames},
    },
};

/// The time within which an instance must accept the connection. Instances of a failure
/// domain are less than a millisecond apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The time until the answer begins, beyond what the other instance may wait for the state. A
/// suspended instance accepts connections and never answers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// The time for the transfer beyond what the other instance may wait for the state: some
/// hundred kB over a link that carries several copies at once.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The size limit of a decompressed copy.
const MAX_UNPACKED: ByteSize = ByteSize::new(32_000_000);

/// A copy of one part of the state.
#[derive(Clone, Debug)]
pub struct StateCopy {
    /// When the state was known to be current, on the local clock.
    pub known_at: ClockTime,
    /// The version of the configuration.
    pub version: u64,
    /// The offset in the configuration topic that follows the version.
    pub next: LogOffset,
    /// The digest of the endpoints.
    pub digest: u64,
    /// The content, compressed as it arrived.
    pub packed: Bytes,
    /// The content.
    pub content: Vec<u8>,
}

/// Why no copy was received.
#[derive(Debug, thiserror::Error)]
pub enum CopyError {
    /// No other instance of the failure domain is known.
    #[error("no other instance of the failure domain is known")]
    NoPeer,
    /// The connection failed, or the copy can't be decompressed.
    #[error("the transfer failed: {0}")]
    Io(#[from] io::Error),
    /// The answer can't be decoded.
    #[error("the answer can't be decoded: {0}")]
    Decode(#[from] prost::DecodeError),
    /// The other instance does not have the state, or not a current one.
    #[error("the state is not available there")]
    Unavailable,
    /// No answer arrived in time.
    #[error("no answer within the time limit")]
    TimedOut,
}

/// Fetches the copy that `request` describes from another instance of the failure domain.
pub async fn fetch(context: &EntryContext, request: StateRequest) -> Result<StateCopy, CopyError> {
    let candidates = {
        let peers = context.peers.lock();
        let (local, domain) = (&context.writer.instance, &context.settings.domain);
        peers.copy_sources(context.now(), local, domain)
    };
    let mut result = Err(CopyError::NoPeer);
    for address in candidates {
        let transfer = fetch_from(context, address, request);
        let transfer = tokio::time::timeout(MAX_WAIT + TRANSFER_TIMEOUT, transfer).await;
        result = transfer.unwrap_or(Err(CopyError::TimedOut));
        if result.is_ok() {
            break;
        }
    }
    let outcome = if result.is_ok() { "copied" } else { "failed" };
    let counters = &context.metrics.state_copies;
    let kind = request.kind().as_str();
    counters.with_label_values(&[kind, outcome]).inc();
    result
}

async fn fetch_from(
    context: &EntryContext,
    address: SocketAddr,
    request: StateRequest,
) -> Result<StateCopy, CopyError> {
    let sent = context.now();
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| CopyError::TimedOut)??;
    let mut framed = Framed::new(stream, frames(MAX_REPLY_BYTES));
    let encoded = Bytes::from(request.encode_to_vec());
    framed.send(encoded).await?;
    let answered = framed.get_ref().readable();
    let answered = tokio::time::timeout(MAX_WAIT + ANSWER_TIMEOUT, answered).await;
    answered.map_err(|_| CopyError::TimedOut)??;
    let reply = framed.next().await.ok_or(CopyError::Unavailable)??;
    let reply = StateReply::decode(reply)?;
    if !reply.is_available || reply.version < request.min_version {
        return Err(CopyError::Unavailable);
    }
    Ok(StateCopy {
        known_at: sent - TimeSpan::from_millis(reply.age_ms),
        version: reply.version,
        next: LogOffset::new(reply.next),
        digest: reply.digest,
        content: decompress(&reply.packed, MAX_UNPACKED)?,
        packed: reply.packed,
    })
}
