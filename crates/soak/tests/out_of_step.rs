//! Streams that are taken up at an instance that is out of step with the others.

mod support;

use std::{sync::atomic::Ordering, time::Duration};

use bluebell_soak::{fleet::SoakFleet, proxy::PathMode};
use rustix::process::Signal;
use tokio_util::sync::CancellationToken;

use crate::support::{
    BrokenStream, StreamNaming, break_streams, build, engines, kill_all, set_first_start, signal,
    slow_engines, start_all, take_up_all,
};

const INSTANCES: usize = 8;
/// Where streams begin: the first instance of its failure domain, which reads the store.
const FIRST: usize = 0;
/// Where they are taken up: it reads the store as well.
const TAKING_UP: usize = 2;
const STREAMS: usize = 24;
/// How many streams may hold events of two versions.
const MAX_MIXED: usize = 2;
/// The additional time of each event: streams run until their instance is killed.
const SLOW_MS: u64 = 250;
/// How long instances run before anything happens: they know by then which versions there were.
const SETTLING: Duration = Duration::from_secs(4);

/// Begins streams at the first instance, and kills it while they run.
async fn break_all(fleet: &SoakFleet) -> Vec<BrokenStream> {
    let attempts = (0..STREAMS).map(|number| format!("stream-{number}"));
    break_streams(fleet, FIRST, attempts.collect()).await
}

/// Suspends all instances but the one where streams begin and the one where they are taken up.
async fn suspend_others(fleet: &SoakFleet) {
    signal(fleet, FIRST + 1..TAKING_UP, Signal::STOP).await;
    signal(fleet, TAKING_UP + 1..INSTANCES, Signal::STOP).await;
}

async fn end(fleet: &SoakFleet, folder: &std::path::Path, stop: &CancellationToken) {
    kill_all(fleet).await;
    stop.cancel();
    std::fs::remove_dir_all(folder).expect("the folder was written");
}

/// Takes streams of a second version up at an instance that has not read its registrations, while no
/// other one answers it.
async fn take_up_out_of_step(seed: u64, naming: StreamNaming) {
    let (fleet, folder, stop) = build("out-of-step", seed, INSTANCES).await;
    set_first_start(&fleet, &folder);
    start_all(&fleet).await;
    slow_engines(&fleet, SLOW_MS);
    tokio::time::sleep(SETTLING).await;
    fleet.instances[TAKING_UP].store.set_mode(PathMode::Silent);
    suspend_others(&fleet).await;
    for slot in engines(&fleet).filter(|slot| slot.plan.domain != "se-a") {
        slot.version.store(2, Ordering::SeqCst);
        fleet.restart_endpoint(slot, true).await;
    }
    slow_engines(&fleet, SLOW_MS);
    // The first instance reads the registrations twice a second.
    tokio::time::sleep(Duration::from_millis(700)).await;
    let broken = break_all(&fleet).await;
    let resumed = take_up_all(&fleet, &broken, naming, |_| TAKING_UP).await;
    println!("{resumed:?}, logs are in {}", folder.display());
    assert!(resumed.begun_at.contains("v2"), "{resumed:?}");
    assert!(resumed.mixed <= MAX_MIXED, "{resumed:?}");
    end(&fleet, &folder, &stop).await;
}

/// Guards against streams that change their version at an instance whose view of the registrations is
/// from before another version joined, while no other instance answers it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_out_of_step_does_not_join_streams_of_two_versions() {
    take_up_out_of_step(248, StreamNaming::Attempt).await;
}

/// Guards against streams that change their version at such an instance because their callers do not
/// name them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_out_of_step_does_not_join_streams_without_a_name() {
    take_up_out_of_step(250, StreamNaming::Request).await;
}

/// Takes streams of the only version up at an instance that reads it from the store, while no other one
/// answers.
async fn take_up_only_version(seed: u64, naming: StreamNaming) {
    let (fleet, folder, stop) = build("out-of-step", seed, INSTANCES).await;
    set_first_start(&fleet, &folder);
    start_all(&fleet).await;
    slow_engines(&fleet, SLOW_MS);
    tokio::time::sleep(SETTLING).await;
    suspend_others(&fleet).await;
    let broken = break_all(&fleet).await;
    let resumed = take_up_all(&fleet, &broken, naming, |_| TAKING_UP).await;
    println!("{resumed:?}, logs are in {}", folder.display());
    assert_eq!(resumed.mixed, 0, "{resumed:?}");
    assert_eq!(resumed.gone_on, resumed.count, "{resumed:?}");
    end(&fleet, &folder, &stop).await;
}

/// Guards against streams that are refused although it is certain where they began: only one version
/// is registered, which the instance where they are taken up reads from the store, and no other
/// instance answers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_that_only_reads_the_store_goes_on_with_streams_of_the_only_version() {
    take_up_only_version(249, StreamNaming::Attempt).await;
}

/// Guards against the same if their callers do not name them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_that_only_reads_the_store_goes_on_with_streams_without_a_name() {
    take_up_only_version(251, StreamNaming::Request).await;
}
