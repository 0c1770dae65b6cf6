//! Quarantine of a request that crashes endpoints, without harm to the requests that
//! ran beside it.

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
fn two_lost_endpoints_quarantine_and_a_second_report_of_one_does_not() {
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
fn histories_are_limited_in_number_and_age_by_log_offset() {
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
    let after_retention = LogOffset::new(RETENTION_RECORDS + 20_000);
    state.apply(NOW, after_retention, &crash("y", 1, 1));
    assert_eq!(state.status(&fingerprint("x1000")), CrashStatus::Clean);
}

const ENDPOINTS: usize = 6;
const ENTRIES: usize = 3;
const REQUESTS: usize = 24;

/// A request of the simulation. Its caller sends it until it has ended or is
/// quarantined.
#[derive(Clone, Debug)]
struct SimulatedRequest {
    fingerprint: RequestFingerprint,
    is_harmful: bool,
    running: Option<RunLocation>,
    ended: bool,
    quarantined: bool,
}

#[derive(Clone, Copy, Debug)]
struct RunLocation {
    endpoint: usize,
    entry: usize,
}

/// Entries, endpoints and requests that take random steps.
struct Simulation {
    random: ChaCha8Rng,
    log: QuarantineState,
    offset: u64,
    incarnations: [u64; ENDPOINTS],
    trials: Vec<CrashTrials>,
    requests: Vec<SimulatedRequest>,
    crash_count: usize,
}

fn entries() -> Vec<InstanceId> {
    let entry = |number| InstanceId::new(format!("entry-{number}")).unwrap();
    (0..ENTRIES).map(entry).collect()
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let request = |number: usize| SimulatedRequest {
            fingerprint: fingerprint(&number.to_string()),
            is_harmful: number == 0,
            running: None,
            ended: false,
            quarantined: false,
        };
        Simulation {
            random: ChaCha8Rng::seed_from_u64(seed),
            log: QuarantineState::new(),
            offset: 0,
            incarnations: [1; ENDPOINTS],
            trials: entries().into_iter().map(CrashTrials::new).collect(),
            requests: (0..REQUESTS).map(request).collect(),
            crash_count: 0,
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
            Some(location) if request.is_harmful => self.crash(location.endpoint),
            Some(location) if self.random.random_bool(0.3) => self.finish(number, location),
            _ => {}
        }
    }

    fn send(&mut self, number: usize) {
        let entry = self.random.random_range(0..ENTRIES);
        let fingerprint = self.requests[number].fingerprint.clone();
        let endpoints: Vec<EndpointId> = (0..ENDPOINTS).map(endpoint).collect();
        let trials = &mut self.trials[entry];
        let chosen = match trials.status(&self.log, &fingerprint) {
            CrashStatus::Quarantined => {
                self.requests[number].quarantined = true;
                return;
            }
            CrashStatus::Clean => endpoints.choose(&mut self.random).cloned(),
            CrashStatus::Suspect => match trials.choose(&fingerprint, &endpoints, &entries()) {
                TrialChoice::Wait => None,
                TrialChoice::AnyOf(free) => {
                    trials.begin(&fingerprint, &free[0]);
                    Some(free[0].clone())
                }
            },
        };
        let Some(chosen) = chosen else { return };
        let endpoint = endpoints
            .iter()
            .position(|endpoint| *endpoint == chosen)
            .unwrap();
        self.requests[number].running = Some(RunLocation { endpoint, entry });
    }

    /// Crashes an endpoint: all requests on it are lost, and the endpoint starts again.
    fn crash(&mut self, lost: usize) {
        self.crash_count += 1;
        let incarnation = self.incarnations[lost];
        self.incarnations[lost] += 1;
        for number in 0..REQUESTS {
            let Some(location) = self.requests[number].running.filter(|p| p.endpoint == lost)
            else {
                continue;
            };
            self.requests[number].running = None;
            let fingerprint = self.requests[number].fingerprint.clone();
            let site = CrashSite {
                endpoint: endpoint(lost),
                incarnation,
            };
            self.trials[location.entry].end(&endpoint(lost));
            self.trials[location.entry].crashed(&fingerprint, site);
            self.append(&crash(&number.to_string(), lost, incarnation));
        }
    }

    fn finish(&mut self, number: usize, location: RunLocation) {
        let request = &mut self.requests[number];
        request.running = None;
        request.ended = true;
        let fingerprint = request.fingerprint.clone();
        let trials = &mut self.trials[location.entry];
        if trials.status(&self.log, &fingerprint) == CrashStatus::Suspect {
            trials.end(&endpoint(location.endpoint));
            trials.cleared(&fingerprint);
            let mut record = crash(&number.to_string(), location.endpoint, 0);
            record.cleared = true;
            self.append(&record);
        }
    }
}

/// One caller repeatedly sends a request that crashes every engine that runs it to any
/// of the entries, among harmless requests of other callers. It may cost two engines,
/// and all other requests must complete in the end.
#[test]
fn a_harmful_request_costs_two_endpoints_and_all_others_complete() {
    let seeds: u64 = std::env::var("BLUEBELL_SEEDS").map_or(300, |n| n.parse().unwrap());
    for seed in 0..seeds {
        let mut simulation = Simulation::new(seed);
        for _ in 0..4_000 {
            simulation.step();
        }
        assert_eq!(simulation.crash_count, 2, "seed {seed}");
        for request in &simulation.requests {
            assert_eq!(request.quarantined, request.is_harmful, "seed {seed}");
            assert_eq!(request.ended, !request.is_harmful, "seed {seed}");
        }
    }
}

#[test]
fn two_entries_run_suspects_on_different_endpoints() {
    let endpoints: Vec<EndpointId> = (0..ENDPOINTS).map(endpoint).collect();
    let mut owners: BTreeMap<EndpointId, InstanceId> = BTreeMap::new();
    for entry in entries() {
        let trials = CrashTrials::new(entry.clone());
        let choice = trials.choose(&fingerprint("x"), &endpoints, &entries());
        let TrialChoice::AnyOf(free) = choice else {
            panic!("no suspect runs yet");
        };
        for endpoint in free {
            assert_eq!(owners.insert(endpoint, entry.clone()), None);
        }
    }
    let owned: BTreeSet<&EndpointId> = owners.keys().collect();
    assert_eq!(owned.len(), ENDPOINTS);
    let few = &endpoints[..2];
    let last = CrashTrials::new(entries()[2].clone());
    let choice = last.choose(&fingerprint("x"), few, &entries());
    assert_eq!(choice, TrialChoice::AnyOf(vec![endpoint(0)]));
}
