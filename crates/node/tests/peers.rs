//! Peer connections between nodes, over real sockets on loopback.

mod support;

use bluebell_core::{
    clock::TimeSpan,
    ids::{EndpointId, FailureDomain, InstanceId, OrganisationId, RequestFingerprint},
    membership::{
        EndpointLoad, InstanceListing, InstanceProgram, InstanceState, LinkPlan, LocalStatus,
        OrganisationShare, PlanMember,
    },
    records::{LogRecord, QuarantineRecord},
    units::{TokenCount, WorkCost},
};
use standin_platform::faults::PlatformFaults;
use support::{TestPlatform, WAIT_TIMEOUT, key, organisation, wait_until, withdrawal};

fn status(state: InstanceState) -> LocalStatus {
    LocalStatus {
        state,
        loads: vec![EndpointLoad {
            endpoint: EndpointId::new("engine-1").expect("valid"),
            requests: 3,
            tokens: TokenCount::new(300),
        }],
        shares: vec![OrganisationShare {
            organisation: OrganisationId::new("one").expect("valid"),
            cost: WorkCost::new(42),
        }],
    }
}

fn plan_member(name: &str, domain: &str) -> PlanMember {
    PlanMember {
        failure_domain: FailureDomain::new(domain).expect("valid"),
        instance: InstanceId::new(name).expect("valid"),
    }
}

/// Without the load reported by their peers, entries would all send their work to
/// the same endpoint and serve one organisation several times its share.
#[tokio::test(flavor = "multi_thread")]
async fn instances_report_their_load_to_all_peers_across_failure_domains() {
    let platform = TestPlatform::start(10_000).await;
    let mut nodes = Vec::new();
    for (name, domain) in [("a", "x"), ("b", "x"), ("c", "y"), ("d", "z"), ("e", "z")] {
        nodes.push(platform.join(name, domain).await);
    }
    nodes[0].node.set_local(status(InstanceState::Live));
    let has_status = |node: &support::TestNode| {
        let peers = node.node.peers();
        peers
            .iter()
            .any(|peer| peer.instance.as_str() == "a" && peer.status == status(InstanceState::Live))
    };
    for node in &nodes[1..] {
        wait_until("the load of `a`", || has_status(node)).await;
    }
    nodes[0].node.set_local(status(InstanceState::Leaving));
    let leaving = |node: &support::TestNode| {
        let peers = node.node.peers();
        peers
            .iter()
            .any(|p| p.instance.as_str() == "a" && p.state == InstanceState::Leaving)
    };
    for node in &nodes[1..] {
        wait_until("`a` leaving", || leaving(node)).await;
    }
}

/// A failure domain is partitioned from the platform. Its instance must follow the
/// log through peers that still read it, and keep confirming the log's end.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_without_the_platform_follows_the_log_through_its_peers() {
    let platform = TestPlatform::start(10_000).await;
    let a = platform.join("a", "x").await;
    let b = platform.join("b", "x").await;
    let c = platform.join("c", "y").await;
    for node in [&a, &b, &c] {
        assert!(node.node.wait_caught_up(WAIT_TIMEOUT).await);
    }
    wait_until("a connection of `c`", || c.has_peer(&a) || c.has_peer(&b)).await;
    wait_until("a connection between `a` and `b`", || a.has_peer(&b)).await;
    let mut faults = PlatformFaults::default();
    faults
        .cut_domains
        .insert(FailureDomain::new("y").expect("valid"));
    platform.set(faults).await;
    let partitioned_at = c.node.clock().now();
    // A read in flight at the time of the partition may still return the first entry.
    let first = a.publish(organisation("one", None, 5)).await;
    assert!(c.node.wait_applied(first, WAIT_TIMEOUT).await);
    let second = a.publish(organisation("one", Some(first), 6)).await;
    assert!(c.node.wait_applied(second, WAIT_TIMEOUT).await);
    assert_eq!(c.weight("one"), Some(6));
    wait_until("the log's end confirmed after the partition", || {
        let now = c.node.clock().now();
        c.node
            .freshness()
            .is_some_and(|age| now - age > partitioned_at)
    })
    .await;
}

/// Two instances of a failure domain read the log and relay it to the others. When
/// one of the two stops, another one must start to read the log.
#[tokio::test(flavor = "multi_thread")]
async fn two_instances_of_a_failure_domain_read_the_log_for_all() {
    let platform = TestPlatform::start(10_000).await;
    let mut nodes = Vec::new();
    for name in ["a", "b", "c", "d", "e"] {
        nodes.push(platform.join(name, "x").await);
    }
    let readers = |nodes: &[support::TestNode]| {
        let reads = |node: &&support::TestNode| node.node.report().reads_log;
        nodes.iter().filter(reads).count()
    };
    wait_until("two readers", || readers(&nodes) == 2).await;
    let offset = nodes[0].publish(organisation("one", None, 5)).await;
    for node in &nodes {
        assert!(node.node.wait_applied(offset, WAIT_TIMEOUT).await);
    }
    let reader = nodes.iter().position(|node| node.node.report().reads_log);
    drop(nodes.remove(reader.expect("there are two readers")));
    wait_until("two readers again", || readers(&nodes) == 2).await;
    let base = Some(offset);
    let offset = nodes[0].publish(organisation("one", base, 6)).await;
    for node in &nodes {
        assert!(node.node.wait_applied(offset, WAIT_TIMEOUT).await);
        assert_eq!(node.weight("one"), Some(6));
    }
}

/// An instance crashes right after its start, when it is on the platform's list but
/// not all instances of its failure domain have connected to it. Those that never
/// did must not count it as one of the two readers, or only one reader is left.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_no_peer_reached_is_not_counted_as_a_reader() {
    let platform = TestPlatform::start(10_000).await;
    let names = ["a", "b", "c"];
    let crashed = (0..).map(|n| format!("lost-{n}"));
    let crashed = crashed
        .map(|name| plan_member(&name, "x"))
        .find(|crashed| {
            let others = names.map(|name| plan_member(name, "x"));
            LinkPlan::new(crashed, &others).is_reader
        })
        .expect("some name comes first");
    let mut nodes = Vec::new();
    for name in names {
        nodes.push(platform.join(name, "x").await);
    }
    let unused = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = unused.local_addr().expect("bound").to_string();
    drop(unused);
    let listing = InstanceListing {
        instance: crashed.instance.clone(),
        failure_domain: crashed.failure_domain,
        program: InstanceProgram::Entry,
        state: InstanceState::Live,
        http_address: address.clone(),
        peer_address: address,
    };
    let received = nodes[0].node.platform().announce(&listing).await;
    received.expect("the platform accepts the listing");
    for node in &nodes {
        let is_listed = || {
            let peers = node.node.peers();
            peers.iter().any(|peer| peer.instance == crashed.instance)
        };
        wait_until("the listing of the crashed instance", is_listed).await;
    }
    let reads = |node: &&support::TestNode| node.node.report().reads_log;
    wait_until("two readers among the running instances", || {
        nodes.iter().filter(reads).count() == 2
    })
    .await;
}

/// A stolen key is withdrawn while the log is down. The withdrawal must reach every
/// instance, make it reject the key, and be in the log once the log is available
/// again, even if the instance that received it first has stopped meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawal_reaches_all_instances_while_the_log_is_down() {
    let platform = TestPlatform::start(10_000).await;
    let a = platform.join("a", "x").await;
    let b = platform.join("b", "x").await;
    let c = platform.join("c", "y").await;
    let offset = a.publish(key("k", "secret")).await;
    for node in [&b, &c] {
        assert!(node.node.wait_applied(offset, WAIT_TIMEOUT).await);
        assert!(node.accepts_key("secret"));
    }
    wait_until("connections", || {
        a.has_peer(&b) && (c.has_peer(&a) || c.has_peer(&b))
    })
    .await;
    platform.log_down().await;
    a.node.withdraw(&withdrawal("secret"));
    assert!(!a.accepts_key("secret"));
    for node in [&b, &c] {
        wait_until("the withdrawal", || !node.accepts_key("secret")).await;
    }
    drop(a);
    let late = platform.join("late", "y").await;
    wait_until("the withdrawal at a late peer", || {
        late.node
            .with_view(|view| view.keys.is_withdrawn(&withdrawal("secret").digest))
    })
    .await;
    platform.heal().await;
    let outside = platform.follow("outside");
    wait_until("the withdrawal in the log", || {
        outside
            .node
            .with_view(|view| view.keys.is_withdrawn(&withdrawal("secret").digest))
    })
    .await;
}

/// A request that crashes engines is retried at another entry while the log is
/// down; that entry must have received the quarantine record.
#[tokio::test(flavor = "multi_thread")]
async fn an_urgent_record_reaches_peers_without_the_log() {
    let platform = TestPlatform::start(10_000).await;
    let a = platform.join("a", "x").await;
    let b = platform.join("b", "y").await;
    wait_until("a connection between `a` and `b`", || {
        a.has_peer(&b) && b.has_peer(&a)
    })
    .await;
    platform.log_down().await;
    let mut urgent_records = b.node.subscribe_urgent_records();
    let one = OrganisationId::new("one").expect("valid");
    let record = LogRecord::Quarantine(QuarantineRecord {
        fingerprint: RequestFingerprint::with_content(&one, b"poison"),
        endpoint: EndpointId::new("engine-1").expect("valid"),
        incarnation: 1,
        entry: a.node.settings().instance.clone(),
        cleared: false,
    });
    a.node.broadcast_urgent_record(&record);
    let received = tokio::time::timeout(WAIT_TIMEOUT.as_duration(), urgent_records.recv()).await;
    assert_eq!(
        received.expect("received in time").expect("received"),
        record
    );
}

/// A connection between two instances stalls: it stays open at both ends but
/// carries no more data, while new connections work. Without a time-out, the two
/// would never exchange messages again.
#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_connection_is_replaced_by_a_new_one() {
    let platform = TestPlatform::start(10_000).await;
    let proxy = support::StallingProxy::start().await;
    let mut settings = platform.settings("b", "y");
    settings.peer_advertise = Some(proxy.address);
    let a = platform.join("a", "x").await;
    let b = platform.join_with(settings).await;
    proxy.set_target(b.peer_address);
    wait_until("a connection between `a` and `b`", || {
        a.has_peer(&b) && b.has_peer(&a)
    })
    .await;
    let before = a.node.link_number(b.name());
    proxy.stall_connections();
    wait_until("another connection", || {
        let now = a.node.link_number(b.name());
        now.is_some() && now != before
    })
    .await;
    a.node.set_local(status(InstanceState::Live));
    wait_until("an update over the new connection", || {
        let peers = b.node.peers();
        peers
            .iter()
            .any(|peer| peer.instance.as_str() == "a" && !peer.status.loads.is_empty())
    })
    .await;
}

/// An instance is partitioned from the platform and has no peers while a key is
/// withdrawn at another instance. It can't receive the withdrawal, so the age that
/// it reports must show that its view may lack it.
#[tokio::test(flavor = "multi_thread")]
async fn a_partitioned_instance_reports_the_age_of_its_view() {
    let platform = TestPlatform::start(10_000).await;
    let a = platform.join("a", "x").await;
    let isolated = platform.follow("alone");
    let offset = a.publish(key("k", "secret")).await;
    assert!(isolated.node.wait_applied(offset, WAIT_TIMEOUT).await);
    let mut faults = PlatformFaults::default();
    faults.cut_instances.insert(isolated.name().clone());
    platform.set(faults).await;
    // Once two more reads have started, the read in flight at the time of the
    // partition has ended.
    let reads = isolated.node.log_reads();
    wait_until("refused reads", || isolated.node.log_reads() >= reads + 2).await;
    let withdrawn_at = isolated.node.clock().now();
    a.node.withdraw(&withdrawal("secret"));
    let bound = TimeSpan::from_secs(1);
    let reads = isolated.node.log_reads();
    wait_until("refused reads after the withdrawal", || {
        isolated.node.log_reads() >= reads + 3
    })
    .await;
    wait_until("a freshness above 1 s", || {
        isolated.node.freshness().is_some_and(|age| age > bound)
    })
    .await;
    let age = isolated
        .node
        .freshness()
        .expect("the log's end was confirmed once");
    assert!(isolated.node.clock().now() - age <= withdrawn_at);
    assert!(isolated.accepts_key("secret"));
    platform.heal().await;
    wait_until("the withdrawal", || !isolated.accepts_key("secret")).await;
    wait_until("the log's end confirmed after the withdrawal", || {
        let now = isolated.node.clock().now();
        let age = isolated.node.freshness();
        age.is_some_and(|age| now - age > withdrawn_at)
    })
    .await;
}
