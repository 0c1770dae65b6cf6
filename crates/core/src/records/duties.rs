//! Claims, renewals and releases of duties.

use serde::{Deserialize, Serialize};

use crate::{
    clock::TimeSpan,
    ids::{FailureDomain, InstanceId, LogOffset},
};

/// A duty: a singleton task that a process holds under a lease.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DutyName {
    /// Sending orders to the platform's endpoint interface.
    Fleet,
    /// Closing and reporting usage windows.
    Usage,
    /// Writing checkpoints to the log.
    Log,
    /// Sending orders to the engines of a failure domain.
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

/// The action of a lease record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseAction {
    /// Claims the duty; the offset of the record becomes the fencing number.
    Claim,
    /// Renews the lease under the fencing number of the claim.
    Renew {
        /// The offset of the claim.
        fence: LogOffset,
    },
    /// Releases the duty.
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
    /// The instance that claims, renews or releases the duty.
    pub holder: InstanceId,
    /// The action of the record.
    pub action: LeaseAction,
    /// How long the lease is valid after a claim or renewal.
    pub duration: TimeSpan,
    /// For a claim: the last claim or renewal of the lease that it follows; `None` if
    /// the duty was free. The claim has no effect if that has changed meanwhile.
    #[serde(default)]
    pub supersedes: Option<LogOffset>,
}
