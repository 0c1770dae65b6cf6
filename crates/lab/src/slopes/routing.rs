//! The router: time per choice by endpoints, and what a peer's word costs.

use bluebell_core::{
    clock::ClockTime,
    config::WorkPriority,
    ids::{EndpointId, FailureDomain, InstanceId, ModelName, RequestId},
    records::{CapacityKind, EngineRole},
    routing::{
        EndpointEntry, PeerOutstanding, RequestRouter, RouteOutcome, RoutePool, RouteRequest,
        RoutingSettings,
    },
    units::TokenCount,
};

use crate::{slopes::measure::micros_each, tables::TextTable};

/// Choices in a measurement.
const CHOICES: u64 = 2_000;
/// Peers whose word an entry of the two-year size hears of one endpoint.
const PEERS: u64 = 40;

fn pool(number: u64) -> RoutePool {
    RoutePool::Model(ModelName::new(format!("model-{number}")).expect("an identifier"))
}

fn router(endpoints: u64, models: u64) -> RequestRouter {
    let domain = |number: u64| FailureDomain::new(format!("domain-{number}")).expect("valid");
    let mut router = RequestRouter::new(RoutingSettings::default(), domain(0)).with_seed(1);
    for number in 0..endpoints {
        let entry = EndpointEntry {
            endpoint: EndpointId::new(format!("engine-{number}")).expect("an identifier"),
            pool: pool(number % models),
            failure_domain: domain(number % 7),
            capacity: CapacityKind::Reserved,
            role: EngineRole::Mixed,
            ready: true,
            leaving: false,
        };
        router.set_endpoint(ClockTime::default(), entry);
    }
    router
}

fn ask(number: u64, models: u64) -> RouteRequest {
    RouteRequest {
        request: RequestId::new(format!("r{number}")).expect("an identifier"),
        pool: pool(number % models),
        prefix: Some(number % 997),
        prompt_tokens: TokenCount::new(900),
        priority: WorkPriority::Interactive,
        repeatable: true,
        preemptible: true,
        excluded: Vec::new(),
    }
}

fn choices(router: &mut RequestRouter, models: u64) -> f64 {
    micros_each(CHOICES, || {
        for number in 0..CHOICES {
            let now = ClockTime::from_millis(number);
            let ask = ask(number, models);
            let _ = router.choose(now, &ask);
            router.note_first_token(now, &ask.request);
            router.finish(now, &ask.request, RouteOutcome::Answered);
        }
    })
}

fn peers_word(router: &mut RequestRouter, endpoints: u64) -> f64 {
    micros_each(PEERS, || {
        for peer in 0..PEERS {
            let instance = InstanceId::new(format!("peer-{peer}")).expect("an identifier");
            let word: Vec<PeerOutstanding> = (0..endpoints.min(64))
                .map(|number| PeerOutstanding {
                    endpoint: EndpointId::new(format!("engine-{number}")).expect("valid"),
                    requests: 2,
                    prefill_tokens: TokenCount::new(100),
                })
                .collect();
            router.note_peer(ClockTime::from_millis(1), &instance, &word);
        }
    })
}

/// Prints the table.
pub fn table() -> String {
    let mut table = TextTable::new(
        "Router: a choice with its end",
        "`bluebell-lab capacity --only routing`. Between both columns, forty peers tell what they \
         have outstanding at up to 64 endpoints each.",
        &[
            "endpoints",
            "models",
            "µs per choice, no peers",
            "µs per peer's word",
            "µs per choice, forty peers",
        ],
    );
    for (endpoints, models) in [(10, 1), (30, 1), (100, 1), (670, 1), (670, 21)] {
        let mut router = router(endpoints, models);
        let alone = choices(&mut router, models);
        let word = peers_word(&mut router, endpoints);
        let told = choices(&mut router, models);
        table.row(&[
            endpoints.to_string(),
            models.to_string(),
            format!("{alone:.1}"),
            format!("{word:.1}"),
            format!("{told:.1}"),
        ]);
    }
    table.finish()
}
