//! Rest that endpoints ask for, and what they say of their leaving.

use std::collections::BTreeMap;

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    endpoint_notices::{CallObstacle, EndpointNotice, EndpointNotices, MAX_REST},
    ids::EndpointId,
};
use rand::{
    Rng, SeedableRng,
    seq::{IndexedMutRandom, IndexedRandom},
};
use rand_chacha::ChaCha8Rng;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn rest(millis: u64) -> EndpointNotice {
    EndpointNotice::Rest(TimeSpan::from_millis(millis))
}

fn endpoint(number: usize) -> EndpointId {
    EndpointId::new(format!("i-{number}")).unwrap()
}

#[test]
fn an_endpoint_rests_for_as_long_as_it_asked() {
    let mut notices = EndpointNotices::new();
    assert!(notices.note(at(1_000), &endpoint(1), 1, rest(3_000)));
    let left = TimeSpan::from_millis(500);
    let obstacle = notices.obstacle(at(3_500), &endpoint(1), 1);
    assert_eq!(obstacle, Some(CallObstacle::Resting(left)));
    assert_eq!(notices.not_callable(at(3_500)), [endpoint(1)]);
    assert_eq!(notices.obstacle(at(4_000), &endpoint(1), 1), None);
    assert!(notices.not_callable(at(4_000)).is_empty());
    notices.sweep(at(4_000));
    assert!(notices.is_empty());
}

/// Guards against a shorter rest that ends a longer one which was asked for before.
#[test]
fn the_longest_rest_counts() {
    let mut notices = EndpointNotices::new();
    notices.note(at(0), &endpoint(1), 1, rest(5_000));
    assert!(!notices.note(at(100), &endpoint(1), 1, rest(1_000)));
    assert!(notices.obstacle(at(4_900), &endpoint(1), 1).is_some());
}

/// Guards against an endpoint that is never called again because an earlier start asked for rest.
#[test]
fn a_new_start_ends_the_rest() {
    let mut notices = EndpointNotices::new();
    notices.note(at(0), &endpoint(1), 5, rest(60_000));
    notices.note(at(0), &endpoint(2), 5, EndpointNotice::Leaving);
    assert_eq!(notices.obstacle(at(10), &endpoint(1), 6), None);
    for number in [1, 2] {
        notices.note_started(at(4_000), &endpoint(number), 6);
    }
    assert!(notices.not_callable(at(4_000)).is_empty());
    // A late answer of the earlier start says nothing of the new one.
    notices.note(at(4_020), &endpoint(1), 6, rest(100));
    assert!(!notices.note(at(4_030), &endpoint(1), 5, rest(60_000)));
    assert_eq!(notices.obstacle(at(4_200), &endpoint(1), 6), None);
}

/// Guards against requests to an endpoint that asked for rest before its new start was known.
#[test]
fn a_rest_of_a_start_that_is_not_known_yet_holds_for_it() {
    let mut notices = EndpointNotices::new();
    notices.note(at(1_000), &endpoint(1), 5, rest(3_000));
    notices.note_started(at(2_500), &endpoint(1), 6);
    let left = TimeSpan::from_millis(1_500);
    let obstacle = notices.obstacle(at(2_500), &endpoint(1), 6);
    assert_eq!(obstacle, Some(CallObstacle::Resting(left)));
    assert_eq!(notices.obstacle(at(4_000), &endpoint(1), 6), None);
}

#[test]
fn an_absurd_rest_is_cut() {
    let mut notices = EndpointNotices::new();
    notices.note(
        at(1_000),
        &endpoint(1),
        1,
        EndpointNotice::Rest(TimeSpan::MAX),
    );
    let obstacle = notices.obstacle(at(1_000), &endpoint(1), 1);
    assert_eq!(obstacle, Some(CallObstacle::Resting(MAX_REST)));
}

/// Guards against refusals without the time at which an endpoint is available again.
#[test]
fn the_shortest_rest_of_the_candidates_is_known() {
    let mut notices = EndpointNotices::new();
    notices.note(at(0), &endpoint(1), 1, rest(5_000));
    notices.note(at(0), &endpoint(2), 1, rest(2_000));
    notices.note(at(0), &endpoint(3), 1, rest(1_000));
    notices.note(at(0), &endpoint(4), 1, EndpointNotice::Leaving);
    let shortest = notices.shortest_rest(at(500), |id| *id != endpoint(3));
    assert_eq!(shortest, Some(TimeSpan::from_millis(1_500)));
    assert_eq!(
        notices.shortest_rest(at(500), |id| *id == endpoint(4)),
        None
    );
}

/// An endpoint of the model.
struct ModelEndpoint {
    id: EndpointId,
    start: u64,
    /// The rests that this start has asked for: when, and until when.
    rests: Vec<(u64, u64)>,
    left_at: Option<u64>,
}

/// A call that was decided and is not written yet.
struct ModelCall {
    written_at: u64,
    endpoint: usize,
    start: u64,
}

/// Guards against calls of any kind to endpoints that asked for rest or said that they leave: calls
/// are decided long before they are written, endpoints restart under their ids, ask for rest while
/// they rest, and all of them may rest at once.
#[test]
fn no_call_is_written_to_an_endpoint_at_rest() {
    for seed in 0..100 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut notices = EndpointNotices::new();
        let new_endpoint = |number| ModelEndpoint {
            id: endpoint(number),
            start: 1,
            rests: Vec::new(),
            left_at: None,
        };
        let mut endpoints: Vec<ModelEndpoint> = (0..4).map(new_endpoint).collect();
        let mut calls: Vec<ModelCall> = Vec::new();
        let mut at_rest: BTreeMap<(usize, u64, u64), u32> = BTreeMap::new();
        let mut written = 0;
        for now in (0..30_000).step_by(10) {
            let excluded = notices.not_callable(at(now));
            let free = (0..4).filter(|number| !excluded.contains(&endpoints[*number].id));
            let free: Vec<usize> = free.collect();
            if let Some(number) = free.choose(&mut random) {
                calls.push(ModelCall {
                    written_at: now + random.random_range(0..600),
                    endpoint: *number,
                    start: endpoints[*number].start,
                });
            }
            let due: Vec<ModelCall> = calls
                .extract_if(.., |call| call.written_at <= now)
                .collect();
            for call in due {
                let target = &mut endpoints[call.endpoint];
                let obstacle = notices.obstacle(at(now), &target.id, call.start);
                if obstacle.is_some() || call.start != target.start {
                    continue;
                }
                written += 1;
                assert!(
                    target.left_at.is_none(),
                    "seed {seed}: left, called at {now}"
                );
                for (asked, until) in &target.rests {
                    if now >= asked + 500 && now < *until {
                        let key = (call.endpoint, call.start, *asked);
                        *at_rest.entry(key).or_default() += 1;
                    }
                }
                if random.random_bool(0.05) {
                    let span = random.random_range(100..4_000);
                    target.rests.push((now, now + span));
                    notices.note(at(now), &target.id, target.start, rest(span));
                } else if random.random_bool(0.005) {
                    target.left_at = Some(now);
                    notices.note(at(now), &target.id, target.start, EndpointNotice::Leaving);
                }
            }
            if random.random_bool(0.002) {
                let target = endpoints.choose_mut(&mut random).unwrap();
                target.start += 1;
                target.rests.clear();
                target.left_at = None;
                notices.note_started(at(now), &target.id, target.start);
            }
            if now % 5_000 == 0 {
                notices.sweep(at(now));
            }
        }
        assert!(written > 100, "seed {seed}: {written}");
        assert!(at_rest.is_empty(), "seed {seed}: {at_rest:?}");
    }
}
