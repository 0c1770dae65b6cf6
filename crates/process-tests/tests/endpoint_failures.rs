//! Requests that crash engines, and capacity that is taken back.

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

/// One customer's question crashes every engine that runs it, and the kiosk
/// sends it again each time, now here, now there. Left alone, it would take the
/// whole fleet down. Others' requests run beside it all the time; they must get
/// their answers, and must not be taken for the culprit.
#[tokio::test]
async fn a_request_that_crashes_engines_is_stopped_after_two() -> anyhow::Result<()> {
    let mut shape = FleetShape::new();
    shape.entries = 2;
    shape.engines = 4;
    let fleet = serving_fleet(shape).await?;
    let crash = json!({"crash": {"text": "poison", "down_for": "200ms"}});
    for engine in &fleet.engines {
        control::set_faults(engine.process.http(), &crash).await?;
    }
    let bystanders = (0..8).map(|number| {
        let content = format!("bystander {number} len=400");
        ask(&fleet, number % 2, &content)
    });
    let running = record_all(&ClockSource::new(), bystanders.collect());
    for number in 0..6 {
        let asks = vec![ask(&fleet, number % 2, "poison len=5")];
        let records = record_all(&ClockSource::new(), asks).await?;
        let end = &records[0].answer.end;
        assert!(matches!(end, ChatEnd::Refused(_)), "{end:?}");
    }
    let records = running.await?;
    assert_eq!(whole_answers(&records), []);
    assert_eq!(broken_ends(&records), [] as [&ChatEnd; 0]);
    let again = (0..8).map(|number| {
        let content = format!("bystander {number} len=400");
        ask(&fleet, number % 2, &content)
    });
    let records = record_all(&ClockSource::new(), again.collect()).await?;
    assert_eq!(broken_ends(&records), [] as [&ChatEnd; 0], "later");
    let events = all_events(&fleet).await?;
    let crashes = events
        .iter()
        .filter(|e| matches!(e, EngineEvent::Crashed { .. }));
    let crashes = crashes.count();
    assert!(crashes <= 2, "one request crashed {crashes} engines");
    Ok(())
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
