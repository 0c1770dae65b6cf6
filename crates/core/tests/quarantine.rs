//! A request that kills, and the bystanders of its crashes.

use std::collections::{BTreeMap, BTreeSet};

use bluebell_core::{
    clock::ClockTime,
    ids::{EndpointId, InstanceId, LogOffset, OrganisationId, RequestFingerprint},
    quarantine::{
        CrashSite, CrashStatus, CrashTrials, MAX_FINGERPRINTS, QuarantineState, RETENTION_RECORDS,
        TrialChoice,
    },
    records::QuarantineRecord,
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

const NOW: ClockTime = ClockTime::from_millis(0);

fn fingerprint(content: &str) -> RequestFingerprint {
    let organisation = OrganisationId::new("magnolia").unwrap();
    RequestFingerprint::with_content(&organisation, content.as_bytes())
}

fn endpoint(number: usize) -> EndpointId {
    EndpointId::new(format!("engine-{number}")).unwrap()
}

fn crash(content: &str, number: usize, incarnation: u64) -> QuarantineRecord {
    QuarantineRecord {
        fingerprint: fingerprint(content),
        endpoint: endpoint(number),
        incarnation,
        entry: "entry-1".parse().unwrap(),
        cleared: false,
    }
}

#[test]
fn two_lost_endpoints_condemn_and_a_second_word_of_one_does_not() {
    let mut state = QuarantineState::new();
    state.apply(NOW, LogOffset::new(1), &crash("x", 1, 7));
    state.apply(NOW, LogOffset::new(2), &crash("x", 1, 7));
    assert_eq!(state.status(&fingerprint("x")), CrashStatus::Suspect);
    let mut cleared = crash("x", 1, 7);
    cleared.cleared = true;
    state.apply(NOW, LogOffset::new(3), &cleared);
    assert_eq!(state.status(&fingerprint("x")), CrashStatus::Clean);
    state.apply(NOW, LogOffset::new(4), &crash("x", 1, 7));
    state.apply(NOW, LogOffset::new(5), &crash("x", 1, 8));
    state.apply(NOW, LogOffset::new(6), &cleared);
    assert_eq!(state.status(&fingerprint("x")), CrashStatus::Quarantined);
}

#[test]
fn what_is_kept_is_bounded_by_the_log_alone() {
    let mut state = QuarantineState::new();
    for number in 0..MAX_FINGERPRINTS + 10 {
        let offset = LogOffset::new(number as u64);
        state.apply(NOW, offset, &crash(&format!("x{number}"), 1, 1));
    }
    assert_eq!(state.status(&fingerprint("x9")), CrashStatus::Clean);
    assert_eq!(state.status(&fingerprint("x10")), CrashStatus::Suspect);
    let mut restored = QuarantineState::new();
    for item in state.checkpoint() {
        restored.restore(NOW, &item);
    }
    assert_eq!(restored, state);
    let late = LogOffset::new(RETENTION_RECORDS + 20_000);
    state.apply(NOW, late, &crash("y", 1, 1));
    assert_eq!(state.status(&fingerprint("x1000")), CrashStatus::Clean);
}

const ENDPOINTS: usize = 6;
const ENTRIES: usize = 3;
const REQUESTS: usize = 24;

/// A request in the random world. Its caller sends it until it has ended or was
/// refused for good.
#[derive(Clone, Debug)]
struct WorldRequest {
    fingerprint: RequestFingerprint,
    kills: bool,
    running: Option<RunningPlace>,
    ended: bool,
    quarantined: bool,
}

#[derive(Clone, Copy, Debug)]
struct RunningPlace {
    endpoint: usize,
    entry: usize,
}

/// Entries, endpoints and requests that take random steps.
struct CrashWorld {
    random: ChaCha8Rng,
    log: QuarantineState,
    offset: u64,
    incarnations: [u64; ENDPOINTS],
    trials: Vec<CrashTrials>,
    requests: Vec<WorldRequest>,
    killed: usize,
}

fn entries() -> Vec<InstanceId> {
    let entry = |number| InstanceId::new(format!("entry-{number}")).unwrap();
    (0..ENTRIES).map(entry).collect()
}

impl CrashWorld {
    fn new(seed: u64) -> CrashWorld {
        let request = |number: usize| WorldRequest {
            fingerprint: fingerprint(&number.to_string()),
            kills: number == 0,
            running: None,
            ended: false,
            quarantined: false,
        };
        CrashWorld {
            random: ChaCha8Rng::seed_from_u64(seed),
            log: QuarantineState::new(),
            offset: 0,
            incarnations: [1; ENDPOINTS],
            trials: entries().into_iter().map(CrashTrials::new).collect(),
            requests: (0..REQUESTS).map(request).collect(),
            killed: 0,
        }
    }

    fn append(&mut self, record: &QuarantineRecord) {
        self.offset += 1;
        self.log.apply(NOW, LogOffset::new(self.offset), record);
    }

    fn step(&mut self) {
        let number = self.random.random_range(0..REQUESTS);
        let request = self.requests[number].clone();
        match request.running {
            None if !request.ended && !request.quarantined => self.send(number),
            Some(place) if request.kills => self.crash(place.endpoint),
            Some(place) if self.random.random_bool(0.3) => self.finish(number, place),
            _ => {}
        }
    }

    fn send(&mut self, number: usize) {
        let entry = self.random.random_range(0..ENTRIES);
        let fingerprint = self.requests[number].fingerprint.clone();
        let all: Vec<EndpointId> = (0..ENDPOINTS).map(endpoint).collect();
        let trials = &mut self.trials[entry];
        let chosen = match trials.status(&self.log, &fingerprint) {
            CrashStatus::Quarantined => {
                self.requests[number].quarantined = true;
                return;
            }
            CrashStatus::Clean => all.choose(&mut self.random).cloned(),
            CrashStatus::Suspect => match trials.choose(&fingerprint, &all, &entries()) {
                TrialChoice::Wait => None,
                TrialChoice::AnyOf(free) => {
                    trials.begin(&fingerprint, &free[0]);
                    Some(free[0].clone())
                }
            },
        };
        let Some(chosen) = chosen else { return };
        let endpoint = all.iter().position(|endpoint| *endpoint == chosen).unwrap();
        self.requests[number].running = Some(RunningPlace { endpoint, entry });
    }

    /// Everything on the endpoint is lost, and the endpoint starts again.
    fn crash(&mut self, lost: usize) {
        self.killed += 1;
        let incarnation = self.incarnations[lost];
        self.incarnations[lost] += 1;
        for number in 0..REQUESTS {
            let Some(place) = self.requests[number].running.filter(|p| p.endpoint == lost) else {
                continue;
            };
            self.requests[number].running = None;
            let fingerprint = self.requests[number].fingerprint.clone();
            let site = CrashSite {
                endpoint: endpoint(lost),
                incarnation,
            };
            self.trials[place.entry].end(&endpoint(lost));
            self.trials[place.entry].crashed(&fingerprint, site);
            self.append(&crash(&number.to_string(), lost, incarnation));
        }
    }

    fn finish(&mut self, number: usize, place: RunningPlace) {
        let request = &mut self.requests[number];
        request.running = None;
        request.ended = true;
        let fingerprint = request.fingerprint.clone();
        let trials = &mut self.trials[place.entry];
        if trials.status(&self.log, &fingerprint) == CrashStatus::Suspect {
            trials.end(&endpoint(place.endpoint));
            trials.cleared(&fingerprint);
            let mut record = crash(&number.to_string(), place.endpoint, 0);
            record.cleared = true;
            self.append(&record);
        }
    }
}

/// One kiosk sends a request that crashes every engine that runs it, again and
/// again and to any entry, among others' harmless requests. It may cost two
/// engines, and everybody else must be served in the end.
#[test]
fn a_killer_costs_two_endpoints_and_its_bystanders_are_served() {
    let seeds: u64 = std::env::var("BLUEBELL_SEEDS").map_or(300, |n| n.parse().unwrap());
    for seed in 0..seeds {
        let mut world = CrashWorld::new(seed);
        for _ in 0..4_000 {
            world.step();
        }
        assert_eq!(world.killed, 2, "seed {seed}");
        for request in &world.requests {
            assert_eq!(request.quarantined, request.kills, "seed {seed}");
            assert_eq!(request.ended, !request.kills, "seed {seed}");
        }
    }
}

#[test]
fn two_entries_try_suspects_on_different_endpoints() {
    let all: Vec<EndpointId> = (0..ENDPOINTS).map(endpoint).collect();
    let mut owners: BTreeMap<EndpointId, InstanceId> = BTreeMap::new();
    for entry in entries() {
        let trials = CrashTrials::new(entry.clone());
        let choice = trials.choose(&fingerprint("x"), &all, &entries());
        let TrialChoice::AnyOf(free) = choice else {
            panic!("nothing runs yet");
        };
        for endpoint in free {
            assert_eq!(owners.insert(endpoint, entry.clone()), None);
        }
    }
    let owned: BTreeSet<&EndpointId> = owners.keys().collect();
    assert_eq!(owned.len(), ENDPOINTS);
    let few = &all[..2];
    let last = CrashTrials::new(entries()[2].clone());
    let choice = last.choose(&fingerprint("x"), few, &entries());
    assert_eq!(choice, TrialChoice::AnyOf(vec![endpoint(0)]));
}
