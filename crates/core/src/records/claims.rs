//! Claims of idempotency keys, and what became of them.

use serde::{Deserialize, Serialize};

use crate::ids::{IdempotencyKey, InstanceId, OrganisationId, RequestFingerprint, RequestId};

/// Several claims in one append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimBatch {
    /// The claims.
    pub claims: Vec<IdempotencyClaim>,
}

/// The claim of an idempotency key: the first in the log's order may send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdempotencyClaim {
    /// Whose action it is.
    pub organisation: OrganisationId,
    /// The key that the caller sent.
    pub key: IdempotencyKey,
    /// The request that claims it.
    pub request: RequestId,
    /// What the request asks for, to tell misuse of a key from a repeat.
    pub fingerprint: RequestFingerprint,
    /// The entry that claims it.
    pub entry: InstanceId,
}

/// Several settlements in one append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettlementBatch {
    /// The settlements.
    pub settlements: Vec<ClaimSettlement>,
}

/// What became of a claimed action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimSettlement {
    /// Whose action it was.
    pub organisation: OrganisationId,
    /// The key.
    pub key: IdempotencyKey,
    /// The request whose claim stood.
    pub request: RequestId,
    /// What became of it.
    pub result: SettledResult,
}

/// How a claimed action ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum SettledResult {
    /// It ran; a later sender gets this answer.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The content type.
        content_type: String,
        /// The body, if it is short enough to keep.
        body: Option<String>,
    },
    /// No byte left for an endpoint: the key may be claimed again.
    NotRun,
    /// It may have run.
    Unknown,
}
