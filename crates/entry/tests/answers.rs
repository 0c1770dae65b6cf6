//! Whole answers, cancels, stopping, and keys that are withdrawn meanwhile.

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
    endpoint::{FakeEndpoint, OK_HEAD, SeenRequest, Step, end, token, whole_answer},
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

/// An engine that does something else on its first request than on later ones.
async fn engine_with_first<First>(first: First) -> FakeEndpoint
where
    First: Fn(&SeenRequest) -> Vec<Step> + Send + Sync + 'static,
{
    let requests = Arc::new(AtomicU64::new(0));
    FakeEndpoint::start(move |seen| match requests.fetch_add(1, Ordering::SeqCst) {
        0 => first(seen),
        _ => whole_answer(&seen.generate(), 4),
    })
    .await
}

fn head() -> Step {
    Step::Write(OK_HEAD.to_string())
}

struct ReadStream {
    text: String,
    errors: Vec<String>,
    done: bool,
}

async fn read_stream(answer: Response) -> ReadStream {
    let body = answer.text().await.unwrap();
    let mut read = ReadStream {
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

async fn expect_whole(bed: &TestBed) {
    let read = read_stream(bed.chat(true, "x").send().await.unwrap()).await;
    assert_eq!(read.text, "t0 t1 t2 t3 ");
    assert!(read.done && read.errors.is_empty());
}

/// An engine dies in the middle of an answer. The shopper must get the rest, and
/// no word twice.
#[tokio::test]
async fn a_lost_engines_answer_goes_on_elsewhere() {
    let dying = FakeEndpoint::start(|seen| {
        let work = seen.generate();
        let tokens = (0..2).map(|position| Step::Item(token(&work, position)));
        let steps = std::iter::once(head()).chain(tokens);
        steps.chain([Step::Gate, Step::Crash]).collect()
    })
    .await;
    let other = FakeEndpoint::engine(4).await;
    let bed = bed_with(&[&dying]).await;
    let answer = bed.chat(true, "x").send().await.unwrap();
    bed.list(listings(&[&dying, &other])).await;
    dying.gate.add_permits(1);
    let read = read_stream(answer).await;
    assert_eq!(read.text, "t0 t1 t2 t3 ");
    assert!(read.done && read.errors.is_empty());
    let work = other.seen("/generate")[0].generate();
    let resumed = work.delivered.len() as u64;
    assert!(resumed <= 2 && work.attempt == 2, "{work:?}");
}

/// An engine answers probes but breaks every stream, while another one is healthy.
/// The shopper must get the answer from the other one.
#[tokio::test]
async fn an_engine_that_breaks_all_streams_is_left_for_another() {
    let breaking = FakeEndpoint::start(|seen| {
        let work = seen.generate();
        vec![
            head(),
            Step::Item(token(&work, work.delivered.len() as u64)),
        ]
    })
    .await;
    let healthy = FakeEndpoint::engine(4).await;
    // Otherwise the router's rests after failures would mend it in the end.
    let bed = TestBed::with_settings(|settings| {
        settings.traffic.routing.eject_after = 1_000;
    })
    .await;
    bed.list(listings(&[&breaking, &healthy])).await;
    while breaking.seen("/generate").is_empty() {
        for number in 0..20 {
            let answer = bed.chat(true, &number.to_string()).send().await.unwrap();
            let read = read_stream(answer).await;
            assert!(read.done && read.text == "t0 t1 t2 t3 ");
        }
    }
}

/// A connection ends early without any error that TCP would show, and nobody else
/// can finish. A caller must not take the half answer for the whole.
#[tokio::test]
async fn a_truncated_answer_is_never_called_whole() {
    let engine = FakeEndpoint::start(|seen| {
        let work = seen.generate();
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
    let whole = bed.chat(false, "x").send().await.unwrap();
    let whole: Value = whole.json().await.unwrap();
    assert_eq!(whole["error"]["ran"], "unknown");
    assert!(whole.get("choices").is_none());
}

fn foreign(work: &GenerateRequest, position: u64) -> StreamItem {
    let mut item = token(work, position);
    if let StreamItem::Token { text, .. } = &mut item {
        *text = "foreign ".to_string();
    }
    item
}

/// Items of another request, of an attempt that was given up, or that came before
/// would put somebody else's words, or words twice, into the answer.
#[tokio::test]
async fn crossed_late_and_doubled_items_are_dropped() {
    let engine = FakeEndpoint::start(|seen| {
        let work = seen.generate();
        let mut crossed = work.clone();
        crossed.request = RequestId::new("r-of-another").unwrap();
        let mut late = work.clone();
        late.attempt = 9;
        let mut steps = vec![head()];
        for position in 0..4 {
            steps.push(Step::Item(foreign(&crossed, position)));
            steps.push(Step::Item(foreign(&late, position)));
            steps.push(Step::Item(token(&work, position)));
            steps.push(Step::Item(token(&work, position)));
            steps.push(Step::Item(end(&crossed, position + 1)));
        }
        steps.push(Step::Item(end(&late, 4)));
        steps.push(Step::Item(end(&work, 4)));
        steps
    })
    .await;
    let bed = bed_with(&[&engine]).await;
    expect_whole(&bed).await;
}

/// An engine leaves tokens out, or its end mark counts more than came.
#[tokio::test]
async fn an_answer_with_a_gap_goes_on_from_before_the_gap() {
    let gap = engine_with_first(|seen| {
        let work = seen.generate();
        let items: [StreamItem; 3] = [token(&work, 0), token(&work, 2), end(&work, 3)];
        std::iter::once(head())
            .chain(items.map(Step::Item))
            .collect()
    })
    .await;
    expect_whole(&bed_with(&[&gap]).await).await;
    let long_end = engine_with_first(|seen| {
        let work = seen.generate();
        vec![
            head(),
            Step::Item(token(&work, 0)),
            Step::Item(end(&work, 4)),
        ]
    })
    .await;
    expect_whole(&bed_with(&[&long_end]).await).await;
}

/// A middlebox loses track of a connection: it stays silent for good, while new
/// connections to the same engine work. Without a limit the shopper waits for ever.
#[tokio::test]
async fn a_silent_connection_is_given_up_for_a_new_one() {
    let engine = engine_with_first(|seen| {
        let work = seen.generate();
        vec![head(), Step::Item(token(&work, 0)), Step::Silence]
    })
    .await;
    let limit = TimeSpan::from_millis(300);
    let bed = TestBed::with_progress_limit(limit, |_| {}).await;
    let address = engine.address.to_string();
    bed.list(vec![listing("engine-1", EndpointKind::Engine, &address)])
        .await;
    expect_whole(&bed).await;
    let seen = engine.seen("/generate");
    assert_eq!(seen.len(), 2);
    assert_ne!(seen[0].connection, seen[1].connection);
    assert_eq!(seen[1].generate().delivered, ["t0 "]);
    assert_eq!(
        engine.cancelled().len(),
        1,
        "the engine heard of the old attempt's end"
    );
}

/// Most callers walk away before the answer is whole. The engine must hear of it,
/// at the prompt, between tokens, and for answers that are not streamed.
#[tokio::test]
async fn a_caller_who_leaves_is_cancelled_at_the_engine() {
    for (stream, tokens) in [(true, 0), (true, 2), (false, 0), (false, 2)] {
        let engine = FakeEndpoint::start(move |seen| {
            let work = seen.generate();
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

/// An instance is replaced while answers stream. Each must reach its end, and new
/// callers must hear at once that they should go elsewhere.
#[tokio::test]
async fn stopping_cuts_no_answer() {
    let engine = FakeEndpoint::start(|seen| {
        let mut steps = whole_answer(&seen.generate(), 4);
        steps.insert(3, Step::Gate);
        steps
    })
    .await;
    let bed = bed_with(&[&engine]).await;
    let streamed = bed.chat(true, "x").send().await.unwrap();
    let whole = bed.chat(false, "y").send().await.unwrap();
    eventually(async || engine.seen("/generate").len() == 2).await;
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
    let whole: Value = whole.json().await.unwrap();
    assert_eq!(whole["choices"][0]["message"]["content"], "t0 t1 t2 t3 ");
    tokio::time::timeout(support::PATIENCE, stopping)
        .await
        .unwrap()
        .unwrap();
}

/// A key leaks and is withdrawn while its holder has a long answer running.
#[tokio::test]
async fn a_withdrawn_key_ends_its_running_answers() {
    let engine = FakeEndpoint::start(|seen| {
        let mut steps = whole_answer(&seen.generate(), 4);
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

/// The deadline passes before the first token. The caller has left for its train, so
/// the engine must stop, and no other one must start.
#[tokio::test]
async fn work_ends_everywhere_when_its_deadline_passes() {
    let engines = [
        FakeEndpoint::start(|_| vec![head(), Step::Silence]).await,
        FakeEndpoint::start(|_| vec![head(), Step::Silence]).await,
    ];
    let bed = bed_with(&[&engines[0], &engines[1]]).await;
    let answer = bed.chat(false, "x").header("x-deadline-ms", "500");
    let answer: Value = answer.send().await.unwrap().json().await.unwrap();
    assert_eq!(answer["error"]["code"], "deadline_exceeded");
    assert_eq!(answer["error"]["ran"], "unknown");
    let seen = |path: &str| engines.iter().map(|e| e.seen(path).len()).sum::<usize>();
    eventually(async || seen("/cancel") == 1).await;
    assert_eq!(seen("/generate"), 1);
    assert_eq!(seen("/health"), 0);
}
