//! Entry instances as separate processes, with settings like those of a small deployment.

use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use crate::http;

/// The variable that names the settings file.
const SETTINGS: &str = "BLUEBELLHOLLOW_CONFIG";

/// A process that is killed when it goes out of scope.
pub struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// An entry instance.
pub struct Instance {
    /// Its name.
    pub name: String,
    /// The address for clients.
    pub frontend: SocketAddr,
    /// The address of its readiness.
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    /// Its process.
    pub process: Option<Process>,
}

impl Instance {
    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/bluebell-ingress")
            .env(SETTINGS, &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.process = Some(Process(child));
        Ok(())
    }

    /// Whether its readiness answers 200.
    pub fn is_ready(&self) -> bool {
        let headers = [("Host".to_string(), "ready".to_string())];
        let timeout = Duration::from_millis(500);
        let answer = http::call(self.ready, "GET /v1/readyz", &headers, b"", timeout);
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

/// Addresses of one run of a case: `127.x.y.*`, by the id of this process.
pub fn host(number: usize) -> String {
    let id = std::process::id();
    format!("127.{}.{}.{number}", 1 + (id >> 8) % 250, 1 + id % 250)
}

/// Writes the settings of the instances `edge-ZONE-1`, one in each zone, and returns them. `duties` holds the
/// address at which each of them reaches the interface for duties.
pub fn instances(
    folder: &Path,
    zones: &[&str],
    store: SocketAddr,
    duties: &[SocketAddr],
    is_first_start: bool,
) -> io::Result<Vec<Instance>> {
    let hosts: Vec<String> = (0..zones.len()).map(|number| host(10 + number)).collect();
    let (peers, frontend, ready) = (internal_ports(&hosts)?, free(&hosts)?, free(&hosts)?);
    let zone_table: Vec<String> = zones
        .iter()
        .map(|zone| format!("\"{zone}\":\"south-east\""))
        .collect();
    let zone_table = zone_table.join(",");
    let mut instances = Vec::new();
    for ((zone, host), duties) in zones.iter().zip(&hosts).zip(duties) {
        let name = format!("edge-{zone}-1");
        let text = format!(
            "{{\"nodeName\":\"{name}\",\"role\":\"entry\",\"machineClass\":\"edge\",\"serves\":[\"edge\"],\
             \"ip\":\"{host}\",\"zone\":\"{zone}\",\"region\":\"south-east\",\"zones\":{{{zone_table}}},\
             \"listen\":{{\"frontend\":\"{host}:{frontend}\",\"ready\":\"{host}:{ready}\"}},\
             \"internalPortRange\":[{peers},{}],\"seeds\":[],\"bootstrap\":{is_first_start},\
             \"lossCounts\":false,\"limits\":{{\"cpuShare\":0.25,\"cores\":1,\"memoryMb\":260,\
             \"maxFds\":4100,\"linkMbps\":1000.0,\"diskMb\":0}},\"dataDir\":null,\
             \"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeatIntervalMs\":1200,\
             \"faultTolerance\":{{\"machines\":1,\"zones\":1,\"regions\":0}},\
             \"bounds\":{{\"seedLagS\":3,\"reuseAfterS\":2,\"stableWindowMs\":3000,\"ackMs\":4000,\
             \"catchUpS\":4,\"drainMs\":2000,\"graceS\":8,\"lossSlackMs\":200,\"configApplyMs\":2000,\
             \"rollbackSlackMs\":250,\"maxSkewMs\":5000,\"revokeFailClosed\":true,\"revokeMs\":5000,\
             \"retryBudgetRatio\":0.2,\"budgetWindowS\":10,\"retryBudgetExtra\":58,\
             \"fencingEnforced\":false,\"leaseMs\":3000,\"thawMs\":300,\"reportWindowS\":5,\
             \"usageTolerance\":0.05,\"usageLateS\":10,\"recoveryS\":12,\"transitMs\":120,\
             \"retryAfterS\":8.8}},\"platform\":{{\"address\":\"{store}\",\"form\":\"log\",\
             \"writesPerS\":400,\"readsPerS\":2000,\"parts\":12,\"appendMs\":2.0,\
             \"partitionMbS\":20.0,\"readMbS\":80.0,\"recordBytes\":262144,\"requestBytes\":2097152,\
             \"keep_s\":300,\"partitionMb\":200,\"ttlMinMs\":1000}},\
             \"cloudApi\":{{\"address\":\"{duties}\",\"ratePerS\":50.0,\
             \"duties\":[\"usage_report\",\"autoscale\"],\"dutyPerS\":50.0}}}}\n",
            peers + 15,
        );
        // JSON is valid YAML.
        let settings = folder.join(format!("{name}.yaml"));
        fs::write(&settings, text)?;
        instances.push(Instance {
            frontend: format!("{host}:{frontend}").parse().expect("an address"),
            ready: format!("{host}:{ready}").parse().expect("an address"),
            settings,
            log: folder.join(format!("{name}.log")),
            process: None,
            name,
        });
    }
    Ok(instances)
}

/// A port that is free at all hosts.
fn free(hosts: &[String]) -> io::Result<u16> {
    for _ in 0..100 {
        let port = TcpListener::bind(format!("{}:0", hosts[0]))?
            .local_addr()?
            .port();
        let is_free = |host: &String| TcpListener::bind(format!("{host}:{port}")).is_ok();
        if hosts.iter().all(is_free) {
            return Ok(port);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// The first of sixteen ports in a row that are free at all hosts.
fn internal_ports(hosts: &[String]) -> io::Result<u16> {
    for _ in 0..100 {
        let first = free(hosts)?;
        let Some(last) = first.checked_add(15) else {
            continue;
        };
        let is_free = |host: &String| {
            (first..=last).all(|port| {
                TcpListener::bind(format!("{host}:{port}")).is_ok()
                    && UdpSocket::bind(format!("{host}:{port}")).is_ok()
            })
        };
        if hosts.iter().all(is_free) {
            return Ok(first);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Waits until all instances are ready.
pub fn wait_ready(instances: &[Instance], limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if instances.iter().all(Instance::is_ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}

/// The milliseconds since 1970.
pub fn unix_ms() -> u128 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis())
}

/// Whether the case is to be disturbed.
pub fn is_disturbed() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
