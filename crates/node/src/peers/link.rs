//! One connection to a peer, from its first frame to its end.
//!
//! A connection can go silent for good while new ones would work: something
//! between the two ends has lost track of it, and TCP alone notices after
//! minutes. Whoever hears nothing for [`HEARTBEAT_TIMEOUT`] drops it, and the
//! plan opens a new one. Sending is bounded in the same way, since the buffers
//! of a connection that nobody reads fill up.

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

/// How many frames may wait to be sent.
const FRAME_BACKLOG: usize = 256;

/// Bytes of a frame's length.
const LENGTH_BYTES: u64 = 4;

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The network reports an error.
    #[error("the connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The other side closed it.
    #[error("the peer closed the connection")]
    Closed,
    /// Nothing came, or nothing could be sent, for too long.
    #[error("the connection went silent")]
    TimedOut,
    /// A frame can't be read.
    #[error("the peer sent a frame that can't be read: {0}")]
    Frame(String),
    /// This process is stopping, or a newer connection took this one's place.
    #[error("the connection is no longer wanted")]
    Cancelled,
}

/// One connection to a peer.
pub(crate) struct PeerConnection {
    pub(crate) node: NodeHandle,
    pub(crate) peer: InstanceId,
    framed: Framed<TcpStream, LengthDelimitedCodec>,
    /// The last stamp that the peer sent, to echo.
    pub(crate) echo: Option<u64>,
    /// How many bytes of news the peer takes in a second.
    pub(crate) peer_budget: usize,
    /// How many bytes of news may be sent with the next heartbeat.
    pub(crate) credit: usize,
    /// From which offset on the peer wants entries.
    pub(crate) pull: Option<LogOffset>,
    /// Parts of the state that was asked for.
    pub(crate) snapshot: bluebell_core::checkpoint::CheckpointReader,
    last_seen: ClockTime,
}

/// Serves a connection until it ends.
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
            _ => Err(LinkError::Frame("the first is no greeting".to_string())),
        }
    };
    let peer = tokio::time::timeout(timeout, exchange)
        .await
        .map_err(|_| LinkError::TimedOut)??;
    if peer == node.settings().instance {
        return Err(LinkError::Frame(format!("`{peer}` is our own name")));
    }
    Ok(peer)
}

fn decode(frame: &[u8]) -> Result<PeerBody, LinkError> {
    let frame = PeerFrame::decode(frame).map_err(|error| LinkError::Frame(error.to_string()))?;
    frame
        .body
        .ok_or_else(|| LinkError::Frame("a frame of an unknown kind".to_string()))
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

    /// Sends a frame, for at most as long as a heartbeat may take.
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
