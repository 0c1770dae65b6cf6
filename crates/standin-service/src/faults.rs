//! What can be made to go wrong, switched over HTTP.
//!
//! `POST /control/faults` replaces all faults at once by a [`ServiceFaults`];
//! `{}` heals everything.

use bluebell_core::clock::TimeSpan;
use serde::{Deserialize, Serialize};

/// How the answer to an executed call is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LossKind {
    /// The answer stops before its announced length, and the connection closes.
    Broken,
    /// No answer comes.
    Withheld,
}

/// All faults in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Every call is refused with 503 before it is executed.
    pub refuse_all: bool,
    /// Calls hang before they are executed, until this fault is healed.
    pub stalled: bool,
    /// Each call takes this much longer.
    pub slower_by: Option<TimeSpan>,
    /// Calls are executed, and their answers are lost.
    pub lose_answers: Option<LossKind>,
    /// Calls are executed and answered with this status.
    pub fail_with: Option<u16>,
}
