//! A running engine keeps to its interface, and its faults do what they say.

use std::time::Duration;

use bluebell_core::{
    clock::{ClockSource, TimeSpan},
    records::EngineRole,
};
use bluebell_endpoint::{
    api::{FinishReason, StreamItem},
    reference::expected_token,
};
use reqwest::StatusCode;
use serde_json::{Value, json};
use standin_engine::{EngineSettings, RunningEngine, start};
use tokio_util::sync::CancellationToken;

async fn engine(change: impl FnOnce(&mut EngineSettings)) -> RunningEngine {
    let mut settings = EngineSettings::default();
    settings.costs.speed = 50;
    settings.role_change = TimeSpan::from_secs(3_600);
    change(&mut settings);
    start(settings, ClockSource::new(), CancellationToken::new())
        .await
        .unwrap()
}

async fn post(engine: &RunningEngine, path: &str, body: Value) -> reqwest::Response {
    let url = format!("http://{}{path}", engine.http_address);
    reqwest::Client::new()
        .post(url)
        .json(&body)
        .send()
        .await
        .unwrap()
}

fn work(prompt: &str, more: Value) -> Value {
    let mut work = json!({
        "request": "r-1", "attempt": 1, "model": "small-chat", "prompt": prompt,
        "max_tokens": 100, "priority": "interactive",
    });
    let Value::Object(more) = more else {
        panic!("`more` has fields");
    };
    work.as_object_mut().unwrap().extend(more);
    work
}

async fn items(response: reqwest::Response) -> Vec<StreamItem> {
    assert_eq!(response.status(), StatusCode::OK);
    let text = response.text().await.unwrap();
    let lines = text.lines();
    lines
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

async fn generate(engine: &RunningEngine, prompt: &str, more: Value) -> Vec<StreamItem> {
    items(post(engine, "/generate", work(prompt, more)).await).await
}

fn texts(items: &[StreamItem]) -> Vec<(u64, String)> {
    let token = |item: &StreamItem| match item {
        StreamItem::Token { position, text, .. } => Some((*position, text.clone())),
        StreamItem::End { .. } => None,
    };
    items.iter().filter_map(token).collect()
}

fn end(items: &[StreamItem]) -> Option<(u64, FinishReason)> {
    match items.last() {
        Some(StreamItem::End { length, finish, .. }) => Some((*length, *finish)),
        _ => None,
    }
}

#[tokio::test]
async fn answers_are_the_reference_and_resume_goes_on() {
    let engine = engine(|_| {}).await;
    let prompt = "where len=5";
    let expected: Vec<_> = (0..5).map(|p| (p, expected_token(prompt, p))).collect();
    let whole = generate(&engine, prompt, json!({})).await;
    assert_eq!(texts(&whole), expected);
    assert_eq!(end(&whole), Some((5, FinishReason::Stop)));
    let rest = generate(
        &engine,
        prompt,
        json!({"delivered": ["x", "y"], "attempt": 2}),
    )
    .await;
    assert_eq!(texts(&rest), expected[2..]);
    assert_eq!(end(&rest), Some((5, FinishReason::Stop)));
    let short = generate(&engine, prompt, json!({"max_tokens": 3})).await;
    assert_eq!(end(&short), Some((3, FinishReason::Length)));
    engine.stop().await;
}

#[tokio::test]
async fn kv_cache_goes_from_a_prefill_engine_to_a_decode_engine() {
    let prefill = engine(|settings| settings.role = EngineRole::Prefill).await;
    let decode = engine(|settings| settings.role = EngineRole::Decode).await;
    let prompt = "compare these two banks len=4";
    let refused = post(&prefill, "/generate", work(prompt, json!({}))).await;
    assert_eq!(refused.status(), StatusCode::CONFLICT);
    let first = generate(&prefill, prompt, json!({"prefill_only": true})).await;
    assert_eq!(end(&first), Some((0, FinishReason::Prefilled)));
    let handle = post(&prefill, "/kv/export", json!({"request": "r-1"})).await;
    let handle: Value = handle.json().await.unwrap();
    let answer = generate(&decode, prompt, json!({"import": handle})).await;
    assert_eq!(end(&answer), Some((4, FinishReason::Stop)));
    prefill.stop().await;
    decode.stop().await;
}

#[tokio::test]
async fn old_fencing_numbers_are_refused_by_engines_that_check_them() {
    let order = |id: &str, fence: u64| {
        let body = json!({"order": "set_role", "endpoint": "e", "role": "decode"});
        json!({"order": id, "fence": fence, "body": body})
    };
    let checking = engine(|_| {}).await;
    assert_eq!(
        post(&checking, "/orders", order("o1", 7)).await.status(),
        StatusCode::OK
    );
    assert_eq!(
        post(&checking, "/orders", order("o1", 7)).await.status(),
        StatusCode::OK
    );
    let stale = post(&checking, "/orders", order("o0", 3)).await;
    assert_eq!(stale.status(), StatusCode::CONFLICT);
    let early = post(&checking, "/orders", order("o2", 9)).await;
    assert_eq!(early.status(), StatusCode::SERVICE_UNAVAILABLE);
    let changing = post(&checking, "/generate", work("hello", json!({}))).await;
    assert_eq!(changing.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(changing.headers().contains_key("retry-after"));
    checking.stop().await;

    let ignoring = engine(|settings| settings.checks_fencing = false).await;
    assert_eq!(
        post(&ignoring, "/orders", order("o1", 7)).await.status(),
        StatusCode::OK
    );
    assert_eq!(
        post(&ignoring, "/orders", order("o0", 3)).await.status(),
        StatusCode::OK
    );
    ignoring.stop().await;
}

#[tokio::test]
async fn stream_faults_do_what_they_say() {
    let engine = engine(|_| {}).await;
    let prompt = "where len=5";
    let mut seen = Vec::new();
    for kind in ["truncated", "doubled", "crossed"] {
        let fault = json!({"stream": {"kind": kind, "after": 2, "streams": 1}});
        post(&engine, "/control/faults", fault).await;
        let items = generate(&engine, prompt, json!({})).await;
        let positions: Vec<u64> = texts(&items).into_iter().map(|(p, _)| p).collect();
        seen.push((positions, end(&items).is_some()));
        let crossed = texts(&items)
            .iter()
            .any(|(p, t)| *t != expected_token(prompt, *p));
        assert_eq!(crossed, kind == "crossed");
        let healed = generate(&engine, prompt, json!({})).await;
        assert_eq!(texts(&healed).len(), 5);
    }
    let expected = [
        (vec![0, 1], false),
        (vec![0, 1, 2, 2, 3, 4], true),
        (vec![0, 1, 2, 3, 4], true),
    ];
    assert_eq!(seen, expected);
    engine.stop().await;
}

#[tokio::test]
async fn a_silent_stream_stays_open_until_the_engine_crashes() {
    let engine = engine(|_| {}).await;
    let fault = json!({"stream": {"kind": "silent", "after": 2, "streams": 1}});
    post(&engine, "/control/faults", fault).await;
    let mut response = post(&engine, "/generate", work("where len=5", json!({}))).await;
    let mut text = Vec::new();
    while text.iter().filter(|byte| **byte == b'\n').count() < 2 {
        text.extend(response.chunk().await.unwrap().unwrap());
    }
    let other = generate(&engine, "other len=5", json!({})).await;
    assert!(end(&other).is_some());
    let more = tokio::time::timeout(Duration::from_millis(100), response.chunk()).await;
    assert!(more.is_err(), "the stream is no longer silent");
    post(&engine, "/control/crash", json!({"down_for": "10ms"})).await;
    while let Ok(Some(chunk)) = response.chunk().await {
        assert!(chunk.is_empty());
    }
    engine.stop().await;
}

#[tokio::test]
async fn a_stopped_engine_answers_nothing_until_it_is_started() {
    let engine = engine(|_| {}).await;
    let health = format!("http://{}/health", engine.http_address);
    post(&engine, "/control/power", json!({"on": false})).await;
    let stopped = post(&engine, "/generate", work("hello", json!({}))).await;
    assert_eq!(stopped.status(), StatusCode::BAD_GATEWAY);
    let down = reqwest::get(&health).await.unwrap();
    assert_eq!(down.status(), StatusCode::BAD_GATEWAY);
    post(&engine, "/control/power", json!({"on": true})).await;
    let up = reqwest::get(&health).await.unwrap();
    assert_eq!(up.status(), StatusCode::NO_CONTENT);
    engine.stop().await;
}

#[tokio::test]
async fn a_crash_takes_the_port_down_and_a_new_incarnation_comes_up() {
    let engine = engine(|_| {}).await;
    let url = format!("http://{}/state", engine.http_address);
    let state = || async { reqwest::get(&url).await?.json::<Value>().await };
    let before = state().await.unwrap();
    let fault = json!({"crash": {"text": "poison", "down_for": "10ms"}});
    post(&engine, "/control/faults", fault).await;
    let response = post(&engine, "/generate", work("poison", json!({}))).await;
    let cut = response.text().await;
    assert!(cut.is_err() || cut.unwrap().is_empty());
    let mut tries = 0;
    let after = loop {
        match state().await {
            Ok(after) if after["incarnation"] != before["incarnation"] => break after,
            _ => tries += 1,
        }
        assert!(tries < 3_000, "the engine does not come up again");
        tokio::time::sleep(Duration::from_millis(10)).await;
    };
    assert_eq!(after["in_flight"], 0);
    engine.stop().await;
}
