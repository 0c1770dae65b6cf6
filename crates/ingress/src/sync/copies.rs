//! Compressed copies of a large configuration: published by the reader of a failure
//! domain, and fetched by the other instances there.

use std::{io, sync::Arc};

use bluebell_adapter::{
    CallError,
    store::{AppendAnswer, ReadAnswer, TopicPart},
};
use bluebell_core::{
    clock::TimeSpan,
    ids::LogOffset,
    relay::{COPY_THRESHOLD, CopyLocation, CopyState, VersionSource},
    units::ByteSize,
};
use bluebell_daemon::logs::LogLine;
use bytes::Bytes;
use prost::Message;

use crate::{
    compression::{compress, decompress},
    context::EntryContext,
    sync::{READ_TIMEOUT, configuration},
};

const PART: TopicPart = TopicPart::first("configuration-copies");

/// The size limit of one record in bytes; the limit of the store is somewhat higher.
const MAX_RECORD_BYTES: usize = 200_000;

/// The size limit of a decompressed configuration.
const MAX_UNPACKED_SIZE: ByteSize = ByteSize::new(32_000_000);

/// A copy as it is stored.
#[derive(Clone, PartialEq, Message)]
struct CopyRecord {
    /// The version of the configuration.
    #[prost(uint64, tag = "1")]
    version: u64,
    /// The operator's configuration, compressed.
    #[prost(bytes = "bytes", tag = "2")]
    packed: Bytes,
}

/// The copy that this instance publishes as the reader of its failure domain.
#[derive(Clone, Copy, Debug, Default)]
pub struct PublishedCopy {
    version: u64,
    state: CopyState,
}

impl PublishedCopy {
    /// The state of the copy of `version`.
    pub fn state(&self, version: u64) -> CopyState {
        match self.version == version {
            true => self.state,
            false => CopyState::Absent,
        }
    }

    fn set(&mut self, version: u64, state: CopyState) {
        if version >= self.version {
            *self = PublishedCopy { version, state };
        }
    }
}

/// Why a copy could not be published or read.
#[derive(Debug, thiserror::Error)]
enum CopyError {
    #[error("the call to the store failed: {0}")]
    Store(#[from] CallError),
    #[error("the copy is no longer in the store; the first record left is at offset {0}")]
    Removed(LogOffset),
    #[error("the copy can't be decoded: {0}")]
    Decode(#[from] prost::DecodeError),
    #[error("the configuration can't be compressed or decompressed: {0}")]
    Compression(#[from] io::Error),
    #[error("the store answered an unconditional append as a conditional one")]
    UnexpectedAnswer,
    #[error("the copy is of another version: {0}")]
    OtherVersion(u64),
}

/// Whether this instance publishes a copy of a configuration of `size`.
pub fn is_due(context: &EntryContext, size: ByteSize) -> bool {
    size >= COPY_THRESHOLD && context.is_reader()
}

/// Records that a copy of `version` is being made; called before the version is
/// advertised.
pub fn mark_pending(context: &EntryContext, version: u64) {
    context
        .published_copy
        .lock()
        .set(version, CopyState::Pending);
}

/// Publishes the copy of `version` and advertises its offset.
pub async fn publish(context: Arc<EntryContext>, version: u64, value: Bytes) {
    let state = match append(&context, version, &value).await {
        Ok(place) => {
            LogLine::new("configuration_copy")
                .with("version", version)
                .with("offset", place.offset)
                .with("size", place.size)
                .with("outcome", "available")
                .info();
            CopyState::Available(place)
        }
        Err(error) => {
            LogLine::new("configuration_copy")
                .with("version", version)
                .with("outcome", "not_made")
                .with("error", error)
                .warn();
            CopyState::Absent
        }
    };
    context.published_copy.lock().set(version, state);
    context.wake.notify_waiters();
}

async fn append(
    context: &EntryContext,
    version: u64,
    value: &[u8],
) -> Result<CopyLocation, CopyError> {
    let packed = Bytes::from(compress(value)?);
    let copy = Bytes::from(CopyRecord { version, packed }.encode_to_vec());
    let starts = (0..copy.len()).step_by(MAX_RECORD_BYTES);
    let records: Vec<Bytes> = starts
        .map(|start| copy.slice(start..copy.len().min(start + MAX_RECORD_BYTES)))
        .collect();
    let appended = context.store.append(PART, None, &records, READ_TIMEOUT);
    match appended.await? {
        AppendAnswer::Appended { offset } => Ok(CopyLocation {
            offset,
            records: records.len() as u32,
            size: ByteSize::new(copy.len() as u64),
        }),
        AppendAnswer::EndMismatch { .. } => Err(CopyError::UnexpectedAnswer),
    }
}

/// Fetches the copy of the advertised version if that version is newer than the one in
/// force here; returns whether the advertised version is in force afterwards.
pub async fn fetch(context: &Arc<EntryContext>) -> bool {
    let advertised = context.relayed.lock().configuration;
    if context.configuration.lock().version() >= Some(advertised.version()) {
        return false;
    }
    let VersionSource::Copy(place) = advertised.source(context.now()) else {
        return false;
    };
    match read(context, advertised.version(), place).await {
        Ok(value) => {
            configuration::apply(context, &value, None);
            configuration::confirm_advertised(context);
            context.configuration.lock().version() >= Some(advertised.version())
        }
        Err(error) => {
            LogLine::new("configuration_copy")
                .with("version", advertised.version())
                .with("outcome", "not_read")
                .with("error", error)
                .warn();
            context.relayed.lock().configuration.note_failed_copy();
            false
        }
    }
}

async fn read(
    context: &EntryContext,
    version: u64,
    place: CopyLocation,
) -> Result<Vec<u8>, CopyError> {
    let wait = TimeSpan::ZERO;
    let answer = context
        .store
        .read_limited(PART, place.offset, wait, READ_TIMEOUT, place.size)
        .await?;
    let records = match answer {
        ReadAnswer::Records { records, .. } => records,
        ReadAnswer::Trimmed { first } => return Err(CopyError::Removed(first)),
    };
    let records = records.iter().take(place.records as usize);
    let copy: Vec<u8> = records.flat_map(|record| record.bytes.to_vec()).collect();
    let copy = CopyRecord::decode(&copy[..])?;
    if copy.version != version {
        return Err(CopyError::OtherVersion(copy.version));
    }
    Ok(decompress(&copy.packed, MAX_UNPACKED_SIZE)?)
}
