//! A command's own view of the fleet: a node that follows the log and joins nobody.

use std::net::{Ipv4Addr, SocketAddr};

use anyhow::{Context, bail};
use bluebell_core::{
    clock::{ClockSource, TimeSpan},
    ids::{FailureDomain, InstanceId, RegionId},
    view::FleetView,
};
use bluebell_node::{NodeHandle, NodeSettings};
use tokio_util::sync::{CancellationToken, DropGuard};

/// How long a command waits until it has read the log.
const LOAD_PATIENCE: TimeSpan = TimeSpan::from_secs(20);

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
        let address: SocketAddr = platform.parse().with_context(|| {
            format!("`--platform` is `{platform}`, expected an address such as `127.0.0.1:7000`")
        })?;
        let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if publisher.is_empty()
            || publisher.len() > MAX_PUBLISHER_BYTES
            || !publisher.chars().all(allowed)
        {
            bail!(
                "`--publisher` is `{publisher}`, expected 1 to {MAX_PUBLISHER_BYTES} letters, digits, `-`, `_` or `.`"
            );
        }
        let token = CancellationToken::new();
        let unbound = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let settings = NodeSettings {
            instance: InstanceId::new(format!("operator.{publisher}"))?,
            failure_domain: FailureDomain::new("operator")?,
            region: RegionId::new("operator")?,
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
        if !session.node.wait_caught_up(LOAD_PATIENCE).await {
            bail!(
                "failed to read the log of the platform at `{platform}` to its end within {LOAD_PATIENCE}; is it up, and is the address right?"
            );
        }
        Ok(session)
    }

    /// The view at the log's end as last read.
    pub fn view(&self) -> FleetView {
        self.node.with_view(FleetView::clone)
    }
}
