//! The last record of each writer, by which repeated appends are detected.
//!
//! An append whose answer was lost is sent again, so it may be in the log twice; one
//! that timed out may even be stored after the next record of its writer. Without this
//! table an entry could claim a charge twice, or a delta of usage could be billed twice.
//! A writer has at most one append in flight, so a record is a copy if its sequence
//! number is not greater than the last one read.
//!
//! The table is bounded, and evictions depend on the log alone: two readers that evict
//! different writers would disagree on a late copy.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{
    ids::{LogOffset, WriterId},
    records::CheckpointItem,
};

/// Maximum number of writers in the table; those with the oldest last record are evicted.
/// A late copy is dropped unless this many other writers have appended since the first
/// copy.
pub const MAX_WRITERS: usize = 8_192;

/// The sequence number and offset of the last record of one writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct WriterPosition {
    /// The sequence number that the writer gave to the record.
    pub sequence: u64,
    /// The offset of the record.
    pub offset: LogOffset,
}

/// The last records of the writers that appended most recently.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct WriterTable {
    #[serde(rename = "marks")]
    positions: BTreeMap<WriterId, WriterPosition>,
    #[serde(skip)]
    by_offset: BTreeMap<LogOffset, WriterId>,
}

impl WriterTable {
    /// Creates an empty table.
    pub fn new() -> WriterTable {
        WriterTable::default()
    }

    /// Records the record `sequence` of `writer` at `offset`. Returns whether the record is to
    /// be applied, which a second copy is not.
    pub fn accept(&mut self, writer: &WriterId, sequence: u64, offset: LogOffset) -> bool {
        let last = self.positions.get(writer);
        if last.is_some_and(|last| sequence <= last.sequence) {
            return false;
        }
        self.insert(writer, WriterPosition { sequence, offset });
        true
    }

    fn insert(&mut self, writer: &WriterId, position: WriterPosition) {
        if let Some(last) = self.positions.insert(writer.clone(), position) {
            self.by_offset.remove(&last.offset);
        }
        self.by_offset.insert(position.offset, writer.clone());
        while self.positions.len() > MAX_WRITERS {
            let Some((_, oldest)) = self.by_offset.pop_first() else {
                return;
            };
            self.positions.remove(&oldest);
        }
    }

    /// The last applied record of `writer`.
    pub fn last_record(&self, writer: &WriterId) -> Option<WriterPosition> {
        self.positions.get(writer).copied()
    }

    /// Returns the table as checkpoint items.
    pub fn checkpoint(&self) -> Vec<CheckpointItem> {
        let item = |(writer, position): (&WriterId, &WriterPosition)| CheckpointItem::Writer {
            writer: writer.clone(),
            sequence: position.sequence,
            offset: position.offset,
        };
        self.positions.iter().map(item).collect()
    }

    /// Restores a writer from a checkpoint item; ignores items of other kinds.
    pub fn restore(&mut self, item: &CheckpointItem) {
        if let CheckpointItem::Writer {
            writer,
            sequence,
            offset,
        } = item
        {
            let position = WriterPosition {
                sequence: *sequence,
                offset: *offset,
            };
            self.insert(writer, position);
        }
    }
}
