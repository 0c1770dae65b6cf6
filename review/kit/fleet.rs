//! The entry processes, as separate processes with the command of the deploy file, and the
//! platform before them.

use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    client, http,
    proxy::Proxy,
    record,
    store::{self, Store},
};

pub const ZONES: [&str; 3] = ["se-a", "se-b", "se-c"];
/// The `run` of `deploy/system.toml`.
const PROGRAM: &str = "target/release/bluebell-ingress";

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes that were started here.
fn kill_all() {
    for child in CHILDREN.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// The folder for settings and logs of this run.
fn temporary_folder() -> PathBuf {
    std::env::temp_dir().join(format!("bluebell-review-{}", std::process::id()))
}

/// Ends all processes that were started here, and removes the folder unless `KEEP` is set.
pub fn clean_up() {
    kill_all();
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(temporary_folder());
    }
}

pub struct Instance {
    pub name: String,
    pub frontend: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Mutex<u32>,
}

pub struct Fleet {
    pub store: Arc<Store>,
    /// Between the first instance and the store.
    pub proxy: Arc<Proxy>,
    pub instances: Vec<Instance>,
    net: u8,
}

/// An address of this run under 127.0.0.0/8.
fn ip(net: u8, zone: u8, host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, net, zone, host))
}

impl Fleet {
    /// Starts the platform and `each` instances in each zone, which are not ready yet. The
    /// configuration `document` is written before.
    pub fn start(document: &str, each: usize) -> Result<Fleet, String> {
        if !PathBuf::from(PROGRAM).exists() {
            return Err(format!("{PROGRAM} is not built"));
        }
        let pid = std::process::id();
        let net = 20 + (pid % 200) as u8;
        let folder = temporary_folder();
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let listen = |host| {
            TcpListener::bind(SocketAddr::new(ip(net, 200, host), 0))
                .map_err(|error| error.to_string())
        };
        let (store_listener, duties, proxy_listener) = (listen(1)?, listen(2)?, listen(3)?);
        let address =
            |listener: &TcpListener| listener.local_addr().map_err(|error| error.to_string());
        let (store_address, duties_address) = (address(&store_listener)?, address(&duties)?);
        let proxy_address = address(&proxy_listener)?;
        let store = Store::start(store_listener);
        let proxy = Proxy::start(proxy_listener, store_address);
        std::mem::forget(http::serve_simple(duties, |_| store::json(200, "{}")));
        store.put("keyed.op", "config", document);
        let mut instances = Vec::new();
        for number in 0..3 * each {
            let (zone, host) = (number / each, number % each);
            let path = if number == 0 {
                proxy_address
            } else {
                store_address
            };
            instances.push(instance(&folder, net, zone, host, path, duties_address)?);
        }
        let fleet = Fleet {
            store,
            proxy,
            instances,
            net,
        };
        for instance in &fleet.instances {
            instance.spawn()?;
        }
        Ok(fleet)
    }

    /// A listener for a replica in the zone number `zone`, at an address of its own.
    pub fn replica_listener(&self, zone: usize, host: u8) -> Result<TcpListener, String> {
        let address = SocketAddr::new(ip(self.net, zone as u8 + 1, 100 + host), 0);
        TcpListener::bind(address).map_err(|error| error.to_string())
    }

    /// Waits until all instances report that they are ready.
    pub fn wait_ready(&self, limit: Duration) -> Result<(), String> {
        let end = Instant::now() + limit;
        for instance in &self.instances {
            while client::status_of(instance.ready, "/v1/readyz") != 200 {
                if Instant::now() > end {
                    return Err(format!("{} is not ready", instance.name));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        record::line("all instances are ready");
        Ok(())
    }

    /// Kills all entry processes at once, and starts them again after `down`.
    pub fn kill_and_restart(&self, down: Duration) -> Result<(), String> {
        record::line("SIGKILL to all entry processes");
        for instance in &self.instances {
            instance.kill();
        }
        thread::sleep(down);
        for instance in &self.instances {
            instance.note_started_before()?;
        }
        for instance in &self.instances {
            instance.spawn()?;
        }
        record::line("all entry processes are started again");
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        clean_up();
    }
}

impl Instance {
    fn spawn(&self) -> Result<(), String> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("BLUEBELLHOLLOW_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| error.to_string())?;
        *self.process.lock().unwrap() = child.id();
        CHILDREN.lock().unwrap().push(child);
        Ok(())
    }

    /// The settings say `bootstrap` only when the whole system starts for the first time.
    fn note_started_before(&self) -> Result<(), String> {
        let text = fs::read_to_string(&self.settings).map_err(|error| error.to_string())?;
        let text = text.replace("bootstrap: true", "bootstrap: false");
        fs::write(&self.settings, text).map_err(|error| error.to_string())
    }

    fn kill(&self) {
        let id = *self.process.lock().unwrap();
        let mut children = CHILDREN.lock().unwrap();
        if let Some(at) = children.iter().position(|child| child.id() == id) {
            let mut child = children.remove(at);
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn instance(
    folder: &std::path::Path,
    net: u8,
    zone: usize,
    host: usize,
    store: SocketAddr,
    duties: SocketAddr,
) -> Result<Instance, String> {
    let address = ip(net, zone as u8 + 1, host as u8 + 1);
    let name = format!("edge-{}-{}", ZONES[zone], host + 1);
    let (frontend, ready) = (
        SocketAddr::new(address, 18_368),
        SocketAddr::new(address, 18_369),
    );
    let text = format!(
        r#"nodeName: "{name}"
role: "entry"
machineClass: "edge"
serves: ["edge"]
ip: "{address}"
zone: "{zone}"
region: "south-east"
zones: {{ se-a: "south-east", se-b: "south-east", se-c: "south-east" }}
listen: {{ frontend: "{frontend}", ready: "{ready}" }}
internalPortRange: [17780, 17795]
seeds: []
bootstrap: true
lossCounts: false
limits: {{ cpuShare: 0.25, cores: 1, memoryMb: 260, maxFds: 4100, linkMbps: 1000.0, diskMb: 0 }}
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatIntervalMs: 1200
faultTolerance: {{ machines: 1, zones: 1, regions: 0 }}
bounds: {{ seedLagS: 3, reuseAfterS: 2, stableWindowMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000,
  graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxSkewMs: 5000,
  revokeFailClosed: true, revokeMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, retryBudgetExtra: 58,
  fencingEnforced: false, leaseMs: 3000, thawMs: 300, reportWindowS: 5, usageTolerance: 0.05,
  usageLateS: 10, recoveryS: 12, transitMs: 120, retryAfterS: 8.8 }}
platform: {{ address: "{store}", form: "log", writesPerS: 400, readsPerS: 2000, parts: 12, keep_s: 300 }}
cloudApi: {{ address: "{duties}", ratePerS: 50.0, duties: ["usage_report"], dutyPerS: 50.0 }}
"#,
        zone = ZONES[zone],
    );
    let settings = folder.join(format!("{name}.yaml"));
    fs::write(&settings, text).map_err(|error| error.to_string())?;
    Ok(Instance {
        log: folder.join(format!("{name}.log")),
        name,
        frontend,
        ready,
        settings,
        process: Mutex::new(0),
    })
}

/// The key that clients use.
pub const KEY: &str = "3fexd9dnn2ctnfzs989a";

/// A configuration with one plain service, two unsafe routes and a safe one.
pub fn plain_configuration() -> String {
    format!(
        r#"{{"version":7,"routes":[
{{"name":"r-charge","host":"kiosk.example","pathPrefix":"/charge/","kind":"unsafe","timeoutMs":4000,"targetLatencyMs":300,"priority":2,"service":"kiosk-api","maxAttempts":1,"public":false,"sticky":false,"resumable":false}},
{{"name":"r-other","host":"kiosk.example","pathPrefix":"/other/","kind":"unsafe","timeoutMs":4000,"targetLatencyMs":300,"priority":2,"service":"kiosk-api","maxAttempts":1,"public":false,"sticky":false,"resumable":false}},
{{"name":"r-stock","host":"kiosk.example","pathPrefix":"/stock/","kind":"safe","timeoutMs":4000,"targetLatencyMs":300,"priority":2,"service":"kiosk-api","maxAttempts":2,"public":false,"sticky":false,"resumable":false}}],
"services":[{{"name":"kiosk-api","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
"tenants":[{{"name":"hule930","apiKeys":["{KEY}"]}}]}}"#
    )
}
