//! Drain marks of endpoints.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{EndpointId, LogOffset},
    records::DutyName,
};

/// The state that a drain mark assigns to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MarkState {
    /// The endpoint receives no new requests: a role change, replacement or stop follows.
    Leaving,
    /// The endpoint receives requests again.
    Staying,
}

/// Sets or clears the drain mark of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainMarkRecord {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The new state of the endpoint.
    pub state: MarkState,
    /// The duty under which the mark is set or cleared.
    pub duty: DutyName,
    /// The fencing number of the duty's holder.
    pub fence: LogOffset,
}
