//! Drain marks: endpoints that are about to leave and receive no new requests.
//!
//! A mark is valid only under the current fencing number of the duty that sets it,
//! and no other duty can change it while it is in force. So the `fleet` duty never
//! stops an engine whose role the `engines` duty is about to change.

mod progress;

use std::collections::BTreeMap;

pub use self::progress::{DrainProgress, DrainState, DrainTiming, EntryProgress};
use crate::{
    authority::LeaseState,
    clock::ClockTime,
    ids::{EndpointId, LogOffset},
    records::{CheckpointItem, DrainMarkRecord, DutyName, MarkState},
};

/// The drain mark of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct DrainMark {
    /// The duty that set the mark.
    pub duty: DutyName,
    /// The fencing number under which it was set.
    pub fence: LogOffset,
    /// The offset of the mark. Once every entry has applied it, no entry selects the
    /// endpoint any more.
    pub offset: LogOffset,
    /// When this process read the mark, on its own clock.
    pub read_at: ClockTime,
}

/// The drain marks in force, by endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct DrainMarks {
    marks: BTreeMap<EndpointId, DrainMark>,
}

impl DrainMarks {
    /// Creates the state before the first record of the log.
    pub fn new() -> DrainMarks {
        DrainMarks::default()
    }

    /// The drain mark of `endpoint`.
    pub fn mark(&self, endpoint: &EndpointId) -> Option<&DrainMark> {
        self.marks.get(endpoint)
    }

    /// Whether the endpoint is draining and receives no new requests.
    pub fn is_draining(&self, endpoint: &EndpointId) -> bool {
        self.marks.contains_key(endpoint)
    }

    /// All marks, by endpoint.
    pub fn iter(&self) -> impl Iterator<Item = (&EndpointId, &DrainMark)> {
        self.marks.iter()
    }

    /// Applies a record read at `offset` at the time `now` of the reader's clock. A
    /// second mark of a draining endpoint has no effect: the first offset is kept.
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
        let is_other_duty = self
            .mark(&record.endpoint)
            .is_some_and(|mark| mark.duty != record.duty);
        if is_other_duty {
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

    /// Returns the marks as checkpoint items.
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

    /// Restores a mark from a checkpoint item; ignores items of other kinds.
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
