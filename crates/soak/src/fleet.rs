//! Everything that a soak runs: instances, their paths, endpoints, the platform.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use anyhow::Context as _;
use bluebell_adapter::READY_PATH;
use bluebell_core::{
    clock::{ClockSource, TimeSpan},
    ids::{FailureDomain, InstanceId},
};
use bluebell_platform_standin::{
    duties,
    endpoint::{EndpointSpec, PrefilledHandles, RunningEndpoint},
    events::EventHandler,
    http,
    operator::{
        InstancePorts, InstanceSpec, OperatorBounds, OperatorConfiguration, OperatorKind,
        OperatorOrganisation, OperatorRoute, settings_text,
    },
    store::StandinStore,
};
use tokio_util::sync::CancellationToken;

use crate::{
    caller::{IdenticalRequests, TallyBook},
    operator::OperatorChanges,
    process::EntryProcess,
    promises::{PromiseBounds, PromiseChecker},
    proxy::LoopbackPath,
    rotation::CallerRotation,
};

/// The host of all routes.
pub const HOST: &str = "kiosk.example";
/// How many organisations call.
pub const ORGANISATIONS: usize = 4;
/// The failure domains.
const DOMAINS: [&str; 3] = ["se-a", "se-b", "se-c"];
/// The services that routes without prompts are led to in turn.
pub const TILLS: [&str; 2] = ["till", "till-next"];
/// The service of the engines.
const POOL: &str = "pool";
/// The ports of all instances; each has an address of its own.
const PORTS: InstancePorts = InstancePorts {
    callers: 18_368,
    ready: 18_369,
    peers: 17_780,
};
/// What the operator of the soak promises and asks: the users' figures, with a
/// shorter time to stop, so that a soak sees many stops.
pub const BOUNDS: OperatorBounds = OperatorBounds {
    key_withdrawal_ms: 5_000,
    grace_s: 5,
    configuration_rollout_ms: 2_000,
    endpoint_drain_ms: 2_000,
    usage_window_s: 5,
};

/// A route that callers use.
#[derive(Clone, Copy, Debug)]
pub struct RouteSample {
    /// The start of its paths.
    pub prefix: &'static str,
    /// What may be repeated.
    pub kind: OperatorKind,
    /// How long its callers may be kept waiting, in ms.
    pub timeout_ms: u64,
}

/// The routes; the first two may be led to another service.
pub const ROUTES: [RouteSample; 4] = [
    RouteSample {
        prefix: "/stock/",
        kind: OperatorKind::Safe,
        timeout_ms: 1_500,
    },
    RouteSample {
        prefix: "/charge/",
        kind: OperatorKind::Unsafe,
        timeout_ms: 1_500,
    },
    RouteSample {
        prefix: "/review/",
        kind: OperatorKind::Streaming,
        timeout_ms: 3_000,
    },
    RouteSample {
        prefix: "/chat/",
        kind: OperatorKind::Resumable,
        timeout_ms: 3_000,
    },
];
/// The routes that the operator adds, leads elsewhere and drops, and that callers use at once.
pub const ADDED_ROUTES: [RouteSample; 6] = [
    added_route("/added-0/"),
    added_route("/added-1/"),
    added_route("/added-2/"),
    added_route("/added-3/"),
    added_route("/added-4/"),
    added_route("/added-5/"),
];

const fn added_route(prefix: &'static str) -> RouteSample {
    RouteSample {
        prefix,
        kind: OperatorKind::Safe,
        timeout_ms: 1_500,
    }
}

/// How many of the routes may be led to another service.
pub const MOVABLE_ROUTES: usize = 2;

/// An entry instance.
#[derive(Debug)]
pub struct InstanceSlot {
    /// Its name.
    pub name: InstanceId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where it is asked whether it is ready.
    pub ready: SocketAddr,
    /// Its way to the store.
    pub store: LoopbackPath,
    /// How often it was started.
    pub starts: AtomicU32,
    /// Its process, while there is one.
    pub process: tokio::sync::Mutex<Option<EntryProcess>>,
    settings: PathBuf,
    log: PathBuf,
}

impl InstanceSlot {
    /// Starts its process.
    pub fn start(&self, program: &Path) -> anyhow::Result<EntryProcess> {
        self.starts.fetch_add(1, Ordering::SeqCst);
        EntryProcess::start(program, &self.settings, &self.log)
    }

    /// Whether it reports within `timeout` that it is ready.
    pub async fn is_ready(&self, client: &reqwest::Client, timeout: Duration) -> bool {
        let url = format!("http://{}{READY_PATH}", self.ready);
        let answer = client.get(url).timeout(timeout).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }
}

/// A place where an endpoint runs.
pub struct EndpointSlot {
    /// What runs there; the address is that of the path.
    pub plan: EndpointSpec,
    /// The way to it.
    pub path: LoopbackPath,
    /// The endpoint, with its id.
    pub running: Mutex<(String, RunningEndpoint)>,
    /// The number of the software version that runs there.
    pub version: AtomicU32,
}

impl EndpointSlot {
    /// The endpoint that runs there now, and its id.
    pub fn current(&self) -> (String, RunningEndpoint) {
        self.running.lock().expect("held briefly").clone()
    }
}

/// All that a soak runs.
pub struct SoakFleet {
    /// The seed.
    pub seed: u64,
    /// The entry program.
    pub program: PathBuf,
    /// The instances.
    pub instances: Vec<InstanceSlot>,
    /// The endpoints.
    pub endpoints: Vec<EndpointSlot>,
    /// The store.
    pub store: StandinStore,
    /// What is held against the promises.
    pub checker: Arc<PromiseChecker>,
    /// Who gets new connections.
    pub rotation: CallerRotation,
    /// How callers fared.
    pub tallies: TallyBook,
    /// The configuration in force.
    pub configuration: Mutex<OperatorConfiguration>,
    /// What was added to it; held while a change is published, before the configuration.
    pub(crate) changes: Mutex<OperatorChanges>,
    /// The streams for which several callers send the same request.
    pub identical: Mutex<IdenticalRequests>,
    has_unframed: bool,
    handles: PrefilledHandles,
    watch: EventHandler,
    ip: IpAddr,
    born: AtomicU64,
}

/// How large a soak is, and where it leaves its files.
#[derive(Clone, Debug)]
pub struct FleetSize {
    /// Entry instances.
    pub instances: usize,
    /// Where settings and logs are written.
    pub folder: PathBuf,
}

/// How long after an endpoint crashed its registration lapses.
pub const LAPSE: Duration = Duration::from_millis(3_600);
/// The version that all endpoints run at first.
const FIRST_VERSION: u32 = 1;

/// The name of a software version of endpoints.
pub fn version_name(number: u32) -> String {
    format!("v{number}")
}

/// The name of an organisation.
pub fn organisation_name(number: usize) -> String {
    format!("organisation-{number}")
}

/// The key of an organisation.
pub fn organisation_key(number: usize) -> String {
    format!("key-of-{number}")
}

/// Addresses of this soak alone: several may run at once.
fn soak_ip(seed: u64, number: usize) -> IpAddr {
    let process = 20 + (std::process::id() % 200) as u8;
    Ipv4Addr::new(127, process, (seed % 250) as u8, number as u8 + 1).into()
}

impl SoakFleet {
    /// Starts everything but the instances' processes, which start with `start`.
    pub async fn build(
        seed: u64,
        program: PathBuf,
        size: &FleetSize,
        stop: &CancellationToken,
    ) -> anyhow::Result<SoakFleet> {
        std::fs::create_dir_all(&size.folder)
            .with_context(|| format!("failed to create `{}`", size.folder.display()))?;
        let checker = Arc::new(PromiseChecker::new(
            ClockSource::new(),
            PromiseBounds {
                withdrawal: TimeSpan::from_millis(BOUNDS.key_withdrawal_ms),
                configuration: TimeSpan::from_millis(BOUNDS.configuration_rollout_ms),
                leaving: TimeSpan::from_millis(BOUNDS.endpoint_drain_ms),
            },
        ));
        let watching = Arc::clone(&checker);
        let watch: EventHandler = Arc::new(move |event| watching.saw(event));
        let ip = soak_ip(seed, size.instances);
        let store = StandinStore::new(seed);
        let (listener, store_address) = http::listen(ip).await?;
        tokio::spawn(store.clone().serve(listener, stop.clone()));
        let (listener, duties_address) = http::listen(ip).await?;
        let watched = EventHandler::clone(&watch);
        tokio::spawn(duties::serve(listener, stop.clone(), watched));
        let mut fleet = SoakFleet {
            seed,
            program,
            instances: Vec::new(),
            endpoints: Vec::new(),
            store,
            checker,
            rotation: CallerRotation::new(),
            tallies: Mutex::new(BTreeMap::new()),
            configuration: Mutex::new(first_configuration()),
            changes: Mutex::default(),
            identical: Mutex::default(),
            has_unframed: false,
            handles: PrefilledHandles::default(),
            watch,
            ip,
            born: AtomicU64::new(1),
        };
        for plan in endpoint_plans() {
            let slot = fleet.place_endpoint(plan).await?;
            fleet.endpoints.push(slot);
        }
        for number in 0..size.instances {
            let slot = fleet
                .place_instance(number, size, store_address, duties_address)
                .await?;
            fleet.instances.push(slot);
        }
        fleet.publish(|_| {});
        Ok(fleet)
    }

    async fn place_instance(
        &self,
        number: usize,
        size: &FleetSize,
        store: SocketAddr,
        duties: SocketAddr,
    ) -> anyhow::Result<InstanceSlot> {
        let ip = soak_ip(self.seed, number);
        let path = LoopbackPath::open(self.ip, store).await?;
        let domain = DOMAINS[number % DOMAINS.len()];
        let name = format!("entry-{domain}-{number}");
        let place = InstanceSpec {
            name: name.clone(),
            domain: domain.to_string(),
            ip,
            ports: PORTS,
            store: path.address,
            duties,
        };
        let settings = size.folder.join(format!("{name}.yaml"));
        std::fs::write(&settings, settings_text(&place, BOUNDS))?;
        Ok(InstanceSlot {
            name: InstanceId::new(name.as_str())?,
            domain: FailureDomain::new(domain)?,
            callers: SocketAddr::new(ip, PORTS.callers),
            ready: SocketAddr::new(ip, PORTS.ready),
            store: path,
            starts: AtomicU32::new(0),
            process: tokio::sync::Mutex::new(None),
            settings,
            log: size.folder.join(format!("{name}.log")),
        })
    }

    async fn place_endpoint(&self, plan: EndpointSpec) -> anyhow::Result<EndpointSlot> {
        let (listener, address) = http::listen(self.ip).await?;
        let path = LoopbackPath::open(self.ip, address).await?;
        let plan = EndpointSpec {
            address: path.address,
            ..plan
        };
        let running = self.run_endpoint(plan.clone(), listener);
        Ok(EndpointSlot {
            running: Mutex::new((plan.id.clone(), running)),
            version: AtomicU32::new(FIRST_VERSION),
            plan,
            path,
        })
    }

    fn run_endpoint(
        &self,
        plan: EndpointSpec,
        listener: tokio::net::TcpListener,
    ) -> RunningEndpoint {
        let born = self.born.fetch_add(1, Ordering::SeqCst);
        let (store, handles) = (self.store.clone(), PrefilledHandles::clone(&self.handles));
        let watch = EventHandler::clone(&self.watch);
        let running = RunningEndpoint::start(plan, listener, born, store, handles, watch);
        if self.has_unframed {
            running.leave_unframed();
        }
        running
    }

    /// Has all endpoints answer a share of streams with neither length nor chunks.
    pub fn leave_unframed(&mut self) {
        self.has_unframed = true;
        for slot in &self.endpoints {
            slot.current().1.leave_unframed();
        }
    }

    /// Starts an endpoint anew at its place, under a new id or the one it had.
    pub async fn restart_endpoint(&self, slot: &EndpointSlot, has_new_id: bool) {
        let (listener, address) = match http::listen(self.ip).await {
            Ok(listening) => listening,
            Err(error) => {
                // The place stays empty, as after a longer crash; the soak goes on.
                eprintln!("event=endpoint_not_restarted error=\"{error}\"");
                return;
            }
        };
        slot.path.set_target(address);
        // Faults overlap: two processes must not register under one id.
        let (earlier_id, earlier) = slot.current();
        earlier.kill();
        let id = match has_new_id {
            true => {
                // Otherwise a registration without an endpoint would stay for good.
                tokio::spawn(async move {
                    tokio::time::sleep(LAPSE).await;
                    earlier.lapse();
                });
                format!("{}-{}", slot.plan.id, self.born.load(Ordering::SeqCst))
            }
            false => earlier_id,
        };
        if !has_new_id {
            self.checker.endpoint_returned(&id);
        }
        let plan = EndpointSpec {
            id: id.clone(),
            version: version_name(slot.version.load(Ordering::SeqCst)),
            ..slot.plan.clone()
        };
        let running = self.run_endpoint(plan, listener);
        *slot.running.lock().expect("held briefly") = (id, running);
    }

    /// How many engines of a version serve undisturbed.
    pub fn serving(&self, version: &str) -> usize {
        let serves = |slot: &&EndpointSlot| {
            let is_version = version_name(slot.version.load(Ordering::SeqCst)) == version;
            let (id, running) = slot.current();
            let is_engine = slot.plan.prefills.is_some() && !running.has_crashed();
            is_engine && is_version && self.checker.serves(&id)
        };
        self.endpoints.iter().filter(serves).count()
    }
}

fn first_configuration() -> OperatorConfiguration {
    let routes = ROUTES.iter().map(|route| OperatorRoute {
        prefix: route.prefix.to_string(),
        kind: route.kind,
        service: match route.kind {
            OperatorKind::Safe | OperatorKind::Unsafe => TILLS[0].to_string(),
            _ => POOL.to_string(),
        },
        timeout_ms: route.timeout_ms,
    });
    let organisations = (0..ORGANISATIONS).map(|number| OperatorOrganisation {
        name: organisation_name(number),
        keys: vec![organisation_key(number)],
    });
    OperatorConfiguration {
        version: 1,
        host: HOST.to_string(),
        routes: routes.collect(),
        services: TILLS.map(str::to_string).to_vec(),
        engines: vec![POOL.to_string()],
        organisations: organisations.collect(),
    }
}

/// One replica of each till and two engines in each failure domain.
fn endpoint_plans() -> Vec<EndpointSpec> {
    let unknown = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut plans = Vec::new();
    for domain in DOMAINS {
        for service in TILLS {
            plans.push(EndpointSpec {
                id: format!("{service}-{domain}"),
                service: service.to_string(),
                domain: domain.to_string(),
                address: unknown,
                version: version_name(FIRST_VERSION),
                prefills: None,
                work_ms: 15,
            });
        }
        for prefills in [true, false] {
            let stage = if prefills { "first" } else { "then" };
            plans.push(EndpointSpec {
                id: format!("{POOL}-{domain}-{stage}"),
                service: POOL.to_string(),
                domain: domain.to_string(),
                address: unknown,
                version: version_name(FIRST_VERSION),
                prefills: Some(prefills),
                work_ms: 15,
            });
        }
    }
    plans
}
