//! Hashes that identify streams, and the versions that they began at.

use serde::Serialize;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::{
    directory::SoftwareVersion,
    ids::{RequestId, ServiceName},
};

/// Hash of the id of the caller's attempt that brought the first event of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(transparent)]
pub struct StreamHash(u64);

impl StreamHash {
    /// Creates the hash from its number.
    pub const fn new(hash: u64) -> StreamHash {
        StreamHash(hash)
    }

    /// Computes the hash of the stream that `attempt` began.
    pub fn with_attempt(attempt: &RequestId) -> StreamHash {
        StreamHash(xxh3_64(attempt.as_str().as_bytes()))
    }

    /// The hash as a number.
    pub const fn number(self) -> u64 {
        self.0
    }
}

/// Hash of a service and a version of its endpoints' software: where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(transparent)]
pub struct OriginHash(u64);

impl OriginHash {
    /// Creates the hash from its number.
    pub const fn new(hash: u64) -> OriginHash {
        OriginHash(hash)
    }

    /// Computes the hash of the endpoints of `service` with `version`.
    pub fn with_version(service: &ServiceName, version: &SoftwareVersion) -> OriginHash {
        let mut hasher = Xxh3::new();
        hasher.update(service.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(version.as_str().as_bytes());
        OriginHash(hasher.digest())
    }

    /// The hash as a number.
    pub const fn number(self) -> u64 {
        self.0
    }
}
