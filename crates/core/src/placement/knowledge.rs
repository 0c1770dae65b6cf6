//! What instances tell each other of the engines.

use crate::{
    clock::TimeSpan,
    placement::{EngineLoad, engine::DECODE_STAGE_SLOWDOWN},
};

/// Names an engine in messages between instances. What is known of one start of an engine
/// says nothing about the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineKey {
    /// Hash of the engine's id.
    pub hash: u64,
    /// Time of the engine's start in ms, by its own clock.
    pub start: u64,
}

/// The load that all instances but the one that asks have placed on an engine, as known to
/// the engine's tracker.
#[derive(Clone, Debug, PartialEq)]
pub struct TrackedLoad {
    /// The engine.
    pub engine: EngineKey,
    /// The sum of the instances' loads, less the prefill work that the engine has probably done
    /// since they were reported.
    pub load: EngineLoad,
    /// Age of the oldest report in the sum; zero if there is none.
    pub oldest: TimeSpan,
}

/// The time that an engine took for a prefill while nothing else was known to be queued
/// there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillSample {
    /// The engine.
    pub engine: EngineKey,
    /// Tokens that were prefilled, without those that the engine held.
    pub tokens: u64,
    /// Time from the request to the end of the prefill.
    pub elapsed: TimeSpan,
    /// Whether the engine was in the decode stage, in which it prefills more slowly.
    pub is_decode_stage: bool,
}

impl PrefillSample {
    /// Factor by which the engine's stage made the prefill slower.
    pub fn stage_slowdown(&self) -> f64 {
        match self.is_decode_stage {
            true => DECODE_STAGE_SLOWDOWN,
            false => 1.0,
        }
    }
}
