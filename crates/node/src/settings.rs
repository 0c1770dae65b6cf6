//! Settings of a node: its identity, its addresses and its time-outs.

use std::net::{Ipv4Addr, SocketAddr};

use bluebell_core::{
    clock::TimeSpan,
    ids::{FailureDomain, InstanceId, RegionId},
};
use bluebell_daemon::settings::SettingProblem;
use serde::{Deserialize, Serialize};

/// The `[node]` table of a daemon's settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The id of this instance.
    pub instance: InstanceId,
    /// The failure domain in which the instance runs.
    pub failure_domain: FailureDomain,
    /// The region of the failure domain.
    pub region: RegionId,
    /// The address of the platform, as `ip:port`.
    pub platform: String,
    /// The address to serve HTTP on; port 0 selects a free port.
    pub http_address: SocketAddr,
    /// The address to accept peer connections on; port 0 selects a free port.
    pub peer_address: SocketAddr,
    /// The peer address announced to other instances, if it differs from the bound
    /// address.
    #[serde(default)]
    pub peer_advertise: Option<SocketAddr>,
    /// How long one read of the log waits for an entry (long poll); at most 30 s.
    #[serde(default = "default_read_wait")]
    pub read_wait: TimeSpan,
    /// Time-out of an append, retries included.
    #[serde(default = "default_append_timeout")]
    pub append_timeout: TimeSpan,
}

fn default_read_wait() -> TimeSpan {
    TimeSpan::from_millis(500)
}

fn default_append_timeout() -> TimeSpan {
    TimeSpan::from_secs(3)
}

impl NodeSettings {
    /// Creates settings with default time-outs that listen on free loopback ports.
    pub fn new(
        instance: InstanceId,
        failure_domain: FailureDomain,
        region: RegionId,
        platform: String,
    ) -> NodeSettings {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        NodeSettings {
            instance,
            failure_domain,
            region,
            platform,
            http_address: any_port,
            peer_address: any_port,
            peer_advertise: None,
            read_wait: default_read_wait(),
            append_timeout: default_append_timeout(),
        }
    }

    /// Returns a problem for each invalid setting.
    pub fn problems(&self) -> Vec<SettingProblem> {
        let mut problems = Vec::new();
        if self.platform.parse::<SocketAddr>().is_err() {
            let expected = "an address such as `127.0.0.1:7000`";
            problems.push(SettingProblem::new(
                "node.platform",
                &self.platform,
                expected,
            ));
        }
        if self.read_wait > TimeSpan::from_secs(30) {
            let expected = "at most `30s`";
            problems.push(SettingProblem::new(
                "node.read_wait",
                self.read_wait,
                expected,
            ));
        }
        problems
    }
}
