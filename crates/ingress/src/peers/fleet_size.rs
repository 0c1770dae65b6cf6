//! The size of the fleet, as far as it matters for reports of usage.

use bluebell_core::{ids::FailureDomain, quota::FleetSize};

use crate::peers::table::PeerTable;

/// The size of the fleet for the instance in `domain` that has these `peers`; `None` until
/// the registrations have been read. With many instances, only those of the same failure
/// domain report to it directly.
pub fn fleet_size(peers: &PeerTable, domain: &FailureDomain) -> Option<FleetSize> {
    if !peers.is_read() {
        return None;
    }
    let mut size = FleetSize::default();
    for (_, peer) in peers.iter() {
        if peers.is_full_mesh() || peer.domain == *domain {
            size.direct += 1;
        } else {
            *size.domains.entry(peer.domain.clone()).or_default() += 1;
        }
    }
    Some(size)
}
