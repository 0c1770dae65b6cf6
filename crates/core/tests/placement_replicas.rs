//! Choosing replicas of plain services.

use std::collections::{BTreeMap, BTreeSet};

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    directory::EndpointRegistration,
    ids::{EndpointId, FailureDomain, ServiceName},
    placement::ReplicaTable,
    routing::RoutingSettings,
};

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn id(name: &str) -> EndpointId {
    EndpointId::new(name).unwrap()
}

fn replicas() -> Vec<EndpointRegistration> {
    let replica = |(name, domain): (&str, &str)| EndpointRegistration {
        id: id(name),
        start: 1,
        service: ServiceName::new("till").unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: FailureDomain::new(domain).unwrap(),
        slots: 6,
        is_leaving: false,
        leaves_in: None,
        is_preemptible: false,
        stage: None,
        warming: TimeSpan::ZERO,
        sequence: 1,
    };
    [("one", "a"), ("two", "b"), ("three", "c")]
        .map(replica)
        .to_vec()
}

fn books() -> ReplicaTable {
    ReplicaTable::new(RoutingSettings::default()).with_seed(3)
}

fn choose(books: &mut ReplicaTable, now: u64, tried: &[EndpointId]) -> Option<EndpointId> {
    let choice = books.choose(at(now), replicas().iter(), tried)?;
    Some(choice.endpoint)
}

#[test]
fn work_spreads_over_all_replicas() {
    let mut books = books();
    let mut counts: BTreeMap<EndpointId, u32> = BTreeMap::new();
    for _ in 0..30 {
        let chosen = choose(&mut books, 0, &[]).unwrap();
        books.sent(&chosen);
        *counts.entry(chosen).or_default() += 1;
    }
    assert!(
        counts.values().all(|count| (8..=12).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn a_replica_that_fails_again_and_again_is_left_alone() {
    // A replica fails what it gets while its health check is good. Callers of every
    // third request would see a failure for as long as that lasts.
    let mut books = books();
    for _ in 0..3 {
        books.sent(&id("one"));
        books.failed(at(0), &id("one"));
    }
    for turn in 0..50 {
        assert_ne!(choose(&mut books, 10 + turn, &[]), Some(id("one")));
    }
}

#[test]
fn with_all_replicas_ejected_one_of_them_serves() {
    let mut books = books();
    for name in ["one", "two", "three"] {
        for _ in 0..3 {
            books.sent(&id(name));
            books.failed(at(0), &id(name));
        }
    }
    let choice = books.choose(at(1), replicas().iter(), &[]).unwrap();
    assert!(choice.is_ejected);
}

#[test]
fn a_replica_that_was_tried_is_not_tried_again() {
    let mut books = books();
    let tried = [id("one"), id("two")];
    assert_eq!(choose(&mut books, 0, &tried), Some(id("three")));
    assert_eq!(
        choose(&mut books, 0, &[id("one"), id("two"), id("three")]),
        None
    );
}

#[test]
fn a_slow_replica_gets_less() {
    let mut books = books();
    for turn in 0..60 {
        for (name, took) in [("one", 200), ("two", 15), ("three", 15)] {
            books.sent(&id(name));
            books.answered(at(turn), &id(name), TimeSpan::from_millis(took));
        }
    }
    let mut slow = 0;
    for _ in 0..24 {
        let chosen = choose(&mut books, 100, &[]).unwrap();
        slow += u32::from(chosen == id("one"));
        books.sent(&chosen);
    }
    assert!(slow <= 3, "{slow}");
}

#[test]
fn replicas_behind_a_cut_are_the_last_choice() {
    let mut books = books();
    let cut = ["a", "b"].map(|name| FailureDomain::new(name).unwrap());
    books.set_unreachable_domains(BTreeSet::from(cut));
    for _ in 0..10 {
        assert_eq!(choose(&mut books, 0, &[]), Some(id("three")));
        books.sent(&id("three"));
    }
    assert!(choose(&mut books, 0, &[id("three")]).is_some());
}

#[test]
fn requests_that_were_given_up_don_t_stay_on_the_books() {
    let mut books = books();
    for _ in 0..40 {
        books.sent(&id("one"));
        books.released(&id("one"));
    }
    let choice = books.choose(at(0), replicas().iter(), &[id("two"), id("three")]);
    assert_eq!(choice.unwrap().outstanding, 0);
}
