//! Settings files of the programs under test.

use bluebell_core::ids::{FailureDomain, InstanceId};
use toml::{Table, Value};

/// One of our own processes.
#[derive(Clone, Debug)]
pub struct NodePlace {
    /// Its instance id.
    pub instance: InstanceId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// The platform, as `ip:port`.
    pub platform: String,
    /// Where it takes peer connections, as `ip:port`.
    pub peer_address: String,
    /// What it tells others as its peer address, if not its own.
    pub peer_advertise: Option<String>,
}

impl NodePlace {
    /// The settings of a process at this place, with `more` tables beside `[node]`.
    pub fn settings(&self, more: &str) -> String {
        let mut node = Table::new();
        let mut set = |name: &str, value: &str| {
            node.insert(name.to_string(), Value::from(value));
        };
        set("instance", self.instance.as_str());
        set("failure_domain", self.failure_domain.as_str());
        set("region", "loopback");
        set("platform", &self.platform);
        set("http_address", "127.0.0.1:0");
        set("peer_address", &self.peer_address);
        if let Some(address) = &self.peer_advertise {
            set("peer_advertise", address);
        }
        let mut settings = Table::new();
        settings.insert("node".to_string(), Value::from(node));
        format!("{settings}\n{more}\n")
    }
}
