//! The other instances, and the changes that are to be sent to them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{FailureDomain, InstanceId, ServiceName},
    relay::{self, ChangeQueue, ProcessStamp, RELAY_TIMEOUT},
};
use rand::seq::IndexedRandom;
use serde::Serialize;

use crate::{
    peers::{
        messages::{PeerRecord, StageMessage},
        relay_messages::ChangeMessage,
    },
    state_transfer::{ListedPeer, PeerList},
};

/// How long an instance counts as alive after its last message.
pub const ALIVE_TIMEOUT: TimeSpan = TimeSpan::from_millis(3_000);

/// The time without a message from any of its instances after which a failure domain counts
/// as unreachable. Each instance with work sends at least once in 0.8 s, and an idle one
/// once a second.
const UNREACHABLE_AFTER: TimeSpan = TimeSpan::from_millis(1_100);

/// The time without a message after which a failure domain no longer counts as unreachable,
/// since it may have no instances any more. Its endpoints are then judged by their own
/// answers alone.
const UNREACHABLE_UNTIL: TimeSpan = TimeSpan::from_millis(60_000);

/// The time after the read of the registrations within which instances that start at the
/// same moment register and send their first message.
const DISCOVERY_PERIOD: TimeSpan = TimeSpan::from_millis(1_500);

/// The number of peers from which on only the representatives of a failure domain send to
/// other failure domains. With fewer, all instances send to each other, and the number of
/// messages grows with the square of the number of instances.
const MIN_PEERS_FOR_REPRESENTATIVES: usize = 60;

/// The number of instances of a failure domain that represent it in the other ones. There
/// are several because the failure of one is detected in its own failure domain after some
/// seconds only.
const REPRESENTATIVES_PER_DOMAIN: usize = 3;

/// How long it is assumed that an instance does not reach the endpoints of a service. It
/// repeats that at least once a second to the instances that it sends to.
const UNREACHABLE_TIMEOUT: TimeSpan = TimeSpan::from_millis(2_000);

/// The number of instances at random from which the state is copied if the first source
/// can't be reached.
const SPARE_COPY_SOURCES: usize = 2;

/// How long an order is repeated, since datagrams can be lost.
const ORDER_SEND_PERIOD: TimeSpan = TimeSpan::from_millis(1_500);

/// The maximum number of changes in one datagram; the rest follows in further ones.
pub const MAX_CHANGES_PER_DATAGRAM: usize = 48;

/// The maximum number of changes that are sent at once, counted for each recipient: some 2 MB,
/// which a narrow link of the sender transfers in less than a second. Datagrams beyond what the
/// link takes are lost.
const MAX_SENT_CHANGES: usize = 24_000;

/// Another entry instance.
#[derive(Clone, Debug, Serialize)]
pub struct KnownPeer {
    /// The socket address at which it receives datagrams.
    pub address: SocketAddr,
    /// The time of its start in ms, which distinguishes its restarts.
    pub start: u64,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// When its last message arrived; `None` before the first.
    #[serde(rename = "heard_at")]
    pub last_seen: Option<ClockTime>,
    /// The stamp of its last message, to be echoed to it.
    pub stamp: ProcessStamp,
}

impl KnownPeer {
    /// Whether its last message arrived at most [`ALIVE_TIMEOUT`] ago.
    pub fn is_alive(&self, now: ClockTime) -> bool {
        self.last_seen
            .is_some_and(|last_seen| now.since(last_seen) <= ALIVE_TIMEOUT)
    }
}

/// All other instances that have registered.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<InstanceId, KnownPeer>,
    /// The services whose endpoints an instance does not reach, and when that was known.
    unreachable_services: BTreeMap<InstanceId, (ClockTime, BTreeSet<ServiceName>)>,
    /// When each instance last relayed current state of the store.
    relayed_at: BTreeMap<InstanceId, ClockTime>,
    /// Stage changes that this instance ordered, to be sent to the others.
    stage_orders: Vec<(ClockTime, StageMessage)>,
    /// Changed registrations that this instance observed, to be sent to the others, by
    /// endpoint.
    changes: ChangeQueue<String, ChangeMessage>,
    /// When the registrations of all instances were first read.
    read_at: Option<ClockTime>,
    /// Whether instances of the own failure domain are known.
    is_bootstrapped: bool,
}

impl PeerTable {
    /// An empty table.
    pub fn new() -> PeerTable {
        PeerTable::default()
    }

    /// Adds an instance, or replaces it if `peer` is a later start of it.
    pub fn register(&mut self, instance: &InstanceId, peer: KnownPeer) {
        let known = self.peers.get(instance);
        if known.is_some_and(|known| known.start >= peer.start) {
            return;
        }
        self.peers.insert(instance.clone(), peer);
    }

    /// Records a message of a registered instance that carried `stamp`.
    pub fn note_message(&mut self, now: ClockTime, instance: &InstanceId, stamp: ProcessStamp) {
        if let Some(peer) = self.peers.get_mut(instance) {
            peer.last_seen = Some(now);
            peer.stamp = stamp;
        }
    }

    /// Records the services whose endpoints `instance` does not reach.
    pub fn note_unreachable(
        &mut self,
        now: ClockTime,
        instance: &InstanceId,
        services: BTreeSet<ServiceName>,
    ) {
        let known = &mut self.unreachable_services;
        match services.is_empty() {
            true => known.remove(instance),
            false => known.insert(instance.clone(), (now, services)),
        };
    }

    /// Whether it is known that `instance` does not reach the endpoints of `service`.
    fn is_unreachable_from(
        &self,
        now: ClockTime,
        instance: &InstanceId,
        service: &ServiceName,
    ) -> bool {
        let known = self.unreachable_services.get(instance);
        known.is_some_and(|(at, services)| {
            now.since(*at) < UNREACHABLE_TIMEOUT && services.contains(service)
        })
    }

    /// Whether a peer is alive that reaches the endpoints of all services.
    pub fn has_alive_peer_with_endpoints(&self, now: ClockTime) -> bool {
        self.alive(now)
            .any(|(name, _)| !self.unreachable_services.contains_key(name))
    }

    /// The addresses of up to `count` instances at random that serve requests beside one in
    /// `domain` and are not known to miss the endpoints of `service`.
    pub fn proxies(
        &self,
        now: ClockTime,
        domain: &FailureDomain,
        service: &ServiceName,
        count: usize,
    ) -> Vec<(InstanceId, SocketAddr)> {
        let reaches = |name: &&InstanceId| !self.is_unreachable_from(now, name, service);
        let candidates: Vec<&InstanceId> = self.sharing(now, domain).filter(reaches).collect();
        let chosen = candidates.choose_multiple(&mut rand::rng(), count);
        let known = chosen.filter_map(|name| Some((*name, self.peers.get(*name)?)));
        known
            .map(|(name, peer)| (name.clone(), peer.address))
            .collect()
    }

    /// Records a stage change that this instance ordered.
    pub fn note_stage_order(&mut self, now: ClockTime, order: StageMessage) {
        self.stage_orders.push((now, order));
    }

    /// The stage changes that this instance ordered recently, which are to be sent.
    pub fn stage_orders(&mut self, now: ClockTime) -> Vec<StageMessage> {
        self.stage_orders
            .retain(|(at, _)| now.since(*at) < ORDER_SEND_PERIOD);
        self.stage_orders.iter().map(|(_, order)| *order).collect()
    }

    /// Records a changed registration, in place of earlier changes of the same endpoint.
    pub fn note_change(&mut self, now: ClockTime, change: ChangeMessage) {
        self.changes.note(now, change.endpoint.clone(), change);
    }

    /// Whether a change is due to be sent.
    pub fn has_due_changes(&self, now: ClockTime) -> bool {
        self.changes.has_due(now)
    }

    /// Leaves out all due changes if there are more than can be sent to all instances in
    /// `domain`, which then have to copy the registrations. Returns the number of changes that
    /// were left out.
    pub fn omit_excess_changes(&mut self, now: ClockTime, domain: &FailureDomain) -> usize {
        let receivers = self.alive_in(now, domain).count().max(1);
        let most = (MAX_SENT_CHANGES / receivers).max(MAX_CHANGES_PER_DATAGRAM);
        self.changes.omit_excess(now, most)
    }

    /// How many times changes were left out.
    pub fn omissions(&self) -> u64 {
        self.changes.omissions()
    }

    /// Returns the changes for the next datagram, newest first, and records them as sent.
    pub fn take_due_changes(&mut self, now: ClockTime) -> Vec<ChangeMessage> {
        let due = self.changes.take_due(now, MAX_CHANGES_PER_DATAGRAM);
        let changes = due.into_iter();
        changes.map(|(change, age)| change.with_age(age)).collect()
    }

    /// Records that the registrations of all instances were read.
    pub fn note_read(&mut self, now: ClockTime) {
        self.is_bootstrapped = true;
        self.read_at.get_or_insert(now);
    }

    /// Whether the registrations of all instances were read.
    pub fn is_read(&self) -> bool {
        self.read_at.is_some()
    }

    /// Whether the table contains all instances that ran when this one started.
    pub fn is_complete(&self, now: ClockTime) -> bool {
        self.read_at
            .is_some_and(|at| now.since(at) >= DISCOVERY_PERIOD)
    }

    /// A registered instance.
    pub fn get(&self, instance: &InstanceId) -> Option<&KnownPeer> {
        self.peers.get(instance)
    }

    /// All registered instances, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &KnownPeer)> {
        self.peers.iter()
    }

    /// The number of registered instances, without this one.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether no other instance is registered.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Whether all instances send to each other, without representatives.
    pub fn is_full_mesh(&self) -> bool {
        self.peers.len() < MIN_PEERS_FOR_REPRESENTATIVES
    }

    /// Whether `local` represents `domain` in the other failure domains: the representatives
    /// are the first by name of the instances there that are alive.
    pub fn is_representative(
        &self,
        now: ClockTime,
        local: &InstanceId,
        domain: &FailureDomain,
    ) -> bool {
        let alive = self.alive_in(now, domain);
        alive.filter(|(name, _)| *name < local).count() < REPRESENTATIVES_PER_DOMAIN
    }

    /// Whether any peer in `domain` is alive.
    pub fn has_alive_peer_in(&self, now: ClockTime, domain: &FailureDomain) -> bool {
        self.alive_in(now, domain).next().is_some()
    }

    /// Whether an instance in `domain` receives the state of `instance` only through the
    /// representatives of its failure domain.
    pub fn is_represented(
        &self,
        now: ClockTime,
        domain: &FailureDomain,
        instance: &InstanceId,
    ) -> bool {
        let peer = self.peers.get(instance);
        let is_remote = peer.is_some_and(|peer| {
            peer.domain != *domain && self.has_alive_peer_in(now, &peer.domain)
        });
        is_remote && !self.is_full_mesh()
    }

    /// The instances that serve requests beside one in `domain`: those that are alive, as far
    /// as they send messages to it, and those of reachable failure domains. Until the
    /// instances that run can all have sent a message, all that are registered.
    pub fn sharing<'a>(
        &'a self,
        now: ClockTime,
        domain: &'a FailureDomain,
    ) -> impl Iterator<Item = &'a InstanceId> {
        let is_complete = self.is_complete(now);
        let reachable: BTreeSet<&FailureDomain> =
            self.alive(now).map(|(_, peer)| &peer.domain).collect();
        let serves = move |peer: &KnownPeer| match self.is_full_mesh() || peer.domain == *domain {
            true => peer.is_alive(now),
            false => reachable.contains(&peer.domain),
        };
        let sharing = self
            .peers
            .iter()
            .filter(move |(_, peer)| !is_complete || serves(peer));
        sharing.map(|(instance, _)| instance)
    }

    /// The peers that are alive.
    pub fn alive(&self, now: ClockTime) -> impl Iterator<Item = (&InstanceId, &KnownPeer)> {
        self.peers
            .iter()
            .filter(move |(_, peer)| peer.is_alive(now))
    }

    /// The peers in `domain` that are alive.
    pub fn alive_in(
        &self,
        now: ClockTime,
        domain: &FailureDomain,
    ) -> impl Iterator<Item = (&InstanceId, &KnownPeer)> {
        self.alive(now)
            .filter(move |(_, peer)| peer.domain == *domain)
    }

    /// The failure domains from which no message has arrived for [`UNREACHABLE_AFTER`], but
    /// one has within [`UNREACHABLE_UNTIL`]. They are partitioned from here, and so are their
    /// endpoints.
    pub fn unreachable_domains(&self, now: ClockTime) -> BTreeSet<FailureDomain> {
        let mut last_seen: BTreeMap<&FailureDomain, ClockTime> = BTreeMap::new();
        for peer in self.peers.values() {
            if let Some(at) = peer.last_seen {
                let newest = last_seen.entry(&peer.domain).or_insert(at);
                *newest = at.max(*newest);
            }
        }
        let is_unreachable = |at: ClockTime| {
            let elapsed = now.since(at);
            elapsed >= UNREACHABLE_AFTER && elapsed < UNREACHABLE_UNTIL
        };
        let unreachable = last_seen.into_iter().filter(|(_, at)| is_unreachable(*at));
        unreachable.map(|(domain, _)| domain.clone()).collect()
    }

    /// Records that `instance` relayed current state of the store.
    pub fn note_relay(&mut self, now: ClockTime, instance: &InstanceId) {
        self.relayed_at.insert(instance.clone(), now);
    }

    /// When an instance of the own failure domain last relayed current state.
    pub fn last_relay_at(&self) -> Option<ClockTime> {
        self.relayed_at.values().max().copied()
    }

    /// The instance that reads the store for `domain`, as seen by `local` there: the first
    /// by name that relays current state, or the first that is alive if none does.
    pub fn reader(&self, now: ClockTime, local: &InstanceId, domain: &FailureDomain) -> InstanceId {
        let relays = |name: &InstanceId| {
            let relayed_at = self.relayed_at.get(name);
            relayed_at.is_some_and(|at| now.since(*at) < RELAY_TIMEOUT)
        };
        let alive = || self.alive_in(now, domain).map(|(name, _)| name);
        let relaying = alive().find(|name| relays(name));
        let first = alive().chain([local]).min();
        relaying.or(first).unwrap_or(local).clone()
    }

    /// The number of instances in `domain` with names before `local`: those that are alive,
    /// or those that are registered as long as not all can have sent a message. `None`
    /// before the registrations are known.
    pub fn rank(
        &self,
        now: ClockTime,
        local: &InstanceId,
        domain: &FailureDomain,
    ) -> Option<usize> {
        let known = self.same_domain_names(now, domain)?;
        Some(known.iter().filter(|(name, _)| *name < local).count())
    }

    /// The addresses of the instances in `domain` from which `local` copies the state: the
    /// one that follows from its rank, then some at random.
    pub fn copy_sources(
        &self,
        now: ClockTime,
        local: &InstanceId,
        domain: &FailureDomain,
    ) -> Vec<SocketAddr> {
        let Some(known) = self.same_domain_names(now, domain) else {
            return Vec::new();
        };
        let rank = known.iter().filter(|(name, _)| *name < local).count();
        let parent = relay::parent_rank(rank).and_then(|parent| known.get(parent));
        let spare = known.choose_multiple(&mut rand::rng(), SPARE_COPY_SOURCES);
        let sources = parent.into_iter().chain(spare);
        sources.map(|(_, address)| *address).collect()
    }

    fn same_domain_names(
        &self,
        now: ClockTime,
        domain: &FailureDomain,
    ) -> Option<Vec<(&InstanceId, SocketAddr)>> {
        if !self.is_bootstrapped {
            return None;
        }
        let is_complete = self.is_complete(now);
        let same_domain = self.peers.iter().filter(|(_, peer)| peer.domain == *domain);
        let known = same_domain.filter(|(_, peer)| !is_complete || peer.is_alive(now));
        Some(known.map(|(name, peer)| (name, peer.address)).collect())
    }

    /// Records that instances of the own failure domain are known, from which the state can
    /// be copied.
    pub fn note_bootstrap(&mut self) {
        self.is_bootstrapped = true;
    }

    /// The registrations of all instances.
    pub fn to_list(&self) -> PeerList {
        let peers = self.peers.iter().map(|(instance, peer)| ListedPeer {
            instance: instance.to_string(),
            record: PeerRecord {
                address: peer.address.to_string(),
                start: peer.start,
                domain: peer.domain.to_string(),
            },
        });
        PeerList {
            peers: peers.collect(),
        }
    }

    /// Whether `local` is the reader of its failure domain `domain`, as the first by name of
    /// the instances there that are alive.
    pub fn is_reader(&self, now: ClockTime, local: &InstanceId, domain: &FailureDomain) -> bool {
        let known = self.same_domain_names(now, domain);
        known.is_some_and(|known| relay::is_reader(local, known.into_iter().map(|(name, _)| name)))
    }
}
