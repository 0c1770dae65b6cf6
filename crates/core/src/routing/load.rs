//! Estimates the load of an endpoint from reports of different age.
//!
//! An endpoint reports its total load with some delay. An entry that used the report as
//! it is would send all requests to the endpoint that was idle three seconds ago, and
//! so would all other entries: the load would oscillate between the endpoints, and
//! first tokens would be late at some while others are idle. The entry therefore
//! records its own outstanding work over time, subtracts from a report what it had
//! outstanding when the report was measured, which leaves the work of other entries,
//! and adds what it has outstanding now.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::InstanceId,
    routing::ReportedLoad,
    units::TokenCount,
};

/// Maximum number of recorded changes of the outstanding work of this entry.
const HISTORY_LIMIT: usize = 512;

/// Work outstanding at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutstandingWork {
    /// Number of requests that were sent and have not ended.
    pub requests: u64,
    /// Prompt tokens of those requests that have no first token yet.
    pub prefill: TokenCount,
}

impl OutstandingWork {
    fn less(self, other: OutstandingWork) -> OutstandingWork {
        OutstandingWork {
            requests: self.requests.saturating_sub(other.requests),
            prefill: self.prefill.saturating_sub(other.prefill),
        }
    }

    fn plus(self, other: OutstandingWork) -> OutstandingWork {
        OutstandingWork {
            requests: self.requests + other.requests,
            prefill: self.prefill + other.prefill,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct TimedWork {
    at: ClockTime,
    work: OutstandingWork,
}

/// Load of one endpoint as estimated by this entry.
#[derive(Clone, Debug, Default)]
pub struct EndpointLoad {
    local: OutstandingWork,
    history: VecDeque<TimedWork>,
    peers: BTreeMap<InstanceId, TimedWork>,
    reported: ReportedLoad,
    remote_by_report: Option<TimedWork>,
}

impl EndpointLoad {
    /// An endpoint without load.
    pub fn new() -> EndpointLoad {
        EndpointLoad::default()
    }

    /// Work that this entry has outstanding now.
    pub fn local(&self) -> OutstandingWork {
        self.local
    }

    /// Last report of the endpoint, uncorrected.
    pub fn reported(&self) -> ReportedLoad {
        self.reported
    }

    /// Records that this entry sent a request with `prompt` tokens to prefill. History
    /// older than `max_age` is dropped, here and in the other methods that take it.
    pub fn note_sent(&mut self, now: ClockTime, prompt: TokenCount, max_age: TimeSpan) {
        self.local.requests += 1;
        self.local.prefill = self.local.prefill + prompt;
        self.record_history(now, max_age);
    }

    /// Records that the `prompt` tokens of a sent request are prefilled: its first
    /// token was received.
    pub fn note_prefilled(&mut self, now: ClockTime, prompt: TokenCount, max_age: TimeSpan) {
        self.local.prefill = self.local.prefill.saturating_sub(prompt);
        self.record_history(now, max_age);
    }

    /// Records that a sent request ended, with `unprefilled` tokens of its prompt not
    /// prefilled.
    pub fn note_ended(&mut self, now: ClockTime, unprefilled: TokenCount, max_age: TimeSpan) {
        self.local.requests = self.local.requests.saturating_sub(1);
        self.local.prefill = self.local.prefill.saturating_sub(unprefilled);
        self.record_history(now, max_age);
    }

    /// Records the endpoint's report that was measured at `measured_at` on the clock of
    /// this entry. A report older than the recorded one is ignored.
    pub fn note_report(&mut self, measured_at: ClockTime, reported: ReportedLoad) {
        let is_newer = |known: TimedWork| known.at > measured_at;
        if self.remote_by_report.is_some_and(is_newer) {
            return;
        }
        let all = OutstandingWork {
            requests: reported.requests,
            prefill: reported.prefill_backlog,
        };
        self.reported = reported;
        self.remote_by_report = Some(TimedWork {
            at: measured_at,
            work: all.less(self.local_at(measured_at)),
        });
    }

    /// Records the work that a peer has outstanding at the endpoint.
    pub fn note_peer(&mut self, now: ClockTime, peer: &InstanceId, work: OutstandingWork) {
        let timed = TimedWork { at: now, work };
        self.peers.insert(peer.clone(), timed);
    }

    /// Removes the work recorded for a peer.
    pub fn remove_peer(&mut self, peer: &InstanceId) {
        self.peers.remove(peer);
    }

    /// Work that other entries have outstanding here, from the newer of the reports of
    /// the peers and the report of the endpoint. Reports older than `max_age` are
    /// ignored.
    pub fn remote(&self, now: ClockTime, max_age: TimeSpan) -> OutstandingWork {
        let is_fresh = |timed: &&TimedWork| now.since(timed.at) <= max_age;
        let peers = self.peers.values().filter(is_fresh);
        let (mut sum, mut newest) = (OutstandingWork::default(), None);
        for timed in peers {
            sum = sum.plus(timed.work);
            newest = newest.max(Some(timed.at));
        }
        match self.remote_by_report.as_ref().filter(is_fresh) {
            Some(report) if Some(report.at) >= newest => report.work,
            _ => sum,
        }
    }

    fn local_at(&self, at: ClockTime) -> OutstandingWork {
        let later = self.history.partition_point(|timed| timed.at <= at);
        match later.checked_sub(1) {
            Some(index) => self.history[index].work,
            None => OutstandingWork::default(),
        }
    }

    fn record_history(&mut self, now: ClockTime, max_age: TimeSpan) {
        let work = self.local;
        match self.history.back_mut() {
            Some(last) if last.at == now => last.work = work,
            _ => self.history.push_back(TimedWork { at: now, work }),
        }
        while self.history.len() > 1
            && (self.history.len() > HISTORY_LIMIT || now.since(self.history[1].at) > max_age)
        {
            self.history.pop_front();
        }
    }
}
