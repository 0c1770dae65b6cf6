//! Leases: who is in charge, as the log and the clocks tell.

use std::collections::{BTreeMap, BTreeSet};

use bluebell_core::{
    authority::{DutyCandidacy, DutyCandidate, LeaseManager, LeaseState, LeaseTiming, duty_ranks},
    clock::{ClockTime, TimeSpan},
    ids::{FailureDomain, InstanceId, LogOffset},
    records::{DutyName, LeaseAction, LeaseRecord},
};

const LEASE: TimeSpan = TimeSpan::from_secs(6);

fn instance(name: &str) -> InstanceId {
    InstanceId::new(name).expect("the name is valid")
}

fn manager(name: &str) -> LeaseManager {
    let timing = LeaseTiming {
        duration: LEASE,
        margin: TimeSpan::from_secs(1),
        renew_after: TimeSpan::from_secs(2),
        stagger: TimeSpan::from_millis(500),
        handover_after: TimeSpan::from_secs(10),
    };
    LeaseManager::new(instance(name), timing)
}

fn candidacy(rank: usize, busy: bool) -> DutyCandidacy {
    DutyCandidacy {
        duty: DutyName::Fleet,
        rank,
        busy,
    }
}

fn millis(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn offset(number: u64) -> LogOffset {
    LogOffset::new(number)
}

/// Claims at `at` and reads the claim back at once, as the record `offset(0)`.
fn claimed(name: &str, at: u64) -> (LeaseManager, LeaseState) {
    let mut manager = manager(name);
    let mut leases = LeaseState::new();
    let claim = manager.next_record(millis(at), &leases, offset(0), &candidacy(0, false));
    leases.apply(millis(at), offset(0), &claim.expect("the duty is free"));
    manager.appended(&DutyName::Fleet, millis(at), offset(0));
    let next = manager.next_record(millis(at), &leases, offset(1), &candidacy(0, false));
    assert_eq!(next, None);
    (manager, leases)
}

/// Two controllers claim a duty that has run out. One reader gets to the log at
/// once, another a minute later. If they judged by their own clocks, callers'
/// engines would get orders from two holders.
#[test]
fn readers_that_read_at_different_times_name_the_same_holder() {
    let claim = |holder: &str, supersedes: Option<u64>| LeaseRecord {
        duty: DutyName::Fleet,
        holder: instance(holder),
        action: LeaseAction::Claim,
        duration: LEASE,
        supersedes: supersedes.map(offset),
    };
    let renewal = LeaseRecord {
        action: LeaseAction::Renew { fence: offset(0) },
        ..claim("a", None)
    };
    let records = [
        claim("a", None),
        claim("b", None),
        renewal,
        claim("b", Some(0)),
        claim("c", Some(2)),
        claim("b", Some(2)),
    ];
    let fold = |spacing: u64| {
        let mut leases = LeaseState::new();
        let holders = records.iter().enumerate().map(|(index, record)| {
            leases.apply(millis(index as u64 * spacing), offset(index as u64), record);
            let held = leases.held(&DutyName::Fleet).expect("somebody holds it");
            (held.holder.to_string(), held.fence)
        });
        holders.collect::<Vec<_>>()
    };
    let named: Vec<String> = fold(0).into_iter().map(|(holder, _)| holder).collect();
    assert_eq!(named, ["a", "a", "a", "a", "c", "c"]);
    assert_eq!(fold(0), fold(60_000));
}

/// A renewal reaches the log at once, but its sender is held up and reads it
/// back only seconds later. A successor counts from when it read the record; if
/// the holder counted from its late reading, both would be in charge.
#[test]
fn the_holder_counts_from_before_its_append_was_sent() {
    let (mut holder, mut leases) = claimed("a", 0);
    let renewal = holder.next_record(millis(2_000), &leases, offset(1), &candidacy(0, false));
    leases.apply(millis(6_500), offset(1), &renewal.expect("it is due"));
    holder.appended(&DutyName::Fleet, millis(2_000), offset(1));
    let none = holder.next_record(millis(6_500), &leases, offset(2), &candidacy(0, true));
    assert!(none.is_some_and(|next| matches!(next.action, LeaseAction::Renew { .. })));
    let granted = |at: u64| {
        holder
            .grant(millis(at), &leases, &DutyName::Fleet)
            .is_some()
    };
    assert!(granted(7_999));
    assert!(!granted(8_000));
}

/// The holder's clock runs a tenth slower than the claimant's. Without a margin
/// the claimant would be in charge while the holder still is.
#[test]
fn a_claimant_waits_longer_than_a_slow_clock_counts() {
    let (holder, leases) = claimed("a", 0);
    let mut claimant = manager("b");
    let slow = |time: u64| millis(time * 9 / 10);
    let first_claim = (0..20_000).find(|time| {
        let record = claimant.next_record(millis(*time), &leases, offset(1), &candidacy(0, false));
        record.is_some()
    });
    let first_claim = first_claim.expect("the lease runs out");
    assert!(
        holder
            .grant(slow(first_claim), &leases, &DutyName::Fleet)
            .is_none()
    );
    assert!(
        holder
            .grant(slow(first_claim - 400), &leases, &DutyName::Fleet)
            .is_some()
    );
}

/// A process is killed and another of the same name starts. It must not take its
/// predecessor's lease for its own: an order of the predecessor may be under way.
#[test]
fn a_process_does_not_act_under_its_predecessors_claim() {
    let (_, leases) = claimed("a", 0);
    let mut restarted = manager("a");
    let record = restarted.next_record(millis(1_000), &leases, offset(1), &candidacy(0, false));
    assert_eq!(record, None);
    assert!(
        restarted
            .grant(millis(1_000), &leases, &DutyName::Fleet)
            .is_none()
    );
}

/// A controller stops acting before it tells others that it gives a duty up.
#[test]
fn a_duty_is_given_up_here_before_the_log_says_so() {
    let (mut holder, leases) = claimed("a", 0);
    assert_eq!(holder.release_all().len(), 1);
    assert!(holder.grant(millis(1), &leases, &DutyName::Fleet).is_none());
}

#[test]
fn a_holder_hands_over_to_the_preferred_candidate_unless_it_is_busy() {
    let (mut holder, leases) = claimed("a", 0);
    let mut record_at = |at: u64, busy: bool| {
        let record = holder.next_record(millis(at), &leases, offset(1), &candidacy(1, busy));
        record.map(|record| record.action)
    };
    let renewal = Some(LeaseAction::Renew { fence: offset(0) });
    assert_eq!(record_at(1_000, false), None);
    assert_eq!(record_at(11_500, true), renewal);
    let release = Some(LeaseAction::Release { fence: offset(0) });
    assert_eq!(record_at(11_600, false), release);
}

#[test]
fn duties_spread_and_engines_stay_with_their_failure_domain() {
    let domains = ["se-a", "se-b", "se-c"].map(|d| FailureDomain::new(d).expect("valid"));
    let candidates: Vec<DutyCandidate> = (0..9)
        .map(|index| DutyCandidate {
            instance: instance(&format!("controller-{index}")),
            failure_domain: domains[index % 3].clone(),
        })
        .collect();
    let engines = domains.iter().cloned().map(DutyName::Engines);
    let duties: Vec<DutyName> = [DutyName::Fleet, DutyName::Usage, DutyName::Log]
        .into_iter()
        .chain(engines)
        .collect();
    let mut first = BTreeMap::new();
    for candidate in &candidates {
        for (duty, rank) in duty_ranks(&duties, &candidate.instance, &candidates) {
            if rank == 0 {
                assert_eq!(first.insert(duty, candidate), None, "two are first");
            }
        }
    }
    let holders: BTreeSet<&InstanceId> = first.values().map(|first| &first.instance).collect();
    assert_eq!(
        holders.len(),
        duties.len(),
        "somebody is first for two duties"
    );
    for domain in domains {
        let duty = DutyName::Engines(domain.clone());
        assert_eq!(first[&duty].failure_domain, domain);
    }
}
