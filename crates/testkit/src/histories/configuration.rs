//! Configuration as each process has it in force.

use std::collections::BTreeMap;

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::LogOffset,
};

use super::{Promise, Violation};

/// The version that one process had in force at one time. An instance that is
/// started again is another process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionSeen {
    /// The process.
    pub process: String,
    /// When, on the test's clock.
    pub at: ClockTime,
    /// The version of the unit.
    pub version: Option<LogOffset>,
}

/// When a version of the unit was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionAccepted {
    /// When, on the test's clock.
    pub at: ClockTime,
    /// The version.
    pub version: LogOffset,
}

/// No process goes back to an older version, and each has an accepted one in
/// force `bound` after it was accepted.
pub fn never_reverts(
    seen: &[VersionSeen],
    accepted: &[VersionAccepted],
    bound: TimeSpan,
) -> Vec<Violation> {
    let mut newest: BTreeMap<&str, Option<LogOffset>> = BTreeMap::new();
    let mut violations = Vec::new();
    for look in seen {
        let known = newest.entry(&look.process).or_default();
        if look.version < *known {
            let detail = format!("`{}` went back to {:?}", look.process, look.version);
            violations.push(Violation::new(Promise::NeverReverts, detail));
        }
        *known = (*known).max(look.version);
        let due = accepted.iter().filter(|a| look.at > a.at + bound);
        let due = due.map(|accepted| accepted.version).max();
        if look.version < due {
            let detail = format!("`{}` has {:?}, due {due:?}", look.process, look.version);
            violations.push(Violation::new(Promise::NeverReverts, detail));
        }
    }
    violations
}
