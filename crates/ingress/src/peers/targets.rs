//! Which instances a word goes to.

use std::{collections::BTreeSet, net::SocketAddr};

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{FailureDomain, InstanceId},
};

use crate::peers::table::{KnownPeer, PeerTable};

/// How often a silent instance is told something all the same: it may be back.
const SILENT_BEAT: TimeSpan = TimeSpan::from_millis(2_000);

/// Somebody who is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BroadcastTarget {
    /// Where it listens for datagrams.
    pub address: SocketAddr,
    /// The last stamp that it sent.
    pub stamp: u64,
    /// Whether it is in the same failure domain.
    pub is_same_domain: bool,
    /// Whether it reads the store for this instance.
    pub is_reader: bool,
}

/// Chooses who is told. Instances that know of each other and have not been heard yet
/// are silent too, so a beat that is missed keeps them apart.
#[derive(Debug)]
pub struct TargetSelector {
    instance: InstanceId,
    domain: FailureDomain,
    silent_beat: SilentBeat,
    far_beat: SilentBeat,
}

/// When the silent ones were last told.
#[derive(Debug, Default)]
struct SilentBeat {
    told_at: ClockTime,
}

impl SilentBeat {
    fn is_due(&self, now: ClockTime) -> bool {
        now.since(self.told_at) >= SILENT_BEAT
    }

    /// Keeps those that were heard and, at the beat, the silent ones. A beat that
    /// reaches nobody isn't one: an instance that has just started speaks before it
    /// has read who else there is.
    fn choose<'a, Heard>(
        &mut self,
        now: ClockTime,
        peers: Vec<(&'a InstanceId, &'a KnownPeer)>,
        is_heard: Heard,
    ) -> Vec<(&'a InstanceId, &'a KnownPeer)>
    where
        Heard: Fn(&KnownPeer) -> bool,
    {
        let with_silent = self.is_due(now);
        if with_silent && peers.iter().any(|(_, peer)| !is_heard(peer)) {
            self.told_at = now;
        }
        let told = peers.into_iter();
        told.filter(|(_, peer)| with_silent || is_heard(peer))
            .collect()
    }
}

impl TargetSelector {
    /// The choice of `instance` in `domain`.
    pub fn new(instance: InstanceId, domain: FailureDomain) -> TargetSelector {
        TargetSelector {
            instance,
            domain,
            silent_beat: SilentBeat::default(),
            far_beat: SilentBeat::default(),
        }
    }

    /// Who is told everything: those that were heard lately, and at each beat the
    /// silent ones as well. With many instances only those of the own failure domain.
    pub fn broadcast_targets(&mut self, now: ClockTime, peers: &PeerTable) -> Vec<BroadcastTarget> {
        let is_full_mesh = peers.is_full_mesh();
        let known = peers.iter();
        let known = known.filter(|(_, peer)| is_full_mesh || peer.domain == self.domain);
        let beat = &mut self.silent_beat;
        let told = beat.choose(now, known.collect(), |peer| peer.is_alive(now));
        self.receivers(now, peers, told)
    }

    /// Who is told what the own failure domain has, where not every instance tells
    /// every other one: all of the other failure domains from which somebody is heard,
    /// and at each beat those of silent ones.
    pub fn cross_domain_targets(
        &mut self,
        now: ClockTime,
        peers: &PeerTable,
    ) -> Vec<BroadcastTarget> {
        if peers.is_full_mesh() {
            return Vec::new();
        }
        let heard: BTreeSet<&FailureDomain> =
            peers.alive(now).map(|(_, peer)| &peer.domain).collect();
        let known = peers.iter().filter(|(_, peer)| peer.domain != self.domain);
        let is_heard = |peer: &KnownPeer| heard.contains(&peer.domain);
        let told = self.far_beat.choose(now, known.collect(), is_heard);
        self.receivers(now, peers, told)
    }

    /// Those of the own failure domain that were heard lately. Silent ones are left to
    /// the beat of [`Self::everyone`].
    pub fn same_domain_targets(&self, now: ClockTime, peers: &PeerTable) -> Vec<BroadcastTarget> {
        let near = peers.alive_in(now, &self.domain);
        self.receivers(now, peers, near.collect())
    }

    fn receivers(
        &self,
        now: ClockTime,
        peers: &PeerTable,
        told: Vec<(&InstanceId, &KnownPeer)>,
    ) -> Vec<BroadcastTarget> {
        let told = told.into_iter();
        told.map(|(instance, peer)| self.receiver(now, peers, instance, peer))
            .collect()
    }

    fn receiver(
        &self,
        now: ClockTime,
        peers: &PeerTable,
        instance: &InstanceId,
        peer: &KnownPeer,
    ) -> BroadcastTarget {
        let is_same_domain = peer.domain == self.domain;
        let is_reader =
            is_same_domain && peers.is_peer_reader(now, &self.instance, &self.domain, instance);
        BroadcastTarget {
            address: peer.address,
            stamp: peer.stamp,
            is_same_domain,
            is_reader,
        }
    }
}
