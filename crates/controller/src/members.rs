//! The other instances, as this controller's node knows them.

use bluebell_core::{
    authority::DutyCandidate,
    clock::ClockTime,
    draining::EntryProgress,
    ids::{EndpointId, FailureDomain},
    membership::{InstanceProgram, InstanceState, PeerStatus},
    records::DutyName,
};
use bluebell_node::NodeHandle;

/// The other instances; clones share them.
#[derive(Clone)]
pub struct InstanceList {
    node: NodeHandle,
}

/// What entries say of the work that they have at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutstandingWork {
    /// How old the oldest word is.
    pub heard_at: ClockTime,
    /// Requests sent and not ended.
    pub requests: u64,
}

impl InstanceList {
    /// The instances that `node` knows of.
    pub fn new(node: NodeHandle) -> InstanceList {
        InstanceList { node }
    }

    fn peers(&self, program: InstanceProgram) -> impl Iterator<Item = PeerStatus> {
        let peers = self.node.peers().into_iter();
        peers.filter(move |peer| peer.program == program)
    }

    /// This controller as a candidate for duties.
    pub fn own_candidate(&self) -> DutyCandidate {
        let settings = self.node.settings();
        DutyCandidate {
            instance: settings.instance.clone(),
            failure_domain: settings.failure_domain.clone(),
        }
    }

    /// The controllers that could hold a duty, this one left out.
    pub fn candidates(&self) -> Vec<DutyCandidate> {
        let live = self
            .peers(InstanceProgram::Controller)
            .filter(|peer| peer.state == InstanceState::Live && !peer.suspected);
        let candidate = |peer: PeerStatus| DutyCandidate {
            instance: peer.instance,
            failure_domain: peer.failure_domain,
        };
        live.map(candidate).collect()
    }

    /// How far the entries have read the log. One that is leaving counts too: it
    /// may still repeat work elsewhere.
    pub fn entries(&self) -> Vec<EntryProgress> {
        let progress = |peer: PeerStatus| EntryProgress {
            next: peer.next_offset.filter(|_| !peer.suspected),
            instance: peer.instance,
        };
        self.peers(InstanceProgram::Entry).map(progress).collect()
    }

    /// The work that entries have at an endpoint which can't say so itself. None
    /// while any entry can't be reached: its work may still run there.
    pub fn outstanding(&self, endpoint: &EndpointId) -> Option<OutstandingWork> {
        let mut work = OutstandingWork {
            heard_at: self.node.clock().now(),
            requests: 0,
        };
        for peer in self.peers(InstanceProgram::Entry) {
            let heard_at = peer.last_seen.filter(|_| !peer.suspected)?;
            work.heard_at = work.heard_at.min(heard_at);
            let loads = peer.status.loads.iter();
            let own = loads.filter(|load| load.endpoint == *endpoint);
            work.requests += own.map(|load| load.requests).sum::<u64>();
        }
        Some(work)
    }

    /// The failure domains that instances run in, or whose engines somebody is in
    /// charge of or has left an order or a mark behind, sorted: an order that
    /// nobody takes over would keep its engine from ever being changed again.
    pub fn failure_domains(&self) -> Vec<FailureDomain> {
        let mut domains: Vec<FailureDomain> = self.node.with_view(|view| {
            let leases = view.leases.leases().map(|(duty, _)| duty);
            let orders = view.orders.open_orders().map(|(_, open)| &open.duty);
            let marks = view.drain_marks.iter().map(|(_, mark)| &mark.duty);
            let duties = leases.chain(orders).chain(marks);
            duties
                .filter_map(|duty| match duty {
                    DutyName::Engines(domain) => Some(domain.clone()),
                    DutyName::Fleet | DutyName::Usage | DutyName::Log => None,
                })
                .collect()
        });
        domains.push(self.node.settings().failure_domain.clone());
        domains.extend(
            self.node
                .peers()
                .into_iter()
                .map(|peer| peer.failure_domain),
        );
        domains.sort();
        domains.dedup();
        domains
    }
}
