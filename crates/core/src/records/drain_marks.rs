//! Endpoints that are about to leave.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{EndpointId, LogOffset},
    records::DutyName,
};

/// What a mark says of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MarkState {
    /// No new work: a role change, replacement or stop follows.
    Leaving,
    /// Work again.
    Staying,
}

/// An endpoint is about to leave, or no longer is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainMarkRecord {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// What the mark says.
    pub state: MarkState,
    /// The duty under which it was set.
    pub duty: DutyName,
    /// The fencing number of its holder.
    pub fence: LogOffset,
}
