//! Reading checkpoints: which is the newest that is complete.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{
    clock::ClockTime,
    ids::LogOffset,
    records::{CheckpointItem, CheckpointPart},
};

/// How many checkpoints may be incomplete at a time; older ones are given up,
/// such as that of a holder that was killed between two parts.
const OPEN_LIMIT: usize = 4;

/// A checkpoint of which all parts have been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct CompleteCheckpoint {
    /// The state is that after everything up to and with this offset.
    pub as_of: LogOffset,
    /// Where its last part stands.
    pub last_part: LogOffset,
    /// How many parts it has.
    pub parts: u32,
    /// When it was complete, on the reader's clock.
    pub read_at: ClockTime,
}

/// A complete checkpoint with its items.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AssembledCheckpoint {
    /// The state is that after everything up to and with this offset.
    pub as_of: LogOffset,
    /// The items.
    pub items: Vec<CheckpointItem>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct OpenCheckpoint {
    parts: u32,
    #[serde(skip)]
    read: BTreeMap<u32, Vec<CheckpointItem>>,
}

/// The checkpoints in the log, as far as they have been read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CheckpointReader {
    #[serde(skip)]
    keeps_items: bool,
    #[serde(skip)]
    open: BTreeMap<(LogOffset, LogOffset), OpenCheckpoint>,
    newest: Option<CompleteCheckpoint>,
    #[serde(skip)]
    assembled: Option<AssembledCheckpoint>,
}

impl CheckpointReader {
    /// A reader that notes which checkpoints are complete.
    pub fn new() -> CheckpointReader {
        CheckpointReader::default()
    }

    /// A reader that also keeps the items of the newest, to restore from.
    pub fn with_items() -> CheckpointReader {
        CheckpointReader {
            keeps_items: true,
            ..CheckpointReader::default()
        }
    }

    /// Applies a part read at `offset` at the reader's time `now`.
    pub fn apply(&mut self, now: ClockTime, offset: LogOffset, part: &CheckpointPart) {
        let newest = self.newest.map(|newest| newest.as_of);
        let outdated = newest.is_some_and(|newest| part.as_of <= newest);
        if outdated || part.part >= part.parts || part.as_of >= offset {
            return;
        }
        let key = (part.as_of, part.fence);
        let open = self.open.entry(key).or_insert_with(|| OpenCheckpoint {
            parts: part.parts,
            read: BTreeMap::new(),
        });
        if open.parts != part.parts {
            return;
        }
        let items = match self.keeps_items {
            true => part.items.clone(),
            false => Vec::new(),
        };
        open.read.insert(part.part, items);
        if open.read.len() == part.parts as usize {
            self.complete(now, offset, part);
        }
        while self.open.len() > OPEN_LIMIT {
            self.open.pop_first();
        }
    }

    fn complete(&mut self, now: ClockTime, offset: LogOffset, part: &CheckpointPart) {
        let Some(done) = self.open.remove(&(part.as_of, part.fence)) else {
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
                items: done.read.into_values().flatten().collect(),
            });
        }
    }

    /// The newest complete checkpoint.
    pub fn newest(&self) -> Option<CompleteCheckpoint> {
        self.newest
    }

    /// The newest complete checkpoint that can be read on from while the log
    /// keeps everything from `first_kept` on.
    pub fn into_usable(self, first_kept: LogOffset) -> Option<AssembledCheckpoint> {
        self.assembled
            .filter(|assembled| assembled.as_of.next() >= first_kept)
    }
}
