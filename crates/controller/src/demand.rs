//! What arrives at all entries, which the plans of roles and of the fleet go by.
//!
//! Each entry tells at `GET /demand` what arrives there, as a list of
//! [`PoolDemand`]. A sum that leaves an entry out would look like falling demand
//! and take capacity away from callers, so there is no total before every live
//! entry has told.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::InstanceId,
    membership::{InstanceListing, InstanceProgram, InstanceState},
    records::DutyName,
    roles::PoolDemand,
    routing::RoutePool,
};
use bluebell_daemon::logs::LogLine;
use tokio_util::sync::CancellationToken;

use crate::context::DutyContext;

/// How often entries are asked.
const ASK_INTERVAL: TimeSpan = TimeSpan::from_secs(2);

/// How long what an entry told is taken to be so still.
const TOLD_LIMIT: TimeSpan = TimeSpan::from_secs(30);

#[derive(Clone, Debug)]
struct ToldDemand {
    at: ClockTime,
    pools: Vec<PoolDemand>,
}

#[derive(Debug, Default)]
struct BoardState {
    live: Vec<InstanceId>,
    told: BTreeMap<InstanceId, ToldDemand>,
}

/// What entries told; clones share it.
#[derive(Clone, Debug, Default)]
pub struct DemandBoard {
    state: Arc<Mutex<BoardState>>,
}

impl DemandBoard {
    /// Nobody has told anything yet.
    pub fn new() -> DemandBoard {
        DemandBoard::default()
    }

    /// Notes which entries are live.
    pub fn set_live(&self, live: Vec<InstanceId>) {
        let mut state = self.state.lock().expect("no holder panics");
        state.told.retain(|entry, _| live.contains(entry));
        state.live = live;
    }

    /// Notes what an entry told.
    pub fn tell(&self, now: ClockTime, entry: InstanceId, pools: Vec<PoolDemand>) {
        let mut state = self.state.lock().expect("no holder panics");
        state.told.insert(entry, ToldDemand { at: now, pools });
    }

    /// The sum over all live entries; none while any of them has not told lately.
    pub fn total(&self, now: ClockTime) -> Option<Vec<PoolDemand>> {
        let state = self.state.lock().expect("no holder panics");
        if state.live.is_empty() {
            return None;
        }
        let mut total: BTreeMap<RoutePool, PoolDemand> = BTreeMap::new();
        for entry in &state.live {
            let told = state.told.get(entry)?;
            if now.since(told.at) > TOLD_LIMIT {
                return None;
            }
            for demand in &told.pools {
                total
                    .entry(demand.pool.clone())
                    .and_modify(|sum| {
                        sum.short = sum.short.plus(demand.short);
                        sum.long = sum.long.plus(demand.long);
                    })
                    .or_insert_with(|| demand.clone());
            }
        }
        Some(total.into_values().collect())
    }
}

/// Asks the entries while a duty that plans is held here, until `token` is
/// cancelled.
pub async fn run(context: DutyContext, token: CancellationToken) {
    let client = reqwest::Client::builder()
        .pool_max_idle_per_host(0)
        .timeout(context.settings.orders.timeout.as_duration())
        .build()
        .expect("the client's settings are constant");
    while !token.is_cancelled() {
        if plans_here(&context) {
            ask_all(&context, &client).await;
        }
        tokio::select! {
            () = token.cancelled() => return,
            () = tokio::time::sleep(ASK_INTERVAL.as_duration()) => {}
        }
    }
}

fn plans_here(context: &DutyContext) -> bool {
    let plans = |duty: &DutyName| matches!(duty, DutyName::Fleet | DutyName::Engines(_));
    context.desk.grants().iter().any(|grant| plans(&grant.duty))
}

async fn ask_all(context: &DutyContext, client: &reqwest::Client) {
    let listings = match context.node.platform().instances().await {
        Ok(listings) => listings,
        Err(error) => {
            LogLine::new("instances_failed")
                .with("error", &error)
                .debug();
            return;
        }
    };
    let entries: Vec<InstanceListing> = listings
        .into_iter()
        .filter(|listing| {
            listing.program == InstanceProgram::Entry && listing.state == InstanceState::Live
        })
        .collect();
    let live = entries.iter().map(|listing| listing.instance.clone());
    context.demand.set_live(live.collect());
    let asked = entries.iter().map(|listing| ask(context, client, listing));
    futures::future::join_all(asked).await;
}

async fn ask(context: &DutyContext, client: &reqwest::Client, listing: &InstanceListing) {
    let url = format!("http://{}/demand", listing.http_address);
    let answer = async {
        client
            .get(url)
            .send()
            .await?
            .error_for_status()?
            .json()
            .await
    };
    match answer.await {
        Ok(pools) => {
            let entry = listing.instance.clone();
            context.demand.tell(context.now(), entry, pools);
        }
        Err(error) => LogLine::new("demand_not_told")
            .with("entry", &listing.instance)
            .with("error", &error)
            .debug(),
    }
}
