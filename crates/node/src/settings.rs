//! Settings of a node: who it is, where the platform is, how patient it is.

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
    /// This process.
    pub instance: InstanceId,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// The region of its failure domain.
    pub region: RegionId,
    /// The platform, as `ip:port`.
    pub platform: String,
    /// Where it takes HTTP; port 0 takes any.
    pub http_address: SocketAddr,
    /// Where it takes peer connections; port 0 takes any.
    pub peer_address: SocketAddr,
    /// What it tells others as its peer address, if that differs.
    #[serde(default)]
    pub peer_advertise: Option<SocketAddr>,
    /// How long one read of the log waits for an entry.
    #[serde(default = "default_read_wait")]
    pub read_wait: TimeSpan,
    /// How long an append may take, repeats included.
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
    /// Settings with default patience that listen on any port of loopback.
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

    /// All that can't be used.
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
