//! Following the registrations of endpoints: when they are read from the store or copied.

use std::{collections::BTreeSet, mem, sync::Arc, time::Duration};

use bluebell_adapter::{
    CallError,
    registrations::TOPIC,
    store::{ReadAnswer, TopicPart},
};
use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    directory::EndpointRegistration,
    ids::{EndpointId, LogOffset},
    relay::{ConfirmationSource, StateSource},
};
use bluebell_daemon::logs::LogLine;

use crate::{
    context::EntryContext,
    state_transfer::{self, CopyError, StateCopy, StateRequest},
    sync::{
        READ_TIMEOUT, StoreBackoff,
        directory::{drop_lapsed, enter_all, register, retain_listed, unregister},
        log_directory_confirmed, wait_for_wake,
    },
};

const PART: TopicPart = TopicPart::first(TOPIC);

/// How often the registrations are read. Endpoints write heartbeats all the time, so a read
/// that waits for a record would return at once. No new request may be sent to a leaving
/// endpoint 2 s after it announced that it leaves, and a withdrawn one is removed after 2 s.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// How soon the registrations are read again if a request has to know what is registered now.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(50);

/// How far a read has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadProgress {
    /// Everything that was in the store when the read was sent is known.
    Complete { next: LogOffset },
    /// The answer reached its size limit and left the rest for the next read.
    Partial { next: LogOffset },
    /// The store no longer has the records; all registrations must be read.
    HistoryLost,
}

impl ReadProgress {
    /// The offset to read next; `None` if all registrations must be read.
    fn next(self) -> Option<LogOffset> {
        match self {
            ReadProgress::Complete { next } | ReadProgress::Partial { next } => Some(next),
            ReadProgress::HistoryLost => None,
        }
    }
}

/// Keeps the endpoint directory up to date; never returns.
pub async fn follow(context: Arc<EntryContext>) {
    let mut backoff = StoreBackoff::new("endpoints");
    let mut next = None;
    let mut is_relayed = false;
    loop {
        match context.endpoints_source() {
            StateSource::Relay if next.is_some() => {
                if !is_relayed {
                    log_source(&context, "reader");
                }
                is_relayed = true;
                drop_lapsed(&context);
                wait_for_wake(&context).await;
                continue;
            }
            StateSource::Copy => {
                if copy_all(&context).await {
                    // Once this instance reads the store, it reads everything.
                    next = Some(LogOffset::START);
                    is_relayed = true;
                } else {
                    wait_for_wake(&context).await;
                }
                continue;
            }
            _ => {}
        }
        if mem::take(&mut is_relayed) {
            log_source(&context, "store");
            // Reading the newest state in full takes less time than reading one by one
            // all records that were written while the reader relayed.
            next = None;
        }
        if context.defers_endpoint_read() {
            let unavailable_at = context.store_reads.lock().unavailable_at();
            note_outage(&context, unavailable_at);
            context.confirmed.notify_waiters();
            wait_for_wake(&context).await;
            continue;
        }
        let sent = context.now();
        let step = match next {
            None => read_all(&context, backoff.read_timeout()).await,
            Some(from) => read_from(&context, from).await,
        };
        match step {
            Ok(progress) => {
                backoff.note_answer(&context);
                next = progress.next();
                drop_lapsed(&context);
                if let ReadProgress::Complete { .. } = progress {
                    confirm(&context, sent, ConfirmationSource::Store);
                    wait_for_next_read(&context).await;
                }
            }
            Err(error) => {
                let now = context.now();
                let unavailable_at = {
                    let mut reads = context.endpoint_reads.lock();
                    reads.note_failure(now);
                    reads.unavailable_at()
                };
                note_outage(&context, unavailable_at);
                // Requests that wait for a confirmation are decided without it now.
                context.confirmed.notify_waiters();
                // A short delay makes the first answer after an outage early, on which the grace
                // period of lapsed endpoints depends.
                let took = now.since(sent);
                backoff.wait_after_call(&context, &error, took).await;
            }
        }
    }
}

/// Records that the store could not be read by a call that was sent at `sent`.
fn note_outage(context: &EntryContext, sent: Option<ClockTime>) {
    let sent = sent.unwrap_or_else(|| context.now());
    context.directory.lock().note_outage(sent);
}

/// Waits for [`READ_INTERVAL`], until a lapsed endpoint is due to be removed, or until a request has to
/// know what is registered now.
async fn wait_for_next_read(context: &EntryContext) {
    let now = context.now();
    let removal = context.directory.lock().time_to_removal(now);
    let removal = removal.map_or(READ_INTERVAL, TimeSpan::as_duration);
    let wait = tokio::time::sleep(READ_INTERVAL.min(removal));
    let requested = async {
        tokio::time::sleep(MIN_READ_INTERVAL).await;
        context.read_due.notified().await;
    };
    tokio::select! {
        () = wait => {}
        () = requested => {}
    }
    drop_lapsed(context);
}

/// Logs whether registrations are now taken from the store or from the reader.
fn log_source(context: &EntryContext, source: &str) {
    let reader = context.reader();
    LogLine::new("endpoints_followed")
        .with("source", source)
        .with("reader", reader)
        .info();
}

/// Copies all registrations from another instance; returns whether that succeeded.
async fn copy_all(context: &EntryContext) -> bool {
    let wanted = {
        let now = context.now();
        context.relayed.lock().endpoints.wanted_copy(now)
    };
    let copied = state_transfer::fetch(context, StateRequest::endpoints(wanted)).await;
    let entered = match copied {
        Ok(copy) => enter_copy(context, &copy),
        // The instance has not read the registrations of the others yet.
        Err(CopyError::NoPeer) => return false,
        Err(error) => Err(error.to_string()),
    };
    match entered {
        Ok(known_at) => {
            confirm(context, known_at, ConfirmationSource::Copy);
            true
        }
        Err(error) => {
            context.relayed.lock().endpoints.note_failed_copy();
            LogLine::new("endpoints_not_copied")
                .with("error", error)
                .info();
            false
        }
    }
}

/// Enters a copy into the directory; returns when it was known to be complete.
fn enter_copy(context: &EntryContext, copy: &StateCopy) -> Result<ClockTime, String> {
    let registered = decode_copy(&copy.content)?;
    let known_at = {
        let relayed = context.relayed.lock();
        relayed.endpoints.copy_known_at(copy.known_at, copy.digest)
    };
    let known_at = known_at.ok_or("the copy is older than the state here")?;
    enter_all(context, &registered);
    Ok(known_at)
}

fn decode_copy(content: &[u8]) -> Result<Vec<EndpointRegistration>, String> {
    serde_json::from_slice(content).map_err(|error| error.to_string())
}

/// Records that the directory contains everything that was in the store at `known_at`.
fn confirm(context: &EntryContext, known_at: ClockTime, source: ConfirmationSource) {
    let mut directory = context.directory.lock();
    directory.versions_mut().note_current(known_at);
    drop(directory);
    let before = context.directory_status(context.now()).age;
    context.relayed.lock().endpoints.confirm(known_at, source);
    log_directory_confirmed(context, before);
    context.confirmed.notify_waiters();
}

async fn read_all(context: &EntryContext, timeout: TimeSpan) -> Result<ReadProgress, CallError> {
    let mut listed: BTreeSet<EndpointId> = BTreeSet::new();
    let mut after: Option<String> = None;
    let mut first_end = None;
    let end = loop {
        note_store_call(context, timeout);
        let page = context
            .store
            .newest(PART, after.as_deref(), timeout)
            .await?;
        note_store_answer(context);
        // Changes that are written while the pages are read follow the end of the first
        // page.
        let end = *first_end.get_or_insert(page.end);
        for item in &page.items {
            if let Some(id) = parse_endpoint_id(item.key.as_bytes()) {
                register(context, &id, &item.value);
                listed.insert(id);
            }
        }
        // The registrations that were entered earlier under these keys stay.
        for key in &page.undecodable {
            LogLine::new("registration_rejected")
                .with("endpoint", key)
                .with("error", "the value can't be decoded")
                .warn();
            listed.extend(parse_endpoint_id(key.as_bytes()));
        }
        after = page.last_key;
        if !page.has_more || after.is_none() {
            break end;
        }
    };
    retain_listed(context, &listed);
    Ok(ReadProgress::Complete { next: end })
}

async fn read_from(context: &EntryContext, from: LogOffset) -> Result<ReadProgress, CallError> {
    note_store_call(context, READ_TIMEOUT);
    let answer = context
        .store
        .read(PART, from, TimeSpan::ZERO, READ_TIMEOUT)
        .await?;
    note_store_answer(context);
    match answer {
        ReadAnswer::Trimmed { .. } => Ok(ReadProgress::HistoryLost),
        ReadAnswer::Records { records, end } => {
            let next = records.last().map_or(from, |record| record.offset.next());
            for record in &records {
                let Some((key, value)) = record.keyed() else {
                    continue;
                };
                let Some(id) = parse_endpoint_id(key) else {
                    continue;
                };
                match value {
                    Some(value) => register(context, &id, value),
                    None => unregister(context, &id),
                }
            }
            Ok(match next < end && !records.is_empty() {
                true => ReadProgress::Partial { next },
                false => ReadProgress::Complete { next: end },
            })
        }
    }
}

fn note_store_call(context: &EntryContext, timeout: TimeSpan) {
    let now = context.now();
    context.endpoint_reads.lock().note_sent(now, timeout);
}

fn note_store_answer(context: &EntryContext) {
    let now = context.now();
    context.endpoint_reads.lock().note_answer();
    context.directory.lock().note_own_answer(now);
}

fn parse_endpoint_id(key: &[u8]) -> Option<EndpointId> {
    let text = std::str::from_utf8(key).ok()?;
    match EndpointId::new(text) {
        Ok(id) => Some(id),
        Err(error) => {
            LogLine::new("registration_rejected")
                .with("error", error)
                .warn();
            None
        }
    }
}
