//! One soak from its start to its report.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::PathBuf,
    sync::Arc,
    time::Duration,
};

use bluebell_core::ids::FailureDomain;
use serde::Serialize;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::{
    caller::{CallerTally, SoakCaller, StreamNaming},
    fleet::{ADDED_ROUTES, FleetSize, MOVABLE_ROUTES, ORGANISATIONS, ROUTES, SoakFleet},
    inject,
    processes::{start_process, stop_process},
    promises::{BrokenPromise, Promise},
    refusals, rests,
    schedule::{self, ScheduleSize, ScheduledFault},
};

/// How long the system may take to serve everybody, at first and after the faults.
/// Generous, as the machine may be busy: it tells "again" from "never".
const PATIENCE: Duration = Duration::from_secs(40);
/// How many requests of each kind a failure domain is to be served then.
const SERVED_AGAIN: u64 = 5;
/// How often what is awaited is looked at.
pub const LOOK: Duration = Duration::from_millis(200);
/// How often attempts that two endpoints work on are looked at.
const OVERLAP_LOOK: Duration = Duration::from_millis(50);
/// What a narrow path to the store carries in a ms, in bytes.
const NARROW_RATE: u64 = 800;

/// What a soak is to be.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// What the schedule is drawn from.
    pub seed: u64,
    /// How long faults come, in ms.
    pub span_ms: u64,
    /// Callers in each failure domain.
    pub callers: usize,
    /// Whether the configuration grows, endpoints are withdrawn without notice, and
    /// every other instance has a narrow path to the store.
    pub is_growing: bool,
    /// Whether endpoints are replaced by other software versions, under streams that callers
    /// take up.
    pub has_versions: bool,
    /// Whether routes and keys are added, changed and dropped while callers use them.
    pub is_changing: bool,
    /// Whether endpoints leave in series while readers of the store fail.
    pub is_leaving: bool,
    /// Whether a part of prompts crashes endpoints, and endpoints ask for rest.
    pub is_crashing: bool,
    /// Whether endpoints are full in series, refuse a second time, and misstate that requests ran.
    pub is_refusing: bool,
    /// Whether callers take streams up without naming them, and some send the same requests.
    pub is_unnamed: bool,
    /// Whether endpoints answer a share of streams with neither length nor chunks, and end during
    /// some of these.
    pub is_unframed: bool,
    /// The entry program.
    pub program: PathBuf,
    /// How large.
    pub size: FleetSize,
}

impl SoakPlan {
    /// Whether and how callers take streams up.
    fn naming(&self) -> Option<StreamNaming> {
        match (self.is_unnamed, self.has_versions) {
            (true, _) => Some(StreamNaming::Unnamed),
            (false, true) => Some(StreamNaming::Named),
            (false, false) => None,
        }
    }
}

/// What came of a soak.
#[derive(Debug, Serialize)]
pub struct SoakReport {
    /// The seed.
    pub seed: u64,
    /// How streams fared that can be resumed.
    pub streams: String,
    /// How requests for added routes and with added keys fared.
    pub changes: String,
    /// How rests and crashes under a part went.
    pub notices: String,
    /// How often requests reached endpoints beyond the first time.
    pub retries: String,
    /// What was injected.
    pub faults: Vec<ScheduledFault>,
    /// How callers fared.
    pub tally: CallerTally,
    /// What was broken.
    pub broken: Vec<BrokenPromise>,
}

/// Plays a soak.
pub async fn play(plan: &SoakPlan) -> anyhow::Result<SoakReport> {
    let stop = CancellationToken::new();
    let _stopped = stop.clone().drop_guard();
    let program = plan.program.clone();
    let mut fleet = SoakFleet::build(plan.seed, program, &plan.size, &stop).await?;
    if plan.is_unframed {
        fleet.leave_unframed();
    }
    let fleet = Arc::new(fleet);
    if plan.is_growing {
        for slot in fleet.instances.iter().skip(1).step_by(2) {
            slot.store.set_rate(NARROW_RATE);
        }
    }
    for slot in &fleet.instances {
        fleet.checker.disturb(slot.name.as_str(), false);
        *slot.process.lock().await = Some(slot.start(&fleet.program)?);
        fleet.checker.settle(slot.name.as_str(), false);
    }
    let mut tasks = JoinSet::new();
    start_around(&fleet, plan, &stop, &mut tasks);
    wait_until_served(&fleet, "at first").await;
    let size = schedule_size(&fleet, plan);
    let mut faults = schedule::draw(plan.seed, size);
    if plan.is_growing {
        faults = schedule::merge(faults, schedule::draw_growth(plan.seed, size));
    }
    if plan.has_versions {
        faults = schedule::merge(faults, schedule::draw_versions(plan.seed, size));
    }
    if plan.is_leaving {
        faults = schedule::merge(faults, schedule::draw_leavings(plan.seed, size));
    }
    if plan.is_crashing {
        faults = schedule::merge(faults, rests::draw(plan.seed, size));
    }
    if plan.is_refusing {
        faults = schedule::merge(faults, refusals::draw(plan.seed, size));
    }
    if plan.is_changing {
        faults = schedule::merge(faults, schedule::draw_changes(plan.seed, size));
    }
    inject::inject(&fleet, &faults).await;
    inject::heal(&fleet);
    wait_until_served(&fleet, "after the faults").await;
    wait_until_ready(&fleet).await;
    stop_all(&fleet).await;
    stop.cancel();
    while tasks.join_next().await.is_some() {}
    let streams = fleet.checker.check_streams();
    let identical = fleet.identical.lock().expect("held briefly").count();
    Ok(SoakReport {
        seed: plan.seed,
        streams: format!("identical={identical} {streams}"),
        changes: fleet.checker.changes().to_string(),
        notices: fleet.checker.notices(),
        retries: fleet.checker.retries(),
        faults,
        tally: sum(&fleet),
        broken: fleet.checker.broken(),
    })
}

fn schedule_size(fleet: &SoakFleet, plan: &SoakPlan) -> ScheduleSize {
    ScheduleSize {
        instances: fleet.instances.len(),
        endpoints: fleet.endpoints.len(),
        organisations: ORGANISATIONS,
        routes: MOVABLE_ROUTES,
        added_routes: ADDED_ROUTES.len(),
        span_ms: plan.span_ms,
    }
}

/// Callers, the balancer's questions, and the watch over the processes.
fn start_around(
    fleet: &Arc<SoakFleet>,
    plan: &SoakPlan,
    stop: &CancellationToken,
    tasks: &mut JoinSet<()>,
) {
    for number in 0..fleet.instances.len() {
        let (fleet, stop) = (Arc::clone(fleet), stop.clone());
        tasks.spawn(async move {
            fleet.rotation.ask(&fleet.instances[number], &stop).await;
        });
    }
    let domains: Vec<FailureDomain> = domains(fleet).into_iter().collect();
    for number in 0..plan.callers * domains.len() {
        let domain = domains[number % domains.len()].clone();
        let caller = SoakCaller::new(Arc::clone(fleet), domain, number)
            .with_taking_up(plan.naming())
            .with_added(plan.is_changing)
            .with_crashing(plan.is_crashing);
        tasks.spawn(caller.call(stop.clone()));
    }
    if plan.is_crashing || plan.is_unframed {
        let (fleet, stop) = (Arc::clone(fleet), stop.clone());
        tasks.spawn(async move { inject::revive_endpoints(&fleet, &stop).await });
    }
    let (watched, watch_stop) = (Arc::clone(fleet), stop.clone());
    tasks.spawn(async move { watch_processes(&watched, &watch_stop).await });
    let (fleet, stop) = (Arc::clone(fleet), stop.clone());
    tasks.spawn(async move {
        while !stop.is_cancelled() {
            fleet.checker.check_overlaps();
            stop.run_until_cancelled(tokio::time::sleep(OVERLAP_LOOK))
                .await;
        }
    });
}

fn domains(fleet: &SoakFleet) -> BTreeSet<FailureDomain> {
    let domains = fleet.instances.iter().map(|slot| slot.domain.clone());
    domains.collect()
}

/// Processes must not end by themselves; one that does starts again.
async fn watch_processes(fleet: &SoakFleet, stop: &CancellationToken) {
    while !stop.is_cancelled() {
        for slot in &fleet.instances {
            let mut process = slot.process.lock().await;
            let Some(end) = process.as_mut().and_then(|process| process.own_end()) else {
                continue;
            };
            let detail = format!("instance={} status={end}", slot.name);
            fleet.checker.broke(Promise::NoOwnEnd, detail);
            start_process(fleet, slot, &mut process);
        }
        stop.run_until_cancelled(tokio::time::sleep(LOOK)).await;
    }
}

fn served(fleet: &SoakFleet) -> BTreeMap<(FailureDomain, &'static str), u64> {
    let tallies = fleet.tallies.lock().expect("held briefly");
    let served = tallies
        .iter()
        .map(|(key, tally)| (key.clone(), tally.served));
    served.collect()
}

/// Waits until each kind of request was served in each failure domain.
async fn wait_until_served(fleet: &SoakFleet, when: &str) {
    let before = served(fleet);
    let domains = domains(fleet);
    let give_up = tokio::time::Instant::now() + PATIENCE;
    loop {
        let now = served(fleet);
        let mut missing = Vec::new();
        for domain in &domains {
            for route in &ROUTES {
                let key = (domain.clone(), route.prefix);
                let count = |served: &BTreeMap<_, u64>| served.get(&key).copied().unwrap_or(0);
                if count(&now) < count(&before) + SERVED_AGAIN {
                    missing.push(format!("{}{}", key.0, key.1));
                }
            }
        }
        if missing.is_empty() {
            return;
        }
        if tokio::time::Instant::now() >= give_up {
            let detail = format!("{when} missing={}", missing.join(","));
            return fleet.checker.broke(Promise::ServesAgain, detail);
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Waits until each instance takes new connections: the others of its failure domain
/// may serve its callers while it does not.
async fn wait_until_ready(fleet: &SoakFleet) {
    let give_up = tokio::time::Instant::now() + PATIENCE;
    loop {
        let slots = fleet.instances.iter();
        let missing = slots.filter(|slot| !fleet.rotation.has(&slot.name));
        let missing: Vec<&str> = missing.map(|slot| slot.name.as_str()).collect();
        if missing.is_empty() {
            return;
        }
        if tokio::time::Instant::now() >= give_up {
            let detail = format!("not_ready={}", missing.join(","));
            return fleet.checker.broke(Promise::ReadyAgain, detail);
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Stops all instances one after the other while callers go on.
async fn stop_all(fleet: &Arc<SoakFleet>) {
    let mut stopping = JoinSet::new();
    for number in 0..fleet.instances.len() {
        let fleet = Arc::clone(fleet);
        stopping.spawn(async move {
            stop_process(&fleet, &fleet.instances[number], false).await;
        });
        tokio::time::sleep(LOOK).await;
    }
    while stopping.join_next().await.is_some() {}
}

fn sum(fleet: &SoakFleet) -> CallerTally {
    let tallies = fleet.tallies.lock().expect("held briefly");
    let mut sum = CallerTally::default();
    for tally in tallies.values() {
        sum.served += tally.served;
        sum.refused += tally.refused;
        sum.failed += tally.failed;
    }
    sum
}
