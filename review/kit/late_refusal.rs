//! Case: a refusal that comes a second time is taken for the answer to the next sending of the
//! same request on the same connection.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    client,
    fleet::{plain_configuration, Fleet, KEY},
    record,
    replica::{Habits, Replica, Seen, Size},
    Verdict,
};

/// One replica runs 6 requests at once and queues 4 more; each takes 15 ms.
const SIZE: Size = Size {
    slots: 6,
    queue: 4,
    work_ms: 15,
};
/// Lookups that come at the same time, at one instance.
const CLUMP: usize = 40;
/// The pause from one clump to the next.
const PERIOD: Duration = Duration::from_millis(200);
/// `garble`, `extra late`: three in a hundred answers, at two of three replicas, for 5 s.
const EXTRA_THOUSANDTHS: u64 = 30;
const GARBLED_REPLICAS: usize = 2;
const GARBLE_CLUMPS: usize = 24;
/// Clumps without it, before each time.
const CALM_CLUMPS: usize = 10;
/// How often it comes.
const GARBLES: usize = 8;

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
    thread::sleep(Duration::from_millis(3_000));
    let charges: Arc<Mutex<Vec<(String, u16, String)>>> = Arc::default();
    let (busy, quiet) = (fleet.instances[0].frontend, fleet.instances[1].frontend);
    let clumps = GARBLES * (CALM_CLUMPS + GARBLE_CLUMPS);
    for clump in 0..clumps {
        let phase = clump % (CALM_CLUMPS + GARBLE_CLUMPS);
        let is_garbled = has_trouble && phase >= CALM_CLUMPS;
        if has_trouble && (phase == 0 || phase == CALM_CLUMPS) {
            record::line(if is_garbled {
                "garble (extra late) begins at two replicas"
            } else {
                "no garble"
            });
            let extra_late = if is_garbled { EXTRA_THOUSANDTHS } else { 0 };
            for replica in replicas.iter().take(GARBLED_REPLICAS) {
                replica.set_habits(Habits { extra_late });
            }
        }
        for lookup in 0..CLUMP {
            thread::spawn(move || {
                let id = format!("l{clump:03}-{lookup:03}");
                client::send(busy, "GET", "/stock/blanks", &id, KEY, 4_000, "")
            });
        }
        let delay = Duration::from_millis(4 + 2 * (clump as u64 % 4));
        thread::sleep(delay);
        let charges = Arc::clone(&charges);
        thread::spawn(move || {
            let id = format!("charge-{clump:03}");
            record::line(&format!("client sends {id} (unsafe)"));
            let outcome =
                client::send(quiet, "POST", "/charge/", &id, KEY, 4_000, "{\"amount\":1}");
            record::line(&format!("client gets for {id}: {}", outcome.text()));
            charges
                .lock()
                .unwrap()
                .push((id, outcome.status(), outcome.text()));
        });
        thread::sleep(PERIOD - delay);
    }
    for replica in &replicas {
        replica.set_habits(Habits::default());
    }
    thread::sleep(Duration::from_millis(5_500));
    let runs = seen.runs.lock().unwrap();
    let charges = charges.lock().unwrap();
    let mut refused = Vec::new();
    let mut twice = Vec::new();
    let (mut served, mut truly_refused) = (0, 0);
    for (id, status, text) in charges.iter() {
        let count = runs.get(id).map_or(0, Vec::len);
        let is_refusal = [408, 421, 429, 503].contains(status);
        served += usize::from(*status == 200);
        truly_refused += usize::from(is_refusal && count == 0);
        if is_refusal && count > 0 {
            refused.push(format!("{id} answered {text} and ran {count} time(s)"));
        }
        if count > 1 {
            twice.push(format!("{id} ran {count} times"));
        }
    }
    let answers = seen.answers.load(std::sync::atomic::Ordering::SeqCst);
    let extras = seen.extras.load(std::sync::atomic::Ordering::SeqCst);
    record::line(&format!(
        "charges {}, served {served}, refused and not run {truly_refused}; answers of replicas {answers}, sent twice {extras}",
        charges.len(),
    ));
    for fault in refused.iter().chain(&twice) {
        record::line(&format!("FAULT {fault}"));
    }
    if served == 0 || charges.len() < clumps {
        return Ok(Verdict::NotRun("the charges were not served".to_string()));
    }
    if refused.is_empty() && twice.is_empty() {
        return Ok(Verdict::Held(format!(
            "{} charges, {served} served",
            charges.len()
        )));
    }
    Ok(Verdict::Broken(format!(
        "REFUSED {} time(s), TWICE {} time(s); {}",
        refused.len(),
        twice.len(),
        refused
            .iter()
            .chain(&twice)
            .next()
            .cloned()
            .unwrap_or_default()
    )))
}
