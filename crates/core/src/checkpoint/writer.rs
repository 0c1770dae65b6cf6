//! Writing checkpoints: when, and in which parts.

use std::collections::VecDeque;

use crate::{
    checkpoint::CompleteCheckpoint,
    clock::{ClockTime, TimeSpan},
    ids::LogOffset,
    records::{CheckpointItem, CheckpointPart},
    units::ByteSize,
    view::FleetView,
};

/// About how large a part may be.
pub const PART_SIZE: ByteSize = ByteSize::new(48 * 1024);

/// What the log still keeps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct KeptRange {
    /// The oldest offset that is kept.
    pub first_kept: LogOffset,
    /// The offset that the next append will get.
    pub end: LogOffset,
}

/// When the next checkpoint is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckpointSchedule {
    every_records: u64,
    every: TimeSpan,
    started_at: ClockTime,
}

impl CheckpointSchedule {
    /// A schedule that starts at `now` and asks for a checkpoint after
    /// `every_records` records or after `every`, whichever comes first. Both
    /// must lie well below what the log keeps.
    pub fn new(now: ClockTime, every_records: u64, every: TimeSpan) -> CheckpointSchedule {
        CheckpointSchedule {
            every_records,
            every,
            started_at: now,
        }
    }

    /// Whether a checkpoint is due at `now` for a reader whose next offset is
    /// `next`. Besides count and time, a newest checkpoint that has come into
    /// the older half of what the log keeps is due at once: retention may be
    /// shorter than the settings believe.
    pub fn is_due(
        &self,
        now: ClockTime,
        next: LogOffset,
        kept: KeptRange,
        newest: Option<CompleteCheckpoint>,
    ) -> bool {
        let from = newest.map_or(LogOffset::START, |newest| newest.as_of.next());
        let records = next.number().saturating_sub(from.number());
        let own_parts = newest.map_or(0, |newest| u64::from(newest.parts));
        if records == 0 {
            return false;
        }
        if records >= self.every_records.max(own_parts * 2) {
            return true;
        }
        let read_at = newest.map_or(self.started_at, |newest| newest.read_at);
        if now.since(read_at) >= self.every {
            return true;
        }
        let forgets = kept.first_kept > LogOffset::START;
        let span = kept.end.number().saturating_sub(kept.first_kept.number());
        let middle = kept.first_kept.number() + span / 2;
        forgets && from.number() < middle && records > own_parts * 2
    }
}

/// One checkpoint that is being written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckpointWriter {
    parts: VecDeque<CheckpointPart>,
}

impl CheckpointWriter {
    /// The checkpoint of `view`, written under the fencing number `fence` in
    /// parts of about `size`. None for a view of nothing.
    pub fn new(fence: LogOffset, view: &FleetView, size: ByteSize) -> Option<CheckpointWriter> {
        let as_of = LogOffset::new(view.next_offset().number().checked_sub(1)?);
        let slices = split(view.checkpoint(), size);
        let parts = slices.len() as u32;
        let part = |(part, items): (usize, Vec<CheckpointItem>)| CheckpointPart {
            fence,
            as_of,
            part: part as u32,
            parts,
            items,
        };
        Some(CheckpointWriter {
            parts: slices.into_iter().enumerate().map(part).collect(),
        })
    }

    /// The next part to append.
    pub fn next_part(&mut self) -> Option<CheckpointPart> {
        self.parts.pop_front()
    }

    /// How many parts are left.
    pub fn parts_left(&self) -> usize {
        self.parts.len()
    }
}

/// Splits `items` into slices of about `size` each as JSON; at least one, so that
/// the checkpoint of an empty state is complete too.
fn split(items: Vec<CheckpointItem>, size: ByteSize) -> Vec<Vec<CheckpointItem>> {
    let mut slices = vec![Vec::new()];
    let mut filled = 0;
    for item in items {
        let bytes = serde_json::to_string(&item).map_or(0, |text| text.len() as u64);
        if filled > 0 && filled + bytes > size.count() {
            slices.push(Vec::new());
            filled = 0;
        }
        filled += bytes;
        if let Some(slice) = slices.last_mut() {
            slice.push(item);
        }
    }
    slices
}
