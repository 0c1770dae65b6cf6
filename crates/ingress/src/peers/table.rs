//! Which other instances are known.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{FailureDomain, InstanceId},
    relay::{self, EchoedStamp},
};
use serde::Serialize;

use crate::peers::messages::{ChangeMessage, StageMessage};

/// How long an instance counts as alive after its last word.
pub const ALIVE_FOR: TimeSpan = TimeSpan::from_millis(3_000);

/// After how long without a word from any of its instances a failure domain is
/// taken to be cut off. Each instance with work speaks at least once in 0.8 s, and
/// an idle one once a second.
const SILENT_AFTER: TimeSpan = TimeSpan::from_millis(1_100);

/// After how long a silent failure domain is judged by its endpoints alone: it may
/// have no instances any more.
const FORGOTTEN_AFTER: TimeSpan = TimeSpan::from_millis(60_000);

/// How long after the registrations were read all instances are known: those that
/// start at the same moment register and speak within it.
const KNOWN_AFTER: TimeSpan = TimeSpan::from_millis(1_500);

/// Up to how many instances each tells every other one what it has. What all instances
/// send grows with the square of their number; beyond this only speakers are heard in
/// other failure domains.
const DIRECT_UP_TO: usize = 60;

/// How many instances of a failure domain speak for it elsewhere. One that fails is
/// missed by its own failure domain after some seconds only.
const SPEAKERS: usize = 3;

/// How long an order is told: datagrams get lost.
const ORDER_TOLD_FOR: TimeSpan = TimeSpan::from_millis(1_500);

/// How long a changed registration is told.
const CHANGE_TOLD_FOR: TimeSpan = TimeSpan::from_millis(1_200);

/// How long after a change was told it is told again, in case the datagram was lost.
const CHANGE_REPEAT: TimeSpan = TimeSpan::from_millis(400);

/// The most changes that are told in one datagram; the rest follows in further ones.
pub const MAX_CHANGES_PER_DATAGRAM: usize = 48;

/// Another instance.
#[derive(Clone, Debug, Serialize)]
pub struct KnownPeer {
    /// Where it listens for datagrams.
    pub address: SocketAddr,
    /// Tells its starts apart.
    pub start: u64,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// When it was last heard.
    #[serde(rename = "heard_at")]
    pub last_seen: Option<ClockTime>,
    /// Its own clock's time in its last word, to be sent back to it.
    pub stamp: u64,
}

impl KnownPeer {
    /// Whether it was heard lately.
    pub fn is_alive(&self, now: ClockTime) -> bool {
        self.last_seen
            .is_some_and(|heard| now.since(heard) <= ALIVE_FOR)
    }
}

/// A registration that this instance saw change.
#[derive(Clone, Debug)]
struct SeenChange {
    seen_at: ClockTime,
    told_at: Option<ClockTime>,
    change: ChangeMessage,
}

impl SeenChange {
    fn is_recent(&self, now: ClockTime) -> bool {
        now.since(self.seen_at) < CHANGE_TOLD_FOR
    }

    fn is_due(&self, now: ClockTime) -> bool {
        let was_told = self.told_at;
        let is_missing = was_told.is_none_or(|at| now.since(at) >= CHANGE_REPEAT);
        is_missing && self.is_recent(now)
    }
}

/// All other instances that have registered.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<InstanceId, KnownPeer>,
    /// Stages that this instance ordered, for the others to know.
    ordered: Vec<(ClockTime, StageMessage)>,
    /// Registrations that this instance saw change, for the others to know.
    changes: Vec<SeenChange>,
    /// When all registrations of instances were read.
    read_at: Option<ClockTime>,
}

impl PeerTable {
    /// Nobody.
    pub fn new() -> PeerTable {
        PeerTable::default()
    }

    /// An instance registered, or was heard for the first time.
    pub fn register(&mut self, instance: &InstanceId, peer: KnownPeer) {
        let known = self.peers.get(instance);
        if known.is_some_and(|known| known.start >= peer.start) {
            return;
        }
        self.peers.insert(instance.clone(), peer);
    }

    /// An instance was heard.
    pub fn note_message(&mut self, now: ClockTime, instance: &InstanceId, stamp: u64) {
        if let Some(peer) = self.peers.get_mut(instance) {
            peer.last_seen = Some(now);
            peer.stamp = stamp;
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

    /// This instance saw a registration change.
    pub fn note_change(&mut self, now: ClockTime, change: ChangeMessage) {
        self.changes
            .retain(|known| known.is_recent(now) && known.change.endpoint != change.endpoint);
        self.changes.push(SeenChange {
            seen_at: now,
            told_at: None,
            change,
        });
    }

    /// Whether a change is due to be told.
    pub fn has_due_changes(&self, now: ClockTime) -> bool {
        self.changes.iter().any(|known| known.is_due(now))
    }

    /// The changes for the next datagram, the newest first. They count as told.
    pub fn take_due_changes(&mut self, now: ClockTime) -> Vec<ChangeMessage> {
        let newest = self.changes.iter_mut().rev();
        let due = newest
            .filter(|known| known.is_due(now))
            .take(MAX_CHANGES_PER_DATAGRAM);
        due.map(|known| {
            known.told_at = Some(now);
            known.change.clone()
        })
        .collect()
    }

    /// All registrations of instances were read.
    pub fn note_read(&mut self, now: ClockTime) {
        self.read_at.get_or_insert(now);
    }

    /// Whether all instances are known that there were at this one's start.
    pub fn is_complete(&self, now: ClockTime) -> bool {
        self.read_at.is_some_and(|at| now.since(at) >= KNOWN_AFTER)
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

    /// Whether each instance tells every other one.
    pub fn is_full_mesh(&self) -> bool {
        self.peers.len() < DIRECT_UP_TO
    }

    /// Whether `own` is one of those who speak for `domain` elsewhere: the first by
    /// name of those there that are alive.
    pub fn is_representative(
        &self,
        now: ClockTime,
        own: &InstanceId,
        domain: &FailureDomain,
    ) -> bool {
        let alive = self.alive_in(now, domain);
        alive.filter(|(name, _)| *name < own).count() < SPEAKERS
    }

    /// Whether somebody in `domain` was heard lately.
    pub fn has_alive_peer_in(&self, now: ClockTime, domain: &FailureDomain) -> bool {
        self.alive_in(now, domain).next().is_some()
    }

    /// Whether `instance` is heard through the speakers of its failure domain only, as
    /// seen from `domain`.
    pub fn is_represented(
        &self,
        now: ClockTime,
        domain: &FailureDomain,
        instance: &InstanceId,
    ) -> bool {
        let peer = self.peers.get(instance);
        let is_far = peer.is_some_and(|peer| {
            peer.domain != *domain && self.has_alive_peer_in(now, &peer.domain)
        });
        is_far && !self.is_full_mesh()
    }

    /// Those that were heard lately.
    pub fn alive(&self, now: ClockTime) -> impl Iterator<Item = (&InstanceId, &KnownPeer)> {
        self.peers
            .iter()
            .filter(move |(_, peer)| peer.is_alive(now))
    }

    /// Those of `domain` that were heard lately.
    pub fn alive_in(
        &self,
        now: ClockTime,
        domain: &FailureDomain,
    ) -> impl Iterator<Item = (&InstanceId, &KnownPeer)> {
        self.alive(now)
            .filter(move |(_, peer)| peer.domain == *domain)
    }

    /// The failure domains from which nobody is heard any more, though somebody was
    /// heard lately: they are cut off from here, and so are their endpoints.
    pub fn unreachable_domains(&self, now: ClockTime) -> BTreeSet<FailureDomain> {
        let mut heard: BTreeMap<&FailureDomain, ClockTime> = BTreeMap::new();
        for peer in self.peers.values() {
            if let Some(at) = peer.last_seen {
                let newest = heard.entry(&peer.domain).or_insert(at);
                *newest = at.max(*newest);
            }
        }
        let is_silent = |at: ClockTime| {
            let silence = now.since(at);
            silence >= SILENT_AFTER && silence < FORGOTTEN_AFTER
        };
        let silent = heard.into_iter().filter(|(_, at)| is_silent(*at));
        silent.map(|(domain, _)| domain.clone()).collect()
    }

    /// Who reads the store for `domain`, as seen by `own` there.
    pub fn reader(&self, now: ClockTime, own: &InstanceId, domain: &FailureDomain) -> InstanceId {
        let alive = self.alive_in(now, domain);
        let names = alive.map(|(name, _)| name).chain([own]);
        names.min().unwrap_or(own).clone()
    }

    /// Whether `own` reads the store for its failure domain.
    pub fn is_reader(&self, now: ClockTime, own: &InstanceId, domain: &FailureDomain) -> bool {
        let alive = self.alive_in(now, domain);
        relay::is_reader(own, alive.map(|(instance, _)| instance))
    }

    /// Whether `instance` reads the store for `domain`, as seen by `own` there.
    pub fn is_peer_reader(
        &self,
        now: ClockTime,
        own: &InstanceId,
        domain: &FailureDomain,
        instance: &InstanceId,
    ) -> bool {
        let alive = self.alive_in(now, domain);
        let others = alive.map(|(name, _)| name).chain([own]);
        relay::is_reader(instance, others.filter(|name| *name != instance))
    }

    /// The stamp of ours that a peer names in its word; a peer that has not heard
    /// us yet names none.
    pub fn echoed_stamp(echo: u64) -> Option<EchoedStamp> {
        (echo > 0).then_some(EchoedStamp {
            sent: ClockTime::from_millis(echo),
        })
    }
}
