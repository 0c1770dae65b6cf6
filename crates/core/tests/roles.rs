//! When an engine's role changes, and when it stays.

use bluebell_core::{
    clock::ClockTime,
    ids::{EndpointId, FailureDomain, ModelName},
    records::EngineRole,
    roles::{
        DemandEstimator, EngineRates, RoleEngine, RoleInputs, RolePlanner, RoleSettings,
        TokenDemand,
    },
    routing::RoutePool,
    units::{TokenCount, TokenRate},
};

fn at(secs: u64) -> ClockTime {
    ClockTime::from_millis(secs * 1_000)
}

fn demand(prefill: u64, decode: u64) -> TokenDemand {
    TokenDemand {
        prefill: TokenRate::new(prefill),
        decode: TokenRate::new(decode),
    }
}

fn engines(prefill: usize, decode: usize) -> Vec<RoleEngine> {
    let domains = ["se-a", "se-b", "se-c"];
    (0..prefill + decode)
        .map(|index| RoleEngine {
            endpoint: EndpointId::new(format!("e{index}")).expect("valid"),
            failure_domain: FailureDomain::new(domains[index % 3]).expect("valid"),
            role: match index < prefill {
                true => EngineRole::Prefill,
                false => EngineRole::Decode,
            },
            serving: true,
            changing: false,
            changed_at: None,
        })
        .collect()
}

fn inputs(engines: Vec<RoleEngine>, short: TokenDemand, long: TokenDemand) -> RoleInputs {
    RoleInputs {
        engines,
        short,
        long,
        rates: EngineRates::default(),
    }
}

fn planner() -> RolePlanner {
    RolePlanner::new(RoleSettings::default())
}

/// Prompts have become long and answers short; decode engines idle while prompts
/// queue. Callers wait for their first token although half the fleet is free.
#[test]
fn a_lasting_shift_changes_roles_one_in_each_failure_domain() {
    let shifted = demand(56_000, 3_000);
    let planned = planner().plan(at(100), &inputs(engines(4, 8), shifted, shifted));
    assert!((1..=3).contains(&planned.len()), "{planned:?}");
    for change in &planned {
        assert_ne!(change.to, EngineRole::Decode, "{change:?}");
        assert_eq!(change.from, EngineRole::Decode, "{change:?}");
    }
    let domain = |id: &EndpointId| id.as_str()[1..].parse::<usize>().expect("a number") % 3;
    let mut domains: Vec<usize> = planned.iter().map(|c| domain(&c.endpoint)).collect();
    domains.sort_unstable();
    domains.dedup();
    assert_eq!(domains.len(), planned.len());
}

/// A burst of long prompts lasts a few seconds. An engine that changes for it is
/// away for longer than the burst, and is in the wrong role afterwards.
#[test]
fn a_burst_changes_nothing() {
    let planned = planner().plan(
        at(100),
        &inputs(engines(4, 8), demand(56_000, 3_000), demand(20_000, 9_000)),
    );
    assert!(planned.is_empty(), "{planned:?}");
}

#[test]
fn a_fleet_that_serves_all_changes_nothing() {
    let light = demand(8_000, 4_000);
    let planned = planner().plan(at(100), &inputs(engines(4, 8), light, light));
    assert!(planned.is_empty(), "{planned:?}");
}

#[test]
fn a_failure_domain_with_a_change_under_way_waits() {
    let shifted = demand(56_000, 3_000);
    let mut changing = engines(4, 8);
    for engine in &mut changing[9..12] {
        engine.serving = false;
        engine.changing = true;
    }
    let planned = planner().plan(at(100), &inputs(changing, shifted, shifted));
    assert!(planned.is_empty(), "{planned:?}");
}

#[test]
fn an_engine_that_has_just_changed_rests() {
    let shifted = demand(56_000, 3_000);
    let mut rested = engines(4, 8);
    for engine in &mut rested {
        engine.changed_at = Some(at(90));
    }
    let planned = planner().plan(at(100), &inputs(rested, shifted, shifted));
    assert!(planned.is_empty(), "{planned:?}");
}

/// Most callers leave after a few words. If what they asked for counted as
/// demand, the fleet would hold engines ready to decode what nobody reads.
#[test]
fn cancels_are_taken_off_the_demand() {
    let pool = RoutePool::Model(ModelName::new("chat").expect("valid"));
    let mut estimator = DemandEstimator::new();
    let (prompt, most) = (TokenCount::new(500), TokenCount::new(400));
    for second in 0..600 {
        for _ in 0..10 {
            estimator.note_arrival(at(second), &pool, prompt, TokenCount::ZERO, most);
            estimator.note_end(&pool, most, TokenCount::new(40));
        }
        estimator.note_arrival(at(second), &pool, prompt, TokenCount::ZERO, most);
        estimator.note_queued_cancel(at(second), &pool, prompt, most);
    }
    let estimate = estimator.demands(at(599)).remove(0).long;
    assert!(
        (4_800..=5_200).contains(&estimate.prefill.count()),
        "{estimate:?}"
    );
    assert!(
        (350..=500).contains(&estimate.decode.count()),
        "{estimate:?}"
    );
}

/// Decode engines are lost, and little is decoded. Going by what is served, the
/// demand for decode would seem to have gone.
#[test]
fn demand_that_is_not_served_still_counts() {
    let pool = RoutePool::Model(ModelName::new("chat").expect("valid"));
    let mut estimator = DemandEstimator::new();
    for second in 0..60 {
        let (prompt, most) = (TokenCount::new(500), TokenCount::new(400));
        estimator.note_arrival(at(second), &pool, prompt, TokenCount::ZERO, most);
    }
    let estimate = estimator.demands(at(59)).remove(0).short;
    assert!(estimate.decode.count() >= 190, "{estimate:?}");
}
