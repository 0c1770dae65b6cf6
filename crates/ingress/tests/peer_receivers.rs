//! Which other instances an entry selects as targets of its messages.

use bluebell_core::{
    clock::ClockTime,
    ids::{FailureDomain, InstanceId},
    relay::ProcessStamp,
};
use bluebell_ingress::peers::{KnownPeer, PeerTable, TargetSelector};

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn instance(name: &str) -> InstanceId {
    InstanceId::new(name).unwrap()
}

fn domain(name: &str) -> FailureDomain {
    FailureDomain::new(name).unwrap()
}

/// Registers an instance of the failure domain `in_domain` in `table`.
fn register(table: &mut PeerTable, name: &str, in_domain: &str, port: u16) {
    let peer = KnownPeer {
        address: ([127, 0, 0, 1], port).into(),
        start: 1,
        domain: domain(in_domain),
        last_seen: None,
        stamp: ProcessStamp::default(),
    };
    table.register(&instance(name), peer);
}

fn selector() -> TargetSelector {
    TargetSelector::new(instance("a-1"), domain("a"))
}

/// Guards against failure domains that never exchange messages because messages within the
/// failure domain use up the interval at which unresponsive instances are probed.
#[test]
fn messages_within_a_failure_domain_do_not_use_up_probes_of_other_domains() {
    let mut table = PeerTable::new();
    register(&mut table, "a-2", "a", 1);
    register(&mut table, "b-1", "b", 2);
    for (same_domain_ms, broadcast_ms) in [(250, 309), (250, 800), (250, 250), (60, 1_000)] {
        let mut selector = selector();
        let mut cross_domain = 0;
        for now in 10_000..20_000 {
            if now % same_domain_ms == 0 {
                selector.same_domain_targets(at(now), &table);
            }
            if now % broadcast_ms == 0 {
                let targets = selector.broadcast_targets(at(now), &table);
                cross_domain += targets
                    .iter()
                    .filter(|target| !target.is_same_domain)
                    .count();
            }
        }
        assert!(
            cross_domain >= 3,
            "{cross_domain} with {same_domain_ms} and {broadcast_ms} ms"
        );
    }
}

/// Guards against a message in each interval to every instance that has stopped.
#[test]
fn unresponsive_instances_are_probed_and_alive_ones_get_every_message() {
    let mut table = PeerTable::new();
    register(&mut table, "b-1", "b", 1);
    register(&mut table, "b-2", "b", 2);
    let mut selector = selector();
    let mut messages = [0, 0];
    for now in (10_000..20_000).step_by(100) {
        table.note_message(at(now), &instance("b-1"), ProcessStamp::new(1, now));
        for target in selector.broadcast_targets(at(now), &table) {
            messages[usize::from(target.address.port() == 2)] += 1;
        }
    }
    assert_eq!(messages[0], 100);
    assert!((4..=6).contains(&messages[1]), "{messages:?}");
}

#[test]
fn messages_for_the_same_failure_domain_are_not_sent_to_other_domains() {
    let mut table = PeerTable::new();
    register(&mut table, "a-2", "a", 1);
    register(&mut table, "b-1", "b", 2);
    table.note_message(at(1_000), &instance("a-2"), ProcessStamp::new(1, 1));
    table.note_message(at(1_000), &instance("b-1"), ProcessStamp::new(1, 1));
    let targets = selector().same_domain_targets(at(1_100), &table);
    let ports: Vec<u16> = targets.iter().map(|target| target.address.port()).collect();
    assert_eq!(ports, [1]);
}

/// Guards against a start at which all instances read the store themselves because their
/// first message, sent before any other instance was known, counted as a probe.
#[test]
fn instances_that_register_after_the_first_message_get_the_next_one() {
    let mut table = PeerTable::new();
    let mut selector = selector();
    assert!(selector.broadcast_targets(at(10_000), &table).is_empty());
    register(&mut table, "b-1", "b", 1);
    assert_eq!(selector.broadcast_targets(at(10_060), &table).len(), 1);
    assert!(selector.broadcast_targets(at(10_120), &table).is_empty());
}
