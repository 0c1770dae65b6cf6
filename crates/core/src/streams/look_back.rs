//! What the log of registrations shows of the time before this instance read them.
//!
//! Endpoints write their registration with each heartbeat, so the records of some seconds show
//! every version that was registered then. After all instances have started anew, nothing else
//! does.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    clock::TimeSpan,
    directory::EndpointRegistration,
    ids::{EndpointId, ServiceName},
    streams::OriginHash,
};

/// By how many percent heartbeats may come more often than at their interval.
const EARLY_HEARTBEATS_PERCENT: u64 = 10;

/// The records of registrations that were read, from an earlier one up to the newest.
#[derive(Clone, Debug, Default)]
pub struct LookBack {
    /// The first heartbeat number of each start of an endpoint.
    first: BTreeMap<(EndpointId, u64), u64>,
    /// The most heartbeats of one start between two records.
    most_heartbeats: u64,
    seen: BTreeSet<(ServiceName, OriginHash)>,
    is_complete: bool,
}

impl LookBack {
    /// Creates a look back at no record.
    pub fn new() -> LookBack {
        LookBack::default()
    }

    /// Adds the next record.
    pub fn add(&mut self, registration: &EndpointRegistration) {
        let start = (registration.id.clone(), registration.start);
        let first = *self.first.entry(start).or_insert(registration.sequence);
        let heartbeats = registration.sequence.saturating_sub(first);
        self.most_heartbeats = self.most_heartbeats.max(heartbeats);
        let service = registration.service.clone();
        self.seen.insert((service, registration.origin()));
    }

    /// Records that all records up to the newest were added. Some can be trimmed while they are
    /// read, and a version that only these show would be missed.
    pub fn complete(&mut self) {
        self.is_complete = true;
    }

    /// The services and versions that were registered.
    pub fn seen(&self) -> &BTreeSet<(ServiceName, OriginHash)> {
        &self.seen
    }

    /// The time that the records cover at least, with heartbeats at `interval`; zero unless all
    /// were added.
    pub fn span(&self, interval: TimeSpan) -> TimeSpan {
        if !self.is_complete {
            return TimeSpan::ZERO;
        }
        let span_ms = interval.as_millis() * self.most_heartbeats;
        TimeSpan::from_millis(span_ms * (100 - EARLY_HEARTBEATS_PERCENT) / 100)
    }
}
