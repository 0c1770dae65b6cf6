//! Complete answers, cancellation, shutdown, and keys withdrawn during an answer.

mod support;

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use bluebell_core::{
    clock::TimeSpan,
    ids::{KeyDigest, RequestId},
    membership::InstanceState,
    records::{LogRecord, WithdrawRecord},
};
use bluebell_endpoint::api::{GenerateRequest, StreamItem};
use bluebell_platform::api::{EndpointKind, EndpointListing};
use futures::StreamExt as _;
use reqwest::Response;
use serde_json::Value;
use support::{
    TestBed,
    endpoint::{FakeEndpoint, OK_HEAD, ReceivedRequest, Step, complete_answer, end, token},
    eventually, listing,
};

fn listings(engines: &[&FakeEndpoint]) -> Vec<EndpointListing> {
    let number = |(number, engine): (usize, &&FakeEndpoint)| {
        let address = engine.address.to_string();
        listing(&format!("engine-{number}"), EndpointKind::Engine, &address)
    };
    engines.iter().enumerate().map(number).collect()
}

async fn bed_with(engines: &[&FakeEndpoint]) -> TestBed {
    let bed = TestBed::start().await;
    bed.list(listings(engines)).await;
    bed
}

/// Starts an engine that runs the steps of `first` for its first request and answers
/// later ones completely.
async fn engine_with_first<First>(first: First) -> FakeEndpoint
where
    First: Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
{
    let requests = Arc::new(AtomicU64::new(0));
    FakeEndpoint::start(
        move |received| match requests.fetch_add(1, Ordering::SeqCst) {
            0 => first(received),
            _ => complete_answer(&received.generate_request(), 4),
        },
    )
    .await
}

fn head() -> Step {
    Step::Write(OK_HEAD.to_string())
}

struct ParsedStream {
    text: String,
    errors: Vec<String>,
    done: bool,
}

async fn read_stream(answer: Response) -> ParsedStream {
    let body = answer.text().await.unwrap();
    let mut read = ParsedStream {
        text: String::new(),
        errors: Vec::new(),
        done: false,
    };
    for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            read.done = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).unwrap();
        if let Some(code) = event["error"]["code"].as_str() {
            read.errors.push(code.to_string());
        }
        let content = event["choices"][0]["delta"]["content"].as_str();
        read.text.push_str(content.unwrap_or_default());
    }
    read
}

async fn expect_complete(bed: &TestBed) {
    let read = read_stream(bed.chat(true, "x").send().await.unwrap()).await;
    assert_eq!(read.text, "t0 t1 t2 t3 ");
    assert!(read.done && read.errors.is_empty());
}

/// An engine crashes in the middle of an answer. The caller must receive the rest, and
/// no token twice.
#[tokio::test]
async fn an_answer_is_resumed_on_another_engine_after_a_crash() {
    let crashing = FakeEndpoint::start(|received| {
        let work = received.generate_request();
        let tokens = (0..2).map(|position| Step::Item(token(&work, position)));
        let steps = std::iter::once(head()).chain(tokens);
        steps.chain([Step::Gate, Step::Crash]).collect()
    })
    .await;
    let other = FakeEndpoint::engine(4).await;
    let bed = bed_with(&[&crashing]).await;
    let answer = bed.chat(true, "x").send().await.unwrap();
    bed.list(listings(&[&crashing, &other])).await;
    crashing.gate.add_permits(1);
    let read = read_stream(answer).await;
    assert_eq!(read.text, "t0 t1 t2 t3 ");
    assert!(read.done && read.errors.is_empty());
    let work = other.received("/generate")[0].generate_request();
    let resumed = work.delivered.len() as u64;
    assert!(resumed <= 2 && work.attempt == 2, "{work:?}");
}

/// An engine answers probes but breaks every stream, while another one is healthy.
/// The caller must receive the answer of the other engine.
#[tokio::test]
async fn an_engine_that_breaks_all_streams_is_excluded() {
    let breaking = FakeEndpoint::start(|received| {
        let work = received.generate_request();
        vec![
            head(),
            Step::Item(token(&work, work.delivered.len() as u64)),
        ]
    })
    .await;
    let healthy = FakeEndpoint::engine(4).await;
    // Otherwise the router would eject the engine after its failures, and the test would
    // pass without the exclusion per request.
    let bed = TestBed::with_settings(|settings| {
        settings.traffic.routing.eject_after = 1_000;
    })
    .await;
    bed.list(listings(&[&breaking, &healthy])).await;
    while breaking.received("/generate").is_empty() {
        for number in 0..20 {
            let answer = bed.chat(true, &number.to_string()).send().await.unwrap();
            let read = read_stream(answer).await;
            assert!(read.done && read.text == "t0 t1 t2 t3 ");
        }
    }
}

/// A connection ends early without a TCP error, and no other engine can finish the
/// answer. The caller must be able to tell the truncated answer from a complete one.
#[tokio::test]
async fn a_truncated_answer_is_never_reported_as_complete() {
    let engine = FakeEndpoint::start(|received| {
        let work = received.generate_request();
        vec![
            head(),
            Step::Item(token(&work, work.delivered.len() as u64)),
        ]
    })
    .await;
    let bed = bed_with(&[&engine]).await;
    let read = read_stream(bed.chat(true, "x").send().await.unwrap()).await;
    assert!(!read.done);
    assert_eq!(read.errors, ["endpoint_lost"]);
    let unstreamed = bed.chat(false, "x").send().await.unwrap();
    let unstreamed: Value = unstreamed.json().await.unwrap();
    assert_eq!(unstreamed["error"]["ran"], "unknown");
    assert!(unstreamed.get("choices").is_none());
}

fn foreign_token(work: &GenerateRequest, position: u64) -> StreamItem {
    let mut item = token(work, position);
    if let StreamItem::Token { text, .. } = &mut item {
        *text = "foreign ".to_string();
    }
    item
}

/// Items of another request or of an abandoned attempt, and duplicates of earlier items,
/// would put foreign or repeated text into the answer.
#[tokio::test]
async fn foreign_stale_and_duplicate_items_are_dropped() {
    let engine = FakeEndpoint::start(|received| {
        let work = received.generate_request();
        let mut other_request = work.clone();
        other_request.request = RequestId::new("r-of-another").unwrap();
        let mut stale_attempt = work.clone();
        stale_attempt.attempt = 9;
        let mut steps = vec![head()];
        for position in 0..4 {
            steps.push(Step::Item(foreign_token(&other_request, position)));
            steps.push(Step::Item(foreign_token(&stale_attempt, position)));
            steps.push(Step::Item(token(&work, position)));
            steps.push(Step::Item(token(&work, position)));
            steps.push(Step::Item(end(&other_request, position + 1)));
        }
        steps.push(Step::Item(end(&stale_attempt, 4)));
        steps.push(Step::Item(end(&work, 4)));
        steps
    })
    .await;
    let bed = bed_with(&[&engine]).await;
    expect_complete(&bed).await;
}

/// An engine omits tokens, or its end mark counts more tokens than it sent.
#[tokio::test]
async fn an_answer_with_a_gap_is_resumed_before_the_gap() {
    let gap = engine_with_first(|received| {
        let work = received.generate_request();
        let items: [StreamItem; 3] = [token(&work, 0), token(&work, 2), end(&work, 3)];
        std::iter::once(head())
            .chain(items.map(Step::Item))
            .collect()
    })
    .await;
    expect_complete(&bed_with(&[&gap]).await).await;
    let long_end = engine_with_first(|received| {
        let work = received.generate_request();
        vec![
            head(),
            Step::Item(token(&work, 0)),
            Step::Item(end(&work, 4)),
        ]
    })
    .await;
    expect_complete(&bed_with(&[&long_end]).await).await;
}

/// A middlebox drops the state of a connection, which becomes unresponsive, while new
/// connections to the same engine work. Without a timeout the caller would wait for ever.
#[tokio::test]
async fn an_unresponsive_connection_is_replaced_by_a_new_one() {
    let engine = engine_with_first(|received| {
        let work = received.generate_request();
        vec![head(), Step::Item(token(&work, 0)), Step::Hang]
    })
    .await;
    let limit = TimeSpan::from_millis(300);
    let bed = TestBed::with_progress_limit(limit, |_| {}).await;
    let address = engine.address.to_string();
    bed.list(vec![listing("engine-1", EndpointKind::Engine, &address)])
        .await;
    expect_complete(&bed).await;
    let received = engine.received("/generate");
    assert_eq!(received.len(), 2);
    assert_ne!(received[0].connection, received[1].connection);
    assert_eq!(received[1].generate_request().delivered, ["t0 "]);
    assert_eq!(
        engine.cancelled().len(),
        1,
        "cancellations of the lost attempt at the engine"
    );
}

/// Many callers disconnect before the answer is complete. The engine must receive a
/// cancellation before the first token, between tokens, and for answers that are not
/// streamed.
#[tokio::test]
async fn a_disconnected_callers_request_is_cancelled_at_the_engine() {
    for (stream, tokens) in [(true, 0), (true, 2), (false, 0), (false, 2)] {
        let engine = FakeEndpoint::start(move |received| {
            let work = received.generate_request();
            let tokens = (0..tokens).map(|position| Step::Item(token(&work, position)));
            std::iter::once(head())
                .chain(tokens)
                .chain([Step::Gate])
                .collect()
        })
        .await;
        let bed = TestBed::with_settings(|_| {}).await;
        let address = engine.address.to_string();
        bed.list(vec![listing("engine-1", EndpointKind::Engine, &address)])
            .await;
        let answer = bed.chat(stream, "x").send().await.unwrap();
        let id = answer.headers()["x-request-id"]
            .to_str()
            .unwrap()
            .to_string();
        assert_eq!(answer.status(), 200);
        let mut body = answer.bytes_stream();
        body.next().await.unwrap().unwrap();
        drop(body);
        eventually(async || {
            let cancelled = engine.cancelled();
            cancelled.iter().any(|cancel| cancel.request.as_str() == id)
        })
        .await;
    }
}

/// An instance is stopped while answers are in progress. Each must complete, and new
/// requests must be refused at once, so that callers can use another instance.
#[tokio::test]
async fn stopping_truncates_no_answer() {
    let engine = FakeEndpoint::start(|received| {
        let mut steps = complete_answer(&received.generate_request(), 4);
        steps.insert(3, Step::Gate);
        steps
    })
    .await;
    let bed = bed_with(&[&engine]).await;
    let streamed = bed.chat(true, "x").send().await.unwrap();
    let unstreamed = bed.chat(false, "y").send().await.unwrap();
    eventually(async || engine.received("/generate").len() == 2).await;
    let (url, ready) = (bed.url("/v1/chat/completions"), bed.url("/ready"));
    let TestBed {
        platform,
        entry,
        http,
    } = bed;
    let stopping = tokio::spawn(entry.stop());
    eventually(async || http.get(&ready).send().await.unwrap().status() == 503).await;
    let refused = http
        .post(&url)
        .bearer_auth(support::KEY)
        .body("{}")
        .send()
        .await
        .unwrap();
    assert_eq!(refused.status(), 503);
    assert!(refused.headers().contains_key("retry-after"));
    let refused: Value = refused.json().await.unwrap();
    assert_eq!(refused["error"]["code"], "draining");
    assert_eq!(refused["error"]["ran"], "not_run");
    eventually(async || {
        let announced = platform.announced();
        announced
            .iter()
            .any(|listing| listing.state == InstanceState::Leaving)
    })
    .await;
    assert!(!stopping.is_finished());
    engine.gate.add_permits(2);
    let read = read_stream(streamed).await;
    assert!(read.done && read.text == "t0 t1 t2 t3 ");
    let unstreamed: Value = unstreamed.json().await.unwrap();
    assert_eq!(
        unstreamed["choices"][0]["message"]["content"],
        "t0 t1 t2 t3 "
    );
    tokio::time::timeout(support::TEST_TIMEOUT, stopping)
        .await
        .unwrap()
        .unwrap();
}

/// A leaked key is withdrawn while an answer to its holder is in progress.
#[tokio::test]
async fn a_withdrawn_key_ends_its_answers_in_progress() {
    let engine = FakeEndpoint::start(|received| {
        let mut steps = complete_answer(&received.generate_request(), 4);
        steps.insert(3, Step::Gate);
        steps
    })
    .await;
    let bed = bed_with(&[&engine]).await;
    let answer = bed.chat(true, "x").send().await.unwrap();
    bed.platform.publish(&LogRecord::Withdraw(WithdrawRecord {
        digest: KeyDigest::with_key(support::KEY),
        publisher: "test".to_string(),
    }));
    let read = read_stream(answer).await;
    assert!(!read.done);
    assert_eq!(read.errors, ["key_withdrawn"]);
    eventually(async || engine.cancelled().len() == 1).await;
    let refused = bed.chat(true, "x").send().await.unwrap();
    assert_eq!(refused.status(), 401);
}

/// The deadline passes before the first token. The caller no longer needs the answer, so
/// the engine must stop, and no other engine must start.
#[tokio::test]
async fn a_request_ends_at_all_engines_at_its_deadline() {
    let engines = [
        FakeEndpoint::start(|_| vec![head(), Step::Hang]).await,
        FakeEndpoint::start(|_| vec![head(), Step::Hang]).await,
    ];
    let bed = bed_with(&[&engines[0], &engines[1]]).await;
    let answer = bed.chat(false, "x").header("x-deadline-ms", "500");
    let answer: Value = answer.send().await.unwrap().json().await.unwrap();
    assert_eq!(answer["error"]["code"], "deadline_exceeded");
    assert_eq!(answer["error"]["ran"], "unknown");
    let received = |path: &str| {
        engines
            .iter()
            .map(|e| e.received(path).len())
            .sum::<usize>()
    };
    eventually(async || received("/cancel") == 1).await;
    assert_eq!(received("/generate"), 1);
    assert_eq!(received("/health"), 0);
}
