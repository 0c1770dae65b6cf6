//! Idempotency keys: the first claim in the log's order may send.

use crate::{
    clock::ClockTime,
    ids::LogOffset,
    records::{ClaimBatch, SettlementBatch},
};

/// The claims that the log knows of.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct ClaimState {}

impl ClaimState {
    /// Nothing read yet.
    pub fn new() -> ClaimState {
        ClaimState::default()
    }

    /// Applies claims read at `offset` at the reader's time `now`.
    pub fn claim(&mut self, _now: ClockTime, _offset: LogOffset, _batch: &ClaimBatch) {}

    /// Applies settlements.
    pub fn settle(&mut self, _now: ClockTime, _offset: LogOffset, _batch: &SettlementBatch) {}
}
