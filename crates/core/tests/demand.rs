//! What entries see of the work that requests ask of engines.

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
fn prefills_are_measured_in_engines_kept_busy() {
    // A prefill of 100 ms every 50 ms keeps two engines busy.
    let mut board = DemandTable::new();
    for now in (0..30_000).step_by(50) {
        board.prefill_sent(at(now), &service(), 100.0);
    }
    let demand = board.total(at(30_000), &service());
    assert!((demand.prefill - 2.0).abs() < 0.1, "{demand:?}");
}

#[test]
fn what_runs_is_no_longer_counted_when_it_has_ended() {
    let mut board = DemandTable::new();
    for _ in 0..10 {
        board.run_started(at(0), &service(), 0.1);
    }
    let running = board.total(at(20_000), &service());
    assert!((running.held - 1.0).abs() < 0.05, "{running:?}");
    for _ in 0..10 {
        board.run_ended(at(20_000), &service(), 0.1);
    }
    let ended = board.total(at(40_000), &service());
    assert!(ended.held < 0.05 && ended.running < 0.5, "{ended:?}");
}

#[test]
fn streams_among_many_are_slower_than_the_first_ones() {
    let mut board = DemandTable::new();
    for now in 0..50 {
        board.note_stream_pace(at(now * 100), &service(), 40.0);
    }
    for now in 50..200 {
        board.note_stream_pace(at(now * 100), &service(), 80.0);
    }
    let speed = board.total(at(20_000), &service()).speed.unwrap();
    assert!((0.45..0.65).contains(&speed), "{speed}");
}

#[test]
fn an_entry_that_is_cut_off_still_counts_for_a_while() {
    // A failure domain is cut off from the steward, and its callers are still there. A
    // steward that forgot them at once would take engines away from those who are left.
    let mut board = DemandTable::new();
    let peer = InstanceId::new("entry-2").unwrap();
    let demand = EngineDemand {
        prefill: 3.0,
        held: 1.0,
        running: 20.0,
        speed: Some(0.7),
    };
    board.note_peer(at(0), &peer, service(), demand);
    assert_eq!(board.total(at(5_000), &service()), demand);
    let later = board.total(at(60_000), &service());
    assert_eq!(later, EngineDemand::default());
}

/// Guards against a sum of a failure domain that counts what others have summed up, and
/// so grows with each word.
#[test]
fn the_sum_of_a_failure_domain_leaves_out_what_other_domains_ask_for() {
    let demand = |prefill| EngineDemand {
        prefill,
        ..EngineDemand::default()
    };
    let mut board = DemandTable::new();
    let peer = InstanceId::new("entry-2").unwrap();
    let other = FailureDomain::new("b").unwrap();
    board.note_peer(at(0), &peer, service(), demand(2.0));
    board.note_domain(at(0), &other, service(), demand(5.0));
    board.note_domain(at(100), &other, service(), demand(7.0));
    assert_eq!(board.direct(at(200)), [(service(), demand(2.0))]);
    assert_eq!(board.total(at(200), &service()), demand(9.0));
    assert_eq!(board.total(at(60_000), &service()), demand(0.0));
}

/// Guards against a plan that gives engines away in the first seconds of traffic, because
/// averages that begin with nothing take what is asked for to be little.
#[test]
fn demand_is_known_soon_after_the_first_requests() {
    let mut board = DemandTable::new();
    for now in (10_000..11_500).step_by(50) {
        board.prefill_sent(at(now), &service(), 100.0);
        board.run_started(at(now), &service(), 0.1);
        board.run_ended(at(now + 25), &service(), 0.1);
    }
    let early = board.total(at(11_500), &service());
    assert!((early.prefill - 2.0).abs() < 0.4, "{early:?}");
    assert!((early.held - 0.05).abs() < 0.02, "{early:?}");
}
