//! The commands' work against a platform stand-in and instances on loopback.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use bluebell_cli::ops::{
    confirm, fleet,
    keys::{self, KeyChoice, WithdrawRequest},
    publish::{self, PublishError, PublishRequest},
    session::FleetSession,
};
use bluebell_core::{
    clock::{ClockSource, ClockTime, TimeSpan},
    config::{OrganisationUnit, UnitBody, UnitKind, UnitName},
    ids::{FailureDomain, InstanceId, KeyDigest, LogOffset, OrganisationId, RegionId},
    membership::{InstanceListing, InstanceProgram, InstanceState},
    records::UnitChange,
    units::ShareWeight,
};
use bluebell_daemon::{
    journal::{self, DecisionJournal, DecisionRecord},
    ops::{self, OpsSource, ReadyState, RunningServer, server},
};
use bluebell_node::{NodeHandle, NodeSettings, admin};
use standin_platform::{
    PlatformSettings, RunningPlatform,
    faults::{OutageKind, PlatformFaults},
};
use tokio_util::sync::CancellationToken;

/// How long an event may take before a test fails; no verdict depends on it.
const PATIENCE: TimeSpan = TimeSpan::from_secs(60);

struct TestFleet {
    platform: RunningPlatform,
    nodes: Vec<NodeHandle>,
    servers: Vec<RunningServer>,
    journals: Vec<DecisionJournal>,
    token: CancellationToken,
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        self.token.cancel();
    }
}

impl TestFleet {
    async fn start(instances: usize) -> TestFleet {
        let mut fleet = TestFleet::empty().await;
        for number in 0..instances {
            fleet.add(number).await;
        }
        let client = fleet.nodes[0].platform().clone();
        let listed = async {
            while client.instances().await.expect("listed").len() < instances {
                tokio::time::sleep(TimeSpan::from_millis(10).as_duration()).await;
            }
        };
        let listed = tokio::time::timeout(PATIENCE.as_duration(), listed).await;
        listed.expect("all instances are listed in time");
        fleet
    }

    async fn empty() -> TestFleet {
        let settings = PlatformSettings {
            appends_per_second: 100_000,
            list_lag: TimeSpan::ZERO,
            ..PlatformSettings::default()
        };
        let token = CancellationToken::new();
        let platform = standin_platform::start(settings, ClockSource::new(), token.child_token());
        TestFleet {
            platform: platform.await.expect("the stand-in starts"),
            nodes: Vec::new(),
            servers: Vec::new(),
            journals: Vec::new(),
            token,
        }
    }

    async fn add(&mut self, number: usize) {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = NodeSettings {
            instance: InstanceId::new(format!("entry-{number}")).expect("valid"),
            failure_domain: FailureDomain::new(format!("domain-{number}")).expect("valid"),
            region: RegionId::new("region").expect("valid"),
            platform: self.address(),
            http_address: any,
            peer_address: any,
            peer_advertise: None,
            read_wait: TimeSpan::from_millis(200),
            append_timeout: TimeSpan::from_secs(2),
        };
        let node = NodeHandle::start(settings, ClockSource::new(), &self.token);
        let ready_node = node.clone();
        let ready = move || match ready_node.obstacle() {
            Some(obstacle) => ReadyState::NotReady(obstacle),
            None => ReadyState::Ready,
        };
        let dump = move || serde_json::json!({ "number": number });
        let source = OpsSource::new(prometheus::Registry::new(), ready, dump);
        let rocket = admin::mount(ops::mount(server(any), source), node.clone());
        let journal = DecisionJournal::new();
        let rocket = journal::mount(rocket, journal.clone());
        self.journals.push(journal);
        let running = RunningServer::start(rocket, any).await.expect("listens");
        node.join(InstanceProgram::Entry, running.address, &self.token)
            .await
            .expect("joins");
        self.nodes.push(node);
        self.servers.push(running);
    }

    fn address(&self) -> String {
        self.platform.http_address.to_string()
    }

    async fn session(&self, publisher: &str) -> FleetSession {
        let session = FleetSession::open(&self.address(), publisher).await;
        session.expect("the log is read")
    }

    async fn set(&self, faults: &PlatformFaults) {
        let url = format!("http://{}/control/faults", self.address());
        let sent = reqwest::Client::new().post(url).json(faults).send().await;
        sent.expect("the stand-in takes faults");
    }

    fn admits(&self, key: &str) -> Vec<bool> {
        let digest = KeyDigest::with_key(key);
        let admits =
            |node: &NodeHandle| node.with_view(|view| view.key_organisation(&digest).is_some());
        self.nodes.iter().map(admits).collect()
    }
}

fn sample() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples/magnolia")
}

fn request(publisher: &str) -> PublishRequest {
    PublishRequest {
        directories: vec![sample()],
        publisher: publisher.to_string(),
        prune: false,
    }
}

/// An operator publishes and takes "published" for "in force", while one instance
/// still admits callers by the former rules. The command names it.
#[tokio::test(flavor = "multi_thread")]
async fn a_publish_names_the_instances_that_have_not_confirmed() {
    let fleet = TestFleet::start(2).await;
    let session = fleet.session("ada").await;
    let prepared = publish::prepare(&session, &request("ada")).expect("right");
    assert!(prepared.difference.units.len() > 20);
    let report = publish::send(&session, prepared, PATIENCE).await;
    let report = report.expect("published");
    assert_eq!(report.confirmation.unconfirmed, []);
    assert_eq!(report.confirmation.confirmed.len(), 2);
    let again = publish::prepare(&session, &request("ada")).expect("right");
    assert!(again.difference.is_empty());

    let silent = InstanceListing {
        instance: InstanceId::new("silent").expect("valid"),
        failure_domain: FailureDomain::new("domain-0").expect("valid"),
        program: InstanceProgram::Entry,
        state: InstanceState::Live,
        http_address: "127.0.0.1:1".to_string(),
        peer_address: "127.0.0.1:1".to_string(),
    };
    let client = session.node.platform();
    client.announce(&silent).await.expect("announced");
    let confirmation = confirm::confirm(&session, report.offset, TimeSpan::ZERO).await;
    let confirmation = confirmation.expect("asked");
    let named = &confirmation.unconfirmed[0];
    assert_eq!(named.instance, silent.instance);
    assert!(named.reason.contains("does not answer at `127.0.0.1:1`"));
    assert_eq!(confirmation.exit_code(), 3);
}

/// A whole chain's organisations are published at once. A record that peers can't
/// relay would reach some instances and not others; the operator is told before
/// anything is sent.
#[tokio::test(flavor = "multi_thread")]
async fn a_record_that_is_too_large_is_refused_before_it_is_sent() {
    let fleet = TestFleet::start(1).await;
    let session = fleet.session("ada").await;
    let change = |number: usize| UnitChange {
        unit: UnitName::new(UnitKind::Organisation, &format!("o-{number}")).expect("valid"),
        base: None,
        body: Some(UnitBody::Organisation(OrganisationUnit {
            weight: ShareWeight::new(1),
            services: Vec::new(),
            max_in_flight: 4,
        })),
    };
    let changes = (0..10_000).map(change).collect();
    let error = publish::append_changes(&session, changes).await;
    let error = error.expect_err("it is too large").to_string();
    assert!(
        error.contains("expected at most 524288B; publish fewer"),
        "{error}"
    );
    assert_eq!(fleet.nodes[0].progress().next, LogOffset::START);
}

/// Two operators publish at once. The second is told who came first, and what the
/// first published stays.
#[tokio::test(flavor = "multi_thread")]
async fn the_loser_of_a_race_is_told_the_winner() {
    let fleet = TestFleet::start(1).await;
    let (ada, ben) = (fleet.session("ada").await, fleet.session("ben").await);
    let first = publish::prepare(&ada, &request("ada")).expect("right");
    let second = publish::prepare(&ben, &request("ben")).expect("right");
    publish::send(&ada, first, PATIENCE).await.expect("first");
    let error = publish::send(&ben, second, PATIENCE).await;
    let error = error.expect_err("ada came first");
    assert!(matches!(
        error.downcast_ref::<PublishError>(),
        Some(PublishError::Refused(_))
    ));
    assert!(
        error.to_string().contains("was changed by `ada`"),
        "{error}"
    );
    assert_eq!(bluebell_cli::ops::exit_code(&error), 4);
}

/// A key is stolen while the log is down. The operator's command stops it on all
/// instances at once and says that the log does not have it yet.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_granted_and_withdrawn_also_while_the_log_is_down() {
    let fleet = TestFleet::start(2).await;
    let session = fleet.session("ada").await;
    let prepared = publish::prepare(&session, &request("ada")).expect("right");
    publish::send(&session, prepared, PATIENCE)
        .await
        .expect("published");
    let organisation = OrganisationId::new("southern-keys").expect("valid");
    let granted = keys::grant(&session, &organisation, "new-kiosks", PATIENCE).await;
    let granted = granted.expect("granted");
    assert_eq!(fleet.admits(&granted.key), [true, true]);
    fleet
        .set(&PlatformFaults {
            log_outage: Some(OutageKind::Refuse),
            ..PlatformFaults::default()
        })
        .await;
    let request = |patience| WithdrawRequest {
        platform: fleet.address(),
        publisher: "ada".to_string(),
        instance: None,
        choice: KeyChoice::Digest(granted.digest.clone()),
        patience,
    };
    let report = keys::withdraw(request(TimeSpan::from_millis(300))).await;
    let report = report.expect("the instances take it");
    assert_eq!(report.taken.len(), 2);
    assert!(!report.in_log);
    assert_eq!(report.exit_code(), 3);
    assert_eq!(fleet.admits(&granted.key), [false, false]);
    fleet.set(&PlatformFaults::default()).await;
    let report = keys::withdraw(request(PATIENCE)).await.expect("withdrawn");
    assert!(report.in_log);
    let again = keys::grant(&session, &organisation, "new-kiosks", PATIENCE).await;
    assert!(
        again
            .expect_err("the name is taken")
            .to_string()
            .contains("exists")
    );
}

fn decision(at: u64, text: &str) -> DecisionRecord {
    DecisionRecord {
        at: ClockTime::from_millis(at),
        subjects: vec!["engine a/1".to_string()],
        decision: text.to_string(),
        reason: "a test".to_string(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn decisions_of_all_instances_are_merged_by_time() {
    let running = TestFleet::start(2).await;
    running.journals[1].record(decision(10, "first"));
    running.journals[0].record(decision(20, "second"));
    running.journals[1].record(decision(30, "third"));
    let listings = running.nodes[0]
        .platform()
        .instances()
        .await
        .expect("listed");
    let explanation = fleet::explain(&listings, "engine a/1").await;
    let told = explanation.decisions.iter();
    let told: Vec<&str> = told.map(|d| d.record.decision.as_str()).collect();
    assert_eq!(told, ["first", "second", "third"]);
    assert_eq!(explanation.unasked, Vec::<String>::new());
    let dump = fleet::dump(&listings[1]).await.expect("it answers");
    assert_eq!(dump["number"], 1);
}

/// An instance that was started in an outage takes no work. The operator sees
/// which and why, and the command fails.
#[tokio::test(flavor = "multi_thread")]
async fn the_status_names_an_instance_that_is_not_ready_and_why() {
    let mut running = TestFleet::empty().await;
    running
        .set(&PlatformFaults {
            log_outage: Some(OutageKind::Refuse),
            ..PlatformFaults::default()
        })
        .await;
    running.add(0).await;
    let client = running.nodes[0].platform().clone();
    let told = |instances: &[fleet::InstanceStatus]| {
        let mut reasons = instances.iter().filter_map(|i| i.ready.as_ref().err());
        reasons.any(|reason| reason.contains("no peer that is ready"))
    };
    let asked = async {
        loop {
            let instances = fleet::instances(&client).await.expect("listed");
            if told(&instances) {
                return instances;
            }
            tokio::time::sleep(TimeSpan::from_millis(10).as_duration()).await;
        }
    };
    let instances = tokio::time::timeout(PATIENCE.as_duration(), asked).await;
    let instances = instances.expect("the reason is told in time");
    let status = fleet::FleetStatus {
        instances,
        duties: Some(Vec::new()),
        endpoints: Some(Vec::new()),
    };
    assert_eq!(status.exit_code(), 1);
    assert!(
        status
            .to_string()
            .contains("not ready: the log can't be read")
    );
    running.set(&PlatformFaults::default()).await;
    assert!(running.nodes[0].wait_caught_up(PATIENCE).await);
    let instances = fleet::instances(&client).await.expect("listed");
    assert_eq!(instances[0].ready, Ok(()));
}
