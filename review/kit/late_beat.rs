//! Case: a heartbeat that the store carries out late brings back a replica that has left.

use std::{
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use crate::{
    client,
    fleet::{plain_configuration, Fleet, KEY},
    record,
    replica::{Replica, Seen, Size},
    Verdict,
};

/// Clients, a third of them at each instance, with one charge after the other.
const CLIENTS: usize = 12;
const SIZE: Size = Size {
    slots: 6,
    queue: 24,
    work_ms: 15,
};
/// `platform_lost`, `late`: how long it lasts here, and when the unanswered write is done.
const LOST_FOR: Duration = Duration::from_millis(1_500);
const DONE_AFTER: Duration = Duration::from_millis(5_800);
/// `stableWindowMs`, `drainMs`.
const STABLE: Duration = Duration::from_millis(3_000);
const DRAIN_MS: u64 = 2_000;
/// The removal is acknowledged this long after the store is stable again.
const LEAVES_AFTER: Duration = Duration::from_millis(300);
/// For how long the replica goes on serving after it has left: "at times many seconds".
const SERVES_ON: Duration = Duration::from_millis(3_500);
/// Three heartbeat intervals of silence, after which an entry is removed.
const SILENCE: Duration = Duration::from_millis(3_600);

pub fn play(has_trouble: bool) -> Verdict {
    match run(has_trouble) {
        Ok(verdict) => verdict,
        Err(error) => Verdict::NotRun(error),
    }
}

fn run(has_trouble: bool) -> Result<Verdict, String> {
    let fleet = Fleet::start(&plain_configuration(), 1)?;
    let seen = Arc::new(Seen::default());
    let mut replicas = Vec::new();
    for zone in 0..3 {
        let listener = fleet.replica_listener(zone, 1)?;
        let id = format!("i-7f3a91c{zone}");
        replicas.push(Replica::start(
            &fleet.store,
            listener,
            &id,
            zone,
            SIZE,
            &seen,
        ));
    }
    fleet.wait_ready(Duration::from_secs(30))?;
    thread::sleep(Duration::from_millis(4_000));
    let is_over = Arc::new(AtomicBool::new(false));
    let counts: Arc<[AtomicU64; 3]> = Arc::default();
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let instance = &fleet.instances[client % 3];
            let (is_over, counts, lost, frontend) = (
                Arc::clone(&is_over),
                Arc::clone(&counts),
                Arc::clone(&lost),
                instance.frontend,
            );
            thread::spawn(move || {
                for number in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("charge-{client}-{number:04}");
                    let outcome = client::send(
                        frontend,
                        "POST",
                        "/charge/",
                        &id,
                        KEY,
                        1_500,
                        "{\"amount\":1}",
                    );
                    let kind = match outcome.status() {
                        200 => 0,
                        429 | 503 => 1,
                        _ => {
                            lost.lock()
                                .unwrap()
                                .push(format!("{id}: {}", outcome.text()));
                            2
                        }
                    };
                    counts[kind].fetch_add(1, Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(5));
                }
            })
        })
        .collect();
    let leaving = Arc::clone(&replicas[0]);
    record::line(&format!("the replica that will leave is {}", leaving.id));
    thread::sleep(Duration::from_millis(500));
    if has_trouble {
        record::line("platform_lost (late) begins: a heartbeat of the replica gets no answer, and is done later");
        let (store, id, document) = (
            Arc::clone(&fleet.store),
            leaving.id.clone(),
            leaving.next_beat(),
        );
        thread::spawn(move || {
            thread::sleep(DONE_AFTER);
            store.put("keyed.servers", &id, &document);
            record::line(&format!(
                "the store carries out the unanswered heartbeat of {id}: {document}"
            ));
            thread::sleep(SILENCE);
            store.put("keyed.servers", &id, "");
            record::line(&format!(
                "the entry of {id} is removed after three intervals of silence"
            ));
        });
    }
    thread::sleep(LOST_FOR);
    record::line("platform_lost is over");
    thread::sleep(STABLE + LEAVES_AFTER);
    leaving.leave_silently(&fleet.store);
    let left_at = record::now();
    record::line(&format!(
        "the removal of the entry of {} is acknowledged; it goes on serving",
        leaving.id
    ));
    thread::sleep(SERVES_ON);
    record::line(&format!("{} ends", leaving.id));
    leaving.crash();
    thread::sleep(Duration::from_millis(3_000));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let runs = seen.runs.lock().unwrap();
    let mut late: Vec<(u64, &String)> = runs
        .iter()
        .flat_map(|(attempt, runs)| runs.iter().map(move |(at, id)| (*at, id, attempt)))
        .filter(|(at, id, _)| **id == leaving.id && *at > left_at + DRAIN_MS)
        .map(|(at, _, attempt)| (at, attempt))
        .collect();
    late.sort();
    for (at, attempt) in late.iter() {
        record::line(&format!(
            "FAULT {attempt} ran at {} {} ms after its leaving was acknowledged",
            leaving.id,
            at - left_at
        ));
    }
    for attempt in lost.lock().unwrap().iter() {
        record::line(&format!("LOST {attempt}"));
    }
    let count = |kind: usize| counts[kind].load(Ordering::SeqCst);
    record::line(&format!(
        "charges served {}, refused {}, lost {}",
        count(0),
        count(1),
        count(2)
    ));
    if count(0) < 100 {
        return Ok(Verdict::NotRun("the charges were not served".to_string()));
    }
    if late.is_empty() {
        return Ok(Verdict::Held(format!(
            "{} charges served, {} lost, none reached the replica later than {DRAIN_MS} ms",
            count(0),
            count(2)
        )));
    }
    let last = late.last().map_or(0, |(at, _)| at - left_at);
    Ok(Verdict::Broken(format!("{} charges ran at the replica later than {DRAIN_MS} ms after its leaving was acknowledged, the last one {last} ms; {} charges lost", late.len(), count(2))))
}
