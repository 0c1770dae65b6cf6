//! Streams that are taken up at an instance that is out of step with the others.

mod support;

use std::{sync::atomic::Ordering, time::Duration};

use bluebell_platform_standin::endpoint::{EVENTS, EndpointFaults};
use bluebell_soak::{fleet::SoakFleet, proxy::PathMode};
use rustix::process::Signal;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::support::{
    BrokenStream, PATIENCE, begin_stream, build, engines, kill, kill_all, set_first_start, signal,
    start_all, take_up_all,
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

fn slow_engines(fleet: &SoakFleet) {
    for slot in engines(fleet) {
        slot.current().1.set_faults(EndpointFaults {
            slow_ms: SLOW_MS,
            ..EndpointFaults::default()
        });
    }
}

/// Begins streams at the first instance, and kills it while they run.
async fn break_streams(fleet: &SoakFleet) -> Vec<BrokenStream> {
    let address = fleet.instances[FIRST].callers;
    let mut streams = JoinSet::new();
    let mut begun_or_ended = Vec::new();
    for number in 0..STREAMS {
        let has_begun = CancellationToken::new();
        begun_or_ended.push(has_begun.clone());
        streams.spawn(async move {
            let begun = has_begun.clone();
            let _ended = has_begun.drop_guard();
            begin_stream(address, format!("stream-{number}"), move || begun.cancel()).await
        });
    }
    for settled in begun_or_ended {
        let waited = tokio::time::timeout(PATIENCE, settled.cancelled()).await;
        waited.expect("a stream neither began nor ended");
    }
    kill(fleet, FIRST..FIRST + 1).await;
    let mut broken = Vec::new();
    while let Some(stream) = streams.join_next().await {
        broken.push(stream.expect("it does not panic"));
    }
    broken.retain(|stream| (1..EVENTS).contains(&stream.last_event()));
    broken
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

/// Guards against streams that change their version at an instance whose view of the registrations is
/// from before another version joined, while no other instance answers it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_out_of_step_does_not_join_streams_of_two_versions() {
    let (fleet, folder, stop) = build("out-of-step", 248, INSTANCES).await;
    set_first_start(&fleet, &folder);
    start_all(&fleet).await;
    slow_engines(&fleet);
    tokio::time::sleep(SETTLING).await;
    fleet.instances[TAKING_UP].store.set_mode(PathMode::Silent);
    suspend_others(&fleet).await;
    for slot in engines(&fleet).filter(|slot| slot.plan.domain != "se-a") {
        slot.version.store(2, Ordering::SeqCst);
        fleet.restart_endpoint(slot, true).await;
    }
    slow_engines(&fleet);
    // The first instance reads the registrations twice a second.
    tokio::time::sleep(Duration::from_millis(700)).await;
    let broken = break_streams(&fleet).await;
    let resumed = take_up_all(&fleet, &broken, |_| TAKING_UP).await;
    println!("{resumed:?}, logs are in {}", folder.display());
    assert!(resumed.begun_at.contains("v2"), "{resumed:?}");
    assert!(resumed.mixed <= MAX_MIXED, "{resumed:?}");
    end(&fleet, &folder, &stop).await;
}

/// Guards against streams that are refused although it is certain where they began: only one version
/// is registered, which the instance where they are taken up reads from the store, and no other
/// instance answers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_that_only_reads_the_store_goes_on_with_streams_of_the_only_version() {
    let (fleet, folder, stop) = build("out-of-step", 249, INSTANCES).await;
    set_first_start(&fleet, &folder);
    start_all(&fleet).await;
    slow_engines(&fleet);
    tokio::time::sleep(SETTLING).await;
    suspend_others(&fleet).await;
    let broken = break_streams(&fleet).await;
    let resumed = take_up_all(&fleet, &broken, |_| TAKING_UP).await;
    println!("{resumed:?}, logs are in {}", folder.display());
    assert_eq!(resumed.mixed, 0, "{resumed:?}");
    assert_eq!(resumed.gone_on, resumed.count, "{resumed:?}");
    end(&fleet, &folder, &stop).await;
}
