//! The loads of engines as their tracker has them from the reports of all instances.

use std::collections::BTreeMap;

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::InstanceId,
    placement::{EngineKey, EngineLoad, TrackedLoad, queue::PEER_REPORT_TTL},
};

/// Maximum number of reports kept, some MB. Further ones are dropped until a sweep has
/// removed expired ones.
const MAX_REPORTS: usize = 16_384;

/// The instance that sent a report, and the report's place among those of its process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadSource {
    /// The instance.
    pub instance: InstanceId,
    /// The time of its start in ms.
    pub start: u64,
    /// Rises with each report of the process.
    pub counter: u64,
}

#[derive(Clone, Debug)]
struct InstanceReport {
    start: u64,
    counter: u64,
    received_at: ClockTime,
    /// When the reported prefills were first reported.
    prefills_since: ClockTime,
    load: EngineLoad,
}

impl InstanceReport {
    fn is_live(&self, now: ClockTime) -> bool {
        now.since(self.received_at) <= PEER_REPORT_TTL
    }

    /// The load, less the prefill work that the engine has probably done since it was
    /// reported.
    fn remaining(&self, now: ClockTime) -> EngineLoad {
        self.load.after(now.since(self.prefills_since))
    }
}

#[derive(Clone, Debug)]
struct TrackedEngine {
    start: u64,
    reports: BTreeMap<InstanceId, InstanceReport>,
}

/// The state of a tracker: the last load that each instance reported for each engine.
#[derive(Clone, Debug, Default)]
pub struct LoadLedger {
    engines: BTreeMap<u64, TrackedEngine>,
    reports: usize,
}

impl LoadLedger {
    /// Creates an empty ledger.
    pub fn new() -> LoadLedger {
        LoadLedger::default()
    }

    /// Stores the complete load that an instance has placed on an engine, in place of its
    /// last report. Reports that arrive out of order are dropped, also across a restart of
    /// the instance, and so are those of an earlier start of the engine.
    pub fn note_report(
        &mut self,
        now: ClockTime,
        source: &LoadSource,
        engine: EngineKey,
        load: EngineLoad,
    ) {
        let is_full = self.reports >= MAX_REPORTS;
        if is_full && !self.engines.contains_key(&engine.hash) {
            return;
        }
        let known = self.engines.entry(engine.hash).or_insert(TrackedEngine {
            start: engine.start,
            reports: BTreeMap::new(),
        });
        if engine.start < known.start && known.reports.values().any(|report| report.is_live(now)) {
            return;
        }
        if engine.start != known.start {
            self.reports -= known.reports.len();
            known.reports.clear();
            known.start = engine.start;
        }
        let last = known.reports.get(&source.instance);
        if last.is_some_and(|last| (last.start, last.counter) >= (source.start, source.counter)) {
            return;
        }
        if last.is_none() && is_full {
            return;
        }
        let is_repeat = last.is_some_and(|last| last.load.prefill_ms == load.prefill_ms);
        let prefills_since = last.filter(|_| is_repeat).map(|last| last.prefills_since);
        let report = InstanceReport {
            start: source.start,
            counter: source.counter,
            received_at: now,
            prefills_since: prefills_since.unwrap_or(now),
            load,
        };
        let replaced = known.reports.insert(source.instance.clone(), report);
        self.reports += usize::from(replaced.is_none());
    }

    /// Returns the load that all instances but `asker` have placed on an engine.
    pub fn load_without(
        &self,
        now: ClockTime,
        engine: EngineKey,
        asker: &InstanceId,
    ) -> TrackedLoad {
        let mut tracked = TrackedLoad {
            engine,
            load: EngineLoad::default(),
            oldest: TimeSpan::ZERO,
        };
        let known = self.engines.get(&engine.hash);
        let Some(known) = known.filter(|known| known.start == engine.start) else {
            return tracked;
        };
        for (instance, report) in &known.reports {
            if instance == asker || !report.is_live(now) || report.load.is_empty() {
                continue;
            }
            tracked.load.add(&report.remaining(now));
            tracked.oldest = tracked.oldest.max(now.since(report.received_at));
        }
        tracked
    }

    /// Removes what has expired.
    pub fn sweep(&mut self, now: ClockTime) {
        for known in self.engines.values_mut() {
            known.reports.retain(|_, report| report.is_live(now));
        }
        self.engines.retain(|_, known| !known.reports.is_empty());
        let counts = self.engines.values().map(|known| known.reports.len());
        self.reports = counts.sum();
    }

    /// The number of engines with reports.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether no report is kept.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }
}
