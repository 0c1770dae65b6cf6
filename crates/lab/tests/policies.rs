//! Each policy beats its baselines on the measure that it is meant for.
//!
//! Small runs of the experiments that `bluebell-lab tables` prints, with a fixed
//! seed and in virtual time, so that the verdict is always the same. A change
//! that makes a policy worse than a plain rule fails here.

use bluebell_lab::{
    policy::{AdmissionRule, LabPolicy, RoleRule, RoutingRule},
    scenario::{LabScenario, WorkMix, at},
    tables::{fleet, recovery, retries, roles},
    world::run,
};

const SEED: u64 = 1;

fn mix(secs: u64, prompt: f64, output: f64) -> WorkMix {
    WorkMix {
        from: at(secs),
        prompt,
        output,
    }
}

/// A large organisation sends four times its load, and answers get long. Served
/// in the order of arrival, small organisations' callers leave unserved because
/// of somebody else's flood.
#[test]
fn fair_queueing_serves_the_worst_served_organisation_better_than_arrival_order() {
    let scenario = LabScenario::magnolia()
        .with_flood(0, at(10), at(60), 4.0)
        .with_mixes(vec![mix(0, 900.0, 160.0), mix(15, 500.0, 300.0)])
        .with_events(Vec::new())
        .with_length(60);
    let fair = run(&scenario, &LabPolicy::new("fair"), SEED);
    let arrival = LabPolicy::new("arrival").with_admission(AdmissionRule::ArrivalOrder);
    let arrival = run(&scenario, &arrival, SEED);
    let (fair_worst, arrival_worst) = (fair.worst_percent(Some(0)), arrival.worst_percent(Some(0)));
    assert!(
        fair_worst > arrival_worst + 5.0,
        "{fair_worst} {arrival_worst}"
    );
    assert!(fair.goodput() >= arrival.goodput());
    assert!(fair.late_percent() < arrival.late_percent() / 2.0);
}

/// The flood comes through all entries while a large organisation's callers use
/// those of one failure domain. If these entries don't know what the flood gets
/// elsewhere, they give it as much as the organisation that has nowhere else.
#[test]
fn the_peers_word_protects_an_organisation_in_one_failure_domain() {
    let scenario = LabScenario::magnolia()
        .with_flood(0, at(10), at(60), 4.0)
        .with_home(1, 0)
        .with_mixes(vec![mix(0, 900.0, 160.0), mix(15, 500.0, 300.0)])
        .with_events(Vec::new())
        .with_length(60);
    let told = run(&scenario, &LabPolicy::new("told"), SEED);
    let alone = LabPolicy::new("alone").with_admission(AdmissionRule::FairAlone);
    let alone = run(&scenario, &alone, SEED);
    let (told, alone) = (
        told.organisations[1].percent(),
        alone.organisations[1].percent(),
    );
    assert!(told > alone + 3.0, "{told} {alone}");
}

/// Prompts get long, and reports are three seconds old. Rules that ignore prefix
/// caches or trust the reports lose requests that the same engines can serve.
#[test]
fn the_router_serves_more_and_sooner_than_each_plain_rule() {
    let scenario = LabScenario::magnolia()
        .without_flood()
        .with_mixes(vec![mix(0, 900.0, 160.0), mix(10, 2_200.0, 60.0)])
        .with_events(Vec::new())
        .with_length(40);
    let lag = bluebell_core::clock::TimeSpan::from_secs(3);
    let router = run(&scenario, &LabPolicy::new("router").with_lag(lag), SEED);
    for rule in [
        RoutingRule::Random,
        RoutingRule::RoundRobin,
        RoutingRule::LeastOutstanding,
        RoutingRule::LeastReported,
    ] {
        let policy = LabPolicy::new("plain").with_routing(rule).with_lag(lag);
        let plain = run(&scenario, &policy, SEED);
        assert!(router.goodput() > plain.goodput() * 1.1, "{rule:?}");
        assert!(
            router.first_token_p95() < plain.first_token_p95(),
            "{rule:?}"
        );
    }
}

/// The mix shifts for minutes and then back and forth. Static roles serve one
/// side of it badly; an eager rule takes engines away all the time.
#[test]
fn the_role_planner_serves_more_than_static_and_eager_roles_with_few_changes() {
    let scenario = LabScenario::formosa()
        .without_flood()
        .with_events(Vec::new())
        .with_mixes(vec![
            mix(0, 900.0, 200.0),
            mix(20, 2_600.0, 50.0),
            mix(200, 900.0, 200.0),
            mix(210, 2_600.0, 50.0),
            mix(220, 900.0, 200.0),
        ])
        .with_length(230);
    let first = roles::first_roles(scenario.engines.len());
    let with_roles = |rule| {
        let policy = LabPolicy::new("roles").with_roles(rule, first.clone());
        run(&scenario, &policy, SEED)
    };
    let planned = with_roles(RoleRule::Planner);
    let eager = with_roles(RoleRule::Eager);
    let fixed = with_roles(RoleRule::Static);
    assert!(planned.goodput() > fixed.goodput());
    assert!(planned.goodput() > eager.goodput());
    assert!(planned.role_changes > 0);
    assert!(planned.role_changes * 2 < eager.role_changes);
}

/// Fixed fleets are either dear or late. The planner is neither, and runs a good
/// part of the work on preemptible endpoints although they are reclaimed five
/// times.
#[test]
fn the_fleet_planner_costs_less_than_a_fixed_fleet_and_is_not_late() {
    for (name, case) in fleet::CASES {
        let rows = fleet::rows(case, &[SEED]);
        let [planner, unbounded, peak, same_cost] = rows.as_slice() else {
            panic!("four policies are compared");
        };
        assert!(planner.cost.median < peak.cost.median * 0.6, "{name}");
        assert!(planner.late.median < 0.05, "{name}");
        assert!(planner.late.median < same_cost.late.median, "{name}");
        assert!(planner.late_after_reclaim.median <= unbounded.late_after_reclaim.median);
        assert!(planner.cheap_share.median > 20.0, "{name}");
    }
}

/// A server is slow for half a minute. With three attempts for each request it
/// stays overloaded for good although it is as fast as before.
#[test]
fn the_retry_budget_ends_a_storm_with_its_cause() {
    let rows = retries::rows(&[SEED]);
    let [budget, backoff, at_once, none] = rows.as_slice() else {
        panic!("four rules are compared");
    };
    for storm in [backoff, at_once] {
        assert!(budget.recovery.median * 2.0 < storm.recovery.median);
        assert!(budget.answered.median > storm.answered.median * 2.0);
    }
    assert!(budget.recovery.median <= none.recovery.median + 15.0);
}

/// A failure domain comes back. Entries that go by reports see idle engines and
/// send them everything.
#[test]
fn what_comes_back_is_not_met_by_a_herd() {
    let scenario = LabScenario::formosa();
    let rows = recovery::rows(&scenario, &[SEED]);
    let of = |lost: &str, name: &str| {
        let row = rows.iter().find(|row| row.lost == lost && row.name == name);
        row.expect("the loss and the policy are measured")
    };
    let router = of("a failure domain", "router");
    let reported = of("a failure domain", "least outstanding, reported");
    assert!(router.herd.median < 1.5, "{}", router.herd);
    assert!(reported.herd.median > router.herd.median);
    assert!(router.after_return.median < reported.after_return.median);
    let abrupt = of("a failure domain", "router without slow start");
    assert!(router.herd.median < abrupt.herd.median, "{}", abrupt.herd);
}
