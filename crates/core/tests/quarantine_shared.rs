//! The quarantine that the entries of a fleet keep by exchanging reports.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{EndpointId, RequestFingerprint},
    quarantine::{
        CrashReport, CrashStatus, MAX_FINGERPRINTS, MAX_REPORTS_PER_DATAGRAM, ReportScope,
        SharedQuarantine, SiteHash,
    },
};
use quickcheck::quickcheck;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn fingerprint(number: usize) -> RequestFingerprint {
    RequestFingerprint::with_request(None, &format!("/review/{number}"), b"{}")
}

fn site(number: usize) -> SiteHash {
    let endpoint = EndpointId::new(format!("i-{number}")).unwrap();
    SiteHash::with_endpoint(&endpoint, 1)
}

/// Guards against a request that reaches a new entry each time it is sent again.
#[test]
fn crashes_at_different_entries_are_counted_together() {
    let mut entries = [SharedQuarantine::new(), SharedQuarantine::new()];
    entries[0].note_crash(at(0), &fingerprint(1), site(1));
    for report in entries[0].take_reports(at(10), ReportScope::Direct) {
        entries[1].note_report(at(11), &report, true);
    }
    assert_eq!(entries[1].status(&fingerprint(1)), CrashStatus::Suspect);
    let status = entries[1].note_crash(at(500), &fingerprint(1), site(2));
    assert_eq!(status, CrashStatus::Quarantined);
    assert_eq!(entries[1].status(&fingerprint(2)), CrashStatus::Clean);
}

/// Guards against one crash that counts twice, as several entries observed it.
#[test]
fn a_crash_that_two_entries_report_counts_once() {
    let mut quarantine = SharedQuarantine::new();
    quarantine.note_crash(at(0), &fingerprint(1), site(1));
    let report = CrashReport {
        fingerprint: fingerprint(1),
        sites: vec![site(1)],
        is_cleared: false,
    };
    quarantine.note_report(at(1), &report, true);
    assert_eq!(quarantine.status(&fingerprint(1)), CrashStatus::Suspect);
}

/// Guards against the quarantine of a request that ran beside the one that crashes engines,
/// or that is sent often and legitimately.
#[test]
fn a_completed_request_is_cleared_everywhere() {
    let mut entries = [SharedQuarantine::new(), SharedQuarantine::new()];
    entries[0].note_crash(at(0), &fingerprint(1), site(1));
    for report in entries[0].take_reports(at(10), ReportScope::Direct) {
        entries[1].note_report(at(11), &report, true);
    }
    entries[1].note_completed(at(500), &fingerprint(1));
    for report in entries[1].take_reports(at(510), ReportScope::Direct) {
        entries[0].note_report(at(511), &report, true);
    }
    for entry in &mut entries {
        let status = entry.note_crash(at(900), &fingerprint(1), site(2));
        assert_eq!(status, CrashStatus::Clean);
    }
}

/// Guards against an entry that starts later and sends the request to an engine once more.
#[test]
fn quarantined_requests_are_reported_to_entries_that_start_later() {
    let mut quarantine = SharedQuarantine::new();
    quarantine.note_crash(at(0), &fingerprint(1), site(1));
    quarantine.note_crash(at(400), &fingerprint(1), site(2));
    while !quarantine
        .take_reports(at(500), ReportScope::Direct)
        .is_empty()
    {}
    let mut started = SharedQuarantine::new();
    let reports = quarantine.take_reports(at(3_000), ReportScope::Direct);
    for report in &reports {
        assert!(started.note_report(at(3_001), report, true));
    }
    assert_eq!(reports.len(), 1);
    // Without the request, its report is no longer repeated.
    assert!(
        quarantine
            .take_reports(at(60_000), ReportScope::Direct)
            .is_empty()
    );
    quarantine.note_refused(at(60_000), &fingerprint(1));
    let reports = quarantine.take_reports(at(60_100), ReportScope::Direct);
    assert_eq!(reports.len(), 1);
}

#[test]
fn a_quarantine_ends() {
    let mut quarantine = SharedQuarantine::new();
    quarantine.note_crash(at(0), &fingerprint(1), site(1));
    quarantine.note_crash(at(400), &fingerprint(1), site(2));
    let remaining = quarantine.quarantined_for(at(1_000), &fingerprint(1));
    let end = at(1_000) + remaining.unwrap();
    quarantine.sweep(end);
    assert!(quarantine.is_empty());
}

/// Guards against reports and memory that grow with the number of endpoints that crash.
#[test]
fn reports_and_histories_are_limited() {
    let mut quarantine = SharedQuarantine::new();
    quarantine.note_crash(at(0), &fingerprint(0), site(0));
    quarantine.note_crash(at(0), &fingerprint(0), site(1));
    for number in 1..2 * MAX_FINGERPRINTS {
        quarantine.note_crash(at(number as u64), &fingerprint(number), site(number));
    }
    assert_eq!(quarantine.status(&fingerprint(0)), CrashStatus::Quarantined);
    assert_eq!(quarantine.status(&fingerprint(1)), CrashStatus::Clean);
    let reports = quarantine.take_reports(at(5_000), ReportScope::Direct);
    assert_eq!(reports.len(), MAX_REPORTS_PER_DATAGRAM);
    assert_eq!(reports[0].fingerprint, fingerprint(0));
}

/// Guards against a request that crashes engines of a large fleet one after the other: its
/// caller sends it again every 300 ms to a random entry, a tenth of the datagrams is lost,
/// and 40 other requests run on each engine that crashes.
#[test]
fn a_crashing_request_is_stopped_in_a_fleet_of_failure_domains() {
    const DOMAINS: usize = 5;
    const ENTRIES_PER_DOMAIN: usize = 40;
    const OTHERS: usize = 40;
    const INTERVAL: u64 = 200;
    for seed in 0..10 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let count = DOMAINS * ENTRIES_PER_DOMAIN;
        let mut entries = vec![SharedQuarantine::new(); count];
        let mut crashes = 0;
        let mut refused = 0;
        for step in 0..100 {
            let now = at(step * INTERVAL);
            if step % 2 == 0 {
                let entry = random.random_range(0..count);
                if entries[entry].status(&fingerprint(0)) == CrashStatus::Quarantined {
                    refused += 1;
                } else {
                    crashes += 1;
                    entries[entry].note_crash(now, &fingerprint(0), site(crashes));
                    for other in 0..OTHERS {
                        let number = crashes * OTHERS + other;
                        let entry = random.random_range(0..count);
                        entries[entry].note_crash(now, &fingerprint(number), site(crashes));
                    }
                }
            }
            exchange(now, &mut entries, ENTRIES_PER_DOMAIN, &mut random);
        }
        assert!(crashes <= 3, "seed {seed}: {crashes} engines crashed");
        assert!(refused > 40, "seed {seed}: {refused} refused");
        let is_refused = |number| {
            let entry = &entries[0];
            entry.status(&fingerprint(number)) == CrashStatus::Quarantined
        };
        let others = (OTHERS..(crashes + 1) * OTHERS).filter(|number| is_refused(*number));
        assert_eq!(others.count(), 0, "seed {seed}");
    }
}

/// Sends what is due to the entries of the same failure domain, and from the first three of
/// each failure domain to all others.
fn exchange(
    now: ClockTime,
    entries: &mut [SharedQuarantine],
    per_domain: usize,
    random: &mut ChaCha8Rng,
) {
    for sender in 0..entries.len() {
        let domain = sender / per_domain;
        let direct = entries[sender].take_reports(now, ReportScope::Direct);
        let is_representative = sender % per_domain < 3;
        let remote = match is_representative {
            true => entries[sender].take_reports(now, ReportScope::OtherDomains),
            false => Vec::new(),
        };
        for (recipient, entry) in entries.iter_mut().enumerate() {
            let is_same_domain = recipient / per_domain == domain;
            let reports = if is_same_domain { &direct } else { &remote };
            if recipient == sender || reports.is_empty() || random.random_ratio(1, 10) {
                continue;
            }
            for report in reports {
                entry.note_report(now, report, is_same_domain);
            }
        }
    }
}

quickcheck! {
    /// Entries that received the same reports agree, in whatever order these arrived.
    fn the_order_of_reports_does_not_matter(reports: Vec<(u8, u8, bool)>) -> bool {
        let reports: Vec<CrashReport> = reports
            .iter()
            .map(|(number, endpoint, is_cleared)| CrashReport {
                fingerprint: fingerprint(usize::from(number % 4)),
                sites: vec![site(usize::from(endpoint % 3))],
                is_cleared: *is_cleared && endpoint % 5 == 0,
            })
            .collect();
        let mut forward = SharedQuarantine::new();
        let mut backward = SharedQuarantine::new();
        for report in &reports {
            forward.note_report(at(1), report, true);
        }
        for report in reports.iter().rev() {
            backward.note_report(at(1), report, true);
        }
        (0..4).all(|number| {
            forward.status(&fingerprint(number)) == backward.status(&fingerprint(number))
        })
    }
}

#[test]
fn a_restarted_endpoint_counts_as_another_one() {
    let endpoint = EndpointId::new("i-1").unwrap();
    let mut quarantine = SharedQuarantine::new();
    let first = SiteHash::with_endpoint(&endpoint, 1);
    let second = SiteHash::with_endpoint(&endpoint, 2);
    quarantine.note_crash(at(0), &fingerprint(1), first);
    let status = quarantine.note_crash(at(4_000), &fingerprint(1), second);
    assert_eq!(status, CrashStatus::Quarantined);
    let remaining = quarantine.quarantined_for(at(4_000), &fingerprint(1));
    assert!(remaining.unwrap() > TimeSpan::from_secs(60));
}
