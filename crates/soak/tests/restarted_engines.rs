//! Streams that are taken up while engines come back under their ids as another version and the
//! instances do not reach the store.

mod support;

use std::{sync::atomic::Ordering, time::Duration};

use bluebell_platform_standin::endpoint::{EVENTS, EndpointFaults};
use bluebell_soak::{fleet::SoakFleet, proxy::PathMode};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::support::{
    BrokenStream, PATIENCE, StreamNaming, begin_stream, build, engines, kill, kill_all,
    set_first_start, start_all, take_up_all,
};

const INSTANCES: usize = 8;
/// Where streams begin.
const FIRST: usize = 0;
/// Where they are taken up.
const TAKING_UP: usize = 2;
const STREAMS: usize = 24;
/// The additional time of each event: streams run until their instance is killed.
const SLOW_MS: u64 = 250;
/// How long instances run before anything happens: they know by then which versions there were.
const SETTLING: Duration = Duration::from_secs(4);

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

/// Guards against streams that go on at another version at engines that restarted under their ids,
/// while the store resets the calls of all instances.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_do_not_go_on_at_engines_that_came_back_as_another_version() {
    let (fleet, folder, stop) = build("restarted-engines", 251, INSTANCES).await;
    set_first_start(&fleet, &folder);
    start_all(&fleet).await;
    for slot in engines(&fleet) {
        slot.current().1.set_faults(EndpointFaults {
            slow_ms: SLOW_MS,
            ..EndpointFaults::default()
        });
    }
    tokio::time::sleep(SETTLING).await;
    let broken = break_streams(&fleet).await;
    for slot in &fleet.instances {
        slot.store.set_mode(PathMode::Resets);
    }
    for slot in engines(&fleet).filter(|slot| slot.plan.domain != "se-a") {
        slot.version.store(2, Ordering::SeqCst);
        fleet.restart_endpoint(slot, false).await;
    }
    let resumed = take_up_all(&fleet, &broken, StreamNaming::Attempt, |_| TAKING_UP).await;
    println!("{resumed:?}, logs are in {}", folder.display());
    assert!(resumed.gone_on > 0, "{resumed:?}");
    assert_eq!(resumed.mixed, 0, "{resumed:?}");
    kill_all(&fleet).await;
    stop.cancel();
    std::fs::remove_dir_all(folder).expect("the folder was written");
}
