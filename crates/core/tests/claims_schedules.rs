//! Claims under random schedules: entries that are killed at any step, appends that
//! are refused, whose answers are lost, or that land late, and callers that send
//! one action again and again to any entry.
//!
//! What is judged is what the service saw and what callers were told.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bluebell_core::{
    claims::ClaimVerdict,
    clock::ClockTime,
    ids::{IdempotencyKey, OrganisationId, RequestFingerprint, RequestId, WriterId},
    records::{
        ClaimBatch, ClaimSettlement, IdempotencyClaim, LogEntry, LogRecord, SettledResult,
        SettlementBatch,
    },
    view::FleetView,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOW: ClockTime = ClockTime::from_millis(0);
const ENTRIES: usize = 3;
const KEYS: u32 = 4;

/// An append that may be under way, or land late after its process is gone.
#[derive(Clone, Debug)]
struct Append {
    writer: WriterId,
    sequence: u64,
    record: LogRecord,
}

#[derive(Clone, Debug)]
enum Waiting {
    Claim(IdempotencyClaim),
    Settle(IdempotencyClaim, SettledResult),
}

/// One entry: an incarnation that has one append under way at a time, and requests
/// that it has sent and whose answer is still to come.
struct Entry {
    writer: WriterId,
    sequence: u64,
    waiting: VecDeque<Waiting>,
    sent: Vec<IdempotencyClaim>,
}

#[derive(Default)]
struct History {
    sends: BTreeMap<IdempotencyKey, Vec<RequestId>>,
    told_not_run: BTreeSet<RequestId>,
    replayed: usize,
}

struct World {
    random: ChaCha8Rng,
    view: FleetView,
    entries: Vec<Entry>,
    late: Vec<Append>,
    requests: u64,
    incarnations: u64,
    history: History,
}

fn answered() -> SettledResult {
    SettledResult::Answered {
        status: 201,
        content_type: String::new(),
        body: None,
    }
}

impl World {
    fn new(seed: u64) -> World {
        let mut world = World {
            random: ChaCha8Rng::seed_from_u64(seed),
            view: FleetView::new(),
            entries: Vec::new(),
            late: Vec::new(),
            requests: 0,
            incarnations: 0,
            history: History::default(),
        };
        for _ in 0..ENTRIES {
            let entry = world.incarnation();
            world.entries.push(entry);
        }
        world
    }

    fn incarnation(&mut self) -> Entry {
        self.incarnations += 1;
        Entry {
            writer: WriterId::new(format!("entry:{}", self.incarnations)).unwrap(),
            sequence: 0,
            waiting: VecDeque::new(),
            sent: Vec::new(),
        }
    }

    fn land(&mut self, append: Append) {
        let entry = LogEntry {
            offset: self.view.next_offset(),
            writer: append.writer,
            sequence: append.sequence,
            record: append.record,
        };
        self.view.apply(NOW, &entry);
    }

    fn verdict(&self, claim: &IdempotencyClaim) -> ClaimVerdict {
        let claims = &self.view.claims;
        claims.verdict(
            &claim.organisation,
            &claim.key,
            &claim.request,
            &claim.fingerprint,
        )
    }

    fn step(&mut self) {
        let entry = self.random.random_range(0..ENTRIES);
        match self.random.random_range(0..20) {
            0..=5 => self.arrive(entry),
            6..=13 => self.append(entry),
            14..=16 => self.end_call(entry),
            17 | 18 => self.land_late(),
            _ => self.kill(entry),
        }
    }

    fn arrive(&mut self, entry: usize) {
        self.requests += 1;
        let organisation = OrganisationId::new("magnolia").unwrap();
        let key = self.random.random_range(0..KEYS);
        let claim = IdempotencyClaim {
            key: IdempotencyKey::new(format!("k{key}")).unwrap(),
            request: RequestId::new(format!("r{}", self.requests)).unwrap(),
            fingerprint: RequestFingerprint::with_content(&organisation, b"five"),
            entry: "entry".parse().unwrap(),
            organisation,
        };
        match self.verdict(&claim) {
            ClaimVerdict::Free => self.entries[entry].waiting.push_back(Waiting::Claim(claim)),
            ClaimVerdict::Recorded(result) => {
                assert_eq!(result, answered());
                self.history.replayed += 1;
            }
            _ => {}
        }
    }

    /// The entry's next append is refused, or is sent: it lands now, late or never,
    /// and its answer is heard or lost.
    fn append(&mut self, entry: usize) {
        let Some(waiting) = self.entries[entry].waiting.pop_front() else {
            return;
        };
        let append = self.numbered(entry, &waiting);
        match self.random.random_range(0..8) {
            0..=3 => {
                self.land(append);
                self.heard(entry, waiting);
            }
            4 => {
                self.land(append);
                self.not_heard(entry, waiting);
            }
            5 => {
                self.late.push(append);
                self.not_heard(entry, waiting);
            }
            _ => self.not_heard(entry, waiting),
        }
    }

    fn numbered(&mut self, entry: usize, waiting: &Waiting) -> Append {
        let record = match waiting {
            Waiting::Claim(claim) => LogRecord::Claims(ClaimBatch {
                claims: vec![claim.clone()],
            }),
            Waiting::Settle(claim, result) => LogRecord::Settlements(SettlementBatch {
                settlements: vec![ClaimSettlement {
                    organisation: claim.organisation.clone(),
                    key: claim.key.clone(),
                    request: claim.request.clone(),
                    result: result.clone(),
                }],
            }),
        };
        let entry = &mut self.entries[entry];
        entry.sequence += 1;
        Append {
            writer: entry.writer.clone(),
            sequence: entry.sequence,
            record,
        }
    }

    fn heard(&mut self, entry: usize, waiting: Waiting) {
        let Waiting::Claim(claim) = waiting else {
            return;
        };
        if self.verdict(&claim) != ClaimVerdict::Mine {
            return;
        }
        let sends = self.history.sends.entry(claim.key.clone()).or_default();
        sends.push(claim.request.clone());
        self.entries[entry].sent.push(claim);
    }

    fn not_heard(&mut self, entry: usize, waiting: Waiting) {
        let again = match waiting {
            Waiting::Claim(claim) => {
                self.history.told_not_run.insert(claim.request.clone());
                Waiting::Settle(claim, SettledResult::NotRun)
            }
            settle @ Waiting::Settle(..) => settle,
        };
        self.entries[entry].waiting.push_back(again);
    }

    fn end_call(&mut self, entry: usize) {
        let Some(claim) = self.entries[entry].sent.pop() else {
            return;
        };
        let result = match self.random.random_bool(0.5) {
            true => answered(),
            false => SettledResult::Unknown,
        };
        let settle = Waiting::Settle(claim, result);
        self.entries[entry].waiting.push_back(settle);
    }

    fn land_late(&mut self) {
        if !self.late.is_empty() {
            let number = self.random.random_range(0..self.late.len());
            let append = self.late.swap_remove(number);
            self.land(append);
        }
    }

    /// The process is killed, perhaps with an append under way.
    fn kill(&mut self, entry: usize) {
        if let Some(waiting) = self.entries[entry].waiting.pop_front() {
            let append = self.numbered(entry, &waiting);
            self.late.push(append);
        }
        self.entries[entry] = self.incarnation();
    }
}

/// A customer pays twice, or is told "not run" for a charge that was sent.
#[test]
fn no_schedule_sends_an_action_twice_or_makes_a_false_not_run() {
    let seeds: u64 = std::env::var("BLUEBELL_SEEDS").map_or(400, |n| n.parse().unwrap());
    let (mut sent, mut replayed, mut not_run) = (0, 0, 0);
    for seed in 0..seeds {
        let mut world = World::new(seed);
        for _ in 0..200 {
            world.step();
        }
        for (key, requests) in &world.history.sends {
            assert_eq!(requests.len(), 1, "seed {seed}: `{key}` by {requests:?}");
            let told = &world.history.told_not_run;
            assert!(!told.contains(&requests[0]), "seed {seed}: `{key}`");
        }
        sent += world.history.sends.len();
        replayed += world.history.replayed;
        not_run += world.history.told_not_run.len();
    }
    // The schedules must reach what they are about.
    assert!(sent > 0 && replayed > 0 && not_run > 0);
}
