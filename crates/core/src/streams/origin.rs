//! Hashes that identify streams, and the versions that they began at.

use std::fmt;

use serde::Serialize;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::{
    directory::SoftwareVersion,
    ids::{RequestFingerprint, RequestId, ServiceName},
};

/// Hash of a name of a stream: of the caller's attempt that brought its first event, or of the request
/// that its caller sends for it.
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

    /// Computes the hash of the stream that a request with this fingerprint begins or takes up; `parts`
    /// are what distinguishes requests beyond it. Equal requests share the hash.
    pub fn with_request<'a, Parts>(fingerprint: &RequestFingerprint, parts: Parts) -> StreamHash
    where
        Parts: IntoIterator<Item = &'a str>,
    {
        let mut hasher = Xxh3::new();
        // Differs from all ids of attempts, which contain no control characters.
        hasher.update(&[0]);
        hasher.update(fingerprint.as_str().as_bytes());
        for part in parts {
            hasher.update(&[0]);
            hasher.update(part.as_bytes());
        }
        StreamHash(hasher.digest())
    }

    /// The hash as a number.
    pub const fn number(self) -> u64 {
        self.0
    }
}

/// The name under which a caller takes a stream up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamName {
    /// The attempt that brought its first event. No two streams share it.
    Attempt(StreamHash),
    /// The request, sent again unchanged. Streams of other callers may have begun with an equal one.
    Request(StreamHash),
}

impl StreamName {
    /// The hash under which the stream is recorded.
    pub const fn hash(self) -> StreamHash {
        match self {
            StreamName::Attempt(hash) | StreamName::Request(hash) => hash,
        }
    }

    /// Whether only one stream has the name.
    pub const fn is_unique(self) -> bool {
        matches!(self, StreamName::Attempt(_))
    }
}

impl fmt::Display for StreamName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StreamName::Attempt(_) => "attempt",
            StreamName::Request(_) => "request",
        })
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
