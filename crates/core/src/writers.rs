//! Which records of which writer have been read, to drop second copies.
//!
//! An append whose answer was lost is sent again, so it may stand in the log
//! twice; one that was given up may even land after its writer's next record.
//! Without this table a charge could be claimed twice by one entry, or a delta
//! of usage be billed twice. A writer has one append under way at a time, so a
//! sequence number that is not greater than the last one read marks a copy.
//!
//! The table is bounded, and what it forgets depends on the log alone: two
//! readers that forget different writers would disagree on a late copy.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{
    ids::{LogOffset, WriterId},
    records::CheckpointItem,
};

/// How many writers are remembered, the latest to write first. A late copy is
/// dropped unless this many others have appended since the first one.
pub const WRITER_LIMIT: usize = 8_192;

/// The last record of one writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct WriterPosition {
    /// The writer's own number for it.
    pub sequence: u64,
    /// Where it stands.
    pub offset: LogOffset,
}

/// The last record of every writer that is remembered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct WriterTable {
    marks: BTreeMap<WriterId, WriterPosition>,
    #[serde(skip)]
    by_offset: BTreeMap<LogOffset, WriterId>,
}

impl WriterTable {
    /// A table that remembers nobody.
    pub fn new() -> WriterTable {
        WriterTable::default()
    }

    /// Takes the record `sequence` of `writer` that stands at `offset`; answers
    /// whether it counts, which a second copy does not.
    pub fn accept(&mut self, writer: &WriterId, sequence: u64, offset: LogOffset) -> bool {
        let last = self.marks.get(writer);
        if last.is_some_and(|last| sequence <= last.sequence) {
            return false;
        }
        self.remember(writer, WriterPosition { sequence, offset });
        true
    }

    fn remember(&mut self, writer: &WriterId, mark: WriterPosition) {
        if let Some(last) = self.marks.insert(writer.clone(), mark) {
            self.by_offset.remove(&last.offset);
        }
        self.by_offset.insert(mark.offset, writer.clone());
        while self.marks.len() > WRITER_LIMIT {
            let Some((_, oldest)) = self.by_offset.pop_first() else {
                return;
            };
            self.marks.remove(&oldest);
        }
    }

    /// Where the last record of `writer` stands that counts.
    pub fn last_record(&self, writer: &WriterId) -> Option<WriterPosition> {
        self.marks.get(writer).copied()
    }

    /// The table as checkpoint items.
    pub fn checkpoint(&self) -> Vec<CheckpointItem> {
        let item = |(writer, mark): (&WriterId, &WriterPosition)| CheckpointItem::Writer {
            writer: writer.clone(),
            sequence: mark.sequence,
            offset: mark.offset,
        };
        self.marks.iter().map(item).collect()
    }

    /// Takes over a checkpoint item, if it is about a writer.
    pub fn restore(&mut self, item: &CheckpointItem) {
        if let CheckpointItem::Writer {
            writer,
            sequence,
            offset,
        } = item
        {
            let mark = WriterPosition {
                sequence: *sequence,
                offset: *offset,
            };
            self.remember(writer, mark);
        }
    }
}
