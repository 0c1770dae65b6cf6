//! Decides when a checkpoint is due and splits it into parts.

use std::collections::VecDeque;

use crate::{
    checkpoint::CompleteCheckpoint,
    clock::{ClockTime, TimeSpan},
    ids::LogOffset,
    records::{CheckpointItem, CheckpointPart},
    units::ByteSize,
    view::FleetView,
};

/// The approximate size of a part.
pub const PART_SIZE: ByteSize = ByteSize::new(48 * 1024);

/// The range of offsets that the log keeps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct KeptRange {
    /// The oldest kept offset.
    pub first_kept: LogOffset,
    /// The offset of the next append.
    pub end: LogOffset,
}

/// Decides when the next checkpoint is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckpointSchedule {
    every_records: u64,
    every: TimeSpan,
    started_at: ClockTime,
}

impl CheckpointSchedule {
    /// Creates a schedule that starts at `now` and requires a checkpoint after
    /// `every_records` records or after the time `every`, whichever is reached first.
    /// Both must be well below the retention of the log.
    pub fn new(now: ClockTime, every_records: u64, every: TimeSpan) -> CheckpointSchedule {
        CheckpointSchedule {
            every_records,
            every,
            started_at: now,
        }
    }

    /// Whether a checkpoint is due at `now` for a reader whose next offset is `next`.
    /// A checkpoint is also due at once when the newest one lies in the older half of
    /// the kept range, because retention may be shorter than the settings assume.
    pub fn is_due(
        &self,
        now: ClockTime,
        next: LogOffset,
        kept: KeptRange,
        newest: Option<CompleteCheckpoint>,
    ) -> bool {
        let from = newest.map_or(LogOffset::START, |newest| newest.as_of.next());
        let records = next.number().saturating_sub(from.number());
        let newest_parts = newest.map_or(0, |newest| u64::from(newest.parts));
        if records == 0 {
            return false;
        }
        if records >= self.every_records.max(newest_parts * 2) {
            return true;
        }
        let read_at = newest.map_or(self.started_at, |newest| newest.read_at);
        if now.since(read_at) >= self.every {
            return true;
        }
        let has_dropped = kept.first_kept > LogOffset::START;
        let span = kept.end.number().saturating_sub(kept.first_kept.number());
        let middle = kept.first_kept.number() + span / 2;
        has_dropped && from.number() < middle && records > newest_parts * 2
    }
}

/// The parts of one checkpoint that are still to be appended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckpointWriter {
    parts: VecDeque<CheckpointPart>,
}

impl CheckpointWriter {
    /// Creates a checkpoint of `view` under the fencing number `fence`, in parts of about
    /// `size`. Returns `None` if the view has applied no entry.
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

    /// Removes and returns the next part to append.
    pub fn next_part(&mut self) -> Option<CheckpointPart> {
        self.parts.pop_front()
    }

    /// The number of parts that are still to be appended.
    pub fn parts_left(&self) -> usize {
        self.parts.len()
    }
}

/// Splits `items` into slices of about `size` each, measured as JSON. There is at least
/// one slice, so that the checkpoint of an empty state can be complete.
fn split(items: Vec<CheckpointItem>, size: ByteSize) -> Vec<Vec<CheckpointItem>> {
    let mut slices = vec![Vec::new()];
    let mut slice_bytes = 0;
    for item in items {
        let bytes = serde_json::to_string(&item).map_or(0, |text| text.len() as u64);
        if slice_bytes > 0 && slice_bytes + bytes > size.count() {
            slices.push(Vec::new());
            slice_bytes = 0;
        }
        slice_bytes += bytes;
        if let Some(slice) = slices.last_mut() {
            slice.push(item);
        }
    }
    slices
}
