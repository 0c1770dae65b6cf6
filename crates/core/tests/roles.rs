//! When the planner changes the role of an engine, and when it does not.

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

/// Prompts have become long and answers short: decode engines are idle while prompts
/// queue, so callers wait for their first token although half of the fleet is free.
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

/// A burst of long prompts lasts for a few seconds. An engine that changes its role for
/// it would be unavailable for longer than the burst, and have the wrong role afterwards.
#[test]
fn a_burst_changes_nothing() {
    let planned = planner().plan(
        at(100),
        &inputs(engines(4, 8), demand(56_000, 3_000), demand(20_000, 9_000)),
    );
    assert!(planned.is_empty(), "{planned:?}");
}

#[test]
fn a_fleet_that_serves_the_whole_demand_changes_nothing() {
    let light = demand(8_000, 4_000);
    let planned = planner().plan(at(100), &inputs(engines(4, 8), light, light));
    assert!(planned.is_empty(), "{planned:?}");
}

#[test]
fn a_failure_domain_with_a_change_in_progress_gets_no_other_change() {
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
fn an_engine_keeps_its_role_for_the_minimum_time() {
    let shifted = demand(56_000, 3_000);
    let mut changed = engines(4, 8);
    for engine in &mut changed {
        engine.changed_at = Some(at(90));
    }
    let planned = planner().plan(at(100), &inputs(changed, shifted, shifted));
    assert!(planned.is_empty(), "{planned:?}");
}

/// Most callers cancel after a few words. If the maximum output counted as demand, the
/// fleet would reserve engines to decode output that is not read.
#[test]
fn cancelled_requests_are_subtracted_from_the_demand() {
    let pool = RoutePool::Model(ModelName::new("chat").expect("valid"));
    let mut estimator = DemandEstimator::new();
    let (prompt, max_output) = (TokenCount::new(500), TokenCount::new(400));
    for second in 0..600 {
        for _ in 0..10 {
            estimator.note_arrival(at(second), &pool, prompt, TokenCount::ZERO, max_output);
            estimator.note_end(&pool, max_output, TokenCount::new(40));
        }
        estimator.note_arrival(at(second), &pool, prompt, TokenCount::ZERO, max_output);
        estimator.note_queued_cancel(at(second), &pool, prompt, max_output);
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

/// Decode engines are lost, so few tokens are decoded. Measured by served tokens, the
/// demand for decode would appear to have ended.
#[test]
fn demand_that_is_not_served_still_counts() {
    let pool = RoutePool::Model(ModelName::new("chat").expect("valid"));
    let mut estimator = DemandEstimator::new();
    for second in 0..60 {
        let (prompt, max_output) = (TokenCount::new(500), TokenCount::new(400));
        estimator.note_arrival(at(second), &pool, prompt, TokenCount::ZERO, max_output);
    }
    let estimate = estimator.demands(at(59)).remove(0).short;
    assert!(estimate.decode.count() >= 190, "{estimate:?}");
}
