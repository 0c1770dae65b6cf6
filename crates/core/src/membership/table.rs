//! The table of known instances: who lives, who leaves, who is suspected.

use std::collections::BTreeMap;

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{InstanceId, LogOffset},
    membership::{
        GossipItem, GossipTable, InstanceListing, InstanceState, LocalStatus, PeerStatus,
        gossip::MemberPresence,
    },
};

/// How long a peer with a direct connection may be silent before it is suspected.
pub const HEARTBEAT_TIMEOUT: TimeSpan = TimeSpan::from_secs(3);

/// How long an instance that is heard of only through others may go unheard.
pub const RELAYED_TIMEOUT: TimeSpan = TimeSpan::from_secs(60);

/// How long a peer to which a connection is wanted may take until it is first
/// heard directly. Each of the two waits up to two seconds for the other to
/// connect and a second for the connection; a heartbeat's time is left besides.
pub const FIRST_HEARTBEAT_TIMEOUT: TimeSpan = TimeSpan::from_secs(6);

/// How long an instance that nobody lists or hears is remembered.
pub const MEMBER_RETENTION: TimeSpan = TimeSpan::from_secs(180);

#[derive(Clone, Debug, Default)]
struct MemberEntry {
    listing: Option<InstanceListing>,
    listed_at: Option<ClockTime>,
    last_heartbeat: Option<ClockTime>,
    relayed_at: Option<ClockTime>,
    /// Since when a direct connection has been wanted.
    expected_at: Option<ClockTime>,
}

/// What one instance knows of the others.
#[derive(Clone, Debug)]
pub struct MemberTable {
    local: InstanceId,
    entries: BTreeMap<InstanceId, MemberEntry>,
    gossip: GossipTable,
}

impl MemberTable {
    /// A table in which `own`, started as number `incarnation`, knows nobody yet.
    pub fn new(local: InstanceId, incarnation: u64) -> MemberTable {
        MemberTable {
            gossip: GossipTable::new(local.clone(), incarnation),
            local,
            entries: BTreeMap::new(),
        }
    }

    /// Takes the platform's list, which was read at `now`.
    pub fn update_listings(&mut self, now: ClockTime, listings: &[InstanceListing]) {
        for listing in listings.iter().filter(|l| l.instance != self.local) {
            let entry = self.entries.entry(listing.instance.clone()).or_default();
            entry.listing = Some(listing.clone());
            entry.listed_at = Some(now);
        }
        let gossip = &mut self.gossip;
        self.entries.retain(|instance, entry| {
            let seen = [entry.listed_at, entry.last_heartbeat, entry.relayed_at];
            let seen = seen.into_iter().flatten().max();
            let keep = seen.is_some_and(|seen| now.since(seen) <= MEMBER_RETENTION);
            if !keep {
                gossip.remove_member(instance);
            }
            keep
        });
    }

    /// Takes items that the peer `from` sent with its heartbeat.
    pub fn receive(&mut self, now: ClockTime, from: &InstanceId, items: &[GossipItem]) {
        self.entries.entry(from.clone()).or_default().last_heartbeat = Some(now);
        for item in items.iter().filter(|item| item.member != self.local) {
            let news = self.gossip.merge(from, item);
            if news && item.member != *from {
                let entry = self.entries.entry(item.member.clone()).or_default();
                entry.relayed_at = Some(now);
            }
        }
    }

    /// Sets what this instance tells of itself.
    pub fn set_local(&mut self, presence: MemberPresence, next: LogOffset, status: &LocalStatus) {
        self.gossip.set_local(presence, next, status);
    }

    /// The items to send to `link` with the next heartbeat, in at most about
    /// `budget` bytes.
    pub fn heartbeat_items(&mut self, link: &InstanceId, budget: usize) -> Vec<GossipItem> {
        self.gossip.heartbeat_items(link, budget)
    }

    /// Notes that no direct connection to `instance` is wanted any more: its
    /// silence then means nothing, and others tell of it.
    pub fn remove_link(&mut self, now: ClockTime, instance: &InstanceId) {
        if let Some(entry) = self.entries.get_mut(instance)
            && entry.last_heartbeat.take().is_some()
        {
            entry.relayed_at = Some(now);
        }
    }

    /// Notes to whom direct connections are wanted at `now`. A peer that was lost
    /// before its connection stood has never been heard, so it can't fall silent;
    /// the list would vouch for it long after.
    pub fn set_expected_links(&mut self, now: ClockTime, wanted: &[InstanceId]) {
        for (instance, entry) in &mut self.entries {
            entry.expected_at = match wanted.contains(instance) {
                true => entry.expected_at.or(Some(now)),
                false => None,
            };
        }
    }

    /// Forgets what was sent to `link`: its connection is new.
    pub fn reset_link(&mut self, link: &InstanceId) {
        self.gossip.reset_link(link);
    }

    /// Whether `instance` should be given no new trust at `now`: a direct peer
    /// that fell silent or was never reached, or one that neither the list nor peers
    /// know lately.
    pub fn is_suspected(&self, now: ClockTime, instance: &InstanceId) -> bool {
        let Some(entry) = self.entries.get(instance) else {
            return true;
        };
        if let Some(last_heartbeat) = entry.last_heartbeat {
            return now.since(last_heartbeat) > HEARTBEAT_TIMEOUT;
        }
        let is_overdue = |expected: ClockTime| now.since(expected) > FIRST_HEARTBEAT_TIMEOUT;
        if entry.expected_at.is_some_and(is_overdue) {
            return true;
        }
        let known = entry.listed_at.max(entry.relayed_at);
        known.is_none_or(|known| now.since(known) > RELAYED_TIMEOUT)
    }

    /// Where `instance` runs and listens, as the list or its peers tell.
    pub fn listing(&self, instance: &InstanceId) -> Option<InstanceListing> {
        let told = self.gossip.presence(instance);
        let entry = self.entries.get(instance)?;
        match told {
            Some(told) => Some(told.listing(instance)),
            None => entry.listing.clone(),
        }
    }

    /// All known instances, this one left out.
    pub fn listings(&self) -> Vec<InstanceListing> {
        self.entries
            .keys()
            .filter_map(|instance| self.listing(instance))
            .collect()
    }

    /// What is known of every other instance, by instance.
    pub fn peers(&self, now: ClockTime) -> Vec<PeerStatus> {
        self.entries
            .iter()
            .filter_map(|(instance, entry)| self.peer(now, instance, entry))
            .collect()
    }

    fn peer(
        &self,
        now: ClockTime,
        instance: &InstanceId,
        entry: &MemberEntry,
    ) -> Option<PeerStatus> {
        let listing = self.listing(instance)?;
        let mut status = self.gossip.status(instance);
        let listed_as = entry.listing.as_ref().map(|listing| listing.state);
        if listed_as == Some(InstanceState::Leaving) {
            status.state = InstanceState::Leaving;
        }
        Some(PeerStatus {
            instance: instance.clone(),
            failure_domain: listing.failure_domain,
            program: listing.program,
            state: status.state,
            suspected: self.is_suspected(now, instance),
            next_offset: self.gossip.progress(instance),
            last_seen: entry.last_heartbeat.max(entry.relayed_at),
            status,
        })
    }
}
