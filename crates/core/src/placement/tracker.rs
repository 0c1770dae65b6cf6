//! The tracker of an engine: the instance that keeps its load as reported by all instances.
//!
//! With many instances, not all can tell each other what they placed on each engine. Each
//! engine has one tracker instead, an instance of its failure domain, to which all report
//! the engine's load and which they ask right before they choose. It follows from the
//! engine's id by rendezvous hashing, so that instances agree without a message and a
//! change of the fleet moves few engines.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{FailureDomain, InstanceId},
};

/// The number of queries in a row without an answer after which a tracker is left out.
const MAX_MISSED_ANSWERS: u32 = 3;

/// The minimum time without an answer until a tracker is left out. Several queries that are
/// sent at the same moment miss their answers together when it is busy for that moment.
const MIN_SILENCE: TimeSpan = TimeSpan::from_millis(200);

/// How often a tracker that is left out is asked whether it answers again.
const PROBE_INTERVAL: TimeSpan = TimeSpan::from_millis(2_000);

/// An instance that can track engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrackerCandidate<Address> {
    /// Its name.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Where it is reached.
    pub address: Address,
}

/// The tracker of the engine with the hash `engine` in `domain`: the first by rendezvous
/// hashing of the candidates in that failure domain, or of all if none is there.
pub fn tracker_of<'a, Address, Candidates>(
    engine: u64,
    domain: &FailureDomain,
    candidates: Candidates,
) -> Option<&'a TrackerCandidate<Address>>
where
    Candidates: Iterator<Item = &'a TrackerCandidate<Address>>,
{
    candidates.max_by_key(|candidate| {
        let weight = xxh3_64_with_seed(candidate.instance.as_str().as_bytes(), engine);
        (candidate.domain == *domain, weight)
    })
}

#[derive(Clone, Debug)]
struct SilentTracker {
    since: ClockTime,
    missed: u32,
    is_left_out: bool,
    probed_at: ClockTime,
}

/// Which trackers do not answer, and are left out until they do.
#[derive(Clone, Debug, Default)]
pub struct TrackerHealth {
    silent: BTreeMap<InstanceId, SilentTracker>,
}

impl TrackerHealth {
    /// Creates a record in which all trackers answer.
    pub fn new() -> TrackerHealth {
        TrackerHealth::default()
    }

    /// Records that `tracker` did not answer a query in time. Returns whether it is left out
    /// from now on.
    pub fn note_missed(&mut self, now: ClockTime, tracker: &InstanceId) -> bool {
        let first = SilentTracker {
            since: now,
            missed: 0,
            is_left_out: false,
            probed_at: now,
        };
        let silent = self.silent.entry(tracker.clone()).or_insert(first);
        silent.missed = silent.missed.saturating_add(1);
        let was_left_out = silent.is_left_out;
        if silent.missed >= MAX_MISSED_ANSWERS && now.since(silent.since) >= MIN_SILENCE {
            silent.is_left_out = true;
        }
        if silent.is_left_out && !was_left_out {
            silent.probed_at = now;
        }
        silent.is_left_out && !was_left_out
    }

    /// Records that `tracker` answered, also if the answer was late. Returns whether it had
    /// been left out.
    pub fn note_answer(&mut self, tracker: &InstanceId) -> bool {
        let silent = self.silent.remove(tracker);
        silent.is_some_and(|silent| silent.is_left_out)
    }

    /// Whether the next candidate is used in place of `tracker`.
    pub fn is_left_out(&self, tracker: &InstanceId) -> bool {
        let silent = self.silent.get(tracker);
        silent.is_some_and(|silent| silent.is_left_out)
    }

    /// The number of trackers that are left out.
    pub fn left_out(&self) -> usize {
        let silent = self.silent.values();
        silent.filter(|silent| silent.is_left_out).count()
    }

    /// Returns the trackers that are to be asked now whether they answer again.
    pub fn take_due_probes(&mut self, now: ClockTime) -> Vec<InstanceId> {
        let mut due = Vec::new();
        for (tracker, silent) in &mut self.silent {
            if silent.is_left_out && now.since(silent.probed_at) >= PROBE_INTERVAL {
                silent.probed_at = now;
                due.push(tracker.clone());
            }
        }
        due
    }

    /// Forgets the trackers for which `is_known` is false: they are no longer registered.
    pub fn retain<IsKnown>(&mut self, is_known: IsKnown)
    where
        IsKnown: Fn(&InstanceId) -> bool,
    {
        self.silent.retain(|tracker, _| is_known(tracker));
    }
}
