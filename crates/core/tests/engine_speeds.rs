//! Learning the speeds of engines, and applying them.

use std::collections::BTreeMap;

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    directory::{EndpointRegistration, EngineStage, SoftwareVersion},
    ids::{EndpointId, FailureDomain, ServiceName},
    ingress::EngineRule,
    placement::{
        EngineKey, EngineSpeeds, EngineTable, PlanRequest, PrefillSample, PromptWork, SpeedClass,
        SpeedReport, SpeedSource,
    },
    routing::RoutingSettings,
    units::{ByteSize, TokenCount},
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const TOKENS: u64 = 4_000;
/// Tokens per ms of a usual engine.
const USUAL_RATE: f64 = 64.0;
const USUAL_CLASS: i32 = 48;
const MOST: usize = 32;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn key(hash: u64, start: u64) -> EngineKey {
    EngineKey { hash, start }
}

/// A prefill at an engine of this relative speed that began after `waited_ms`.
fn sample(engine: EngineKey, speed: f64, waited_ms: u64) -> PrefillSample {
    let prefill_ms = TOKENS as f64 / (USUAL_RATE * speed) + 20.0;
    PrefillSample {
        engine,
        tokens: TOKENS,
        elapsed: TimeSpan::from_millis(prefill_ms.round() as u64 + waited_ms),
        is_decode_stage: false,
    }
}

/// Notes `count` prefills, one each 300 ms from `from` on; returns the number of changes.
fn learn(
    speeds: &mut EngineSpeeds,
    from: u64,
    count: u64,
    sample_at: impl Fn(u64) -> PrefillSample,
) -> usize {
    let times = (0..count).map(|index| from + 300 * index);
    times
        .filter(|time| speeds.note_sample(at(*time), sample_at(*time)).is_some())
        .count()
}

fn class(speeds: &EngineSpeeds, engine: EngineKey) -> Option<i32> {
    speeds.class(engine).map(SpeedClass::number)
}

fn report(engine: EngineKey, class: i32, samples: u32, age_ms: u64) -> SpeedReport {
    SpeedReport {
        engine,
        class: SpeedClass::new(class),
        samples,
        age: TimeSpan::from_millis(age_ms),
    }
}

// Guards against: an engine that is slower than others gets as many prompts as they do.
#[test]
fn uneven_speeds_are_learned_within_some_prefills() {
    let mut speeds = EngineSpeeds::new();
    for (hash, speed) in [(1, 0.7), (2, 0.7), (3, 1.7), (4, 1.0)] {
        learn(&mut speeds, 0, 6, |_| sample(key(hash, 1), speed, 0));
    }
    let numbers: Vec<i32> = (1..=4)
        .map(|hash| class(&speeds, key(hash, 1)).unwrap())
        .collect();
    assert_eq!(
        numbers,
        [
            USUAL_CLASS - 4,
            USUAL_CLASS - 4,
            USUAL_CLASS + 6,
            USUAL_CLASS
        ]
    );
    // At half the speed in the decode stage, the engine is as fast as before.
    let decode = PrefillSample {
        is_decode_stage: true,
        ..sample(key(5, 1), 0.5, 0)
    };
    learn(&mut speeds, 0, 6, |_| decode);
    let shift = class(&speeds, key(5, 1)).unwrap() - USUAL_CLASS;
    assert!(shift.abs() <= 2, "{shift}");
}

// Guards against: a slow-down of some tenths of a second, or work that the sender didn't know
// of, moves the parts of an engine to others and back.
#[test]
fn short_slow_downs_and_unknown_work_change_no_class() {
    let mut speeds = EngineSpeeds::new();
    let engine = key(1, 1);
    learn(&mut speeds, 0, 12, |_| sample(engine, 1.0, 0));
    // Each 4 s a slow-down of 0.6 s.
    let changes = learn(&mut speeds, 4_000, 200, |time| {
        let speed = if time % 4_000 < 600 { 0.3 } else { 1.0 };
        sample(engine, speed, 0)
    });
    assert_eq!(changes, 0);
    // Every other prefill waits for others.
    let changes = learn(&mut speeds, 80_000, 200, |time| {
        sample(engine, 1.0, (time / 300 % 2) * 150)
    });
    assert_eq!((changes, class(&speeds, engine)), (0, Some(USUAL_CLASS)));
}

// Guards against: an engine that has become slower for good keeps its share of the prompts.
#[test]
fn a_lasting_slow_down_is_found_within_some_seconds() {
    let mut speeds = EngineSpeeds::new();
    let engine = key(1, 1);
    learn(&mut speeds, 0, 40, |_| sample(engine, 1.0, 0));
    learn(&mut speeds, 12_000, 12, |_| sample(engine, 0.6, 0));
    assert_eq!(class(&speeds, engine), Some(USUAL_CLASS - 6));
}

// Guards against: an estimate close to the edge of a class changes it with each prefill.
#[test]
fn small_differences_change_no_class() {
    let mut speeds = EngineSpeeds::new();
    let engine = key(1, 1);
    learn(&mut speeds, 0, 12, |_| sample(engine, 1.0, 0));
    let changes = learn(&mut speeds, 4_000, 200, |time| {
        sample(engine, if time / 3_000 % 2 == 0 { 0.94 } else { 1.05 }, 0)
    });
    assert_eq!(changes, 0);
}

// Guards against: an engine that has started again is taken for what it was before, or one
// that nobody has used for minutes for what it was then.
#[test]
fn classes_end_with_the_engine_and_age() {
    let mut speeds = EngineSpeeds::new();
    learn(&mut speeds, 0, 12, |_| sample(key(1, 1), 0.5, 0));
    assert_eq!(class(&speeds, key(1, 2)), None);
    assert!(!speeds.sweep(at(180_000)));
    assert!(speeds.sweep(at(190_000)));
    assert_eq!(class(&speeds, key(1, 1)), None);
}

// Guards against: two instances that both took an engine for theirs change its class to and
// fro, or an instance of an earlier time replaces what was learned since.
#[test]
fn of_two_reports_the_one_with_more_recent_evidence_counts() {
    let mut speeds = EngineSpeeds::new();
    let engine = key(1, 1);
    let source = SpeedSource::SameDomain;
    let note = |speeds: &mut EngineSpeeds, now, report| {
        speeds.note_report(at(now), report, source).is_some()
    };
    assert!(note(&mut speeds, 1_000, report(engine, 48, 12, 0)));
    assert!(!note(&mut speeds, 1_100, report(engine, 44, 6, 0)));
    // A report that was under way for long, or is sent by one that knows nothing newer.
    assert!(!note(&mut speeds, 1_200, report(engine, 40, 12, 60_000)));
    assert_eq!(class(&speeds, engine), Some(48));
    // A new tracker has fewer samples, and more recent ones.
    assert!(note(&mut speeds, 21_000, report(engine, 44, 5, 0)));
    assert_eq!(class(&speeds, engine), Some(44));
    assert!(!note(
        &mut speeds,
        21_000,
        report(key(2, 1), 44, 5, 200_000)
    ));
}

// Guards against: a lost datagram leaves instances with different speeds, or a large fleet
// makes datagrams too large.
#[test]
fn lost_reports_are_repeated_and_datagrams_are_bounded() {
    let (mut tracker, mut other) = (EngineSpeeds::new(), EngineSpeeds::new());
    for hash in 0..100 {
        learn(&mut tracker, 0, 6, |_| sample(key(hash, 1), 0.7, 0));
    }
    let source = SpeedSource::Samples;
    for round in 0..20 {
        let now = at(2_000 + 500 * round);
        let reports = tracker.reports(now, source, MOST);
        assert!(reports.len() <= MOST);
        if round % 4 == 0 {
            for report in reports {
                other.note_report(now, report, SpeedSource::SameDomain);
            }
        }
    }
    let known = (0..100).filter(|hash| class(&other, key(*hash, 1)).is_some());
    assert_eq!(known.count(), 100);
    // What changes is told at once.
    learn(&mut tracker, 20_000, 12, |_| sample(key(70, 1), 1.4, 0));
    let first = tracker.reports(at(24_000), source, 1)[0];
    assert_eq!(
        (first.engine, first.class.number()),
        (key(70, 1), USUAL_CLASS + 4)
    );
    // What others reported is not passed on as one's own.
    assert!(other.reports(at(24_000), source, MOST).is_empty());
}

// Guards against: the memory of an instance grows with each engine that ever ran.
#[test]
fn the_number_of_engines_is_bounded() {
    let mut speeds = EngineSpeeds::new();
    for hash in 0..9_000 {
        speeds.note_report(
            at(0),
            report(key(hash, 1), 48, 5, 0),
            SpeedSource::OtherDomain,
        );
    }
    let known = (0..9_000).filter(|hash| class(&speeds, key(*hash, 1)).is_some());
    assert_eq!(known.count(), 8_000);
}

fn engine_name(number: usize) -> String {
    format!("engine-{number}")
}

fn registration(name: &str, stage: EngineStage) -> EndpointRegistration {
    EndpointRegistration {
        id: EndpointId::new(name).unwrap(),
        start: 1,
        service: ServiceName::new("chat").unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: FailureDomain::new("a").unwrap(),
        version: SoftwareVersion::new("v1"),
        slots: 16,
        is_leaving: false,
        leaves_in: None,
        is_preemptible: false,
        stage: Some(stage),
        warming: TimeSpan::ZERO,
        sequence: 1,
    }
}

/// Engines that prefill, all of the usual class, and one that runs requests.
fn table(engines: usize) -> EngineTable {
    let mut table = EngineTable::new(RoutingSettings::default()).with_seed(1);
    table.set_speeds_applied(true);
    for number in 0..engines {
        let engine = registration(&engine_name(number), EngineStage::Prefill);
        table.set_engine(at(0), &engine);
        set_class(&mut table, number, USUAL_CLASS);
    }
    table.set_engine(at(0), &registration("runner", EngineStage::Decode));
    table
}

/// Reports the class of an engine with more samples than before.
fn set_class(table: &mut EngineTable, number: usize, class: i32) {
    let id = EndpointId::new(engine_name(number)).unwrap();
    let hash = table.hash(&id).unwrap();
    let samples = if class == USUAL_CLASS { 6 } else { 12 };
    let reports = [report(key(hash, 1), class, samples, 0)];
    table.note_speeds(at(0), &reports, SpeedSource::SameDomain);
}

/// The engine to which each of 600 shared parts is assigned.
fn assignment(table: &EngineTable) -> Vec<String> {
    let service = ServiceName::new("chat").unwrap();
    let rule = EngineRule {
        slots: 16,
        memory: TokenCount::new(465_010),
        token_bytes: ByteSize::new(18_432),
        link_bytes_per_ms: 68_750_000,
        handle_lifetime: TimeSpan::from_secs(5),
        stage_switch: TimeSpan::from_secs(3),
        has_backups: false,
    };
    let engines = (1..=600).map(|part: u32| {
        let parts = format!("{part:x}:20000,ffff{part:x}:10");
        let work = PromptWork::new("20010,100", &parts).unwrap();
        let request = PlanRequest {
            service: &service,
            rule: &rule,
            work: &work,
            priority: 1,
            excluded: &[],
            origin: None,
            time_left: TimeSpan::from_secs(60),
        };
        let plan = table.clone().plan(at(0), request).unwrap();
        plan.engine.id.to_string()
    });
    engines.collect()
}

fn shares(assignment: &[String]) -> BTreeMap<String, usize> {
    let mut shares = BTreeMap::new();
    for engine in assignment {
        *shares.entry(engine.clone()).or_default() += 1;
    }
    shares
}

// Guards against: parts of prompts move between engines in a deployment whose engines are even,
// where nothing is learned, or where speeds are not applied.
#[test]
fn with_equal_classes_parts_are_assigned_as_without() {
    let even = table(8);
    let mut not_applied = table(8);
    set_class(&mut not_applied, 3, USUAL_CLASS - 8);
    not_applied.set_speeds_applied(false);
    let hashes = |part: u64| {
        let names = (0..8).map(engine_name);
        names.max_by_key(|name| {
            let hash = xxh3_64_with_seed(name.as_bytes(), 0);
            xxh3_64_with_seed(&hash.to_le_bytes(), part)
        })
    };
    let highest: Vec<String> = (1..=600).map(|part| hashes(part).unwrap()).collect();
    assert_eq!(assignment(&even), highest);
    assert_eq!(assignment(&not_applied), highest);
}

// Guards against: a slow engine owns as many shared parts as others, and a change of its class
// moves parts between engines that haven't changed.
#[test]
fn a_slower_engine_owns_fewer_parts_and_only_its_parts_move() {
    let mut engines = table(8);
    let before = assignment(&engines);
    set_class(&mut engines, 3, USUAL_CLASS - 4);
    let after = assignment(&engines);
    let moved = before.iter().zip(&after).filter(|(old, new)| old != new);
    let moved: Vec<(&String, &String)> = moved.collect();
    let slow = engine_name(3);
    assert!(moved.iter().all(|(old, _)| **old == slow));
    let (before, after) = (shares(&before)[&slow], shares(&after)[&slow]);
    let ratio = after as f64 / before as f64;
    assert!((0.55..0.9).contains(&ratio), "{before} {after}");
    assert_eq!(moved.len(), before - after);
}

// Guards against: the time of a prefill is estimated by the typical speed at engines that are
// slower, which makes prompts late there.
#[test]
fn prefills_are_planned_by_the_speed_of_the_engine() {
    let mut engines = table(3);
    set_class(&mut engines, 0, USUAL_CLASS - 4);
    set_class(&mut engines, 1, USUAL_CLASS + 4);
    let factors = (0..3).map(|number| {
        let id = EndpointId::new(engine_name(number)).unwrap();
        (engines.speed_factor(&id).unwrap() * 100.0).round()
    });
    assert_eq!(factors.collect::<Vec<f64>>(), [71.0, 141.0, 100.0]);
    // A new start of the slow engine is taken for a typical one.
    let restarted = EndpointRegistration {
        start: 2,
        ..registration(&engine_name(0), EngineStage::Prefill)
    };
    engines.set_engine(at(1_000), &restarted);
    assert_eq!(engines.speed_factor(&restarted.id), Some(1.0));
}
