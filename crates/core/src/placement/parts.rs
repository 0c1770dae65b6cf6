//! Records which engines hold which parts of prompts.

use std::collections::HashMap;

use crate::{
    clock::{ClockTime, TimeSpan},
    placement::PromptPart,
};

/// How long an engine is assumed to hold a part after its last use: less than a busy
/// engine takes to replace the contents of its memory.
const PART_TTL: TimeSpan = TimeSpan::from_secs(12);

/// Maximum number of parts recorded. If more are left once the expired ones are
/// removed, all are dropped.
const MAX_PARTS: usize = 20_000;

#[derive(Clone, Copy, Debug)]
struct PartLocation {
    engine: u32,
    used_at: ClockTime,
}

/// The parts that each engine is known to hold, as recorded by this entry.
#[derive(Clone, Debug, Default)]
pub struct PartLocations {
    locations: HashMap<u64, Vec<PartLocation>>,
    last_sweep: ClockTime,
}

impl PartLocations {
    /// Creates an empty record.
    pub fn new() -> PartLocations {
        PartLocations::default()
    }

    /// Records that the engine with this number prefills or holds the parts.
    pub fn note_parts(&mut self, now: ClockTime, engine: u32, parts: &[PromptPart]) {
        for part in parts {
            self.note_part(now, engine, part.id);
        }
        self.sweep(now);
    }

    /// Records that the engine prefills or holds the part with this id.
    pub fn note_part(&mut self, now: ClockTime, engine: u32, id: u64) {
        let locations = self.locations.entry(id).or_default();
        match locations
            .iter_mut()
            .find(|location| location.engine == engine)
        {
            Some(location) => location.used_at = location.used_at.max(now),
            None => locations.push(PartLocation {
                engine,
                used_at: now,
            }),
        }
    }

    /// Returns the number of tokens at the start of the prompt that the engine holds. A
    /// part counts only if all parts before it are held.
    pub fn held(&self, now: ClockTime, engine: u32, parts: &[PromptPart]) -> u64 {
        let holds = |part: &&PromptPart| {
            let locations = self.locations.get(&part.id);
            locations
                .into_iter()
                .flatten()
                .any(|location| location.engine == engine && now.since(location.used_at) < PART_TTL)
        };
        parts.iter().take_while(holds).map(|part| part.tokens).sum()
    }

    /// Removes all records of an engine, as it has lost its memory.
    pub fn remove_engine(&mut self, engine: u32) {
        for locations in self.locations.values_mut() {
            locations.retain(|location| location.engine != engine);
        }
    }

    fn sweep(&mut self, now: ClockTime) {
        let is_due = now.since(self.last_sweep) >= PART_TTL;
        if !is_due && self.locations.len() <= MAX_PARTS {
            return;
        }
        self.last_sweep = now;
        self.locations.retain(|_, locations| {
            locations.retain(|location| now.since(location.used_at) < PART_TTL);
            !locations.is_empty()
        });
        if self.locations.len() > MAX_PARTS {
            self.locations.clear();
        }
    }
}
