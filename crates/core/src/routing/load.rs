//! How loaded an endpoint is, from pictures of different age.
//!
//! An endpoint reports what it had to do some time ago, in all. An entry that
//! took the report as it is would send everything to whoever looked idle three
//! seconds ago, and so would every other entry: the load swings between the
//! endpoints and first tokens are late while others idle. So the entry
//! remembers what it had outstanding when the report was measured, takes that
//! off to learn what *others* had, and adds what it has outstanding now.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::InstanceId,
    routing::ReportedLoad,
    units::TokenCount,
};

/// The most remembered changes of what this entry has outstanding.
const HISTORY_LIMIT: usize = 512;

/// What somebody has outstanding at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutstandingWork {
    /// Requests sent and not ended.
    pub requests: u64,
    /// Prompt tokens of those without a first token.
    pub prefill: TokenCount,
}

impl OutstandingWork {
    fn less(self, other: OutstandingWork) -> OutstandingWork {
        OutstandingWork {
            requests: self.requests.saturating_sub(other.requests),
            prefill: self.prefill.less(other.prefill),
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

/// The load of one endpoint as this entry estimates it.
#[derive(Clone, Debug, Default)]
pub struct EndpointLoad {
    own: OutstandingWork,
    history: VecDeque<TimedWork>,
    peers: BTreeMap<InstanceId, TimedWork>,
    reported: ReportedLoad,
    others_by_report: Option<TimedWork>,
}

impl EndpointLoad {
    /// No load.
    pub fn new() -> EndpointLoad {
        EndpointLoad::default()
    }

    /// What this entry has outstanding now.
    pub fn own(&self) -> OutstandingWork {
        self.own
    }

    /// The last report as it came.
    pub fn reported(&self) -> ReportedLoad {
        self.reported
    }

    /// A request was sent.
    pub fn sent(&mut self, now: ClockTime, prompt: TokenCount, life: TimeSpan) {
        self.own.requests += 1;
        self.own.prefill = self.own.prefill + prompt;
        self.remember(now, life);
    }

    /// A sent request's prompt is prefilled: its first token came.
    pub fn prefilled(&mut self, now: ClockTime, prompt: TokenCount, life: TimeSpan) {
        self.own.prefill = self.own.prefill.less(prompt);
        self.remember(now, life);
    }

    /// A sent request ended; `unfilled` of its prompt was not prefilled.
    pub fn ended(&mut self, now: ClockTime, unfilled: TokenCount, life: TimeSpan) {
        self.own.requests = self.own.requests.saturating_sub(1);
        self.own.prefill = self.own.prefill.less(unfilled);
        self.remember(now, life);
    }

    /// Takes in a report that was measured at `measured_at`, on our clock.
    pub fn report(&mut self, measured_at: ClockTime, reported: ReportedLoad) {
        let newer = |known: TimedWork| known.at > measured_at;
        if self.others_by_report.is_some_and(newer) {
            return;
        }
        let all = OutstandingWork {
            requests: reported.requests,
            prefill: reported.prefill_backlog,
        };
        self.reported = reported;
        self.others_by_report = Some(TimedWork {
            at: measured_at,
            work: all.less(self.own_at(measured_at)),
        });
    }

    /// Takes in what a peer has outstanding here.
    pub fn note_peer(&mut self, now: ClockTime, peer: &InstanceId, work: OutstandingWork) {
        let timed = TimedWork { at: now, work };
        self.peers.insert(peer.clone(), timed);
    }

    /// Forgets a peer's word.
    pub fn forget_peer(&mut self, peer: &InstanceId) {
        self.peers.remove(peer);
    }

    /// What others have outstanding here. The peers' word is preferred where it
    /// is newer than the endpoint's report; what is older than `life` is unknown
    /// and counts as nothing.
    pub fn others(&self, now: ClockTime, life: TimeSpan) -> OutstandingWork {
        let fresh = |timed: &&TimedWork| now.since(timed.at) <= life;
        let peers = self.peers.values().filter(fresh);
        let (mut sum, mut newest) = (OutstandingWork::default(), None);
        for timed in peers {
            sum = sum.plus(timed.work);
            newest = newest.max(Some(timed.at));
        }
        match self.others_by_report.as_ref().filter(fresh) {
            Some(report) if Some(report.at) >= newest => report.work,
            _ => sum,
        }
    }

    fn own_at(&self, at: ClockTime) -> OutstandingWork {
        let later = self.history.partition_point(|timed| timed.at <= at);
        match later.checked_sub(1) {
            Some(index) => self.history[index].work,
            None => OutstandingWork::default(),
        }
    }

    fn remember(&mut self, now: ClockTime, life: TimeSpan) {
        let work = self.own;
        match self.history.back_mut() {
            Some(last) if last.at == now => last.work = work,
            _ => self.history.push_back(TimedWork { at: now, work }),
        }
        while self.history.len() > 1
            && (self.history.len() > HISTORY_LIMIT || now.since(self.history[1].at) > life)
        {
            self.history.pop_front();
        }
    }
}
