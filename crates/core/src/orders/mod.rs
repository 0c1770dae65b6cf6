//! Orders to engines and to the platform: intent first, then the order, then its outcome.

use crate::{
    authority::LeaseState,
    clock::ClockTime,
    ids::LogOffset,
    records::{IntentRecord, OrderBody, OutcomeRecord},
};

/// The orders that the log knows of.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct OrderState {}

impl OrderState {
    /// Nothing read yet.
    pub fn new() -> OrderState {
        OrderState::default()
    }

    /// Applies an intent read at `offset` at the reader's time `now`.
    pub fn intend(
        &mut self,
        _now: ClockTime,
        _offset: LogOffset,
        _record: &IntentRecord,
        _leases: &LeaseState,
    ) {
    }

    /// Applies an outcome.
    pub fn settle(
        &mut self,
        _now: ClockTime,
        _offset: LogOffset,
        _record: &OutcomeRecord,
        _leases: &LeaseState,
    ) -> Option<OrderBody> {
        None
    }
}
