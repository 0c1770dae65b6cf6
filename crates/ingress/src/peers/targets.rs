//! Selecting the instances that a message is sent to.

use std::{collections::BTreeSet, net::SocketAddr};

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{FailureDomain, InstanceId},
    relay::ProcessStamp,
};

use crate::peers::table::{KnownPeer, PeerTable};

/// How often an unresponsive instance is sent a message nevertheless: it may be back.
const PROBE_INTERVAL: TimeSpan = TimeSpan::from_millis(2_000);

/// An instance that a message is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BroadcastTarget {
    /// The socket address at which it receives datagrams.
    pub address: SocketAddr,
    /// The last stamp received from it, to be echoed.
    pub stamp: ProcessStamp,
    /// Whether it is in the failure domain of the sender.
    pub is_same_domain: bool,
    /// Whether it is the reader of the sender's failure domain.
    pub is_reader: bool,
}

/// Selects the targets of messages. Registered instances from which no message has arrived
/// yet count as unresponsive too: two such instances exchange nothing until a probe.
#[derive(Debug)]
pub struct TargetSelector {
    instance: InstanceId,
    domain: FailureDomain,
    probes: ProbeSchedule,
    cross_domain_probes: ProbeSchedule,
}

/// When unresponsive instances were last probed.
#[derive(Debug, Default)]
struct ProbeSchedule {
    probed_at: ClockTime,
}

impl ProbeSchedule {
    fn is_due(&self, now: ClockTime) -> bool {
        now.since(self.probed_at) >= PROBE_INTERVAL
    }

    /// Selects the peers that are alive and, if a probe is due, the unresponsive ones. A
    /// probe without any target does not count: an instance that has just started sends
    /// messages before it has read the registrations of the others.
    fn select<'a, Reachable>(
        &mut self,
        now: ClockTime,
        peers: Vec<(&'a InstanceId, &'a KnownPeer)>,
        is_reachable: Reachable,
    ) -> Vec<(&'a InstanceId, &'a KnownPeer)>
    where
        Reachable: Fn(&KnownPeer) -> bool,
    {
        let is_probe = self.is_due(now);
        if is_probe && peers.iter().any(|(_, peer)| !is_reachable(peer)) {
            self.probed_at = now;
        }
        let selected = peers.into_iter();
        selected
            .filter(|(_, peer)| is_probe || is_reachable(peer))
            .collect()
    }
}

impl TargetSelector {
    /// A selector for messages that `instance` in `domain` sends.
    pub fn new(instance: InstanceId, domain: FailureDomain) -> TargetSelector {
        TargetSelector {
            instance,
            domain,
            probes: ProbeSchedule::default(),
            cross_domain_probes: ProbeSchedule::default(),
        }
    }

    /// The targets of a full message: the peers that are alive, and the unresponsive ones
    /// if a probe is due. With many instances, only peers of the same failure domain.
    pub fn broadcast_targets(&mut self, now: ClockTime, peers: &PeerTable) -> Vec<BroadcastTarget> {
        let is_full_mesh = peers.is_full_mesh();
        let known = peers.iter();
        let known = known.filter(|(_, peer)| is_full_mesh || peer.domain == self.domain);
        let probes = &mut self.probes;
        let selected = probes.select(now, known.collect(), |peer| peer.is_alive(now));
        self.targets(now, peers, selected)
    }

    /// The targets in other failure domains of the state of this one, if not all instances
    /// send to each other: all peers of failure domains with a peer that is alive, and those
    /// of unreachable failure domains if a probe is due.
    pub fn cross_domain_targets(
        &mut self,
        now: ClockTime,
        peers: &PeerTable,
    ) -> Vec<BroadcastTarget> {
        if peers.is_full_mesh() {
            return Vec::new();
        }
        let reachable: BTreeSet<&FailureDomain> =
            peers.alive(now).map(|(_, peer)| &peer.domain).collect();
        let known = peers.iter().filter(|(_, peer)| peer.domain != self.domain);
        let is_reachable = |peer: &KnownPeer| reachable.contains(&peer.domain);
        let selected = self
            .cross_domain_probes
            .select(now, known.collect(), is_reachable);
        self.targets(now, peers, selected)
    }

    /// The peers of the same failure domain that are alive. Unresponsive ones are probed by
    /// [`Self::broadcast_targets`] only.
    pub fn same_domain_targets(&self, now: ClockTime, peers: &PeerTable) -> Vec<BroadcastTarget> {
        let same_domain = peers.alive_in(now, &self.domain);
        self.targets(now, peers, same_domain.collect())
    }

    fn targets(
        &self,
        now: ClockTime,
        peers: &PeerTable,
        selected: Vec<(&InstanceId, &KnownPeer)>,
    ) -> Vec<BroadcastTarget> {
        let reader = peers.reader(now, &self.instance, &self.domain);
        let targets = selected.into_iter().map(|(instance, peer)| {
            let is_same_domain = peer.domain == self.domain;
            BroadcastTarget {
                address: peer.address,
                stamp: peer.stamp,
                is_same_domain,
                is_reader: is_same_domain && *instance <= reader,
            }
        });
        targets.collect()
    }
}
