//! Requests that crash the endpoints that run them.

use serde::{Deserialize, Serialize};

use crate::ids::{EndpointId, InstanceId, RequestFingerprint};

/// A request that crashes the endpoints that run it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuarantineRecord {
    /// The request's fingerprint.
    pub fingerprint: RequestFingerprint,
    /// The endpoint that was lost while it ran there.
    pub endpoint: EndpointId,
    /// Which of the endpoint's starts was lost, as far as known: an endpoint can
    /// be lost more than once.
    #[serde(default)]
    pub incarnation: u64,
    /// The entry that saw it.
    pub entry: InstanceId,
    /// Whether the request ran to its end there instead: it is no suspect any more.
    #[serde(default)]
    pub cleared: bool,
}
