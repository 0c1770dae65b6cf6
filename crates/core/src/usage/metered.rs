//! Counting requests by window at the entries, and adding the counts up.
//!
//! An entry may be killed at any moment and has no disk, so it publishes its
//! counts several times in a window, always in full: a count that is published
//! twice, or whose acknowledgement was lost, is not added twice.

use std::collections::BTreeMap;

use crate::{
    ids::{InstanceId, OrganisationId},
    records::UsageWindow,
};

/// How many windows back an entry goes on publishing: an outage of the store may
/// outlast some.
const WINDOWS_KEPT: usize = 8;

/// The requests of each organisation that began to run in a window.
pub type MeteredCounts = BTreeMap<OrganisationId, u64>;

/// Who counted: an instance and which of its starts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MeterWriter {
    /// The instance.
    pub instance: InstanceId,
    /// Tells its starts apart.
    pub start: u64,
}

/// The counts of one entry.
#[derive(Clone, Debug, Default)]
pub struct UsageMeter {
    windows: BTreeMap<UsageWindow, MeteredCounts>,
    unpublished: BTreeMap<UsageWindow, u64>,
}

impl UsageMeter {
    /// Nothing counted.
    pub fn new() -> UsageMeter {
        UsageMeter::default()
    }

    /// A request of the organisation began to run in `window`.
    pub fn count(&mut self, window: UsageWindow, organisation: &OrganisationId) {
        let counts = self.windows.entry(window).or_default();
        *counts.entry(organisation.clone()).or_default() += 1;
        *self.unpublished.entry(window).or_default() += 1;
        while self.windows.len() > WINDOWS_KEPT {
            if let Some((oldest, _)) = self.windows.pop_first() {
                self.unpublished.remove(&oldest);
            }
        }
    }

    /// The windows with news, in full. They stay news until [`UsageMeter::mark_published`].
    pub fn unpublished(&self) -> Vec<(UsageWindow, MeteredCounts)> {
        let windows = self.windows.iter();
        let changed = windows.filter(|(window, _)| self.unpublished.contains_key(window));
        changed
            .map(|(window, counts)| (*window, counts.clone()))
            .collect()
    }

    /// The last windows, in full.
    pub fn last_windows(&self, count: usize) -> Vec<(UsageWindow, MeteredCounts)> {
        let last = self.windows.iter().rev().take(count);
        last.map(|(window, counts)| (*window, counts.clone()))
            .collect()
    }

    /// Whether anything was counted in the window.
    pub fn has_counted(&self, window: UsageWindow) -> bool {
        self.windows.contains_key(&window)
    }

    /// The store acknowledged these.
    pub fn mark_published(&mut self, news: &[(UsageWindow, MeteredCounts)]) {
        for (window, counts) in news {
            if self.windows.get(window) == Some(counts) {
                self.unpublished.remove(window);
            }
        }
    }
}

/// The counts of all entries, as published.
#[derive(Clone, Debug, Default)]
pub struct UsageLedger {
    windows: BTreeMap<UsageWindow, BTreeMap<MeterWriter, MeteredCounts>>,
    /// The window that each writer was in when it last published.
    reached: BTreeMap<InstanceId, UsageWindow>,
}

impl UsageLedger {
    /// Nothing published.
    pub fn new() -> UsageLedger {
        UsageLedger::default()
    }

    /// Takes what was published; later words of a writer replace earlier ones.
    pub fn record(&mut self, window: UsageWindow, writer: MeterWriter, counts: MeteredCounts) {
        let writers = self.windows.entry(window).or_default();
        writers.insert(writer, counts);
        while self.windows.len() > 2 * WINDOWS_KEPT {
            self.windows.pop_first();
        }
    }

    /// A writer published while it was in `window`: whatever it counted in earlier
    /// ones is known.
    pub fn note_reached(&mut self, instance: InstanceId, window: UsageWindow) {
        let reached = self.reached.entry(instance).or_insert(window);
        *reached = window.max(*reached);
    }

    /// Whether the instance has published everything that it counted in `window`.
    pub fn is_complete(&self, instance: &InstanceId, window: UsageWindow) -> bool {
        self.reached
            .get(instance)
            .is_some_and(|reached| *reached > window)
    }

    /// Instances that published in `window` or the one before it, and not yet after it.
    pub fn pending(&self, window: UsageWindow) -> impl Iterator<Item = &InstanceId> {
        let is_pending = move |reached: UsageWindow| reached == window || reached.next() == window;
        let pending = self
            .reached
            .iter()
            .filter(move |(_, reached)| is_pending(**reached));
        pending.map(|(instance, _)| instance)
    }

    /// The sum of a window.
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
