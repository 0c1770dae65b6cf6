//! When a leaving endpoint may be given the order that takes it away.
//!
//! A request is cut if the order reaches an endpoint that still runs work, or
//! that an entry which has not yet read the mark is about to send work to. So
//! two things must be seen, in this order: every live entry has applied the
//! mark, and afterwards the endpoint says itself that nothing is in flight.

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{EndpointId, InstanceId, LogOffset},
};

/// How far an entry has read the log, as last heard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryProgress {
    /// The entry.
    pub instance: InstanceId,
    /// The offset of the next entry it applies; none if it can't be reached.
    pub next: Option<LogOffset>,
}

/// How long draining waits for what it can't see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainTiming {
    /// How long an entry that can't be reached is waited for. It is at least the
    /// time after which an entry that hears nothing of the log takes endpoints
    /// for leaving by their listing alone.
    pub unreachable_timeout: TimeSpan,
    /// How long a request may be on its way that an entry sent just before it
    /// read the mark.
    pub transit_time: TimeSpan,
}

/// Where draining stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub enum DrainState {
    /// Entries may still choose the endpoint.
    #[serde(rename = "Telling")]
    AwaitingEntries,
    /// No entry chooses it any more; work may still be in flight there.
    #[serde(rename = "Emptying")]
    AwaitingCompletion,
    /// It was seen empty after the last entry had been told.
    Empty,
}

/// The draining of one endpoint, watched by the holder of a duty.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct DrainProgress {
    endpoint: EndpointId,
    mark: LogOffset,
    marked_at: ClockTime,
    /// From when on an empty endpoint stays empty.
    told_at: Option<ClockTime>,
    empty: bool,
}

impl DrainProgress {
    /// Starts watching at `now`: the mark at `mark` has just been read.
    pub fn new(endpoint: EndpointId, mark: LogOffset, now: ClockTime) -> DrainProgress {
        DrainProgress {
            endpoint,
            mark,
            marked_at: now,
            told_at: None,
            empty: false,
        }
    }

    /// The offset of the mark.
    pub fn mark(&self) -> LogOffset {
        self.mark
    }

    /// Takes what is known of the entries. One that lags behind the mark is
    /// waited for without limit, because it is alive and may send work; one that
    /// can't be reached only up to the bound, because its last word may be that
    /// it was killed.
    pub fn note_entries(&mut self, now: ClockTime, entries: &[EntryProgress], rule: &DrainTiming) {
        if self.told_at.is_some() {
            return;
        }
        let bound_passed = now >= self.marked_at + rule.unreachable_timeout;
        let told = |entry: &EntryProgress| match entry.next {
            Some(next) => next > self.mark,
            None => bound_passed,
        };
        if entries.iter().all(told) {
            self.told_at = Some(now + rule.transit_time);
        }
    }

    /// Takes what the endpoint said of its work in flight in answer to a question
    /// asked at `asked_at`. Only an answer to a question asked after all entries
    /// had been told counts; a busy answer takes an earlier empty one back.
    pub fn note_endpoint(&mut self, asked_at: ClockTime, in_flight: u64) {
        let told = self.told_at.is_some_and(|told_at| asked_at >= told_at);
        self.empty = told && in_flight == 0;
    }

    /// Where it stands.
    pub fn state(&self) -> DrainState {
        match (self.told_at, self.empty) {
            (None, _) => DrainState::AwaitingEntries,
            (Some(_), false) => DrainState::AwaitingCompletion,
            (Some(_), true) => DrainState::Empty,
        }
    }
}
