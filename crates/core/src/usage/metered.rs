//! Counts requests by usage window at the entries, and sums the counts up.
//!
//! An entry may be killed at any time and has no disk, so it publishes its counts
//! several times in each window. It always publishes a window's complete counts, so a
//! count that is published twice, or whose acknowledgement was lost, is not added
//! twice.

use std::collections::BTreeMap;

use crate::{
    ids::{InstanceId, OrganisationId},
    records::UsageWindow,
};

/// How many windows an entry keeps for publishing: an outage of the store may last for
/// several windows.
const MAX_WINDOWS: usize = 8;

/// For how many whole windows an instance that publishes nothing may be cut off from the store
/// and come back. Instances publish several times in each window.
const MAX_SILENT_WINDOWS: u64 = 2;

/// The number of requests of each organisation that started to run in a window.
pub type MeteredCounts = BTreeMap<OrganisationId, u64>;

/// The origin of a count: one start of an instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MeterWriter {
    /// The instance.
    pub instance: InstanceId,
    /// A number that differs between the starts of the instance.
    pub start: u64,
}

/// Counts the requests of one entry by window.
#[derive(Clone, Debug, Default)]
pub struct UsageMeter {
    windows: BTreeMap<UsageWindow, MeteredCounts>,
    unpublished: BTreeMap<UsageWindow, u64>,
}

impl UsageMeter {
    /// Creates a meter without counts.
    pub fn new() -> UsageMeter {
        UsageMeter::default()
    }

    /// Counts a request of `organisation` that started to run in `window`.
    pub fn count(&mut self, window: UsageWindow, organisation: &OrganisationId) {
        let counts = self.windows.entry(window).or_default();
        *counts.entry(organisation.clone()).or_default() += 1;
        *self.unpublished.entry(window).or_default() += 1;
        while self.windows.len() > MAX_WINDOWS {
            if let Some((oldest, _)) = self.windows.pop_first() {
                self.unpublished.remove(&oldest);
            }
        }
    }

    /// The complete counts of the windows with unpublished changes, which remain
    /// unpublished until [`UsageMeter::mark_published`] is called.
    pub fn unpublished(&self) -> Vec<(UsageWindow, MeteredCounts)> {
        let windows = self.windows.iter();
        let changed = windows.filter(|(window, _)| self.unpublished.contains_key(window));
        changed
            .map(|(window, counts)| (*window, counts.clone()))
            .collect()
    }

    /// The complete counts of the last `count` windows, latest first.
    pub fn last_windows(&self, count: usize) -> Vec<(UsageWindow, MeteredCounts)> {
        let last = self.windows.iter().rev().take(count);
        last.map(|(window, counts)| (*window, counts.clone()))
            .collect()
    }

    /// Whether any request was counted in `window`.
    pub fn has_counted(&self, window: UsageWindow) -> bool {
        self.windows.contains_key(&window)
    }

    /// Records that the store acknowledged these counts. A window whose counts have
    /// changed since remains unpublished.
    pub fn mark_published(&mut self, published: &[(UsageWindow, MeteredCounts)]) {
        for (window, counts) in published {
            if self.windows.get(window) == Some(counts) {
                self.unpublished.remove(window);
            }
        }
    }
}

/// The published counts of all entries.
#[derive(Clone, Debug, Default)]
pub struct UsageLedger {
    windows: BTreeMap<UsageWindow, BTreeMap<MeterWriter, MeteredCounts>>,
    /// The latest window in which each instance has published.
    reached: BTreeMap<InstanceId, UsageWindow>,
    /// The last start of each instance that has ended in order.
    ended: BTreeMap<InstanceId, u64>,
    /// The last start of each instance that has published.
    started: BTreeMap<InstanceId, u64>,
}

impl UsageLedger {
    /// Creates a ledger without counts.
    pub fn new() -> UsageLedger {
        UsageLedger::default()
    }

    /// Records published counts, which replace lower ones of the same writer and window. Counts of a
    /// writer only rise: lower ones are older, executed late by the store.
    pub fn record(&mut self, window: UsageWindow, writer: MeterWriter, counts: MeteredCounts) {
        let writers = self.windows.entry(window).or_default();
        let recorded = writers.entry(writer).or_default();
        for (organisation, count) in counts {
            let highest = recorded.entry(organisation).or_default();
            *highest = count.max(*highest);
        }
        while self.windows.len() > 2 * MAX_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Records that `instance` published during `window`: its counts of earlier windows
    /// are complete.
    pub fn note_reached(&mut self, instance: InstanceId, window: UsageWindow) {
        let reached = self.reached.entry(instance).or_insert(window);
        *reached = window.max(*reached);
    }

    /// Records what `writer` published during `window`, as [`UsageLedger::note_reached`], unless
    /// it has ended: others may publish for it later than its end.
    pub fn note_published(&mut self, writer: &MeterWriter, window: UsageWindow) {
        let started = self.started.entry(writer.instance.clone()).or_default();
        *started = writer.start.max(*started);
        let ended = self.ended.get(&writer.instance);
        if ended.is_none_or(|start| *start < writer.start) {
            self.note_reached(writer.instance.clone(), window);
        }
    }

    /// Records that `writer` has ended in order and published all of its counts. Nothing more
    /// is expected of its instance until it has started again. It may have done so already: the
    /// store executes some appends late.
    pub fn note_ended(&mut self, writer: &MeterWriter) {
        let started = self.started.get(&writer.instance);
        if started.is_some_and(|start| *start > writer.start) {
            return;
        }
        self.reached.remove(&writer.instance);
        let ended = self.ended.entry(writer.instance.clone()).or_default();
        *ended = writer.start.max(*ended);
    }

    /// Whether the published counts of `instance` in `window` are complete.
    pub fn is_complete(&self, instance: &InstanceId, window: UsageWindow) -> bool {
        self.reached
            .get(instance)
            .is_some_and(|reached| *reached > window)
    }

    /// The instances that published during `window` or the one before it, and not yet
    /// after it. One that has not published in [`MAX_SILENT_WINDOWS`] before the window
    /// `current` is gone and has nothing to publish.
    pub fn pending(
        &self,
        window: UsageWindow,
        current: UsageWindow,
    ) -> impl Iterator<Item = &InstanceId> {
        let is_pending = move |reached: UsageWindow| {
            let is_recent = reached == window || reached.next() == window;
            is_recent && reached.number() + MAX_SILENT_WINDOWS >= current.number()
        };
        let pending = self
            .reached
            .iter()
            .filter(move |(_, reached)| is_pending(**reached));
        pending.map(|(instance, _)| instance)
    }

    /// The sum of all published counts of `window`.
    pub fn sum(&self, window: UsageWindow) -> MeteredCounts {
        let mut sum = MeteredCounts::new();
        for counts in self
            .windows
            .get(&window)
            .into_iter()
            .flat_map(|w| w.values())
        {
            for (organisation, count) in counts {
                *sum.entry(organisation.clone()).or_default() += count;
            }
        }
        sum
    }
}
