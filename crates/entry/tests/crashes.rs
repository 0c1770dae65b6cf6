//! Requests that crash their engines, planned removals of endpoints, and admission.

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
    endpoint::{FakeEndpoint, Step, complete_answer},
    eventually, listing, settings, start_entry, wait_ready, wait_routed,
};

/// Starts an engine that crashes at once on a prompt that contains "killer".
async fn engine() -> FakeEndpoint {
    engine_with_crash_steps(&[Step::Crash]).await
}

/// Starts an engine that runs `crash_steps` for a prompt that contains "killer" and
/// holds an answer to a prompt with "held" after two tokens.
async fn engine_with_crash_steps(crash_steps: &[Step]) -> FakeEndpoint {
    let crash_steps = crash_steps.to_vec();
    FakeEndpoint::start(move |received| {
        let work = received.generate_request();
        if work.prompt.contains("killer") {
            return crash_steps.clone();
        }
        let mut steps = complete_answer(&work, 4);
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

fn count_exited(engines: &[FakeEndpoint]) -> usize {
    engines.iter().filter(|engine| engine.has_exited()).count()
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

/// A request crashes every engine that runs it, and its caller repeats it, also through
/// another entry. If the crashes were not recorded, all engines would be lost one by one.
/// An unrelated answer in progress on the first engine must still be completed.
#[tokio::test]
async fn a_crashing_request_stops_only_two_engines_and_others_are_served() {
    let bed = TestBed::start().await;
    let mut engines = vec![engine_with_crash_steps(&[Step::Hang]).await];
    bed.list(listings(&engines)).await;
    let unrelated = bed.chat(false, "held").send().await.unwrap();
    eventually(async || engines[0].received("/generate").len() == 1).await;
    let crashing = tokio::spawn(bed.chat(false, "killer").send());
    eventually(async || engines[0].received("/generate").len() == 2).await;
    for _ in 0..4 {
        engines.push(engine().await);
    }
    bed.list(listings(&engines)).await;
    engines[0].crash();
    let first = crashing.await.unwrap().unwrap();
    assert_eq!(code(first).await, "request_quarantined");
    assert_eq!(count_exited(&engines), 2);
    let unrelated: Value = unrelated.json().await.unwrap();
    assert_eq!(
        unrelated["choices"][0]["message"]["content"],
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
    assert_eq!(count_exited(&engines), 2);
    eventually(async || crashes(&bed).iter().any(|record| record.cleared)).await;
    let served = bed.chat(false, "held").send().await.unwrap();
    assert_eq!(
        served.status(),
        200,
        "the unrelated request is no longer a suspect"
    );
}

/// The platform reclaims an engine while an answer runs there. That is no crash, and
/// must not make the requests on it suspects.
#[tokio::test]
async fn a_reclaimed_endpoint_makes_no_suspects() {
    let bed = TestBed::start().await;
    let mut engines = vec![engine().await];
    bed.list(listings(&engines)).await;
    let answer = bed.chat(false, "held").send().await.unwrap();
    eventually(async || engines[0].received("/generate").len() == 1).await;
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

/// An engine is marked for draining before its role changes. New work must be sent to
/// other engines at once, and work in progress must complete.
#[tokio::test]
async fn a_draining_endpoint_receives_no_new_work_and_finishes_the_old() {
    let bed = TestBed::start().await;
    let mut engines = vec![engine().await];
    bed.list(listings(&engines)).await;
    let running = bed.chat(false, "held").send().await.unwrap();
    eventually(async || engines[0].received("/generate").len() == 1).await;
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
    assert_eq!(engines[0].received("/generate").len(), 1);
    engines[0].gate.add_permits(1);
    let running: Value = running.json().await.unwrap();
    assert_eq!(running["choices"][0]["message"]["content"], "t0 t1 t2 t3 ");
    assert!(engines[0].cancelled().is_empty());
}

/// A request whose deadline can't be met, or that exceeds the limit of requests in
/// progress of its organisation, is refused at once, so that the caller need not wait.
#[tokio::test]
async fn requests_that_cannot_be_served_in_time_are_refused_at_once() {
    let bed = TestBed::with_settings(|settings| {
        settings.traffic.engine_slots = 1;
        settings.traffic.admission.interactive_reserve = 0;
    })
    .await;
    let engines = vec![engine().await];
    bed.list(listings(&engines)).await;
    let too_late = bed.chat(false, "x").header("x-deadline-ms", "20");
    let too_late = too_late.send().await.unwrap();
    assert_eq!(too_late.status(), 503);
    assert!(too_late.headers().contains_key("retry-after"));
    assert_eq!(code(too_late).await, "overloaded");
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

/// A caller disconnects while its request is queued. The request must not be run, and
/// must not keep its place in the queue.
#[tokio::test]
async fn a_queued_request_of_a_disconnected_caller_is_not_run() {
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
    assert_eq!(engines[0].received("/generate").len(), 2);
}
