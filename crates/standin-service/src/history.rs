//! What reached the service, for history checks: `GET /control/history`.

use bluebell_core::clock::ClockTime;
use serde::{Deserialize, Serialize};

/// One execution of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionRecord {
    /// When, on the service's clock.
    pub at: ClockTime,
    /// The HTTP method.
    pub method: String,
    /// The path, with its query.
    pub path: String,
    /// The caller's mark of repeats.
    pub idempotency_key: Option<String>,
    /// The request's id.
    pub request: Option<String>,
    /// The body's first part.
    pub body: String,
    /// All headers, as `name: value`.
    pub headers: Vec<String>,
}

/// How often one action was executed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ExecutionCount {
    /// The HTTP method.
    pub method: String,
    /// The path, with its query.
    pub path: String,
    /// The caller's mark of repeats.
    pub idempotency_key: Option<String>,
    /// The request's id.
    pub request: Option<String>,
    /// How often.
    pub executions: u64,
}

/// All that reached the service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceHistory {
    /// Executions, in their order.
    pub executions: Vec<ExecutionRecord>,
    /// Executions by action.
    pub counts: Vec<ExecutionCount>,
    /// Calls that were refused before being executed.
    pub refused: u64,
}
