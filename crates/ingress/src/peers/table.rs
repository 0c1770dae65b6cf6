//! Which other instances are known.

use std::{collections::BTreeMap, net::SocketAddr};

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::InstanceId,
};
use serde::Serialize;

use crate::peers::messages::StageMessage;

/// How long an instance counts as alive after its last word.
pub const ALIVE_FOR: TimeSpan = TimeSpan::from_millis(3_000);

/// How long an order is told: datagrams get lost.
const ORDER_TOLD_FOR: TimeSpan = TimeSpan::from_millis(1_500);

/// Another instance.
#[derive(Clone, Debug, Serialize)]
pub struct KnownPeer {
    /// Where it listens for datagrams.
    pub address: SocketAddr,
    /// Tells its starts apart.
    pub start: u64,
    /// When it was last heard.
    pub heard_at: Option<ClockTime>,
}

/// All other instances that have registered.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<InstanceId, KnownPeer>,
    /// Stages that this instance ordered, for the others to know.
    ordered: Vec<(ClockTime, StageMessage)>,
}

impl PeerTable {
    /// Nobody.
    pub fn new() -> PeerTable {
        PeerTable::default()
    }

    /// An instance registered.
    pub fn register(&mut self, instance: InstanceId, address: SocketAddr, start: u64) {
        let known = self.peers.get(&instance);
        if known.is_some_and(|known| known.start >= start) {
            return;
        }
        let peer = KnownPeer {
            address,
            start,
            heard_at: None,
        };
        self.peers.insert(instance, peer);
    }

    /// An instance was heard.
    pub fn heard(&mut self, now: ClockTime, instance: &InstanceId) {
        if let Some(peer) = self.peers.get_mut(instance) {
            peer.heard_at = Some(now);
        }
    }

    /// This instance ordered a stage.
    pub fn note_stage_order(&mut self, now: ClockTime, order: StageMessage) {
        self.ordered.push((now, order));
    }

    /// The stages that this instance ordered lately.
    pub fn stage_orders(&mut self, now: ClockTime) -> Vec<StageMessage> {
        self.ordered
            .retain(|(at, _)| now.since(*at) < ORDER_TOLD_FOR);
        self.ordered.iter().map(|(_, order)| *order).collect()
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &KnownPeer)> {
        self.peers.iter()
    }

    /// How many instances have registered, this one not counted.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether nobody has registered.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Those that were heard lately.
    pub fn alive(&self, now: ClockTime) -> impl Iterator<Item = (&InstanceId, &KnownPeer)> {
        let is_alive = move |peer: &KnownPeer| {
            peer.heard_at
                .is_some_and(|heard| now.since(heard) <= ALIVE_FOR)
        };
        self.peers.iter().filter(move |(_, peer)| is_alive(peer))
    }
}
