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
const PEER_REPORT_TTL: TimeSpan = TimeSpan::from_millis(2_500);

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

    fn live_reports(&self, now: ClockTime) -> impl Iterator<Item = &PeerReport> {
        let reports = self.peers.values();
        reports.filter(move |report| now.since(report.received_at) <= PEER_REPORT_TTL)
    }
}
