//! Engines that crash, end for other reasons and come back.

use bluebell_core::ids::EndpointId;
use rand::{Rng, seq::IteratorRandom};
use rand_chacha::ChaCha8Rng;

use super::instance::EngineStart;

/// How long an engine is away after a crash, in ms.
const DOWN_MS: std::ops::Range<u64> = 2_000..4_000;
/// How long the registration of an engine that ended remains, in ms.
const LAPSE_MS: std::ops::Range<u64> = 3_100..3_700;

/// One start of an engine.
#[derive(Clone, Debug)]
pub struct ModelEngine {
    pub start: EngineStart,
    pub up_at: u64,
    pub ended_at: Option<u64>,
    /// When its registration lapses, once it has ended.
    pub lapses_at: Option<u64>,
}

/// All starts of engines.
pub struct ModelEngines {
    pub engines: Vec<ModelEngine>,
}

fn engine(number: usize, up_at: u64) -> ModelEngine {
    let id = EndpointId::new(format!("i-{number}")).unwrap();
    ModelEngine {
        start: EngineStart { id, start: up_at },
        up_at,
        ended_at: None,
        lapses_at: None,
    }
}

impl ModelEngines {
    pub fn new(count: usize) -> ModelEngines {
        ModelEngines {
            engines: (0..count).map(|number| engine(number, 0)).collect(),
        }
    }

    /// An engine that runs now, if any does.
    pub fn choose(&self, now: u64, random: &mut ChaCha8Rng) -> Option<usize> {
        let numbers = 0..self.engines.len();
        let up = numbers.filter(|number| self.is_up(now, *number));
        up.choose(random)
    }

    pub fn is_up(&self, now: u64, number: usize) -> bool {
        let engine = &self.engines[number];
        engine.up_at <= now && engine.ended_at.is_none()
    }

    /// Ends an engine; another one starts in its place.
    pub fn end(&mut self, now: u64, number: usize, random: &mut ChaCha8Rng) {
        self.engines[number].ended_at = Some(now);
        self.engines[number].lapses_at = Some(now + random.random_range(LAPSE_MS));
        let next = engine(self.engines.len(), now + random.random_range(DOWN_MS));
        self.engines.push(next);
    }

    /// The engines whose registrations lapse in this step.
    pub fn lapsing(&self, now: u64, step_ms: u64) -> Vec<EngineStart> {
        let lapses = |engine: &&ModelEngine| {
            engine
                .lapses_at
                .is_some_and(|at| at <= now && now < at + step_ms)
        };
        let lapsing = self.engines.iter().filter(lapses);
        lapsing.map(|engine| engine.start.clone()).collect()
    }
}
