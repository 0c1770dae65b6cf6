//! The prefill queue of one engine, as estimated by this entry.

use std::collections::BTreeMap;

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::InstanceId,
};

/// Number of priority ranks; lower priorities share the last rank.
pub const PRIORITY_RANKS: usize = 4;

/// How long a load report of another entry is valid. Entries send reports several times
/// a second, so one that sends none for longer has ended or is unreachable.
pub(super) const PEER_REPORT_TTL: TimeSpan = TimeSpan::from_millis(2_500);

/// How long the answer of an engine's tracker counts in place of the load reports of other
/// entries: about as long as a report is old on average when the next one arrives.
const TRACKED_TTL: TimeSpan = TimeSpan::from_millis(300);

/// The maximum share of a prefill that elapsed time may take off before the prefill is
/// done: once the estimated time has passed, the estimate gives no indication of how
/// much is left.
const MAX_PROGRESS_SHARE: f64 = 0.9;

/// The work of one entry at one engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Unfinished prefill work in ms, by priority rank.
    pub prefill_ms: [f64; PRIORITY_RANKS],
    /// Number of running requests.
    pub running: u32,
}

impl EngineLoad {
    /// Whether there are no prefills and no running requests.
    pub fn is_empty(&self) -> bool {
        self.running == 0 && self.prefill_ms.iter().all(|work| *work == 0.0)
    }

    /// Adds the load of another instance.
    pub(super) fn add(&mut self, other: &EngineLoad) {
        self.running += other.running;
        for (sum, work) in self.prefill_ms.iter_mut().zip(other.prefill_ms) {
            *sum += work;
        }
    }

    /// The load that is probably left after `age`: the engine has worked on the prefills
    /// since, the most urgent first. The share of its time that they received is unknown, so
    /// half is assumed.
    pub(super) fn after(&self, age: TimeSpan) -> EngineLoad {
        let mut done_ms = age.as_millis() as f64 / 2.0;
        let mut left = self.clone();
        for work in &mut left.prefill_ms {
            let done = done_ms.min(*work);
            *work -= done;
            done_ms -= done;
        }
        left
    }

    fn prefill_ms_up_to(&self, rank: usize) -> f64 {
        self.prefill_ms[..=rank].iter().sum()
    }
}

#[derive(Clone, Debug)]
struct QueuedPrefill {
    ticket: u64,
    rank: usize,
    work_ms: f64,
    sent_at: ClockTime,
}

#[derive(Clone, Debug)]
struct PeerReport {
    received_at: ClockTime,
    load: EngineLoad,
}

/// The queue of one engine: the prefills and running requests of this entry, and the
/// loads reported by other entries.
#[derive(Clone, Debug, Default)]
pub struct EngineQueue {
    local: Vec<QueuedPrefill>,
    running: u32,
    last_removal: ClockTime,
    peers: BTreeMap<InstanceId, PeerReport>,
    /// The load of all other entries, as the engine's tracker answered.
    tracked: Option<PeerReport>,
}

impl EngineQueue {
    /// Creates an empty queue.
    pub fn new() -> EngineQueue {
        EngineQueue::default()
    }

    /// Adds a prefill that was sent; `work_ms` is its estimated time in ms.
    pub fn push(&mut self, now: ClockTime, ticket: u64, rank: usize, work_ms: f64) {
        self.local.push(QueuedPrefill {
            ticket,
            rank,
            work_ms,
            sent_at: now,
        });
    }

    /// Removes a prefill that is done or was dropped.
    pub fn remove(&mut self, now: ClockTime, ticket: u64) {
        self.local.retain(|queued| queued.ticket != ticket);
        self.last_removal = now;
    }

    /// Counts a request that started to run.
    pub fn run_started(&mut self) {
        self.running += 1;
    }

    /// Counts a request that no longer runs.
    pub fn run_ended(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Stores the load reported by another entry, in place of its last report.
    pub fn note_peer(&mut self, now: ClockTime, peer: &InstanceId, load: EngineLoad) {
        if load.is_empty() {
            self.peers.remove(peer);
            return;
        }
        let report = PeerReport {
            received_at: now,
            load,
        };
        self.peers.insert(peer.clone(), report);
    }

    /// Stores the load of all other entries, as the engine's tracker answered.
    pub fn note_tracked(&mut self, now: ClockTime, load: EngineLoad) {
        self.tracked = Some(PeerReport {
            received_at: now,
            load,
        });
    }

    /// Returns the load that this entry has placed on the engine.
    pub fn local_load(&self) -> EngineLoad {
        let mut load = EngineLoad {
            running: self.running,
            ..EngineLoad::default()
        };
        for queued in &self.local {
            load.prefill_ms[queued.rank] += queued.work_ms;
        }
        load
    }

    /// Returns the estimated wait in ms of a prefill of this rank: the time of all
    /// prefills of its rank and of more urgent ones.
    pub fn wait_ms(&self, now: ClockTime, rank: usize) -> f64 {
        let ahead = self.local.iter().filter(|queued| queued.rank <= rank);
        let local_ms: f64 = ahead.clone().map(|queued| queued.work_ms).sum();
        let oldest = ahead.min_by_key(|queued| queued.sent_at);
        let progress_ms = oldest.map_or(0.0, |queued| {
            let elapsed_ms = now.since(queued.sent_at.max(self.last_removal)).as_millis() as f64;
            elapsed_ms.min(queued.work_ms * MAX_PROGRESS_SHARE)
        });
        let mut peer_ms = 0.0;
        for report in self.live_reports(now) {
            // The engine has worked on the reported prefills since the report; the
            // share of its time that they received is unknown, so half is assumed.
            let age_ms = now.since(report.received_at).as_millis() as f64;
            peer_ms += (report.load.prefill_ms_up_to(rank) - age_ms / 2.0).max(0.0);
        }
        (local_ms - progress_ms).max(0.0) + peer_ms
    }

    /// Returns the number of running requests of all entries.
    pub fn running(&self, now: ClockTime) -> u32 {
        let peer_running: u32 = self
            .live_reports(now)
            .map(|report| report.load.running)
            .sum();
        self.running + peer_running
    }

    /// Whether no entry is known to have prefills queued.
    pub fn is_idle(&self, now: ClockTime) -> bool {
        self.wait_ms(now, PRIORITY_RANKS - 1) == 0.0
    }

    fn live_tracked(&self, now: ClockTime) -> Option<&PeerReport> {
        let tracked = self.tracked.as_ref();
        tracked.filter(|report| now.since(report.received_at) <= TRACKED_TTL)
    }

    /// The answer of the tracker, or else the reports of other entries.
    fn live_reports(&self, now: ClockTime) -> impl Iterator<Item = &PeerReport> {
        let tracked = self.live_tracked(now);
        let has_tracked = tracked.is_some();
        let reports = self
            .peers
            .values()
            .filter(move |report| !has_tracked && now.since(report.received_at) <= PEER_REPORT_TTL);
        tracked.into_iter().chain(reports)
    }
}
