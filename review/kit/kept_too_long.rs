//! Case: an instance that was cut off from the store keeps a replica that has left for longer than
//! until it is in touch again.

use std::{
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc,
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

const CLIENTS: usize = 12;
const SIZE: Size = Size {
    slots: 6,
    queue: 24,
    work_ms: 15,
};
/// `core_cut`: one instance is partitioned from the store.
const CUT_FOR: Duration = Duration::from_millis(6_000);
/// When the replica leaves, from the start of the cut.
const LEAVES_AFTER: Duration = Duration::from_millis(4_000);
/// `stableWindowMs`, and for how long a request may be on its way.
const STABLE_MS: u64 = 3_000;
const MARGIN_MS: u64 = 40;
/// `drainMs`.
const DRAIN_MS: u64 = 2_000;
/// For how long the replica serves after the cut has healed.
const SERVES_ON: Duration = Duration::from_millis(4_000);
const CALM: Duration = Duration::from_millis(1_500);
const ROUNDS: u32 = 8;

pub fn play(has_trouble: bool) -> Verdict {
    match run(has_trouble) {
        Ok(verdict) => verdict,
        Err(error) => Verdict::NotRun(error),
    }
}

fn run(has_trouble: bool) -> Result<Verdict, String> {
    let fleet = Fleet::start(&plain_configuration(), 1)?;
    let seen = Arc::new(Seen::default());
    let start = |zone: usize, number: u32| -> Result<Arc<Replica>, String> {
        let listener = fleet.replica_listener(zone, 1)?;
        let id = format!("i-7f3a{zone}{number:03x}");
        Ok(Replica::start(
            &fleet.store,
            listener,
            &id,
            zone,
            SIZE,
            &seen,
        ))
    };
    let mut replicas = (0..3)
        .map(|zone| start(zone, 0))
        .collect::<Result<Vec<_>, _>>()?;
    fleet.wait_ready(Duration::from_secs(30))?;
    thread::sleep(Duration::from_millis(4_000));
    let is_over = Arc::new(AtomicBool::new(false));
    let served: Arc<AtomicU64> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (is_over, served, frontend) = (
                Arc::clone(&is_over),
                Arc::clone(&served),
                fleet.instances[0].frontend,
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
                    served.fetch_add(u64::from(outcome.status() == 200), Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(3));
                }
            })
        })
        .collect();
    let mut late = Vec::new();
    for round in 1..=ROUNDS {
        if has_trouble {
            record::line(&format!(
                "core_cut: {} is partitioned from the store",
                fleet.instances[0].name
            ));
            fleet.proxy.cut();
        }
        thread::sleep(LEAVES_AFTER);
        let leaving = replicas.remove(0);
        leaving.leave_silently(&fleet.store);
        let left_at = record::now();
        record::line(&format!(
            "the removal of the entry of {} is acknowledged; it goes on serving",
            leaving.id
        ));
        thread::sleep(CUT_FOR - LEAVES_AFTER);
        fleet.proxy.heal();
        let healed_at = record::now();
        record::line("the cut has healed");
        replicas.push(start((round as usize - 1) % 3, round)?);
        thread::sleep(SERVES_ON);
        leaving.crash();
        record::line(&format!("{} ends", leaving.id));
        let from = (left_at + DRAIN_MS).max(healed_at + STABLE_MS) + MARGIN_MS;
        let runs = seen.runs.lock().unwrap();
        let times: Vec<u64> = runs
            .values()
            .flatten()
            .filter(|(at, id)| *id == leaving.id && *at > from)
            .map(|(at, _)| *at)
            .collect();
        let last = runs
            .values()
            .flatten()
            .filter(|(_, id)| *id == leaving.id)
            .map(|(at, _)| *at)
            .max()
            .unwrap_or(0);
        record::line(&format!(
            "{} got its last charge {} ms after its leaving was acknowledged, {} ms after the cut healed",
            leaving.id, last as i64 - left_at as i64, last as i64 - healed_at as i64,
        ));
        if !times.is_empty() {
            let text = format!("{} got {} charges from an instance in touch, the last one {} ms after its leaving was acknowledged and {} ms after the cut healed",
                leaving.id, times.len(), last - left_at, last - healed_at);
            record::line(&format!("FAULT {text}"));
            late.push(text);
        }
        drop(runs);
        thread::sleep(CALM);
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let served = served.load(Ordering::SeqCst);
    record::line(&format!("charges served {served}"));
    if served < 100 {
        return Ok(Verdict::NotRun("the charges were not served".to_string()));
    }
    Ok(match late.first() {
        None => Verdict::Held(format!("{served} charges served in {ROUNDS} cuts")),
        Some(first) => Verdict::Broken(format!("after {} of {ROUNDS} cuts; {first}", late.len())),
    })
}
