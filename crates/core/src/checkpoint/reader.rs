//! Reads checkpoints and finds the newest complete one.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{
    clock::ClockTime,
    ids::LogOffset,
    records::{CheckpointItem, CheckpointPart},
};

/// Maximum number of incomplete checkpoints. Older ones are dropped, such as that of a
/// holder that was killed between two parts.
const MAX_INCOMPLETE: usize = 4;

/// A checkpoint of which all parts have been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct CompleteCheckpoint {
    /// The offset of the last log entry that the state includes.
    pub as_of: LogOffset,
    /// The offset of the last part.
    pub last_part: LogOffset,
    /// The number of parts.
    pub parts: u32,
    /// When the last part was read, on the reader's clock.
    pub read_at: ClockTime,
}

/// A complete checkpoint with its items.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AssembledCheckpoint {
    /// The offset of the last log entry that the state includes.
    pub as_of: LogOffset,
    /// The items of all parts, in order.
    pub items: Vec<CheckpointItem>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct IncompleteCheckpoint {
    parts: u32,
    #[serde(skip)]
    read: BTreeMap<u32, Vec<CheckpointItem>>,
}

/// The checkpoints in the part of the log that has been read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CheckpointReader {
    #[serde(skip)]
    keeps_items: bool,
    #[serde(skip)]
    open: BTreeMap<(LogOffset, LogOffset), IncompleteCheckpoint>,
    newest: Option<CompleteCheckpoint>,
    #[serde(skip)]
    assembled: Option<AssembledCheckpoint>,
}

impl CheckpointReader {
    /// Creates a reader that detects complete checkpoints without keeping their items.
    pub fn new() -> CheckpointReader {
        CheckpointReader::default()
    }

    /// Creates a reader that also keeps the items of the newest complete checkpoint, to
    /// restore a view from.
    pub fn with_items() -> CheckpointReader {
        CheckpointReader {
            keeps_items: true,
            ..CheckpointReader::default()
        }
    }

    /// Applies a part read at `offset` at the time `now` of the reader's clock.
    pub fn apply(&mut self, now: ClockTime, offset: LogOffset, part: &CheckpointPart) {
        let newest = self.newest.map(|newest| newest.as_of);
        let outdated = newest.is_some_and(|newest| part.as_of <= newest);
        if outdated || part.part >= part.parts || part.as_of >= offset {
            return;
        }
        let key = (part.as_of, part.fence);
        let checkpoint = self
            .open
            .entry(key)
            .or_insert_with(|| IncompleteCheckpoint {
                parts: part.parts,
                read: BTreeMap::new(),
            });
        if checkpoint.parts != part.parts {
            return;
        }
        let items = match self.keeps_items {
            true => part.items.clone(),
            false => Vec::new(),
        };
        checkpoint.read.insert(part.part, items);
        if checkpoint.read.len() == part.parts as usize {
            self.complete(now, offset, part);
        }
        while self.open.len() > MAX_INCOMPLETE {
            self.open.pop_first();
        }
    }

    fn complete(&mut self, now: ClockTime, offset: LogOffset, part: &CheckpointPart) {
        let Some(completed) = self.open.remove(&(part.as_of, part.fence)) else {
            return;
        };
        self.open.retain(|(as_of, _), _| *as_of > part.as_of);
        self.newest = Some(CompleteCheckpoint {
            as_of: part.as_of,
            last_part: offset,
            parts: part.parts,
            read_at: now,
        });
        if self.keeps_items {
            self.assembled = Some(AssembledCheckpoint {
                as_of: part.as_of,
                items: completed.read.into_values().flatten().collect(),
            });
        }
    }

    /// The newest complete checkpoint.
    pub fn newest(&self) -> Option<CompleteCheckpoint> {
        self.newest
    }

    /// Returns the newest complete checkpoint if the log still keeps the entry after it.
    /// `first_kept` is the oldest offset that the log keeps.
    pub fn into_usable(self, first_kept: LogOffset) -> Option<AssembledCheckpoint> {
        self.assembled
            .filter(|assembled| assembled.as_of.next() >= first_kept)
    }
}
