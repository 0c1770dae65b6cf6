//! How many requests an entry starts follows how fast engines answer.

mod support;

use bluebell_core::clock::TimeSpan;
use bluebell_platform::api::EndpointKind;
use support::{
    TestBed,
    endpoint::{FakeEndpoint, Step, whole_answer},
    eventually, listing,
};

/// First tokens come late because engines hold more than they can work on. If the
/// entry went on starting as many requests as ever, they would wait in the engines,
/// and a shopper's short question would wait behind a flood there.
#[tokio::test]
async fn late_first_tokens_let_fewer_requests_start() {
    let engine = FakeEndpoint::start(|seen| {
        let mut steps = vec![Step::Gate];
        steps.extend(whole_answer(&seen.generate(), 2));
        steps
    })
    .await;
    let bed = TestBed::with_settings(|settings| {
        settings.traffic.admission.start_target = TimeSpan::from_millis(1);
    })
    .await;
    let address = engine.address.to_string();
    bed.list(vec![listing("engine-1", EndpointKind::Engine, &address)])
        .await;
    let mut asked = 0;
    eventually(async || {
        asked += 1;
        let request = tokio::spawn(bed.chat(false, &format!("question {asked}")).send());
        eventually(async || engine.seen("/generate").len() >= asked).await;
        engine.gate.add_permits(1);
        assert_eq!(request.await.unwrap().unwrap().status(), 200);
        let dump = bed.http.get(bed.url("/dump")).send().await.unwrap();
        let dump: serde_json::Value = dump.json().await.unwrap();
        let pools = dump["pools"].as_array().unwrap().iter();
        pools
            .filter(|pool| pool["pool"]["model"] == "m1")
            .any(|pool| pool["window"].as_u64() < pool["slots"].as_u64())
    })
    .await;
}
