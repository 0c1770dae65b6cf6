//! Which loads of engines an instance reports to which tracker, and when.

use std::collections::BTreeMap;

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{FailureDomain, InstanceId},
    placement::{EngineKey, EngineLoad},
};

/// How often an unchanged load is repeated. A tracker whose predecessor has ended is
/// complete after that time, and a lost report is made up for.
const REPEAT_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);

/// An engine whose load is reported or asked for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EngineCandidate {
    /// The engine.
    pub engine: EngineKey,
    /// Its failure domain.
    pub domain: FailureDomain,
}

#[derive(Clone, Debug)]
struct SentLoad {
    tracker: InstanceId,
    load: EngineLoad,
    at: ClockTime,
}

/// What one tracker is to be sent: engines and their complete loads.
pub type DueLoads = Vec<(EngineKey, EngineLoad)>;

/// What was reported last of each engine with load.
#[derive(Clone, Debug, Default)]
pub struct LoadReporter {
    sent: BTreeMap<EngineCandidate, SentLoad>,
}

impl LoadReporter {
    /// Creates the state of an instance that has reported nothing.
    pub fn new() -> LoadReporter {
        LoadReporter::default()
    }

    /// Returns the loads to be reported now, by tracker, and records them as sent: those
    /// that have changed or have another tracker, and those that are due to be repeated.
    /// `loads` are all loads of this instance. A load that has ended is reported twice.
    pub fn take_due<TrackerOf>(
        &mut self,
        now: ClockTime,
        loads: Vec<(EngineCandidate, EngineLoad)>,
        tracker_of: TrackerOf,
    ) -> BTreeMap<InstanceId, DueLoads>
    where
        TrackerOf: Fn(&EngineCandidate) -> Option<InstanceId>,
    {
        let mut loads: BTreeMap<EngineCandidate, EngineLoad> = loads.into_iter().collect();
        for engine in self.sent.keys() {
            loads.entry(engine.clone()).or_default();
        }
        let mut due: BTreeMap<InstanceId, DueLoads> = BTreeMap::new();
        for (engine, load) in loads {
            let Some(tracker) = tracker_of(&engine) else {
                continue;
            };
            let last = self.sent.get(&engine);
            let is_new = last.is_none_or(|last| last.tracker != tracker || last.load != load);
            let is_repeat = last.is_some_and(|last| now.since(last.at) >= REPEAT_INTERVAL);
            if !is_new && !is_repeat {
                continue;
            }
            let reports = due.entry(tracker.clone()).or_default();
            reports.push((engine.engine, load.clone()));
            if load.is_empty() && !is_new {
                self.sent.remove(&engine);
                continue;
            }
            let sent = SentLoad {
                tracker,
                load,
                at: now,
            };
            self.sent.insert(engine, sent);
        }
        due
    }
}
