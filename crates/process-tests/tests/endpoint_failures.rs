//! Capacity that is taken back.

use bluebell_core::clock::ClockSource;
use bluebell_load::caller::{ChatAsk, ChatEnd};
use bluebell_testkit::{
    callers::{first_answer, record_all},
    control,
    fleet::{CHAT_SERVICE, FleetShape, TestFleet},
    histories::{
        callers::{CallerRecord, true_refusals, whole_answers},
        endpoints::accepted_requests,
    },
    wait,
};
use serde_json::json;
use standin_engine::history::EngineEvent;

const KEY: &str = "key-of-acme";

async fn serving_fleet(shape: FleetShape) -> anyhow::Result<TestFleet> {
    let mut fleet = TestFleet::start(shape).await?;
    fleet.add_organisation("acme", KEY).await?;
    fleet.entries_ready().await?;
    for number in 0..fleet.entries.len() {
        first_answer(&ask(&fleet, number, "warm up len=2")).await?;
    }
    Ok(fleet)
}

fn ask(fleet: &TestFleet, entry: usize, content: &str) -> ChatAsk {
    let address = fleet.entries[entry].process.http();
    ChatAsk::new(address, KEY, CHAT_SERVICE, content)
}

/// The events of all engines, once all of them answer again.
async fn all_events(fleet: &TestFleet) -> anyhow::Result<Vec<EngineEvent>> {
    let mut all = Vec::new();
    for engine in &fleet.engines {
        let events = wait::until("the engine answers", || async {
            let events = control::history(engine.process.http()).await;
            events.ok().map(|events: Vec<EngineEvent>| events)
        });
        all.extend(events.await?);
    }
    Ok(all)
}

/// The ends of answers that did not come whole.
fn broken_ends(records: &[CallerRecord]) -> Vec<&ChatEnd> {
    let ends = records.iter().map(|record| &record.answer.end);
    ends.filter(|end| !matches!(end, ChatEnd::Whole { .. }))
        .collect()
}

/// The platform takes back a failure domain's cheaper engines on half a second's
/// notice, while answers come from them. Nobody at a screen may notice.
#[tokio::test]
async fn a_reclaim_of_cheap_engines_costs_no_answer() -> anyhow::Result<()> {
    let mut shape = FleetShape::new().with_domains(&["zone-a", "zone-b"]);
    shape.engines = 3;
    shape.preemptible_engines = 2;
    let fleet = serving_fleet(shape).await?;
    let asks = (0..16).map(|number| {
        let content = format!("story {number} len=600");
        ask(&fleet, number % 2, &content)
    });
    let running = record_all(&ClockSource::new(), asks.collect());
    wait::until("all answers are on their way", || async {
        let events = all_events(&fleet).await.ok()?;
        (accepted_requests(&events).len() >= 18).then_some(())
    })
    .await?;
    let reclaim = json!({"failure_domain": "zone-a", "notice": "100ms"});
    control::post(fleet.platform.http(), "/control/reclaim", &reclaim).await?;
    let records = running.await?;
    assert_eq!(whole_answers(&records), []);
    assert_eq!(broken_ends(&records), [] as [&ChatEnd; 0]);
    let executed = accepted_requests(&all_events(&fleet).await?);
    assert_eq!(true_refusals(&records, &executed), []);
    Ok(())
}
