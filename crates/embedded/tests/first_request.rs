//! What a newcomer does first: start the fleet and send the greeting's requests.

use std::path::{Path, PathBuf};

use bluebell_core::clock::{ClockSource, TimeSpan};
use bluebell_embedded::{EmbeddedFleet, FleetLayout, SampleUser};
use reqwest::StatusCode;

/// How long a test waits until the entries have heard of the endpoints.
const PATIENCE: TimeSpan = TimeSpan::from_secs(60);

fn layout(user: SampleUser) -> FleetLayout {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let samples: PathBuf = root.join(user.samples());
    FleetLayout {
        samples,
        engines: 3,
        ..FleetLayout::new(user)
    }
}

async fn ask(fleet: &EmbeddedFleet, key: &str, service: &str) -> reqwest::Response {
    let url = format!("http://{}/v1/chat/completions", fleet.entries[0]);
    let body = serde_json::json!({
        "model": service,
        "stream": true,
        "max_tokens": 4,
        "messages": [{ "role": "user", "content": "Hello, kiosk" }],
    });
    let request = reqwest::Client::new()
        .post(url)
        .bearer_auth(key)
        .json(&body);
    request.send().await.expect("the entry answers")
}

/// Asks until the entry knows of an endpoint, which it learns from a list.
async fn ask_until_served(fleet: &EmbeddedFleet, key: &str, service: &str) -> String {
    let clock = ClockSource::new();
    let give_up = clock.now() + PATIENCE;
    loop {
        let answer = ask(fleet, key, service).await;
        if answer.status() == StatusCode::OK {
            return answer.text().await.expect("the stream ends");
        }
        let text = answer.text().await.expect("the refusal is whole");
        assert!(clock.now() < give_up, "still refused: {text}");
        tokio::time::sleep(TimeSpan::from_millis(100).as_duration()).await;
    }
}

async fn serves_a_stranger(user: SampleUser) {
    let fleet = bluebell_embedded::start(&layout(user))
        .await
        .expect("the fleet starts");
    assert!(fleet.in_force);
    let [organisation, service, _] = user.greeting_names();
    let text = ask_until_served(&fleet, &format!("sample-key-{organisation}"), service).await;
    assert!(text.contains("data: [DONE]"), "{text}");
    let refused = ask(&fleet, "sample-key-nobody", service).await;
    assert_eq!(refused.status(), StatusCode::UNAUTHORIZED);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_magnolia_sample_serves_a_streamed_answer() {
    serves_a_stranger(SampleUser::Magnolia).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_formosa_sample_serves_a_streamed_answer() {
    serves_a_stranger(SampleUser::Formosa).await;
}
