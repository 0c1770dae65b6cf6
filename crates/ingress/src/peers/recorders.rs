//! The other instances as those that can record streams.

use std::net::SocketAddr;

use bluebell_core::{clock::ClockTime, ids::FailureDomain, streams::RecordPeer};

use crate::peers::table::PeerTable;

/// The instances with which one in `domain` can record streams.
pub fn record_peers(
    peers: &PeerTable,
    now: ClockTime,
    domain: &FailureDomain,
) -> Vec<RecordPeer<SocketAddr>> {
    let sharing = peers.sharing(now, domain);
    let known = sharing.filter_map(|name| Some((name, peers.get(name)?)));
    let recorders = known.map(|(name, peer)| RecordPeer {
        instance: name.clone(),
        domain: peer.domain.clone(),
        start: peer.start,
        address: peer.address,
    });
    recorders.collect()
}
