//! Exchange of served costs between entries.

use super::{AdmissionQueue, ShareKey};
use crate::{
    admission::{PeerShare, ShareReport},
    clock::ClockTime,
    ids::InstanceId,
    units::TokenCount,
};

impl AdmissionQueue {
    /// Returns the served costs that were not reported yet, for the peers: the `limit`
    /// largest ones. Smaller ones accumulate until they are among the largest.
    pub fn take_shares(&mut self, now: ClockTime, limit: usize) -> ShareReport {
        let mut largest: Vec<(u64, ShareKey)> = self
            .unsent_costs
            .iter()
            .map(|(key, served)| (*served, key.clone()))
            .collect();
        largest.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        largest.truncate(limit);
        let mut shares = Vec::with_capacity(largest.len());
        for (served, key) in largest {
            self.unsent_costs.remove(&key);
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

    /// Charges the costs that a peer served. A duplicate report changes nothing; a lost
    /// one makes the counters slightly too low.
    pub fn note_peer_shares(&mut self, peer: &InstanceId, report: &ShareReport) {
        if self
            .last_peer_reports
            .get(peer)
            .is_some_and(|last| report.made_at <= *last)
        {
            return;
        }
        self.last_peer_reports.insert(peer.clone(), report.made_at);
        for share in &report.shares {
            self.charge_peer_share(share);
        }
    }

    /// Removes a peer that is no longer registered.
    pub fn remove_peer(&mut self, peer: &InstanceId) {
        self.last_peer_reports.remove(peer);
    }

    fn charge_peer_share(&mut self, share: &PeerShare) {
        let weight = self.limits_of(&share.organisation).weight;
        let limit = self.settings.debt_limit;
        let Some(pool) = self.pools.get_mut(&share.pool) else {
            return;
        };
        pool.update_counter(&share.organisation, |counters| {
            counters.charge(&share.organisation, share.served, weight, limit)
        });
    }
}
