//! Which instances a word goes to.

use std::net::SocketAddr;

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{FailureDomain, InstanceId},
};

use crate::peers::table::{KnownPeer, PeerTable};

/// How often a silent instance is told something all the same: it may be back.
const SILENT_BEAT: TimeSpan = TimeSpan::from_millis(2_000);

/// Somebody who is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WordReceiver {
    /// Where it listens for datagrams.
    pub address: SocketAddr,
    /// The last stamp that it sent.
    pub stamp: u64,
    /// Whether it is in the same failure domain.
    pub is_near: bool,
    /// Whether it reads the store for this instance.
    pub is_reader: bool,
}

/// Chooses who is told. Instances that know of each other and have not been heard yet
/// are silent too, so a beat that is missed keeps them apart.
#[derive(Debug)]
pub struct ReceiverChoice {
    instance: InstanceId,
    domain: FailureDomain,
    told_silent_at: ClockTime,
}

impl ReceiverChoice {
    /// The choice of `instance` in `domain`.
    pub fn new(instance: InstanceId, domain: FailureDomain) -> ReceiverChoice {
        ReceiverChoice {
            instance,
            domain,
            told_silent_at: ClockTime::default(),
        }
    }

    /// Who is told everything: those that were heard lately, and at each beat the
    /// silent ones as well.
    pub fn everyone(&mut self, now: ClockTime, peers: &PeerTable) -> Vec<WordReceiver> {
        let with_silent = now.since(self.told_silent_at) >= SILENT_BEAT;
        // A beat that reaches nobody isn't one: an instance that has just started
        // speaks before it has read who else there is.
        if with_silent && peers.iter().any(|(_, peer)| !peer.is_alive(now)) {
            self.told_silent_at = now;
        }
        let told = peers
            .iter()
            .filter(|(_, peer)| with_silent || peer.is_alive(now));
        told.map(|(instance, peer)| self.receiver(now, peers, instance, peer))
            .collect()
    }

    /// Those of the own failure domain that were heard lately. Silent ones are left to
    /// the beat of [`Self::everyone`].
    pub fn near(&self, now: ClockTime, peers: &PeerTable) -> Vec<WordReceiver> {
        let told = peers
            .alive(now)
            .filter(|(_, peer)| peer.domain == self.domain);
        told.map(|(instance, peer)| self.receiver(now, peers, instance, peer))
            .collect()
    }

    fn receiver(
        &self,
        now: ClockTime,
        peers: &PeerTable,
        instance: &InstanceId,
        peer: &KnownPeer,
    ) -> WordReceiver {
        let is_near = peer.domain == self.domain;
        let is_reader = is_near && peers.has_reader(now, &self.instance, &self.domain, instance);
        WordReceiver {
            address: peer.address,
            stamp: peer.stamp,
            is_near,
            is_reader,
        }
    }
}
