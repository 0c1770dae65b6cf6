//! Case: a request that crashes replicas is never stopped where it crashes all that are left.

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

const SIZE: Size = Size {
    slots: 6,
    queue: 24,
    work_ms: 15,
};
/// A crashed replica is back after this time, as a new incarnation.
const BACK_AFTER: Duration = Duration::from_millis(2_000);
/// The pause between two attempts of the client, longer than `stableWindowMs`.
const PAUSE: Duration = Duration::from_millis(3_600);
const ATTEMPTS: usize = 10;
/// `stableWindowMs`.
const STABLE_MS: u64 = 3_000;
/// `drainMs`, and a little longer.
const DRAIN: Duration = Duration::from_millis(3_500);
/// What `BUDGET` allows after the third crash.
const ALLOWED_RETRIES: usize = 3;
/// The pause between two other requests at one instance: 31 a second at nine, as on the sheet.
const OTHERS_PAUSE: Duration = Duration::from_millis(270);
const PATH: &str = "/stock/deadly";

type Replicas = Arc<Mutex<Vec<Arc<Replica>>>>;

pub fn play(has_trouble: bool) -> Verdict {
    match run(has_trouble) {
        Ok(verdict) => verdict,
        Err(error) => Verdict::NotRun(error),
    }
}

fn start(
    fleet: &Fleet,
    seen: &Arc<Seen>,
    zone: usize,
    number: u32,
) -> Result<Arc<Replica>, String> {
    let listener = fleet.replica_listener(zone, 1)?;
    let id = format!("i-7f3a{zone}{number:03x}");
    Ok(Replica::start(
        &fleet.store,
        listener,
        &id,
        zone,
        SIZE,
        seen,
    ))
}

/// Starts crashed replicas again, under new ids.
fn keep_up(fleet: &Arc<Fleet>, seen: &Arc<Seen>, replicas: &Replicas) {
    let (fleet, seen, replicas) = (Arc::clone(fleet), Arc::clone(seen), Arc::clone(replicas));
    thread::spawn(move || {
        let mut crashed_at: [Option<u64>; 3] = [None; 3];
        for number in 1.. {
            thread::sleep(Duration::from_millis(20));
            let count = replicas.lock().unwrap().len();
            for zone in 0..count {
                let replica = Arc::clone(&replicas.lock().unwrap()[zone]);
                if !replica.is_dead() {
                    continue;
                }
                let at = *crashed_at[zone].get_or_insert(record::now());
                if record::now() - at < BACK_AFTER.as_millis() as u64 {
                    continue;
                }
                crashed_at[zone] = None;
                if let Ok(next) = start(&fleet, &seen, zone, number % 4_000) {
                    record::line(&format!(
                        "{} is the new incarnation of {}",
                        next.id, replica.id
                    ));
                    replicas.lock().unwrap()[zone] = next;
                }
            }
        }
    });
}

fn run(has_trouble: bool) -> Result<Verdict, String> {
    let fleet = Arc::new(Fleet::start(&plain_configuration(), 3)?);
    let seen = Arc::new(Seen::default());
    let replicas: Replicas = Arc::default();
    for zone in 0..3 {
        let replica = start(&fleet, &seen, zone, 0)?;
        replicas.lock().unwrap().push(replica);
    }
    fleet.wait_ready(Duration::from_secs(30))?;
    thread::sleep(PAUSE);
    if has_trouble {
        let leaving = replicas.lock().unwrap().pop().ok_or("no replica")?;
        record::line(&format!("scale_in: {} registers as draining", leaving.id));
        leaving.drain(&fleet.store);
        thread::sleep(DRAIN);
        leaving.leave_silently(&fleet.store);
        leaving.crash();
        record::line(&format!("{} has left; its entry is removed", leaving.id));
    }
    keep_up(&fleet, &seen, &replicas);
    thread::sleep(2 * PAUSE);
    let is_over = Arc::new(AtomicBool::new(false));
    let counts: Arc<[AtomicU64; 3]> = Arc::default();
    let clients: Vec<_> = (0..fleet.instances.len())
        .map(|client| {
            let (is_over, counts, frontend) = (
                Arc::clone(&is_over),
                Arc::clone(&counts),
                fleet.instances[client].frontend,
            );
            thread::spawn(move || {
                thread::sleep(OTHERS_PAUSE / 9 * client as u32);
                for number in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("other-{client}-{number:04}");
                    let outcome = client::send(
                        frontend,
                        "POST",
                        "/other/",
                        &id,
                        KEY,
                        1_500,
                        &format!("{{\"charge\":\"{id}\"}}"),
                    );
                    let kind = match outcome.status() {
                        200 => 0,
                        429 | 503 => 1,
                        _ => 2,
                    };
                    counts[kind].fetch_add(1, Ordering::SeqCst);
                    thread::sleep(OTHERS_PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_000));
    for attempt in 0..ATTEMPTS {
        let instance = &fleet.instances[(attempt * 4) % fleet.instances.len()];
        let id = format!("deadly-{attempt:02}");
        record::line(&format!("client sends {id} {PATH} to {}", instance.name));
        let outcome = client::send(instance.frontend, "GET", PATH, &id, KEY, 1_500, "");
        record::line(&format!("client gets for {id}: {}", outcome.text()));
        thread::sleep(PAUSE);
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let arrivals = seen.deadly.lock().unwrap();
    let third = arrivals.get(2).map(|(at, ..)| *at);
    let late = third.map_or(0, |third| {
        arrivals
            .iter()
            .filter(|(at, ..)| *at > third + STABLE_MS + 500)
            .count()
    });
    let count = |kind: usize| counts[kind].load(Ordering::SeqCst);
    record::line(&format!(
        "other requests (unsafe): served {}, refused {}, failed {}",
        count(0),
        count(1),
        count(2)
    ));
    if count(0) < 100 {
        return Ok(Verdict::NotRun("nothing was served".to_string()));
    }
    let text = format!(
        "the request reached replicas {} time(s), {late} of them later than {STABLE_MS} ms after the third crash \
         ({ALLOWED_RETRIES} are allowed); other requests: {} served, {} refused, {} failed",
        arrivals.len(), count(0), count(1), count(2),
    );
    record::line(&text);
    Ok(match late > ALLOWED_RETRIES {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    })
}
