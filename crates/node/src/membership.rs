//! Joins the other instances and reports their status.

use std::net::SocketAddr;

use bluebell_core::{
    ids::InstanceId,
    membership::{
        InstanceListing, InstanceProgram, InstanceState, LinkPlan, LocalStatus, MemberPresence,
        MemberTable, PeerStatus, PlanMember,
    },
};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::{
    admin::NodeReport,
    announce,
    handle::{NodeHandle, lock},
    peers, withdraw,
};

impl NodeHandle {
    /// Joins the other instances: accepts peer connections and announces a
    /// `program` that serves HTTP at `http_address` on the platform's list, both
    /// until `token` is cancelled. Returns the address bound for peer connections.
    ///
    /// # Errors
    ///
    /// Fails if the peer address of the settings can't be bound.
    pub async fn join(
        &self,
        program: InstanceProgram,
        http_address: SocketAddr,
        token: &CancellationToken,
    ) -> std::io::Result<SocketAddr> {
        let settings = &self.state.settings;
        let listener = TcpListener::bind(settings.peer_address).await?;
        let peer_address = listener.local_addr()?;
        let listing = InstanceListing {
            instance: settings.instance.clone(),
            failure_domain: settings.failure_domain.clone(),
            program,
            state: InstanceState::Live,
            http_address: http_address.to_string(),
            peer_address: settings.peer_advertise.unwrap_or(peer_address).to_string(),
        };
        let node = self.clone();
        tokio::spawn(peers::accept(node, listener, token.child_token()));
        let node = self.clone();
        tokio::spawn(peers::maintain(node, listing.clone(), token.child_token()));
        tokio::spawn(withdraw::run(self.clone(), token.child_token()));
        tokio::spawn(announce::run(self.clone(), listing, token.child_token()));
        Ok(peer_address)
    }

    /// Sets the load and state that this process reports to its peers. A change of
    /// the state, such as to leaving, is sent at once to peers and to the
    /// platform's list.
    pub fn set_local(&self, status: LocalStatus) {
        self.state.local.send_replace(status);
    }

    /// The load and state that this process reports to its peers.
    pub fn local(&self) -> LocalStatus {
        self.state.local.borrow().clone()
    }

    pub(crate) fn local_state(&self) -> InstanceState {
        self.state.local.borrow().state
    }

    /// Waits until the state of this process differs from `before`.
    pub(crate) async fn local_changed(&self, before: InstanceState) {
        let mut local = self.state.local.subscribe();
        let changed = local.wait_for(|status| status.state != before).await;
        drop(changed);
    }

    /// The last known status of every other instance, ordered by instance id.
    pub fn peers(&self) -> Vec<PeerStatus> {
        let now = self.state.clock.now();
        self.members().peers(now)
    }

    pub(crate) fn members(&self) -> std::sync::MutexGuard<'_, MemberTable> {
        lock(&self.state.members)
    }

    pub(crate) fn note_listings(&self, listings: &[InstanceListing]) {
        let now = self.state.clock.now();
        self.members().update_listings(now, listings);
    }

    /// Updates the presence, progress and load of this process that heartbeats carry.
    pub(crate) fn refresh_local_presence(&self, listing: &InstanceListing) {
        let local = self.local();
        let presence = MemberPresence {
            failure_domain: listing.failure_domain.clone(),
            program: listing.program,
            state: local.state,
            http_address: listing.http_address.clone(),
            peer_address: listing.peer_address.clone(),
        };
        let next = self.progress().next;
        self.members().set_local(presence, next, &local);
    }

    /// Recomputes the plan of connections and returns the listings of the planned
    /// neighbours. Readers are chosen among live instances that are not suspected.
    /// Connections to other instances are kept, too: otherwise the end of a
    /// network partition would never be noticed.
    pub(crate) fn update_link_plan(&self) -> Vec<InstanceListing> {
        let now = self.state.clock.now();
        let local_member = PlanMember {
            failure_domain: self.state.settings.failure_domain.clone(),
            instance: self.state.settings.instance.clone(),
        };
        let mut members = self.members();
        let listings = members.listings();
        let member = |listing: &InstanceListing| PlanMember {
            failure_domain: listing.failure_domain.clone(),
            instance: listing.instance.clone(),
        };
        let live: Vec<PlanMember> = listings
            .iter()
            .filter(|l| l.state == InstanceState::Live && !members.is_suspected(now, &l.instance))
            .map(member)
            .collect();
        let all: Vec<PlanMember> = listings.iter().map(member).collect();
        let mut plan = LinkPlan::new(&local_member, &live);
        plan.neighbours
            .extend(LinkPlan::new(&local_member, &all).neighbours);
        let expected: Vec<InstanceId> = plan.neighbours.iter().cloned().collect();
        members.set_expected_links(now, &expected);
        drop(members);
        let targets = listings
            .into_iter()
            .filter(|listing| plan.neighbours.contains(&listing.instance))
            .collect();
        self.state.plan.send_if_modified(|current| {
            let changed = *current != plan;
            *current = plan;
            changed
        });
        targets
    }

    /// The number of the current connection to `peer`; later connections have
    /// greater numbers.
    pub fn link_number(&self, peer: &InstanceId) -> Option<u64> {
        lock(&self.state.links).link(peer).map(|link| link.number)
    }

    /// The status report of this node for operators.
    pub fn report(&self) -> NodeReport {
        let progress = self.progress();
        NodeReport {
            instance: self.state.settings.instance.clone(),
            failure_domain: self.state.settings.failure_domain.clone(),
            state: self.local_state(),
            next_offset: progress.next,
            caught_up: progress.caught_up,
            obstacle: self.obstacle(),
            freshness: self.freshness(),
            reads_log: self.state.plan.borrow().is_reader,
            links: lock(&self.state.links)
                .links()
                .map(|(peer, _)| peer.clone())
                .collect(),
            peers: self.peers(),
        }
    }
}
