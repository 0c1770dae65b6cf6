//! The processes of the instances: starting, signalling and stopping them.

use std::{sync::atomic::Ordering, time::Duration};

use rustix::process::Signal;

use crate::{
    fleet::{BOUNDS, InstanceSlot, SoakFleet},
    inject::disturbed,
    process::EntryProcess,
    promises::Promise,
    run::LOOK,
};

/// How much longer than it may a process is given to stop.
const STOP_SLACK: Duration = Duration::from_secs(2);

/// Signals the process of an instance, if there is one.
pub async fn signal(slot: &InstanceSlot, signal: Signal) {
    if let Some(process) = slot.process.lock().await.as_mut() {
        process.signal(signal);
    }
}

/// Kills the processes of instances and starts them again later.
pub async fn kill(fleet: &SoakFleet, instances: &[usize], down_ms: u64) {
    for number in instances {
        let slot = &fleet.instances[*number];
        fleet.checker.disturb(slot.name.as_str(), false);
        // The lock is held until the process has released its addresses.
        let mut process = slot.process.lock().await;
        if let Some(mut killed) = process.take() {
            killed.signal(Signal::KILL);
            reap(fleet, slot, &mut killed).await;
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

/// Starts a process in its slot.
pub fn start_process(fleet: &SoakFleet, slot: &InstanceSlot, process: &mut Option<EntryProcess>) {
    match slot.start(&fleet.program) {
        Ok(started) => *process = Some(started),
        Err(error) => {
            let detail = format!("instance={} error={error:#}", slot.name);
            fleet.checker.broke(Promise::NoOwnEnd, detail);
        }
    }
}

async fn start_if_down(fleet: &SoakFleet, slot: &InstanceSlot) {
    let mut process = slot.process.lock().await;
    if process.is_none() {
        start_process(fleet, slot, &mut process);
    }
}

/// Asks a process to stop and waits for its end; one that doesn't is killed.
pub async fn stop_process(fleet: &SoakFleet, slot: &InstanceSlot, starts_again: bool) {
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

/// Stops the process of an instance for a while.
pub async fn pause(fleet: &SoakFleet, slot: &InstanceSlot, span_ms: u64) {
    let paused = slot.starts.load(Ordering::SeqCst);
    signal(slot, Signal::STOP).await;
    disturbed(fleet, slot.name.as_str(), span_ms).await;
    if slot.starts.load(Ordering::SeqCst) == paused {
        signal(slot, Signal::CONT).await;
    }
}
