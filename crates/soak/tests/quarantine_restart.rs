//! A request that crashes endpoints, and all instances that end at once.

mod support;

use std::{sync::Arc, time::Duration};

use bluebell_platform_standin::{
    endpoint::CRASHING_PART,
    raw::{RawRequest, exchange},
};
use bluebell_soak::{
    fleet::{HOST, SoakFleet, organisation_key},
    inject,
};

use crate::support::{PATIENCE, build, kill_all, start_all};

const INSTANCES: usize = 3;
/// How often the request comes again after all instances have started anew.
const REPEATS: usize = 6;

/// The same request as ever, as another attempt.
async fn send(fleet: &SoakFleet, number: usize) -> String {
    let request = RawRequest {
        method: "POST",
        host: HOST,
        path: "/chat/crashing".to_string(),
        attempt: format!("crashing-{number}"),
        key: organisation_key(0),
        deadline_ms: 2_000,
        prompt_part: Some(CRASHING_PART.to_string()),
        resumes: None,
    };
    let address = fleet.instances[number % INSTANCES].callers;
    exchange(address, &request, |_| {}).await
}

fn crashes(fleet: &SoakFleet) -> usize {
    let notices = fleet.checker.notices();
    let count = notices
        .split(' ')
        .find_map(|one| one.strip_prefix("crashes="));
    count
        .and_then(|text| text.parse().ok())
        .expect("it counts crashes")
}

/// Guards against requests that crash endpoints again after each restart of all instances, because the
/// quarantine ends with their processes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_quarantined_request_stays_quarantined_after_all_instances_were_killed() {
    let (fleet, folder, stop) = build("quarantine-restart", 161, INSTANCES).await;
    let fleet = Arc::new(fleet);
    let (revived, revival_stop) = (Arc::clone(&fleet), stop.clone());
    tokio::spawn(async move { inject::revive_endpoints(&revived, &revival_stop).await });
    start_all(&fleet).await;
    let mut number = 0;
    let quarantined = async {
        let mut refused_in_a_row = 0;
        while refused_in_a_row < INSTANCES {
            number += 1;
            let answer = send(&fleet, number).await;
            refused_in_a_row = match answer.contains("quarantined") {
                true => refused_in_a_row + 1,
                false => 0,
            };
            // Endpoints that crashed are back by then.
            tokio::time::sleep(Duration::from_millis(1_500)).await;
        }
    };
    let quarantined = tokio::time::timeout(PATIENCE, quarantined).await;
    quarantined.expect("the request is not quarantined everywhere");
    let before = crashes(&fleet);
    kill_all(&fleet).await;
    start_all(&fleet).await;
    for _ in 0..REPEATS {
        number += 1;
        send(&fleet, number).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let after = crashes(&fleet);
    println!("crashes: {before} before, {after} after");
    kill_all(&fleet).await;
    stop.cancel();
    assert_eq!(after, before, "logs are in {}", folder.display());
    std::fs::remove_dir_all(&folder).expect("the folder was written");
}
