//! Case 6: a plain replica crashes in the middle of an answer without a length, and is back at once.

use std::{
    fs, io,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    fleet::{self, Instance},
    http, platform,
    platform::Store,
    record::Record,
    replica::{ReplicaSpec, Supervised, whole_body},
};

/// The pause before a replica is started again, as service managers have it by default.
const DOWN: Duration = Duration::from_millis(100);

/// The number of crashes, one every three seconds.
const CRASHES: usize = 8;

/// How long a replica works on a request, twice.
const WORK_MS: u64 = 100;

/// The number of clients of each instance.
const CLIENTS: usize = 4;

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "3fexd9dnn2ctnfzs989a";
const ROUTES: [&str; 2] = ["POST /charge/2f", "GET /stock/2f"];

pub const CONFIGURATION: &str = r#"{"version":3,
"routes":[
{"name":"charge-cut","host":"ficu95.example","pathPrefix":"/charge/","kind":"unsafe","timeoutMs":1500,
"targetLatencyMs":100,"priority":2,"service":"kiosk-api","maxAttempts":1},
{"name":"stock-lookup","host":"ficu95.example","pathPrefix":"/stock/","kind":"safe","timeoutMs":1500,
"targetLatencyMs":100,"priority":2,"service":"kiosk-api","maxAttempts":2}],
"services":[{"name":"kiosk-api","healthPath":"/healthz","maxConnections":110}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"hule930","apiKeys":["3fexd9dnn2ctnfzs989a"]}]}"#;

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    whole: AtomicU64,
    failed: AtomicU64,
    truncated: AtomicU64,
    is_over: AtomicBool,
}

/// Runs the case; returns whether the rule held, or an error if it couldn't run.
pub fn run(folder: &Path, record: &Record) -> io::Result<bool> {
    let (store_listener, store_address) = platform::bind(&fleet::host(1))?;
    let (duties_listener, duties_address) = platform::bind(&fleet::host(1))?;
    let store = Store::default();
    store.put("keyed.op", "config", CONFIGURATION.as_bytes());
    store.serve(store_listener);
    let _calls = platform::serve_duties(duties_listener, record.clone());
    let zones = ["se-a", "se-b", "se-c"];
    let mut replicas = Vec::new();
    // Four replicas, as one in four may crash.
    for (number, zone) in zones.iter().chain(&zones[..1]).enumerate() {
        let spec = ReplicaSpec {
            id: format!("i-{number}f3a91c2"),
            service: "kiosk-api".to_string(),
            zone: (*zone).to_string(),
            store: store_address,
            work_ms: WORK_MS,
        };
        replicas.push(Supervised::start(&fleet::host(30 + number), spec)?);
    }
    let duties = [duties_address; 3];
    let mut instances = fleet::instances(folder, &zones, store_address, &duties, true)?;
    for instance in &mut instances {
        instance.start()?;
    }
    if !fleet::wait_ready(&instances, Duration::from_secs(15)) {
        return Err(io::Error::other("the instances did not get ready"));
    }
    record.line("all instances are ready");
    thread::sleep(Duration::from_secs(4));
    let counts = Arc::new(Counts::default());
    let clients = start_clients(&instances, &counts, record);
    for number in 0..CRASHES {
        thread::sleep(Duration::from_secs(3));
        if fleet::is_disturbed() {
            let replica = &mut replicas[number % 4];
            record.line(&format!("replica {} is killed", replica.spec.id));
            replica.crash(DOWN)?;
            record.line(&format!("replica {} is started again", replica.spec.id));
        }
    }
    thread::sleep(Duration::from_secs(3));
    counts.is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    drop(instances);
    let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
    record.line(&format!(
        "sent {}, whole answers {}, failures {}, answers with status 200 and a part of the body {}",
        count(&counts.sent),
        count(&counts.whole),
        count(&counts.failed),
        count(&counts.truncated),
    ));
    if count(&counts.whole) < 100 {
        return Err(io::Error::other("hardly any request was served"));
    }
    Ok(count(&counts.truncated) == 0)
}

fn start_clients(
    instances: &[Instance],
    counts: &Arc<Counts>,
    record: &Record,
) -> Vec<thread::JoinHandle<()>> {
    let mut clients = Vec::new();
    for (number, instance) in instances.iter().enumerate() {
        for client in 0..CLIENTS {
            let (address, name) = (instance.frontend, instance.name.clone());
            let (counts, record) = (Arc::clone(counts), record.clone());
            clients.push(thread::spawn(move || {
                let mut request = 0;
                while !counts.is_over.load(Ordering::SeqCst) {
                    let id = format!("{number:02x}{client:02x}{request:012x}");
                    let route = ROUTES[request % ROUTES.len()];
                    send(address, &name, &id, route, &counts, &record);
                    request += 1;
                    thread::sleep(Duration::from_millis(40));
                }
            }));
        }
    }
    clients
}

/// Sends a request and judges its answer.
fn send(
    address: std::net::SocketAddr,
    instance: &str,
    id: &str,
    route: &str,
    counts: &Counts,
    record: &Record,
) {
    let headers = [
        ("Host", HOST.to_string()),
        ("Attempt-Id", id.to_string()),
        ("Deadline-Ms", "1500".to_string()),
        ("Authorization", format!("Token {KEY}")),
        ("Connection", "close".to_string()),
    ];
    let headers = headers.map(|(name, value)| (name.to_string(), value));
    counts.sent.fetch_add(1, Ordering::SeqCst);
    let answer = http::call(address, route, &headers, b"", Duration::from_millis(2_000));
    let Ok(answer) = answer else {
        counts.failed.fetch_add(1, Ordering::SeqCst);
        record.line(&format!("{instance}: {route} {id}: no complete answer"));
        return;
    };
    let (status, body) = (answer.status(), String::from_utf8_lossy(&answer.body));
    if status != 200 {
        counts.failed.fetch_add(1, Ordering::SeqCst);
        record.line(&format!("{instance}: {route} {id}: status {status}"));
        return;
    }
    let whole = whole_body(id);
    if body == whole {
        counts.whole.fetch_add(1, Ordering::SeqCst);
        return;
    }
    counts.truncated.fetch_add(1, Ordering::SeqCst);
    let signature = answer.header("server-signature").unwrap_or("-");
    let length = answer.header("content-length").unwrap_or("-");
    record.line(&format!(
        "{instance}: {route} {id}: MIXED: status 200, signature {signature}, Content-Length {length}, \
         {} of {} bytes of the replica's body",
        body.len(),
        whole.len(),
    ));
}

/// The folder for settings and logs.
pub fn temporary_folder(name: &str) -> io::Result<std::path::PathBuf> {
    let folder = std::env::temp_dir().join(format!("review-2-{name}-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    Ok(folder)
}
