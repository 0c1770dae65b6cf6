//! The trackers of engines: whom they are, and what they know after messages and instances fail.

use std::collections::BTreeMap;

use bluebell_core::{
    clock::ClockTime,
    ids::{FailureDomain, InstanceId},
    placement::{
        EngineCandidate, EngineKey, EngineLoad, LoadLedger, LoadReporter, LoadSource,
        TrackerCandidate, TrackerHealth, tracker_of,
    },
};

const ENGINE: EngineKey = EngineKey { hash: 7, start: 1 };
const REPEAT_MS: u64 = 1_000;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn instance(name: &str) -> InstanceId {
    InstanceId::new(name).unwrap()
}

fn domain(name: &str) -> FailureDomain {
    FailureDomain::new(name).unwrap()
}

fn source(name: &str, start: u64, counter: u64) -> LoadSource {
    LoadSource {
        instance: instance(name),
        start,
        counter,
    }
}

fn running(count: u32) -> EngineLoad {
    EngineLoad {
        running: count,
        ..EngineLoad::default()
    }
}

fn prefilling(work_ms: f64) -> EngineLoad {
    EngineLoad {
        prefill_ms: [0.0, work_ms, 0.0, 0.0],
        running: 0,
    }
}

/// The number of running requests in the answer to `asker`.
fn known(ledger: &LoadLedger, now: u64, asker: &str) -> u32 {
    let tracked = ledger.load_without(at(now), ENGINE, &instance(asker));
    tracked.load.running
}

fn engine(hash: u64) -> EngineCandidate {
    EngineCandidate {
        engine: EngineKey { hash, start: 1 },
        domain: domain("north"),
    }
}

fn fleet(names: &[&str]) -> Vec<TrackerCandidate<()>> {
    let candidates = names.iter().map(|name| TrackerCandidate {
        instance: instance(name),
        domain: domain(if name.starts_with('n') {
            "north"
        } else {
            "south"
        }),
        address: (),
    });
    candidates.collect()
}

/// Guards against a doubled, a late or a lost report that leaves a wrong load.
#[test]
fn reports_count_once_and_in_order() {
    let mut ledger = LoadLedger::new();
    ledger.note_report(at(0), &source("n1", 1, 2), ENGINE, running(3));
    ledger.note_report(at(1), &source("n1", 1, 2), ENGINE, running(3));
    ledger.note_report(at(1), &source("n2", 1, 1), ENGINE, running(2));
    assert_eq!(known(&ledger, 2, "s1"), 5);
    assert_eq!(known(&ledger, 2, "n1"), 2, "the asker adds its own load");
    ledger.note_report(at(3), &source("n1", 1, 4), ENGINE, running(0));
    ledger.note_report(at(4), &source("n1", 1, 3), ENGINE, running(4));
    assert_eq!(known(&ledger, 5, "s1"), 2);
    // The report that n2's requests have ended is lost; the next one makes up for it.
    ledger.note_report(at(1_000), &source("n2", 1, 3), ENGINE, running(1));
    assert_eq!(known(&ledger, 1_001, "s1"), 1);
}

/// Guards against the load of an instance that has ended or started anew and stays counted.
#[test]
fn the_load_of_an_earlier_start_of_an_instance_ends() {
    let mut ledger = LoadLedger::new();
    ledger.note_report(at(0), &source("n1", 1, 90), ENGINE, running(3));
    ledger.note_report(at(10), &source("n1", 2, 1), ENGINE, running(1));
    ledger.note_report(at(20), &source("n1", 1, 91), ENGINE, running(3));
    assert_eq!(known(&ledger, 21, "s1"), 1);
    assert_eq!(known(&ledger, 2_500, "s1"), 1);
    assert_eq!(known(&ledger, 2_511, "s1"), 0);
    ledger.sweep(at(2_511));
    assert!(ledger.is_empty());
}

/// Guards against the load at a crashed engine that counts for its next start.
#[test]
fn a_new_start_of_an_engine_has_no_load() {
    let mut ledger = LoadLedger::new();
    let next = EngineKey { start: 2, ..ENGINE };
    ledger.note_report(at(0), &source("n1", 1, 1), ENGINE, running(9));
    ledger.note_report(at(10), &source("n2", 1, 1), next, running(1));
    ledger.note_report(at(11), &source("n1", 1, 2), ENGINE, running(9));
    let tracked = ledger.load_without(at(12), next, &instance("s1"));
    assert_eq!(tracked.load, running(1));
    assert_eq!(known(&ledger, 12, "s1"), 0);
}

/// Guards against repeats that make a prefill look as if the engine had not worked on it.
#[test]
fn a_repeated_prefill_counts_with_its_progress() {
    let mut ledger = LoadLedger::new();
    ledger.note_report(at(0), &source("n1", 1, 1), ENGINE, prefilling(400.0));
    ledger.note_report(at(500), &source("n1", 1, 2), ENGINE, prefilling(400.0));
    let tracked = ledger.load_without(at(600), ENGINE, &instance("s1"));
    assert_eq!(tracked.load, prefilling(100.0));
    assert_eq!(tracked.oldest.as_millis(), 100);
}

/// Guards against a ledger that grows without bound by reports of unknown engines.
#[test]
fn the_number_of_reports_is_bounded() {
    let mut ledger = LoadLedger::new();
    for hash in 0..20_000 {
        let key = EngineKey { hash, start: 1 };
        ledger.note_report(at(0), &source("n1", 1, hash + 1), key, running(1));
    }
    assert!(ledger.len() <= 16_384, "{}", ledger.len());
    ledger.sweep(at(3_000));
    ledger.note_report(at(3_000), &source("n1", 1, 30_000), ENGINE, running(1));
    assert_eq!(known(&ledger, 3_001, "s1"), 1);
}

/// Guards against a change of the fleet that moves most engines to other trackers, and
/// against trackers that are cut off from the engine while others are not.
#[test]
fn a_tracker_is_in_the_failure_domain_and_moves_with_its_instance_only() {
    let all = fleet(&["n1", "n2", "n3", "s1", "s2", "s3"]);
    let north = domain("north");
    let tracker = |engine: u64, all: &[TrackerCandidate<()>]| {
        tracker_of(engine, &north, all.iter()).map(|one| one.instance.clone())
    };
    let mut counts: BTreeMap<InstanceId, u32> = BTreeMap::new();
    for engine in 0..300 {
        let first = tracker(engine, &all).unwrap();
        *counts.entry(first.clone()).or_default() += 1;
        let left: Vec<_> = all
            .iter()
            .filter(|one| one.instance != instance("n2"))
            .cloned()
            .collect();
        let next = tracker(engine, &left).unwrap();
        assert!(next == first || first == instance("n2"));
        assert!(next.as_str().starts_with('n'));
    }
    assert_eq!(counts.len(), 3, "{counts:?}");
    assert!(counts.values().all(|count| (70..130).contains(count)));
    assert!(tracker(1, &fleet(&["s1", "s2"])).is_some());
}

/// Guards against a tracker that is left out for one slow moment, or is never asked again.
#[test]
fn a_silent_tracker_is_left_out_until_it_answers() {
    let mut health = TrackerHealth::new();
    let tracker = instance("n1");
    for _ in 0..5 {
        assert!(!health.note_missed(at(1_000), &tracker));
    }
    assert!(!health.note_answer(&tracker));
    let left_out: Vec<bool> = [2_000, 2_100, 2_150, 2_300, 2_400]
        .map(|now| health.note_missed(at(now), &tracker))
        .to_vec();
    assert_eq!(left_out, [false, false, false, true, false]);
    assert!(health.is_left_out(&tracker));
    assert!(health.take_due_probes(at(2_400)).is_empty());
    assert_eq!(
        health.take_due_probes(at(4_300)),
        std::slice::from_ref(&tracker)
    );
    assert!(health.take_due_probes(at(4_400)).is_empty());
    assert!(health.note_answer(&tracker));
    assert!(!health.is_left_out(&tracker));
}

/// The reports of one instance that reach two trackers: the loads of `engines` at `now`.
fn report_all(
    reporter: &mut LoadReporter,
    now: u64,
    name: &str,
    loads: &[(EngineCandidate, EngineLoad)],
    trackers: &[TrackerCandidate<()>],
    ledgers: &mut BTreeMap<InstanceId, LoadLedger>,
) -> usize {
    let tracker = |engine: &EngineCandidate| {
        let hash = engine.engine.hash;
        tracker_of(hash, &engine.domain, trackers.iter()).map(|one| one.instance.clone())
    };
    let due = reporter.take_due(at(now), loads.to_vec(), tracker);
    let count = due.len();
    for (tracker, loads) in due {
        let ledger = ledgers.entry(tracker).or_default();
        for (engine, load) in loads {
            ledger.note_report(at(now), &source(name, 1, now + 1), engine, load);
        }
    }
    count
}

/// Guards against a successor of a dead tracker that never learns the loads that don't
/// change, and against loads counted twice while instances disagree on the tracker.
#[test]
fn the_successor_of_a_tracker_is_complete_after_one_repeat() {
    let all = fleet(&["n1", "n2"]);
    let first = tracker_of(7, &domain("north"), all.iter()).unwrap().clone();
    let successor: Vec<_> = all.iter().filter(|one| **one != first).cloned().collect();
    let (old, new) = (&first.instance, &successor[0].instance);
    let mut ledgers = BTreeMap::new();
    let mut reporters = [LoadReporter::new(), LoadReporter::new()];
    let loads = [(engine(7), running(2))];
    for (reporter, name) in reporters.iter_mut().zip(["s1", "s2"]) {
        report_all(reporter, 0, name, &loads, &all, &mut ledgers);
    }
    assert_eq!(known(&ledgers[old], 1, "s3"), 4);
    // Only s1 knows that the tracker is dead; the successor then knows its load alone.
    let [first_reporter, second_reporter] = &mut reporters;
    report_all(first_reporter, 10, "s1", &loads, &successor, &mut ledgers);
    report_all(second_reporter, 10, "s2", &loads, &all, &mut ledgers);
    assert_eq!(known(&ledgers[new], 11, "s3"), 2);
    assert!(known(&ledgers[old], 11, "s3") <= 4);
    for now in [10 + REPEAT_MS, 10 + 2 * REPEAT_MS] {
        report_all(first_reporter, now, "s1", &loads, &successor, &mut ledgers);
        report_all(second_reporter, now, "s2", &loads, &successor, &mut ledgers);
        assert_eq!(known(&ledgers[new], now + 1, "s3"), 4);
    }
    // What was told to the old tracker ends there.
    assert_eq!(known(&ledgers[old], 10 + 3 * REPEAT_MS, "s3"), 0);
}

/// Guards against unchanged loads that are sent with each change of others, and against one
/// lost report of an ended load that leaves it counted.
#[test]
fn loads_are_reported_on_change_and_repeated() {
    let all = fleet(&["n1"]);
    let mut ledgers = BTreeMap::new();
    let mut reporter = LoadReporter::new();
    let mut report = |now: u64, loads: &[(EngineCandidate, EngineLoad)]| {
        report_all(&mut reporter, now, "s1", loads, &all, &mut ledgers)
    };
    let loads = [(engine(7), running(2))];
    assert_eq!(report(0, &loads), 1);
    assert_eq!(report(500, &loads), 0);
    assert_eq!(report(REPEAT_MS, &loads), 1);
    assert_eq!(report(1_200, &[]), 1, "the load has ended");
    assert_eq!(report(1_300, &[]), 0);
    assert_eq!(report(1_200 + REPEAT_MS, &[]), 1, "and is repeated once");
    assert_eq!(report(1_200 + 2 * REPEAT_MS, &[]), 0);
}
