//! Who keeps a connection to whom, and who reads the log from the platform.
//!
//! Every instance computes the plan from the members it knows, by rendezvous
//! hashing, so those that know the same members plan the same connections.
//! Where they don't, a connection more or less is kept for a while: all
//! connections are accepted, so a difference costs speed and nothing else.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{FailureDomain, InstanceId};

/// A failure domain of at most this many instances is fully connected.
pub const FULL_MESH_LIMIT: usize = 16;

/// In a larger one, each reader serves about this many others.
const FOLLOWERS_PER_READER: usize = 8;

/// The fewest instances per failure domain that read from the platform: with
/// two, the loss of one delays nobody.
const MIN_READERS: usize = 2;

/// Connections between each two failure domains.
const LINKS_BETWEEN: usize = 2;

/// A member as the plan needs to know it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlanMember {
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// Which.
    pub instance: InstanceId,
}

/// What one instance does for the relay.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LinkPlan {
    /// Whether it reads the log from the platform.
    pub reads: bool,
    /// The readers of its failure domain that it takes the log from, best first.
    pub readers: Vec<InstanceId>,
    /// Whom it is connected to.
    pub neighbours: BTreeSet<InstanceId>,
}

impl LinkPlan {
    /// The plan for `own` among `members` that are neither suspected nor
    /// leaving; `own` is added if it is missing.
    pub fn new(own: &PlanMember, members: &[PlanMember]) -> LinkPlan {
        let mut domains: BTreeMap<&FailureDomain, Vec<&InstanceId>> = BTreeMap::new();
        let all: BTreeSet<&PlanMember> = members.iter().chain([own]).collect();
        for member in all {
            let domain = domains.entry(&member.failure_domain).or_default();
            domain.push(&member.instance);
        }
        let mut plan = LinkPlan::default();
        plan.join_domain(own, &domains[&own.failure_domain]);
        for (domain, instances) in &domains {
            if **domain != own.failure_domain {
                plan.join_across(own, &domains[&own.failure_domain], domain, instances);
            }
        }
        plan
    }

    fn join_domain(&mut self, own: &PlanMember, instances: &[&InstanceId]) {
        let count = MIN_READERS.max(instances.len().div_ceil(FOLLOWERS_PER_READER));
        let readers = best(instances, own.failure_domain.as_str(), count);
        self.reads = readers.contains(&&own.instance);
        let others = |instance: &&&InstanceId| ***instance != own.instance;
        self.readers = best(&readers, own.instance.as_str(), MIN_READERS + 1)
            .iter()
            .filter(others)
            .take(MIN_READERS)
            .map(|reader| (*reader).clone())
            .collect();
        if instances.len() <= FULL_MESH_LIMIT {
            let all = instances.iter().filter(others).map(|i| (*i).clone());
            self.neighbours.extend(all);
            return;
        }
        if !self.reads {
            self.neighbours.extend(self.readers.iter().cloned());
            return;
        }
        let fellows = readers.iter().filter(others).map(|i| (*i).clone());
        self.neighbours.extend(fellows);
        let followers = instances.iter().filter(|instance| {
            !readers.contains(instance)
                && best(&readers, instance.as_str(), MIN_READERS).contains(&&own.instance)
        });
        self.neighbours.extend(followers.map(|i| (*i).clone()));
    }

    fn join_across(
        &mut self,
        own: &PlanMember,
        ours: &[&InstanceId],
        domain: &FailureDomain,
        theirs: &[&InstanceId],
    ) {
        let mut pair = [own.failure_domain.as_str(), domain.as_str()];
        pair.sort_unstable();
        let salt = pair.join("|");
        let ours = best(ours, &salt, LINKS_BETWEEN);
        let theirs = best(theirs, &salt, LINKS_BETWEEN);
        for rank in 0..ours.len().max(theirs.len()) {
            if *ours[rank % ours.len()] == own.instance {
                self.neighbours.insert(theirs[rank % theirs.len()].clone());
            }
        }
    }
}

/// The `count` instances with the greatest hash together with `salt`.
fn best<'a>(instances: &[&'a InstanceId], salt: &str, count: usize) -> Vec<&'a InstanceId> {
    let mut ranked: Vec<(u64, &InstanceId)> = instances
        .iter()
        .map(|instance| (xxh3_64(format!("{salt}|{instance}").as_bytes()), *instance))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, instance)| instance).collect()
}
