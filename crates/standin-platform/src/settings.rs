//! Settings of the stand-in; all have defaults.

use std::net::{Ipv4Addr, SocketAddr};

use bluebell_core::clock::TimeSpan;
use bluebell_daemon::settings::SettingProblem;
use serde::{Deserialize, Serialize};

/// How the platform behaves as long as no fault is switched on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Where it takes HTTP; port 0 takes any.
    pub http_address: SocketAddr,
    /// Appends that it takes in one second.
    pub appends_per_second: u64,
    /// Records that it keeps; older ones are forgotten.
    pub kept_records: usize,
    /// How late the list of instances is.
    pub list_lag: TimeSpan,
    /// How long an entry of that list stays without being renewed.
    pub list_expiry: TimeSpan,
    /// How long an ordered endpoint takes to become ready.
    pub start_delay: TimeSpan,
    /// Weight fetches that it takes in one second.
    pub fetches_per_second: u64,
    /// Whether it refuses start and stop orders and usage reports with an old
    /// fencing number.
    pub checks_fencing: bool,
}

impl Default for PlatformSettings {
    fn default() -> PlatformSettings {
        PlatformSettings {
            http_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            appends_per_second: 400,
            kept_records: 100_000,
            list_lag: TimeSpan::from_secs(2),
            list_expiry: TimeSpan::from_secs(15),
            start_delay: TimeSpan::from_millis(500),
            fetches_per_second: 4,
            checks_fencing: true,
        }
    }
}

impl PlatformSettings {
    /// All that can't be used.
    pub fn problems(&self) -> Vec<SettingProblem> {
        let mut problems = Vec::new();
        if self.kept_records == 0 {
            problems.push(SettingProblem::new("kept_records", 0, "at least `1`"));
        }
        problems
    }
}
