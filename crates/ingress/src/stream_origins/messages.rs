//! The datagrams with which instances record the origins of streams and ask for them.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    streams::{OriginHash, RecordedOrigin, StreamHash, StreamRecord},
};
use prost::{Message, Oneof};

/// The maximum number of records in one datagram.
pub const MAX_RECORDS: usize = 64;

/// The maximum number of proofs in one datagram.
const MAX_PROOFS: usize = 32;

/// What a datagram about streams contains.
#[derive(Clone, PartialEq, Message)]
pub struct OriginMessage {
    /// The content.
    #[prost(oneof = "OriginContent", tags = "1, 2, 3")]
    pub content: Option<OriginContent>,
}

/// The content of an [`OriginMessage`].
#[derive(Clone, PartialEq, Oneof)]
pub enum OriginContent {
    /// Where streams began, to be recorded by the recipient.
    #[prost(message, tag = "1")]
    Records(OriginRecords),
    /// Asks where a stream began.
    #[prost(message, tag = "2")]
    Query(OriginQuery),
    /// The answer to a query.
    #[prost(message, tag = "3")]
    Answer(OriginAnswer),
}

/// Where streams began.
#[derive(Clone, PartialEq, Message)]
pub struct OriginRecords {
    /// The streams.
    #[prost(fixed64, repeated, tag = "1")]
    pub streams: Vec<u64>,
    /// Where each of them began, in the same order.
    #[prost(fixed64, repeated, tag = "2")]
    pub origins: Vec<u64>,
    /// Whether the recipient appends them to the log.
    #[prost(bool, tag = "3")]
    pub is_for_log: bool,
}

impl OriginRecords {
    /// Encodes records.
    pub fn new(records: &[StreamRecord]) -> OriginRecords {
        OriginRecords {
            streams: records.iter().map(|one| one.stream.number()).collect(),
            origins: records.iter().map(|one| one.origin.number()).collect(),
            is_for_log: false,
        }
    }

    /// Has the recipient append them to the log.
    pub fn with_log(mut self) -> OriginRecords {
        self.is_for_log = true;
        self
    }

    /// Decodes the records.
    pub fn records(&self) -> impl Iterator<Item = StreamRecord> + '_ {
        let streams = self.streams.iter().zip(&self.origins);
        streams.map(|(stream, origin)| StreamRecord {
            stream: StreamHash::new(*stream),
            origin: OriginHash::new(*origin),
        })
    }
}

/// Asks where a stream began.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct OriginQuery {
    /// Identifies the query in the answer.
    #[prost(fixed64, tag = "1")]
    pub number: u64,
    /// The stream; `None` to ask for proofs only.
    #[prost(fixed64, optional, tag = "2")]
    pub stream: Option<u64>,
}

/// What an instance knows of a stream.
#[derive(Clone, PartialEq, Message)]
pub struct OriginAnswer {
    /// The number of the query.
    #[prost(fixed64, tag = "1")]
    pub number: u64,
    /// Where the stream began; `None` if that is not known there.
    #[prost(fixed64, optional, tag = "2")]
    pub origin: Option<u64>,
    /// Whether different origins are known of the stream.
    #[prost(bool, tag = "3")]
    pub is_contradictory: bool,
    /// The only versions of services at which streams can have begun, as far as the sender
    /// can prove that.
    #[prost(fixed64, repeated, tag = "4")]
    pub proved: Vec<u64>,
    /// The age of what the proofs rest on, in ms.
    #[prost(uint64, optional, tag = "5")]
    pub proved_age_ms: Option<u64>,
}

/// What an instance can prove.
#[derive(Clone, Debug, Default)]
pub struct OriginProofs {
    /// The only versions of services at which streams can have begun.
    pub origins: Vec<OriginHash>,
    /// The age of what is known of the registrations.
    pub age: Option<TimeSpan>,
}

impl OriginAnswer {
    /// Encodes an answer to the query with this number.
    pub fn new(number: u64, known: Option<RecordedOrigin>, proofs: &OriginProofs) -> OriginAnswer {
        let origin = match known {
            Some(RecordedOrigin::Known(origin)) => Some(origin.number()),
            _ => None,
        };
        let proved = proofs.origins.iter().take(MAX_PROOFS);
        OriginAnswer {
            number,
            origin,
            is_contradictory: known == Some(RecordedOrigin::Contradictory),
            proved: proved.map(|origin| origin.number()).collect(),
            proved_age_ms: proofs.age.map(TimeSpan::as_millis),
        }
    }

    /// Decodes where the stream began.
    pub fn recorded(&self) -> Option<RecordedOrigin> {
        match self.is_contradictory {
            true => Some(RecordedOrigin::Contradictory),
            false => self.origin.map(OriginHash::new).map(RecordedOrigin::Known),
        }
    }

    /// Decodes the proofs, as answers to a query that was sent at `asked_at`, each with the time as of
    /// which it holds at the latest. Those of unknown age are left out.
    pub fn proofs(
        &self,
        asked_at: ClockTime,
    ) -> impl Iterator<Item = (OriginHash, ClockTime)> + '_ {
        let proved_at = self.proved_age_ms;
        let proved_at = proved_at.map(|age_ms| asked_at - TimeSpan::from_millis(age_ms));
        let origins = self.proved.iter().copied().map(OriginHash::new);
        origins.filter_map(move |origin| Some((origin, proved_at?)))
    }
}
