//! Metering: deltas by entries, windows frozen in the log, one report each.

use crate::{
    authority::LeaseState,
    clock::ClockTime,
    ids::LogOffset,
    records::{UsageDelta, UsageWindow, WindowClose},
};

/// What the log says of usage.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct UsageState {}

impl UsageState {
    /// Nothing read yet.
    pub fn new() -> UsageState {
        UsageState::default()
    }

    /// Adds what an entry metered.
    pub fn meter(&mut self, _now: ClockTime, _offset: LogOffset, _delta: &UsageDelta) {}

    /// Freezes a window.
    pub fn close(
        &mut self,
        _now: ClockTime,
        _offset: LogOffset,
        _close: &WindowClose,
        _leases: &LeaseState,
    ) {
    }

    /// Notes that a window has been reported.
    pub fn reported(&mut self, _window: UsageWindow) {}
}
