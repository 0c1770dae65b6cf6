//! Leases: which controller holds a duty, by the log and by the clocks.

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

/// A manager that claimed at `at` and read the claim back at once as record 0.
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

/// Two controllers claim a duty whose lease has expired. One process reads the log at
/// once, another a minute later. If they decided by their own clocks, the engines would
/// receive orders from two holders.
#[test]
fn processes_that_read_at_different_times_determine_the_same_holder() {
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
            let held = leases.held(&DutyName::Fleet).expect("the duty is held");
            (held.holder.to_string(), held.fence)
        });
        holders.collect::<Vec<_>>()
    };
    let holders: Vec<String> = fold(0).into_iter().map(|(holder, _)| holder).collect();
    assert_eq!(holders, ["a", "a", "a", "a", "c", "c"]);
    assert_eq!(fold(0), fold(60_000));
}

/// A renewal reaches the log at once, but its sender is delayed and reads it back only
/// seconds later. A successor counts from when it read the record; if the holder counted
/// from its own late read, both would hold the duty.
#[test]
fn the_holder_counts_from_before_its_append_was_sent() {
    let (mut holder, mut leases) = claimed("a", 0);
    let renewal = holder.next_record(millis(2_000), &leases, offset(1), &candidacy(0, false));
    leases.apply(
        millis(6_500),
        offset(1),
        &renewal.expect("the renewal is due"),
    );
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

/// The holder's clock runs a tenth slower than the claimant's. Without a margin, the
/// claimant would take the duty while the holder still acts under its lease.
#[test]
fn a_claimant_waits_longer_than_the_lease_on_a_slow_clock() {
    let (holder, leases) = claimed("a", 0);
    let mut claimant = manager("b");
    let slow = |time: u64| millis(time * 9 / 10);
    let first_claim = (0..20_000).find(|time| {
        let record = claimant.next_record(millis(*time), &leases, offset(1), &candidacy(0, false));
        record.is_some()
    });
    let first_claim = first_claim.expect("the lease expires");
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

/// A process is killed and another one of the same name starts. It must not take over its
/// predecessor's lease, because an order of the predecessor may be in progress.
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

/// A controller must stop acting before it publishes that it releases a duty.
#[test]
fn the_authority_ends_before_the_release_is_in_the_log() {
    let (mut holder, leases) = claimed("a", 0);
    assert_eq!(holder.release_all().len(), 1);
    assert!(holder.grant(millis(1), &leases, &DutyName::Fleet).is_none());
}

#[test]
fn a_holder_releases_to_the_preferred_candidate_unless_it_is_busy() {
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
fn duties_are_spread_and_engines_stay_with_their_failure_domain() {
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
                assert_eq!(
                    first.insert(duty, candidate),
                    None,
                    "two candidates are first for one duty"
                );
            }
        }
    }
    let holders: BTreeSet<&InstanceId> = first.values().map(|first| &first.instance).collect();
    assert_eq!(
        holders.len(),
        duties.len(),
        "a candidate is first for two duties"
    );
    for domain in domains {
        let duty = DutyName::Engines(domain.clone());
        assert_eq!(first[&duty].failure_domain, domain);
    }
}
