//! Limits that endpoints name for the requests of all entries together.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    endpoint_limits::{EndpointLimits, LIMIT_WINDOW, LimitStatement},
    ids::{EndpointId, InstanceId},
    units::MilliRequestRate,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// What the operators tolerate in a window, in multiples of the limit.
const TOLERATED_SHARE: f64 = 1.5;
/// What they tolerate in addition.
const TOLERATED_EXTRA: f64 = 5.0;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn endpoint(number: usize) -> EndpointId {
    EndpointId::new(format!("i-{number}")).unwrap()
}

fn names(count: usize) -> Vec<InstanceId> {
    let names = (0..count).map(|number| InstanceId::new(format!("edge-{number}")));
    names.collect::<Result<_, _>>().unwrap()
}

fn limited(rate: u64) -> LimitStatement {
    LimitStatement::Limited(MilliRequestRate::new(rate))
}

/// Entries that know of the limit of endpoint 0.
fn fleet(count: usize, rate: u64) -> Vec<EndpointLimits> {
    let names = names(count);
    let entries = names.iter().map(|local| {
        let others: Vec<&InstanceId> = names.iter().filter(|name| *name != local).collect();
        let mut limits = EndpointLimits::new();
        limits.note_answer(at(0), &endpoint(0), limited(rate));
        limits.set_entries(local, &others);
        limits
    });
    entries.collect()
}

fn most_in_window(sent: &[u64]) -> usize {
    let window = LIMIT_WINDOW.as_millis();
    let in_window = |from: u64| {
        let until = from + window;
        sent.iter().filter(|at| (from..until).contains(*at)).count()
    };
    sent.iter().map(|from| in_window(*from)).max().unwrap_or(0)
}

/// Guards against an endpoint in need that all entries of a fleet select at once: each has a
/// request every 20 to 60 ms and prefers the endpoint. The limit is used, too.
#[test]
fn the_parts_of_all_entries_add_up_to_the_limit() {
    for (count, rate) in [(1, 6_500), (9, 6_500), (85, 6_500), (985, 6_500), (9, 400)] {
        let mut random = ChaCha8Rng::seed_from_u64(count as u64);
        let mut entries = fleet(count, rate);
        let mut sent = Vec::new();
        for step in 0..800 {
            let now = step * 20;
            for entry in &mut entries {
                let is_exhausted = entry.exhausted(at(now)).contains(&endpoint(0));
                if !is_exhausted && random.random_ratio(2, 3) {
                    entry.note_sent(at(now), &endpoint(0));
                    entry.note_answer(at(now), &endpoint(0), limited(rate));
                    sent.push(now);
                }
            }
        }
        let allowed = rate as f64 / 1_000.0 * LIMIT_WINDOW.as_millis() as f64 / 1_000.0;
        let most = most_in_window(&sent);
        let tolerated = TOLERATED_SHARE * allowed + TOLERATED_EXTRA;
        assert!(most as f64 <= tolerated, "{count} entries: {most} requests");
        assert!(
            most as f64 >= 0.9 * allowed.floor(),
            "{count} entries: {most} requests"
        );
    }
}

/// Guards against entries without a part of the limit that never learn that it has ended, and
/// against a burst when they ask.
#[test]
fn entries_without_a_part_ask_one_after_the_other_whether_the_limit_holds() {
    const COUNT: usize = 200;
    const RATE: u64 = 2_000;
    let mut entries = fleet(COUNT, RATE);
    let mut sent = Vec::new();
    let mut reached = vec![false; COUNT];
    for step in 0..5_000 {
        let now = step * 100;
        for (entry, is_reached) in entries.iter_mut().zip(&mut reached) {
            if !entry.exhausted(at(now)).contains(&endpoint(0)) {
                entry.note_sent(at(now), &endpoint(0));
                entry.note_answer(at(now), &endpoint(0), limited(RATE));
                sent.push(now);
                *is_reached = true;
            }
        }
    }
    let allowed = RATE as f64 / 1_000.0 * LIMIT_WINDOW.as_millis() as f64 / 1_000.0;
    let most = most_in_window(&sent) as f64;
    assert!(
        most <= TOLERATED_SHARE * allowed + TOLERATED_EXTRA,
        "{most}"
    );
    assert!(reached.iter().all(|is_reached| *is_reached));
}

/// Guards against an entry that has just started and takes a limit for its own.
#[test]
fn an_entry_that_does_not_know_the_others_has_no_part() {
    let mut limits = EndpointLimits::new();
    limits.note_answer(at(0), &endpoint(0), limited(6_000));
    assert_eq!(limits.exhausted(at(1)), [endpoint(0)]);
    let names = names(3);
    limits.set_entries(&names[0], &[&names[1], &names[2]]);
    assert!(limits.exhausted(at(1)).is_empty());
}

#[test]
fn room_returns_after_the_window() {
    let mut limits = fleet(1, 500).remove(0);
    for now in [0, 1_000] {
        assert!(limits.exhausted(at(now)).is_empty());
        limits.note_sent(at(now), &endpoint(0));
    }
    assert_eq!(limits.exhausted(at(1_500)), [endpoint(0)]);
    let room_in = limits.room_in(at(1_500), |_| true);
    assert_eq!(room_in, Some(TimeSpan::from_millis(2_500)));
    assert_eq!(limits.room_in(at(1_500), |_| false), None);
    assert!(limits.exhausted(at(4_000)).is_empty());
    assert_eq!(limits.room_in(at(9_000), |_| true), None);
}

#[test]
fn an_answer_without_a_limit_lifts_it() {
    let mut limits = fleet(4, 100).remove(0);
    assert!(!limits.note_answer(at(5), &endpoint(0), limited(200)));
    assert!(limits.note_answer(at(6), &endpoint(0), LimitStatement::Unlimited));
    assert!(limits.is_empty());
    assert!(!limits.note_answer(at(7), &endpoint(0), LimitStatement::Unlimited));
}
