//! Measures the peer traffic of one instance, in bytes per second, for a fleet of
//! a given size.
//!
//! `cargo run --release -p bluebell-node --example peer_traffic -- 9 20`
//! measures nine nodes in three failure domains for twenty seconds. Each node has
//! outstanding work at twelve endpoints and served cost of eight organisations,
//! which change every second, while one record a second is appended.

use std::net::SocketAddr;

use bluebell_core::{
    clock::{ClockSource, TimeSpan},
    ids::{EndpointId, FailureDomain, InstanceId, KeyDigest, OrganisationId, RegionId},
    membership::{EndpointLoad, InstanceProgram, InstanceState, LocalStatus, OrganisationShare},
    records::{LogRecord, WithdrawRecord},
    units::{TokenCount, WorkCost},
};
use bluebell_node::{NodeHandle, NodeSettings};
use standin_platform::PlatformSettings;
use tokio_util::sync::CancellationToken;

const DOMAINS: usize = 3;
const WARM_UP: TimeSpan = TimeSpan::from_secs(8);

fn settings(platform: SocketAddr, number: usize) -> NodeSettings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let domain = format!("domain-{}", number % DOMAINS);
    NodeSettings {
        instance: InstanceId::new(format!("entry-{number:03}")).expect("valid"),
        failure_domain: FailureDomain::new(domain).expect("valid"),
        region: RegionId::new("region").expect("valid"),
        platform: platform.to_string(),
        http_address: any,
        peer_address: any,
        peer_advertise: None,
        read_wait: TimeSpan::from_millis(500),
        append_timeout: TimeSpan::from_secs(3),
    }
}

fn status(round: u64) -> LocalStatus {
    let load = |n: u64| EndpointLoad {
        endpoint: EndpointId::new(format!("engine-{n:02}")).expect("valid"),
        requests: 1 + (round + n) % 7,
        tokens: TokenCount::new(100 * ((round + n) % 7)),
    };
    let share = |n: u64| OrganisationShare {
        organisation: OrganisationId::new(format!("organisation-{n}")).expect("valid"),
        cost: WorkCost::new(1_000 * round + n),
    };
    LocalStatus {
        state: InstanceState::Live,
        loads: (0..12).map(load).collect(),
        shares: (0..8).map(share).collect(),
    }
}

async fn run(nodes: &[NodeHandle], seconds: u64, from: u64) {
    for round in from..from + seconds {
        for node in nodes {
            node.set_local(status(round));
        }
        let record = LogRecord::Withdraw(WithdrawRecord {
            digest: KeyDigest::with_key(&round.to_string()),
            publisher: "example".to_string(),
        });
        let _ = nodes[0].append(record).await;
        tokio::time::sleep(TimeSpan::from_secs(1).as_duration()).await;
    }
}

#[tokio::main]
async fn main() {
    let arguments: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|argument| argument.parse().ok())
        .collect();
    let [count, seconds] = arguments[..] else {
        eprintln!("usage: peer_traffic NODES SECONDS");
        std::process::exit(2);
    };
    let token = CancellationToken::new();
    let clock = ClockSource::new();
    let platform = PlatformSettings {
        list_lag: TimeSpan::ZERO,
        ..PlatformSettings::default()
    };
    let platform = standin_platform::start(platform, clock.clone(), token.child_token())
        .await
        .expect("the stand-in starts");
    let mut nodes = Vec::new();
    for number in 0..count {
        let settings = settings(platform.http_address, number);
        let node = NodeHandle::start(settings, clock.clone(), &token);
        let http = SocketAddr::from(([127, 0, 0, 1], 1));
        node.join(InstanceProgram::Entry, http, &token)
            .await
            .expect("joins");
        nodes.push(node);
    }
    run(&nodes, WARM_UP.as_secs_ceil(), 1).await;
    let before: Vec<(u64, u64)> = nodes
        .iter()
        .map(|n| (n.peer_bytes(), n.log_reads()))
        .collect();
    run(&nodes, seconds as u64, 100).await;
    let mut bytes = 0;
    let mut highest = 0;
    let mut reads = 0;
    let mut links = 0;
    for (node, (bytes_before, reads_before)) in nodes.iter().zip(before) {
        let spent = node.peer_bytes() - bytes_before;
        bytes += spent;
        highest = highest.max(spent);
        reads += node.log_reads() - reads_before;
        links += node.report().links.len();
    }
    let oldest = nodes.iter().filter_map(NodeHandle::freshness).max();
    let per = |total: u64| total as f64 / seconds as f64;
    println!(
        "nodes={count} mean_bytes_per_s={:.0} most_bytes_per_s={:.0} links_per_node={:.1} log_reads_per_s={:.1} oldest_knowledge={}",
        per(bytes) / count as f64,
        per(highest),
        links as f64 / count as f64,
        per(reads),
        oldest.map_or("none".to_string(), |age| age.to_string()),
    );
    token.cancel();
}
