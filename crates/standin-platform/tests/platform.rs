//! The platform keeps to its interface, and its faults do what they say.

use bluebell_core::{
    clock::{ClockSource, TimeSpan},
    ids::{EndpointId, LogOffset, WriterId},
    records::CapacityKind,
};
use bluebell_platform::{
    PlatformClient, PlatformError,
    api::{
        AppendRequest, EndpointKind, EndpointListing, EndpointState, StartEndpoint, StopEndpoint,
        UsageReport,
    },
};
use serde_json::{Value, json};
use standin_platform::{PlatformSettings, RunningPlatform, start};
use tokio_util::sync::CancellationToken;

async fn platform(change: impl FnOnce(&mut PlatformSettings)) -> (RunningPlatform, PlatformClient) {
    let mut settings = PlatformSettings {
        start_delay: TimeSpan::ZERO,
        ..PlatformSettings::default()
    };
    change(&mut settings);
    let running = start(settings, ClockSource::new(), CancellationToken::new());
    let running = running.await.unwrap();
    let client = client(&running, "zone-a");
    (running, client)
}

fn client(platform: &RunningPlatform, domain: &str) -> PlatformClient {
    let instance = "c1".parse().unwrap();
    let domain = domain.parse().unwrap();
    PlatformClient::new(&platform.http_address.to_string(), &instance, &domain)
}

async fn control(platform: &RunningPlatform, path: &str, body: &Value) {
    let url = format!("http://{}/control/{path}", platform.http_address);
    let sent = reqwest::Client::new().post(url).json(body).send().await;
    assert!(sent.unwrap().status().is_success());
}

fn record(sequence: u64) -> AppendRequest {
    AppendRequest {
        writer: WriterId::new("w").unwrap(),
        sequence,
        payload: format!("record {sequence}"),
    }
}

#[tokio::test]
async fn the_log_orders_waits_and_forgets() {
    let (platform, client) = platform(|settings| settings.kept_records = 2).await;
    let patient = client.clone();
    let reader = tokio::spawn(async move {
        let wait = TimeSpan::from_secs(30);
        patient.read(LogOffset::START, 10, wait).await
    });
    for sequence in 0..3 {
        let answer = client.append(&record(sequence)).await.unwrap();
        assert_eq!(answer.offset, LogOffset::new(sequence));
    }
    assert!(!reader.await.unwrap().unwrap().entries.is_empty());
    let kept = client
        .read(LogOffset::START, 10, TimeSpan::ZERO)
        .await
        .unwrap();
    assert_eq!(kept.first_kept, LogOffset::new(1));
    assert_eq!(kept.end, LogOffset::new(3));
    assert_eq!(kept.entries.len(), 2);
    platform.stop().await;
}

#[tokio::test]
async fn appends_over_the_rate_are_refused_without_effect() {
    let (platform, client) = platform(|settings| settings.appends_per_second = 0).await;
    let refused = client.append(&record(0)).await.unwrap_err();
    assert!(matches!(
        refused,
        PlatformError::Unavailable { status: 429, .. }
    ));
    let log = client
        .read(LogOffset::START, 10, TimeSpan::ZERO)
        .await
        .unwrap();
    assert_eq!(log.end, LogOffset::START);
    platform.stop().await;
}

#[tokio::test]
async fn lost_answers_have_their_effect_and_outages_have_none() {
    let (platform, client) = platform(|_| {}).await;
    let lost = json!({"lost_answers": [
        {"call": "append", "loss": "broken", "every": 2, "count": 1},
    ]});
    control(&platform, "faults", &lost).await;
    assert!(client.append(&record(0)).await.is_ok());
    let unknown = client.append(&record(1)).await.unwrap_err();
    assert!(matches!(unknown, PlatformError::Unknown(_)));
    control(&platform, "faults", &json!({"log_outage": "refuse"})).await;
    let refused = client.append(&record(2)).await.unwrap_err();
    assert!(matches!(
        refused,
        PlatformError::Unavailable { status: 503, .. }
    ));
    control(&platform, "faults", &json!({})).await;
    let log = client
        .read(LogOffset::START, 10, TimeSpan::ZERO)
        .await
        .unwrap();
    assert_eq!(log.end, LogOffset::new(2));
    platform.stop().await;
}

#[tokio::test]
async fn a_cut_failure_domain_gets_no_answer_and_has_no_effect() {
    let (platform, cut) = platform(|_| {}).await;
    control(&platform, "faults", &json!({"cut_domains": ["zone-a"]})).await;
    assert!(matches!(
        cut.append(&record(0)).await,
        Err(PlatformError::Unknown(_))
    ));
    let free = client(&platform, "zone-b");
    assert!(free.append(&record(1)).await.is_ok());
    control(&platform, "faults", &json!({})).await;
    let log = cut
        .read(LogOffset::START, 10, TimeSpan::ZERO)
        .await
        .unwrap();
    assert_eq!(log.end, LogOffset::new(1));
    platform.stop().await;
}

fn listing(name: &str, capacity: CapacityKind) -> EndpointListing {
    EndpointListing {
        endpoint: EndpointId::new(name).unwrap(),
        failure_domain: "zone-a".parse().unwrap(),
        kind: EndpointKind::Engine,
        capacity,
        service: "assistant".parse().unwrap(),
        model: Some("small-chat".parse().unwrap()),
        address: "127.0.0.1:1".to_string(),
        state: EndpointState::Ready,
        checks_fencing: true,
    }
}

fn start_order(id: &str, fence: u64, capacity: CapacityKind) -> StartEndpoint {
    StartEndpoint {
        order: id.parse().unwrap(),
        fence: LogOffset::new(fence),
        failure_domain: "zone-a".parse().unwrap(),
        capacity,
        service: "assistant".parse().unwrap(),
    }
}

#[tokio::test]
async fn orders_are_idempotent_and_fenced() {
    let (platform, client) = platform(|_| {}).await;
    for name in ["e1", "e2"] {
        let spare = json!(listing(name, CapacityKind::Reserved));
        control(&platform, "spares", &spare).await;
    }
    let order = start_order("o1", 5, CapacityKind::Preemptible);
    let first = client.start_endpoint(&order).await.unwrap();
    assert_eq!(first.capacity, CapacityKind::Preemptible);
    let again = client.start_endpoint(&order).await.unwrap();
    assert_eq!(again.endpoint, first.endpoint);
    assert_eq!(client.endpoints().await.unwrap().len(), 1);
    let stale = client
        .start_endpoint(&start_order("o2", 4, CapacityKind::Reserved))
        .await;
    assert!(matches!(
        stale,
        Err(PlatformError::Refused { status: 409, .. })
    ));
    let stop = StopEndpoint {
        order: "o3".parse().unwrap(),
        fence: LogOffset::new(5),
        endpoint: first.endpoint,
    };
    client.stop_endpoint(&stop).await.unwrap();
    client.stop_endpoint(&stop).await.unwrap();
    assert_eq!(
        client.endpoints().await.unwrap()[0].state,
        EndpointState::Gone
    );
    platform.stop().await;
}

#[tokio::test]
async fn a_reclaim_takes_the_preemptible_endpoints_of_a_failure_domain() {
    let (platform, client) = platform(|_| {}).await;
    for (name, capacity) in [
        ("kept", CapacityKind::Reserved),
        ("taken", CapacityKind::Preemptible),
    ] {
        control(&platform, "endpoints", &json!(listing(name, capacity))).await;
    }
    let reclaim = json!({"failure_domain": "zone-a", "notice": "1h"});
    control(&platform, "reclaim", &reclaim).await;
    let endpoints = client.endpoints().await.unwrap();
    assert_eq!(endpoints[0].state, EndpointState::Ready);
    assert!(matches!(
        endpoints[1].state,
        EndpointState::Reclaimed { .. }
    ));
    control(
        &platform,
        "faults",
        &json!({"preemptible_unavailable": true}),
    )
    .await;
    let order = start_order("o1", 5, CapacityKind::Preemptible);
    let none = client.start_endpoint(&order).await;
    assert!(matches!(
        none,
        Err(PlatformError::Unavailable { status: 503, .. })
    ));
    platform.stop().await;
}

#[tokio::test]
async fn a_window_is_taken_with_one_set_of_figures() {
    let (platform, client) = platform(|_| {}).await;
    let report = |requests: u64| -> UsageReport {
        let line = json!({
            "organisation": "acme", "service": "assistant", "requests": requests,
            "prompt_tokens": 1, "output_tokens": 1,
        });
        let report = json!({"window": 4, "fence": 3, "reporter": "c1", "lines": [line]});
        serde_json::from_value(report).unwrap()
    };
    client.report_usage(&report(1)).await.unwrap();
    client.report_usage(&report(1)).await.unwrap();
    let differing = client.report_usage(&report(2)).await;
    assert!(matches!(
        differing,
        Err(PlatformError::Refused { status: 409, .. })
    ));
    platform.stop().await;
}
