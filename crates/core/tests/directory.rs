//! Which endpoints may receive work, around outages of the store.

mod registration_support;

use bluebell_core::{
    clock::TimeSpan,
    directory::{
        DirectoryChange, EndpointDirectory, EndpointRegistration, EngineStage, LAPSE_GRACE,
    },
};

use crate::registration_support::{FIRST, at, id, open, registration};

#[test]
fn a_leaving_endpoint_receives_no_new_work_at_once() {
    let mut directory = EndpointDirectory::new();
    assert_eq!(
        directory.register(registration("one")),
        DirectoryChange::Started
    );
    let mut leaving = registration("one");
    leaving.is_leaving = true;
    assert_eq!(directory.register(leaving), DirectoryChange::Leaving);
    assert!(open(&directory).is_empty());
    // Its registration is still known, so its address can be looked up.
    assert!(directory.get(&id("one")).is_some());
    assert_eq!(
        directory.unregister(at(0), &id("one")),
        DirectoryChange::Gone
    );
}

#[test]
fn a_heartbeat_alone_is_no_change_and_a_restart_is_one() {
    let mut directory = EndpointDirectory::new();
    directory.register(registration("one"));
    let mut heartbeat = registration("one");
    heartbeat.sequence = 2;
    assert_eq!(directory.register(heartbeat), DirectoryChange::Same);
    let mut restarted = registration("one");
    restarted.start = 2;
    restarted.sequence = 1;
    assert_eq!(directory.register(restarted), DirectoryChange::Started);
}

#[test]
fn endpoints_that_lapse_in_an_outage_are_kept_until_they_can_register_again() {
    // The store is down for longer than three heartbeats, so all registrations lapse
    // although every endpoint is alive. If an entry applied the empty list after the
    // recovery, it would refuse all callers until the endpoints have registered again.
    let mut directory = EndpointDirectory::new();
    directory.register(registration("lives"));
    directory.register(registration("died"));
    directory.note_outage(at(1_000));
    directory.note_answer(at(6_000));
    assert_eq!(
        directory.unregister(at(6_010), &id("lives")),
        DirectoryChange::Lapsed
    );
    assert_eq!(
        directory.unregister(at(6_010), &id("died")),
        DirectoryChange::Lapsed
    );
    assert_eq!(open(&directory), ["died", "lives"]);
    directory.register(registration("lives"));
    assert!(directory.remove_expired(at(7_999)).is_empty());
    // An endpoint that is still missing after the grace time is removed.
    assert_eq!(directory.remove_expired(at(8_000)), [id("died")]);
    assert_eq!(open(&directory), ["lives"]);
}

#[test]
fn without_an_outage_a_missing_registration_is_removed_at_once() {
    // Some endpoints leave without announcing it: their registration is withdrawn.
    // Work sent there afterwards would go to a leaving endpoint.
    let mut directory = EndpointDirectory::new();
    directory.register(registration("one"));
    assert_eq!(
        directory.unregister(at(5_000), &id("one")),
        DirectoryChange::Gone
    );
    directory.register(registration("two"));
    directory.note_outage(at(6_000));
    directory.note_answer(at(7_000));
    let late = at(7_000) + LAPSE_GRACE;
    assert_eq!(
        directory.unregister(late, &id("two")),
        DirectoryChange::Gone
    );
}

#[test]
fn a_lapse_that_another_instance_reports_ends_with_the_time_that_it_reports() {
    // The reader of a failure domain keeps a lapsed endpoint for two seconds and
    // reports it to the others. If each kept it for another two seconds, work would be
    // sent to an endpoint that left four seconds ago.
    let mut directory = EndpointDirectory::new();
    directory.register(registration("one"));
    directory.note_outage(at(1_000));
    directory.note_answer(at(9_000));
    directory.lapse(at(10_000), &id("one"), FIRST, TimeSpan::from_millis(300));
    directory.lapse(at(10_200), &id("one"), FIRST, TimeSpan::from_millis(300));
    assert_eq!(
        directory.remaining_grace(at(10_200), &id("one")),
        Some(TimeSpan::from_millis(100))
    );
    assert!(directory.remove_expired(at(10_299)).is_empty());
    assert_eq!(directory.remove_expired(at(10_300)), [id("one")]);
}

#[test]
fn digests_differ_where_work_would_be_sent_to_other_endpoints() {
    let mut one = EndpointDirectory::new();
    let mut two = EndpointDirectory::new();
    one.register(registration("a"));
    let mut later_heartbeat = registration("a");
    later_heartbeat.sequence = 99;
    two.register(later_heartbeat);
    assert_eq!(one.digest(), two.digest());
    let mut prefills = registration("a");
    prefills.stage = Some(EngineStage::Prefill);
    prefills.sequence = 100;
    two.register(prefills);
    assert_ne!(one.digest(), two.digest());
    let mut decodes = registration("a");
    decodes.sequence = 101;
    two.register(decodes);
    assert_eq!(one.digest(), two.digest());
    two.register(registration("b"));
    assert_ne!(one.digest(), two.digest());
}

#[test]
fn endpoints_missing_from_a_complete_listing_are_unregistered() {
    let mut directory = EndpointDirectory::new();
    directory.register(registration("kept"));
    directory.register(registration("missing"));
    let kept = id("kept");
    let missing = directory.retain_listed(at(1_000), |listed| *listed == kept);
    assert_eq!(missing, [id("missing")]);
    assert_eq!(open(&directory), ["kept"]);
}

/// Guards against work for a withdrawn endpoint that the reader keeps because the reader
/// itself was partitioned from the store.
#[test]
fn a_withdrawal_counts_at_once_where_the_store_was_always_reachable() {
    let mut directory = EndpointDirectory::new();
    directory.register(registration("withdrawn"));
    directory.note_answer(at(11_400));
    let kept_for = TimeSpan::from_millis(2_000);
    let change = directory.lapse(at(11_910), &id("withdrawn"), FIRST, kept_for);
    assert_eq!(change, DirectoryChange::Gone);
    assert!(open(&directory).is_empty());
}

/// Guards against work for a withdrawn endpoint after one failed read of the store,
/// in which no registration can have lapsed.
#[test]
fn a_failed_read_is_no_outage_in_which_registrations_lapse() {
    let mut directory = EndpointDirectory::new();
    directory.register(registration("withdrawn"));
    directory.note_answer(at(5_000));
    directory.note_outage(at(5_900));
    directory.note_answer(at(6_000));
    let change = directory.unregister(at(6_500), &id("withdrawn"));
    assert_eq!(change, DirectoryChange::Gone);
    assert!(open(&directory).is_empty());
}

/// Guards against an instance that learns from its reader that the store has recovered,
/// and drops live endpoints that have not registered again yet.
#[test]
fn an_outage_ends_with_the_first_answer_to_the_reader() {
    let mut directory = EndpointDirectory::new();
    directory.register(registration("lives"));
    directory.note_answer(at(1_000));
    directory.note_outage(at(2_900));
    directory.note_answer(at(900));
    directory.note_answer(at(6_000));
    let kept_for = TimeSpan::from_millis(5_000);
    let change = directory.lapse(at(6_100), &id("lives"), FIRST, kept_for);
    assert_eq!(change, DirectoryChange::Lapsed);
    assert_eq!(open(&directory), ["lives"]);
    assert_eq!(directory.remove_expired(at(8_000)), [id("lives")]);
}

/// Guards against reporting the same lapse again with each message of the reader.
#[test]
fn a_repeated_lapse_is_a_single_change() {
    let mut directory = EndpointDirectory::new();
    directory.register(registration("one"));
    directory.note_outage(at(1_000));
    directory.note_answer(at(6_000));
    let first = directory.unregister(at(6_100), &id("one"));
    assert_eq!(first, DirectoryChange::Lapsed);
    let again = directory.unregister(at(6_200), &id("one"));
    assert_eq!(again, DirectoryChange::Same);
    assert_eq!(directory.remove_expired(at(8_000)), [id("one")]);
}

/// Guards against a digest that was computed before a change and is still sent after it:
/// the instances of a failure domain would take their directories to be equal.
#[test]
fn digest_follows_each_change() {
    let mut directory = EndpointDirectory::new().with_heartbeat(TimeSpan::from_millis(1_200));
    let mut digests = vec![directory.digest()];
    directory.register(registration("one"));
    digests.push(directory.digest());
    directory.register(registration("two"));
    digests.push(directory.digest());
    let mut restaged = registration("two");
    restaged.stage = Some(EngineStage::Prefill);
    directory.register(restaged.clone());
    digests.push(directory.digest());
    directory.note_answer(at(1_000));
    directory.note_outage(at(1_500));
    directory.note_answer(at(9_000));
    directory.unregister(at(9_100), &id("two"));
    digests.push(directory.digest());
    for (index, digest) in digests.iter().enumerate() {
        assert!(
            !digests[..index].contains(digest) || index == 4,
            "{digests:?}"
        );
    }
    // A lapsed endpoint is left out, as after the first registration, and counts again as
    // soon as it registers.
    assert_eq!(digests[4], digests[1]);
    directory.register(restaged);
    assert_eq!(directory.digest(), digests[3]);
    directory.remove_endpoint(&id("two"));
    assert_eq!(directory.digest(), digests[1]);
}

/// Guards against a late message of another instance that undoes what was known here since: the
/// endpoint would get requests again after it has left.
#[test]
fn an_older_registration_does_not_replace_a_newer_one() {
    let mut directory = EndpointDirectory::new();
    let announced = registration("one");
    let leaving = EndpointRegistration {
        is_leaving: true,
        sequence: 2,
        ..announced.clone()
    };
    directory.register(leaving.clone());
    assert!(!directory.accepts_relayed(&announced, false));
    directory.unregister(at(1_000), &id("one"));
    assert!(!directory.accepts_relayed(&announced, false));
    assert!(!directory.accepts_relayed(&leaving, false));
    let restarted = EndpointRegistration {
        start: 2,
        ..announced
    };
    assert!(directory.accepts_relayed(&restarted, false));
}

/// Guards against an endpoint that comes back by a message which was sent before its removal and
/// arrives after it, where it was never known.
#[test]
fn the_removal_of_an_unknown_endpoint_is_remembered() {
    let mut directory = EndpointDirectory::new();
    let announced = registration("one");
    assert!(!directory.note_relayed_removal(&id("one"), announced.number()));
    assert!(!directory.accepts_relayed(&announced, false));
    directory.remove_expired(at(1_000));
    directory.remove_expired(at(20_000));
    assert!(directory.accepts_relayed(&announced, false));
}

/// Guards against an endpoint that comes back to an instance which has read the store since the
/// message was sent, without ever having known the endpoint.
#[test]
fn a_message_that_is_older_than_the_directory_adds_nothing_to_it() {
    let mut directory = EndpointDirectory::new();
    let announced = registration("one");
    assert!(!directory.accepts_relayed(&announced, true));
    assert!(directory.accepts_relayed(&announced, false));
    directory.register(announced.clone());
    let leaving = EndpointRegistration {
        is_leaving: true,
        sequence: 2,
        ..announced
    };
    assert!(directory.accepts_relayed(&leaving, true));
}

/// Guards against a removal that arrives after a later registration of the same endpoint.
#[test]
fn a_late_removal_does_not_remove_a_later_registration() {
    let mut directory = EndpointDirectory::new();
    let first = registration("one");
    let restarted = EndpointRegistration {
        start: 2,
        ..first.clone()
    };
    directory.register(restarted.clone());
    assert!(!directory.note_relayed_removal(&id("one"), first.number()));
    assert!(directory.note_relayed_removal(&id("one"), restarted.number()));
}

/// Guards against an endpoint that lapsed and is taken for registered again by an older message.
#[test]
fn a_lapsed_endpoint_comes_back_by_a_later_registration_only() {
    let mut directory = EndpointDirectory::new();
    let announced = registration("one");
    directory.register(announced.clone());
    directory.note_answer(at(1_000));
    directory.note_outage(at(1_100));
    directory.note_answer(at(6_000));
    assert_eq!(
        directory.unregister(at(6_000), &id("one")),
        DirectoryChange::Lapsed
    );
    assert!(!directory.accepts_relayed(&announced, false));
    let later = EndpointRegistration {
        sequence: 2,
        ..announced
    };
    assert!(directory.accepts_relayed(&later, false));
}

/// Guards against work for an endpoint that was withdrawn before an outage, kept beyond the
/// drain bound because the first call after the outage hung.
#[test]
fn a_lapsed_endpoint_is_not_kept_beyond_the_drain_bound() {
    let mut directory = EndpointDirectory::new().with_stable_period(TimeSpan::from_secs(3));
    directory.register(registration("withdrawn"));
    directory.note_own_answer(at(1_000));
    directory.note_outage(at(1_500));
    // The outage may have ended right after this call was sent.
    directory.note_outage(at(6_900));
    directory.note_own_answer(at(8_300));
    let withdrawn = id("withdrawn");
    let change = directory.unregister(at(8_310), &withdrawn);
    assert_eq!(change, DirectoryChange::Lapsed);
    assert!(directory.open_at(at(9_700), &withdrawn).is_some());
    assert!(directory.open_at(at(9_880), &withdrawn).is_none());
    assert_eq!(directory.remove_expired(at(9_880)), [withdrawn]);
}

/// Guards against dropping live endpoints after an outage that ends between two calls that are
/// rejected at once.
#[test]
fn a_lapsed_endpoint_is_kept_while_live_ones_register_again() {
    let mut directory = EndpointDirectory::new().with_stable_period(TimeSpan::from_secs(3));
    directory.register(registration("lives"));
    directory.note_own_answer(at(1_000));
    for sent in (1_500..8_000).step_by(500) {
        directory.note_outage(at(sent));
    }
    directory.note_own_answer(at(8_000));
    directory.unregister(at(8_010), &id("lives"));
    assert!(directory.open_at(at(9_990), &id("lives")).is_some());
    assert!(directory.open_at(at(10_000), &id("lives")).is_none());
}

/// Guards against work in the time between the end of the grace period and the next read.
#[test]
fn the_next_removal_of_a_lapsed_endpoint_is_known() {
    let mut directory = EndpointDirectory::new();
    directory.register(registration("one"));
    assert_eq!(directory.time_to_removal(at(0)), None);
    directory.note_outage(at(1_000));
    directory.note_answer(at(6_000));
    directory.unregister(at(6_010), &id("one"));
    let left = directory.time_to_removal(at(7_000));
    assert_eq!(left, Some(TimeSpan::from_millis(1_000)));
}
