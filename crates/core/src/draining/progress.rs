//! Decides when a draining endpoint is empty and may be changed or stopped.
//!
//! A request is aborted if the order reaches an endpoint that still runs it, or if an
//! entry that has not yet read the drain mark is about to send it there. So two
//! conditions must be met, in this order: every live entry has applied the mark, and
//! afterwards the endpoint itself reports that no request is in flight.

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{EndpointId, InstanceId, LogOffset},
};

/// How far an entry has read the log, by its last report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryProgress {
    /// The entry.
    pub instance: InstanceId,
    /// The offset of the next log entry that it applies; `None` if it is unreachable.
    pub next: Option<LogOffset>,
}

/// How long a drain waits for entries and requests that can't be observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainTiming {
    /// How long the drain waits for an unreachable entry. It is at least the time after
    /// which an entry without access to the log detects leaving endpoints by the
    /// platform's list alone.
    pub unreachable_timeout: TimeSpan,
    /// How long a request may be in transit that an entry sent just before it read the
    /// mark.
    pub transit_time: TimeSpan,
}

/// The state of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub enum DrainState {
    /// Entries may still select the endpoint.
    #[serde(rename = "Telling")]
    AwaitingEntries,
    /// No entry selects the endpoint any more; requests may still be in flight there.
    #[serde(rename = "Emptying")]
    AwaitingCompletion,
    /// The endpoint reported no requests after the last entry had applied the mark.
    Empty,
}

/// The drain of one endpoint, as followed by the holder of a duty.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct DrainProgress {
    endpoint: EndpointId,
    mark: LogOffset,
    marked_at: ClockTime,
    /// The time from which on an empty endpoint stays empty.
    #[serde(rename = "told_at")]
    unselected_since: Option<ClockTime>,
    empty: bool,
}

impl DrainProgress {
    /// Starts following the drain at `now`, when the mark at the offset `mark` was read.
    pub fn new(endpoint: EndpointId, mark: LogOffset, now: ClockTime) -> DrainProgress {
        DrainProgress {
            endpoint,
            mark,
            marked_at: now,
            unselected_since: None,
            empty: false,
        }
    }

    /// The offset of the mark.
    pub fn mark(&self) -> LogOffset {
        self.mark
    }

    /// Records how far the entries have read the log. The drain waits without limit for
    /// an entry that lags behind the mark, because it is alive and may send requests. It
    /// waits for an unreachable entry only up to `unreachable_timeout`, because that
    /// entry may have been killed.
    pub fn note_entries(
        &mut self,
        now: ClockTime,
        entries: &[EntryProgress],
        timing: &DrainTiming,
    ) {
        if self.unselected_since.is_some() {
            return;
        }
        let timeout_passed = now >= self.marked_at + timing.unreachable_timeout;
        let has_applied_mark = |entry: &EntryProgress| match entry.next {
            Some(next) => next > self.mark,
            None => timeout_passed,
        };
        if entries.iter().all(has_applied_mark) {
            self.unselected_since = Some(now + timing.transit_time);
        }
    }

    /// Records the number of requests in flight at the endpoint, from a query sent at
    /// `asked_at`. Queries sent before all entries had applied the mark are not counted;
    /// a non-zero number revokes an earlier zero.
    pub fn note_endpoint(&mut self, asked_at: ClockTime, in_flight: u64) {
        let is_valid = self.unselected_since.is_some_and(|since| asked_at >= since);
        self.empty = is_valid && in_flight == 0;
    }

    /// The state of the drain.
    pub fn state(&self) -> DrainState {
        match (self.unselected_since, self.empty) {
            (None, _) => DrainState::AwaitingEntries,
            (Some(_), false) => DrainState::AwaitingCompletion,
            (Some(_), true) => DrainState::Empty,
        }
    }
}
