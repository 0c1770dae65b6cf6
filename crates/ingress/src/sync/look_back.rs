//! Reading the log of registrations for the time before this process started.

use std::{sync::Arc, time::Duration};

use bluebell_adapter::{
    CallError,
    registrations::{self, TOPIC},
    store::{ReadAnswer, TopicPart},
};
use bluebell_core::{
    clock::TimeSpan,
    ids::{EndpointId, LogOffset},
    streams::LookBack,
    units::ByteSize,
};
use bluebell_daemon::logs::LogLine;

use crate::{context::EntryContext, sync::READ_TIMEOUT};

const PART: TopicPart = TopicPart::first(TOPIC);

/// When it is first checked whether the log has to be read, and how often again. Until then
/// other instances may have proved what it would show.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_500);

/// The maximum number of records that are read: 2 MB. Beyond it, the instance waits until it
/// has followed the registrations for long enough.
const MAX_RECORDS: u64 = 6_000;

/// The size of a read that only asks for the end of the log.
const END_READ: ByteSize = ByteSize::new(1_000);

/// The share of records beyond one for each endpoint and heartbeat, in percent: some are
/// written early.
const EXTRA_RECORDS_PERCENT: u64 = 20;

/// Reads the log if no instance knows the versions of the time before this process started.
pub async fn run(context: Arc<EntryContext>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = context.now();
        let since_start = now.since(context.started_at);
        let (is_needed, stream_age) = {
            let directory = context.directory.lock();
            let versions = directory.versions();
            (versions.needs_proof(now), versions.stream_age())
        };
        if since_start >= stream_age {
            return;
        }
        if !is_needed || !context.is_reader() {
            continue;
        }
        match look_back(&context).await {
            Ok(look_back) => note(&context, &look_back),
            Err(error) => LogLine::new("registrations_not_looked_back")
                .with("error", error)
                .info(),
        }
        return;
    }
}

fn note(context: &EntryContext, look_back: &LookBack) {
    let span = look_back.span(context.settings.heartbeat);
    let now = context.now();
    let mut directory = context.directory.lock();
    let versions = directory.versions_mut();
    versions.note_looked_back(now, span, look_back.seen());
    drop(directory);
    LogLine::new("registrations_looked_back")
        .with("span", span)
        .with("versions", look_back.seen().len())
        .info();
}

async fn look_back(context: &EntryContext) -> Result<LookBack, CallError> {
    let (first, end) = bounds(context).await?;
    let wanted = wanted_records(context);
    let mut look_back = LookBack::new();
    if wanted > MAX_RECORDS {
        return Ok(look_back);
    }
    let mut from = LogOffset::new(end.number().saturating_sub(wanted)).max(first);
    while from < end {
        let wait = TimeSpan::ZERO;
        let answer = context.store.read(PART, from, wait, READ_TIMEOUT).await?;
        let ReadAnswer::Records { records, .. } = answer else {
            return Ok(look_back);
        };
        for record in &records {
            let entry = record.keyed().and_then(|(key, value)| {
                let id = EndpointId::new(std::str::from_utf8(key).ok()?).ok()?;
                registrations::decode(id, value?).ok()
            });
            if let Some(registration) = entry {
                look_back.add(&registration);
            }
        }
        let Some(last) = records.last() else {
            return Ok(look_back);
        };
        from = last.offset.next();
    }
    look_back.complete();
    Ok(look_back)
}

/// The first and the next offset of the log.
async fn bounds(context: &EntryContext) -> Result<(LogOffset, LogOffset), CallError> {
    let mut first = LogOffset::START;
    loop {
        let wait = TimeSpan::ZERO;
        let store = &context.store;
        let answer = store.read_limited(PART, first, wait, READ_TIMEOUT, END_READ);
        match answer.await? {
            ReadAnswer::Trimmed { first: kept } if kept > first => first = kept,
            ReadAnswer::Trimmed { .. } => return Ok((first, first)),
            ReadAnswer::Records { end, .. } => return Ok((first, end)),
        }
    }
}

/// How many records the endpoints write while streams last.
fn wanted_records(context: &EntryContext) -> u64 {
    let directory = context.directory.lock();
    let endpoints = directory.registered().count() as u64;
    let span = directory.versions().stream_age();
    let heartbeat_ms = context.settings.heartbeat.as_millis().max(1);
    let heartbeats = span.as_millis() / heartbeat_ms + 1;
    endpoints * heartbeats * (100 + EXTRA_RECORDS_PERCENT) / 100
}
