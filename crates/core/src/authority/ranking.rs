//! The ranking of controllers for each duty, which spreads the duties over them.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    ids::{FailureDomain, InstanceId},
    records::DutyName,
};

/// A controller that is eligible for duties.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DutyCandidate {
    /// The id of the controller.
    pub instance: InstanceId,
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomain,
}

/// The rank of `instance`, from 0, among `candidates` for each of `duties`.
///
/// The order is that of rendezvous hashing, except that a controller which has its even
/// share of duties ranks after those that don't: there are few duties, and by hashes
/// alone one controller would sometimes be first for all of them. For the engines of a
/// failure domain, controllers of that domain rank before all others, because they still
/// reach the engines when the domain is partitioned.
pub fn duty_ranks(
    duties: &[DutyName],
    instance: &InstanceId,
    candidates: &[DutyCandidate],
) -> BTreeMap<DutyName, usize> {
    let mut duties: Vec<&DutyName> = duties.iter().collect();
    duties.sort_by_key(|duty| (!matches!(duty, DutyName::Engines(_)), *duty));
    let share = duties.len().div_ceil(candidates.len().max(1));
    let mut held: BTreeMap<&InstanceId, usize> = BTreeMap::new();
    let mut ranks = BTreeMap::new();
    for duty in duties {
        let mut ranked: Vec<&DutyCandidate> = candidates.iter().collect();
        ranked.sort_by_cached_key(|candidate| {
            let has_share = held.get(&candidate.instance).is_some_and(|n| *n >= share);
            preference(duty, candidate, has_share)
        });
        if let Some(first) = ranked.first() {
            *held.entry(&first.instance).or_default() += 1;
        }
        let rank = ranked.iter().position(|c| c.instance == *instance);
        ranks.insert(duty.clone(), rank.unwrap_or(ranked.len()));
    }
    ranks
}

fn preference(
    duty: &DutyName,
    candidate: &DutyCandidate,
    has_share: bool,
) -> (bool, bool, u64, InstanceId) {
    let is_other_domain = match duty {
        DutyName::Engines(domain) => *domain != candidate.failure_domain,
        DutyName::Fleet | DutyName::Usage | DutyName::Log => false,
    };
    let hash = xxh3_64(format!("{duty} {}", candidate.instance).as_bytes());
    (is_other_domain, has_share, hash, candidate.instance.clone())
}
