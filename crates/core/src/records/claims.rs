//! Claims of idempotency keys, and their settlements.

use serde::{Deserialize, Serialize};

use crate::ids::{IdempotencyKey, InstanceId, OrganisationId, RequestFingerprint, RequestId};

/// Several claims in one append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimBatch {
    /// The claims.
    pub claims: Vec<IdempotencyClaim>,
}

/// The claim of an idempotency key. Only the request of the first claim in the log may
/// be sent to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdempotencyClaim {
    /// The organisation that the action belongs to.
    pub organisation: OrganisationId,
    /// The key that the caller sent.
    pub key: IdempotencyKey,
    /// The request that claims it.
    pub request: RequestId,
    /// The fingerprint of the request's content, which distinguishes a repeat from the
    /// use of the key for a different request.
    pub fingerprint: RequestFingerprint,
    /// The entry that appended the claim.
    pub entry: InstanceId,
}

/// Several settlements in one append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettlementBatch {
    /// The settlements.
    pub settlements: Vec<ClaimSettlement>,
}

/// The settlement of a claimed action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimSettlement {
    /// The organisation that the action belongs to.
    pub organisation: OrganisationId,
    /// The claimed key.
    pub key: IdempotencyKey,
    /// The request with the active claim.
    pub request: RequestId,
    /// The result of the action.
    pub result: SettledResult,
}

/// The result of a claimed action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum SettledResult {
    /// The action ran; repeats get this answer.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The content type of the answer.
        content_type: String,
        /// The body, if it is short enough to be kept.
        body: Option<String>,
    },
    /// No byte was sent to an endpoint: the key may be claimed again.
    NotRun,
    /// The action may have run.
    Unknown,
}
