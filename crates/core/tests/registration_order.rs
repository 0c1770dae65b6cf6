//! Registrations and removals of endpoints that arrive out of order.

mod registration_support;

use bluebell_core::{
    clock::TimeSpan,
    directory::{DirectoryChange, EndpointDirectory, EndpointRegistration},
};

use crate::registration_support::{at, id, open, registration};

fn numbered(start: u64, sequence: u64) -> EndpointRegistration {
    EndpointRegistration {
        start,
        sequence,
        ..registration("one")
    }
}

/// Guards against work for an endpoint that has left, brought back by a heartbeat that the store
/// executes after its removal.
#[test]
fn a_late_heartbeat_does_not_bring_back_an_endpoint_that_has_left() {
    let mut directory = EndpointDirectory::new();
    for sequence in [1, 2, 4, 5] {
        directory.register(numbered(7, sequence));
    }
    directory.unregister(at(5_000), &id("one"));
    directory.remove_expired(at(5_000));
    let late = directory.register(numbered(7, 3));
    assert_eq!(late, DirectoryChange::Outdated);
    directory.remove_expired(at(11_000));
    let late = directory.register(numbered(7, 3));
    assert_eq!(late, DirectoryChange::Outdated);
    assert!(open(&directory).is_empty());
    let alive = directory.register(numbered(7, 6));
    assert_eq!(alive, DirectoryChange::Started);
}

/// Guards against work for a leaving endpoint, reopened by a heartbeat that the store executes
/// after the announcement.
#[test]
fn a_late_heartbeat_does_not_reopen_a_leaving_endpoint() {
    let mut directory = EndpointDirectory::new();
    directory.register(numbered(7, 1));
    let leaving = EndpointRegistration {
        is_leaving: true,
        ..numbered(7, 3)
    };
    directory.register(leaving);
    assert_eq!(
        directory.register(numbered(7, 2)),
        DirectoryChange::Outdated
    );
    assert!(open(&directory).is_empty());
}

/// Guards against work for the earlier start of an endpoint, whose address may have changed.
#[test]
fn a_late_heartbeat_does_not_bring_back_an_earlier_start() {
    let mut directory = EndpointDirectory::new();
    directory.register(numbered(7, 9));
    directory.register(numbered(8, 1));
    assert_eq!(
        directory.register(numbered(7, 10)),
        DirectoryChange::Outdated
    );
    let known = directory.get(&id("one")).unwrap();
    assert_eq!(known.start, 8);
}

/// Guards against a late heartbeat at an instance that receives relayed changes only, and has no
/// recent number of the endpoint that has left.
#[test]
fn a_late_heartbeat_is_rejected_by_the_number_of_a_relayed_removal() {
    let mut directory = EndpointDirectory::new();
    directory.register(numbered(7, 1));
    let last = numbered(7, 9).number();
    assert!(directory.note_relayed_removal(&id("one"), last));
    directory.unregister(at(5_000), &id("one"));
    assert_eq!(directory.last_number(&id("one")), last);
    assert_eq!(
        directory.register(numbered(7, 4)),
        DirectoryChange::Outdated
    );
    assert!(directory.has_newer(&numbered(7, 9)));
    assert_eq!(
        directory.register(numbered(7, 10)),
        DirectoryChange::Started
    );
}

/// Guards against keeping an endpoint that lapsed around an outage because an older heartbeat is
/// executed late.
#[test]
fn a_late_heartbeat_does_not_renew_a_lapsed_endpoint() {
    let mut directory = EndpointDirectory::new();
    directory.register(numbered(7, 5));
    directory.note_outage(at(1_000));
    directory.note_answer(at(6_000));
    directory.unregister(at(6_010), &id("one"));
    directory.register(numbered(7, 4));
    assert_eq!(directory.remove_expired(at(8_000)), [id("one")]);
}

/// Guards against dropping a live endpoint because the message of its lapse arrives after its next
/// registration.
#[test]
fn an_overtaken_lapse_does_not_concern_a_later_registration() {
    let mut directory = EndpointDirectory::new();
    directory.register(numbered(7, 6));
    let kept_for = TimeSpan::from_millis(2_000);
    let change = directory.lapse(at(5_000), &id("one"), numbered(7, 5).number(), kept_for);
    assert_eq!(change, DirectoryChange::Same);
    assert_eq!(open(&directory), ["one"]);
    let change = directory.lapse(at(5_000), &id("one"), numbered(7, 6).number(), kept_for);
    assert_eq!(change, DirectoryChange::Gone);
}
