//! Endpoints that are about to leave and get no new work.
//!
//! A mark counts only under the fencing number of the duty that sets it, and
//! while one duty's mark stands no other duty can change it: so the fleet never
//! stops an engine whose role the engines' duty is about to change.

mod progress;

use std::collections::BTreeMap;

pub use self::progress::{DrainProgress, DrainState, DrainTiming, EntryProgress};
use crate::{
    authority::LeaseState,
    clock::ClockTime,
    ids::{EndpointId, LogOffset},
    records::{CheckpointItem, DrainMarkRecord, DutyName, MarkState},
};

/// A leaving endpoint.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct DrainMark {
    /// The duty that set the mark.
    pub duty: DutyName,
    /// The fencing number under which it was set.
    pub fence: LogOffset,
    /// Where the mark stands: once every entry has applied it, none chooses the
    /// endpoint any more.
    pub offset: LogOffset,
    /// When this reader read it.
    pub read_at: ClockTime,
}

/// The endpoints that are leaving.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct DrainMarks {
    marks: BTreeMap<EndpointId, DrainMark>,
}

impl DrainMarks {
    /// Nothing read yet.
    pub fn new() -> DrainMarks {
        DrainMarks::default()
    }

    /// The endpoint's mark, if it is leaving.
    pub fn mark(&self, endpoint: &EndpointId) -> Option<&DrainMark> {
        self.marks.get(endpoint)
    }

    /// Whether the endpoint gets no new work.
    pub fn is_draining(&self, endpoint: &EndpointId) -> bool {
        self.marks.contains_key(endpoint)
    }

    /// All marks.
    pub fn iter(&self) -> impl Iterator<Item = (&EndpointId, &DrainMark)> {
        self.marks.iter()
    }

    /// Applies a record read at `offset` at the reader's time `now`. A second
    /// mark of a leaving endpoint changes nothing, also not its offset.
    pub fn apply(
        &mut self,
        now: ClockTime,
        offset: LogOffset,
        record: &DrainMarkRecord,
        leases: &LeaseState,
    ) {
        if !leases.is_current(&record.duty, record.fence) {
            return;
        }
        let foreign = self
            .mark(&record.endpoint)
            .is_some_and(|mark| mark.duty != record.duty);
        if foreign {
            return;
        }
        match record.state {
            MarkState::Staying => {
                self.marks.remove(&record.endpoint);
            }
            MarkState::Leaving => {
                let mark = DrainMark {
                    duty: record.duty.clone(),
                    fence: record.fence,
                    offset,
                    read_at: now,
                };
                self.marks.entry(record.endpoint.clone()).or_insert(mark);
            }
        }
    }

    /// The marks as items of a checkpoint.
    pub fn checkpoint(&self) -> Vec<CheckpointItem> {
        let item = |(endpoint, mark): (&EndpointId, &DrainMark)| CheckpointItem::Mark {
            mark: DrainMarkRecord {
                endpoint: endpoint.clone(),
                state: MarkState::Leaving,
                duty: mark.duty.clone(),
                fence: mark.fence,
            },
            offset: mark.offset,
        };
        self.marks.iter().map(item).collect()
    }

    /// Takes over an item of a checkpoint.
    pub fn restore(&mut self, now: ClockTime, item: &CheckpointItem) {
        let CheckpointItem::Mark { mark, offset } = item else {
            return;
        };
        let restored = DrainMark {
            duty: mark.duty.clone(),
            fence: mark.fence,
            offset: *offset,
            read_at: now,
        };
        self.marks.entry(mark.endpoint.clone()).or_insert(restored);
    }
}
