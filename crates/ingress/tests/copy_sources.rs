//! Which instances read the store, and from which the others copy its state.

use bluebell_core::{
    clock::ClockTime,
    ids::{FailureDomain, InstanceId},
    relay::{DIRECT_READERS, ProcessStamp},
};
use bluebell_ingress::peers::{KnownPeer, PeerTable};

const INSTANCES: u16 = 200;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn domain(name: &str) -> FailureDomain {
    FailureDomain::new(name).unwrap()
}

fn instance(number: u16) -> InstanceId {
    InstanceId::new(format!("entry-{number:03}").as_str()).unwrap()
}

/// The table of instance `local`, which knows all others of its failure domain and as many
/// in another one.
fn table(local: u16) -> PeerTable {
    let mut table = PeerTable::new();
    for number in (0..2 * INSTANCES).filter(|number| *number != local) {
        let peer = KnownPeer {
            address: ([127, 0, 0, 1], 1_000 + number).into(),
            start: 1,
            domain: domain(if number < INSTANCES { "a" } else { "b" }),
            last_seen: None,
            stamp: ProcessStamp::default(),
        };
        table.register(&instance(number), peer);
    }
    table
}

/// Guards against all instances of a failure domain taking themselves for its reader at a
/// start, before any message has arrived.
#[test]
fn instances_that_start_together_agree_on_the_readers() {
    let ranks = (0..INSTANCES).map(|number| {
        let mut table = table(number);
        assert_eq!(table.rank(at(0), &instance(number), &domain("a")), None);
        table.note_bootstrap();
        table.rank(at(0), &instance(number), &domain("a")).unwrap()
    });
    let direct = ranks.filter(|rank| *rank < DIRECT_READERS).count();
    assert_eq!(direct, DIRECT_READERS);
}

/// Guards against an instance that waits for one that is registered but gone.
#[test]
fn the_rank_counts_instances_that_are_alive_once_all_can_have_sent_a_message() {
    let mut table = table(50);
    table.note_read(at(0));
    let local = instance(50);
    table.note_message(at(2_000), &instance(7), ProcessStamp::new(1, 1));
    assert_eq!(table.rank(at(100), &local, &domain("a")), Some(50));
    assert_eq!(table.rank(at(2_100), &local, &domain("a")), Some(1));
}

/// Guards against a copy from another failure domain, whose bytes have a price, and against
/// depending on one source alone.
#[test]
fn copies_come_from_several_instances_of_the_own_failure_domain() {
    let mut table = table(50);
    table.note_bootstrap();
    let sources = table.copy_sources(at(0), &instance(50), &domain("a"));
    assert!(sources.len() > 1);
    let is_own = |port: u16| (1_000..1_000 + INSTANCES).contains(&port);
    assert!(sources.iter().all(|source| is_own(source.port())));
    // Instance 50 is the third of those that copy from instance 5.
    assert_eq!(sources[0].port(), 1_005);
}

/// Guards against usage that is sent to an instance which the store turns away and which
/// can't publish it.
#[test]
fn an_instance_that_relays_current_state_is_the_reader() {
    let mut table = table(50);
    table.note_read(at(0));
    for number in [0, 3] {
        table.note_message(at(2_000), &instance(number), ProcessStamp::new(1, 1));
    }
    let local = instance(50);
    assert_eq!(table.reader(at(2_100), &local, &domain("a")), instance(0));
    table.note_relay(at(2_000), &instance(3));
    assert_eq!(table.reader(at(2_100), &local, &domain("a")), instance(3));
    // Instance 3 relays nothing any more.
    assert_eq!(table.reader(at(3_500), &local, &domain("a")), instance(0));
}
