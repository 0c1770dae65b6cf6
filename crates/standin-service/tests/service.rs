//! A replica counts what it executes, and its faults do what they say.

use bluebell_core::clock::ClockSource;
use reqwest::StatusCode;
use serde_json::{Value, json};
use standin_service::{
    RunningService, ServiceAnswer, ServiceSettings, history::ServiceHistory, start,
};
use tokio_util::sync::CancellationToken;

async fn service() -> RunningService {
    let settings = ServiceSettings::default();
    let started = start(settings, ClockSource::new(), CancellationToken::new()).await;
    started.unwrap()
}

async fn call(service: &RunningService, mark: &str) -> reqwest::Result<reqwest::Response> {
    let url = format!("http://{}/unlock/4?now=1", service.http_address);
    let request = reqwest::Client::new().post(url).body("please");
    request.header("Idempotency-Key", mark).send().await
}

async fn set_faults(service: &RunningService, faults: &Value) {
    let url = format!("http://{}/control/faults", service.http_address);
    let sent = reqwest::Client::new().post(url).json(faults).send().await;
    assert!(sent.unwrap().status().is_success());
}

async fn history(service: &RunningService) -> ServiceHistory {
    let url = format!("http://{}/control/history", service.http_address);
    reqwest::get(url).await.unwrap().json().await.unwrap()
}

#[tokio::test]
async fn executions_are_counted_by_action() {
    let service = service().await;
    for mark in ["a", "b", "a"] {
        let answer = call(&service, mark).await.unwrap();
        let answer: ServiceAnswer = answer.json().await.unwrap();
        assert_eq!(answer.path, "/unlock/4?now=1");
        assert_eq!(answer.body, "please");
    }
    let counts = history(&service).await.counts;
    let counts: Vec<u64> = counts.iter().map(|count| count.executions).collect();
    assert_eq!(counts, [2, 1]);
    service.stop().await;
}

#[tokio::test]
async fn refused_calls_do_not_run_and_lost_answers_do() {
    let service = service().await;
    set_faults(&service, &json!({"refuse_all": true})).await;
    let refused = call(&service, "a").await.unwrap();
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.headers().contains_key("retry-after"));
    assert!(history(&service).await.executions.is_empty());
    set_faults(&service, &json!({"lose_answers": "broken"})).await;
    // The connection may break before or after the answer's head.
    let text = match call(&service, "b").await {
        Ok(response) => response.text().await,
        Err(error) => Err(error),
    };
    assert!(text.is_err(), "the answer came whole");
    assert_eq!(history(&service).await.executions.len(), 1);
    service.stop().await;
}
