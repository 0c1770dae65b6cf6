//! Entries of other writers among the registrations of endpoints, before the real program.

mod support;

use std::{sync::atomic::Ordering, time::Duration};

use bluebell_adapter::registrations::TOPIC;
use bluebell_platform_standin::raw::{RawRequest, exchange};
use bluebell_soak::fleet::{EndpointSlot, HOST, SoakFleet, organisation_key};
use serde_json::{Value, json};

use crate::support::{PATIENCE, build, kill_all, start_all};

const INSTANCES: usize = 2;
/// More entries than fit on a page of the store's list, and fewer than fit on two.
const ENTRIES: usize = 600;
/// How many requests in a row have to be served.
const SERVED: usize = 20;

fn put(fleet: &SoakFleet, id: &str, value: &[u8]) {
    fleet.store.put(TOPIC, id, value);
}

/// A registration of a replica at a port that nothing listens on, with `changes`.
fn registration(changes: &Value) -> Vec<u8> {
    let mut document = json!({
        "service": "till", "address": "127.0.0.1:1", "zone": "se-a", "version": "v1",
        "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 7,
    });
    let changes = changes.as_object().expect("it is an object").clone();
    document
        .as_object_mut()
        .expect("it is an object")
        .extend(changes);
    document.to_string().into_bytes()
}

async fn answer(fleet: &SoakFleet, instance: usize, attempt: String) -> String {
    let request = RawRequest {
        method: "GET",
        host: HOST,
        path: format!("/stock/{attempt}"),
        attempt,
        key: organisation_key(0),
        deadline_ms: 1_500,
        prompt_part: None,
        resumes: None,
    };
    exchange(fleet.instances[instance].callers, &request, |_| {}).await
}

/// Waits until each instance serves a number of requests in a row.
async fn wait_until_served(fleet: &SoakFleet, when: &str) {
    let served = async {
        for instance in 0..INSTANCES {
            let (mut in_a_row, mut number) = (0, 0);
            while in_a_row < SERVED {
                number += 1;
                let attempt = format!("{when}-{instance}-{number}");
                let answer = answer(fleet, instance, attempt).await;
                in_a_row = match answer.starts_with("HTTP/1.1 200") {
                    true => in_a_row + 1,
                    false => 0,
                };
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    };
    let served = tokio::time::timeout(PATIENCE, served).await;
    served.unwrap_or_else(|_| panic!("{when}: requests are not served"));
}

/// Checks that no process has ended by itself.
async fn check_running(fleet: &SoakFleet) {
    for slot in &fleet.instances {
        let mut process = slot.process.lock().await;
        let end = process.as_mut().and_then(|process| process.own_end());
        assert!(end.is_none(), "{} ended: {end:?}", slot.name);
        assert_eq!(slot.starts.load(Ordering::SeqCst), 1);
    }
}

fn tills(fleet: &SoakFleet) -> Vec<&EndpointSlot> {
    let slots = fleet.endpoints.iter();
    slots.filter(|slot| slot.plan.service == "till").collect()
}

async fn withdraw(slot: &EndpointSlot) {
    slot.current().1.withdraw();
}

/// Guards against instances that never know all registrations, and are never ready: a page of the list
/// ends at a key with characters that mean something in a query.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_page_that_ends_at_an_odd_key_is_followed_by_the_next_one() {
    for (number, mark) in ["&", "#", "+", "%41", " ", "é"].into_iter().enumerate() {
        let seed = 150 + number as u64;
        let (fleet, folder, stop) = build("odd-entries", seed, INSTANCES).await;
        for entry in 0..ENTRIES {
            put(&fleet, &format!("0{mark}{entry:04}"), b"{}");
        }
        start_all(&fleet).await;
        wait_until_served(&fleet, "odd-keys").await;
        kill_all(&fleet).await;
        stop.cancel();
        std::fs::remove_dir_all(&folder).expect("the folder was written");
    }
}

/// Guards against processes that end, or no longer follow the list, because of an entry that can't be
/// read, or whose numbers are too large.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_entries_neither_end_processes_nor_keep_them_from_following_the_list() {
    let (fleet, folder, stop) = build("odd-entries", 157, INSTANCES).await;
    start_all(&fleet).await;
    wait_until_served(&fleet, "before").await;
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let odd = [
        nested.into_bytes(),
        registration(&json!({ "address": "127.0.0.1:70000" })),
        registration(&json!({ "sequence": 1e300 })),
        registration(&json!({ "slots": 1_u64 << 40 })),
        registration(&json!({ "slots": u32::MAX })),
        registration(&json!({ "slots": u32::MAX, "address": "127.0.0.1:2" })),
        registration(&json!({ "coldRemainingMs": 1e308, "leaves_ms": 1e308 })),
        registration(&json!({ "born": u64::MAX, "sequence": u64::MAX })),
        registration(&json!({ "state": "odd", "service": 7 })),
        vec![0xff, 0xfe, 0x00],
    ];
    for (number, value) in odd.iter().enumerate() {
        put(&fleet, &format!("odd-{number}"), value);
    }
    wait_until_served(&fleet, "odd-values").await;
    // A replica that joins later is used, also once the others have left.
    let tills = tills(&fleet);
    fleet.restart_endpoint(tills[0], true).await;
    for slot in &tills[1..] {
        withdraw(slot).await;
    }
    for number in 0..odd.len() {
        put(&fleet, &format!("odd-{number}"), b"");
    }
    wait_until_served(&fleet, "after").await;
    check_running(&fleet).await;
    kill_all(&fleet).await;
    stop.cancel();
    std::fs::remove_dir_all(&folder).expect("the folder was written");
}

/// Guards against a replica that is not used any more, because an entry of another writer under its id
/// names a start or a number that no later entry can exceed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_from_the_far_future_does_not_replace_an_endpoint_for_good() {
    let far = [
        json!({ "born": u64::MAX }),
        json!({ "born": 1, "sequence": u64::MAX }),
    ];
    for (number, changes) in far.into_iter().enumerate() {
        let seed = 158 + number as u64;
        let (fleet, folder, stop) = build("odd-entries", seed, INSTANCES).await;
        let tills = tills(&fleet);
        for slot in &tills[1..] {
            withdraw(slot).await;
        }
        start_all(&fleet).await;
        wait_until_served(&fleet, "before").await;
        let (id, _) = tills[0].current();
        put(&fleet, &id, &registration(&changes));
        // The replica writes its own entry twice as often.
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        wait_until_served(&fleet, "after").await;
        check_running(&fleet).await;
        kill_all(&fleet).await;
        stop.cancel();
        std::fs::remove_dir_all(&folder).expect("the folder was written");
    }
}
