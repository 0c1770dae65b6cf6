//! Streams of two versions that callers take up without naming them.

mod support;

use std::{path::PathBuf, sync::atomic::Ordering, time::Duration};

use bluebell_soak::fleet::SoakFleet;
use tokio_util::sync::CancellationToken;

use crate::support::{
    StreamNaming, break_streams, build, engines, kill_all, set_first_start, slow_engines,
    start_all, take_up_all,
};

const INSTANCES: usize = 8;
/// Where streams begin.
const FIRST: usize = 0;
/// Where they are taken up.
const TAKING_UP: usize = 3;
const STREAMS: usize = 24;
/// The additional time of each event: streams run until their instance is killed.
const SLOW_MS: u64 = 250;
/// How long instances run until all of them have read the registrations.
const SETTLING: Duration = Duration::from_secs(3);

/// A fleet in which engines of two versions serve, which all instances have read.
async fn start_two_versions(seed: u64) -> (SoakFleet, PathBuf, CancellationToken) {
    let (fleet, folder, stop) = build("unnamed", seed, INSTANCES).await;
    set_first_start(&fleet, &folder);
    start_all(&fleet).await;
    for slot in engines(&fleet).filter(|slot| slot.plan.domain != "se-a") {
        slot.version.store(2, Ordering::SeqCst);
        fleet.restart_endpoint(slot, false).await;
    }
    slow_engines(&fleet, SLOW_MS);
    tokio::time::sleep(SETTLING).await;
    (fleet, folder, stop)
}

async fn end(fleet: &SoakFleet, folder: PathBuf, stop: &CancellationToken) {
    kill_all(fleet).await;
    stop.cancel();
    std::fs::remove_dir_all(folder).expect("the folder was written");
}

/// Guards against streams that are refused, or go on at another version, because their callers do not
/// name them while several versions serve.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_without_a_name_go_on_at_the_version_that_began_them() {
    let (fleet, folder, stop) = start_two_versions(261).await;
    let attempts = (0..STREAMS).map(|number| format!("stream-{number}"));
    let broken = break_streams(&fleet, FIRST, attempts.collect()).await;
    let resumed = take_up_all(&fleet, &broken, StreamNaming::Request, |_| TAKING_UP).await;
    println!("{resumed:?}, logs are in {}", folder.display());
    assert!(resumed.count * 2 >= STREAMS, "{resumed:?}");
    assert_eq!(resumed.begun_at.len(), 2, "{resumed:?}");
    assert_eq!(resumed.mixed, 0, "{resumed:?}");
    assert!(resumed.gone_on * 2 >= resumed.count, "{resumed:?}");
    end(&fleet, folder, &stop).await;
}
