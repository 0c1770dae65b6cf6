//! Who is in charge of which duty: leases in the log, with fencing.

use crate::{clock::ClockTime, ids::LogOffset, records::LeaseRecord};

/// What the log says of this duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct LeaseState {}

impl LeaseState {
    /// Nothing read yet.
    pub fn new() -> LeaseState {
        LeaseState::default()
    }

    /// Applies a record read at `offset` at the reader's time `now`.
    pub fn apply(&mut self, _now: ClockTime, _offset: LogOffset, _record: &LeaseRecord) {}
}
