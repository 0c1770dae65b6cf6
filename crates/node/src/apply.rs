//! Folding entries into the view, and telling what changed.

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
    /// Applies an entry, read from the log or relayed by a peer. One beyond the
    /// next is left out (see [`FleetView::is_next`]).
    pub fn apply(&self, entry: &LogEntry) {
        self.apply_with(entry, || follow::encode(entry));
    }

    pub(crate) fn apply_raw(&self, raw: RawEntry) {
        let entry = follow::decode(&raw);
        self.apply_with(&entry, || raw);
    }

    /// Events go out before the progress does, and both under the view's lock:
    /// whoever waits for an offset and then looks for its event would otherwise
    /// miss it, and of two entries applied at once the older could set the
    /// progress back.
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

    /// Takes over a view that was restored from a checkpoint, if it is further
    /// than the present one. What was withdrawn in the present one stays so.
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

    /// Tells what changed, and then how far the view has come, while the view's
    /// lock is held: whoever waits for an offset and then looks for its event would
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

    /// Notes a read of the log that was asked for at `asked` and found its end.
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
