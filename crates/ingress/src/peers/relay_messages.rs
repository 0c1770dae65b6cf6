//! What the reader of a failure domain relays of the store's state to the others there.

use std::io;

use bluebell_core::{
    clock::TimeSpan,
    directory::RegistrationNumber,
    ids::LogOffset,
    relay::{CopyLocation, CopyState},
    units::ByteSize,
};
use prost::Message;

use crate::compression::{compress, decompress};

/// The size limit of the decompressed changes of one datagram.
const MAX_UNPACKED_CHANGES: ByteSize = ByteSize::new(1_000_000);

/// The state of the store as its reader has it.
#[derive(Clone, PartialEq, Message)]
pub struct RelayMessage {
    /// The version of the configuration in force at the reader.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The age in ms of the reader's configuration and keys.
    #[prost(uint64, tag = "2")]
    pub keys_age_ms: u64,
    /// The age in ms of the reader's endpoint directory.
    #[prost(uint64, tag = "3")]
    pub endpoints_age_ms: u64,
    /// The digest of the reader's endpoint directory.
    #[prost(fixed64, tag = "4")]
    pub digest: u64,
    /// Recently changed registrations, a compressed [`ChangesMessage`].
    #[prost(bytes = "vec", tag = "5")]
    pub packed_changes: Vec<u8>,
    /// The copy of that version, if one is available or being made.
    #[prost(message, optional, tag = "6")]
    pub copy: Option<CopyMessage>,
    /// The offset in the configuration topic that the reader reads next.
    #[prost(uint64, tag = "7")]
    pub configuration_next: u64,
    /// How many times there were too many changes to relay them, so that the registrations had to
    /// be copied.
    #[prost(uint64, tag = "8")]
    pub omissions: u64,
}

impl RelayMessage {
    /// Decompresses and decodes the changed registrations.
    pub fn changes(&self) -> io::Result<Vec<ChangeMessage>> {
        if self.packed_changes.is_empty() {
            return Ok(Vec::new());
        }
        let bytes = decompress(&self.packed_changes, MAX_UNPACKED_CHANGES)?;
        let message = ChangesMessage::decode(&bytes[..])?;
        Ok(message.changes)
    }
}

/// Encodes and compresses changed registrations for a [`RelayMessage`].
pub fn pack_changes(changes: Vec<ChangeMessage>) -> io::Result<Vec<u8>> {
    if changes.is_empty() {
        return Ok(Vec::new());
    }
    compress(&ChangesMessage { changes }.encode_to_vec())
}

/// Changed registrations.
#[derive(Clone, PartialEq, Message)]
struct ChangesMessage {
    /// The changes, newest first.
    #[prost(message, repeated, tag = "1")]
    changes: Vec<ChangeMessage>,
}

/// The location of a copy of the configuration; it has no records while the copy is being
/// made.
#[derive(Clone, PartialEq, Message)]
pub struct CopyMessage {
    /// The offset of its first record.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// The number of its records.
    #[prost(uint32, tag = "2")]
    pub records: u32,
    /// Its size in bytes.
    #[prost(uint64, tag = "3")]
    pub size: u64,
}

impl CopyMessage {
    /// Encodes the state of a copy.
    pub fn new(state: CopyState) -> Option<CopyMessage> {
        match state {
            CopyState::Absent => None,
            CopyState::Pending => Some(CopyMessage::default()),
            CopyState::Available(place) => Some(CopyMessage {
                offset: place.offset.number(),
                records: place.records,
                size: place.size.count(),
            }),
        }
    }

    /// Decodes the state of a copy.
    pub fn state(message: Option<&CopyMessage>) -> CopyState {
        match message {
            None => CopyState::Absent,
            Some(message) if message.records == 0 => CopyState::Pending,
            Some(message) => CopyState::Available(CopyLocation {
                offset: LogOffset::new(message.offset),
                records: message.records,
                size: ByteSize::new(message.size),
            }),
        }
    }
}

/// A changed registration.
#[derive(Clone, PartialEq, Message)]
pub struct ChangeMessage {
    /// The endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// The registration as stored; `None` if it was removed.
    #[prost(bytes = "vec", optional, tag = "2")]
    pub value: Option<Vec<u8>>,
    /// For how many ms the endpoint is kept although its registration was removed, from when the
    /// message is sent.
    #[prost(uint64, optional, tag = "3")]
    pub kept_for_ms: Option<u64>,
    /// The start of the endpoint whose registration was removed.
    #[prost(uint64, tag = "4")]
    pub start: u64,
    /// The heartbeat number of the last registration that was removed.
    #[prost(uint64, tag = "5")]
    pub sequence: u64,
}

impl ChangeMessage {
    /// The message as sent `age` after the change: a lapsed endpoint is kept for less by then.
    pub fn with_age(mut self, age: TimeSpan) -> ChangeMessage {
        let kept_for_ms = self.kept_for_ms;
        self.kept_for_ms = kept_for_ms.map(|kept_for| kept_for.saturating_sub(age.as_millis()));
        self
    }

    /// The last registration that was removed.
    pub fn removed_number(&self) -> RegistrationNumber {
        RegistrationNumber {
            start: self.start,
            sequence: self.sequence,
        }
    }
}
