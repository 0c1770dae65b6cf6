//! Whether an instance reaches the endpoints of a service.

use bluebell_core::{
    clock::ClockTime,
    ids::{EndpointId, RequestFingerprint, ServiceName},
    quarantine::{CrashStatus, ReportScope, SharedQuarantine, SiteHash},
    reachability::{ReachChange, ReachTable},
};
use quickcheck::quickcheck;

const ENDPOINTS: usize = 9;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn service() -> ServiceName {
    ServiceName::new("chat").unwrap()
}

fn endpoint(number: usize) -> EndpointId {
    EndpointId::new(format!("engine-{number}")).unwrap()
}

fn fail_to_connect(table: &mut ReachTable, now: u64, number: usize) -> bool {
    table.note_not_connected(at(now), &service(), &endpoint(number), ENDPOINTS)
}

/// Guards against an instance that takes its own partition for a failure of the endpoints.
#[test]
fn failures_of_several_endpoints_put_a_service_in_doubt_and_a_probe_decides() {
    let mut table = ReachTable::new();
    assert!(!fail_to_connect(&mut table, 1_000, 0));
    assert!(!table.is_any_in_doubt(at(1_000)));
    assert!(fail_to_connect(&mut table, 1_100, 1));
    assert!(table.is_in_doubt(at(1_100), &service()));
    assert_eq!(table.probe_due(at(1_100)), vec![service()]);
    let change = table.note_probed(&service(), false);
    assert_eq!(change, Some(ReachChange::Lost(at(1_000))));
    assert!(table.is_unreachable(&service()));
    assert_eq!(table.note_probed(&service(), false), None);
    let change = table.note_probed(&service(), true);
    assert_eq!(change, Some(ReachChange::Regained));
    assert!(table.probe_due(at(1_500)).is_empty());
}

/// Guards against a partition that established connections hide: they carry answers while
/// no new connection can be opened.
#[test]
fn answers_on_established_connections_do_not_end_a_doubt_about_new_ones() {
    let mut table = ReachTable::new();
    fail_to_connect(&mut table, 1_000, 0);
    table.note_answered(at(1_050), &service());
    assert!(fail_to_connect(&mut table, 1_100, 1));
    table.note_answered(at(1_150), &service());
    assert!(table.is_in_doubt(at(1_200), &service()));
}

/// Guards against a probe for each endpoint that crashes or is silent for a second.
#[test]
fn one_endpoint_that_fails_again_and_again_puts_nothing_in_doubt() {
    let mut table = ReachTable::new();
    for now in 0..50 {
        assert!(!fail_to_connect(&mut table, now, 3));
        let broken = table.note_broken(at(now), &service(), &endpoint(3), ENDPOINTS);
        assert!(!broken);
    }
}

/// Guards against a service with a single endpoint whose loss is never noticed.
#[test]
fn the_only_endpoint_of_a_service_is_enough() {
    let mut table = ReachTable::new();
    assert!(table.note_not_connected(at(0), &service(), &endpoint(0), 1));
}

/// Guards against services whose requests have to time out one after the other until each
/// of them is known to be unreachable.
#[test]
fn a_lost_service_puts_the_others_in_doubt_until_they_are_probed() {
    let other = ServiceName::new("till").unwrap();
    let mut table = ReachTable::new();
    table.suspect(at(1_000), &other);
    assert_eq!(table.probe_due(at(1_000)), vec![other.clone()]);
    assert_eq!(table.note_probed(&other, true), None);
    assert!(table.probe_due(at(1_100)).is_empty());
}

/// Guards against a doubt that outlives its cause and holds back reports for good.
#[test]
fn a_doubt_without_a_probe_ends() {
    let mut table = ReachTable::new();
    fail_to_connect(&mut table, 1_000, 0);
    fail_to_connect(&mut table, 1_000, 1);
    assert!(table.is_any_in_doubt(at(2_000)));
    assert!(!table.is_any_in_doubt(at(10_000)));
    assert!(fail_to_connect(&mut table, 10_000, 0));
}

/// Guards against sound requests that are quarantined because the paths to the endpoints
/// broke under them.
#[test]
fn crashes_that_a_partition_explains_are_retracted() {
    let mut quarantine = SharedQuarantine::new();
    let fingerprint = RequestFingerprint::with_request(None, "/review/1", b"claim");
    let earlier = RequestFingerprint::with_request(None, "/review/2", b"claim");
    quarantine.note_crash(at(500), &earlier, SiteHash::new(1));
    quarantine.note_crash(at(1_000), &fingerprint, SiteHash::new(2));
    let status = quarantine.note_crash(at(1_200), &fingerprint, SiteHash::new(3));
    assert_eq!(status, CrashStatus::Quarantined);
    quarantine.retract_observed(at(1_000));
    assert_eq!(quarantine.status(&fingerprint), CrashStatus::Clean);
    assert_eq!(quarantine.crashes(&earlier), 1);
    let reports = quarantine.take_reports(at(1_300), ReportScope::Direct);
    assert_eq!(reports.len(), 1);
}

/// Guards against a request that goes on crashing all endpoints that are left, because the instance
/// takes their end for its own partition and forgets the crashes.
#[test]
fn crashes_that_the_registrations_confirm_are_not_retracted() {
    let mut quarantine = SharedQuarantine::new();
    let fingerprint = RequestFingerprint::with_request(None, "/review/1", b"claim");
    for number in [2, 3] {
        let site = SiteHash::new(number);
        quarantine.note_crash(at(1_000 + number), &fingerprint, site);
    }
    quarantine.retract_observed(at(1_000));
    assert_eq!(quarantine.status(&fingerprint), CrashStatus::Clean);
    quarantine.confirm_crash(at(4_500), &fingerprint, SiteHash::new(2));
    let status = quarantine.confirm_crash(at(4_500), &fingerprint, SiteHash::new(3));
    assert_eq!(status, CrashStatus::Quarantined);
    quarantine.retract_observed(at(1_000));
    assert_eq!(quarantine.status(&fingerprint), CrashStatus::Quarantined);
}

/// Guards against reports that are held back for good, because the service that is in doubt has no
/// endpoint left that a probe could reach.
#[test]
fn a_service_without_endpoints_is_not_in_doubt() {
    let mut table = ReachTable::new();
    fail_to_connect(&mut table, 1_000, 0);
    fail_to_connect(&mut table, 1_100, 1);
    table.note_probed(&service(), false);
    assert!(table.is_any_in_doubt(at(60_000)));
    assert_eq!(table.note_empty(&service()), Some(ReachChange::Regained));
    assert!(!table.is_any_in_doubt(at(60_000)));
    assert_eq!(table.note_empty(&service()), None);
}

quickcheck! {
    /// Guards against a service that counts as unreachable although the last probe reached
    /// it, for any order of failures, answers and probes.
    fn a_service_is_unreachable_only_after_a_failed_probe(steps: Vec<(u8, u8)>) -> bool {
        let mut table = ReachTable::new();
        let mut last_probe_failed = false;
        steps.iter().enumerate().all(|(index, (event, number))| {
            let now = at(index as u64 * 100);
            let target = endpoint(usize::from(*number) % ENDPOINTS);
            match event % 6 {
                0 => table.note_connected(&service()),
                1 => table.note_answered(now, &service()),
                2 => drop(table.note_not_connected(now, &service(), &target, ENDPOINTS)),
                3 => drop(table.note_broken(now, &service(), &target, ENDPOINTS)),
                outcome if !table.probe_due(now).is_empty() => {
                    last_probe_failed = outcome == 4;
                    table.note_probed(&service(), outcome == 5);
                }
                _ => {}
            }
            table.is_unreachable(&service()) == (last_probe_failed)
        })
    }
}
