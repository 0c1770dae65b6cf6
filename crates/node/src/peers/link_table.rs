//! The connections that stand, by peer.

use std::collections::BTreeMap;

use bluebell_core::{
    clock::ClockTime,
    ids::{InstanceId, LogOffset},
};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::peers::wire::PeerBody;

/// What one connection is known by.
#[derive(Clone, Debug)]
pub struct PeerLink {
    /// Tells this connection from earlier ones to the same peer.
    pub number: u64,
    /// Whether this process opened it.
    pub dialled: bool,
    /// Where frames for the peer go.
    pub frames: mpsc::Sender<PeerBody>,
    /// Ends the connection.
    pub token: CancellationToken,
    /// How far the peer has applied the log, by its last heartbeat.
    pub next_offset: Option<LogOffset>,
    /// Whether the peer has caught up since its start.
    pub caught_up: bool,
    /// When a wish for entries was last sent over it.
    pub pulled_at: Option<ClockTime>,
}

/// All connections that stand.
#[derive(Clone, Debug, Default)]
pub struct LinkTable {
    links: BTreeMap<InstanceId, PeerLink>,
    opened: u64,
}

impl LinkTable {
    /// No connection yet.
    pub fn new() -> LinkTable {
        LinkTable::default()
    }

    /// Puts a new connection in the place of an older one to the same peer, and
    /// ends that: the path that it took may have gone silent for good.
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

    /// Removes a connection that has ended, unless a newer one took its place;
    /// answers whether it was the peer's only one.
    pub fn close(&mut self, peer: &InstanceId, number: u64) -> bool {
        let is_current = self.links.get(peer).is_some_and(|l| l.number == number);
        if is_current {
            self.links.remove(peer);
        }
        is_current
    }

    /// The connection to `peer`.
    pub fn link(&self, peer: &InstanceId) -> Option<&PeerLink> {
        self.links.get(peer)
    }

    /// The connection to `peer`, to note something.
    pub fn link_mut(&mut self, peer: &InstanceId) -> Option<&mut PeerLink> {
        self.links.get_mut(peer)
    }

    /// All connections.
    pub fn links(&self) -> impl Iterator<Item = (&InstanceId, &PeerLink)> {
        self.links.iter()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Sends a frame to `peer`; one that is stuck loses its connection instead.
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

    /// Sends a frame to all peers but `except`.
    pub fn broadcast(&self, body: &PeerBody, except: Option<&InstanceId>) {
        for peer in self.links.keys().filter(|peer| Some(*peer) != except) {
            self.send(peer, body.clone());
        }
    }
}
