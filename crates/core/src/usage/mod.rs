//! Metered usage: entries append deltas, a record in the log closes each window, and
//! each closed window is reported once.
//!
//! A window's usage is the sum of the deltas in the log before the record that closes
//! it, so every process computes the same sums, and a repeated report equals the first
//! one. A later delta is not lost: it is added to the first window that is still open.

mod metered;
mod schedule;

use std::collections::BTreeMap;

pub use self::metered::{MeterWriter, MeteredCounts, UsageLedger, UsageMeter};
pub use self::schedule::{SETTLE_TIME, UsageSchedule};
use crate::{
    authority::LeaseState,
    clock::{ClockTime, TimeSpan},
    ids::LogOffset,
    records::{
        CheckpointItem, DutyName, UsageDelta, UsageLine, UsageWindow, WindowClose, WindowUsage,
    },
};

/// Usage by window, as recorded in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct UsageState {
    open: BTreeMap<UsageWindow, Vec<UsageLine>>,
    frozen: BTreeMap<UsageWindow, Vec<UsageLine>>,
    last_closed: Option<UsageWindow>,
}

impl UsageState {
    /// Creates the state before the first record of the log.
    pub fn new() -> UsageState {
        UsageState::default()
    }

    /// Adds the delta of an entry to the delta's window or, if that is closed, to the
    /// first window after the last closed one.
    pub fn meter(&mut self, _now: ClockTime, _offset: LogOffset, delta: &UsageDelta) {
        let first_open = self
            .last_closed
            .map_or(UsageWindow::new(0), UsageWindow::next);
        let lines = self.open.entry(delta.window.max(first_open)).or_default();
        for line in &delta.lines {
            add_line(lines, line);
        }
    }

    /// Closes and freezes a window, if the record is valid: it carries the current
    /// fencing number of the `usage` duty, and windows are closed in order.
    pub fn close(
        &mut self,
        _now: ClockTime,
        _offset: LogOffset,
        close: &WindowClose,
        leases: &LeaseState,
    ) {
        if !leases.is_current(&DutyName::Usage, close.fence) {
            return;
        }
        if self.last_closed.is_some_and(|last| close.window <= last) {
            return;
        }
        let first = self.open.keys().next();
        if first.is_some_and(|first| *first < close.window) {
            return;
        }
        self.last_closed = Some(close.window);
        let lines = self.open.remove(&close.window).unwrap_or_default();
        self.frozen.insert(close.window, lines);
    }

    /// Records that a window has been reported, and drops its usage.
    pub fn note_reported(&mut self, window: UsageWindow) {
        self.frozen.remove(&window);
    }

    /// The window to close next: the first one with usage, once `grace` has passed
    /// since its end. Windows are `length` long.
    pub fn next_to_close(
        &self,
        now: ClockTime,
        length: TimeSpan,
        grace: TimeSpan,
    ) -> Option<UsageWindow> {
        let current = UsageWindow::at(now - grace, length);
        let first = self.open.keys().next().copied()?;
        (first < current).then_some(first)
    }

    /// The frozen windows without a settled report, oldest first.
    pub fn unreported(&self) -> impl Iterator<Item = (UsageWindow, &Vec<UsageLine>)> {
        self.frozen.iter().map(|(window, lines)| (*window, lines))
    }

    /// The usage of a window that is frozen and not yet reported.
    pub fn frozen(&self, window: UsageWindow) -> Option<&Vec<UsageLine>> {
        self.frozen.get(&window)
    }

    /// The last closed window.
    pub fn last_closed(&self) -> Option<UsageWindow> {
        self.last_closed
    }

    /// Returns the windows as checkpoint items.
    pub fn checkpoint(&self) -> Vec<CheckpointItem> {
        let item = |frozen: bool| {
            move |(window, lines): (&UsageWindow, &Vec<UsageLine>)| CheckpointItem::Window {
                figures: WindowUsage {
                    window: *window,
                    frozen,
                    lines: lines.clone(),
                },
            }
        };
        let closed = self
            .last_closed
            .map(|window| CheckpointItem::ClosedWindow { window });
        let frozen = self.frozen.iter().map(item(true));
        let open = self.open.iter().map(item(false));
        closed.into_iter().chain(frozen).chain(open).collect()
    }

    /// Restores a window from a checkpoint item; ignores items of other kinds.
    pub fn restore(&mut self, _now: ClockTime, item: &CheckpointItem) {
        match item {
            CheckpointItem::Window { figures } => {
                let windows = match figures.frozen {
                    true => &mut self.frozen,
                    false => &mut self.open,
                };
                let lines = figures.lines.clone();
                windows.entry(figures.window).or_insert(lines);
            }
            CheckpointItem::ClosedWindow { window } => {
                self.last_closed = self.last_closed.max(Some(*window));
            }
            _ => {}
        }
    }
}

fn add_line(lines: &mut Vec<UsageLine>, line: &UsageLine) {
    let key = |line: &UsageLine| (line.organisation.clone(), line.service.clone());
    match lines.binary_search_by_key(&key(line), key) {
        Ok(index) => {
            let sum = &mut lines[index];
            sum.requests = sum.requests.saturating_add(line.requests);
            sum.prompt_tokens = sum.prompt_tokens + line.prompt_tokens;
            sum.output_tokens = sum.output_tokens + line.output_tokens;
        }
        Err(index) => lines.insert(index, line.clone()),
    }
}
