//! Planning of the number of endpoints and of the stages of engines.

use std::collections::BTreeMap;

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    directory::{EndpointRegistration, EngineStage, SoftwareVersion},
    ids::{EndpointId, FailureDomain, ServiceName},
    ingress::{EngineRule, ScalingRule},
    provision::{DomainBaseline, EngineDemand, ProvisionPlanner, ProvisionService, ProvisionStep},
    units::{ByteSize, TokenCount},
};

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn service() -> ServiceName {
    ServiceName::new("chat").unwrap()
}

fn domain(name: &str) -> FailureDomain {
    FailureDomain::new(name).unwrap()
}

fn engine(name: &str, domain_name: &str, stage: EngineStage) -> EndpointRegistration {
    EndpointRegistration {
        id: EndpointId::new(name).unwrap(),
        start: 1,
        service: service(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: domain(domain_name),
        version: SoftwareVersion::new("v1"),
        slots: 64,
        is_leaving: false,
        leaves_in: None,
        is_preemptible: false,
        stage: Some(stage),
        warming: TimeSpan::ZERO,
        sequence: 1,
    }
}

/// Four engines in each of three failure domains. One of the four prefills.
fn fleet() -> Vec<EndpointRegistration> {
    let mut fleet = Vec::new();
    for name in ["a", "b", "c"] {
        for index in 0..4 {
            let stage = match index {
                0 => EngineStage::Prefill,
                _ => EngineStage::Decode,
            };
            fleet.push(engine(&format!("{name}{index}"), name, stage));
        }
    }
    fleet
}

struct Rules {
    service: ServiceName,
    scaling: ScalingRule,
    engine: EngineRule,
}

impl Rules {
    fn new() -> Rules {
        Rules {
            service: service(),
            scaling: ScalingRule {
                min_endpoints: 1,
                max_endpoints: 8,
                startup_time: TimeSpan::from_millis(4_000),
                preemptible_price: Some(0.18),
                domain_prices: BTreeMap::new(),
            },
            engine: EngineRule {
                slots: 64,
                memory: TokenCount::new(465_010),
                token_bytes: ByteSize::new(18_432),
                link_bytes_per_ms: 68_750_000,
                handle_lifetime: TimeSpan::from_secs(5),
                stage_switch: TimeSpan::from_secs(3),
                has_backups: false,
            },
        }
    }

    fn service(&self) -> ProvisionService<'_> {
        ProvisionService {
            name: &self.service,
            scaling: Some(&self.scaling),
            engine: Some(&self.engine),
            demand: EngineDemand::default(),
            entries: 9,
            limited: &[],
        }
    }
}

fn steps(
    planner: &mut ProvisionPlanner,
    now: u64,
    fleet: &[EndpointRegistration],
) -> Vec<ProvisionStep> {
    steps_for(planner, now, fleet, EngineDemand::default())
}

fn steps_for(
    planner: &mut ProvisionPlanner,
    now: u64,
    fleet: &[EndpointRegistration],
    demand: EngineDemand,
) -> Vec<ProvisionStep> {
    let rules = Rules::new();
    let service = ProvisionService {
        demand,
        ..rules.service()
    };
    planner.steps(at(now), service, fleet.iter())
}

/// The orders after `demand` was observed for 30 s, with none of the earlier orders
/// given.
fn steps_after(
    planner: &mut ProvisionPlanner,
    fleet: &[EndpointRegistration],
    demand: EngineDemand,
) -> Vec<ProvisionStep> {
    for now in (2_000..32_000).step_by(250) {
        steps_for(planner, now, fleet, demand);
    }
    steps_for(planner, 32_000, fleet, demand)
}

/// Demand of streams that run at `speed` on the engines of [`fleet`].
fn streams(speed: f64) -> EngineDemand {
    EngineDemand {
        prefill: 2.0,
        held: 0.5,
        running: 60.0,
        speed: Some(speed),
    }
}

fn stages(steps: &[ProvisionStep]) -> Vec<(String, EngineStage)> {
    let stages = steps.iter().filter_map(|step| match step {
        ProvisionStep::Stage {
            endpoint, stage, ..
        } => Some((endpoint.to_string(), *stage)),
        ProvisionStep::Count { .. } => None,
    });
    stages.collect()
}

fn settled_planner() -> ProvisionPlanner {
    let mut planner = ProvisionPlanner::new();
    assert!(steps(&mut planner, 0, &fleet()).is_empty());
    planner
}

fn counts(steps: &[ProvisionStep]) -> Vec<(String, bool, u32)> {
    let counts = steps.iter().filter_map(|step| match step {
        ProvisionStep::Count {
            domain,
            preemptible,
            count,
            ..
        } => Some((domain.to_string(), *preemptible, *count)),
        ProvisionStep::Stage { .. } => None,
    });
    counts.collect()
}

#[test]
fn nothing_is_ordered_while_endpoints_still_register() {
    // All endpoints register within some seconds of the start of the system. A planner
    // that took the first of them for the whole fleet would order a tenth of what is
    // needed.
    let mut planner = ProvisionPlanner::new();
    let fleet = fleet();
    for count in 1..=fleet.len() {
        let now = count as u64 * 1_000;
        assert!(steps(&mut planner, now, &fleet[..count]).is_empty());
    }
    assert!(!steps(&mut planner, 14_000, &fleet).is_empty());
}

#[test]
fn preemptible_engines_are_ordered_in_addition_to_reserved_ones() {
    let mut planner = settled_planner();
    let steps = steps(&mut planner, 2_000, &fleet());
    let expected = ["a", "b", "c"].map(|name| (name.to_string(), true, 4));
    assert_eq!(counts(&steps), expected);
}

#[test]
fn a_pending_order_is_not_repeated() {
    let mut planner = settled_planner();
    let first = steps(&mut planner, 2_000, &fleet());
    for step in &first {
        planner.note_ordered(at(2_000), step);
    }
    assert!(counts(&steps(&mut planner, 5_000, &fleet())).is_empty());
    // An order that was not received has no effect and is repeated.
    assert_eq!(counts(&steps(&mut planner, 9_000, &fleet())).len(), 3);
}

#[test]
fn unavailable_endpoints_are_ordered_again_later() {
    // All preemptible engines of a failure domain were withdrawn, and for some seconds
    // no more are available. Ordering all the time would only cost calls.
    let mut planner = settled_planner();
    planner.note_unavailable(at(2_000), &service(), &domain("a"));
    let now = counts(&steps(&mut planner, 2_100, &fleet()));
    assert!(now.iter().all(|(name, ..)| name != "a"));
    let later = counts(&steps(&mut planner, 5_100, &fleet()));
    assert!(later.iter().any(|(name, ..)| name == "a"));
}

#[test]
fn lost_reserved_engines_are_replaced() {
    // Two engines of a failure domain are lost permanently. The baseline is the number
    // of engines that the failure domain should have, also for a later leader.
    let mut planner = ProvisionPlanner::new();
    for name in ["a", "b", "c"] {
        planner.set_baseline(DomainBaseline {
            service: service(),
            domain: domain(name),
            endpoints: 4,
        });
    }
    let mut fleet = fleet();
    for name in ["a", "b", "c"] {
        for index in 4..8 {
            let mut extra = engine(&format!("{name}{index}"), name, EngineStage::Prefill);
            extra.is_preemptible = true;
            fleet.push(extra);
        }
    }
    fleet.retain(|entry| !["a0", "a1"].contains(&entry.id.as_str()));
    assert_eq!(
        counts(&steps(&mut planner, 0, &fleet)),
        [("a".to_string(), false, 4)]
    );
    assert_eq!(planner.baselines().len(), 3);
}

#[test]
fn the_number_of_decode_engines_follows_the_streams() {
    let mut planner = settled_planner();
    let fleet = fleet();
    let steps = steps_after(&mut planner, &fleet, streams(0.75));
    let stages = stages(&steps);
    // Three of four engines run requests now; two should.
    assert_eq!(stages.len(), 3);
    assert!(
        stages
            .iter()
            .all(|(_, stage)| *stage == EngineStage::Prefill)
    );
}

#[test]
fn long_answers_get_more_decode_engines_than_long_prompts() {
    // The answers of a deployment are long, and its streams run at a fifth of their
    // speed on three engines of each failure domain. With a fixed share that suits
    // another deployment, callers would wait for each token while engines that prefill
    // are idle.
    let mut planner = settled_planner();
    let fleet = fleet();
    let crowded = steps_after(&mut planner, &fleet, streams(0.2));
    assert!(stages(&crowded).is_empty(), "{crowded:?}");
    // In another deployment, the streams hardly use the same engines: one engine is
    // enough.
    let mut planner = settled_planner();
    let idle = steps_after(&mut planner, &fleet, streams(0.95));
    assert!(stages(&idle).len() >= 4, "{idle:?}");
    let to_prefill = |(_, stage): &(String, EngineStage)| *stage == EngineStage::Prefill;
    assert!(stages(&idle).iter().all(to_prefill));
}

#[test]
fn an_alternating_mix_changes_no_stage() {
    // The mix alternates between long prompts and long answers every three seconds.
    // Each change of a stage makes an engine unavailable for the same time; a plan that
    // followed the mix would always match the previous phase.
    let mut planner = settled_planner();
    let mut fleet = fleet();
    for name in ["a1", "b1", "c1"] {
        let engine = fleet.iter_mut().find(|engine| engine.id.as_str() == name);
        engine.expect("it is there").stage = Some(EngineStage::Prefill);
    }
    for now in (2_000..60_000).step_by(250) {
        let demand = match (now / 3_000) % 2 {
            0 => streams(0.45),
            _ => streams(0.85),
        };
        let steps = steps_for(&mut planner, now, &fleet, demand);
        assert!(
            now < 20_000 || stages(&steps).is_empty(),
            "{now}: {steps:?}"
        );
    }
}

#[test]
fn few_engines_change_their_stage_at_the_same_time() {
    // A change of a stage makes an engine unavailable for seconds. If all engines that
    // have to change did so together, no engine would run requests in the meantime.
    let mut planner = settled_planner();
    let all_prefill: Vec<EndpointRegistration> = fleet()
        .into_iter()
        .map(|mut entry| {
            entry.stage = Some(EngineStage::Prefill);
            entry
        })
        .collect();
    let first = steps(&mut planner, 2_000, &all_prefill);
    let is_stage = |step: &&ProvisionStep| matches!(step, ProvisionStep::Stage { .. });
    let first_stages: Vec<&ProvisionStep> = first.iter().filter(is_stage).collect();
    assert!(first_stages.len() <= 5, "{first_stages:?}");
    for step in first_stages {
        planner.note_ordered(at(2_000), step);
    }
    let next = steps(&mut planner, 2_300, &all_prefill);
    assert!(first.iter().filter(is_stage).count() + next.iter().filter(is_stage).count() <= 6);
}

/// Guards against a fleet of hundreds of engines that is divided between the stages although
/// hardly anybody uses it: each order costs as much as some requests earn.
#[test]
fn engines_without_demand_are_not_ordered_to_change_their_stage() {
    let mut fleet = Vec::new();
    for name in ["a", "b", "c"] {
        for index in 0..100 {
            let stage = match index < 31 {
                true => EngineStage::Prefill,
                false => EngineStage::Decode,
            };
            fleet.push(engine(&format!("{name}{index:03}"), name, stage));
        }
    }
    let mut planner = ProvisionPlanner::new();
    let quiet = EngineDemand {
        prefill: 1.0,
        held: 0.5,
        running: 6.0,
        speed: Some(0.98),
    };
    let mut stage_orders = 0;
    for now in (0..20_000).step_by(500) {
        let demand = match now < 6_000 {
            true => EngineDemand::default(),
            false => quiet,
        };
        for step in steps_for(&mut planner, now, &fleet, demand) {
            planner.note_ordered(at(now), &step);
            stage_orders += u32::from(matches!(step, ProvisionStep::Stage { .. }));
        }
    }
    assert_eq!(stage_orders, 0);
}

/// Guards against requests that are refused for lack of engines to run them while engines
/// that could run them prefill: all engines that run requests limit them.
#[test]
fn other_engines_run_requests_in_place_of_limited_ones() {
    let mut planner = settled_planner();
    let fleet: Vec<EndpointRegistration> = ["a", "b", "c"]
        .into_iter()
        .flat_map(|name| {
            (0..4).map(move |index| {
                let stage = match index {
                    0 => EngineStage::Decode,
                    _ => EngineStage::Prefill,
                };
                engine(&format!("{name}{index}"), name, stage)
            })
        })
        .collect();
    let limited = ["a0", "b0", "c0"].map(|name| EndpointId::new(name).unwrap());
    let rules = Rules::new();
    let service = ProvisionService {
        demand: streams(0.9),
        limited: &limited,
        ..rules.service()
    };
    let mut ordered = Vec::new();
    for now in (2_000..32_000).step_by(250) {
        ordered = stages(&planner.steps(at(now), service, fleet.iter()));
    }
    for name in ["a", "b", "c"] {
        let runs = |(endpoint, stage): &(String, EngineStage)| {
            endpoint.starts_with(name) && *stage == EngineStage::Decode
        };
        assert!(ordered.iter().any(runs), "{ordered:?}");
    }
    let is_limited = |endpoint: &String| limited.iter().any(|id| id.as_str() == endpoint);
    assert!(!ordered.iter().any(|(endpoint, _)| is_limited(endpoint)));
}

/// Guards against a software version whose engines all prefill: no other engine takes their
/// prompts over, and no stream of the version can be resumed.
#[test]
fn each_version_keeps_an_engine_that_runs_requests() {
    let mut fleet = fleet();
    for engine in &mut fleet {
        if engine.stage == Some(EngineStage::Prefill) {
            engine.version = SoftwareVersion::new("v2");
        }
    }
    let mut planner = ProvisionPlanner::new();
    let mut ordered = Vec::new();
    for now in (0..60_000).step_by(500) {
        for step in steps_for(&mut planner, now, &fleet, streams(0.9)) {
            planner.note_ordered(at(now), &step);
            let ProvisionStep::Stage {
                endpoint, stage, ..
            } = step
            else {
                continue;
            };
            let engine = fleet.iter_mut().find(|engine| engine.id == endpoint);
            let engine = engine.unwrap();
            engine.stage = Some(stage);
            if engine.version == SoftwareVersion::new("v2") {
                ordered.push((endpoint, stage));
            }
        }
    }
    let [(_, EngineStage::Decode)] = ordered[..] else {
        panic!("{ordered:?}");
    };
}
