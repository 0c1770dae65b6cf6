//! Joining the other instances, and what is known of them.

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
    /// Joins the other instances: takes peer connections, appears on the
    /// platform's list as a `program` that answers HTTP at `http_address`, and
    /// does both until `token` is cancelled. Answers the address for peers.
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

    /// Sets what this process tells its peers of its work. Setting the state to
    /// leaving is told at once, to peers and to the platform's list.
    pub fn set_local(&self, status: LocalStatus) {
        self.state.local.send_replace(status);
    }

    /// What this process tells its peers of its work.
    pub fn local(&self) -> LocalStatus {
        self.state.local.borrow().clone()
    }

    pub(crate) fn local_state(&self) -> InstanceState {
        self.state.local.borrow().state
    }

    /// Waits until this process's own state is no longer `before`.
    pub(crate) async fn local_changed(&self, before: InstanceState) {
        let mut local = self.state.local.subscribe();
        let changed = local.wait_for(|status| status.state != before).await;
        drop(changed);
    }

    /// What is known of every other instance, by instance.
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

    /// Puts this process's own state into what heartbeats carry.
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

    /// Makes the plan of connections anew. Readers are chosen among instances
    /// that are live; connections are also kept to suspected ones, or a cut
    /// path that heals would never be noticed.
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

    /// The number of the connection to `peer` that stands; a later one has a
    /// greater number.
    pub fn link_number(&self, peer: &InstanceId) -> Option<u64> {
        lock(&self.state.links).link(peer).map(|link| link.number)
    }

    /// What this node tells operators of itself.
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
