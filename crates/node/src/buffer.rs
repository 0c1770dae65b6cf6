//! Buffer of the latest log entries, relayed to peers that are behind.

use std::collections::VecDeque;

use bluebell_core::{ids::LogOffset, units::ByteSize};
use bluebell_platform::api::RawEntry;

/// Maximum number of buffered entries.
const MAX_BUFFERED_ENTRIES: usize = 8_192;

/// Maximum payload size of the buffered entries.
const MAX_BUFFERED_SIZE: ByteSize = ByteSize::new(4 * 1024 * 1024);

/// Maximum number of entries in one answer, and the payload size after which no
/// further entry is added to it.
const MAX_ANSWER_ENTRIES: usize = 256;
const MAX_ANSWER_SIZE: ByteSize = ByteSize::new(128 * 1024);

/// Applied entries in log order, without gaps.
#[derive(Clone, Debug, Default)]
pub struct RelayBuffer {
    entries: VecDeque<RawEntry>,
    bytes: usize,
}

impl RelayBuffer {
    /// Creates an empty buffer.
    pub fn new() -> RelayBuffer {
        RelayBuffer::default()
    }

    /// Adds an entry. If it does not directly follow the last one, the buffered
    /// entries are dropped first.
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

    /// The offset of the oldest buffered entry; `next` if the buffer is empty.
    pub fn first_buffered(&self, next: LogOffset) -> LogOffset {
        self.entries.front().map_or(next, |entry| entry.offset)
    }

    /// The entries from `from` on, limited to the size of one answer. Empty if the
    /// entry at `from` is not buffered.
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
