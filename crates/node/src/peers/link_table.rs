//! The open connections, by peer.

use std::collections::BTreeMap;

use bluebell_core::{
    clock::ClockTime,
    ids::{InstanceId, LogOffset},
};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::peers::wire::PeerBody;

/// State of one open connection.
#[derive(Clone, Debug)]
pub struct PeerLink {
    /// Distinguishes this connection from earlier ones to the same peer.
    pub number: u64,
    /// Whether this process opened it.
    pub dialled: bool,
    /// Queue of frames to send to the peer.
    pub frames: mpsc::Sender<PeerBody>,
    /// Closes the connection when cancelled.
    pub token: CancellationToken,
    /// The offset of the next entry that the peer will apply, from its last
    /// heartbeat.
    pub next_offset: Option<LogOffset>,
    /// Whether the peer has caught up since it started, from its last heartbeat.
    pub caught_up: bool,
    /// When a request for entries was last sent; none if it has been answered.
    pub pulled_at: Option<ClockTime>,
}

/// All open connections.
#[derive(Clone, Debug, Default)]
pub struct LinkTable {
    links: BTreeMap<InstanceId, PeerLink>,
    opened: u64,
}

impl LinkTable {
    /// Creates an empty table.
    pub fn new() -> LinkTable {
        LinkTable::default()
    }

    /// Adds a connection and returns its number. An older connection to the same
    /// peer is replaced and closed, because its network path may be dead.
    pub fn open(
        &mut self,
        peer: &InstanceId,
        dialled: bool,
        frames: mpsc::Sender<PeerBody>,
        token: CancellationToken,
    ) -> u64 {
        self.opened += 1;
        let link = PeerLink {
            number: self.opened,
            dialled,
            frames,
            token,
            next_offset: None,
            caught_up: false,
            pulled_at: None,
        };
        if let Some(older) = self.links.insert(peer.clone(), link) {
            older.token.cancel();
        }
        self.opened
    }

    /// Removes a closed connection unless a newer one has replaced it; returns
    /// whether it was removed.
    pub fn close(&mut self, peer: &InstanceId, number: u64) -> bool {
        let is_current = self.links.get(peer).is_some_and(|l| l.number == number);
        if is_current {
            self.links.remove(peer);
        }
        is_current
    }

    /// Returns the open connection to `peer`.
    pub fn link(&self, peer: &InstanceId) -> Option<&PeerLink> {
        self.links.get(peer)
    }

    /// Returns the open connection to `peer` for updates.
    pub fn link_mut(&mut self, peer: &InstanceId) -> Option<&mut PeerLink> {
        self.links.get_mut(peer)
    }

    /// All open connections, ordered by peer.
    pub fn links(&self) -> impl Iterator<Item = (&InstanceId, &PeerLink)> {
        self.links.iter()
    }

    /// The number of open connections.
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Queues a frame for `peer`; returns whether it was queued. If the peer's queue
    /// is full, the connection is closed instead.
    pub fn send(&self, peer: &InstanceId, body: PeerBody) -> bool {
        let Some(link) = self.links.get(peer) else {
            return false;
        };
        if link.frames.try_send(body).is_err() {
            link.token.cancel();
            return false;
        }
        true
    }

    /// Queues a frame for all connected peers but `except`.
    pub fn broadcast(&self, body: &PeerBody, except: Option<&InstanceId>) {
        for peer in self.links.keys().filter(|peer| Some(*peer) != except) {
            self.send(peer, body.clone());
        }
    }
}
