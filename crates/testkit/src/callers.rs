//! Callers of a fleet under test, and the histories that they leave.

use bluebell_core::clock::ClockSource;
use bluebell_load::caller::{self, ChatAnswer, ChatAsk, ChatEnd};
use tokio::task::JoinHandle;

use crate::{histories::callers::CallerRecord, wait};

/// Sends `ask` and records what came back.
pub async fn record(clock: &ClockSource, http: &reqwest::Client, ask: ChatAsk) -> CallerRecord {
    let at = clock.now();
    let answer = caller::send(http, &ask).await;
    CallerRecord { at, ask, answer }
}

/// Sends all of `asks` at once, each as a task of its own.
pub fn record_all(clock: &ClockSource, asks: Vec<ChatAsk>) -> JoinHandle<Vec<CallerRecord>> {
    let http = reqwest::Client::new();
    let clock = clock.clone();
    tokio::spawn(async move {
        let calls = asks.into_iter().map(|ask| record(&clock, &http, ask));
        futures::future::join_all(calls).await
    })
}

/// Asks until an answer comes whole: the entry has then learnt of the key, the
/// service and an endpoint.
pub async fn first_answer(ask: &ChatAsk) -> anyhow::Result<ChatAnswer> {
    let http = reqwest::Client::new();
    wait::until("a whole chat answer", || async {
        let answer = caller::send(&http, ask).await;
        matches!(answer.end, ChatEnd::Whole { .. }).then_some(answer)
    })
    .await
}
