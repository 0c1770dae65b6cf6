//! The records of streams that are appended to a log of the store.
//!
//! Instances keep records in memory, and all of them may be killed at the same time. A few instances
//! of each failure domain therefore append the records in batches, and instances that start later
//! read them. The number of appends grows with the failure domains and not with the streams.

use std::collections::VecDeque;

use crate::streams::StreamRecord;

/// Maximum number of records that wait to be appended during an outage of the store. The oldest are
/// dropped: most of their streams have ended.
const MAX_PENDING: usize = 8_192;

/// Maximum number of records in one append.
const MAX_APPENDED: usize = 2_048;

/// The records that wait to be appended.
#[derive(Clone, Debug, Default)]
pub struct RecordQueue {
    pending: VecDeque<StreamRecord>,
}

impl RecordQueue {
    /// Creates an empty queue.
    pub fn new() -> RecordQueue {
        RecordQueue::default()
    }

    /// Adds records behind those that wait. Returns whether none waited before.
    pub fn add<Records>(&mut self, records: Records) -> bool
    where
        Records: IntoIterator<Item = StreamRecord>,
    {
        let was_empty = self.pending.is_empty();
        self.pending.extend(records);
        self.drop_excess();
        was_empty && !self.pending.is_empty()
    }

    /// Whether no record waits.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Removes and returns the records for the next append, the oldest first.
    pub fn take(&mut self) -> Vec<StreamRecord> {
        let count = self.pending.len().min(MAX_APPENDED);
        self.pending.drain(..count).collect()
    }

    /// Returns records that could not be appended to the front.
    pub fn restore(&mut self, records: Vec<StreamRecord>) {
        for record in records.into_iter().rev() {
            self.pending.push_front(record);
        }
        self.drop_excess();
    }

    fn drop_excess(&mut self) {
        let excess = self.pending.len().saturating_sub(MAX_PENDING);
        self.pending.drain(..excess);
    }
}
