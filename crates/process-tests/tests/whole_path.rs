//! From a caller through an entry to an endpoint and back.

use bluebell_load::{
    caller::ChatAsk,
    verdict::{AnswerVerdict, judge},
};
use bluebell_testkit::{
    callers::first_answer,
    control,
    fleet::{CHAT_SERVICE, FleetShape, PLAIN_SERVICE, TestFleet},
    histories::endpoints::no_key_seen,
    unlocks::unlock,
    wait,
};
use standin_service::{ServiceAnswer, history::ServiceHistory};

const KEY: &str = "key-of-acme";

async fn fleet() -> anyhow::Result<TestFleet> {
    let mut fleet = TestFleet::start(FleetShape::new()).await?;
    fleet.add_organisation("acme", KEY).await?;
    fleet.entries_ready().await?;
    Ok(fleet)
}

#[tokio::test]
async fn a_chat_answer_comes_back_whole() -> anyhow::Result<()> {
    let fleet = fleet().await?;
    let entry = fleet.entries[0].process.http();
    let mut ask = ChatAsk::new(entry, KEY, CHAT_SERVICE, "is my bank returned? len=30");
    let answer = first_answer(&ask).await?;
    assert_eq!(answer.tokens.len(), 30);
    assert_eq!(judge(&ask, &answer), AnswerVerdict::Right);
    assert!(answer.request.is_some());

    ask.stream = false;
    let answer = first_answer(&ask).await?;
    assert_eq!(judge(&ask, &answer), AnswerVerdict::Right);
    Ok(())
}

#[tokio::test]
async fn a_plain_call_comes_back() -> anyhow::Result<()> {
    let fleet = fleet().await?;
    let entry = fleet.entries[0].process.http();
    let url = format!("http://{entry}/v1/services/{PLAIN_SERVICE}/lookup/bank?id=7");
    let http = reqwest::Client::new();
    let answer = wait::until("a plain answer", || async {
        let call = http.post(&url).bearer_auth(KEY).body("which bay");
        let response = call.send().await.ok()?;
        response.json::<ServiceAnswer>().await.ok()
    })
    .await?;
    assert_eq!(answer.method, "POST");
    assert_eq!(answer.path, "/lookup/bank?id=7");
    assert_eq!(answer.body, "which bay");

    let service = fleet.services[0].process.http();
    let seen: ServiceHistory = control::history(service).await?;
    let headers = seen.executions[0].headers.concat();
    assert!(!headers.contains(KEY), "the key reached the endpoint");
    Ok(())
}

/// A key that turned up in a log line, a dump or an endpoint's request could be
/// read by whoever runs those, and used for the organisation's money.
#[tokio::test]
async fn no_key_is_seen_behind_the_entry() -> anyhow::Result<()> {
    let fleet = fleet().await?;
    let entry = fleet.entries[0].process.http();
    let ask = ChatAsk::new(entry, KEY, CHAT_SERVICE, "hello len=3");
    first_answer(&ask).await?;
    unlock(entry, KEY, Some("mark-1"), 1).await;
    unlock(entry, "a-wrong-key", Some("mark-2"), 1).await;
    let http = reqwest::Client::new();
    let mut texts = vec![fleet.logs()];
    let engine = fleet.engines[0].process.http();
    let service = fleet.services[0].process.http();
    for (address, path) in [
        (engine, "/control/history"),
        (service, "/control/history"),
        (fleet.platform.http(), "/control/history"),
        (entry, "/dump"),
        (entry, "/metrics"),
        (entry, "/explain?subject=acme"),
    ] {
        let response = http.get(format!("http://{address}{path}")).send().await?;
        texts.push(response.error_for_status()?.text().await?);
    }
    assert_eq!(no_key_seen(&[KEY, "a-wrong-key"], &texts), []);
    Ok(())
}
