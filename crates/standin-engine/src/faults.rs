//! What can be made to go wrong, switched over HTTP.
//!
//! `POST /control/faults` replaces all faults at once by an [`EngineFaults`];
//! `{}` heals everything. Faults of streams meet those that begin afterwards.

use bluebell_core::clock::TimeSpan;
use serde::{Deserialize, Serialize};

/// A crash at requests whose prompt contains a text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrashFault {
    /// The text.
    pub text: String,
    /// How long the engine is down; none means for good.
    #[serde(default)]
    pub down_for: Option<TimeSpan>,
}

/// What happens to a stream at a certain position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamFaultKind {
    /// The connection stays open and brings nothing more.
    Silent,
    /// The answer ends without an end mark.
    Truncated,
    /// A token comes twice.
    Doubled,
    /// A token of another request's answer comes.
    Crossed,
}

/// A fault of streams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StreamFault {
    /// What happens.
    pub kind: StreamFaultKind,
    /// After how many tokens of this attempt.
    pub after: u64,
    /// How many streams it meets; none means all.
    #[serde(default)]
    pub streams: Option<u64>,
}

/// All faults in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// A request that crashes the engine.
    pub crash: Option<CrashFault>,
    /// A fault of streams.
    pub stream: Option<StreamFault>,
    /// No step is taken; everything waits.
    pub stalled: bool,
    /// Steps take this many times longer.
    pub slow_factor: Option<u64>,
    /// New work is refused with 503.
    pub refuse_all: bool,
}

impl EngineFaults {
    /// Whether a request with this prompt crashes the engine.
    pub fn crashes(&self, prompt: &str) -> bool {
        self.crash
            .as_ref()
            .is_some_and(|crash| prompt.contains(&crash.text))
    }

    /// The fault that a stream which begins now meets.
    pub fn take_stream(&mut self) -> Option<StreamFault> {
        let fault = self.stream.as_mut()?;
        match &mut fault.streams {
            None => {}
            Some(0) => return None,
            Some(left) => *left -= 1,
        }
        Some(fault.clone())
    }
}
