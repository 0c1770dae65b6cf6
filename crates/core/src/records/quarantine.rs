//! Records about requests that may crash the endpoints that run them.

use serde::{Deserialize, Serialize};

use crate::ids::{EndpointId, InstanceId, RequestFingerprint};

/// The crash of an endpoint while it ran a request, or the clearance of that request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuarantineRecord {
    /// The request's fingerprint.
    pub fingerprint: RequestFingerprint,
    /// The endpoint that was lost while it ran the request.
    pub endpoint: EndpointId,
    /// The incarnation of the endpoint that was lost, because an endpoint can be lost
    /// more than once; 0 if it is unknown.
    #[serde(default)]
    pub incarnation: u64,
    /// The entry that observed it.
    pub entry: InstanceId,
    /// Whether the request completed on the endpoint instead, so that it is no longer
    /// suspect.
    #[serde(default)]
    pub cleared: bool,
}
