//! Where the parts of prompts were last read.

use std::collections::HashMap;

use crate::{
    clock::{ClockTime, TimeSpan},
    placement::PromptPart,
};

/// How long a part is taken to stay in an engine's memory after its last use: shorter
/// than a busy engine takes to fill its memory anew.
const PART_LIFE: TimeSpan = TimeSpan::from_secs(12);

/// The most parts that are remembered; the oldest go first.
const PARTS_LIMIT: usize = 20_000;

#[derive(Clone, Copy, Debug)]
struct PartPlace {
    engine: u32,
    used_at: ClockTime,
}

/// Which engines hold which parts, as far as this entry knows.
#[derive(Clone, Debug, Default)]
pub struct PartLocations {
    places: HashMap<u64, Vec<PartPlace>>,
    swept_at: ClockTime,
}

impl PartLocations {
    /// Nothing known.
    pub fn new() -> PartLocations {
        PartLocations::default()
    }

    /// The engine with this number reads or has the parts.
    pub fn note(&mut self, now: ClockTime, engine: u32, parts: &[PromptPart]) {
        for part in parts {
            self.note_id(now, engine, part.id);
        }
        self.sweep(now);
    }

    /// The engine reads or has the part with this id.
    pub fn note_id(&mut self, now: ClockTime, engine: u32, id: u64) {
        let places = self.places.entry(id).or_default();
        match places.iter_mut().find(|place| place.engine == engine) {
            Some(place) => place.used_at = place.used_at.max(now),
            None => places.push(PartPlace {
                engine,
                used_at: now,
            }),
        }
    }

    /// How many tokens at the start of the prompt the engine holds. A part counts
    /// only if all parts before it are held.
    pub fn held(&self, now: ClockTime, engine: u32, parts: &[PromptPart]) -> u64 {
        let holds = |part: &&PromptPart| {
            let places = self.places.get(&part.id);
            places
                .into_iter()
                .flatten()
                .any(|place| place.engine == engine && now.since(place.used_at) < PART_LIFE)
        };
        parts.iter().take_while(holds).map(|part| part.tokens).sum()
    }

    /// The engine lost its memory.
    pub fn forget_engine(&mut self, engine: u32) {
        for places in self.places.values_mut() {
            places.retain(|place| place.engine != engine);
        }
    }

    fn sweep(&mut self, now: ClockTime) {
        let due = now.since(self.swept_at) >= PART_LIFE;
        if !due && self.places.len() <= PARTS_LIMIT {
            return;
        }
        self.swept_at = now;
        self.places.retain(|_, places| {
            places.retain(|place| now.since(place.used_at) < PART_LIFE);
            !places.is_empty()
        });
        if self.places.len() > PARTS_LIMIT {
            self.places.clear();
        }
    }
}
