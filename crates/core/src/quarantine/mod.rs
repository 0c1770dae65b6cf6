//! Requests that crash the endpoints that run them.

use crate::{clock::ClockTime, ids::LogOffset, records::QuarantineRecord};

/// What the log says of this duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct QuarantineState {}

impl QuarantineState {
    /// Nothing read yet.
    pub fn new() -> QuarantineState {
        QuarantineState::default()
    }

    /// Applies a record read at `offset` at the reader's time `now`.
    pub fn apply(&mut self, _now: ClockTime, _offset: LogOffset, _record: &QuarantineRecord) {}
}
