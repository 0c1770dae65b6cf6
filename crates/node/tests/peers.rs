//! Nodes that find each other, over real sockets on loopback.

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

/// Entries that don't know of each other's work send all of it to the same
/// endpoint and serve one organisation several times its share.
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
        wait_until("the work of `a`", || has_status(node)).await;
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

/// A failure domain's way to the platform is cut for some of its instances. They
/// take the log from those that still read it, and stay fresh.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_without_the_platform_follows_the_log_through_its_peers() {
    let platform = TestPlatform::start(10_000).await;
    let a = platform.join("a", "x").await;
    let b = platform.join("b", "x").await;
    let c = platform.join("c", "y").await;
    for node in [&a, &b, &c] {
        assert!(node.node.wait_caught_up(WAIT_TIMEOUT).await);
    }
    wait_until("links of `c`", || c.has_peer(&a) || c.has_peer(&b)).await;
    wait_until("link of `a` and `b`", || a.has_peer(&b)).await;
    let mut faults = PlatformFaults::default();
    faults
        .cut_domains
        .insert(FailureDomain::new("y").expect("valid"));
    platform.set(faults).await;
    let cut_at = c.node.clock().now();
    // A read that was under way when the path was cut may still bring the first.
    let first = a.publish(organisation("one", None, 5)).await;
    assert!(c.node.wait_applied(first, WAIT_TIMEOUT).await);
    let second = a.publish(organisation("one", Some(first), 6)).await;
    assert!(c.node.wait_applied(second, WAIT_TIMEOUT).await);
    assert_eq!(c.weight("one"), Some(6));
    wait_until("knowledge from after the cut", || {
        let now = c.node.clock().now();
        c.node.freshness().is_some_and(|age| now - age > cut_at)
    })
    .await;
}

/// All but a few instances of a failure domain leave the log to those few. When
/// one of the few is gone the others must take over without anybody asking.
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
    drop(nodes.remove(reader.expect("two read")));
    wait_until("two readers again", || readers(&nodes) == 2).await;
    let base = Some(offset);
    let offset = nodes[0].publish(organisation("one", base, 6)).await;
    for node in &nodes {
        assert!(node.node.wait_applied(offset, WAIT_TIMEOUT).await);
        assert_eq!(node.weight("one"), Some(6));
    }
}

/// An instance dies right after its start, when the platform's list has it already
/// but not all of its failure domain have reached it. Those who never did must not
/// take it for one of the two that read the log, or only one is left that does.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_no_peer_reached_is_not_counted_as_a_reader() {
    let platform = TestPlatform::start(10_000).await;
    let names = ["a", "b", "c"];
    let lost = (0..).map(|n| format!("lost-{n}"));
    let lost = lost
        .map(|name| plan_member(&name, "x"))
        .find(|lost| {
            let others = names.map(|name| plan_member(name, "x"));
            LinkPlan::new(lost, &others).is_reader
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
        instance: lost.instance.clone(),
        failure_domain: lost.failure_domain,
        program: InstanceProgram::Entry,
        state: InstanceState::Live,
        http_address: address.clone(),
        peer_address: address,
    };
    let received = nodes[0].node.platform().announce(&listing).await;
    received.expect("the list takes it");
    for node in &nodes {
        let is_listed = || {
            let peers = node.node.peers();
            peers.iter().any(|peer| peer.instance == lost.instance)
        };
        wait_until("the lost one's listing", is_listed).await;
    }
    let reads = |node: &&support::TestNode| node.node.report().reads_log;
    wait_until("two readers among the living", || {
        nodes.iter().filter(reads).count() == 2
    })
    .await;
}

/// A key is stolen while the log is down. Its withdrawal reaches every instance
/// all the same, ends the key's work there, and stands in the log once that is
/// back, also if the instance that took it has been lost meanwhile.
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
    wait_until("links", || {
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

/// A request that crashes engines is sent again to another entry while the log
/// is down; that entry must have heard of it.
#[tokio::test(flavor = "multi_thread")]
async fn an_urgent_record_reaches_peers_without_the_log() {
    let platform = TestPlatform::start(10_000).await;
    let a = platform.join("a", "x").await;
    let b = platform.join("b", "y").await;
    wait_until("a link", || a.has_peer(&b) && b.has_peer(&a)).await;
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
    assert_eq!(received.expect("told in time").expect("told"), record);
}

/// Something between two instances loses track of their connection: it stays
/// open at both ends and carries nothing any more, while new ones would work.
/// Without a limit on silence, the two would never hear of each other again.
#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_connection_is_replaced_by_a_new_one() {
    let platform = TestPlatform::start(10_000).await;
    let proxy = support::StallingProxy::start().await;
    let mut settings = platform.settings("b", "y");
    settings.peer_advertise = Some(proxy.address);
    let a = platform.join("a", "x").await;
    let b = platform.join_with(settings).await;
    proxy.set_target(b.peer_address);
    wait_until("a link", || a.has_peer(&b) && b.has_peer(&a)).await;
    let before = a.node.link_number(b.name());
    proxy.stall_connections();
    wait_until("another link", || {
        let now = a.node.link_number(b.name());
        now.is_some() && now != before
    })
    .await;
    a.node.set_local(status(InstanceState::Live));
    wait_until("news over the new link", || {
        let peers = b.node.peers();
        peers
            .iter()
            .any(|peer| peer.instance.as_str() == "a" && !peer.status.loads.is_empty())
    })
    .await;
}

/// A failure domain is cut off from the platform and from its peers while a key
/// is withdrawn elsewhere. It can't know; it must know that it can't.
#[tokio::test(flavor = "multi_thread")]
async fn a_partitioned_instance_reports_the_age_of_its_view() {
    let platform = TestPlatform::start(10_000).await;
    let a = platform.join("a", "x").await;
    let alone = platform.follow("alone");
    let offset = a.publish(key("k", "secret")).await;
    assert!(alone.node.wait_applied(offset, WAIT_TIMEOUT).await);
    let mut faults = PlatformFaults::default();
    faults.cut_instances.insert(alone.name().clone());
    platform.set(faults).await;
    // The read that was under way when the path was cut has ended once two more
    // have begun.
    let reads = alone.node.log_reads();
    wait_until("refused reads", || alone.node.log_reads() >= reads + 2).await;
    let withdrawn_at = alone.node.clock().now();
    a.node.withdraw(&withdrawal("secret"));
    let bound = TimeSpan::from_secs(1);
    let reads = alone.node.log_reads();
    wait_until("refused reads after it", || {
        alone.node.log_reads() >= reads + 3
    })
    .await;
    wait_until("old knowledge", || {
        alone.node.freshness().is_some_and(|age| age > bound)
    })
    .await;
    let age = alone.node.freshness().expect("it knew the log once");
    assert!(alone.node.clock().now() - age <= withdrawn_at);
    assert!(alone.accepts_key("secret"));
    platform.heal().await;
    wait_until("the withdrawal", || !alone.accepts_key("secret")).await;
    wait_until("fresh knowledge", || {
        let now = alone.node.clock().now();
        let age = alone.node.freshness();
        age.is_some_and(|age| now - age > withdrawn_at)
    })
    .await;
}
