//! Closing usage windows while instances are gone or cut off and an outage of the store is near.

use std::collections::BTreeMap;

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{InstanceId, OrganisationId},
    records::UsageWindow,
    usage::{MeterWriter, UsageLedger, UsageMeter, UsageSchedule},
};

const WINDOW: TimeSpan = TimeSpan::from_secs(5);
const LATENESS: TimeSpan = TimeSpan::from_secs(10);
/// The start of the run on the wall clock, one second before a window starts.
const START: u64 = 1_004_000;
/// How often the leader looks for work, and how often it reads the counts at most, in ms.
const POLL: u64 = 250;
const READ_INTERVAL: u64 = 400;
/// How long after a publication was due the last instance has made it, in ms.
const PUBLICATION_TIME: u64 = 50;

/// A span of the run in ms.
type Span = std::ops::Range<u64>;

/// What goes wrong, in ms after the start.
#[derive(Clone)]
struct Trouble {
    /// When the first instance is removed for good.
    gone_at: u64,
    /// How many further instances are cut off from the store, and when. They go on to serve.
    cut: (usize, Span),
    /// When nobody reaches the store.
    outage: Span,
}

#[derive(Default)]
struct Fleet {
    meters: Vec<UsageMeter>,
    ledger: UsageLedger,
    truth: BTreeMap<UsageWindow, u64>,
    /// When each window was closed, with its count.
    closed: Vec<(UsageWindow, u64, u64)>,
}

fn schedule() -> UsageSchedule {
    UsageSchedule::new(WINDOW, LATENESS)
}

fn instance(number: usize) -> InstanceId {
    InstanceId::new(format!("entry-{number}")).unwrap()
}

fn wall(millis: u64) -> ClockTime {
    ClockTime::from_millis(START + millis)
}

/// The windows that are closed by `end` by a leader that is the last of `instances`.
fn run(instances: usize, trouble: &Trouble, end: u64) -> Fleet {
    let mut fleet = Fleet {
        meters: vec![UsageMeter::new(); instances],
        ..Fleet::default()
    };
    let organisation = OrganisationId::new("magnolia").unwrap();
    let mut publish_at = schedule().until_publication(wall(0)).as_millis() + PUBLICATION_TIME;
    let mut read_at = 0;
    let mut published = Vec::new();
    for now in (0..end).step_by(10) {
        let is_gone = |number| number == 0 && now >= trouble.gone_at;
        let is_cut = |number| number > 0 && number <= trouble.cut.0 && trouble.cut.1.contains(&now);
        let has_store = !trouble.outage.contains(&now);
        for number in (0..instances).filter(|number| !is_gone(*number)) {
            let window = schedule().current(wall(now));
            fleet.meters[number].count(window, &organisation);
            *fleet.truth.entry(window).or_default() += 1;
        }
        if now >= publish_at {
            publish_at = now + schedule().until_publication(wall(now)).as_millis();
            publish_at += PUBLICATION_TIME;
            let numbers = (0..instances).filter(|number| !is_gone(*number) && !is_cut(*number));
            published.extend(numbers.filter(|_| has_store).map(|number| {
                let unsettled = schedule().first_unsettled(wall(now));
                (number, unsettled, fleet.meters[number].last_windows(3))
            }));
        }
        if now % POLL == 0 && has_store {
            let reported = fleet.closed.last().map(|(window, _, _)| *window);
            let first = schedule().current(wall(0));
            if let Some(window) = schedule().next_report(wall(now), reported, first) {
                if now >= read_at {
                    read_at = now + READ_INTERVAL;
                    published
                        .drain(..)
                        .for_each(|record| note(&mut fleet.ledger, record));
                }
                let current = schedule().current(wall(now));
                let is_waiting = fleet.ledger.pending(window, current).next().is_some();
                if !is_waiting || schedule().is_overdue(wall(now), window) {
                    let count = fleet.ledger.sum(window).values().sum();
                    fleet.closed.push((window, now, count));
                }
            }
        }
    }
    fleet
}

type Publication = (
    usize,
    UsageWindow,
    Vec<(UsageWindow, bluebell_core::usage::MeteredCounts)>,
);

fn note(ledger: &mut UsageLedger, (number, unsettled, windows): Publication) {
    let instance = instance(number);
    ledger.note_reached(instance.clone(), unsettled);
    for (window, counts) in windows {
        let writer = MeterWriter {
            instance: instance.clone(),
            start: 1,
        };
        ledger.record(window, writer, counts);
    }
}

/// Guards against windows that are late because they wait, until shortly before they are due, for
/// an instance that was removed for good, and an outage of the store begins meanwhile. Instances
/// that were cut off for some seconds and have served callers are still waited for.
#[test]
fn windows_are_closed_before_an_outage_although_an_instance_is_gone() {
    for instances in [9, 85] {
        let trouble = Trouble {
            gone_at: 3_000,
            cut: (instances * 3 / 10, 8_000..16_000),
            outage: 18_000..26_000,
        };
        let fleet = run(instances, &trouble, 60_000);
        let end = |window: UsageWindow| window.next().number() * WINDOW.as_millis() - START;
        let ended = fleet
            .closed
            .iter()
            .filter(|(window, _, _)| end(*window) <= 16_000);
        let late: Vec<_> = ended.filter(|(_, at, _)| *at >= 18_000).collect();
        assert!(late.is_empty(), "{instances} instances: {late:?}");
        for (window, at, count) in &fleet.closed {
            let due = end(*window) + LATENESS.as_millis();
            assert!(
                *at + 1_000 <= due,
                "window {window} is closed at {at}, due at {due}"
            );
            let truth = fleet.truth[window];
            assert!(
                *count * 100 >= truth * 95,
                "window {window}: {count} of {truth}"
            );
        }
        let windows: Vec<_> = fleet.closed.iter().map(|(window, _, _)| *window).collect();
        assert!(
            windows.is_sorted_by(|one, next| one.next() == *next),
            "{windows:?}"
        );
    }
}

/// Guards against a window that is closed without the counts of instances that are still cut off.
#[test]
fn a_window_waits_for_instances_that_are_cut_off() {
    let trouble = Trouble {
        gone_at: u64::MAX,
        cut: (25, 8_000..16_000),
        outage: 0..0,
    };
    let fleet = run(85, &trouble, 30_000);
    for (window, at, count) in &fleet.closed {
        assert_eq!(
            *count, fleet.truth[window],
            "window {window}, closed at {at}"
        );
    }
}

/// Guards against counts of the end of a window that are published long after it.
#[test]
fn counts_are_published_soon_after_the_end_of_a_window() {
    for length in [1, 2, 5, 60] {
        let schedule = UsageSchedule::new(TimeSpan::from_secs(length), LATENESS);
        let mut now = ClockTime::from_millis(length * 1_000 * 100);
        let end = now + TimeSpan::from_secs(length);
        let mut times = Vec::new();
        while now < end {
            now = now + schedule.until_publication(now);
            times.push(now);
        }
        assert!((3..=5).contains(&times.len()), "{length} s: {times:?}");
        let first = times[0].since(end - TimeSpan::from_secs(length));
        assert!(first <= TimeSpan::from_millis(500), "{length} s: {first}");
        assert!(times[0] - TimeSpan::from_millis(60) >= end - TimeSpan::from_secs(length));
    }
}
