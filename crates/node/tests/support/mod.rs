//! A stand-in of the platform and nodes, on loopback.

#![allow(dead_code)]

use std::{net::SocketAddr, time::Duration};

use bluebell_core::{
    clock::{ClockSource, TimeSpan},
    config::{KeyUnit, OrganisationUnit, UnitBody, UnitKind, UnitName},
    ids::{FailureDomain, InstanceId, KeyDigest, LogOffset, OrganisationId, RegionId},
    membership::InstanceProgram,
    records::{LogRecord, PublishRecord, UnitChange, WithdrawRecord},
    units::ShareWeight,
};
use bluebell_node::{NodeHandle, NodeSettings};
use standin_platform::{
    PlatformSettings, RunningPlatform,
    faults::{OutageKind, PlatformFaults},
};
use tokio_util::sync::CancellationToken;

/// How long a test waits for a condition before it fails. Only the failure of a
/// test depends on this time.
pub const WAIT_TIMEOUT: TimeSpan = TimeSpan::from_secs(60);

pub struct TestPlatform {
    pub running: RunningPlatform,
    http: reqwest::Client,
}

impl TestPlatform {
    pub async fn start(kept_records: usize) -> TestPlatform {
        let settings = PlatformSettings {
            kept_records,
            appends_per_second: 100_000,
            list_lag: TimeSpan::ZERO,
            ..PlatformSettings::default()
        };
        let token = CancellationToken::new();
        let running = standin_platform::start(settings, ClockSource::new(), token).await;
        TestPlatform {
            running: running.expect("the stand-in starts"),
            http: reqwest::Client::new(),
        }
    }

    pub async fn set(&self, faults: PlatformFaults) {
        let url = format!("http://{}/control/faults", self.running.http_address);
        let answer = self.http.post(url).json(&faults).send().await;
        answer
            .and_then(|answer| answer.error_for_status())
            .expect("the stand-in accepts the faults");
    }

    pub async fn log_down(&self) {
        self.set(PlatformFaults {
            log_outage: Some(OutageKind::Refuse),
            ..PlatformFaults::default()
        })
        .await;
    }

    pub async fn heal(&self) {
        self.set(PlatformFaults::default()).await;
    }

    pub fn settings(&self, name: &str, domain: &str) -> NodeSettings {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        NodeSettings {
            instance: InstanceId::new(name).expect("valid"),
            failure_domain: FailureDomain::new(domain).expect("valid"),
            region: RegionId::new("region").expect("valid"),
            platform: self.running.http_address.to_string(),
            http_address: any,
            peer_address: any,
            peer_advertise: None,
            read_wait: TimeSpan::from_millis(200),
            append_timeout: TimeSpan::from_secs(2),
        }
    }

    pub fn follow(&self, name: &str) -> TestNode {
        let token = CancellationToken::new();
        let settings = self.settings(name, "outside");
        let node = NodeHandle::start(settings, ClockSource::new(), &token);
        TestNode {
            node,
            token,
            peer_address: SocketAddr::from(([127, 0, 0, 1], 0)),
        }
    }

    pub async fn join(&self, name: &str, domain: &str) -> TestNode {
        self.join_with(self.settings(name, domain)).await
    }

    pub async fn join_with(&self, settings: NodeSettings) -> TestNode {
        let token = CancellationToken::new();
        let node = NodeHandle::start(settings, ClockSource::new(), &token);
        let http = SocketAddr::from(([127, 0, 0, 1], 1));
        let joined = node.join(InstanceProgram::Entry, http, &token).await;
        TestNode {
            node,
            token,
            peer_address: joined.expect("the node joins"),
        }
    }
}

pub struct TestNode {
    pub node: NodeHandle,
    pub token: CancellationToken,
    pub peer_address: SocketAddr,
}

impl Drop for TestNode {
    fn drop(&mut self) {
        self.token.cancel();
    }
}

impl TestNode {
    pub async fn publish(&self, change: UnitChange) -> LogOffset {
        let record = LogRecord::Publish(PublishRecord {
            publisher: "test".to_string(),
            changes: vec![change],
        });
        let offset = self.node.append(record).await.expect("appended");
        assert!(self.node.wait_applied(offset, WAIT_TIMEOUT).await);
        offset
    }

    pub fn name(&self) -> &InstanceId {
        &self.node.settings().instance
    }

    pub fn weight(&self, name: &str) -> Option<u64> {
        let name = OrganisationId::new(name).expect("valid");
        self.node.with_view(|view| {
            let unit = view.configuration.organisation(&name)?;
            Some(unit.weight.count())
        })
    }

    pub fn accepts_key(&self, key: &str) -> bool {
        let digest = KeyDigest::with_key(key);
        self.node
            .with_view(|view| view.key_organisation(&digest).is_some())
    }

    pub fn has_peer(&self, other: &TestNode) -> bool {
        let name = &other.node.settings().instance;
        self.node.report().links.contains(name)
    }
}

pub fn organisation(name: &str, base: Option<LogOffset>, weight: u64) -> UnitChange {
    UnitChange {
        unit: UnitName::new(UnitKind::Organisation, name).expect("valid"),
        base,
        body: Some(UnitBody::Organisation(OrganisationUnit {
            weight: ShareWeight::new(weight),
            services: Vec::new(),
            max_in_flight: 4,
        })),
    }
}

pub fn key(name: &str, text: &str) -> UnitChange {
    UnitChange {
        unit: UnitName::new(UnitKind::Key, name).expect("valid"),
        base: None,
        body: Some(UnitBody::Key(KeyUnit {
            organisation: OrganisationId::new("one").expect("valid"),
            digest: KeyDigest::with_key(text),
        })),
    }
}

pub fn withdrawal(text: &str) -> WithdrawRecord {
    WithdrawRecord {
        digest: KeyDigest::with_key(text),
        publisher: "test".to_string(),
    }
}

/// Waits until `holds` returns true; fails after [`WAIT_TIMEOUT`].
#[track_caller]
pub fn wait_until<Holds>(what: &str, holds: Holds) -> impl Future<Output = ()>
where
    Holds: Fn() -> bool,
{
    let place = std::panic::Location::caller();
    let what = what.to_string();
    async move {
        let waiting = async {
            while !holds() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let waited = tokio::time::timeout(WAIT_TIMEOUT.as_duration(), waiting).await;
        assert!(
            waited.is_ok(),
            "{place}: not seen within {WAIT_TIMEOUT}: {what}"
        );
    }
}

/// A TCP proxy between two instances that can stall the connections it forwards:
/// they stay open but carry no more data, while new connections work.
pub struct StallingProxy {
    pub address: SocketAddr,
    target: std::sync::Arc<std::sync::Mutex<Option<SocketAddr>>>,
    generation: tokio::sync::watch::Sender<u64>,
}

impl StallingProxy {
    pub async fn start() -> StallingProxy {
        let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await;
        let listener = listener.expect("a free port");
        let proxy = StallingProxy {
            address: listener.local_addr().expect("bound"),
            target: Default::default(),
            generation: tokio::sync::watch::Sender::new(0),
        };
        let (target, generation) = (proxy.target.clone(), proxy.generation.clone());
        tokio::spawn(async move {
            while let Ok((inner, _)) = listener.accept().await {
                let target = *target
                    .lock()
                    .expect("no thread panics while it holds the lock");
                let Some(target) = target else { continue };
                let Ok(outer) = tokio::net::TcpStream::connect(target).await else {
                    continue;
                };
                tokio::spawn(forward(inner, outer, generation.subscribe()));
            }
        });
        proxy
    }

    pub fn set_target(&self, target: SocketAddr) {
        *self
            .target
            .lock()
            .expect("no thread panics while it holds the lock") = Some(target);
    }

    pub fn stall_connections(&self) {
        self.generation.send_modify(|generation| *generation += 1);
    }
}

async fn forward(
    mut inner: tokio::net::TcpStream,
    mut outer: tokio::net::TcpStream,
    mut generation: tokio::sync::watch::Receiver<u64>,
) {
    let stalled = tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut inner, &mut outer) => false,
        _ = generation.changed() => true,
    };
    if stalled {
        // Keeps both connections open without forwarding data.
        std::future::pending::<()>().await;
    }
}
