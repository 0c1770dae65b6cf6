//! The requests and the parts of prompts that are quarantined, in a keyed topic of the store.
//!
//! The quarantine is kept in the memory of the instances, and all of them may end at once. Instances
//! that start later read it here, and the crashes that led to it are not repeated.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, OnceLock},
    time::Duration,
};

use bluebell_adapter::{
    CallError,
    store::{NewestItem, TopicPart, keyed_record},
};
use bluebell_core::{clock::TimeSpan, quarantine::QUARANTINE_RETENTION, relay::DIRECT_READERS};
use bluebell_daemon::logs::LogLine;
use bytes::Bytes;
use prost::{Message, Oneof};
use tokio::{sync::Notify, time::Instant};
use tokio_util::sync::CancellationToken;

use crate::{
    context::EntryContext,
    peers::{CrashMessage, PartMessage},
    sync::{READ_TIMEOUT, StoreBackoff},
    time::wall_time,
};

const PART: TopicPart = TopicPart::first("keyed.crashes");

/// The name of the calls in logs and metrics.
const CALL_NAME: &str = "crashes";

/// How long after a request or a part was quarantined it is written: others may follow.
const WRITE_DELAY: Duration = Duration::from_millis(50);

/// How often it is checked whether what is written still holds.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// How often an instance that has just started checks whether it reads the records.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How long after the start of the process requests wait for the records. During an outage of the
/// store later ones are decided by what is known here.
const READ_WAIT: Duration = Duration::from_secs(2);

/// The number of instances of each failure domain that write what they learn from others.
const WRITERS_PER_DOMAIN: usize = 2;

/// What is quarantined, as it is stored.
#[derive(Clone, PartialEq, Message)]
struct CrashRecord {
    /// The Unix time in ms of the last crash under a request, or at which the record of a part was made.
    #[prost(uint64, tag = "1")]
    noted_at_ms: u64,
    /// What ran on the endpoints that crashed.
    #[prost(oneof = "CrashSubject", tags = "2, 3")]
    subject: Option<CrashSubject>,
}

#[derive(Clone, PartialEq, Oneof)]
enum CrashSubject {
    /// A request.
    #[prost(message, tag = "2")]
    Request(CrashMessage),
    /// A part of prompts; its ages count from the time of the record.
    #[prost(message, tag = "3")]
    Part(PartMessage),
}

/// Wakes the task that writes the records, and the requests that wait until they are read.
#[derive(Debug, Default)]
pub struct CrashRecords {
    due: Notify,
    /// The first read of the records; unset where they are not followed.
    reading: OnceLock<FirstRead>,
}

/// The first read of the records.
#[derive(Debug)]
struct FirstRead {
    /// Cancelled once it is over.
    is_over: CancellationToken,
    /// Until when requests wait for it.
    wait_end: Instant,
}

impl FirstRead {
    /// Creates the state of a read that begins now.
    fn new() -> FirstRead {
        FirstRead {
            is_over: CancellationToken::new(),
            wait_end: Instant::now() + READ_WAIT,
        }
    }
}

impl CrashRecords {
    /// Creates the state of a process that does not follow the records yet.
    pub fn new() -> CrashRecords {
        CrashRecords::default()
    }

    /// Records that something was quarantined.
    pub fn note_quarantined(&self) {
        self.due.notify_one();
    }

    /// Waits until the records are read, for a short time at most.
    pub async fn wait_until_read(&self) {
        if let Some(reading) = self.reading.get() {
            let is_over = reading.is_over.cancelled();
            let _ = tokio::time::timeout_at(reading.wait_end, is_over).await;
        }
    }
}

/// Spawns the task that reads the records and then writes them; it ends with `stop`.
pub fn start(context: &Arc<EntryContext>, stop: &CancellationToken) {
    let reading = context.crash_records.reading.get_or_init(FirstRead::new);
    let task = run(Arc::clone(context), reading.is_over.clone());
    let stop = stop.clone();
    tokio::spawn(async move { stop.run_until_cancelled(task).await });
}

async fn run(context: Arc<EntryContext>, is_read: CancellationToken) {
    let mut backoff = StoreBackoff::new(CALL_NAME);
    let mut written = BTreeSet::new();
    if !context.settings.is_first_start && rank(&context).await < DIRECT_READERS {
        loop {
            match read(&context).await {
                Ok(keys) => break written = keys,
                Err(error) => backoff.wait_after_failure(&context, &error).await,
            }
        }
        backoff.note_answer(&context);
    }
    is_read.cancel();
    loop {
        let due = context.crash_records.due.notified();
        if tokio::time::timeout(CHECK_INTERVAL, due).await.is_ok() {
            tokio::time::sleep(WRITE_DELAY).await;
        }
        match write(&context, &mut written).await {
            Ok(false) => {}
            Ok(true) => backoff.note_answer(&context),
            Err(error) => {
                backoff.wait_after_failure(&context, &error).await;
                context.crash_records.note_quarantined();
            }
        }
    }
}

/// The rank of this instance in its failure domain, once the others are known.
async fn rank(context: &EntryContext) -> usize {
    let (local, domain) = (&context.writer.instance, &context.settings.domain);
    loop {
        let rank = context.peers.lock().rank(context.now(), local, domain);
        if let Some(rank) = rank {
            return rank;
        }
        tokio::time::sleep(START_CHECK_INTERVAL).await;
    }
}

/// Reads the records of earlier processes; returns their keys.
async fn read(context: &EntryContext) -> Result<BTreeSet<String>, CallError> {
    let mut keys = BTreeSet::new();
    let mut after: Option<String> = None;
    loop {
        let page = context.store.newest(PART, after.as_deref(), READ_TIMEOUT);
        let page = match page.await {
            // A topic without any record does not exist yet.
            Err(CallError::Status { status: 404, .. }) => return Ok(keys),
            page => page?,
        };
        for item in &page.items {
            restore(context, item);
            keys.insert(item.key.clone());
        }
        after = page.last_key;
        if !page.has_more || after.is_none() {
            break;
        }
    }
    LogLine::new("crash_records_read")
        .with("records", keys.len())
        .info();
    Ok(keys)
}

/// Enters what is stored, unless that is too long ago.
fn restore(context: &EntryContext, item: &NewestItem) {
    let record = match CrashRecord::decode(&item.value[..]) {
        Ok(record) => record,
        Err(error) => {
            LogLine::new("crash_record_rejected")
                .with("key", &item.key)
                .with("error", error)
                .warn();
            return;
        }
    };
    let elapsed_ms = wall_time().as_millis().saturating_sub(record.noted_at_ms);
    let elapsed = TimeSpan::from_millis(elapsed_ms);
    if elapsed >= QUARANTINE_RETENTION {
        return;
    }
    let now = context.now();
    match record.subject {
        Some(CrashSubject::Request(message)) => {
            let mut quarantine = context.quarantine.lock();
            quarantine.restore(now - elapsed, &message.report());
        }
        Some(CrashSubject::Part(message)) => {
            let mut prompt_parts = context.prompt_parts.lock();
            prompt_parts.restore(now, elapsed, &message.report());
        }
        None => {}
    }
}

/// Writes what is quarantined and not `written`, and removes what is no longer. Returns whether the
/// store was called.
async fn write(context: &EntryContext, written: &mut BTreeSet<String>) -> Result<bool, CallError> {
    let quarantined = quarantined(context);
    let is_writer = rank(context).await < WRITERS_PER_DOMAIN;
    let unwritten = quarantined.iter().filter(|(key, known)| {
        let is_due = is_writer || known.is_received_here;
        is_due && !written.contains(*key)
    });
    let mut records: BTreeMap<String, Bytes> = BTreeMap::new();
    for (key, known) in unwritten {
        let value = known.record.encode_to_vec();
        records.insert(key.clone(), keyed_record(key, &value));
    }
    for key in written.iter().filter(|key| !quarantined.contains_key(*key)) {
        records.insert(key.clone(), keyed_record(key, b""));
    }
    if records.is_empty() {
        return Ok(false);
    }
    let appended: Vec<Bytes> = records.values().cloned().collect();
    context
        .store
        .append(PART, None, &appended, READ_TIMEOUT)
        .await?;
    LogLine::new("crash_records_written")
        .with("records", records.len())
        .info();
    written.extend(records.into_keys());
    written.retain(|key| quarantined.contains_key(key));
    Ok(true)
}

/// What is quarantined here.
struct QuarantinedSubject {
    record: CrashRecord,
    /// Whether requests with it have come to this instance.
    is_received_here: bool,
}

impl QuarantinedSubject {
    /// Creates the record of what crashed an endpoint `age` ago at last.
    fn new(subject: CrashSubject, age: TimeSpan, is_received_here: bool) -> QuarantinedSubject {
        let noted_at_ms = wall_time().as_millis().saturating_sub(age.as_millis());
        QuarantinedSubject {
            record: CrashRecord {
                noted_at_ms,
                subject: Some(subject),
            },
            is_received_here,
        }
    }
}

/// What is quarantined here, by the keys under which it is stored.
fn quarantined(context: &EntryContext) -> BTreeMap<String, QuarantinedSubject> {
    let now = context.now();
    let mut quarantined = BTreeMap::new();
    for known in context.quarantine.lock().quarantined(now) {
        let key = format!("request-{}", known.report.fingerprint);
        let subject = CrashSubject::Request(CrashMessage::new(&known.report));
        let subject = QuarantinedSubject::new(subject, known.age, known.is_received_here);
        quarantined.insert(key, subject);
    }
    for known in context.prompt_parts.lock().quarantined_reports(now) {
        let key = format!("part-{}", known.report.part);
        let subject = CrashSubject::Part(PartMessage::new(&known.report));
        // Its ages count from now.
        let subject = QuarantinedSubject::new(subject, TimeSpan::ZERO, known.is_received_here);
        quarantined.insert(key, subject);
    }
    quarantined
}
