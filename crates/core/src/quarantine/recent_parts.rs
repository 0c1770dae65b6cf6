//! Parts of prompts that endpoints answered lately.

use std::{collections::HashSet, mem};

use crate::{
    clock::{ClockTime, TimeSpan},
    quarantine::PartHash,
};

/// The length of a period. A part is remembered for one to two periods of those in which anything is
/// answered: while all endpoints are down, no part is.
const PERIOD: TimeSpan = TimeSpan::from_millis(3_000);

/// Maximum number of parts of one period. Beyond it, parts are remembered for a shorter time.
const MAX_PARTS: usize = 4_096;

/// The parts that were answered in the current period and in the one before.
#[derive(Clone, Debug, Default)]
pub struct RecentParts {
    current: HashSet<PartHash>,
    previous: HashSet<PartHash>,
    began_at: ClockTime,
}

impl RecentParts {
    /// Records that an answer to prompts with these parts was given.
    pub fn note(&mut self, now: ClockTime, parts: &[PartHash]) {
        let is_over = now.since(self.began_at) >= PERIOD || self.current.len() > MAX_PARTS;
        if is_over {
            self.previous = mem::take(&mut self.current);
            self.began_at = now;
        }
        self.current.extend(parts);
    }

    /// Whether the part was answered lately.
    pub fn contains(&self, part: PartHash) -> bool {
        self.current.contains(&part) || self.previous.contains(&part)
    }
}
