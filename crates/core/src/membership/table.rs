//! The table of known instances, and which of them are live, leaving or suspected.

use std::collections::BTreeMap;

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{InstanceId, LogOffset},
    membership::{
        GossipItem, GossipTable, InstanceListing, InstanceState, LocalStatus, PeerStatus,
        gossip::MemberPresence,
    },
};

/// How long a directly connected peer may send no heartbeat before it is suspected.
pub const HEARTBEAT_TIMEOUT: TimeSpan = TimeSpan::from_secs(3);

/// How long an instance without a direct connection may be neither listed nor reported by
/// peers before it is suspected.
pub const RELAYED_TIMEOUT: TimeSpan = TimeSpan::from_secs(60);

/// How long a peer with a planned connection may take until its first direct heartbeat.
/// Each side waits up to 2 s for the other one to connect, and 1 s for the connection;
/// the rest allows for a heartbeat.
pub const FIRST_HEARTBEAT_TIMEOUT: TimeSpan = TimeSpan::from_secs(6);

/// How long an instance stays in the table without being listed, relayed or seen
/// directly.
pub const MEMBER_RETENTION: TimeSpan = TimeSpan::from_secs(180);

#[derive(Clone, Debug, Default)]
struct MemberEntry {
    listing: Option<InstanceListing>,
    listed_at: Option<ClockTime>,
    last_heartbeat: Option<ClockTime>,
    relayed_at: Option<ClockTime>,
    /// Since when a direct connection has been planned.
    planned_at: Option<ClockTime>,
}

/// The other instances, as known to one instance.
#[derive(Clone, Debug)]
pub struct MemberTable {
    local: InstanceId,
    entries: BTreeMap<InstanceId, MemberEntry>,
    gossip: GossipTable,
}

impl MemberTable {
    /// An empty table of the instance `local`, whose process has the number `incarnation`.
    pub fn new(local: InstanceId, incarnation: u64) -> MemberTable {
        MemberTable {
            gossip: GossipTable::new(local.clone(), incarnation),
            local,
            entries: BTreeMap::new(),
        }
    }

    /// Applies the platform's list, which was read at `now`, and removes instances after
    /// [`MEMBER_RETENTION`].
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

    /// Handles a heartbeat of the peer `from` and merges its items.
    pub fn receive(&mut self, now: ClockTime, from: &InstanceId, items: &[GossipItem]) {
        self.entries.entry(from.clone()).or_default().last_heartbeat = Some(now);
        for item in items.iter().filter(|item| item.member != self.local) {
            let is_newer = self.gossip.merge(from, item);
            if is_newer && item.member != *from {
                let entry = self.entries.entry(item.member.clone()).or_default();
                entry.relayed_at = Some(now);
            }
        }
    }

    /// Sets the items that this instance publishes of itself.
    pub fn set_local(&mut self, presence: MemberPresence, next: LogOffset, status: &LocalStatus) {
        self.gossip.set_local(presence, next, status);
    }

    /// Takes the items to send to `link` with the next heartbeat, in at most about
    /// `budget` bytes.
    pub fn heartbeat_items(&mut self, link: &InstanceId, budget: usize) -> Vec<GossipItem> {
        self.gossip.heartbeat_items(link, budget)
    }

    /// Records that no direct connection to `instance` is planned any more: missing
    /// heartbeats no longer count, and updates about it arrive through other peers.
    pub fn remove_link(&mut self, now: ClockTime, instance: &InstanceId) {
        if let Some(entry) = self.entries.get_mut(instance)
            && entry.last_heartbeat.take().is_some()
        {
            entry.relayed_at = Some(now);
        }
    }

    /// Records the instances to which direct connections are planned at `now`. A peer that
    /// fails before its connection is established has never sent a heartbeat, so
    /// [`HEARTBEAT_TIMEOUT`] can't detect it, and the list would show it for much longer.
    pub fn set_expected_links(&mut self, now: ClockTime, planned: &[InstanceId]) {
        for (instance, entry) in &mut self.entries {
            entry.planned_at = match planned.contains(instance) {
                true => entry.planned_at.or(Some(now)),
                false => None,
            };
        }
    }

    /// Clears the record of what was sent to `link`, whose connection is new.
    pub fn reset_link(&mut self, link: &InstanceId) {
        self.gossip.reset_link(link);
    }

    /// Whether `instance` is suspected at `now`: a direct peer whose heartbeats stopped or
    /// never arrived, or an instance that was neither listed nor reported by peers within
    /// [`RELAYED_TIMEOUT`]. Unknown instances are suspected.
    pub fn is_suspected(&self, now: ClockTime, instance: &InstanceId) -> bool {
        let Some(entry) = self.entries.get(instance) else {
            return true;
        };
        if let Some(last_heartbeat) = entry.last_heartbeat {
            return now.since(last_heartbeat) > HEARTBEAT_TIMEOUT;
        }
        let is_overdue = |planned: ClockTime| now.since(planned) > FIRST_HEARTBEAT_TIMEOUT;
        if entry.planned_at.is_some_and(is_overdue) {
            return true;
        }
        let known = entry.listed_at.max(entry.relayed_at);
        known.is_none_or(|known| now.since(known) > RELAYED_TIMEOUT)
    }

    /// The location and addresses of `instance`, from gossip or else from the list.
    pub fn listing(&self, instance: &InstanceId) -> Option<InstanceListing> {
        let presence = self.gossip.presence(instance);
        let entry = self.entries.get(instance)?;
        match presence {
            Some(presence) => Some(presence.listing(instance)),
            None => entry.listing.clone(),
        }
    }

    /// All known instances except this one.
    pub fn listings(&self) -> Vec<InstanceListing> {
        self.entries
            .keys()
            .filter_map(|instance| self.listing(instance))
            .collect()
    }

    /// The status of every other instance, by instance.
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
