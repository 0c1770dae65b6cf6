//! The table of the other instances, and the changes that are sent to them.

use bluebell_core::{
    clock::ClockTime,
    ids::{FailureDomain, InstanceId},
    relay::ProcessStamp,
};
use bluebell_ingress::peers::{
    ChangeMessage, KnownPeer, MAX_CHANGES_PER_DATAGRAM, PeerTable, RelayMessage, pack_changes,
};

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

#[test]
fn a_new_entry_does_not_take_the_whole_retry_budget() {
    // Many entries start at the same moment, and none has read the registrations of the
    // others yet. If each took the whole extra of the retry budget, a crash of engines in
    // the first seconds would bring the service that many times the retries that the
    // operators allow.
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
        ..ChangeMessage::default()
    }
}

/// Guards against a mass change of registrations that makes every instance of a failure
/// domain read all of them from the store, because the reader sent only some.
#[test]
fn all_of_many_changes_are_sent_at_once() {
    let mut table = PeerTable::new();
    let changed = 6 * MAX_CHANGES_PER_DATAGRAM + 1;
    for number in 0..changed {
        table.note_change(at(1_000), change(number));
    }
    let mut sent = Vec::new();
    while table.has_due_changes(at(1_010)) {
        let changes = table.take_due_changes(at(1_010));
        assert!(changes.len() <= MAX_CHANGES_PER_DATAGRAM);
        sent.extend(changes);
    }
    sent.sort_by(|first, second| first.endpoint.cmp(&second.endpoint));
    sent.dedup_by(|first, second| first.endpoint == second.endpoint);
    assert_eq!(sent.len(), changed);
}

/// Guards against a change that does not arrive because its only datagram was lost, and
/// against one that is sent forever.
#[test]
fn a_change_is_sent_a_few_times() {
    let mut table = PeerTable::new();
    table.note_change(at(1_000), change(1));
    let times = (1_000..9_000).filter(|now| !table.take_due_changes(at(*now)).is_empty());
    let times: Vec<u64> = times.collect();
    assert!((2..=4).contains(&times.len()), "{times:?}");
    assert_eq!(times.first(), Some(&1_000));
}

/// Guards against an instance that keeps a lapsed endpoint for longer than its reader, because the
/// first datagram was lost.
#[test]
fn a_resent_lapse_carries_the_remaining_time() {
    let mut table = PeerTable::new();
    let lapse = ChangeMessage {
        endpoint: "engine-1".to_string(),
        kept_for_ms: Some(900),
        ..ChangeMessage::default()
    };
    table.note_change(at(1_000), lapse);
    let mut left = Vec::new();
    for now in 1_000..9_000 {
        let sent = table.take_due_changes(at(now));
        left.extend(sent.iter().map(|change| (now, change.kept_for_ms)));
    }
    assert!(left.len() > 1, "{left:?}");
    for (now, kept_for_ms) in left {
        assert_eq!(kept_for_ms, Some(900_u64.saturating_sub(now - 1_000)));
    }
}

/// Guards against datagrams of changes that use up the low bandwidth of an instance's links.
#[test]
fn packed_changes_are_small_and_decode_completely() {
    let changes: Vec<ChangeMessage> = (0..MAX_CHANGES_PER_DATAGRAM).map(change).collect();
    let unpacked_bytes: usize = changes
        .iter()
        .map(|change| change.value.iter().flatten().count())
        .sum();
    let relay = RelayMessage {
        packed_changes: pack_changes(changes.clone()).unwrap(),
        ..RelayMessage::default()
    };
    assert!(relay.packed_changes.len() * 3 < unpacked_bytes);
    assert_eq!(relay.changes().unwrap(), changes);
    let broken = RelayMessage {
        packed_changes: vec![7; 20],
        ..RelayMessage::default()
    };
    assert!(broken.changes().is_err());
}

/// Guards against a mass change that is sent to hundreds of instances by datagrams, of which most
/// are lost on the way, while what few there are can still be told.
#[test]
fn changes_that_exceed_what_can_be_sent_are_left_out() {
    let domain = FailureDomain::new("a").unwrap();
    for (receivers, is_omitted) in [(10, false), (245, true)] {
        let mut table = PeerTable::new();
        for number in 0..receivers {
            let name = InstanceId::new(format!("entry-{number}").as_str()).unwrap();
            let peer = KnownPeer {
                address: ([127, 0, 0, 1], 1_000 + number).into(),
                start: 1,
                domain: domain.clone(),
                last_seen: None,
                stamp: ProcessStamp::default(),
            };
            table.register(&name, peer);
            table.note_message(at(1_000), &name, ProcessStamp::new(1, 1));
        }
        for number in 0..500 {
            table.note_change(at(1_000), change(number));
        }
        let omitted = table.omit_excess_changes(at(1_010), &domain);
        assert_eq!(omitted > 0, is_omitted, "{receivers} receivers");
        assert_eq!(table.has_due_changes(at(1_010)), !is_omitted);
        assert_eq!(table.omissions(), u64::from(is_omitted));
    }
}
