//! Gossip in heartbeats of bounded size: the status that instances publish of themselves
//! and relay of others.
//!
//! Every item carries its member's incarnation and a version that rises with each
//! change. A receiver keeps the newest. A sender records per connection what it has
//! sent and sends only what changed since, up to a number of bytes. Items that do not
//! fit wait for a later heartbeat, in the order that [`super::update_queues`] defines:
//! presence before progress, and progress before loads and shares. A growing fleet
//! therefore delays updates about instances of other domains, and never enlarges
//! heartbeats.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{EndpointId, FailureDomain, InstanceId, LogOffset, OrganisationId},
    membership::{
        EndpointLoad, InstanceListing, InstanceProgram, InstanceState, LocalStatus,
        OrganisationShare,
        update_queues::{KIND_COUNT, UpdateKind, UpdateQueues, queue_index},
    },
    units::{TokenCount, WorkCost},
};

/// The maximum number of endpoints, and of organisations, that one instance reports.
pub const LOCAL_ITEM_LIMIT: usize = 64;

/// Bytes of an encoded item besides its names: versions, numbers and field tags.
const ITEM_OVERHEAD: usize = 24;

/// The location, program and addresses of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberPresence {
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// The program that it runs.
    pub program: InstanceProgram,
    /// Whether it is live or leaving.
    pub state: InstanceState,
    /// The address of its HTTP server, as `ip:port`.
    pub http_address: String,
    /// The address on which it accepts peer connections, as `ip:port`.
    pub peer_address: String,
}

impl MemberPresence {
    /// The presence of `instance` as an entry of the platform's list.
    pub fn listing(&self, instance: &InstanceId) -> InstanceListing {
        InstanceListing {
            instance: instance.clone(),
            failure_domain: self.failure_domain.clone(),
            program: self.program,
            state: self.state,
            http_address: self.http_address.clone(),
            peer_address: self.peer_address.clone(),
        }
    }
}

/// The content of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipBody {
    /// The member's location, program and addresses.
    Presence(MemberPresence),
    /// The offset of the next log entry that the member will apply.
    Progress(LogOffset),
    /// The member's outstanding work at one endpoint; 0 requests once it has ended.
    Load(EndpointLoad),
    /// The work that the member has served for one organisation.
    Share(OrganisationShare),
}

/// One versioned statement about one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipItem {
    /// The instance that the item describes.
    pub member: InstanceId,
    /// The incarnation of that instance; later processes have greater numbers.
    pub incarnation: u64,
    /// The version, which is greater for later statements of one process.
    pub version: u64,
    /// The content.
    pub body: GossipBody,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ItemKey {
    Presence,
    Progress,
    Load(EndpointId),
    Share(OrganisationId),
}

impl ItemKey {
    fn new(body: &GossipBody) -> ItemKey {
        match body {
            GossipBody::Presence(_) => ItemKey::Presence,
            GossipBody::Progress(_) => ItemKey::Progress,
            GossipBody::Load(load) => ItemKey::Load(load.endpoint.clone()),
            GossipBody::Share(share) => ItemKey::Share(share.organisation.clone()),
        }
    }
}

impl ItemKey {
    fn kind(&self) -> UpdateKind {
        match self {
            ItemKey::Presence => UpdateKind::Presence,
            ItemKey::Progress => UpdateKind::Progress,
            ItemKey::Load(_) | ItemKey::Share(_) => UpdateKind::Work,
        }
    }
}

fn item_bytes(item: &GossipItem) -> usize {
    let names = match &item.body {
        GossipBody::Presence(presence) => {
            presence.failure_domain.as_str().len()
                + presence.http_address.len()
                + presence.peer_address.len()
        }
        GossipBody::Progress(_) => 0,
        GossipBody::Load(load) => load.endpoint.as_str().len(),
        GossipBody::Share(share) => share.organisation.as_str().len(),
    };
    item.member.as_str().len() + names + ITEM_OVERHEAD
}

pub(super) type MemberKey = (InstanceId, ItemKey);

#[derive(Clone, Debug, Default)]
struct LinkState {
    sent: SentVersions,
    queues: UpdateQueues,
}

type SentVersions = BTreeMap<MemberKey, (u64, u64)>;

fn is_unsent(sent: &SentVersions, key: &MemberKey, item: &GossipItem) -> bool {
    let version = (item.incarnation, item.version);
    sent.get(key).is_none_or(|sent| *sent < version)
}

/// All items that an instance holds, and which of them it has sent over each connection.
#[derive(Clone, Debug)]
pub struct GossipTable {
    local: InstanceId,
    incarnation: u64,
    version: u64,
    items: BTreeMap<MemberKey, GossipItem>,
    change_counts: [u64; KIND_COUNT],
    links: BTreeMap<InstanceId, LinkState>,
}

impl GossipTable {
    /// An empty table of the instance `local`, whose process has the number `incarnation`.
    pub fn new(local: InstanceId, incarnation: u64) -> GossipTable {
        GossipTable {
            local,
            incarnation,
            version: 0,
            items: BTreeMap::new(),
            change_counts: [0; KIND_COUNT],
            links: BTreeMap::new(),
        }
    }

    /// Sets the items that this instance publishes of itself. Only changed items get a new
    /// version.
    pub fn set_local(&mut self, presence: MemberPresence, next: LogOffset, status: &LocalStatus) {
        self.version += 1;
        self.put_local(GossipBody::Presence(presence));
        self.put_local(GossipBody::Progress(next));
        let mut loads = status.loads.clone();
        loads.sort_by_key(|load| std::cmp::Reverse(load.requests));
        loads.truncate(LOCAL_ITEM_LIMIT);
        self.put_ended_loads(&loads);
        for load in loads {
            self.put_local(GossipBody::Load(load));
        }
        let mut shares = status.shares.clone();
        shares.sort_by_key(|share| std::cmp::Reverse(share.cost));
        shares.truncate(LOCAL_ITEM_LIMIT);
        for share in shares {
            self.put_local(GossipBody::Share(share));
        }
    }

    /// Publishes a load of 0 for endpoints that are no longer among `loads`.
    fn put_ended_loads(&mut self, loads: &[EndpointLoad]) {
        let ended: Vec<EndpointId> = self
            .member_items(&self.local)
            .filter_map(|item| match &item.body {
                GossipBody::Load(load) if load.requests > 0 => Some(load.endpoint.clone()),
                _ => None,
            })
            .filter(|endpoint| loads.iter().all(|load| load.endpoint != *endpoint))
            .collect();
        for endpoint in ended {
            self.put_local(GossipBody::Load(EndpointLoad {
                endpoint,
                requests: 0,
                tokens: TokenCount::ZERO,
            }));
        }
    }

    fn put_local(&mut self, body: GossipBody) {
        let key = (self.local.clone(), ItemKey::new(&body));
        if self.items.get(&key).is_some_and(|item| item.body == body) {
            return;
        }
        let item = GossipItem {
            member: self.local.clone(),
            incarnation: self.incarnation,
            version: self.version,
            body,
        };
        self.put(key, item);
    }

    fn put(&mut self, key: MemberKey, item: GossipItem) {
        self.change_counts[key.1.kind() as usize] += 1;
        self.items.insert(key, item);
    }

    /// Merges an item received over `link`; returns whether it was newer than the held one.
    pub fn merge(&mut self, link: &InstanceId, item: &GossipItem) -> bool {
        let key = (item.member.clone(), ItemKey::new(&item.body));
        let version = (item.incarnation, item.version);
        let link_state = self.links.entry(link.clone()).or_default();
        link_state.sent.insert(key.clone(), version);
        let newest = self
            .member_items(&item.member)
            .map(|item| item.incarnation)
            .max();
        match newest {
            Some(newest) if newest > item.incarnation => return false,
            Some(newest) if newest < item.incarnation => self.remove_member(&item.member),
            _ => {}
        }
        let known = self.items.get(&key);
        if known.is_some_and(|known| (known.incarnation, known.version) >= version) {
            return false;
        }
        self.put(key, item.clone());
        true
    }

    /// Removes all items about `member`.
    pub fn remove_member(&mut self, member: &InstanceId) {
        self.items.retain(|(of, _), _| of != member);
        for link_state in self.links.values_mut() {
            link_state.sent.retain(|(of, _), _| of != member);
        }
    }

    /// Clears the record of what was sent over `link`.
    pub fn reset_link(&mut self, link: &InstanceId) {
        self.links.remove(link);
    }

    /// Takes the items to send over `link` with the next heartbeat, in at most about
    /// `budget` bytes; a first item that is larger is sent alone.
    pub fn heartbeat_items(&mut self, link: &InstanceId, budget: usize) -> Vec<GossipItem> {
        let mut link_state = self.links.remove(link).unwrap_or_default();
        self.fill(link, &mut link_state);
        let mut remaining = budget;
        let mut chosen: Vec<GossipItem> = Vec::new();
        while let Some((queue, key)) = link_state.queues.peek() {
            let item = self.items.get(key);
            let Some(item) = item.filter(|item| is_unsent(&link_state.sent, key, item)) else {
                link_state.queues.pop(queue, false);
                continue;
            };
            let bytes = item_bytes(item);
            if bytes > remaining && !chosen.is_empty() {
                break;
            }
            remaining = remaining.saturating_sub(bytes);
            let version = (item.incarnation, item.version);
            link_state.sent.insert(key.clone(), version);
            link_state.queues.pop(queue, true);
            chosen.push(item.clone());
        }
        self.links.insert(link.clone(), link_state);
        chosen
    }

    /// Fills the empty queues with unsent items, those about this instance first.
    fn fill(&self, link: &InstanceId, link_state: &mut LinkState) {
        let LinkState { sent, queues } = link_state;
        let is_unsent = |key: &MemberKey| {
            let item = self.items.get(key);
            item.is_some_and(|item| is_unsent(sent, key, item))
        };
        let fillable = queues.fillable(self.change_counts, is_unsent);
        if fillable.iter().all(|fillable| !fillable) {
            return;
        }
        let domain = self
            .presence(&self.local)
            .map(|local| &local.failure_domain);
        let local = self.member_items(&self.local);
        let local = local.map(|item| (item.member.clone(), ItemKey::new(&item.body)));
        for key in local {
            let queue = queue_index(key.1.kind(), true);
            if fillable[queue] && is_unsent(&key) {
                queues.push(queue, key);
            }
        }
        let mut member = None;
        let mut is_same_domain = false;
        for key in self.items.keys() {
            if key.0 == self.local || key.0 == *link {
                continue;
            }
            if member != Some(&key.0) {
                let presence = self.presence(&key.0);
                is_same_domain = presence.map(|presence| &presence.failure_domain) == domain;
                member = Some(&key.0);
            }
            let queue = queue_index(key.1.kind(), is_same_domain);
            if fillable[queue] && is_unsent(key) {
                queues.push(queue, key.clone());
            }
        }
    }

    fn member_items(&self, member: &InstanceId) -> impl Iterator<Item = &GossipItem> {
        let first = (member.clone(), ItemKey::Presence);
        let of = member.clone();
        self.items
            .range(first..)
            .take_while(move |((member, _), _)| *member == of)
            .map(|(_, item)| item)
    }

    /// The presence of `member`, if known.
    pub fn presence(&self, member: &InstanceId) -> Option<&MemberPresence> {
        match &self.items.get(&(member.clone(), ItemKey::Presence))?.body {
            GossipBody::Presence(presence) => Some(presence),
            _ => None,
        }
    }

    /// The offset of the next log entry that `member` will apply, if known.
    pub fn progress(&self, member: &InstanceId) -> Option<LogOffset> {
        match &self.items.get(&(member.clone(), ItemKey::Progress))?.body {
            GossipBody::Progress(next) => Some(*next),
            _ => None,
        }
    }

    /// The state and work of `member`, as last received.
    pub fn status(&self, member: &InstanceId) -> LocalStatus {
        let mut status = LocalStatus::default();
        for item in self.member_items(member) {
            match &item.body {
                GossipBody::Presence(presence) => status.state = presence.state,
                GossipBody::Load(load) if load.requests > 0 => status.loads.push(load.clone()),
                GossipBody::Load(_) | GossipBody::Progress(_) => {}
                GossipBody::Share(share) if share.cost > WorkCost::ZERO => {
                    status.shares.push(share.clone());
                }
                GossipBody::Share(_) => {}
            }
        }
        status
    }
}
