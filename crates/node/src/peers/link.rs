//! One connection to a peer, from the handshake until it closes.
//!
//! A connection can stop carrying data while new ones would work, for example when
//! a device on the path drops its state; TCP alone detects this after minutes.
//! Either side closes a connection on which it receives nothing for
//! [`HEARTBEAT_TIMEOUT`], and a new one is opened as planned. Sending has the same
//! time-out, because the buffers of a connection fill up when the peer stops
//! reading.

use std::sync::atomic::Ordering;

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{InstanceId, LogOffset},
    membership::HEARTBEAT_TIMEOUT,
};
use bluebell_daemon::logs::LogLine;
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::{net::TcpStream, sync::mpsc};
use tokio_util::{
    codec::{Framed, LengthDelimitedCodec},
    sync::CancellationToken,
};

use crate::{
    handle::{NodeHandle, lock},
    peers::wire::{FRAME_LIMIT, HelloMessage, PeerBody, PeerFrame},
};

/// The time between two heartbeats.
pub const HEARTBEAT_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// Maximum number of frames queued for sending.
const FRAME_BACKLOG: usize = 256;

/// Size of the length prefix of a frame, in bytes.
const LENGTH_BYTES: u64 = 4;

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// Reading from or writing to the socket failed.
    #[error("the connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The peer closed the connection.
    #[error("the peer closed the connection")]
    Closed,
    /// Nothing was received, or a frame could not be sent, for [`HEARTBEAT_TIMEOUT`].
    #[error("the connection timed out: no frame was received or sent within {HEARTBEAT_TIMEOUT}")]
    TimedOut,
    /// A frame is invalid or not allowed in the current state.
    #[error("the peer sent an invalid frame: {0}")]
    Frame(String),
    /// This process is stopping, a newer connection has replaced this one, the plan
    /// no longer includes it, or its queue of frames was full.
    #[error("the connection was closed by this instance")]
    Cancelled,
}

/// One connection to a peer.
pub(crate) struct PeerConnection {
    pub(crate) node: NodeHandle,
    pub(crate) peer: InstanceId,
    framed: Framed<TcpStream, LengthDelimitedCodec>,
    /// The last stamp that the peer sent, to echo.
    pub(crate) echo: Option<u64>,
    /// How many bytes of gossip updates the peer accepts per second.
    pub(crate) peer_budget: usize,
    /// How many bytes of gossip updates may be sent with the next heartbeat.
    pub(crate) credit: usize,
    /// The offset from which the peer has requested entries; none if no request is
    /// open.
    pub(crate) pull: Option<LogOffset>,
    /// The parts received so far of a requested snapshot.
    pub(crate) snapshot: bluebell_core::checkpoint::CheckpointReader,
    last_seen: ClockTime,
}

/// Performs the handshake and serves the connection until it ends.
pub(crate) async fn run(
    node: NodeHandle,
    stream: TcpStream,
    dialled: bool,
    token: CancellationToken,
) {
    let _ = stream.set_nodelay(true);
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_LIMIT)
        .new_codec();
    let mut framed = Framed::new(stream, codec);
    let peer = match handshake(&node, &mut framed).await {
        Ok(peer) => peer,
        Err(error) => {
            LogLine::new("peer_greeting_failed")
                .with("error", error)
                .debug();
            return;
        }
    };
    let (sender, frames) = mpsc::channel(FRAME_BACKLOG);
    let number = lock(&node.state.links).open(&peer, dialled, sender, token.clone());
    node.members().reset_link(&peer);
    let mut connection = PeerConnection {
        last_seen: node.clock().now(),
        node: node.clone(),
        peer: peer.clone(),
        framed,
        echo: None,
        peer_budget: usize::MAX,
        credit: 0,
        pull: None,
        snapshot: bluebell_core::checkpoint::CheckpointReader::with_items(),
    };
    LogLine::new("peer_connected").with("peer", &peer).debug();
    let error = match connection.serve(frames, token).await {
        Ok(()) => LinkError::Cancelled,
        Err(error) => error,
    };
    LogLine::new("peer_disconnected")
        .with("peer", &peer)
        .with("reason", &error)
        .debug();
    let last = lock(&node.state.links).close(&peer, number);
    let planned = node.state.plan.borrow().neighbours.contains(&peer);
    if last && !planned {
        let now = node.clock().now();
        node.members().remove_link(now, &peer);
    }
}

async fn handshake(
    node: &NodeHandle,
    framed: &mut Framed<TcpStream, LengthDelimitedCodec>,
) -> Result<InstanceId, LinkError> {
    let hello = PeerFrame {
        body: Some(PeerBody::Hello(HelloMessage {
            instance: node.settings().instance.to_string(),
        })),
    };
    let timeout = HEARTBEAT_TIMEOUT.as_duration();
    let exchange = async {
        framed.send(Bytes::from(hello.encode_to_vec())).await?;
        let frame = framed.next().await.ok_or(LinkError::Closed)??;
        match decode(&frame)? {
            PeerBody::Hello(hello) => hello
                .instance
                .parse::<InstanceId>()
                .map_err(|error| LinkError::Frame(error.to_string())),
            _ => Err(LinkError::Frame(
                "the first frame is not a hello message".to_string(),
            )),
        }
    };
    let peer = tokio::time::timeout(timeout, exchange)
        .await
        .map_err(|_| LinkError::TimedOut)??;
    if peer == node.settings().instance {
        return Err(LinkError::Frame(format!(
            "the peer's instance id `{peer}` is the id of this instance"
        )));
    }
    Ok(peer)
}

fn decode(frame: &[u8]) -> Result<PeerBody, LinkError> {
    let frame = PeerFrame::decode(frame).map_err(|error| LinkError::Frame(error.to_string()))?;
    frame
        .body
        .ok_or_else(|| LinkError::Frame("the frame has no body of a known kind".to_string()))
}

impl PeerConnection {
    async fn serve(
        &mut self,
        mut frames: mpsc::Receiver<PeerBody>,
        token: CancellationToken,
    ) -> Result<(), LinkError> {
        let mut heartbeat_timer = tokio::time::interval(HEARTBEAT_INTERVAL.as_duration());
        heartbeat_timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut progress = self.node.state.progress.subscribe();
        let mut heartbeat_requests = self.node.state.heartbeat_requests.subscribe();
        for record in self.node.urgent_records_for_new_peer() {
            self.send(PeerBody::UrgentRecord(record)).await?;
        }
        loop {
            tokio::select! {
                () = token.cancelled() => return Ok(()),
                frame = self.framed.next() => {
                    let frame = frame.ok_or(LinkError::Closed)??;
                    self.note_received(frame.len());
                    self.handle_frame(decode(&frame)?).await?;
                }
                body = frames.recv() => {
                    self.send(body.ok_or(LinkError::Cancelled)?).await?;
                }
                _ = heartbeat_timer.tick() => {
                    self.check_timeout()?;
                    self.send_heartbeat().await?;
                }
                _ = heartbeat_requests.changed() => self.send_heartbeat().await?,
                _ = progress.changed() => self.answer_pull().await?,
            }
        }
    }

    fn check_timeout(&self) -> Result<(), LinkError> {
        let idle_time = self.node.clock().now().since(self.last_seen);
        match idle_time > HEARTBEAT_TIMEOUT {
            true => Err(LinkError::TimedOut),
            false => Ok(()),
        }
    }

    fn note_received(&mut self, bytes: usize) {
        self.last_seen = self.node.clock().now();
        self.count(bytes);
    }

    fn count(&self, bytes: usize) {
        let counter = &self.node.state.peer_bytes;
        counter.fetch_add(bytes as u64 + LENGTH_BYTES, Ordering::Relaxed);
    }

    /// Sends a frame; fails if that takes longer than [`HEARTBEAT_TIMEOUT`].
    pub(crate) async fn send(&mut self, body: PeerBody) -> Result<(), LinkError> {
        let frame: Bytes = PeerFrame { body: Some(body) }.encode_to_vec().into();
        self.count(frame.len());
        let timeout = HEARTBEAT_TIMEOUT.as_duration();
        tokio::time::timeout(timeout, self.framed.send(frame))
            .await
            .map_err(|_| LinkError::TimedOut)??;
        Ok(())
    }
}
