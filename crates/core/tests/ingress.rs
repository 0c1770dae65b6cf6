//! Configuration versions, freshness of keys, and route lookup of an entry.

use std::collections::BTreeMap;

use bluebell_core::{
    attempts::WorkKind,
    clock::{ClockTime, TimeSpan},
    ids::{InstanceId, KeyDigest, OrganisationId, ServiceName},
    ingress::{
        CallerLimits, ConfigurationTracker, IngressConfiguration, OfferOutcome, OrganisationRule,
        RouteKind, RouteRule, RouteTable, WeightedService,
    },
    relay::StoreReads,
    units::ByteSize,
};

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn span(millis: u64) -> TimeSpan {
    TimeSpan::from_millis(millis)
}

fn route(host: &str, prefix: &str, kind: RouteKind) -> RouteRule {
    RouteRule {
        name: format!("{host}{prefix}"),
        host: host.to_string(),
        path_prefix: prefix.to_string(),
        kind,
        timeout: span(8_000),
        objective: span(300),
        gap_objective: None,
        priority: 2,
        targets: vec![WeightedService {
            service: ServiceName::new("chat").unwrap(),
            weight: 1,
        }],
        attempts_limit: 1,
        is_public: false,
        is_resumable: false,
    }
}

fn configuration(version: u64, routes: Vec<RouteRule>, keys: &[&str]) -> IngressConfiguration {
    IngressConfiguration {
        version,
        routes,
        services: BTreeMap::new(),
        limits: CallerLimits {
            head: ByteSize::new(16_384),
            body: ByteSize::new(1_000_000),
            head_timeout: span(3_000),
            idle_timeout: span(15_000),
        },
        organisations: Some(vec![OrganisationRule {
            name: OrganisationId::new("magnolia").unwrap(),
            keys: keys.iter().map(|key| KeyDigest::with_key(key)).collect(),
            priority: Some(0),
            limit: None,
        }]),
    }
}

#[test]
fn an_older_configuration_is_never_put_in_force_again() {
    // Two reads of the configuration overtake each other, or an instance that is
    // behind relays its version. If the older one were put in force, a withdrawn key
    // would be accepted again without any sign of it.
    let mut tracker = ConfigurationTracker::new();
    assert_eq!(
        tracker.offer(configuration(7, Vec::new(), &["old", "new"])),
        OfferOutcome::Newer
    );
    assert_eq!(
        tracker.offer(configuration(9, Vec::new(), &["new"])),
        OfferOutcome::Newer
    );
    assert_eq!(
        tracker.offer(configuration(7, Vec::new(), &["old", "new"])),
        OfferOutcome::Older
    );
    assert_eq!(
        tracker.offer(configuration(9, Vec::new(), &["new"])),
        OfferOutcome::Same
    );
    let table = tracker.table().unwrap();
    assert!(table.organisation(&KeyDigest::with_key("old")).is_none());
    assert!(table.organisation(&KeyDigest::with_key("new")).is_some());
}

#[test]
fn the_age_of_keys_counts_from_when_the_read_was_sent() {
    // The store delays the answer to a read. The answer lacks the withdrawal of a key
    // that came after the store's lookup, so it may be as old as the request. If its
    // age counted from its arrival, the key would be accepted for too long.
    let mut tracker = ConfigurationTracker::new();
    assert_eq!(tracker.age(at(0)), None);
    assert!(!tracker.is_fresh(at(0), span(4_750)));
    tracker.offer(configuration(1, Vec::new(), &[]));
    tracker.confirm(at(1_000));
    assert_eq!(tracker.age(at(5_000)), Some(span(4_000)));
    assert!(tracker.is_fresh(at(5_749), span(4_750)));
    assert!(!tracker.is_fresh(at(5_750), span(4_750)));
    // An earlier confirmation that arrives late does not reset the age.
    tracker.confirm(at(500));
    assert_eq!(tracker.age(at(5_000)), Some(span(4_000)));
}

#[test]
fn the_longest_matching_prefix_of_the_host_selects_the_route() {
    let routes = vec![
        route("kiosk.example", "/a/", RouteKind::Safe),
        route("kiosk.example", "/a/b/", RouteKind::Unsafe),
        route("other.example", "/", RouteKind::Safe),
    ];
    let table = RouteTable::new(configuration(1, routes, &[]));
    let name = |host, path| table.find(host, path).map(|route| route.name.clone());
    assert_eq!(
        name("kiosk.example", "/a/b/c").as_deref(),
        Some("kiosk.example/a/b/")
    );
    assert_eq!(
        name("kiosk.example", "/a/x").as_deref(),
        Some("kiosk.example/a/")
    );
    assert_eq!(name("kiosk.example", "/b"), None);
    assert_eq!(name("nobody.example", "/a/"), None);
    assert_eq!(
        name("other.example", "/any").as_deref(),
        Some("other.example/")
    );
}

#[test]
fn the_kind_of_a_route_decides_whether_its_requests_may_be_repeated() {
    let mut stream = route("h", "/", RouteKind::Streaming);
    assert_eq!(stream.work_kind(), WorkKind::AtMostOnce);
    stream.is_resumable = true;
    assert_eq!(stream.work_kind(), WorkKind::Repeatable);
    assert_eq!(
        route("h", "/", RouteKind::Safe).work_kind(),
        WorkKind::Repeatable
    );
    let mut unsafe_route = route("h", "/", RouteKind::Unsafe);
    unsafe_route.is_resumable = true;
    assert_eq!(unsafe_route.work_kind(), WorkKind::AtMostOnce);
}

#[test]
fn the_priority_of_an_organisation_overrides_that_of_the_route() {
    let table = RouteTable::new(configuration(1, Vec::new(), &[]));
    let rule = route("h", "/", RouteKind::Safe);
    let magnolia = OrganisationId::new("magnolia").unwrap();
    assert_eq!(table.priority(&rule, Some(&magnolia)), 0);
    assert_eq!(table.priority(&rule, None), 2);
}

/// Guards against using a version that is known to be replaced for as long as the newer
/// one does not arrive.
#[test]
fn a_version_known_to_be_replaced_is_outdated_after_the_bound() {
    let mut tracker = ConfigurationTracker::new();
    let reader = InstanceId::new("entry-1").unwrap();
    tracker.offer(configuration(18, Vec::new(), &[]));
    tracker.note_advertised(at(1_000), 18, &reader);
    assert!(!tracker.is_outdated(at(60_000), span(2_000)));
    tracker.note_advertised(at(64_000), 20, &reader);
    tracker.note_advertised(at(65_900), 23, &reader);
    assert!(!tracker.is_outdated(at(65_999), span(2_000)));
    assert!(tracker.is_outdated(at(66_000), span(2_000)));
    // The intermediate version arrives: the version still missing was advertised later.
    tracker.offer(configuration(20, Vec::new(), &[]));
    assert!(!tracker.is_outdated(at(67_899), span(2_000)));
    assert!(tracker.is_outdated(at(67_900), span(2_000)));
    tracker.offer(configuration(23, Vec::new(), &[]));
    assert!(!tracker.is_outdated(at(99_000), span(2_000)));
}

/// Guards against log lines of refusals that don't explain them.
#[test]
fn the_status_names_the_newest_advertised_version_and_its_source() {
    let mut tracker = ConfigurationTracker::new();
    assert_eq!(
        tracker.status(at(0)).to_string(),
        "no version never confirmed, no newer one advertised"
    );
    tracker.offer(configuration(18, Vec::new(), &[]));
    tracker.confirm(at(1_000));
    tracker.note_advertised(at(2_000), 20, &InstanceId::new("entry-1").unwrap());
    tracker.note_advertised(at(2_100), 20, &InstanceId::new("entry-2").unwrap());
    assert_eq!(
        tracker.status(at(3_500)).to_string(),
        "version 18 confirmed 2500ms ago, 20 advertised by entry-1 1500ms ago"
    );
    tracker.offer(configuration(20, Vec::new(), &[]));
    assert_eq!(tracker.status(at(3_600)).newer, None);
}

const READ_TIMEOUT: TimeSpan = TimeSpan::from_millis(900);

/// Guards against a single failed read that makes an instance count as cut off from then on.
#[test]
fn a_failed_read_counts_until_the_next_one_should_have_been_answered() {
    let mut reads = StoreReads::new();
    assert!(!reads.is_lost(at(0)));
    reads.note_sent(at(1_000), READ_TIMEOUT);
    assert!(!reads.is_lost(at(1_800)));
    reads.note_failure(at(1_900));
    assert!(reads.is_lost(at(2_200)));
    reads.note_sent(at(2_300), READ_TIMEOUT);
    assert!(reads.is_lost(at(3_200)));
    assert!(!reads.is_lost(at(8_000)));
    reads.note_answer();
    assert!(!reads.is_lost(at(3_200)));
    // No further read is sent, as the instance follows a reader.
    reads.note_sent(at(4_000), READ_TIMEOUT);
    reads.note_failure(at(4_010));
    assert!(reads.is_lost(at(4_100)));
    assert!(!reads.is_lost(at(5_000)));
}

/// Guards against taking the timeout of a read during which the process was suspended for an
/// outage of the store.
#[test]
fn a_read_that_took_longer_than_it_could_is_no_failure_of_the_store() {
    let mut reads = StoreReads::new();
    reads.note_sent(at(1_000), READ_TIMEOUT);
    reads.note_failure(at(6_000));
    assert!(!reads.is_lost(at(6_000)));
}
