//! Claims, renewals and releases of duties.

use serde::{Deserialize, Serialize};

use crate::{
    clock::TimeSpan,
    ids::{FailureDomain, InstanceId, LogOffset},
};

/// What a process may be in charge of.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DutyName {
    /// Orders to the platform's endpoint interface.
    Fleet,
    /// Closing and reporting usage windows.
    Usage,
    /// Checkpoints of the log.
    Log,
    /// Orders to the engines of a failure domain.
    Engines(FailureDomain),
}

impl std::fmt::Display for DutyName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            DutyName::Fleet => f.write_str("fleet"),
            DutyName::Usage => f.write_str("usage"),
            DutyName::Log => f.write_str("log"),
            DutyName::Engines(domain) => write!(f, "engines/{domain}"),
        }
    }
}

/// What a lease record does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseAction {
    /// Take the duty; its offset becomes the fencing number.
    Claim,
    /// Keep the duty under the fencing number of the claim.
    Renew {
        /// The offset of the claim.
        fence: LogOffset,
    },
    /// Give the duty up.
    Release {
        /// The offset of the claim.
        fence: LogOffset,
    },
}

/// A claim, renewal or release of a duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// The duty.
    pub duty: DutyName,
    /// Who claims, holds or gives up.
    pub holder: InstanceId,
    /// What the record does.
    pub action: LeaseAction,
    /// How long the lease runs from a claim or renewal.
    pub duration: TimeSpan,
    /// For a claim: the last claim or renewal of the lease that it follows; none
    /// if the duty was free. The claim loses if that has changed meanwhile.
    #[serde(default)]
    pub supersedes: Option<LogOffset>,
}
