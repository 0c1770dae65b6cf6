//! The size of the fleet and its share of preemptible endpoints.

use std::collections::BTreeMap;

use bluebell_core::{
    clock::ClockTime,
    fleet::{
        EndpointStage, FleetEndpoint, FleetInputs, FleetPlanner, FleetSettings, PlannedChange,
        ServiceNeed, WorkDemand, cheapest_size, has_capacity, survives_reclaim,
    },
    ids::{EndpointId, FailureDomain, ServiceName},
    records::CapacityKind,
    units::WorkCost,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const DOMAINS: [&str; 3] = ["tpe-a", "tpe-b", "tyn-c"];

fn at(secs: u64) -> ClockTime {
    ClockTime::from_millis(secs * 1_000)
}

fn domain(name: &str) -> FailureDomain {
    FailureDomain::new(name).expect("valid")
}

fn demand(reserved_only: u64, interactive: u64, deferrable: u64) -> WorkDemand {
    WorkDemand {
        reserved_only: WorkCost::new(reserved_only),
        interactive: WorkCost::new(interactive),
        deferrable: WorkCost::new(deferrable),
    }
}

fn inputs(now: WorkDemand, recent_peak: WorkDemand) -> FleetInputs {
    FleetInputs {
        failure_domains: DOMAINS.iter().map(|name| domain(name)).collect(),
        needs: vec![ServiceNeed {
            service: ServiceName::new("chat").expect("valid"),
            now,
            recent_peak,
        }],
        endpoints: Vec::new(),
        preemptible_lost: BTreeMap::new(),
    }
}

fn endpoint(number: usize, place: &str, capacity: CapacityKind) -> FleetEndpoint {
    FleetEndpoint {
        endpoint: EndpointId::new(format!("e{number}")).expect("valid"),
        service: ServiceName::new("chat").expect("valid"),
        failure_domain: domain(place),
        capacity,
        stage: EndpointStage::Ready,
        since: at(0),
    }
}

/// Applies plans until the planner orders no more changes; every start succeeds.
fn apply_plans(planner: &FleetPlanner, now: ClockTime, inputs: &mut FleetInputs) {
    for _ in 0..200 {
        let changes = planner.plan(now, inputs);
        if changes.is_empty() {
            return;
        }
        for change in changes {
            apply(inputs, change);
        }
    }
    panic!("the planner still orders changes after 200 rounds");
}

fn apply(inputs: &mut FleetInputs, change: PlannedChange) {
    match change {
        PlannedChange::Start {
            failure_domain,
            capacity,
            ..
        } => {
            let number = inputs.endpoints.len() + 100;
            let started = endpoint(number, failure_domain.as_str(), capacity);
            inputs.endpoints.push(started);
        }
        PlannedChange::Stop { endpoint, .. } => {
            inputs.endpoints.retain(|known| known.endpoint != endpoint);
        }
    }
}

fn count(inputs: &FleetInputs, capacity: CapacityKind) -> usize {
    let of_kind = |e: &&FleetEndpoint| e.capacity == capacity;
    inputs.endpoints.iter().filter(of_kind).count()
}

/// The platform reclaims all preemptible endpoints of a failure domain within seconds. If
/// too much work ran there, callers of all failure domains wait until new endpoints have
/// fetched their weights.
#[test]
fn the_endpoints_left_after_a_reclaim_have_capacity_for_work_that_cannot_wait() {
    let settings = FleetSettings::default();
    let mut random = ChaCha8Rng::seed_from_u64(11);
    for _ in 0..300 {
        let demand = demand(
            random.random_range(0..6_000),
            random.random_range(0..12_000),
            random.random_range(0..8_000),
        );
        let domains = random.random_range(1..=4);
        let size = cheapest_size(demand, 3, domains, &settings);
        assert!(has_capacity(size, demand, &settings), "{demand:?} {size}");
        assert!(
            survives_reclaim(size, demand, domains, &settings),
            "{demand:?} {size}"
        );
        assert!(size.reserved.count() >= 3, "{size}");
        let all_reserved = cheapest_size(demand, 3, 0, &settings);
        assert!(size.cost(&settings) <= all_reserved.cost(&settings));
    }
}

#[test]
fn work_that_may_run_only_once_is_assigned_to_reserved_endpoints() {
    let settings = FleetSettings::default();
    let size = cheapest_size(demand(7_000, 0, 0), 3, 3, &settings);
    assert_eq!((size.reserved.count(), size.preemptible.count()), (10, 0));
    let size = cheapest_size(demand(0, 2_000, 5_000), 3, 3, &settings);
    assert!(size.preemptible > size.reserved, "{size}");
}

#[test]
fn endpoints_are_spread_evenly_and_starts_are_limited() {
    let planner = FleetPlanner::new(FleetSettings::default());
    let need = demand(1_000, 4_000, 2_000);
    let mut inputs = inputs(need, need);
    let first = planner.plan(at(0), &inputs);
    assert_eq!(first.len(), 3, "{first:?}");
    apply_plans(&planner, at(0), &mut inputs);
    for capacity in [CapacityKind::Reserved, CapacityKind::Preemptible] {
        let counts: Vec<usize> = DOMAINS
            .iter()
            .map(|name| {
                let here = |e: &&FleetEndpoint| {
                    e.capacity == capacity && e.failure_domain.as_str() == *name
                };
                inputs.endpoints.iter().filter(here).count()
            })
            .collect();
        let (largest, smallest) = (counts.iter().max(), counts.iter().min());
        assert!(
            largest <= smallest.map(|smallest| smallest + 1).as_ref(),
            "{counts:?}"
        );
    }
}

#[test]
fn no_endpoint_is_started_while_the_maximum_number_is_starting() {
    let planner = FleetPlanner::new(FleetSettings::default());
    let need = demand(0, 6_000, 0);
    let mut inputs = inputs(need, need);
    for number in 0..3 {
        let mut starting = endpoint(number, "tpe-a", CapacityKind::Reserved);
        starting.stage = EndpointStage::Starting;
        inputs.endpoints.push(starting);
    }
    assert!(planner.plan(at(0), &inputs).is_empty());
}

/// Demand falls for some minutes and then rises again. A fleet that shrank at once would
/// be too small then, and callers would have to wait for endpoints to start.
#[test]
fn a_lull_stops_nothing_and_a_lasting_fall_stops_one_at_a_time() {
    let planner = FleetPlanner::new(FleetSettings::default());
    let (high, low) = (demand(500, 6_000, 2_000), demand(500, 2_000, 500));
    let mut inputs = inputs(high, high);
    apply_plans(&planner, at(0), &mut inputs);
    let before = inputs.endpoints.len();
    inputs.needs[0].now = low;
    assert!(planner.plan(at(1_000), &inputs).is_empty());
    inputs.needs[0].recent_peak = low;
    let stops = planner.plan(at(1_000), &inputs);
    assert!(
        matches!(stops.as_slice(), [PlannedChange::Stop { .. }]),
        "{stops:?}"
    );
    apply_plans(&planner, at(1_000), &mut inputs);
    assert!(inputs.endpoints.len() < before);
    assert!(planner.plan(at(100), &inputs).is_empty());
}

/// Preemptible endpoints are unavailable in all failure domains. Waiting for them would
/// leave callers without endpoints during that time.
#[test]
fn reserved_endpoints_replace_unavailable_preemptible_ones() {
    let planner = FleetPlanner::new(FleetSettings::default());
    let need = demand(500, 3_000, 4_000);
    let mut inputs = inputs(need, need);
    for name in DOMAINS {
        inputs.preemptible_lost.insert(domain(name), at(100));
    }
    apply_plans(&planner, at(101), &mut inputs);
    assert_eq!(count(&inputs, CapacityKind::Preemptible), 0);
    let reserved = count(&inputs, CapacityKind::Reserved);
    apply_plans(&planner, at(1_000), &mut inputs);
    assert!(count(&inputs, CapacityKind::Preemptible) > 0);
    assert!(count(&inputs, CapacityKind::Reserved) < reserved);
}
