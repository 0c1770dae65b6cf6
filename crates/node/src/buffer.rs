//! The last entries of the log, kept for peers that are behind.

use std::collections::VecDeque;

use bluebell_core::{ids::LogOffset, units::ByteSize};
use bluebell_platform::api::RawEntry;

/// The most entries that are kept.
const MAX_BUFFERED_ENTRIES: usize = 8_192;

/// The most bytes of payload that are kept.
const MAX_BUFFERED_SIZE: ByteSize = ByteSize::new(4 * 1024 * 1024);

/// The most entries, and about the most bytes, of one answer.
const MAX_ANSWER_ENTRIES: usize = 256;
const MAX_ANSWER_SIZE: ByteSize = ByteSize::new(128 * 1024);

/// Entries that have been applied, in the order of the log and without a gap.
#[derive(Clone, Debug, Default)]
pub struct RelayBuffer {
    entries: VecDeque<RawEntry>,
    bytes: usize,
}

impl RelayBuffer {
    /// Nothing kept yet.
    pub fn new() -> RelayBuffer {
        RelayBuffer::default()
    }

    /// Keeps an entry that follows the last one; after a gap only it is kept.
    pub fn push(&mut self, entry: RawEntry) {
        let follows = self
            .entries
            .back()
            .is_none_or(|last| last.offset.next() == entry.offset);
        if !follows {
            self.entries.clear();
            self.bytes = 0;
        }
        self.bytes += entry.payload.len();
        self.entries.push_back(entry);
        let full = |buffer: &RelayBuffer| {
            buffer.entries.len() > MAX_BUFFERED_ENTRIES
                || buffer.bytes as u64 > MAX_BUFFERED_SIZE.count()
        };
        while self.entries.len() > 1 && full(self) {
            if let Some(oldest) = self.entries.pop_front() {
                self.bytes -= oldest.payload.len();
            }
        }
    }

    /// The oldest offset that is kept; `next` if none is.
    pub fn first_buffered(&self, next: LogOffset) -> LogOffset {
        self.entries.front().map_or(next, |entry| entry.offset)
    }

    /// Entries from `from` on, as many as one answer holds.
    pub fn read(&self, from: LogOffset) -> Vec<RawEntry> {
        let Some(first) = self.entries.front() else {
            return Vec::new();
        };
        let Some(skip) = from.number().checked_sub(first.offset.number()) else {
            return Vec::new();
        };
        let mut bytes = 0;
        let fits = |entry: &&RawEntry| {
            let before = bytes;
            bytes += entry.payload.len() as u64;
            before < MAX_ANSWER_SIZE.count()
        };
        let entries = self.entries.iter().skip(skip as usize);
        entries
            .take(MAX_ANSWER_ENTRIES)
            .take_while(fits)
            .cloned()
            .collect()
    }
}
