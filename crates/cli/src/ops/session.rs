//! A command's own view of the fleet: a node that follows the log and joins nobody.

use std::net::{Ipv4Addr, SocketAddr};

use anyhow::{Context, bail};
use bluebell_core::{
    clock::{ClockSource, TimeSpan},
    ids::{FailureDomain, InstanceId, RegionId},
    view::FleetView,
};
use bluebell_node::{NodeHandle, NodeSettings};
use bluebell_platform::PlatformClient;
use tokio_util::sync::{CancellationToken, DropGuard};

/// How long a command waits until it has read the log.
const LOAD_PATIENCE: TimeSpan = TimeSpan::from_secs(20);

/// The failure domain and region of commands, which run outside the fleet's.
const OPERATOR: &str = "operator";

/// The longest name of a publisher.
const MAX_PUBLISHER_BYTES: usize = 64;

/// A connection to the platform that has read the log to its end.
pub struct FleetSession {
    /// The command's node.
    pub node: NodeHandle,
    /// Who runs the command.
    pub publisher: String,
    _guard: DropGuard,
}

impl FleetSession {
    /// Reads the log of the platform at `platform` to its end.
    pub async fn open(platform: &str, publisher: &str) -> anyhow::Result<FleetSession> {
        FleetSession::open_within(platform, publisher, LOAD_PATIENCE).await
    }

    /// Reads the log to its end, for at most `patience`.
    pub async fn open_within(
        platform: &str,
        publisher: &str,
        patience: TimeSpan,
    ) -> anyhow::Result<FleetSession> {
        let address = check_address(platform)?;
        let instance = check_publisher(publisher)?;
        let token = CancellationToken::new();
        let unbound = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let settings = NodeSettings {
            instance,
            failure_domain: FailureDomain::new(OPERATOR)?,
            region: RegionId::new(OPERATOR)?,
            platform: address.to_string(),
            http_address: unbound,
            peer_address: unbound,
            peer_advertise: None,
            read_wait: TimeSpan::from_millis(200),
            append_timeout: TimeSpan::from_secs(5),
        };
        let node = NodeHandle::start(settings, ClockSource::new(), &token);
        let session = FleetSession {
            node,
            publisher: publisher.to_string(),
            _guard: token.drop_guard(),
        };
        if !session.node.wait_caught_up(patience).await {
            bail!(
                "failed to read the log of the platform at `{platform}` to its end within {patience}: {}; is the address right?",
                session.node.obstacle().unwrap_or_default()
            );
        }
        Ok(session)
    }

    /// The view at the log's end as last read.
    pub fn view(&self) -> FleetView {
        self.node.with_view(FleetView::clone)
    }
}

fn check_address(platform: &str) -> anyhow::Result<SocketAddr> {
    platform.parse().with_context(|| {
        format!("`--platform` is `{platform}`, expected an address such as `127.0.0.1:7000`")
    })
}

fn check_publisher(publisher: &str) -> anyhow::Result<InstanceId> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if publisher.is_empty()
        || publisher.len() > MAX_PUBLISHER_BYTES
        || !publisher.chars().all(allowed)
    {
        bail!(
            "`--publisher` is `{publisher}`, expected 1 to {MAX_PUBLISHER_BYTES} letters, digits, `-`, `_` or `.`"
        );
    }
    Ok(InstanceId::new(format!("{OPERATOR}.{publisher}"))?)
}

/// A client of the platform at `platform`, without reading the log.
pub fn client(platform: &str, publisher: &str) -> anyhow::Result<PlatformClient> {
    let address = check_address(platform)?.to_string();
    let instance = check_publisher(publisher)?;
    let failure_domain = FailureDomain::new(OPERATOR)?;
    Ok(PlatformClient::new(&address, &instance, &failure_domain))
}
