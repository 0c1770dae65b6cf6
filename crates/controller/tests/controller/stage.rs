//! A platform and controllers inside the test's own process.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use bluebell_controller::{ControllerSettings, RunningController};
use bluebell_core::{
    clock::{ClockSource, TimeSpan},
    config::{ServiceTarget, ServiceUnit, UnitBody},
    ids::{
        EndpointId, FailureDomain, InstanceId, LogOffset, ModelName, RegionId, ServiceName,
        WriterId,
    },
    membership::{InstanceListing, InstanceProgram, InstanceState},
    records::{CapacityKind, LogEntry, LogRecord, PublishRecord, UnitChange},
    roles::PoolDemand,
    units::TokenCount,
    view::FleetView,
};
use bluebell_daemon::ops::{self, RunningServer};
use bluebell_node::{NodeHandle, NodeSettings};
use bluebell_platform::{
    PlatformClient,
    api::{AppendRequest, EndpointKind, EndpointListing, EndpointState},
};
use bluebell_testkit::{control, wait};
use rocket::{State, serde::json::Json};
use standin_platform::{PlatformSettings, RunningPlatform, history::PlatformHistory};
use tokio_util::sync::CancellationToken;

/// What an entry tells of the work that arrives.
pub type ToldDemand = Arc<Mutex<PoolDemand>>;

#[rocket::get("/demand")]
fn demand_route(demand: &State<ToldDemand>) -> Json<Vec<PoolDemand>> {
    let demand = demand.lock().expect("no holder panics");
    Json(vec![demand.clone()])
}

/// A platform with a client that appends to its log.
pub struct Stage {
    platform: RunningPlatform,
    client: PlatformClient,
    appends: u64,
}

impl Stage {
    pub async fn start() -> Stage {
        let settings = PlatformSettings {
            list_lag: TimeSpan::from_millis(100),
            ..PlatformSettings::default()
        };
        let token = CancellationToken::new();
        let platform = standin_platform::start(settings, ClockSource::new(), token);
        let platform = platform.await.expect("the platform starts");
        let address = platform.http_address.to_string();
        let client = PlatformClient::new(&address, &instance("operator"), &domain());
        Stage {
            platform,
            client,
            appends: 0,
        }
    }

    pub fn address(&self) -> String {
        self.platform.http_address.to_string()
    }

    /// Starts a controller with short leases.
    pub async fn controller(&self, name: &str) -> RunningController {
        self.controller_with(name, |_| {}).await
    }

    /// The same with settings that `change` has changed.
    pub async fn controller_with<Change>(&self, name: &str, change: Change) -> RunningController
    where
        Change: FnOnce(&mut ControllerSettings),
    {
        let text = "duration = \"2s\"\nmargin = \"300ms\"\nrenew_after = \"400ms\"\n\
             stagger = \"100ms\"\nhandover_after = \"60s\"";
        let mut settings = ControllerSettings {
            node: self.node(name),
            lease: toml::from_str(text).expect("the settings are valid"),
            orders: toml::from_str(
                "timeout = \"700ms\"\ninterval = \"50ms\"\ndrain_bound = \"1s\"",
            )
            .expect("the settings are valid"),
            usage: toml::from_str("window = \"1s\"\ngrace = \"200ms\"").expect("valid"),
            checkpoint: toml::from_str("every_records = 50").expect("valid"),
            roles: toml::from_str(
                "planner = { rest = \"0ms\", least_gain = 1 }\nrates = { mixed_percent = 40 }",
            )
            .expect("the settings are valid"),
            fleet: Default::default(),
        };
        change(&mut settings);
        assert_eq!(settings.problems(), []);
        let token = CancellationToken::new();
        let controller = bluebell_controller::start(settings, ClockSource::new(), token);
        controller.await.expect("the controller starts")
    }

    fn node(&self, name: &str) -> NodeSettings {
        let text = format!(
            "instance = \"{name}\"\nfailure_domain = \"{}\"\nregion = \"south\"\n\
             platform = \"{}\"\nhttp_address = \"127.0.0.1:0\"\npeer_address = \"127.0.0.1:0\"\n\
             append_timeout = \"1s\"",
            domain(),
            self.address()
        );
        let settings: NodeSettings = toml::from_str(&text).expect("the settings are valid");
        assert_eq!(settings.region, RegionId::new("south").expect("valid"));
        settings
    }

    pub async fn append(&mut self, record: LogRecord) -> LogOffset {
        self.appends += 1;
        let request = AppendRequest {
            writer: WriterId::new("operator").expect("the name is valid"),
            sequence: self.appends,
            payload: serde_json::to_string(&record).expect("records are JSON"),
        };
        let answer = self.client.append(&request).await;
        answer.expect("the log takes it").offset
    }

    /// Publishes the service `assistant` with this model.
    pub async fn publish_model(&mut self, model: &str, base: Option<LogOffset>) -> LogOffset {
        let service = ServiceUnit {
            target: ServiceTarget::Model {
                model: ModelName::new(model).expect("the name is valid"),
                max_tokens: TokenCount::new(4_096),
            },
            priority: Default::default(),
            deadline: TimeSpan::from_secs(60),
            progress_limit: TimeSpan::from_secs(2),
            preemptible: true,
        };
        let change = UnitChange {
            unit: "service/assistant".parse().expect("the name is valid"),
            base,
            body: Some(UnitBody::Service(service)),
        };
        let record = PublishRecord {
            publisher: "operator".to_string(),
            changes: vec![change],
        };
        self.append(LogRecord::Publish(record)).await
    }

    /// Lists an endpoint of the service `assistant`.
    pub async fn list_engine(&self, name: &str, address: String, capacity: CapacityKind) {
        self.post_engine("/control/endpoints", name, address, capacity)
            .await;
    }

    /// Gives the platform a spare that it can start as the service `assistant`.
    pub async fn add_spare(&self, name: &str, address: String) {
        self.post_engine("/control/spares", name, address, CapacityKind::Reserved)
            .await;
    }

    async fn post_engine(&self, path: &str, name: &str, address: String, capacity: CapacityKind) {
        let listing = EndpointListing {
            endpoint: EndpointId::new(name).expect("the name is valid"),
            failure_domain: domain(),
            kind: EndpointKind::Engine,
            capacity,
            service: ServiceName::new("assistant").expect("the name is valid"),
            model: Some(ModelName::new("small-chat").expect("the name is valid")),
            address,
            state: EndpointState::Ready,
            checks_fencing: true,
        };
        let posted = control::post(&self.address(), path, &listing).await;
        posted.expect("the platform takes it");
    }

    /// Starts an entry's node, which follows the log and talks to its peers.
    pub async fn entry_node(&self, name: &str, token: &CancellationToken) -> NodeHandle {
        let node = NodeHandle::start(self.node(name), ClockSource::new(), token);
        let http_address = SocketAddr::from(([127, 0, 0, 1], 1));
        let joined = node.join(InstanceProgram::Entry, http_address, token);
        joined.await.expect("the entry takes peers");
        node
    }

    /// Lists an entry that tells what `demand` holds.
    pub async fn list_entry(&self, demand: ToldDemand) -> RunningServer {
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        let rocket = ops::server(local)
            .mount("/", rocket::routes![demand_route])
            .manage(demand);
        let server = RunningServer::start(rocket, local).await;
        let server = server.expect("the entry listens");
        let listing = InstanceListing {
            instance: instance("entry-1"),
            failure_domain: domain(),
            program: InstanceProgram::Entry,
            state: InstanceState::Live,
            http_address: server.address.to_string(),
            peer_address: "127.0.0.1:1".to_string(),
        };
        let announced = self.client.announce(&listing).await;
        announced.expect("the platform lists it");
        server
    }

    /// All that reached the platform.
    pub async fn history(&self) -> PlatformHistory {
        let history = control::history(&self.address()).await;
        history.expect("the platform tells its history")
    }

    /// The log as every reader folds it.
    pub async fn view(&self) -> FleetView {
        let mut view = FleetView::new();
        for raw in self.history().await.appends {
            let entry = LogEntry {
                offset: raw.offset,
                writer: raw.writer,
                sequence: raw.sequence,
                record: serde_json::from_str(&raw.payload).expect("records are JSON"),
            };
            view.apply(ClockSource::new().now(), &entry);
        }
        view
    }

    /// Waits until the log's view is as `check` wants it.
    pub async fn until_view<Check>(&self, event: &str, check: Check)
    where
        Check: Fn(&FleetView) -> bool,
    {
        let seen = wait::until(event, || async { check(&self.view().await).then_some(()) });
        seen.await.expect("the event happens");
    }

    pub async fn stop(self) {
        self.platform.stop().await;
    }
}

pub fn instance(name: &str) -> InstanceId {
    InstanceId::new(name).expect("the name is valid")
}

pub fn domain() -> FailureDomain {
    FailureDomain::new("tpe-a").expect("the name is valid")
}
