//! The instances that record the version of a stream.
//!
//! They follow from the id of the stream by rendezvous hashing over the instances of each failure
//! domain. Instances with different views of who is alive therefore mostly agree, and each
//! change of the fleet moves few streams. The records of a stream are spread over failure
//! domains: one that is cut off keeps a record of the streams that began there, and the loss of
//! a whole one leaves records elsewhere.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    clock::TimeSpan,
    ids::{FailureDomain, InstanceId},
    relay::DIRECT_READERS,
    streams::StreamHash,
};

/// The number of instances that record a stream.
const RECORDING_PEERS: usize = 3;

/// The minimum number of instances of each failure domain that are asked for a stream. Views of
/// the fleet differ, and the instance at which the stream began does not record it with itself.
const QUERIED_PER_DOMAIN: usize = 2;

/// The minimum number of instances that are asked for a stream, if there are as many.
const QUERIED_PEERS: usize = 6;

/// The number of instances of a failure domain for each one that appends records to the log, which
/// limits the bytes that it receives.
const INSTANCES_PER_APPENDER: usize = 64;

/// The shortest time between two appends of one instance. Streams that begin within it before all
/// instances are killed are not in the log.
const MIN_APPEND_INTERVAL: TimeSpan = TimeSpan::from_millis(40);

/// The number of appends a second of all instances together: half of what the store carries.
const MAX_APPENDS_PER_S: u64 = 200;

/// An instance that can record streams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordPeer<Address> {
    /// Its name.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The time of its start, which distinguishes its restarts.
    pub start: u64,
    /// Where it is reached.
    pub address: Address,
}

fn weight(name: &str, stream: StreamHash) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), stream.number())
}

type RankedPeers<'a, Address> = BTreeMap<&'a FailureDomain, Vec<&'a RecordPeer<Address>>>;

/// A candidate with its weight; the first choice is the least.
type WeightedPeer<'a, Address> = (Reverse<u64>, &'a RecordPeer<Address>);

/// The first `count` choices for `stream` among the instances of each failure domain.
fn ranked<Address>(
    stream: StreamHash,
    peers: &[RecordPeer<Address>],
    count: usize,
) -> RankedPeers<'_, Address> {
    let mut domains: BTreeMap<&FailureDomain, Vec<WeightedPeer<'_, Address>>> = BTreeMap::new();
    for peer in peers {
        let weight = Reverse(weight(peer.instance.as_str(), stream));
        let candidates = domains.entry(&peer.domain).or_default();
        candidates.push((weight, peer));
    }
    let first = domains.into_iter().map(|(domain, mut candidates)| {
        if candidates.len() > count {
            candidates.select_nth_unstable_by_key(count, |(weight, _)| *weight);
            candidates.truncate(count);
        }
        candidates.sort_by_key(|(weight, _)| *weight);
        let peers = candidates.into_iter().map(|(_, peer)| peer);
        (domain, peers.collect())
    });
    first.collect()
}

/// The instances of `peers` with which an instance in `domain` records `stream`.
pub fn recording_peers<'a, Address>(
    stream: StreamHash,
    domain: &FailureDomain,
    peers: &'a [RecordPeer<Address>],
) -> Vec<&'a RecordPeer<Address>> {
    let ranked = ranked(stream, peers, RECORDING_PEERS);
    let mut domains: Vec<(&FailureDomain, Vec<&RecordPeer<Address>>)> =
        ranked.into_iter().collect();
    domains.sort_by_cached_key(|(name, _)| {
        let weight = Reverse(weight(name.as_str(), stream));
        (*name != domain, weight)
    });
    let chosen = (0..RECORDING_PEERS).flat_map(|round| {
        let of_round = domains.iter();
        of_round.filter_map(move |(_, ranking)| ranking.get(round).copied())
    });
    chosen.take(RECORDING_PEERS).collect()
}

/// The instances of `peers` that are asked for `stream`: those that may have recorded it, and those
/// that have read the log.
pub fn queried_peers<Address>(
    stream: StreamHash,
    peers: &[RecordPeer<Address>],
) -> Vec<&RecordPeer<Address>> {
    let domains: BTreeSet<&FailureDomain> = peers.iter().map(|peer| &peer.domain).collect();
    let per_domain = QUERIED_PEERS.div_ceil(domains.len().max(1));
    let ranked = ranked(stream, peers, per_domain.max(QUERIED_PER_DOMAIN));
    let mut queried: Vec<&RecordPeer<Address>> = ranked.into_values().flatten().collect();
    for domain in domains {
        let members = peers.iter().filter(|peer| peer.domain == *domain);
        let appender = appending_peer(stream, members.collect());
        let is_asked = |appender: &&RecordPeer<Address>| {
            let mut asked = queried.iter();
            asked.any(|peer| peer.instance == appender.instance)
        };
        queried.extend(appender.filter(|appender| !is_asked(appender)));
    }
    queried
}

/// Whether a stream that no instance has a record of was not recorded. Its record went to
/// [`RECORDING_PEERS`] of those that were `asked`, so one of these has answered if fewer are silent.
/// Records of a failure domain that is cut off may have gone to instances there only, so some of each
/// of the `domains` have to be among those that `answered`.
pub fn is_unrecorded<Address>(
    asked: &[&RecordPeer<Address>],
    answered: &BTreeSet<Address>,
    domains: &BTreeSet<FailureDomain>,
) -> bool
where
    Address: Ord,
{
    let answering = asked.iter().filter(|peer| answered.contains(&peer.address));
    let answering_domains: BTreeSet<&FailureDomain> =
        answering.clone().map(|peer| &peer.domain).collect();
    let silent = asked.len() - answering.count();
    let is_heard = |domain: &FailureDomain| answering_domains.contains(domain);
    silent < RECORDING_PEERS && domains.iter().all(is_heard)
}

/// The instance of the failure domain with these `members` that appends the record of `stream` to
/// the log: one of the first by name, which read the store in any case.
pub fn appending_peer<Address>(
    stream: StreamHash,
    mut members: Vec<&RecordPeer<Address>>,
) -> Option<&RecordPeer<Address>> {
    members.sort_by_key(|peer| &peer.instance);
    let first = members.iter().take(appenders(members.len()));
    first
        .max_by_key(|peer| weight(peer.instance.as_str(), stream))
        .copied()
}

/// The number of instances that append records, of a failure domain with this many `members`.
fn appenders(members: usize) -> usize {
    members.div_ceil(INSTANCES_PER_APPENDER).min(DIRECT_READERS)
}

/// How often an instance appends records to the log, of the fleet that consists of `peers` and itself.
pub fn append_interval<Address>(peers: &[RecordPeer<Address>]) -> TimeSpan {
    let mut domains: BTreeMap<&FailureDomain, usize> = BTreeMap::new();
    for peer in peers {
        *domains.entry(&peer.domain).or_default() += 1;
    }
    let appenders: usize = domains.into_values().map(appenders).sum();
    let interval = TimeSpan::from_millis(appenders as u64 * 1_000 / MAX_APPENDS_PER_S);
    interval.max(MIN_APPEND_INTERVAL)
}
