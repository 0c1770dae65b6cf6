//! Starts an entry against a fake platform and fake endpoints.
#![allow(dead_code)]

pub mod endpoint;
pub mod platform;

use std::time::Duration;

use bluebell_core::{
    clock::{ClockSource, TimeSpan},
    config::{
        KeyUnit, OrganisationUnit, RuleUnit, ServiceTarget, ServiceUnit, UnitBody, UnitKind,
        UnitName,
    },
    ids::{EndpointId, KeyDigest, ModelName, OrganisationId, ServiceName},
    records::{CapacityKind, LogRecord, PublishRecord, UnitChange},
    units::{ShareWeight, TokenCount},
};
use bluebell_entry::{EntrySettings, RunningEntry};
use bluebell_platform::api::{EndpointKind, EndpointListing, EndpointState};
use platform::FakePlatform;
use tokio_util::sync::CancellationToken;

/// The API key of the tests' caller.
pub const KEY: &str = "blank-match-kiosk-7";

/// How long a test waits for an expected condition.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

const DEFAULT_PROGRESS_LIMIT: TimeSpan = TimeSpan::from_secs(20);

/// An entry and its fake platform.
pub struct TestBed {
    pub platform: FakePlatform,
    pub entry: RunningEntry,
    pub http: reqwest::Client,
}

/// Settings of the entry `name`, with short intervals and timeouts.
pub fn settings(platform: &FakePlatform, name: &str) -> EntrySettings {
    let text = format!(
        r#"
        [node]
        instance = "{name}"
        failure_domain = "se-a"
        region = "se"
        platform = "{}"
        http_address = "127.0.0.1:0"
        peer_address = "127.0.0.1:0"
        append_timeout = "1s"
        [requests]
        heartbeat = "20ms"
        commit_after = "1s"
        list_interval = "20ms"
        claim_patience = "2s"
        [metering]
        flush_interval = "50ms"
        "#,
        platform.address
    );
    bluebell_daemon::settings::parse("test.toml", &text, EntrySettings::problems).unwrap()
}

pub async fn start_entry(settings: EntrySettings) -> RunningEntry {
    let token = CancellationToken::new();
    bluebell_entry::start(settings, ClockSource::new(), token)
        .await
        .unwrap()
}

impl TestBed {
    /// Starts an entry that has read the configuration of a chat service, a plain
    /// service, an organisation and its key.
    pub async fn start() -> TestBed {
        TestBed::with_settings(|_| {}).await
    }

    pub async fn with_settings<Change>(change: Change) -> TestBed
    where
        Change: FnOnce(&mut EntrySettings),
    {
        TestBed::with_progress_limit(DEFAULT_PROGRESS_LIMIT, change).await
    }

    /// Starts an entry whose services have `limit` as their progress limit.
    pub async fn with_progress_limit<Change>(limit: TimeSpan, change: Change) -> TestBed
    where
        Change: FnOnce(&mut EntrySettings),
    {
        let platform = FakePlatform::start().await;
        platform.publish(&test_configuration(limit));
        let mut settings = settings(&platform, "entry-1");
        change(&mut settings);
        let entry = start_entry(settings).await;
        let http = reqwest::Client::new();
        let bed = TestBed {
            platform,
            entry,
            http,
        };
        bed.wait_ready().await;
        bed
    }

    pub async fn wait_ready(&self) {
        wait_ready(&self.http, &self.entry).await;
    }

    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.entry.http_address)
    }

    /// Lists these endpoints at the platform and waits until the entry routes to them.
    pub async fn list(&self, listings: Vec<EndpointListing>) {
        self.platform.list(listings.clone());
        wait_routed(&self.http, &self.entry, &listings).await;
    }

    /// Waits until the entry's dump satisfies `test`.
    pub async fn wait_dump<Test>(&self, test: Test)
    where
        Test: Fn(&serde_json::Value) -> bool,
    {
        let url = self.url("/dump");
        eventually(async || {
            let dump = self.http.get(&url).send().await.unwrap();
            test(&dump.json().await.unwrap())
        })
        .await;
    }

    /// Waits until the router has `count` engines whose role is not `mixed`.
    pub async fn wait_roles(&self, count: usize) {
        self.wait_dump(|dump| {
            let routes = dump["routes"].as_array().unwrap();
            routes
                .iter()
                .filter(|route| route["role"] != "mixed")
                .count()
                == count
        })
        .await;
    }

    /// Waits until the entry's metrics contain this line.
    pub async fn wait_metric(&self, line: &str) {
        let url = self.url("/metrics");
        eventually(async || {
            let text = self.http.get(&url).send().await.unwrap().text().await;
            text.unwrap().lines().any(|present| present == line)
        })
        .await;
    }

    pub fn chat(&self, stream: bool, text: &str) -> reqwest::RequestBuilder {
        chat_to(&self.http, &self.entry, stream, text)
    }

    pub fn call(&self, method: &str, path: &str) -> reqwest::RequestBuilder {
        call_to(&self.http, &self.entry, method, path)
    }
}

pub async fn wait_ready(http: &reqwest::Client, entry: &RunningEntry) {
    let url = format!("http://{}/ready", entry.http_address);
    eventually(async || http.get(&url).send().await.unwrap().status().is_success()).await;
}

/// Waits until the entry routes to these endpoints.
pub async fn wait_routed(
    http: &reqwest::Client,
    entry: &RunningEntry,
    listings: &[EndpointListing],
) {
    let url = format!("http://{}/dump", entry.http_address);
    eventually(async || {
        let dump = http.get(&url).send().await.unwrap();
        let dump: serde_json::Value = dump.json().await.unwrap();
        let routed = dump["routes"].as_array().unwrap();
        let pools = dump["pools"].as_array().unwrap();
        let serving = pools.iter().any(|pool| pool["slots"] != 0);
        let is_routed = |listing: &EndpointListing| {
            routed
                .iter()
                .any(|routed| routed["endpoint"] == listing.endpoint.as_str())
        };
        serving && listings.iter().all(is_routed)
    })
    .await;
}

pub fn chat_to(
    http: &reqwest::Client,
    entry: &RunningEntry,
    stream: bool,
    text: &str,
) -> reqwest::RequestBuilder {
    let body = serde_json::json!({
        "model": "chat",
        "messages": [{"role": "user", "content": text}],
        "stream": stream,
    });
    http.post(format!("http://{}/v1/chat/completions", entry.http_address))
        .bearer_auth(KEY)
        .json(&body)
}

pub fn call_to(
    http: &reqwest::Client,
    entry: &RunningEntry,
    method: &str,
    path: &str,
) -> reqwest::RequestBuilder {
    let url = format!("http://{}/v1/services/pay{path}", entry.http_address);
    let method = reqwest::Method::from_bytes(method.as_bytes()).unwrap();
    http.request(method, url).bearer_auth(KEY)
}

/// Waits until `test` holds; fails after [`TEST_TIMEOUT`].
pub async fn eventually<Test>(mut test: Test)
where
    Test: AsyncFnMut() -> bool,
{
    let wait = async {
        while !test().await {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, wait)
        .await
        .expect("the expected condition did not hold within TEST_TIMEOUT");
}

fn change(kind: UnitKind, name: &str, body: UnitBody) -> UnitChange {
    UnitChange {
        unit: UnitName::new(kind, name).unwrap(),
        base: None,
        body: Some(body),
    }
}

fn service(target: ServiceTarget, limit: TimeSpan) -> UnitBody {
    UnitBody::Service(ServiceUnit {
        target,
        priority: Default::default(),
        deadline: TimeSpan::from_secs(20),
        progress_limit: limit,
        preemptible: false,
    })
}

fn organisation(in_flight: u32) -> UnitBody {
    UnitBody::Organisation(OrganisationUnit {
        weight: ShareWeight::new(1),
        services: Vec::new(),
        max_in_flight: in_flight,
    })
}

/// The configuration of the tests, with `limit` as the services' progress limit.
pub fn test_configuration(limit: TimeSpan) -> LogRecord {
    let model = ModelName::new("m1").unwrap();
    let target = ServiceTarget::Model {
        model,
        max_tokens: TokenCount::new(100),
    };
    let key = UnitBody::Key(KeyUnit {
        organisation: OrganisationId::new("magnolia").unwrap(),
        digest: KeyDigest::with_key(KEY),
    });
    let rule = UnitBody::Rule(RuleUnit {
        service: ServiceName::new("pay").unwrap(),
        method: None,
        path_prefix: "/lookup".to_string(),
        repeatable: true,
    });
    LogRecord::Publish(PublishRecord {
        publisher: "test".to_string(),
        changes: vec![
            change(UnitKind::Service, "chat", service(target, limit)),
            change(
                UnitKind::Service,
                "pay",
                service(ServiceTarget::Plain {}, limit),
            ),
            change(UnitKind::Organisation, "magnolia", organisation(50)),
            change(UnitKind::Key, "kiosk", key),
            change(UnitKind::Rule, "pay-lookup", rule),
        ],
    })
}

/// The listing of a ready endpoint of the chat or the plain service.
pub fn listing(id: &str, kind: EndpointKind, address: &str) -> EndpointListing {
    let (service, model) = match kind {
        EndpointKind::Engine => ("chat", Some(ModelName::new("m1").unwrap())),
        EndpointKind::Plain => ("pay", None),
    };
    EndpointListing {
        endpoint: EndpointId::new(id).unwrap(),
        failure_domain: "se-a".parse().unwrap(),
        kind,
        capacity: CapacityKind::Reserved,
        service: ServiceName::new(service).unwrap(),
        model,
        address: address.to_string(),
        state: EndpointState::Ready,
        checks_fencing: true,
    }
}
