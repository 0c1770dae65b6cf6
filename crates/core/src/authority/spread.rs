//! Which controller should hold which duty, so that no one holds them all.

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    ids::{FailureDomain, InstanceId},
    records::DutyName,
};

/// A controller that could hold a duty.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DutyCandidate {
    /// The controller.
    pub instance: InstanceId,
    /// Where it runs.
    pub failure_domain: FailureDomain,
}

/// The place of `me` among `candidates` for `duty`, from 0, by rendezvous
/// hashing. For a failure domain's engines its own controllers come first: they
/// still reach the engines when the domain is cut off from the others.
pub fn duty_rank(duty: &DutyName, me: &DutyCandidate, candidates: &[DutyCandidate]) -> usize {
    let own = preference(duty, me);
    let before =
        |other: &&DutyCandidate| other.instance != me.instance && preference(duty, other) < own;
    candidates.iter().filter(before).count()
}

fn preference(duty: &DutyName, candidate: &DutyCandidate) -> (bool, u64, InstanceId) {
    let foreign = match duty {
        DutyName::Engines(domain) => *domain != candidate.failure_domain,
        DutyName::Fleet | DutyName::Usage | DutyName::Log => false,
    };
    let hash = xxh3_64(format!("{duty} {}", candidate.instance).as_bytes());
    (foreign, hash, candidate.instance.clone())
}
