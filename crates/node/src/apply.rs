//! Applies log entries to the view and publishes the resulting events.

use bluebell_core::{
    clock::ClockTime,
    ids::LogOffset,
    membership::LogEndConfirmation,
    records::{LogEntry, LogRecord},
    view::{FleetView, ViewEvent},
};
use bluebell_platform::api::RawEntry;

use crate::{
    buffer::RelayBuffer,
    follow,
    handle::{LogState, NodeHandle, lock},
};

impl NodeHandle {
    /// Applies an entry that was read from the log or relayed by a peer. An entry
    /// that is not the next one is ignored (see [`FleetView::is_next`]).
    pub fn apply(&self, entry: &LogEntry) {
        self.apply_with(entry, || follow::encode(entry));
    }

    pub(crate) fn apply_raw(&self, raw: RawEntry) {
        let entry = follow::decode(&raw);
        self.apply_with(&entry, || raw);
    }

    /// Publishes events before the progress, and both under the view's lock.
    /// Otherwise a caller that waits for an offset and then polls for its event
    /// could miss it, and of two entries applied concurrently the older could set
    /// the progress back.
    fn apply_with<Raw>(&self, entry: &LogEntry, raw: Raw)
    where
        Raw: FnOnce() -> RawEntry,
    {
        let now = self.state.clock.now();
        let mut log = self.log();
        if !log.view.is_next(entry.offset) {
            return;
        }
        if let LogRecord::Withdraw(withdrawal) = &entry.record {
            lock(&self.state.withdrawals).settle(&withdrawal.digest);
        }
        log.buffer.push(raw());
        let events = log.view.apply(now, entry);
        self.publish_change(&mut log, events);
    }

    /// Replaces the view with one restored from a checkpoint if that one is ahead
    /// of the current view; returns whether it was. Keys withdrawn in the current
    /// view stay withdrawn.
    pub(crate) fn replace_view(&self, mut restored: FleetView) -> bool {
        let mut log = self.log();
        if restored.next_offset() <= log.view.next_offset() {
            return false;
        }
        let events = restored.take_over(&log.view);
        log.view = restored;
        log.buffer = RelayBuffer::new();
        self.publish_change(&mut log, events);
        true
    }

    /// Publishes the events and then the progress while the view's lock is held:
    /// a caller that waits for an offset and then polls for its event would
    /// otherwise miss it.
    fn publish_change(&self, log: &mut LogState, events: Vec<ViewEvent>) {
        let next = log.view.next_offset();
        log.freshness.advance(next);
        self.publish_events(events);
        self.state.progress.send_if_modified(|progress| {
            let advanced = progress.next != next;
            progress.next = next;
            advanced
        });
    }

    pub(crate) fn publish_events(&self, events: Vec<ViewEvent>) {
        for event in events {
            let _ = self.state.events.send(event);
        }
    }

    /// Records a read of the log that was requested at `requested_at` and returned
    /// `end` as the end of the log.
    pub(crate) fn note_read(&self, requested_at: ClockTime, end: LogOffset) {
        self.confirm(LogEndConfirmation {
            at: requested_at,
            end,
        });
        let now = self.state.clock.now();
        self.state.progress.send_modify(|progress| {
            progress.read_at = Some(now);
            progress.caught_up |= progress.next >= end;
        });
    }

    pub(crate) fn confirm(&self, confirmation: LogEndConfirmation) {
        let mut log = self.log();
        let next = log.view.next_offset();
        log.freshness.confirm(confirmation, next);
    }

    pub(crate) fn note_caught_up(&self) {
        self.state.progress.send_if_modified(|progress| {
            let changed = !progress.caught_up;
            progress.caught_up = true;
            changed
        });
    }
}
