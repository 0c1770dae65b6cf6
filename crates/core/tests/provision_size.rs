//! The number of engines where a fleet has more of them than its demand can use.

use std::collections::BTreeMap;

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    directory::{EndpointRegistration, EngineStage, SoftwareVersion},
    ids::{EndpointId, FailureDomain, ServiceName},
    ingress::{EngineRule, ScalingRule},
    provision::{EngineDemand, ProvisionPlanner, ProvisionService, ProvisionStep},
    units::{ByteSize, TokenCount},
};

const DOMAINS: [&str; 5] = ["a", "b", "c", "d", "e"];

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn service() -> ServiceName {
    ServiceName::new("chat").unwrap()
}

/// `per_domain` engines in each failure domain, of which a third prefills.
fn fleet(per_domain: usize) -> Vec<EndpointRegistration> {
    let names = DOMAINS.iter().flat_map(|domain| {
        let indices = 0..per_domain;
        indices.map(move |index| (*domain, index))
    });
    let engines = names.map(|(domain, index)| EndpointRegistration {
        id: EndpointId::new(format!("{domain}{index:04}").as_str()).unwrap(),
        start: 1,
        service: service(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: FailureDomain::new(domain).unwrap(),
        version: SoftwareVersion::new("v1"),
        slots: 24,
        is_leaving: false,
        leaves_in: None,
        is_preemptible: false,
        stage: Some(match index % 3 {
            0 => EngineStage::Prefill,
            _ => EngineStage::Decode,
        }),
        warming: TimeSpan::ZERO,
        sequence: 1,
    });
    engines.collect()
}

fn steps(
    planner: &mut ProvisionPlanner,
    now: u64,
    fleet: &[EndpointRegistration],
    demand: EngineDemand,
) -> Vec<ProvisionStep> {
    let scaling = ScalingRule {
        min_endpoints: 1,
        max_endpoints: 5_000,
        startup_time: TimeSpan::from_millis(4_000),
        preemptible_price: Some(0.18),
        domain_prices: BTreeMap::new(),
    };
    let engine = EngineRule {
        slots: 24,
        memory: TokenCount::new(400_000),
        token_bytes: ByteSize::new(18_432),
        link_bytes_per_ms: 68_750_000,
        handle_lifetime: TimeSpan::from_secs(5),
        stage_switch: TimeSpan::from_secs(3),
        has_backups: false,
    };
    let name = service();
    let provisioned = ProvisionService {
        name: &name,
        scaling: Some(&scaling),
        engine: Some(&engine),
        demand,
        entries: fleet.len() / 3,
        limited: &[],
    };
    planner.steps(at(now), provisioned, fleet.iter())
}

/// A demand that keeps 20 engines busy with prefills, and some streams that run well.
fn demand() -> EngineDemand {
    EngineDemand {
        prefill: 20.0,
        held: 2.0,
        running: 30.0,
        speed: Some(0.95),
    }
}

/// The newest reserved count that was ordered in each failure domain, the number of
/// preemptible engines ordered, and that of stage orders, within 60 s.
fn orders(
    planner: &mut ProvisionPlanner,
    fleet: &[EndpointRegistration],
    demand: EngineDemand,
) -> (BTreeMap<String, u32>, u32, usize) {
    let mut reserved = BTreeMap::new();
    let mut preemptible = BTreeMap::new();
    let mut stages = 0;
    for now in (0..60_000).step_by(250) {
        for step in steps(planner, now, fleet, demand) {
            planner.note_ordered(at(now), &step);
            match &step {
                ProvisionStep::Stage { .. } => stages += 1,
                ProvisionStep::Count {
                    domain,
                    preemptible: true,
                    count,
                    ..
                } => {
                    let ordered = preemptible.entry(domain.to_string()).or_insert(0);
                    *ordered = (*ordered).max(*count);
                }
                ProvisionStep::Count { domain, count, .. } => {
                    reserved.insert(domain.to_string(), *count);
                }
            }
        }
    }
    (reserved, preemptible.values().sum(), stages)
}

/// All reserved engines are in service already, as if the ordered ones had replaced them.
fn fleet_with_preemptible(per_domain: usize, preemptible: usize) -> Vec<EndpointRegistration> {
    let mut engines = fleet(per_domain);
    for mut engine in fleet(preemptible) {
        engine.id = EndpointId::new(format!("p{}", engine.id).as_str()).unwrap();
        engine.is_preemptible = true;
        engine.stage = Some(EngineStage::Prefill);
        engines.push(engine);
    }
    engines
}

/// Guards against a cost that follows the number of engines there are rather than the
/// demand on them.
#[test]
fn the_number_of_engines_follows_the_demand_at_any_size() {
    let reserved = |per_domain| {
        let fleet = fleet_with_preemptible(per_domain, 64);
        let mut planner = ProvisionPlanner::new();
        orders(&mut planner, &fleet, demand()).0
    };
    let (small, large) = (reserved(300), reserved(600));
    assert_eq!(small.len(), DOMAINS.len());
    assert_eq!(small, large);
    let total: u32 = small.values().sum();
    let needed = demand().prefill + demand().held;
    assert!(f64::from(total) > 2.0 * needed, "{total} engines are left");
    assert!(total < 300, "{total} engines are left");
}

/// Guards against a fleet that keeps all its engines because those that would replace them
/// have no work that they have to change their stage for.
#[test]
fn engines_are_reduced_although_preemptible_ones_keep_their_stage() {
    let mut fleet = fleet_with_preemptible(300, 64);
    for engine in fleet.iter_mut().filter(|engine| engine.is_preemptible) {
        engine.stage = Some(EngineStage::Decode);
    }
    let mut planner = ProvisionPlanner::new();
    let (reserved, _, _) = orders(&mut planner, &fleet, demand());
    assert_eq!(reserved.len(), DOMAINS.len());
}

/// Guards against taking engines away from a fleet that its demand keeps busy.
#[test]
fn a_fleet_without_spare_engines_keeps_them() {
    let fleet = fleet(24);
    let busy = EngineDemand {
        prefill: 40.0,
        ..demand()
    };
    let mut planner = ProvisionPlanner::new();
    let (reserved, _, _) = orders(&mut planner, &fleet, busy);
    assert_eq!(reserved, BTreeMap::new());
}

/// Guards against orders for hundreds of engines before the first request arrives.
#[test]
fn orders_without_demand_do_not_grow_with_the_fleet() {
    let orders = |per_domain| {
        let mut planner = ProvisionPlanner::new();
        let (reserved, preemptible, stages) =
            orders(&mut planner, &fleet(per_domain), EngineDemand::default());
        assert_eq!(reserved, BTreeMap::new());
        (preemptible, stages)
    };
    assert_eq!(orders(300), orders(600));
}

/// Guards against a new leader that orders all engines back, as it has not observed the
/// demand yet.
#[test]
fn a_new_leader_keeps_the_number_of_engines() {
    let mut earlier = ProvisionPlanner::new();
    let large = fleet_with_preemptible(300, 64);
    orders(&mut earlier, &large, demand());
    let needed: Vec<(ServiceName, f64)> = earlier
        .needed()
        .map(|(name, engines)| (name.clone(), engines))
        .collect();
    let reduced = fleet_with_preemptible(30, 64);
    let mut next = ProvisionPlanner::new();
    for baseline in earlier.baselines() {
        next.set_baseline(baseline);
    }
    for (name, engines) in needed {
        next.set_needed(name, engines);
    }
    let steps = steps(&mut next, 0, &reduced, EngineDemand::default());
    let most = steps.iter().filter_map(|step| match step {
        ProvisionStep::Count { count, .. } => Some(*count),
        ProvisionStep::Stage { .. } => None,
    });
    assert!(most.max().unwrap_or_default() < 100, "{steps:?}");
}

/// Guards against a reduction that removes engines in all failure domains at the same moment: more
/// registrations change than the instances can tell each other in time.
#[test]
fn engines_are_removed_in_one_failure_domain_at_a_time() {
    let fleet = fleet(600);
    let mut planner = ProvisionPlanner::new();
    let mut reduced_at = Vec::new();
    for now in (0..60_000).step_by(50) {
        for step in steps(&mut planner, now, &fleet, demand()) {
            if let ProvisionStep::Count { count, present, .. } = step
                && count < present
            {
                reduced_at.push(now);
            }
            planner.note_ordered(at(now), &step);
        }
    }
    assert!(reduced_at.len() >= DOMAINS.len(), "{reduced_at:?}");
    let pauses = reduced_at.windows(2).map(|times| times[1] - times[0]);
    let shortest = pauses.min().unwrap();
    assert!(shortest >= 1_500, "{reduced_at:?}");
}
