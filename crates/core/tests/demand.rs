//! Measurement of the demand of requests on engines.

use bluebell_core::{
    clock::ClockTime,
    ids::{FailureDomain, InstanceId, ServiceName},
    provision::{DemandTable, EngineDemand},
};

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn service() -> ServiceName {
    ServiceName::new("chat").unwrap()
}

#[test]
fn prefills_are_measured_as_busy_engines() {
    // A prefill of 100 ms every 50 ms keeps two engines busy.
    let mut table = DemandTable::new();
    for now in (0..30_000).step_by(50) {
        table.prefill_sent(at(now), &service(), 100.0);
    }
    let demand = table.total(at(30_000), &service());
    assert!((demand.prefill - 2.0).abs() < 0.1, "{demand:?}");
}

#[test]
fn ended_requests_no_longer_count_as_running() {
    let mut table = DemandTable::new();
    for _ in 0..10 {
        table.run_started(at(0), &service(), 0.1);
    }
    let running = table.total(at(20_000), &service());
    assert!((running.held - 1.0).abs() < 0.05, "{running:?}");
    for _ in 0..10 {
        table.run_ended(at(20_000), &service(), 0.1);
    }
    let ended = table.total(at(40_000), &service());
    assert!(ended.held < 0.05 && ended.running < 0.5, "{ended:?}");
}

#[test]
fn speed_is_relative_to_uncontended_streams() {
    let mut table = DemandTable::new();
    for now in 0..50 {
        table.note_stream_pace(at(now * 100), &service(), 40.0);
    }
    for now in 50..200 {
        table.note_stream_pace(at(now * 100), &service(), 80.0);
    }
    let speed = table.total(at(20_000), &service()).speed.unwrap();
    assert!((0.45..0.65).contains(&speed), "{speed}");
}

#[test]
fn the_demand_of_a_partitioned_entry_counts_for_a_while() {
    // A failure domain is partitioned from the leader, and its callers are still there.
    // If the leader dropped its demand at once, engines would be taken away from the
    // callers that remain.
    let mut table = DemandTable::new();
    let peer = InstanceId::new("entry-2").unwrap();
    let demand = EngineDemand {
        prefill: 3.0,
        held: 1.0,
        running: 20.0,
        speed: Some(0.7),
    };
    table.note_peer(at(0), &peer, service(), demand);
    assert_eq!(table.total(at(5_000), &service()), demand);
    let later = table.total(at(60_000), &service());
    assert_eq!(later, EngineDemand::default());
}

/// Guards against a sum of a failure domain that includes the sums of other domains,
/// and so grows with each report.
#[test]
fn the_sum_of_a_failure_domain_excludes_the_demand_of_other_domains() {
    let demand = |prefill| EngineDemand {
        prefill,
        ..EngineDemand::default()
    };
    let mut table = DemandTable::new();
    let peer = InstanceId::new("entry-2").unwrap();
    let other = FailureDomain::new("b").unwrap();
    table.note_peer(at(0), &peer, service(), demand(2.0));
    table.note_domain(at(0), &other, service(), demand(5.0));
    table.note_domain(at(100), &other, service(), demand(7.0));
    assert_eq!(table.directly_reported(at(200)), [(service(), demand(2.0))]);
    assert_eq!(table.total(at(200), &service()), demand(9.0));
    assert_eq!(table.total(at(60_000), &service()), demand(0.0));
}

/// Guards against a plan that removes engines in the first seconds of traffic because
/// averages that start at zero underestimate the demand.
#[test]
fn demand_is_known_soon_after_the_first_requests() {
    let mut table = DemandTable::new();
    for now in (10_000..11_500).step_by(50) {
        table.prefill_sent(at(now), &service(), 100.0);
        table.run_started(at(now), &service(), 0.1);
        table.run_ended(at(now + 25), &service(), 0.1);
    }
    let early = table.total(at(11_500), &service());
    assert!((early.prefill - 2.0).abs() < 0.4, "{early:?}");
    assert!((early.held - 0.05).abs() < 0.02, "{early:?}");
}
