//! Which other instances an entry knows.

use bluebell_core::clock::ClockTime;
use bluebell_ingress::peers::{
    ChangeMessage, MAX_CHANGES_PER_DATAGRAM, PeerTable, RelayMessage, pack_changes,
};

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

#[test]
fn a_new_entry_does_not_take_the_whole_budget_for_itself() {
    // Many entries start at the same moment, and each knows nobody yet. If each took
    // the whole extra of the budget of repeats, a crash of engines in the first
    // seconds would bring the service that many times what the operators allow.
    let mut table = PeerTable::new();
    assert!(!table.is_complete(at(60_000)));
    table.note_read(at(60_000));
    assert!(!table.is_complete(at(60_100)));
    assert!(table.is_complete(at(62_000)));
}

fn change(number: usize) -> ChangeMessage {
    let value = format!(
        r#"{{"service":"chat","address":"10.1.0.{number}:8000","zone":"a","version":1,"slots":24}}"#
    );
    ChangeMessage {
        endpoint: format!("engine-{number}"),
        value: Some(value.into_bytes()),
        kept_for_ms: None,
    }
}

/// Guards against a mass change of registrations that makes every instance of a failure
/// domain read all of them from the store, because the reader told only some.
#[test]
fn all_of_many_changes_are_told_at_once() {
    let mut table = PeerTable::new();
    let changed = 6 * MAX_CHANGES_PER_DATAGRAM + 1;
    for number in 0..changed {
        table.note_change(at(1_000), change(number));
    }
    let mut told = Vec::new();
    while table.has_due_changes(at(1_010)) {
        let changes = table.take_due_changes(at(1_010));
        assert!(changes.len() <= MAX_CHANGES_PER_DATAGRAM);
        told.extend(changes);
    }
    told.sort_by(|one, two| one.endpoint.cmp(&two.endpoint));
    told.dedup_by(|one, two| one.endpoint == two.endpoint);
    assert_eq!(told.len(), changed);
}

/// Guards against a change that nobody hears of because its one datagram was lost, and
/// against one that is told for good.
#[test]
fn a_change_is_told_a_few_times() {
    let mut table = PeerTable::new();
    table.note_change(at(1_000), change(1));
    let times = (1_000..9_000).filter(|now| !table.take_due_changes(at(*now)).is_empty());
    let times: Vec<u64> = times.collect();
    assert!((2..=4).contains(&times.len()), "{times:?}");
    assert_eq!(times.first(), Some(&1_000));
}

/// Guards against datagrams of changes that fill the narrow links of an instance.
#[test]
fn packed_changes_are_small_and_come_back_whole() {
    let changes: Vec<ChangeMessage> = (0..MAX_CHANGES_PER_DATAGRAM).map(change).collect();
    let plain: usize = changes
        .iter()
        .map(|told| told.value.iter().flatten().count())
        .sum();
    let relay = RelayMessage {
        packed_changes: pack_changes(changes.clone()).unwrap(),
        ..RelayMessage::default()
    };
    assert!(relay.packed_changes.len() * 3 < plain);
    assert_eq!(relay.changes().unwrap(), changes);
    let broken = RelayMessage {
        packed_changes: vec![7; 20],
        ..RelayMessage::default()
    };
    assert!(broken.changes().is_err());
}
