//! Urgent records: sent to all peers at once, without waiting for the log.
//!
//! Withdrawals, quarantines and drain marks are flooded over the peer connections.
//! Each process forwards only records that it has not seen before, so a record
//! reaches every instance that is reachable over any path, and forwarding ends.

use std::collections::{BTreeSet, VecDeque};

use xxhash_rust::xxh3::xxh3_128;

/// Number of records kept, to send to new peers and to drop repeats.
const MAX_REMEMBERED_RECORDS: usize = 1_024;

/// The urgent records that this process has seen most recently.
#[derive(Clone, Debug, Default)]
pub struct UrgentRecordCache {
    seen: BTreeSet<u128>,
    recent: VecDeque<String>,
}

impl UrgentRecordCache {
    /// Creates an empty cache.
    pub fn new() -> UrgentRecordCache {
        UrgentRecordCache::default()
    }

    /// Adds a record, given as JSON; returns whether it is new.
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

    /// The kept records as JSON, oldest first.
    pub fn recent(&self) -> impl Iterator<Item = &String> {
        self.recent.iter()
    }
}
