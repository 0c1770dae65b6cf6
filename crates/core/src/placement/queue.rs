//! The prefills that wait at one engine, as far as this entry knows.

use std::collections::BTreeMap;

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::InstanceId,
};

/// How many ranks of urgency are told apart; less urgent ones share the last.
pub const PRIORITY_RANKS: usize = 4;

/// How long another entry's word counts. Entries tell each other some times a
/// second; one that is silent for longer is gone or cut off.
const WORD_LIFE: TimeSpan = TimeSpan::from_millis(2_500);

/// The share of a prefill that progress may take off before it is done: an
/// estimate that ran out says nothing of how much is really left.
const PROGRESS_LIMIT: f64 = 0.9;

/// What one entry has at one engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Prefill work that is not done, in ms, by urgency.
    pub prefill_ms: [f64; PRIORITY_RANKS],
    /// Requests that run.
    pub running: u32,
}

impl EngineLoad {
    /// Whether there is nothing.
    pub fn is_empty(&self) -> bool {
        self.running == 0 && self.prefill_ms.iter().all(|work| *work == 0.0)
    }

    fn up_to(&self, rank: usize) -> f64 {
        self.prefill_ms[..=rank].iter().sum()
    }
}

#[derive(Clone, Debug)]
struct QueuedPrefill {
    ticket: u64,
    rank: usize,
    work_ms: f64,
    sent: ClockTime,
}

#[derive(Clone, Debug)]
struct PeerWord {
    at: ClockTime,
    load: EngineLoad,
}

/// The queue of one engine.
#[derive(Clone, Debug, Default)]
pub struct EngineQueue {
    own: Vec<QueuedPrefill>,
    running: u32,
    done_at: ClockTime,
    peers: BTreeMap<InstanceId, PeerWord>,
}

impl EngineQueue {
    /// Nothing queued.
    pub fn new() -> EngineQueue {
        EngineQueue::default()
    }

    /// A prefill was sent.
    pub fn push(&mut self, now: ClockTime, ticket: u64, rank: usize, work_ms: f64) {
        self.own.push(QueuedPrefill {
            ticket,
            rank,
            work_ms,
            sent: now,
        });
    }

    /// A prefill is done or given up.
    pub fn remove(&mut self, now: ClockTime, ticket: u64) {
        self.own.retain(|queued| queued.ticket != ticket);
        self.done_at = now;
    }

    /// A request began to run.
    pub fn run_started(&mut self) {
        self.running += 1;
    }

    /// A request no longer runs.
    pub fn run_ended(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Another entry's word.
    pub fn note_peer(&mut self, now: ClockTime, peer: &InstanceId, load: EngineLoad) {
        if load.is_empty() {
            self.peers.remove(peer);
            return;
        }
        let word = PeerWord { at: now, load };
        self.peers.insert(peer.clone(), word);
    }

    /// What this entry has here.
    pub fn own(&self) -> EngineLoad {
        let mut load = EngineLoad {
            running: self.running,
            ..EngineLoad::default()
        };
        for queued in &self.own {
            load.prefill_ms[queued.rank] += queued.work_ms;
        }
        load
    }

    /// How long a prefill of this rank waits, in ms: for all prefills of its rank
    /// and of more urgent ones.
    pub fn wait_ms(&self, now: ClockTime, rank: usize) -> f64 {
        let ahead = self.own.iter().filter(|queued| queued.rank <= rank);
        let own: f64 = ahead.clone().map(|queued| queued.work_ms).sum();
        let oldest = ahead.min_by_key(|queued| queued.sent);
        let progress = oldest.map_or(0.0, |queued| {
            let since = now.since(queued.sent.max(self.done_at)).as_millis() as f64;
            since.min(queued.work_ms * PROGRESS_LIMIT)
        });
        let mut others = 0.0;
        for word in self.fresh_words(now) {
            // What others told goes on being worked off since; how much of the
            // engine's time went to it is not known, so half is assumed.
            let age = now.since(word.at).as_millis() as f64;
            others += (word.load.up_to(rank) - age / 2.0).max(0.0);
        }
        (own - progress).max(0.0) + others
    }

    /// Requests that run there.
    pub fn running(&self, now: ClockTime) -> u32 {
        let others: u32 = self.fresh_words(now).map(|word| word.load.running).sum();
        self.running + others
    }

    /// Whether nothing is known to be queued.
    pub fn is_idle(&self, now: ClockTime) -> bool {
        self.wait_ms(now, PRIORITY_RANKS - 1) == 0.0
    }

    fn fresh_words(&self, now: ClockTime) -> impl Iterator<Item = &PeerWord> {
        let words = self.peers.values();
        words.filter(move |word| now.since(word.at) <= WORD_LIFE)
    }
}
