//! Injects the faults of a schedule.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bluebell_adapter::{configuration, registrations};
use bluebell_platform_standin::{
    endpoint::EndpointFaults,
    store::{StoreFaults, StoreOutage},
};
use rustix::process::Signal;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::{
    fleet::{EndpointSlot, LAPSE, SoakFleet},
    processes::{kill, pause, signal, stop_process},
    promises::{STORE, store_path},
    proxy::PathMode,
    schedule::{EndpointTrouble, ScheduledFault, SoakFault, StoreTrouble},
};

/// How long an endpoint that announced its leaving goes on serving.
const DRAIN: Duration = Duration::from_millis(2_500);
/// How long an endpoint goes on serving after its registration was withdrawn: longer
/// than it may get new work.
const WITHDRAWN: Duration = Duration::from_millis(5_000);
/// The share of requests that a faulty endpoint treats badly.
const TROUBLED: f64 = 0.3;
/// The share of requests that a full endpoint refuses.
const MOSTLY: f64 = 0.7;
/// The share of its refusals that come twice.
const REPEATED: f64 = 0.5;
/// The share of writes that a losing store does not answer.
const LOST_WRITES: f64 = 0.4;
/// How much longer a slow endpoint takes, in ms.
const SLOW_MS: u64 = 300;
/// How often endpoints that crashed by themselves are started again.
const REVIVAL: Duration = Duration::from_millis(1_000);

/// Injects all faults at their times and waits until the last has passed.
pub async fn inject(fleet: &Arc<SoakFleet>, faults: &[ScheduledFault]) {
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
pub fn heal(fleet: &SoakFleet) {
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
        SoakFault::AddRoute { route } => fleet.add_route(route),
        SoakFault::DropRoute { route } => fleet.drop_route(route),
        SoakFault::AddOrganisation => fleet.add_organisation(),
        SoakFault::WithdrawAdded => fleet.withdraw_added(),
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
        SoakFault::EndpointReplaced {
            endpoint,
            version,
            has_new_id,
        } => replace_endpoint(fleet, &fleet.endpoints[endpoint], version, has_new_id).await,
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

/// Has an endpoint leave and one of another version take its place.
async fn replace_endpoint(fleet: &SoakFleet, slot: &EndpointSlot, version: u32, has_new_id: bool) {
    let (id, leaving) = slot.current();
    leaving.drain();
    fleet.checker.endpoint_left(&id);
    tokio::time::sleep(DRAIN).await;
    fleet.checker.disturb(&id, false);
    leaving.kill();
    slot.version.store(version, Ordering::SeqCst);
    fleet.restart_endpoint(slot, has_new_id).await;
    if has_new_id {
        leaving.lapse();
    } else {
        fleet.checker.settle(&id, false);
    }
}

/// Notes a disturbance for as long as it lasts.
pub async fn disturbed(fleet: &SoakFleet, what: &str, span_ms: u64) {
    fleet.checker.disturb(what, false);
    tokio::time::sleep(Duration::from_millis(span_ms)).await;
    fleet.checker.settle(what, false);
}

/// Starts endpoints again that crashed by themselves, under the ids that they had.
pub async fn revive_endpoints(fleet: &SoakFleet, stop: &CancellationToken) {
    while !stop.is_cancelled() {
        for slot in &fleet.endpoints {
            let (id, running) = slot.current();
            if running.has_crashed() && slot.current().0 == id {
                fleet.checker.disturb(&id, false);
                fleet.restart_endpoint(slot, false).await;
                fleet.checker.settle(&id, false);
            }
        }
        stop.run_until_cancelled(tokio::time::sleep(REVIVAL)).await;
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
        EndpointTrouble::Rests => faults.resting = TROUBLED,
        EndpointTrouble::Repeats => {
            faults.refused = MOSTLY;
            faults.repeated = REPEATED;
        }
        EndpointTrouble::Misstates => faults.misstated = TROUBLED,
    }
    faults
}
