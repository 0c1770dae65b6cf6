//! One soak from its start to its report.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::PathBuf,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bluebell_adapter::{configuration, registrations};
use bluebell_core::ids::FailureDomain;
use bluebell_platform_standin::{
    endpoint::EndpointFaults,
    store::{StoreFaults, StoreOutage},
};
use rustix::process::Signal;
use serde::Serialize;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::{
    caller::{CallerTally, SoakCaller},
    fleet::{
        BOUNDS, EndpointSlot, FleetSize, InstanceSlot, MOVABLE_ROUTES, ORGANISATIONS, ROUTES,
        SoakFleet,
    },
    process::EntryProcess,
    promises::{BrokenPromise, Promise, STORE, store_path},
    proxy::PathMode,
    schedule::{self, EndpointTrouble, ScheduleSize, ScheduledFault, SoakFault, StoreTrouble},
};

/// How long the system may take to serve everybody, at first and after the faults.
/// Generous, as the machine may be busy: it tells "again" from "never".
const PATIENCE: Duration = Duration::from_secs(40);
/// How many requests of each kind a failure domain is to be served then.
const SERVED_AGAIN: u64 = 5;
/// How often what is awaited is looked at.
const LOOK: Duration = Duration::from_millis(200);
/// How long after an endpoint crashed its registration lapses.
const LAPSE: Duration = Duration::from_millis(3_600);
/// How long an endpoint that announced its leaving goes on serving.
const DRAIN: Duration = Duration::from_millis(2_500);
/// How much longer than it may a process is given to stop.
const STOP_SLACK: Duration = Duration::from_secs(2);
/// How long an endpoint goes on serving after its registration was withdrawn: longer
/// than it may get new work.
const WITHDRAWN: Duration = Duration::from_millis(5_000);
/// What a narrow path to the store carries in a ms, in bytes.
const NARROW_RATE: u64 = 800;
/// The share of requests that a faulty endpoint treats badly.
const TROUBLED: f64 = 0.3;
/// The share of writes that a losing store does not answer.
const LOST_WRITES: f64 = 0.4;
/// How much longer a slow endpoint takes, in ms.
const SLOW_MS: u64 = 300;

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
    /// The entry program.
    pub program: PathBuf,
    /// How large.
    pub size: FleetSize,
}

/// What came of a soak.
#[derive(Debug, Serialize)]
pub struct SoakReport {
    /// The seed.
    pub seed: u64,
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
    let fleet = SoakFleet::build(plan.seed, program, &plan.size, &stop).await?;
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
    inject(&fleet, &faults).await;
    heal(&fleet);
    wait_until_served(&fleet, "after the faults").await;
    wait_until_ready(&fleet).await;
    stop_all(&fleet).await;
    stop.cancel();
    while tasks.join_next().await.is_some() {}
    Ok(SoakReport {
        seed: plan.seed,
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
        let caller = SoakCaller::new(Arc::clone(fleet), domain, number);
        tasks.spawn(caller.call(stop.clone()));
    }
    let (fleet, stop) = (Arc::clone(fleet), stop.clone());
    tasks.spawn(async move { watch_processes(&fleet, &stop).await });
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

fn start_process(fleet: &SoakFleet, slot: &InstanceSlot, process: &mut Option<EntryProcess>) {
    match slot.start(&fleet.program) {
        Ok(started) => *process = Some(started),
        Err(error) => {
            let detail = format!("instance={} error={error:#}", slot.name);
            fleet.checker.broke(Promise::NoOwnEnd, detail);
        }
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

/// Injects all faults at their times and waits until the last has passed.
async fn inject(fleet: &Arc<SoakFleet>, faults: &[ScheduledFault]) {
    let start = tokio::time::Instant::now();
    let mut under_way = JoinSet::new();
    for scheduled in faults {
        tokio::time::sleep_until(start + Duration::from_millis(scheduled.at_ms)).await;
        let (fleet, fault) = (Arc::clone(fleet), scheduled.fault.clone());
        under_way.spawn(async move { inject_one(&fleet, fault).await });
    }
    while under_way.join_next().await.is_some() {}
}

/// Ends what outlasts the faults' own ends where two overlapped.
fn heal(fleet: &SoakFleet) {
    fleet.store.set_faults(StoreFaults::default());
    for slot in &fleet.instances {
        slot.store.set_mode(PathMode::Open);
    }
    for slot in &fleet.endpoints {
        slot.path.set_mode(PathMode::Open);
        slot.current().1.set_faults(EndpointFaults::default());
    }
}

async fn inject_one(fleet: &SoakFleet, fault: SoakFault) {
    match fault {
        SoakFault::Kill { instances, down_ms } => kill(fleet, &instances, down_ms).await,
        SoakFault::Stop { instance } => stop_process(fleet, &fleet.instances[instance], true).await,
        SoakFault::Pause { instance, span_ms } => {
            pause(fleet, &fleet.instances[instance], span_ms).await;
        }
        SoakFault::Hangup { instance } => {
            signal(&fleet.instances[instance], Signal::HUP).await;
        }
        SoakFault::StorePath {
            instance,
            mode,
            span_ms,
        } => {
            let slot = &fleet.instances[instance];
            let name = store_path(slot.name.as_str());
            slot.store.set_mode(mode);
            disturbed(fleet, &name, span_ms).await;
            slot.store.set_mode(PathMode::Open);
        }
        SoakFault::StoreConnections { instance } => {
            let slot = &fleet.instances[instance];
            slot.store.silence_open();
            disturbed(fleet, &store_path(slot.name.as_str()), 0).await;
        }
        SoakFault::Store { trouble, span_ms } => {
            fleet.store.set_faults(store_faults(trouble));
            disturbed(fleet, STORE, span_ms).await;
            fleet.store.set_faults(StoreFaults::default());
        }
        SoakFault::StoreForgets => {
            for topic in [configuration::TOPIC, registrations::TOPIC] {
                fleet.store.trim(topic);
            }
        }
        SoakFault::MoveRoute { route } => fleet.move_route(route),
        SoakFault::GrowConfiguration { routes } => fleet.grow(routes),
        SoakFault::Withdraw { organisation } => fleet.withdraw(organisation),
        fault => inject_at_endpoint(fleet, fault).await,
    }
}

async fn inject_at_endpoint(fleet: &SoakFleet, fault: SoakFault) {
    match fault {
        SoakFault::EndpointPath {
            endpoint,
            mode,
            span_ms,
        } => {
            let slot = &fleet.endpoints[endpoint];
            let id = slot.current().0;
            slot.path.set_mode(mode);
            disturbed(fleet, &id, span_ms).await;
            slot.path.set_mode(PathMode::Open);
        }
        SoakFault::EndpointConnections { endpoint } => {
            let slot = &fleet.endpoints[endpoint];
            slot.path.silence_open();
            disturbed(fleet, &slot.current().0, 0).await;
        }
        SoakFault::Endpoint {
            endpoint,
            trouble,
            span_ms,
        } => {
            let (id, running) = fleet.endpoints[endpoint].current();
            running.set_faults(endpoint_faults(trouble));
            disturbed(fleet, &id, span_ms).await;
            running.set_faults(EndpointFaults::default());
        }
        SoakFault::EndpointCrash { endpoint, down_ms } => {
            crash_endpoint(fleet, &fleet.endpoints[endpoint], down_ms).await;
        }
        SoakFault::EndpointLeaves { endpoint } => {
            let slot = &fleet.endpoints[endpoint];
            let (id, leaving) = slot.current();
            leaving.drain();
            fleet.checker.endpoint_left(&id);
            tokio::time::sleep(DRAIN).await;
            fleet.checker.disturb(&id, false);
            fleet.restart_endpoint(slot, true).await;
            leaving.kill();
            leaving.lapse();
        }
        SoakFault::EndpointWithdrawn { endpoint } => {
            let slot = &fleet.endpoints[endpoint];
            let (id, withdrawn) = slot.current();
            withdrawn.withdraw();
            fleet.checker.endpoint_left(&id);
            tokio::time::sleep(WITHDRAWN).await;
            fleet.checker.disturb(&id, false);
            if slot.current().0 == id {
                fleet.restart_endpoint(slot, true).await;
            }
            withdrawn.kill();
        }
        _ => {}
    }
}

/// Notes a disturbance for as long as it lasts.
async fn disturbed(fleet: &SoakFleet, what: &str, span_ms: u64) {
    fleet.checker.disturb(what, false);
    tokio::time::sleep(Duration::from_millis(span_ms)).await;
    fleet.checker.settle(what, false);
}

async fn signal(slot: &InstanceSlot, signal: Signal) {
    if let Some(process) = slot.process.lock().await.as_mut() {
        process.signal(signal);
    }
}

async fn kill(fleet: &SoakFleet, instances: &[usize], down_ms: u64) {
    for number in instances {
        let slot = &fleet.instances[*number];
        fleet.checker.disturb(slot.name.as_str(), false);
        let killed = slot.process.lock().await.take();
        if let Some(mut process) = killed {
            process.signal(Signal::KILL);
            reap(fleet, slot, &mut process).await;
        }
    }
    tokio::time::sleep(Duration::from_millis(down_ms)).await;
    for number in instances {
        let slot = &fleet.instances[*number];
        start_if_down(fleet, slot).await;
        fleet.checker.settle(slot.name.as_str(), false);
    }
}

async fn reap(fleet: &SoakFleet, slot: &InstanceSlot, process: &mut EntryProcess) {
    if let Err(error) = process.wait().await {
        let detail = format!("instance={} error={error}", slot.name);
        fleet.checker.broke(Promise::NoOwnEnd, detail);
    }
}

async fn start_if_down(fleet: &SoakFleet, slot: &InstanceSlot) {
    let mut process = slot.process.lock().await;
    if process.is_none() {
        start_process(fleet, slot, &mut process);
    }
}

/// Asks a process to stop and waits for its end; one that doesn't is killed.
async fn stop_process(fleet: &SoakFleet, slot: &InstanceSlot, starts_again: bool) {
    let asked = slot.starts.load(Ordering::SeqCst);
    let name = slot.name.as_str();
    fleet.checker.disturb(name, true);
    signal(slot, Signal::TERM).await;
    let give_up = Duration::from_secs(BOUNDS.grace_s) + STOP_SLACK;
    let give_up = tokio::time::Instant::now() + give_up;
    loop {
        let mut process = slot.process.lock().await;
        let is_other = slot.starts.load(Ordering::SeqCst) != asked;
        let Some(running) = process.as_mut().filter(|_| !is_other) else {
            break;
        };
        let ended = tokio::time::timeout(LOOK, running.wait()).await;
        if let Ok(end) = ended {
            let is_clean = end.is_ok_and(|status| status.success());
            if !is_clean && fleet.checker.is_calm(name) {
                let detail = format!("instance={name} did not stop cleanly");
                fleet.checker.broke(Promise::NoOwnEnd, detail);
            }
            *process = None;
            break;
        }
        if tokio::time::Instant::now() >= give_up {
            // A process that was paused meanwhile has had no time to stop.
            running.signal(Signal::KILL);
        }
    }
    if starts_again {
        start_if_down(fleet, slot).await;
    }
    fleet.checker.settle(name, true);
}

async fn pause(fleet: &SoakFleet, slot: &InstanceSlot, span_ms: u64) {
    let paused = slot.starts.load(Ordering::SeqCst);
    signal(slot, Signal::STOP).await;
    disturbed(fleet, slot.name.as_str(), span_ms).await;
    if slot.starts.load(Ordering::SeqCst) == paused {
        signal(slot, Signal::CONT).await;
    }
}

async fn crash_endpoint(fleet: &SoakFleet, slot: &EndpointSlot, down_ms: u64) {
    let (id, running) = slot.current();
    fleet.checker.disturb(&id, false);
    running.kill();
    let down = Duration::from_millis(down_ms);
    tokio::time::sleep(down.min(LAPSE)).await;
    if down >= LAPSE {
        running.lapse();
        tokio::time::sleep(down - LAPSE).await;
    }
    fleet.restart_endpoint(slot, down >= LAPSE).await;
    fleet.checker.settle(&id, false);
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

fn store_faults(trouble: StoreTrouble) -> StoreFaults {
    let mut faults = StoreFaults::default();
    match trouble {
        StoreTrouble::Refuses => faults.outage = Some(StoreOutage::Refuses),
        StoreTrouble::Resets => faults.outage = Some(StoreOutage::Resets),
        StoreTrouble::Silent => faults.outage = Some(StoreOutage::Silent),
        StoreTrouble::Slow(delay_ms) => faults.delay_ms = delay_ms,
        StoreTrouble::Loses => faults.lost = LOST_WRITES,
        StoreTrouble::Late => {
            faults.lost = LOST_WRITES;
            faults.is_deferred = true;
        }
    }
    faults
}

fn endpoint_faults(trouble: EndpointTrouble) -> EndpointFaults {
    let mut faults = EndpointFaults::default();
    match trouble {
        EndpointTrouble::Loses => faults.lost = TROUBLED,
        EndpointTrouble::Cuts => faults.truncated = TROUBLED,
        EndpointTrouble::Refuses => faults.refused = TROUBLED,
        EndpointTrouble::Slow => faults.slow_ms = SLOW_MS,
        EndpointTrouble::Silent => faults.unanswered = TROUBLED,
    }
    faults
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
