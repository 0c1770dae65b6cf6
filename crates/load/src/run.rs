//! Sending a plan's requests when they are due.

use std::{
    sync::{Arc, Mutex},
    time::Instant,
};

use bluebell_core::units::TokenCount;
use tokio::task::JoinSet;

use crate::{
    arrivals::{LoadArrival, LoadCall, arrivals},
    caller::{self, ChatAsk},
    plain,
    plan::{LoadPlan, OrganisationMix},
    report::{LoadReport, OrganisationStats},
};

/// The most output tokens of an answer; the prompts ask for less.
const MAX_TOKENS: TokenCount = TokenCount::new(4_096);

/// Sends all requests of `plan` and waits for all answers.
pub async fn run(plan: &LoadPlan) -> LoadReport {
    let arrivals = arrivals(plan, plan.entries.len());
    let http = reqwest::Client::new();
    let stats = Arc::new(Mutex::new(vec![
        OrganisationStats::default();
        plan.organisations.len()
    ]));
    let shared = Arc::new(plan.clone());
    let start = Instant::now();
    let mut calls = JoinSet::new();
    for arrival in arrivals {
        tokio::time::sleep_until((start + arrival.at).into()).await;
        calls.spawn(send(shared.clone(), http.clone(), arrival, stats.clone()));
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
    let took = start.elapsed();
    let stats = stats.lock().expect("no call panics").clone();
    let names = plan.organisations.iter().map(|mix| mix.name.clone());
    let named: Vec<(String, OrganisationStats)> = names.zip(stats).collect();
    LoadReport::new(plan.seed, took, &named)
}

async fn send(
    plan: Arc<LoadPlan>,
    http: reqwest::Client,
    arrival: LoadArrival,
    stats: Arc<Mutex<Vec<OrganisationStats>>>,
) {
    let mix = &plan.organisations[arrival.organisation];
    let entry = &plan.entries[arrival.entry];
    match &arrival.call {
        LoadCall::Chat { .. } => {
            let ask = chat_ask(&plan, mix, entry, &arrival.call);
            let answer = caller::send(&http, &ask).await;
            let mut stats = stats.lock().expect("no call panics");
            stats[arrival.organisation].add_chat(&ask, &answer, plan.first_token_deadline);
        }
        LoadCall::Plain { body } => {
            let Some(target) = &plan.plain else { return };
            let url = format!(
                "http://{entry}/v1/services/{}{}",
                target.service, target.path
            );
            let patience = plan.patience.as_duration();
            let outcome = plain::send(&http, &url, &mix.key, body, patience).await;
            let mut stats = stats.lock().expect("no call panics");
            stats[arrival.organisation].add_plain(&outcome, plan.first_token_deadline);
        }
    }
}

fn chat_ask(plan: &LoadPlan, mix: &OrganisationMix, entry: &str, call: &LoadCall) -> ChatAsk {
    let mut ask = ChatAsk::new(entry, &mix.key, &plan.service, "");
    ask.max_tokens = MAX_TOKENS;
    ask.deadline = Some(plan.first_token_deadline.as_duration());
    ask.patience = plan.patience.as_duration();
    if let LoadCall::Chat {
        content,
        priority,
        cancel_after,
    } = call
    {
        ask.content = content.clone();
        ask.priority = *priority;
        ask.cancel_after = *cancel_after;
    }
    ask
}
