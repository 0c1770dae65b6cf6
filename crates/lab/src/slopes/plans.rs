//! Plans of the controller: time by endpoints.

use std::collections::BTreeMap;

use bluebell_core::{
    clock::ClockTime,
    fleet::{
        EndpointStage, FleetEndpoint, FleetInputs, FleetPlanner, FleetSettings, ServiceNeed,
        WorkDemand,
    },
    ids::{EndpointId, FailureDomain, ServiceName},
    records::{CapacityKind, EngineRole},
    roles::{EngineRates, RoleEngine, RoleInputs, RolePlanner, RoleSettings, TokenDemand},
    units::{TokenRate, WorkCost},
};

use crate::{slopes::measure::micros_each, tables::TextTable};

/// Plans in a measurement.
const PLANS: u64 = 20;

fn domain(number: u64) -> FailureDomain {
    FailureDomain::new(format!("domain-{}", number % 7)).expect("an identifier")
}

fn fleet_inputs(endpoints: u64, services: u64) -> FleetInputs {
    let service =
        |n: u64| ServiceName::new(format!("service-{}", n % services)).expect("an identifier");
    let each = endpoints * 600 / services;
    let need = |n: u64| {
        let demand = WorkDemand {
            reserved_only: WorkCost::new(each / 10),
            interactive: WorkCost::new(each * 6 / 10),
            deferrable: WorkCost::new(each * 3 / 10),
        };
        ServiceNeed {
            service: service(n),
            now: demand,
            recent_peak: demand,
        }
    };
    let endpoint = |n: u64| FleetEndpoint {
        endpoint: EndpointId::new(format!("engine-{n}")).expect("an identifier"),
        service: service(n),
        failure_domain: domain(n),
        capacity: match n % 2 {
            0 => CapacityKind::Reserved,
            _ => CapacityKind::Preemptible,
        },
        stage: EndpointStage::Ready,
        since: ClockTime::default(),
    };
    FleetInputs {
        failure_domains: (0..7).map(domain).collect(),
        needs: (0..services).map(need).collect(),
        endpoints: (0..endpoints).map(endpoint).collect(),
        preemptible_lost: BTreeMap::new(),
    }
}

fn role_inputs(engines: u64) -> RoleInputs {
    let engine = |n: u64| RoleEngine {
        endpoint: EndpointId::new(format!("engine-{n}")).expect("an identifier"),
        failure_domain: domain(n),
        role: match n % 3 {
            0 => EngineRole::Prefill,
            _ => EngineRole::Decode,
        },
        serving: true,
        changing: false,
        changed_at: None,
    };
    let demand = TokenDemand {
        prefill: TokenRate::new(engines * 4_000),
        decode: TokenRate::new(engines * 200),
    };
    RoleInputs {
        engines: (0..engines).map(engine).collect(),
        short: demand,
        long: demand,
        rates: EngineRates::default(),
    }
}

/// Prints the table.
pub fn table() -> String {
    let mut table = TextTable::new(
        "Plans: one fleet plan, and one plan of roles for one model",
        "`bluebell-lab capacity --only plans`",
        &[
            "endpoints",
            "services",
            "µs per fleet plan",
            "engines of one model",
            "µs per plan of roles",
        ],
    );
    let now = ClockTime::from_millis(3_600_000);
    for (endpoints, services, engines) in [(15, 2, 12), (100, 5, 32), (670, 21, 32), (670, 1, 670)]
    {
        let inputs = fleet_inputs(endpoints, services);
        let planner = FleetPlanner::new(FleetSettings::default());
        let fleet = micros_each(PLANS, || {
            for _ in 0..PLANS {
                std::hint::black_box(planner.plan(now, &inputs));
            }
        });
        let inputs = role_inputs(engines);
        let planner = RolePlanner::new(RoleSettings::default());
        let roles = micros_each(PLANS, || {
            for _ in 0..PLANS {
                std::hint::black_box(planner.plan(now, &inputs));
            }
        });
        table.row(&[
            endpoints.to_string(),
            services.to_string(),
            format!("{fleet:.0}"),
            engines.to_string(),
            format!("{roles:.0}"),
        ]);
    }
    table.finish()
}
