//! The prefix cache: digests of prompt prefixes in limited memory, the least
//! recently used evicted first.

use std::collections::{BTreeMap, VecDeque};

use bluebell_core::clock::{ClockTime, TimeSpan};
use bluebell_endpoint::api::CacheEvent;

/// How many events are kept for readers that are late.
const EVENT_LIMIT: usize = 10_000;

/// Blocks that are cached, and the events of their coming and going.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    used_at: BTreeMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
    events: VecDeque<(ClockTime, CacheEvent)>,
    sequence: u64,
    gap: u64,
}

impl PrefixCache {
    /// An empty cache of `capacity` blocks, which loses every `gap`-th event.
    pub fn new(capacity: usize, gap: u64) -> PrefixCache {
        PrefixCache {
            capacity,
            used_at: BTreeMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            events: VecDeque::new(),
            sequence: 0,
            gap,
        }
    }

    /// How many of a prompt's leading blocks are cached.
    pub fn hits(&self, digests: &[u64]) -> usize {
        let cached = |digest: &&u64| self.used_at.contains_key(digest);
        digests.iter().take_while(cached).count()
    }

    /// Uses a prompt's blocks: those that are new are stored.
    pub fn insert(&mut self, now: ClockTime, digests: &[u64]) {
        for digest in digests {
            self.uses += 1;
            match self.used_at.insert(*digest, self.uses) {
                Some(before) => drop(self.by_use.remove(&before)),
                None => self.publish(now, *digest, true),
            }
            self.by_use.insert(self.uses, *digest);
        }
        while self.used_at.len() > self.capacity {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                break;
            };
            self.used_at.remove(&oldest);
            self.publish(now, oldest, false);
        }
    }

    fn publish(&mut self, now: ClockTime, digest: u64, stored: bool) {
        self.sequence += 1;
        if self.gap > 0 && self.sequence.is_multiple_of(self.gap) {
            return;
        }
        if self.events.len() == EVENT_LIMIT {
            self.events.pop_front();
        }
        let event = CacheEvent {
            sequence: self.sequence,
            prefix: format!("{digest:016x}"),
            stored,
        };
        self.events.push_back((now, event));
    }

    /// Events from number `from` on that are at least `lag` old.
    pub fn events(&self, now: ClockTime, lag: TimeSpan, from: u64) -> Vec<CacheEvent> {
        let seen = self
            .events
            .iter()
            .filter(|(at, event)| event.sequence >= from && now.since(*at) >= lag);
        seen.map(|(_, event)| event.clone()).collect()
    }
}
