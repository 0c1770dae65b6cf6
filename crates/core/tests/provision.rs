//! How many endpoints are ordered, and which stages.

use std::collections::BTreeMap;

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    directory::{EndpointRegistration, EngineStage},
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
        slots: 64,
        is_leaving: false,
        leaves_in: None,
        is_preemptible: false,
        stage: Some(stage),
        warming: TimeSpan::ZERO,
        sequence: 1,
    }
}

/// Four engines in each of three failure domains, one in three of them prefilling.
fn fleet() -> Vec<EndpointRegistration> {
    let mut fleet = Vec::new();
    for name in ["a", "b", "c"] {
        for place in 0..4 {
            let stage = match place {
                0 => EngineStage::Prefill,
                _ => EngineStage::Decode,
            };
            fleet.push(engine(&format!("{name}{place}"), name, stage));
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
            },
        }
    }

    fn service(&self) -> ProvisionService<'_> {
        ProvisionService {
            name: &self.service,
            scaling: Some(&self.scaling),
            engine: Some(&self.engine),
            demand: EngineDemand::default(),
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

/// What is ordered after `demand` was seen for half a minute, with nothing ordered
/// meanwhile.
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

/// Streams that run at `speed` on the engines of [`fleet`].
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

fn settled() -> ProvisionPlanner {
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
    // All endpoints register within some seconds of the system's start. A planner
    // that took the first of them for the whole fleet would order a tenth of it.
    let mut planner = ProvisionPlanner::new();
    let fleet = fleet();
    for count in 1..=fleet.len() {
        let now = count as u64 * 1_000;
        assert!(steps(&mut planner, now, &fleet[..count]).is_empty());
    }
    assert!(!steps(&mut planner, 14_000, &fleet).is_empty());
}

#[test]
fn preemptible_engines_are_ordered_beside_the_lasting_ones() {
    let mut planner = settled();
    let steps = steps(&mut planner, 2_000, &fleet());
    let expected = ["a", "b", "c"].map(|name| (name.to_string(), true, 4));
    assert_eq!(counts(&steps), expected);
}

#[test]
fn an_order_is_not_repeated_while_it_is_carried_out() {
    let mut planner = settled();
    let first = steps(&mut planner, 2_000, &fleet());
    for step in &first {
        planner.note_ordered(at(2_000), step);
    }
    assert!(counts(&steps(&mut planner, 5_000, &fleet())).is_empty());
    // An order that was not heard has no effect, and comes up again.
    assert_eq!(counts(&steps(&mut planner, 9_000, &fleet())).len(), 3);
}

#[test]
fn where_none_are_to_be_had_it_is_asked_again_later() {
    // A whole failure domain of preemptible engines was withdrawn, and for some
    // seconds there are no more. Asking all the time would only cost calls.
    let mut planner = settled();
    planner.note_unavailable(at(2_000), &service(), &domain("a"));
    let now = counts(&steps(&mut planner, 2_100, &fleet()));
    assert!(now.iter().all(|(name, ..)| name != "a"));
    let later = counts(&steps(&mut planner, 5_100, &fleet()));
    assert!(later.iter().any(|(name, ..)| name == "a"));
}

#[test]
fn lost_lasting_engines_are_replaced() {
    // Two engines of a failure domain are lost for good. What the planner saw first
    // is what the failure domain is to have, also for a steward that comes later.
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
        for place in 4..8 {
            let mut extra = engine(&format!("{name}{place}"), name, EngineStage::Prefill);
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
fn as_many_engines_run_requests_as_their_streams_need() {
    let mut planner = settled();
    let fleet = fleet();
    let steps = steps_after(&mut planner, &fleet, streams(0.75));
    let stages = stages(&steps);
    // Three of four run requests now; two are to.
    assert_eq!(stages.len(), 3);
    assert!(
        stages
            .iter()
            .all(|(_, stage)| *stage == EngineStage::Prefill)
    );
}

#[test]
fn long_answers_get_more_engines_than_long_prompts_do() {
    // A deployment's answers are long, and its streams run at a fifth of their speed on
    // three engines of each failure domain. With a share that suits another deployment,
    // callers would wait for each token while engines that prefill idle.
    let mut planner = settled();
    let fleet = fleet();
    let crowded = steps_after(&mut planner, &fleet, streams(0.2));
    assert!(stages(&crowded).is_empty(), "{crowded:?}");
    // Elsewhere the same engines are hardly used by the streams: one is enough.
    let mut planner = settled();
    let idle = steps_after(&mut planner, &fleet, streams(0.95));
    assert!(stages(&idle).len() >= 4, "{idle:?}");
    let to_prefill = |(_, stage): &(String, EngineStage)| *stage == EngineStage::Prefill;
    assert!(stages(&idle).iter().all(to_prefill));
}

#[test]
fn a_swing_of_the_mix_moves_no_engine() {
    // The mix swings between long prompts and long answers every three seconds. Each
    // change of stage takes an engine away for as long; one that followed the swing
    // would always be ready for what has just passed.
    let mut planner = settled();
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
fn few_engines_are_away_at_a_time() {
    // A change of stage takes an engine away for seconds. If all that have to change
    // did so together, nobody would run the requests meanwhile.
    let mut planner = settled();
    let wrong: Vec<EndpointRegistration> = fleet()
        .into_iter()
        .map(|mut entry| {
            entry.stage = Some(EngineStage::Prefill);
            entry
        })
        .collect();
    let first = steps(&mut planner, 2_000, &wrong);
    let is_stage = |step: &&ProvisionStep| matches!(step, ProvisionStep::Stage { .. });
    let given: Vec<&ProvisionStep> = first.iter().filter(is_stage).collect();
    assert!(given.len() <= 5, "{given:?}");
    for step in given {
        planner.note_ordered(at(2_000), step);
    }
    let next = steps(&mut planner, 2_300, &wrong);
    assert!(first.iter().filter(is_stage).count() + next.iter().filter(is_stage).count() <= 6);
}
