//! Which other instances an entry tells what it has.

use bluebell_core::{
    clock::ClockTime,
    ids::{FailureDomain, InstanceId},
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

/// Who is known in `table`, in the failure domain of that name.
fn register(table: &mut PeerTable, name: &str, in_domain: &str, port: u16) {
    let peer = KnownPeer {
        address: ([127, 0, 0, 1], port).into(),
        start: 1,
        domain: domain(in_domain),
        last_seen: None,
        stamp: 0,
    };
    table.register(&instance(name), peer);
}

fn choice() -> TargetSelector {
    TargetSelector::new(instance("a-1"), domain("a"))
}

/// Guards against failure domains that never hear each other because words for the
/// own failure domain take the beat at which silent instances are told.
#[test]
fn frequent_words_within_a_failure_domain_do_not_keep_the_others_silent() {
    let mut table = PeerTable::new();
    register(&mut table, "a-2", "a", 1);
    register(&mut table, "b-1", "b", 2);
    for (near_ms, all_ms) in [(250, 309), (250, 800), (250, 250), (60, 1_000)] {
        let mut choice = choice();
        let mut told_far = 0;
        for now in 10_000..20_000 {
            if now % near_ms == 0 {
                choice.same_domain_targets(at(now), &table);
            }
            if now % all_ms == 0 {
                let receivers = choice.broadcast_targets(at(now), &table);
                told_far += receivers.iter().filter(|told| !told.is_same_domain).count();
            }
        }
        assert!(told_far >= 3, "{told_far} with {near_ms} and {all_ms} ms");
    }
}

/// Guards against a word in each interval to every instance that has gone.
#[test]
fn silent_instances_are_told_at_a_beat_and_heard_ones_each_time() {
    let mut table = PeerTable::new();
    register(&mut table, "b-1", "b", 1);
    register(&mut table, "b-2", "b", 2);
    let mut choice = choice();
    let mut told = [0, 0];
    for now in (10_000..20_000).step_by(100) {
        table.note_message(at(now), &instance("b-1"), now);
        for receiver in choice.broadcast_targets(at(now), &table) {
            told[usize::from(receiver.address.port() == 2)] += 1;
        }
    }
    assert_eq!(told[0], 100);
    assert!((4..=6).contains(&told[1]), "{told:?}");
}

#[test]
fn words_for_the_own_failure_domain_go_nowhere_else() {
    let mut table = PeerTable::new();
    register(&mut table, "a-2", "a", 1);
    register(&mut table, "b-1", "b", 2);
    table.note_message(at(1_000), &instance("a-2"), 1);
    table.note_message(at(1_000), &instance("b-1"), 1);
    let near = choice().same_domain_targets(at(1_100), &table);
    let ports: Vec<u16> = near.iter().map(|told| told.address.port()).collect();
    assert_eq!(ports, [1]);
}

/// Guards against a start at which all instances read the store for themselves because
/// the first word was said before anybody was known.
#[test]
fn instances_that_become_known_after_the_first_word_are_told_by_the_next() {
    let mut table = PeerTable::new();
    let mut choice = choice();
    assert!(choice.broadcast_targets(at(10_000), &table).is_empty());
    register(&mut table, "b-1", "b", 1);
    assert_eq!(choice.broadcast_targets(at(10_060), &table).len(), 1);
    assert!(choice.broadcast_targets(at(10_120), &table).is_empty());
}
