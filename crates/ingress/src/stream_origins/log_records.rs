//! The log of the store with the records of where streams began.
//!
//! Some instances of each failure domain append the records of the streams that begin there, in
//! batches. The first instances of each failure domain read all of them when they start: after a kill
//! of all instances, no other source names the version at which a stream goes on.

use std::{sync::Arc, time::Duration};

use bluebell_adapter::{
    CallError,
    store::{ReadAnswer, TopicPart},
};
use bluebell_core::{
    clock::TimeSpan,
    ids::LogOffset,
    relay::DIRECT_READERS,
    streams::{StreamRecord, append_interval},
};
use bluebell_daemon::logs::LogLine;
use bytes::Bytes;
use prost::Message;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::messages::OriginRecords;
use crate::{
    context::EntryContext,
    sync::{READ_TIMEOUT, StoreBackoff},
};

/// The topic with the records; each failure domain appends to a partition.
const TOPIC: &str = "streams";

/// The number of appends of one partition that are read, from the newest: those of 60 s, for as long
/// as streams are taken up, by four instances.
const MAX_APPENDS_READ: u64 = 6_000;

/// How often an instance that has just started checks whether it reads the log.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Spawns the tasks that append records and read those of earlier processes; they end with `stop`.
pub fn start(context: &Arc<EntryContext>, stop: &CancellationToken) {
    let appending = append(Arc::clone(context));
    let appending_stop = stop.clone();
    tokio::spawn(async move { appending_stop.run_until_cancelled(appending).await });
    let reading = read(Arc::clone(context));
    let stop = stop.clone();
    tokio::spawn(async move { stop.run_until_cancelled(reading).await });
}

/// Appends the records that are queued here; never returns.
async fn append(context: Arc<EntryContext>) {
    let mut backoff = StoreBackoff::new("streams");
    let part = context.domain_part(TOPIC);
    loop {
        if context.streams.log_queue.lock().is_empty() {
            context.streams.log_due.notified().await;
        }
        let records = context.streams.log_queue.lock().take();
        if records.is_empty() {
            continue;
        }
        let started = Instant::now();
        let encoded = [Bytes::from(OriginRecords::new(&records).encode_to_vec())];
        let appended = context.store.append(part, None, &encoded, READ_TIMEOUT);
        match appended.await {
            Ok(_) => {
                backoff.note_answer(&context);
                // The records that are queued meanwhile are appended together.
                let interval = append_interval(&context.record_peers());
                tokio::time::sleep_until(started + interval.as_duration()).await;
            }
            Err(error) => {
                context.streams.log_queue.lock().restore(records);
                backoff.wait_after_failure(&context, &error).await;
            }
        }
    }
}

/// Reads the records of earlier processes, if this instance is one of those that do.
async fn read(context: Arc<EntryContext>) {
    if !context.settings.is_first_start && is_reading(&context).await {
        read_all(&context).await;
    }
    context.streams.log_read.cancel();
}

/// Whether this instance is one of the first of its failure domain, once the others are known.
async fn is_reading(context: &EntryContext) -> bool {
    let (local, domain) = (&context.writer.instance, &context.settings.domain);
    loop {
        let rank = context.peers.lock().rank(context.now(), local, domain);
        if let Some(rank) = rank {
            return rank < DIRECT_READERS;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

async fn read_all(context: &EntryContext) {
    let mut backoff = StoreBackoff::new("streams");
    let mut count = 0;
    for part in context.domain_parts(TOPIC) {
        let records = loop {
            match read_part(context, part).await {
                Ok(records) => break records,
                Err(error) => backoff.wait_after_failure(context, &error).await,
            }
        };
        backoff.note_answer(context);
        count += records.len();
        let now = context.now();
        let mut table = context.streams.table.lock();
        for record in records {
            table.note_record(now, record);
        }
    }
    LogLine::new("stream_records_read")
        .with("records", count)
        .info();
}

/// Reads the newest records of a partition.
async fn read_part(
    context: &EntryContext,
    part: TopicPart,
) -> Result<Vec<StreamRecord>, CallError> {
    let mut read = Vec::new();
    let mut from = LogOffset::START;
    let mut has_skipped = false;
    loop {
        let wait = TimeSpan::ZERO;
        let answer = match context.store.read(part, from, wait, READ_TIMEOUT).await {
            // A topic without any record does not exist yet.
            Err(CallError::Status { status: 404, .. }) => return Ok(read),
            answer => answer?,
        };
        let (records, end) = match answer {
            ReadAnswer::Records { records, end } => (records, end),
            ReadAnswer::Trimmed { first } if first > from => {
                from = first;
                continue;
            }
            ReadAnswer::Trimmed { .. } => return Ok(read),
        };
        let newest = LogOffset::new(end.number().saturating_sub(MAX_APPENDS_READ));
        if !has_skipped && newest > from {
            has_skipped = true;
            from = newest;
            continue;
        }
        for record in &records {
            match OriginRecords::decode(&record.bytes[..]) {
                Ok(decoded) => read.extend(decoded.records()),
                Err(error) => LogLine::new("stream_records_rejected")
                    .with("offset", record.offset)
                    .with("error", error)
                    .warn(),
            }
        }
        match records.last() {
            Some(last) if last.offset.next() < end => from = last.offset.next(),
            _ => return Ok(read),
        }
    }
}
