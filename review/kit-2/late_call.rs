//! Case 8: a call of the leader that is held up by a short cut arrives after its next one.

use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    fleet, http,
    link::Link,
    platform::{self, DutyCall, Store},
    record::Record,
    replica::{ReplicaSpec, Supervised},
    truncated::{CONFIGURATION, HOST, KEY},
};

/// The length of a cut.
const CUT: Duration = Duration::from_millis(850);

/// The length of a usage window in ms.
const WINDOW_MS: u64 = 5_000;

/// When a cut begins, after the start of a usage window, in ms.
const CUT_AT_MS: u64 = 500;

/// The number of cuts.
const CUTS: usize = 8;

/// `thawMs`.
const THAW: Duration = Duration::from_millis(300);

/// Runs the case; returns whether the rule held, or an error if it couldn't run.
pub fn run(folder: &Path, record: &Record) -> io::Result<bool> {
    let (store_listener, store_address) = platform::bind(&fleet::host(1))?;
    let (duties_listener, duties_address) = platform::bind(&fleet::host(1))?;
    let store = Store::default();
    store.put("keyed.op", "config", CONFIGURATION.as_bytes());
    store.serve(store_listener);
    let calls = platform::serve_duties(duties_listener, record.clone());
    let zones = ["se-a", "se-b", "se-c"];
    let mut replicas = Vec::new();
    for (number, zone) in zones.iter().enumerate() {
        let spec = ReplicaSpec {
            id: format!("i-{number}f3a91c2"),
            service: "kiosk-api".to_string(),
            zone: (*zone).to_string(),
            store: store_address,
            work_ms: 15,
        };
        replicas.push(Supervised::start(&fleet::host(30 + number), spec)?);
    }
    let mut links = Vec::new();
    let mut duties = Vec::new();
    for _ in zones {
        let (listener, address) = platform::bind(&fleet::host(2))?;
        let link = Link::default();
        link.serve(listener, duties_address);
        links.push(link);
        duties.push(address);
    }
    let mut instances = fleet::instances(folder, &zones, store_address, &duties, true)?;
    for instance in &mut instances {
        instance.start()?;
    }
    if !fleet::wait_ready(&instances, Duration::from_secs(15)) {
        return Err(io::Error::other("the instances did not get ready"));
    }
    record.line("all instances are ready");
    let is_over = Arc::new(AtomicBool::new(false));
    let client = start_client(instances[0].frontend, &is_over);
    // Until the first windows are reported.
    thread::sleep(Duration::from_secs(12));
    for _ in 0..CUTS {
        wait_for_cut();
        let last = calls.lock().unwrap().last().cloned();
        let last = last.ok_or_else(|| io::Error::other("nothing is reported"))?;
        let holder = instances.iter().position(|one| one.name == last.holder);
        let holder = holder.ok_or_else(|| io::Error::other("the holder is not known"))?;
        if fleet::is_disturbed() {
            record.line(&format!(
                "{} is cut off from the platform's interface",
                last.holder
            ));
            links[holder].cut(CUT);
            thread::sleep(CUT);
            record.line("the link is healed");
        }
        thread::sleep(Duration::from_secs(1));
    }
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    let _ = client.join();
    let names: Vec<String> = instances.iter().map(|one| one.name.clone()).collect();
    drop(instances);
    let calls = calls.lock().unwrap().clone();
    let late = late_calls(&calls, &names, &links, record);
    record.line(&format!(
        "{} calls, {late} with a lower fencing token than one before",
        calls.len()
    ));
    Ok(late == 0)
}

/// Waits until a cut is due within the current usage window or the next one.
fn wait_for_cut() {
    let phase = (fleet::unix_ms() % u128::from(WINDOW_MS)) as u64;
    let wait = (CUT_AT_MS + WINDOW_MS - phase) % WINDOW_MS;
    thread::sleep(Duration::from_millis(wait));
}

/// Counts the calls with a lower fencing token than was seen before for the duty, without those that arrived
/// within `thawMs` after the link was healed.
fn late_calls(calls: &[DutyCall], names: &[String], links: &[Link], record: &Record) -> usize {
    let mut late = 0;
    let mut highest = 0;
    for call in calls.iter().filter(|call| call.path == "/usage") {
        if call.fence < highest {
            let holder = names.iter().position(|name| *name == call.holder);
            let healed_for = holder.and_then(|holder| links[holder].healed_for(call.at));
            let is_excused = healed_for.is_some_and(|healed_for| healed_for <= THAW);
            record.line(&format!(
                "ONE: fence {} after {highest}, {} ms after the link was healed{}",
                call.fence,
                healed_for.unwrap_or_default().as_millis(),
                if is_excused { ", excused" } else { "" },
            ));
            late += usize::from(!is_excused);
        }
        highest = highest.max(call.fence);
    }
    late
}

fn start_client(address: SocketAddr, is_over: &Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let is_over = Arc::clone(is_over);
    thread::spawn(move || {
        let mut request = 0_u64;
        while !is_over.load(Ordering::SeqCst) {
            let headers = [
                ("Host", HOST.to_string()),
                ("Attempt-Id", format!("{request:016x}")),
                ("Deadline-Ms", "1500".to_string()),
                ("Authorization", format!("Token {KEY}")),
                ("Connection", "close".to_string()),
            ];
            let headers = headers.map(|(name, value)| (name.to_string(), value));
            let timeout = Duration::from_millis(2_000);
            let _ = http::call(address, "POST /charge/2f", &headers, b"", timeout);
            request += 1;
            thread::sleep(Duration::from_millis(50));
        }
    })
}
