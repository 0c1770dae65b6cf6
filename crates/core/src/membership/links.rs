//! The plan of peer connections, and of which instances read the log from the platform.
//!
//! Every instance computes the plan from its member table by rendezvous hashing, so
//! instances with the same members plan the same connections. Where the tables differ,
//! some connections are missing or superfluous for a while: all connections are
//! accepted, so a difference delays messages and has no other effect.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{FailureDomain, InstanceId};

/// The maximum number of instances of a failure domain that are fully connected.
pub const FULL_MESH_LIMIT: usize = 16;

/// In a larger failure domain, the approximate number of instances per reader.
const FOLLOWERS_PER_READER: usize = 8;

/// The minimum number of readers in a failure domain: with two, the loss of one delays
/// no instance.
const MIN_READERS: usize = 2;

/// The number of connections between each pair of failure domains.
const CROSS_DOMAIN_LINKS: usize = 2;

/// A member, as an input of the plan.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlanMember {
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// The instance.
    pub instance: InstanceId,
}

/// The connections of one instance and its part in reading the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LinkPlan {
    /// Whether it reads the log from the platform.
    pub is_reader: bool,
    /// The readers of its failure domain from which it fetches the log, preferred first.
    pub readers: Vec<InstanceId>,
    /// The instances to which it keeps connections.
    pub neighbours: BTreeSet<InstanceId>,
}

impl LinkPlan {
    /// The plan for `local` among `members`, which must be neither suspected nor leaving;
    /// `local` is added if it is missing.
    pub fn new(local: &PlanMember, members: &[PlanMember]) -> LinkPlan {
        let mut domains: BTreeMap<&FailureDomain, Vec<&InstanceId>> = BTreeMap::new();
        let all: BTreeSet<&PlanMember> = members.iter().chain([local]).collect();
        for member in all {
            let domain = domains.entry(&member.failure_domain).or_default();
            domain.push(&member.instance);
        }
        let mut plan = LinkPlan::default();
        plan.add_domain_links(local, &domains[&local.failure_domain]);
        for (domain, instances) in &domains {
            if **domain != local.failure_domain {
                plan.add_cross_domain_links(
                    local,
                    &domains[&local.failure_domain],
                    domain,
                    instances,
                );
            }
        }
        plan
    }

    fn add_domain_links(&mut self, local: &PlanMember, instances: &[&InstanceId]) {
        let count = MIN_READERS.max(instances.len().div_ceil(FOLLOWERS_PER_READER));
        let readers = highest_ranked(instances, local.failure_domain.as_str(), count);
        self.is_reader = readers.contains(&&local.instance);
        let others = |instance: &&&InstanceId| ***instance != local.instance;
        self.readers = highest_ranked(&readers, local.instance.as_str(), MIN_READERS + 1)
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
        if !self.is_reader {
            self.neighbours.extend(self.readers.iter().cloned());
            return;
        }
        let other_readers = readers.iter().filter(others).map(|i| (*i).clone());
        self.neighbours.extend(other_readers);
        let followers = instances.iter().filter(|instance| {
            !readers.contains(instance)
                && highest_ranked(&readers, instance.as_str(), MIN_READERS)
                    .contains(&&local.instance)
        });
        self.neighbours.extend(followers.map(|i| (*i).clone()));
    }

    fn add_cross_domain_links(
        &mut self,
        local: &PlanMember,
        local_instances: &[&InstanceId],
        domain: &FailureDomain,
        remote_instances: &[&InstanceId],
    ) {
        let mut pair = [local.failure_domain.as_str(), domain.as_str()];
        pair.sort_unstable();
        let salt = pair.join("|");
        let local_instances = highest_ranked(local_instances, &salt, CROSS_DOMAIN_LINKS);
        let remote_instances = highest_ranked(remote_instances, &salt, CROSS_DOMAIN_LINKS);
        for rank in 0..local_instances.len().max(remote_instances.len()) {
            if *local_instances[rank % local_instances.len()] == local.instance {
                self.neighbours
                    .insert(remote_instances[rank % remote_instances.len()].clone());
            }
        }
    }
}

/// The `count` instances with the greatest hashes of their names with `salt`.
fn highest_ranked<'a>(
    instances: &[&'a InstanceId],
    salt: &str,
    count: usize,
) -> Vec<&'a InstanceId> {
    let mut ranked: Vec<(u64, &InstanceId)> = instances
        .iter()
        .map(|instance| (xxh3_64(format!("{salt}|{instance}").as_bytes()), *instance))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, instance)| instance).collect()
}
