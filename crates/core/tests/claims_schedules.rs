//! Claims under random schedules: entries are killed at any step, appends are
//! refused, lose their answers or are stored late, and callers repeat each action at
//! any entry.
//!
//! The test checks which requests the service received and which answers the callers
//! got.

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

/// An append that may be in flight, or be stored after its process has ended.
#[derive(Clone, Debug)]
struct Append {
    writer: WriterId,
    sequence: u64,
    record: LogRecord,
}

#[derive(Clone, Debug)]
enum PendingRecord {
    Claim(IdempotencyClaim),
    Settle(IdempotencyClaim, SettledResult),
}

/// One incarnation of an entry, which has at most one append in flight, and the
/// requests that it has sent and that are not answered yet.
struct Entry {
    writer: WriterId,
    sequence: u64,
    pending: VecDeque<PendingRecord>,
    sent: Vec<IdempotencyClaim>,
}

#[derive(Default)]
struct History {
    sends: BTreeMap<IdempotencyKey, Vec<RequestId>>,
    answered_not_run: BTreeSet<RequestId>,
    replayed: usize,
}

struct Simulation {
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

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut simulation = Simulation {
            random: ChaCha8Rng::seed_from_u64(seed),
            view: FleetView::new(),
            entries: Vec::new(),
            late: Vec::new(),
            requests: 0,
            incarnations: 0,
            history: History::default(),
        };
        for _ in 0..ENTRIES {
            let entry = simulation.incarnation();
            simulation.entries.push(entry);
        }
        simulation
    }

    fn incarnation(&mut self) -> Entry {
        self.incarnations += 1;
        Entry {
            writer: WriterId::new(format!("entry:{}", self.incarnations)).unwrap(),
            sequence: 0,
            pending: VecDeque::new(),
            sent: Vec::new(),
        }
    }

    fn store(&mut self, append: Append) {
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
            17 | 18 => self.store_late(),
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
            ClaimVerdict::Free => self.entries[entry]
                .pending
                .push_back(PendingRecord::Claim(claim)),
            ClaimVerdict::Recorded(result) => {
                assert_eq!(result, answered());
                self.history.replayed += 1;
            }
            _ => {}
        }
    }

    /// Sends the entry's next append: it is stored now, late or never, and its answer
    /// is received or lost.
    fn append(&mut self, entry: usize) {
        let Some(pending) = self.entries[entry].pending.pop_front() else {
            return;
        };
        let append = self.numbered(entry, &pending);
        match self.random.random_range(0..8) {
            0..=3 => {
                self.store(append);
                self.note_acknowledged(entry, pending);
            }
            4 => {
                self.store(append);
                self.note_unanswered(entry, pending);
            }
            5 => {
                self.late.push(append);
                self.note_unanswered(entry, pending);
            }
            _ => self.note_unanswered(entry, pending),
        }
    }

    fn numbered(&mut self, entry: usize, pending: &PendingRecord) -> Append {
        let record = match pending {
            PendingRecord::Claim(claim) => LogRecord::Claims(ClaimBatch {
                claims: vec![claim.clone()],
            }),
            PendingRecord::Settle(claim, result) => LogRecord::Settlements(SettlementBatch {
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

    fn note_acknowledged(&mut self, entry: usize, pending: PendingRecord) {
        let PendingRecord::Claim(claim) = pending else {
            return;
        };
        if self.verdict(&claim) != ClaimVerdict::Mine {
            return;
        }
        let sends = self.history.sends.entry(claim.key.clone()).or_default();
        sends.push(claim.request.clone());
        self.entries[entry].sent.push(claim);
    }

    fn note_unanswered(&mut self, entry: usize, pending: PendingRecord) {
        let next_record = match pending {
            PendingRecord::Claim(claim) => {
                self.history.answered_not_run.insert(claim.request.clone());
                PendingRecord::Settle(claim, SettledResult::NotRun)
            }
            settle @ PendingRecord::Settle(..) => settle,
        };
        self.entries[entry].pending.push_back(next_record);
    }

    fn end_call(&mut self, entry: usize) {
        let Some(claim) = self.entries[entry].sent.pop() else {
            return;
        };
        let result = match self.random.random_bool(0.5) {
            true => answered(),
            false => SettledResult::Unknown,
        };
        let settle = PendingRecord::Settle(claim, result);
        self.entries[entry].pending.push_back(settle);
    }

    fn store_late(&mut self) {
        if !self.late.is_empty() {
            let number = self.random.random_range(0..self.late.len());
            let append = self.late.swap_remove(number);
            self.store(append);
        }
    }

    /// Kills the process, possibly with an append in flight.
    fn kill(&mut self, entry: usize) {
        if let Some(pending) = self.entries[entry].pending.pop_front() {
            let append = self.numbered(entry, &pending);
            self.late.push(append);
        }
        self.entries[entry] = self.incarnation();
    }
}

/// Guards against a customer paying twice, or getting the answer "not run" for a
/// charge that was sent.
#[test]
fn no_schedule_sends_an_action_twice_or_answers_not_run_wrongly() {
    let seeds: u64 = std::env::var("BLUEBELL_SEEDS").map_or(400, |n| n.parse().unwrap());
    let (mut sent, mut replayed, mut not_run) = (0, 0, 0);
    for seed in 0..seeds {
        let mut simulation = Simulation::new(seed);
        for _ in 0..200 {
            simulation.step();
        }
        for (key, requests) in &simulation.history.sends {
            assert_eq!(requests.len(), 1, "seed {seed}: `{key}` by {requests:?}");
            let not_run_answers = &simulation.history.answered_not_run;
            assert!(
                !not_run_answers.contains(&requests[0]),
                "seed {seed}: `{key}`"
            );
        }
        sent += simulation.history.sends.len();
        replayed += simulation.history.replayed;
        not_run += simulation.history.answered_not_run.len();
    }
    // The schedules must cover sent, replayed and unsent requests.
    assert!(sent > 0 && replayed > 0 && not_run > 0);
}
