//! Changes that controllers plan while callers' streams run.

use std::collections::BTreeMap;

use bluebell_core::{
    clock::{ClockSource, ClockTime, TimeSpan},
    ids::{EndpointId, FailureDomain, RequestId},
};
use bluebell_load::caller::ChatAsk;
use bluebell_testkit::{
    callers::{first_answer, record_all},
    control,
    fleet::{CHAT_SERVICE, FleetShape, TestFleet},
    histories::{callers::whole_answers, orders::one_fleet_holder},
};
use standin_engine::history::{AttemptEnd, EngineEvent};
use standin_platform::history::{EndpointOrder, OrderSeen, PlatformHistory};

const KEY: &str = "key-of-acme";

/// Engines that could do a hundred times the work: all but one are given up, each
/// as soon as it is empty.
const CONTROLLER_SETTINGS: &str = r#"
[lease]
duration = "2s"
margin = "500ms"
renew_after = "500ms"
stagger = "200ms"
[orders]
timeout = "400ms"
interval = "50ms"
[roles]
enabled = false
[roles.rates]
prefill = 1000000
decode = 1000000
[fleet]
every = "100ms"
[fleet.planner]
least_life = "0ms"
"#;

/// How far the clocks of two processes of one machine may lie apart.
const CLOCK_TOLERANCE: TimeSpan = TimeSpan::from_millis(5);

fn asks(fleet: &TestFleet, tokens: u64) -> Vec<ChatAsk> {
    let ask = |number: usize| {
        let entry = &fleet.entries[number % fleet.entries.len()];
        let content = format!("question {number} len={tokens}");
        ChatAsk::new(entry.process.http(), KEY, CHAT_SERVICE, &content)
    };
    (0..12).map(ask).collect()
}

/// When each endpoint's stop took effect.
fn stops(orders: &[OrderSeen]) -> BTreeMap<EndpointId, ClockTime> {
    let stop = |seen: &OrderSeen| match &seen.order {
        EndpointOrder::Stop(stop) if seen.effect => Some((stop.endpoint.clone(), seen.at)),
        _ => None,
    };
    orders.iter().filter_map(stop).collect()
}

/// The attempts that did not end whole at an engine: nobody walks away here, so it
/// was stopped under them. That their callers were served elsewhere is no excuse.
fn cut_at(events: &[EngineEvent]) -> Vec<RequestId> {
    let cut = |event: &EngineEvent| match event {
        EngineEvent::Ended { request, end, .. } if *end != AttemptEnd::Whole => {
            Some(request.clone())
        }
        _ => None,
    };
    events.iter().filter_map(cut).collect()
}

/// How many attempts came after the engine was stopped.
fn accepted_after(events: &[EngineEvent], stopped: ClockTime) -> usize {
    let late = |event: &&EngineEvent| match event {
        EngineEvent::Accepted { at, .. } => *at > stopped + CLOCK_TOLERANCE,
        _ => false,
    };
    events.iter().filter(late).count()
}

/// Fewer callers come at night, and the fleet gives engines up one after the other
/// while some callers are still being answered. None of them may notice.
#[tokio::test]
async fn engines_that_are_given_up_have_finished_their_answers() -> anyhow::Result<()> {
    let mut shape = FleetShape::new();
    shape.entries = 2;
    shape.engines = 3;
    shape.engine_settings = "[costs]\nspeed = 2".to_string();
    shape.controller_settings = CONTROLLER_SETTINGS.to_string();
    let mut fleet = TestFleet::start(shape).await?;
    fleet.add_organisation("acme", KEY).await?;
    fleet.entries_ready().await?;
    for ask in asks(&fleet, 2).iter().take(2) {
        first_answer(ask).await?;
    }
    let clock = ClockSource::new();
    let long = record_all(&clock, asks(&fleet, 900));
    // Controllers come only now: engines without work would be given up at once.
    let domain = FailureDomain::new("zone-a")?;
    for name in ["controller-1", "controller-2"] {
        fleet.start_controller(name, &domain).await?;
    }
    let mut records = Vec::new();
    let mut stopped = BTreeMap::new();
    while stopped.len() < 2 {
        records.extend(record_all(&clock, asks(&fleet, 40)).await?);
        let seen: PlatformHistory = control::history(fleet.platform.http()).await?;
        stopped = stops(&seen.orders);
        anyhow::ensure!(records.len() < 20_000, "engines are not given up");
    }
    records.extend(long.await?);
    assert_eq!(whole_answers(&records), []);
    let seen: PlatformHistory = control::history(fleet.platform.http()).await?;
    assert_eq!(one_fleet_holder(&seen.orders), []);
    for engine in &fleet.engines {
        let endpoint = EndpointId::new(engine.name.clone())?;
        let events: Vec<EngineEvent> = control::history(engine.process.http()).await?;
        assert_eq!(cut_at(&events), [], "`{endpoint}`");
        if let Some(stopped) = stopped.get(&endpoint) {
            assert_eq!(accepted_after(&events, *stopped), 0, "`{endpoint}`");
        }
    }
    Ok(())
}
