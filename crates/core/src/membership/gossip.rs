//! What instances tell of themselves and pass on of others, in bounded heartbeats.
//!
//! Every item carries its member's incarnation and a version that grows with
//! each change. A receiver keeps the newest. A sender remembers per connection
//! what it has sent and sends only what changed since, up to a number of bytes;
//! what does not fit waits for a later one, in the order that [`super::lanes`]
//! gives: presence before progress, and that before loads and shares. So growth of the fleet makes
//! news of far instances slower and never makes heartbeats larger.

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

/// The most endpoints, and the most organisations, that one instance tells of.
pub const LOCAL_ITEM_LIMIT: usize = 64;

/// Bytes of an item besides its names: versions, numbers and field tags.
const ITEM_OVERHEAD: usize = 24;

/// Where an instance runs and listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberPresence {
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// What it runs.
    pub program: InstanceProgram,
    /// Whether it stays.
    pub state: InstanceState,
    /// Where it answers HTTP.
    pub http_address: String,
    /// Where it takes peer connections.
    pub peer_address: String,
}

impl MemberPresence {
    /// The presence as an entry of the platform's list.
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

/// What an item says of its member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipBody {
    /// Where it runs.
    Presence(MemberPresence),
    /// The offset of the next entry that it will apply.
    Progress(LogOffset),
    /// Its outstanding work at one endpoint; none at all once the work has ended.
    Load(EndpointLoad),
    /// Its work served for one organisation.
    Share(OrganisationShare),
}

/// One statement about one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipItem {
    /// Whom it is about.
    pub member: InstanceId,
    /// Which of that instance's processes: later ones have greater numbers.
    pub incarnation: u64,
    /// Greater for later statements of one process.
    pub version: u64,
    /// What it says.
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
    let stamp = (item.incarnation, item.version);
    sent.get(key).is_none_or(|sent| *sent < stamp)
}

/// All statements that an instance knows, and what it has sent to whom.
#[derive(Clone, Debug)]
pub struct GossipTable {
    local: InstanceId,
    incarnation: u64,
    version: u64,
    items: BTreeMap<MemberKey, GossipItem>,
    changes: [u64; KIND_COUNT],
    links: BTreeMap<InstanceId, LinkState>,
}

impl GossipTable {
    /// A table that knows nothing.
    pub fn new(local: InstanceId, incarnation: u64) -> GossipTable {
        GossipTable {
            local,
            incarnation,
            version: 0,
            items: BTreeMap::new(),
            changes: [0; KIND_COUNT],
            links: BTreeMap::new(),
        }
    }

    /// Sets what this instance tells of itself; only what changed counts as news.
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

    /// Tells that work at endpoints which are no longer named has ended.
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
        self.changes[key.1.kind() as usize] += 1;
        self.items.insert(key, item);
    }

    /// Takes an item that came over `link`; answers whether it is news.
    pub fn merge(&mut self, link: &InstanceId, item: &GossipItem) -> bool {
        let key = (item.member.clone(), ItemKey::new(&item.body));
        let stamp = (item.incarnation, item.version);
        let link_state = self.links.entry(link.clone()).or_default();
        link_state.sent.insert(key.clone(), stamp);
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
        if known.is_some_and(|known| (known.incarnation, known.version) >= stamp) {
            return false;
        }
        self.put(key, item.clone());
        true
    }

    /// Forgets all that is known of `member`.
    pub fn remove_member(&mut self, member: &InstanceId) {
        self.items.retain(|(of, _), _| of != member);
        for link_state in self.links.values_mut() {
            link_state.sent.retain(|(of, _), _| of != member);
        }
    }

    /// Forgets what was sent over `link`.
    pub fn reset_link(&mut self, link: &InstanceId) {
        self.links.remove(link);
    }

    /// What to send over `link` now, in about `budget` bytes.
    pub fn heartbeat_items(&mut self, link: &InstanceId, budget: usize) -> Vec<GossipItem> {
        let mut link_state = self.links.remove(link).unwrap_or_default();
        self.fill(link, &mut link_state);
        let mut left = budget;
        let mut chosen: Vec<GossipItem> = Vec::new();
        while let Some((queue, key)) = link_state.queues.peek() {
            let item = self.items.get(key);
            let Some(item) = item.filter(|item| is_unsent(&link_state.sent, key, item)) else {
                link_state.queues.pop(queue, false);
                continue;
            };
            let bytes = item_bytes(item);
            if bytes > left && !chosen.is_empty() {
                break;
            }
            left = left.saturating_sub(bytes);
            let stamp = (item.incarnation, item.version);
            link_state.sent.insert(key.clone(), stamp);
            link_state.queues.pop(queue, true);
            chosen.push(item.clone());
        }
        self.links.insert(link.clone(), link_state);
        chosen
    }

    /// Fills the lanes that have run empty with what is unsent, own statements
    /// first.
    fn fill(&self, link: &InstanceId, link_state: &mut LinkState) {
        let LinkState { sent, queues } = link_state;
        let is_unsent = |key: &MemberKey| {
            let item = self.items.get(key);
            item.is_some_and(|item| is_unsent(sent, key, item))
        };
        let open = queues.open(self.changes, is_unsent);
        if open.iter().all(|open| !open) {
            return;
        }
        let domain = self
            .presence(&self.local)
            .map(|local| &local.failure_domain);
        let local = self.member_items(&self.local);
        let local = local.map(|item| (item.member.clone(), ItemKey::new(&item.body)));
        for key in local {
            let queue = queue_index(key.1.kind(), true);
            if open[queue] && is_unsent(&key) {
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
            if open[queue] && is_unsent(key) {
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

    /// Where `member` runs, if it has told.
    pub fn presence(&self, member: &InstanceId) -> Option<&MemberPresence> {
        match &self.items.get(&(member.clone(), ItemKey::Presence))?.body {
            GossipBody::Presence(presence) => Some(presence),
            _ => None,
        }
    }

    /// The offset of the next entry that `member` will apply, if it has told.
    pub fn progress(&self, member: &InstanceId) -> Option<LogOffset> {
        match &self.items.get(&(member.clone(), ItemKey::Progress))?.body {
            GossipBody::Progress(next) => Some(*next),
            _ => None,
        }
    }

    /// What is known of the work of `member`.
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
