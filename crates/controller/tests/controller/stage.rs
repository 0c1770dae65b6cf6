//! A platform and controllers inside the test's own process.

use bluebell_controller::{ControllerSettings, RunningController};
use bluebell_core::{
    clock::{ClockSource, TimeSpan},
    config::{ServiceTarget, ServiceUnit, UnitBody},
    ids::{
        EndpointId, FailureDomain, InstanceId, LogOffset, ModelName, RegionId, ServiceName,
        WriterId,
    },
    records::{CapacityKind, LogEntry, LogRecord, PublishRecord, UnitChange},
    units::TokenCount,
    view::FleetView,
};
use bluebell_node::NodeSettings;
use bluebell_platform::{
    PlatformClient,
    api::{AppendRequest, EndpointKind, EndpointListing, EndpointState},
};
use bluebell_testkit::{control, wait};
use standin_platform::{PlatformSettings, RunningPlatform, history::PlatformHistory};
use tokio_util::sync::CancellationToken;

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
        let text = "duration = \"2s\"\nmargin = \"300ms\"\nrenew_after = \"400ms\"\n\
             stagger = \"100ms\"\nhandover_after = \"60s\"";
        let settings = ControllerSettings {
            node: self.node(name),
            lease: toml::from_str(text).expect("the settings are valid"),
            orders: toml::from_str(
                "timeout = \"700ms\"\ninterval = \"50ms\"\ndrain_bound = \"1s\"",
            )
            .expect("the settings are valid"),
            usage: toml::from_str("window = \"1s\"\ngrace = \"200ms\"").expect("valid"),
            checkpoints: Default::default(),
        };
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
        let posted = control::post(&self.address(), "/control/endpoints", &listing).await;
        posted.expect("the platform takes it");
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
