//! What entries tell each other of the cost that they served.

use super::{AdmissionQueue, ShareKey};
use crate::{
    admission::{PeerShare, ShareReport},
    clock::ClockTime,
    ids::InstanceId,
    units::TokenCount,
};

impl AdmissionQueue {
    /// What was served and not yet told, for the peers: the `limit` largest
    /// shares. Smaller ones add up until they are among the largest.
    pub fn take_shares(&mut self, now: ClockTime, limit: usize) -> ShareReport {
        let mut largest: Vec<(u64, ShareKey)> = self
            .unsent
            .iter()
            .map(|(key, served)| (*served, key.clone()))
            .collect();
        largest.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        largest.truncate(limit);
        let mut shares = Vec::with_capacity(largest.len());
        for (served, key) in largest {
            self.unsent.remove(&key);
            let (pool, organisation) = key;
            let served = TokenCount::new(served);
            shares.push(PeerShare {
                pool,
                organisation,
                served,
            });
        }
        ShareReport {
            made_at: now,
            shares,
        }
    }

    /// Takes in what a peer served. A repeat of a report changes nothing; a lost
    /// one only makes the counters a little too low.
    pub fn note_peer_shares(&mut self, peer: &InstanceId, report: &ShareReport) {
        if self
            .peers
            .get(peer)
            .is_some_and(|last| report.made_at <= *last)
        {
            return;
        }
        self.peers.insert(peer.clone(), report.made_at);
        for share in &report.shares {
            self.charge_remote(share);
        }
    }

    /// Forgets a peer that is gone.
    pub fn forget_peer(&mut self, peer: &InstanceId) {
        self.peers.remove(peer);
    }

    fn charge_remote(&mut self, share: &PeerShare) {
        let weight = self.limits_of(&share.organisation).weight;
        let limit = self.settings.debt_limit;
        let Some(pool) = self.pools.get_mut(&share.pool) else {
            return;
        };
        pool.recount(&share.organisation, |counters| {
            counters.charge(&share.organisation, share.served, weight, limit)
        });
    }
}
