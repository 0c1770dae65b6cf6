//! Which endpoints may get work, around outages of the store.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    directory::{
        DirectoryChange, EndpointDirectory, EndpointRegistration, EngineStage, LAPSE_GRACE,
    },
    ids::{EndpointId, FailureDomain, ServiceName},
};

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn id(name: &str) -> EndpointId {
    EndpointId::new(name).unwrap()
}

fn chat() -> ServiceName {
    ServiceName::new("chat").unwrap()
}

fn registration(name: &str) -> EndpointRegistration {
    EndpointRegistration {
        id: id(name),
        start: 1,
        service: chat(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: FailureDomain::new("se-a").unwrap(),
        slots: 8,
        is_leaving: false,
        leaves_in: None,
        is_preemptible: false,
        stage: Some(EngineStage::Decode),
        warming: TimeSpan::ZERO,
        sequence: 1,
    }
}

fn open(directory: &EndpointDirectory) -> Vec<String> {
    let chat = chat();
    let names = directory
        .available_for(&chat)
        .map(|entry| entry.id.to_string());
    names.collect()
}

#[test]
fn an_endpoint_that_leaves_gets_nothing_new_at_once() {
    let mut directory = EndpointDirectory::new();
    assert_eq!(
        directory.register(registration("one")),
        DirectoryChange::Started
    );
    let mut leaving = registration("one");
    leaving.is_leaving = true;
    assert_eq!(directory.register(leaving), DirectoryChange::Leaving);
    assert!(open(&directory).is_empty());
    // Its entry is still known: it may be asked for its address.
    assert!(directory.get(&id("one")).is_some());
    assert_eq!(
        directory.unregister(at(0), &id("one")),
        DirectoryChange::Gone
    );
}

#[test]
fn a_heartbeat_alone_is_no_change_and_a_new_start_is_one() {
    let mut directory = EndpointDirectory::new();
    directory.register(registration("one"));
    let mut beat = registration("one");
    beat.sequence = 2;
    assert_eq!(directory.register(beat), DirectoryChange::Same);
    let mut restarted = registration("one");
    restarted.start = 2;
    restarted.sequence = 1;
    assert_eq!(directory.register(restarted), DirectoryChange::Started);
}

#[test]
fn endpoints_that_lapse_while_the_store_is_away_are_kept_until_they_can_be_back() {
    // The store is down for longer than three heartbeats, so all registrations
    // lapse though every endpoint lives. When it is back, an entry that believed the
    // empty list would refuse all callers until the endpoints have registered.
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
    // One still missing after the grace is to be taken as gone.
    assert_eq!(directory.remove_expired(at(8_000)), [id("died")]);
    assert_eq!(open(&directory), ["lives"]);
}

#[test]
fn without_an_outage_a_missing_registration_is_gone_at_once() {
    // Some endpoints leave without saying so: their registration just goes. Work
    // that is sent there afterwards is work for a leaving endpoint.
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
fn a_lapse_that_another_instance_tells_ends_when_that_one_ends_it() {
    // The reader of a failure domain keeps a lapsed endpoint for two seconds and
    // tells the others. Were each to keep it for two seconds of its own, work would
    // go to an endpoint that left four seconds ago.
    let mut directory = EndpointDirectory::new();
    directory.register(registration("one"));
    directory.note_outage(at(1_000));
    directory.note_answer(at(9_000));
    directory.lapse(at(10_000), &id("one"), TimeSpan::from_millis(300));
    directory.lapse(at(10_200), &id("one"), TimeSpan::from_millis(300));
    assert_eq!(
        directory.remaining_grace(at(10_200), &id("one")),
        Some(TimeSpan::from_millis(100))
    );
    assert!(directory.remove_expired(at(10_299)).is_empty());
    assert_eq!(directory.remove_expired(at(10_300)), [id("one")]);
}

#[test]
fn pictures_of_the_endpoints_differ_where_work_would_go_elsewhere() {
    let mut one = EndpointDirectory::new();
    let mut two = EndpointDirectory::new();
    one.register(registration("a"));
    let mut later_beat = registration("a");
    later_beat.sequence = 99;
    two.register(later_beat);
    assert_eq!(one.digest(), two.digest());
    let mut prefills = registration("a");
    prefills.stage = Some(EngineStage::Prefill);
    two.register(prefills);
    assert_ne!(one.digest(), two.digest());
    two.register(registration("a"));
    assert_eq!(one.digest(), two.digest());
    two.register(registration("b"));
    assert_ne!(one.digest(), two.digest());
}

#[test]
fn a_whole_listing_stands_for_everything_in_the_store() {
    let mut directory = EndpointDirectory::new();
    directory.register(registration("kept"));
    directory.register(registration("missing"));
    let kept = id("kept");
    let missing = directory.retain_listed(at(1_000), |listed| *listed == kept);
    assert_eq!(missing, [id("missing")]);
    assert_eq!(open(&directory), ["kept"]);
}

/// Guards against work for a withdrawn endpoint that a reader keeps because it was
/// itself cut off from the store.
#[test]
fn a_withdrawal_counts_at_once_where_the_store_was_never_away() {
    let mut directory = EndpointDirectory::new();
    directory.register(registration("withdrawn"));
    directory.note_answer(at(11_400));
    let kept_for = TimeSpan::from_millis(2_000);
    let change = directory.lapse(at(11_910), &id("withdrawn"), kept_for);
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

/// Guards against an instance that learns of the store's return from its reader and
/// drops endpoints that live and have not registered again yet.
#[test]
fn an_outage_ends_with_the_first_answer_to_the_reader() {
    let mut directory = EndpointDirectory::new();
    directory.register(registration("lives"));
    directory.note_answer(at(1_000));
    directory.note_outage(at(2_900));
    directory.note_answer(at(900));
    directory.note_answer(at(6_000));
    let kept_for = TimeSpan::from_millis(5_000);
    let change = directory.lapse(at(6_100), &id("lives"), kept_for);
    assert_eq!(change, DirectoryChange::Lapsed);
    assert_eq!(open(&directory), ["lives"]);
    assert_eq!(directory.remove_expired(at(8_000)), [id("lives")]);
}

/// Guards against telling the same lapse again with each word of the reader.
#[test]
fn a_lapse_is_one_change_however_often_it_is_told() {
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
