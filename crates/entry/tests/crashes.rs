//! Requests that crash their engines, and endpoints that leave by plan.

mod support;

use bluebell_core::{
    clock::TimeSpan,
    ids::{EndpointId, LogOffset},
    records::{
        DrainMarkRecord, DutyName, LeaseAction, LeaseRecord, LogRecord, MarkState, QuarantineRecord,
    },
};
use bluebell_platform::api::{EndpointKind, EndpointListing, EndpointState};
use serde_json::Value;
use support::{
    TestBed,
    endpoint::{FakeEndpoint, Step, whole_answer},
    eventually, listing, settings, start_entry, wait_ready, wait_routed,
};

/// An engine that a prompt with "killer" crashes at once.
async fn engine() -> FakeEndpoint {
    engine_with_killer(&[Step::Crash]).await
}

/// An engine that does `killer` with a prompt with "killer", and that keeps one
/// with "held" waiting after two tokens.
async fn engine_with_killer(killer: &[Step]) -> FakeEndpoint {
    let killer = killer.to_vec();
    FakeEndpoint::start(move |seen| {
        let work = seen.generate();
        if work.prompt.contains("killer") {
            return killer.clone();
        }
        let mut steps = whole_answer(&work, 4);
        let held = work.prompt.contains("held") && work.delivered.is_empty();
        if held {
            steps.insert(3, Step::Gate);
        }
        steps
    })
    .await
}

fn listings(engines: &[FakeEndpoint]) -> Vec<EndpointListing> {
    let number = |(number, engine): (usize, &FakeEndpoint)| {
        let address = engine.address.to_string();
        listing(&format!("engine-{number}"), EndpointKind::Engine, &address)
    };
    engines.iter().enumerate().map(number).collect()
}

fn lost(engines: &[FakeEndpoint]) -> usize {
    engines.iter().filter(|engine| engine.is_gone()).count()
}

fn crashes(bed: &TestBed) -> Vec<QuarantineRecord> {
    let crash = |record| match record {
        LogRecord::Quarantine(record) => Some(record),
        _ => None,
    };
    bed.platform
        .records()
        .into_iter()
        .filter_map(crash)
        .collect()
}

async fn code(answer: reqwest::Response) -> String {
    let body: Value = answer.json().await.unwrap();
    body["error"]["code"].as_str().unwrap().to_string()
}

/// One kiosk's request crashes every engine that runs it, and the kiosk sends it
/// again, also through another entry. Without a memory of it the fleet is lost
/// engine by engine. A shopper whose answer ran on the first one gets the rest.
#[tokio::test]
async fn a_killer_costs_two_engines_and_bystanders_are_served() {
    let bed = TestBed::start().await;
    let mut engines = vec![engine_with_killer(&[Step::Silence]).await];
    bed.list(listings(&engines)).await;
    let bystander = bed.chat(false, "held").send().await.unwrap();
    eventually(async || engines[0].seen("/generate").len() == 1).await;
    let killer = tokio::spawn(bed.chat(false, "killer").send());
    eventually(async || engines[0].seen("/generate").len() == 2).await;
    for _ in 0..4 {
        engines.push(engine().await);
    }
    bed.list(listings(&engines)).await;
    engines[0].crash();
    let first = killer.await.unwrap().unwrap();
    assert_eq!(code(first).await, "request_quarantined");
    assert_eq!(lost(&engines), 2);
    let bystander: Value = bystander.json().await.unwrap();
    assert_eq!(
        bystander["choices"][0]["message"]["content"],
        "t0 t1 t2 t3 "
    );

    let second = start_entry(settings(&bed.platform, "entry-2")).await;
    wait_ready(&bed.http, &second).await;
    wait_routed(&bed.http, &second, &listings(&engines)).await;
    for entry in [&bed.entry, &second, &bed.entry, &second] {
        let again = support::chat_to(&bed.http, entry, true, "killer");
        let again = again.send().await.unwrap();
        assert_eq!(again.status(), 409);
        assert_eq!(code(again).await, "request_quarantined");
    }
    assert_eq!(lost(&engines), 2);
    eventually(async || crashes(&bed).iter().any(|record| record.cleared)).await;
    let served = bed.chat(false, "held").send().await.unwrap();
    assert_eq!(served.status(), 200, "the bystander is no suspect any more");
}

/// The platform takes an engine back while an answer runs there. That is no crash,
/// and must not count against whoever ran there.
#[tokio::test]
async fn an_endpoint_that_leaves_by_plan_makes_no_suspects() {
    let bed = TestBed::start().await;
    let mut engines = vec![engine().await];
    bed.list(listings(&engines)).await;
    let answer = bed.chat(false, "held").send().await.unwrap();
    eventually(async || engines[0].seen("/generate").len() == 1).await;
    engines.push(engine().await);
    let mut listed = listings(&engines);
    listed[0].state = EndpointState::Reclaimed {
        remaining: TimeSpan::from_secs(2),
    };
    bed.list(listed).await;
    bed.wait_dump(|dump| {
        let first = &dump["endpoints"][0]["listing"]["state"]["state"];
        first == "reclaimed"
    })
    .await;
    engines[0].crash();
    let answer: Value = answer.json().await.unwrap();
    assert_eq!(answer["choices"][0]["message"]["content"], "t0 t1 t2 t3 ");
    assert!(crashes(&bed).is_empty());
}

fn mark(endpoint: &str, fence: LogOffset) -> LogRecord {
    LogRecord::Mark(DrainMarkRecord {
        endpoint: EndpointId::new(endpoint).unwrap(),
        state: MarkState::Leaving,
        duty: DutyName::Fleet,
        fence,
    })
}

/// An engine is marked as leaving before its role changes. New work must go
/// elsewhere at once, and what runs there must run on.
#[tokio::test]
async fn a_marked_endpoint_gets_no_new_work_and_keeps_the_old() {
    let bed = TestBed::start().await;
    let mut engines = vec![engine().await];
    bed.list(listings(&engines)).await;
    let running = bed.chat(false, "held").send().await.unwrap();
    eventually(async || engines[0].seen("/generate").len() == 1).await;
    engines.push(engine().await);
    bed.list(listings(&engines)).await;
    let fence = LogOffset::new(bed.platform.records().len() as u64);
    bed.platform.publish(&LogRecord::Lease(LeaseRecord {
        duty: DutyName::Fleet,
        holder: "controller-1".parse().unwrap(),
        action: LeaseAction::Claim,
        duration: TimeSpan::from_secs(60),
        supersedes: None,
    }));
    bed.platform.publish(&mark("engine-0", fence));
    bed.wait_dump(|dump| {
        !dump["view"]["marks"]["marks"]
            .as_object()
            .unwrap()
            .is_empty()
    })
    .await;
    bed.wait_dump(|dump| {
        let routes = dump["routes"].as_array().unwrap();
        routes.iter().filter(|route| route["open"] == false).count() == 1
    })
    .await;
    for number in 0..20 {
        let answer = bed
            .chat(false, &format!("prompt {number}"))
            .send()
            .await
            .unwrap();
        assert_eq!(answer.status(), 200);
    }
    assert_eq!(engines[0].seen("/generate").len(), 1);
    engines[0].gate.add_permits(1);
    let running: Value = running.json().await.unwrap();
    assert_eq!(running["choices"][0]["message"]["content"], "t0 t1 t2 t3 ");
    assert!(engines[0].cancelled().is_empty());
}

/// Work whose deadline can't be met, or one request too many of an organisation,
/// is refused at once, so that the caller can do something else.
#[tokio::test]
async fn what_cannot_be_served_in_time_is_refused_at_once() {
    let bed = TestBed::with_settings(|settings| {
        settings.traffic.engine_slots = 1;
        settings.traffic.admission.interactive_reserve = 0;
    })
    .await;
    let engines = vec![engine().await];
    bed.list(listings(&engines)).await;
    let hopeless = bed.chat(false, "x").header("x-deadline-ms", "20");
    let hopeless = hopeless.send().await.unwrap();
    assert_eq!(hopeless.status(), 503);
    assert!(hopeless.headers().contains_key("retry-after"));
    assert_eq!(code(hopeless).await, "overloaded");
    let mut running = Vec::new();
    for number in 0..50 {
        let held = bed.chat(true, &format!("held {number}"));
        let held = held.header("x-deadline-ms", "3600000");
        running.push(tokio::spawn(held.send()));
    }
    bed.wait_metric("bluebell_requests_in_progress 50").await;
    let one_more = bed.chat(true, "held").send().await.unwrap();
    assert_eq!(one_more.status(), 429);
    assert_eq!(code(one_more).await, "organisation_busy");
}

/// A shopper leaves while the request still waits for its turn. It must not be run
/// for nobody, nor keep its place.
#[tokio::test]
async fn a_caller_who_leaves_the_queue_is_not_served() {
    let bed = TestBed::with_settings(|settings| {
        settings.traffic.engine_slots = 1;
        settings.traffic.admission.interactive_reserve = 0;
    })
    .await;
    let engines = vec![engine().await];
    bed.list(listings(&engines)).await;
    let running = bed.chat(true, "held").header("x-deadline-ms", "3600000");
    let running = running.send().await.unwrap();
    for stream in [true, false] {
        let queued = bed
            .chat(stream, "held too")
            .header("x-deadline-ms", "3600000");
        let queued = queued.send().await.unwrap();
        bed.wait_metric("bluebell_requests_in_progress 2").await;
        drop(queued);
        bed.wait_metric("bluebell_requests_in_progress 1").await;
    }
    engines[0].gate.add_permits(1);
    assert!(running.text().await.unwrap().contains("[DONE]"));
    let next = bed.chat(false, "next").send().await.unwrap();
    assert_eq!(next.status(), 200);
    assert_eq!(engines[0].seen("/generate").len(), 2);
}
