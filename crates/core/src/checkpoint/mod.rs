//! Checkpoints of live state, written again before the log forgets it.

use crate::{clock::ClockTime, ids::LogOffset, records::CheckpointPart};

/// What the log says of this duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct CheckpointReader {}

impl CheckpointReader {
    /// Nothing read yet.
    pub fn new() -> CheckpointReader {
        CheckpointReader::default()
    }

    /// Applies a record read at `offset` at the reader's time `now`.
    pub fn apply(&mut self, _now: ClockTime, _offset: LogOffset, _record: &CheckpointPart) {}
}
