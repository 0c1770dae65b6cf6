//! Records that can't wait for the log, passed on by all to all.
//!
//! Withdrawals, quarantines and marks are told to peers at once. Each process
//! passes on what it has not seen before, so a note reaches everyone that any
//! path leads to, and ends.

use std::collections::{BTreeSet, VecDeque};

use xxhash_rust::xxh3::xxh3_128;

/// How many notes are remembered, to pass on to new peers and to stop repeats.
const MAX_REMEMBERED_RECORDS: usize = 1_024;

/// The notes that this process has seen lately.
#[derive(Clone, Debug, Default)]
pub struct UrgentRecordCache {
    seen: BTreeSet<u128>,
    recent: VecDeque<String>,
}

impl UrgentRecordCache {
    /// No note seen yet.
    pub fn new() -> UrgentRecordCache {
        UrgentRecordCache::default()
    }

    /// Takes a note; answers whether it has not been seen before.
    pub fn insert(&mut self, payload: &str) -> bool {
        if !self.seen.insert(xxh3_128(payload.as_bytes())) {
            return false;
        }
        self.recent.push_back(payload.to_string());
        if self.recent.len() > MAX_REMEMBERED_RECORDS
            && let Some(oldest) = self.recent.pop_front()
        {
            self.seen.remove(&xxh3_128(oldest.as_bytes()));
        }
        true
    }

    /// The notes to tell a new peer.
    pub fn recent(&self) -> impl Iterator<Item = &String> {
        self.recent.iter()
    }
}
