//! Selection of replicas of plain services.

use std::collections::{BTreeMap, BTreeSet};

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    directory::{EndpointRegistration, SoftwareVersion},
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
        version: SoftwareVersion::new("v1"),
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

fn table() -> ReplicaTable {
    ReplicaTable::new(RoutingSettings::default()).with_seed(3)
}

fn choose(table: &mut ReplicaTable, now: u64, excluded: &[EndpointId]) -> Option<EndpointId> {
    let choice = table.choose(at(now), replicas().iter(), excluded)?;
    Some(choice.endpoint)
}

#[test]
fn requests_spread_over_all_replicas() {
    let mut table = table();
    let mut counts: BTreeMap<EndpointId, u32> = BTreeMap::new();
    for _ in 0..30 {
        let chosen = choose(&mut table, 0, &[]).unwrap();
        table.sent(&chosen);
        *counts.entry(chosen).or_default() += 1;
    }
    assert!(
        counts.values().all(|count| (8..=12).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn a_replica_with_repeated_failures_is_ejected() {
    // A replica fails all its requests while its health check passes. Without ejection,
    // every third request would fail for as long as that lasts.
    let mut table = table();
    for _ in 0..3 {
        table.sent(&id("one"));
        table.failed(at(0), &id("one"));
    }
    for turn in 0..50 {
        assert_ne!(choose(&mut table, 10 + turn, &[]), Some(id("one")));
    }
}

#[test]
fn one_replica_serves_when_all_are_ejected() {
    let mut table = table();
    for name in ["one", "two", "three"] {
        for _ in 0..3 {
            table.sent(&id(name));
            table.failed(at(0), &id(name));
        }
    }
    let choice = table.choose(at(1), replicas().iter(), &[]).unwrap();
    assert!(choice.is_ejected);
}

#[test]
fn excluded_replicas_are_not_selected() {
    let mut table = table();
    let excluded = [id("one"), id("two")];
    assert_eq!(choose(&mut table, 0, &excluded), Some(id("three")));
    assert_eq!(
        choose(&mut table, 0, &[id("one"), id("two"), id("three")]),
        None
    );
}

#[test]
fn a_slow_replica_gets_fewer_requests() {
    let mut table = table();
    for turn in 0..60 {
        for (name, latency_ms) in [("one", 200), ("two", 15), ("three", 15)] {
            table.sent(&id(name));
            table.answered(at(turn), &id(name), TimeSpan::from_millis(latency_ms));
        }
    }
    let mut slow_count = 0;
    for _ in 0..24 {
        let chosen = choose(&mut table, 100, &[]).unwrap();
        slow_count += u32::from(chosen == id("one"));
        table.sent(&chosen);
    }
    assert!(slow_count <= 3, "{slow_count}");
}

#[test]
fn replicas_in_unreachable_domains_are_selected_last() {
    let mut table = table();
    let unreachable = ["a", "b"].map(|name| FailureDomain::new(name).unwrap());
    table.set_unreachable_domains(BTreeSet::from(unreachable));
    for _ in 0..10 {
        assert_eq!(choose(&mut table, 0, &[]), Some(id("three")));
        table.sent(&id("three"));
    }
    assert!(choose(&mut table, 0, &[id("three")]).is_some());
}

#[test]
fn abandoned_requests_do_not_count_as_outstanding() {
    let mut table = table();
    for _ in 0..40 {
        table.sent(&id("one"));
        table.released(&id("one"));
    }
    let choice = table.choose(at(0), replicas().iter(), &[id("two"), id("three")]);
    assert_eq!(choice.unwrap().outstanding, 0);
}

/// Guards against a replica that answers all its requests with failures, faster than the others
/// answer theirs: it would draw most of the requests.
#[test]
fn a_replica_that_answers_with_failures_gets_few_requests() {
    let mut table = table();
    let mut failures = 0;
    for turn in 0..300 {
        let now = turn * 20;
        let chosen = choose(&mut table, now, &[]).unwrap();
        table.sent(&chosen);
        if chosen == id("one") {
            failures += 1;
            table.answered_failure(at(now + 2), &chosen);
        } else {
            table.answered(at(now + 20), &chosen, TimeSpan::from_millis(20));
        }
    }
    assert!(failures <= 3, "{failures} of 300 requests failed");
}

/// Guards against a healthy replica that is left out for good after a failure that its request
/// was the reason for, and against a service whose replicas all fail such requests.
#[test]
fn a_replica_is_used_again_after_a_failure_that_did_not_recur() {
    let mut table = table();
    for replica in ["one", "two"] {
        table.sent(&id(replica));
        table.answered_failure(at(0), &id(replica));
    }
    assert_eq!(choose(&mut table, 10, &[]), Some(id("three")));
    assert!(choose(&mut table, 10, &[id("three")]).is_some());
    let mut used = BTreeSet::new();
    for turn in 0..50 {
        used.extend(choose(&mut table, 20_000 + turn, &[]));
    }
    assert_eq!(used.len(), 3);
}

/// Guards against a wrong sum, or an end of the process, if other writers register more slots than can
/// be counted.
#[test]
fn slots_beyond_the_range_are_counted_as_the_most_there_can_be() {
    let mut registered = replicas();
    for registration in &mut registered[..2] {
        registration.slots = u32::MAX;
    }
    let room = table().room(at(0), registered.iter());
    assert_eq!(room.slots, u32::MAX);
}
