//! Case: a request that crashes replicas is stopped, and reaches them again after each start of
//! all entry processes.

use std::{
    sync::{Arc, Mutex},
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
/// `stableWindowMs`.
const STABLE_MS: u64 = 3_000;
/// How often all entry processes are killed at the same moment (`herd_kill` on core).
const KILLS: usize = 3;
const DOWN: Duration = Duration::from_millis(500);
/// What `BUDGET` allows after the third crash.
const ALLOWED_RETRIES: usize = 3;
const PATH: &str = "/stock/deadly";

pub fn play(has_trouble: bool) -> Verdict {
    match run(has_trouble) {
        Ok(verdict) => verdict,
        Err(error) => Verdict::NotRun(error),
    }
}

/// Starts crashed replicas again, under new ids.
fn keep_up(fleet: &Arc<Fleet>, seen: &Arc<Seen>) -> Result<(), String> {
    let replicas: Mutex<Vec<Arc<Replica>>> = Mutex::default();
    for zone in 0..3 {
        let replica = start(fleet, seen, zone, 0)?;
        replicas.lock().unwrap().push(replica);
    }
    let (fleet, seen) = (Arc::clone(fleet), Arc::clone(seen));
    thread::spawn(move || {
        for number in 1_u8.. {
            thread::sleep(Duration::from_millis(100));
            let mut replicas = replicas.lock().unwrap();
            for zone in 0..replicas.len() {
                if !replicas[zone].is_dead() {
                    continue;
                }
                thread::sleep(BACK_AFTER);
                if let Ok(replica) = start(&fleet, &seen, zone, number) {
                    record::line(&format!(
                        "{} is the new incarnation of {}",
                        replica.id, replicas[zone].id
                    ));
                    replicas[zone] = replica;
                }
            }
        }
    });
    Ok(())
}

fn start(fleet: &Fleet, seen: &Arc<Seen>, zone: usize, number: u8) -> Result<Arc<Replica>, String> {
    let listener = fleet.replica_listener(zone, 1)?;
    let id = format!("i-{:04x}{zone}{number:03x}", 0x7f3a);
    Ok(Replica::start(
        &fleet.store,
        listener,
        &id,
        zone,
        SIZE,
        seen,
    ))
}

fn run(has_trouble: bool) -> Result<Verdict, String> {
    let fleet = Arc::new(Fleet::start(&plain_configuration(), 1)?);
    let seen = Arc::new(Seen::default());
    keep_up(&fleet, &seen)?;
    fleet.wait_ready(Duration::from_secs(30))?;
    thread::sleep(PAUSE);
    let mut attempt = 0;
    let mut others = 0;
    for round in 0..=KILLS {
        if round > 0 && has_trouble {
            fleet.kill_and_restart(DOWN)?;
            fleet.wait_ready(Duration::from_secs(20))?;
        }
        // From now on no process is killed: after this pause all machines are in touch.
        thread::sleep(PAUSE);
        for _ in 0..3 {
            let instance = &fleet.instances[attempt % 3];
            let id = format!("deadly-{attempt:02}");
            record::line(&format!("client sends {id} {PATH} to {}", instance.name));
            let outcome = client::send(instance.frontend, "GET", PATH, &id, KEY, 1_500, "");
            record::line(&format!("client gets for {id}: {}", outcome.text()));
            let id = format!("other-{attempt:02}");
            let other = client::send(
                instance.frontend,
                "GET",
                "/stock/blanks",
                &id,
                KEY,
                1_500,
                "",
            );
            record::line(&format!(
                "client gets for {id} /stock/blanks: {}",
                other.text()
            ));
            others += usize::from(other.status() == 200);
            attempt += 1;
            thread::sleep(PAUSE);
        }
    }
    let arrivals = seen.deadly.lock().unwrap();
    let third = arrivals.get(2).map(|(at, ..)| *at);
    let late = third.map_or(0, |third| {
        arrivals
            .iter()
            .filter(|(at, ..)| *at > third + STABLE_MS + 500)
            .count()
    });
    record::line(&format!("replicas got the request {} time(s), {late} of them later than {STABLE_MS} ms after the third crash", arrivals.len()));
    if others == 0 {
        return Ok(Verdict::NotRun("nothing was served".to_string()));
    }
    let text = format!("the request reached replicas {} time(s), {late} of them later than {STABLE_MS} ms after the third crash ({ALLOWED_RETRIES} are allowed)", arrivals.len());
    Ok(match late > ALLOWED_RETRIES {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    })
}
