//! Settings of the stand-in; all have defaults.

use std::net::{Ipv4Addr, SocketAddr};

use bluebell_core::{
    clock::TimeSpan,
    ids::ModelName,
    records::EngineRole,
    units::{ByteSize, TokenCount},
};
use bluebell_daemon::settings::SettingProblem;
use serde::{Deserialize, Serialize};

/// How the engine behaves as long as no fault is switched on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Where it takes HTTP; port 0 takes any.
    pub http_address: SocketAddr,
    /// The model that it has loaded at its start.
    pub model: ModelName,
    /// Its role at its start.
    pub role: EngineRole,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// How long a change of role takes.
    pub role_change: TimeSpan,
    /// How long loading a model takes.
    pub model_load: TimeSpan,
    /// How late load reports are.
    pub report_lag: TimeSpan,
    /// How late cache events are.
    pub event_lag: TimeSpan,
    /// Every n-th cache event is lost; 0 loses none.
    pub event_gap: u64,
    /// The cost of its work.
    pub costs: BatchCosts,
    /// Its memory.
    pub memory: MemorySizes,
}

impl Default for EngineSettings {
    fn default() -> EngineSettings {
        EngineSettings {
            http_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            model: ModelName::new("small-chat").expect("the name is valid"),
            role: EngineRole::Mixed,
            checks_fencing: true,
            role_change: TimeSpan::from_secs(3),
            model_load: TimeSpan::from_secs(5),
            report_lag: TimeSpan::from_millis(500),
            event_lag: TimeSpan::from_millis(500),
            event_gap: 7,
            costs: BatchCosts::default(),
            memory: MemorySizes::default(),
        }
    }
}

/// What a step of the batch costs, in microseconds at speed 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BatchCosts {
    /// Any step.
    pub step_micros: u64,
    /// More for each sequence that decodes.
    pub sequence_micros: u64,
    /// More for each prompt token that is prefilled.
    pub prefill_micros: u64,
    /// For each token of imported KV cache.
    pub import_micros: u64,
    /// Divides all of these, so that tests run quickly.
    pub speed: u64,
}

impl Default for BatchCosts {
    fn default() -> BatchCosts {
        BatchCosts {
            step_micros: 10_000,
            sequence_micros: 300,
            prefill_micros: 60,
            import_micros: 6,
            speed: 1,
        }
    }
}

/// What fits into the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MemorySizes {
    /// Sequences in the batch.
    pub batch: usize,
    /// Sequences that wait; more are refused.
    pub queue: usize,
    /// Prompt tokens that one step prefills.
    pub prefill_chunk: u64,
    /// KV memory for the batch.
    pub kv_capacity: TokenCount,
    /// Blocks of the prefix cache.
    pub cache_blocks: usize,
    /// Tokens of a block.
    pub block_tokens: u64,
    /// KV memory of a token.
    pub token_size: ByteSize,
}

impl Default for MemorySizes {
    fn default() -> MemorySizes {
        MemorySizes {
            batch: 16,
            queue: 256,
            prefill_chunk: 512,
            kv_capacity: TokenCount::new(65_536),
            cache_blocks: 1_024,
            block_tokens: 16,
            token_size: ByteSize::new(131_072),
        }
    }
}

impl EngineSettings {
    /// All that can't be used.
    pub fn problems(&self) -> Vec<SettingProblem> {
        let least_one = [
            ("costs.speed", self.costs.speed),
            ("memory.batch", self.memory.batch as u64),
            ("memory.prefill_chunk", self.memory.prefill_chunk),
            ("memory.block_tokens", self.memory.block_tokens),
        ];
        least_one
            .into_iter()
            .filter(|(_, value)| *value == 0)
            .map(|(field, value)| SettingProblem::new(field, value, "at least `1`"))
            .collect()
    }
}
