//! Streams that callers take up after all instances were killed at the same moment.

mod support;

use std::{sync::atomic::Ordering, time::Duration};

use bluebell_platform_standin::endpoint::{EVENTS, EndpointFaults};
use bluebell_soak::fleet::SoakFleet;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::support::{
    BrokenStream, PATIENCE, ResumedStreams, StreamNaming, begin_stream, build, engines, kill_all,
    start_all, take_up_all,
};

const INSTANCES: usize = 6;
const STREAMS: usize = 24;
/// How many streams may hold events of two versions.
const MAX_MIXED: usize = 2;
/// The additional time of each event: streams run while the instances are killed.
const SLOW_MS: u64 = 250;

/// Begins streams at all instances, and kills the instances while the streams run.
async fn break_streams(fleet: &SoakFleet, earlier: EarlierVersion) -> Vec<BrokenStream> {
    let mut streams = JoinSet::new();
    let mut begun = Vec::new();
    for number in 0..STREAMS {
        let attempt = format!("stream-{number}");
        let address = fleet.instances[number % INSTANCES].callers;
        let has_begun = CancellationToken::new();
        begun.push(has_begun.clone());
        streams.spawn(begin_stream(address, attempt, move || has_begun.cancel()));
    }
    for has_begun in begun {
        let waited = tokio::time::timeout(PATIENCE, has_begun.cancelled()).await;
        waited.expect("a stream did not begin");
    }
    if earlier == EarlierVersion::Leaves {
        let first = engines(fleet).filter(|slot| slot.plan.domain != "se-c");
        first.for_each(|slot| slot.current().1.withdraw());
    }
    tokio::time::sleep(Duration::from_millis(2 * SLOW_MS)).await;
    kill_all(fleet).await;
    let mut broken = Vec::new();
    while let Some(stream) = streams.join_next().await {
        broken.push(stream.expect("it does not panic"));
    }
    broken.retain(|stream| stream.last_event() < EVENTS);
    broken
}

/// What happens to the endpoints of the first version before all instances are killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EarlierVersion {
    Stays,
    /// Their registrations are removed; they go on serving.
    Leaves,
}

/// Has a second version serve beside the first one, kills all instances while streams run, and
/// takes these up.
async fn kill_and_take_up(
    seed: u64,
    earlier: EarlierVersion,
    naming: StreamNaming,
) -> ResumedStreams {
    let (fleet, folder, stop) = build("whole-fleet", seed, INSTANCES).await;
    start_all(&fleet).await;
    for slot in engines(&fleet).filter(|slot| slot.plan.domain == "se-c") {
        slot.version.store(2, Ordering::SeqCst);
        fleet.restart_endpoint(slot, false).await;
    }
    for slot in engines(&fleet) {
        slot.current().1.set_faults(EndpointFaults {
            slow_ms: SLOW_MS,
            ..EndpointFaults::default()
        });
    }
    // Until all instances have read the registrations.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let broken = break_streams(&fleet, earlier).await;
    start_all(&fleet).await;
    let resumed = take_up_all(&fleet, &broken, naming, |number| (number + 1) % INSTANCES).await;
    kill_all(&fleet).await;
    stop.cancel();
    println!("{resumed:?}, logs are in {}", folder.display());
    assert!(resumed.count * 2 >= STREAMS, "{resumed:?}");
    assert!(resumed.mixed <= MAX_MIXED, "{resumed:?}");
    std::fs::remove_dir_all(&folder).expect("the folder was written");
    resumed
}

/// Guards against streams that don't go on, or change their version, because the records of where
/// they began were lost with all processes while two versions serve.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_go_on_at_their_version_after_all_instances_were_killed() {
    let resumed = kill_and_take_up(241, EarlierVersion::Stays, StreamNaming::Attempt).await;
    assert!(resumed.whole * 2 >= resumed.count, "{resumed:?}");
}

/// Guards against streams that don't go on after that because their callers do not name them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_without_a_name_go_on_after_all_instances_were_killed() {
    let resumed = kill_and_take_up(243, EarlierVersion::Stays, StreamNaming::Request).await;
    assert!(resumed.whole * 2 >= resumed.count, "{resumed:?}");
}

/// Guards against streams that are joined from two versions because the endpoints of the one that
/// began them have left before all processes are killed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_of_a_version_that_has_left_are_not_joined_with_another() {
    kill_and_take_up(242, EarlierVersion::Leaves, StreamNaming::Attempt).await;
}

/// Guards against the same if callers do not name their streams.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_without_a_name_of_a_version_that_has_left_are_not_joined_with_another() {
    kill_and_take_up(244, EarlierVersion::Leaves, StreamNaming::Request).await;
}
