//! The request for a copy, the answer to it, and what a copy contains.

use bluebell_core::{clock::TimeSpan, directory::WantedCopy};
use prost::{Enumeration, Message};

use crate::peers::PeerRecord;

/// A part of the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum StateKind {
    /// The operator's configuration, as stored.
    Configuration = 0,
    /// The registrations of all endpoints, as a JSON list.
    Endpoints = 1,
    /// The registrations of all instances, a [`PeerList`].
    Peers = 2,
}

impl StateKind {
    /// The label in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            StateKind::Configuration => "configuration",
            StateKind::Endpoints => "endpoints",
            StateKind::Peers => "peers",
        }
    }
}

/// Asks for a copy.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct StateRequest {
    /// The part of the state.
    #[prost(enumeration = "StateKind", tag = "1")]
    pub kind: i32,
    /// The version of the configuration that the copy must at least have.
    #[prost(uint64, tag = "2")]
    pub min_version: u64,
    /// The digest of the endpoints that the copy should have; 0 for any.
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
    /// The age in ms below which endpoints with another digest will do; 0 for any age.
    #[prost(uint64, tag = "4")]
    pub max_age_ms: u64,
}

impl StateRequest {
    /// Asks for any state of `kind`.
    pub fn new(kind: StateKind) -> StateRequest {
        StateRequest {
            kind: kind.into(),
            ..StateRequest::default()
        }
    }

    /// Asks for a configuration that has at least version `min_version`.
    pub fn configuration(min_version: u64) -> StateRequest {
        StateRequest {
            min_version,
            ..StateRequest::new(StateKind::Configuration)
        }
    }

    /// Asks for the endpoints that `wanted` describes.
    pub fn endpoints(wanted: WantedCopy) -> StateRequest {
        StateRequest {
            digest: wanted.digest.unwrap_or_default(),
            max_age_ms: wanted.max_age.map_or(0, TimeSpan::as_millis),
            ..StateRequest::new(StateKind::Endpoints)
        }
    }
}

/// The answer to a [`StateRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct StateReply {
    /// Whether the instance has the state and knows it to be current.
    #[prost(bool, tag = "1")]
    pub is_available: bool,
    /// The age of the state in ms.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// The version of the configuration.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// The offset in the configuration topic that follows the version.
    #[prost(uint64, tag = "4")]
    pub next: u64,
    /// The content, compressed.
    #[prost(bytes = "bytes", tag = "5")]
    pub packed: bytes::Bytes,
    /// The digest of the endpoints.
    #[prost(fixed64, tag = "6")]
    pub digest: u64,
}

/// The registrations of instances.
#[derive(Clone, PartialEq, Message)]
pub struct PeerList {
    /// The instances.
    #[prost(message, repeated, tag = "1")]
    pub peers: Vec<ListedPeer>,
}

/// The registration of one instance.
#[derive(Clone, PartialEq, Message)]
pub struct ListedPeer {
    /// Its id.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Its registration.
    #[prost(message, required, tag = "2")]
    pub record: PeerRecord,
}
