//! Following the operator's configuration.

use std::{mem, sync::Arc};

use bluebell_adapter::{
    CallError,
    configuration::{self, KEY, TOPIC},
    store::{ReadAnswer, TopicPart},
};
use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::LogOffset,
    ingress::OfferOutcome,
    relay::{ConfirmationSource, MAX_FAILED_COPIES, StateSource},
    units::ByteSize,
};
use bluebell_daemon::logs::LogLine;
use bytes::Bytes;

use crate::{
    compression::compress,
    context::EntryContext,
    state_transfer::{self, CopyError, PackedState, StateCopy, StateKind, StateRequest},
    sync::{READ_TIMEOUT, StoreBackoff, confirm_version, copies, wait_for_wake},
};

const PART: TopicPart = TopicPart::first(TOPIC);

/// The time for the answer to a read to begin, after the store no longer holds it.
const READ_SLACK: TimeSpan = TimeSpan::from_millis(700);

/// Keeps the configuration in force up to date; never returns.
pub async fn follow(context: Arc<EntryContext>) {
    let mut backoff = StoreBackoff::new("configuration");
    let mut next = None;
    let mut is_relayed = false;
    loop {
        match context.configuration_source() {
            StateSource::Relay if next.is_some() => {
                is_relayed = true;
                wait_for_wake(&context).await;
                continue;
            }
            StateSource::Copy => {
                if copy(&context).await {
                    next = Some(LogOffset::START);
                    is_relayed = true;
                } else {
                    wait_for_wake(&context).await;
                }
                continue;
            }
            _ => {}
        }
        if is_relayed && copies::fetch(&context).await {
            continue;
        }
        if mem::take(&mut is_relayed) {
            next = advertised_end(&context);
        }
        match read(&context, next, backoff.read_timeout()).await {
            Ok(from) => {
                backoff.note_answer(&context);
                next = from;
            }
            Err(error) => backoff.wait_after_failure(&context, &error).await,
        }
    }
}

/// Reads the records from `next` on, or the newest configuration within `full_timeout` if there
/// is no such offset. Returns the offset to read next, and records whether the store answered.
async fn read(
    context: &Arc<EntryContext>,
    next: Option<LogOffset>,
    full_timeout: TimeSpan,
) -> Result<Option<LogOffset>, CallError> {
    let wait = context.configuration_read_wait();
    let timeout = next.map_or(full_timeout, |_| wait + READ_SLACK);
    let sent = context.now();
    context.store_reads.lock().note_sent(sent, timeout);
    let read = match next {
        None => read_newest(context, timeout).await,
        Some(from) => read_from(context, from, wait, timeout).await,
    };
    if read.is_ok() {
        context.store_reads.lock().note_answer();
    } else {
        let now = context.now();
        context.store_reads.lock().note_failure(now);
        // Requests that wait for a confirmation are decided without it now.
        context.confirmed.notify_waiters();
    }
    read
}

/// Confirms the version in force as of a time after `at`, by a read beside the one that the store
/// holds until there is a newer version. A newer one is left to that read.
pub async fn confirm_since(context: &EntryContext, at: ClockTime) {
    let _turn = context.configuration_check.lock().await;
    let now = context.now();
    let (version, age) = {
        let tracker = context.configuration.lock();
        (tracker.version(), tracker.age(now))
    };
    let is_known = age.is_some_and(|age| age <= now.since(at));
    let read_up_to = context.relayed.lock().configuration_next;
    let next = advertised_end(context).map_or(read_up_to, |end| end.max(read_up_to));
    let Some(version) = version.filter(|_| !is_known && next > LogOffset::START) else {
        return;
    };
    let reading = context.store.read(PART, next, TimeSpan::ZERO, READ_TIMEOUT);
    if let Ok(ReadAnswer::Records { records, end }) = reading.await
        && records.is_empty()
        && end == next
    {
        confirm_version(context, version, now, ConfirmationSource::Store);
    }
}

/// Copies the newest configuration from another instance; returns whether that succeeded.
async fn copy(context: &Arc<EntryContext>) -> bool {
    let advertised = context.relayed.lock().configuration.version();
    let copied = fetch_in_time(context, advertised).await;
    match copied {
        Ok(copied) => {
            apply(context, &copied.content, Some(copied.packed));
            if context.configuration.lock().version() == Some(copied.version) {
                confirm(
                    context,
                    copied.known_at,
                    copied.next,
                    ConfirmationSource::Copy,
                );
            }
            context.relayed.lock().failed_configuration_copies = 0;
            true
        }
        // The instance has not read the registrations of the others yet.
        Err(CopyError::NoPeer) => false,
        Err(error) => {
            context.relayed.lock().failed_configuration_copies += 1;
            LogLine::new("configuration_not_copied")
                .with("version", advertised)
                .with("error", error)
                .info();
            false
        }
    }
}

/// Fetches a copy of a configuration that has at least version `min_version`. After a timeout, no
/// further source is tried, and the store is read next.
async fn fetch_in_time(context: &EntryContext, min_version: u64) -> Result<StateCopy, CopyError> {
    let copying = state_transfer::fetch(context, StateRequest::configuration(min_version));
    let Some(limit) = context.configuration_copy_timeout() else {
        return copying.await;
    };
    let copied = tokio::time::timeout(limit.as_duration(), copying).await;
    copied.unwrap_or_else(|_| {
        context.relayed.lock().failed_configuration_copies = MAX_FAILED_COPIES;
        let labels = [StateKind::Configuration.as_str(), "failed"];
        context
            .metrics
            .state_copies
            .with_label_values(&labels)
            .inc();
        Err(CopyError::TimedOut)
    })
}

/// Reads the newest configuration; returns the offset to read next.
async fn read_newest(
    context: &Arc<EntryContext>,
    timeout: TimeSpan,
) -> Result<Option<LogOffset>, CallError> {
    let sent = context.now();
    let page = context.store.newest(PART, None, timeout).await?;
    for item in page.items.iter().filter(|item| item.key == KEY) {
        apply(context, &item.value, None);
    }
    confirm(context, sent, page.end, ConfirmationSource::Store);
    Ok(Some(page.end))
}

/// Reads the records from `from` on. Returns the offset to read next, or `None` if the
/// store no longer has these records and the newest configuration must be read instead.
async fn read_from(
    context: &Arc<EntryContext>,
    from: LogOffset,
    wait: TimeSpan,
    timeout: TimeSpan,
) -> Result<Option<LogOffset>, CallError> {
    let sent = context.now();
    match context.store.read(PART, from, wait, timeout).await? {
        ReadAnswer::Trimmed { first } => {
            LogLine::new("configuration_history_lost")
                .with("from", from)
                .with("first", first)
                .info();
            Ok(None)
        }
        ReadAnswer::Records { records, end } => {
            let next = records.last().map_or(from, |record| record.offset.next());
            for record in &records {
                match record.keyed() {
                    Some((key, Some(value))) if key == KEY.as_bytes() => {
                        apply(context, value, None);
                    }
                    _ => {}
                }
            }
            if next < end {
                // The answer reached its size limit, and there are further records.
                return Ok(Some(next));
            }
            let next = next.max(end);
            confirm(context, sent, next, ConfirmationSource::Store);
            Ok(Some(next))
        }
    }
}

/// Records that `source` knew at `known_at` everything before `end`.
fn confirm(
    context: &EntryContext,
    known_at: ClockTime,
    end: LogOffset,
    source: ConfirmationSource,
) {
    let mut relayed = context.relayed.lock();
    relayed.configuration_next = relayed.configuration_next.max(end);
    relayed.failed_configuration_copies = 0;
    drop(relayed);
    let version = context.configuration.lock().version();
    if let Some(version) = version {
        confirm_version(context, version, known_at, source);
    }
}

/// The offset to read from once the reader's advertisements have ended. A large
/// configuration that is in force here need not be fetched again.
fn advertised_end(context: &EntryContext) -> Option<LogOffset> {
    let version = context.configuration.lock().version();
    let advertised = context.relayed.lock().configuration;
    advertised.resume_offset(version)
}

/// Confirms the version in force as of when the advertised one was known, if the two are
/// the same.
pub fn confirm_advertised(context: &EntryContext) {
    let advertised = context.relayed.lock().configuration;
    let (version, known_at) = (advertised.version(), advertised.known_at());
    confirm_version(context, version, known_at, ConfirmationSource::Reader);
}

/// Decodes a configuration as stored and puts it in force unless it is older than the
/// one in force. `packed` is the same compressed, if it was received so.
pub fn apply(context: &Arc<EntryContext>, value: &[u8], packed: Option<Bytes>) {
    let configuration = match configuration::decode(value) {
        Ok(configuration) => configuration,
        Err(error) => {
            LogLine::new("configuration_rejected")
                .with("error", error)
                .warn();
            return;
        }
    };
    let version = configuration.version;
    let (routes, services) = (configuration.routes.len(), configuration.services.len());
    let size = ByteSize::new(value.len() as u64);
    // No copy is made of the first version after a start: the other instances already
    // have it.
    let previous = context.configuration.lock().version();
    let is_newer = previous.is_some_and(|previous| previous < version);
    let is_copied = is_newer && copies::is_due(context, size);
    if is_copied {
        copies::mark_pending(context, version);
    }
    let accepted = context.configuration.lock().offer(configuration);
    match accepted {
        OfferOutcome::Newer => {
            cache_packed(context, version, value, packed);
            context.wake.notify_waiters();
            if is_copied {
                let value = Bytes::copy_from_slice(value);
                tokio::spawn(copies::publish(Arc::clone(context), version, value));
            }
            apply_rate_limits(context);
            note_routes(context);
            context.metrics.configuration_version.set(version as i64);
            LogLine::new("configuration")
                .with("version", version)
                .with("routes", routes)
                .with("services", services)
                .with("size", size)
                .with("outcome", "in_force")
                .info();
        }
        OfferOutcome::Same => {}
        OfferOutcome::Older => LogLine::new("configuration")
            .with("version", version)
            .with("outcome", "older_than_in_force")
            .info(),
    }
}

/// Records where the routes of streams lead, and how long their streams may last.
fn note_routes(context: &EntryContext) {
    let table = context.configuration.lock().table().cloned();
    let Some(table) = table else { return };
    let configuration = table.configuration();
    context
        .streams
        .note_configuration(context.now(), configuration);
    let mut directory = context.directory.lock();
    let timeout = configuration.resumable_timeout();
    directory.versions_mut().set_timeout(timeout);
}

/// Keeps the configuration in force compressed, for the instances that copy it from here.
fn cache_packed(context: &EntryContext, version: u64, value: &[u8], packed: Option<Bytes>) {
    let packed = packed.map_or_else(|| compress(value).map(Bytes::from), Ok);
    match packed {
        Ok(packed) => {
            context.state_cache.lock().configuration = PackedState { version, packed };
        }
        Err(error) => LogLine::new("configuration_not_packed")
            .with("version", version)
            .with("error", error)
            .warn(),
    }
}

/// Puts the limits of the configuration in force into the limiter.
fn apply_rate_limits(context: &EntryContext) {
    let table = context.configuration.lock().table().cloned();
    if let Some(table) = table {
        let limits = table.configuration().rate_limits();
        context.limiter.lock().set_limits(context.now(), limits);
    }
}
