//! Settings of the stand-in; all have defaults.

use std::net::{Ipv4Addr, SocketAddr};

use bluebell_core::clock::TimeSpan;
use bluebell_daemon::settings::SettingProblem;
use serde::{Deserialize, Serialize};

/// How the service behaves as long as no fault is switched on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// Where it takes HTTP; port 0 takes any.
    pub http_address: SocketAddr,
    /// How long a call takes.
    pub delay: TimeSpan,
}

impl Default for ServiceSettings {
    fn default() -> ServiceSettings {
        ServiceSettings {
            http_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            delay: TimeSpan::from_millis(10),
        }
    }
}

impl ServiceSettings {
    /// All that can't be used: nothing, so far as the types let it in.
    pub fn problems(&self) -> Vec<SettingProblem> {
        Vec::new()
    }
}
