//! Endpoints that are about to leave and get no new work.

use crate::{authority::LeaseState, clock::ClockTime, ids::LogOffset, records::EndpointMark};

/// What the log says of this duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct LeavingMarks {}

impl LeavingMarks {
    /// Nothing read yet.
    pub fn new() -> LeavingMarks {
        LeavingMarks::default()
    }

    /// Applies a record read at `offset` at the reader's time `now`.
    pub fn apply(
        &mut self,
        _now: ClockTime,
        _offset: LogOffset,
        _record: &EndpointMark,
        _leases: &LeaseState,
    ) {
    }
}
