//! Following the registrations of endpoints.

use std::{mem, sync::Arc, time::Duration};

use bluebell_adapter::{
    CallError,
    registrations::{self, TOPIC},
    store::{ReadAnswer, TopicPart},
};
use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    directory::{DirectoryChange, EndpointRegistration},
    ids::{EndpointId, InstanceId, LogOffset},
};
use bluebell_daemon::logs::LogLine;

use crate::{
    believe::{READ_TIMEOUT, StorePath, wait_while_told},
    context::EntryContext,
    peers::ChangeMessage,
};

const PART: TopicPart = TopicPart::first(TOPIC);

/// How often the registrations are read. Endpoints write heartbeats all the time,
/// so a read that waits for a record would come back at once; an endpoint that
/// leaves must get nothing new within 2 s, and one withdrawn is gone after 2 s.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Keeps the directory up to date, for good.
pub async fn follow(context: Arc<EntryContext>) {
    let mut path = StorePath::new("endpoints");
    let mut next = None;
    let mut is_told = false;
    loop {
        if next.is_some() && !context.must_read_endpoints() {
            if !is_told {
                note_source(&context, "reader");
            }
            is_told = true;
            drop_lapsed(&context);
            wait_while_told(&context).await;
            continue;
        }
        if mem::take(&mut is_told) {
            note_source(&context, "store");
            // What came while the reader told is not worth reading record by record.
            next = None;
        }
        let sent = context.now();
        let step = match next {
            None => read_all(&context, path.patience()).await,
            Some(from) => read_on(&context, from).await,
        };
        match step {
            Ok(from) => {
                path.answered(&context);
                next = from;
                if next.is_some() {
                    note_whole(&context, sent);
                }
                drop_lapsed(&context);
                if next.is_some() {
                    tokio::time::sleep(READ_INTERVAL).await;
                }
            }
            Err(error) => {
                let now = context.now();
                context.directory.lock().note_outage(now);
                path.failed(&context, &error).await;
            }
        }
    }
}

/// Tells where the registrations are learned from, from now on.
fn note_source(context: &EntryContext, source: &str) {
    let reader = context.reader();
    LogLine::new("endpoints_followed")
        .with("source", source)
        .with("reader", reader)
        .info();
}

/// Everything that stood in the store at `sent` is known.
fn note_whole(context: &EntryContext, sent: ClockTime) {
    let mut relayed = context.relayed.lock();
    relayed.endpoints_known_at = relayed.endpoints_known_at.max(Some(sent));
    relayed.must_resync = false;
    relayed.difference.reset();
}

async fn read_all(
    context: &EntryContext,
    patience: TimeSpan,
) -> Result<Option<LogOffset>, CallError> {
    let mut listed: Vec<EndpointId> = Vec::new();
    let mut after: Option<String> = None;
    let mut from = None;
    loop {
        let page = context
            .store
            .newest(PART, after.as_deref(), patience)
            .await?;
        note_return(context);
        // What changes while the pages are read stands after the first page's end.
        from.get_or_insert(page.end);
        for item in &page.items {
            if let Some(id) = endpoint_id(item.key.as_bytes()) {
                register(context, &id, &item.value);
                listed.push(id);
            }
        }
        after = page.items.last().map(|item| item.key.clone());
        if !page.has_more || after.is_none() {
            break;
        }
    }
    let now = context.now();
    let known = |id: &EndpointId| listed.contains(id);
    let missing = context.directory.lock().keep_only(now, known);
    for id in missing {
        forget_if_gone(context, &id);
    }
    Ok(from)
}

async fn read_on(context: &EntryContext, from: LogOffset) -> Result<Option<LogOffset>, CallError> {
    let answer = context
        .store
        .read(PART, from, TimeSpan::ZERO, READ_TIMEOUT)
        .await?;
    note_return(context);
    match answer {
        ReadAnswer::Forgotten { .. } => Ok(None),
        ReadAnswer::Records { records, end } => {
            let next = records.last().map_or(from, |record| record.offset.next());
            for record in &records {
                let Some((key, value)) = record.keyed() else {
                    continue;
                };
                let Some(id) = endpoint_id(key) else { continue };
                match value {
                    Some(value) => register(context, &id, value),
                    None => unregister(context, &id),
                }
            }
            // An answer that was full leaves the rest for the next read.
            Ok(Some(if records.is_empty() { end } else { next }))
        }
    }
}

fn note_return(context: &EntryContext) {
    let now = context.now();
    context.directory.lock().note_return(now);
}

fn endpoint_id(key: &[u8]) -> Option<EndpointId> {
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

/// Takes a registration as it lies in the store.
pub fn register(context: &EntryContext, id: &EndpointId, value: &[u8]) {
    let registration = match registrations::decode(id.clone(), value) {
        Ok(registration) => registration,
        Err(error) => {
            LogLine::new("registration_rejected")
                .with("endpoint", id)
                .with("error", error)
                .warn();
            return;
        }
    };
    let change = context.directory.lock().register(registration.clone());
    match change {
        DirectoryChange::Same => return,
        DirectoryChange::Started => context.pools.forget(id),
        _ => {}
    }
    tell(context, id, Some(value));
    if registration.stage.is_some() || is_engine(context, &registration) {
        let now = context.now();
        context.engines.lock().set_engine(now, &registration);
    }
    LogLine::new("endpoint")
        .with("endpoint", id)
        .with("change", format!("{change:?}"))
        .with("service", &registration.service)
        .with("failure_domain", &registration.domain)
        .with("address", registration.address)
        .with("start", registration.start)
        .with("stage", format!("{:?}", registration.stage))
        .with("preemptible", registration.is_preemptible)
        .with("leaving", registration.is_leaving)
        .info();
}

/// Lets the other instances of the failure domain know, if this one reads for it.
fn tell(context: &EntryContext, id: &EndpointId, value: Option<&[u8]>) {
    let now = context.now();
    let kept_for = context.directory.lock().kept_for(now, id);
    let change = ChangeMessage {
        endpoint: id.to_string(),
        value: value.map(<[u8]>::to_vec),
        kept_for_ms: kept_for.map(|kept_for| kept_for.as_millis()),
    };
    context.peers.lock().note_change(now, change);
    context.wake.notify_waiters();
}

fn is_engine(context: &EntryContext, registration: &EndpointRegistration) -> bool {
    let belief = context.belief.lock();
    let service = belief
        .table()
        .and_then(|table| table.service(&registration.service));
    service.is_some_and(|service| service.engine.is_some())
}

/// The registration is gone from the store.
pub fn unregister(context: &EntryContext, id: &EndpointId) {
    let now = context.now();
    let change = context.directory.lock().unregister(now, id);
    if change == DirectoryChange::Same {
        return;
    }
    tell(context, id, None);
    note_gone(context, id, change, "store");
    forget_if_gone(context, id);
}

/// The reader of the failure domain says that the registration has lapsed.
pub fn lapse(context: &EntryContext, id: &EndpointId, kept_for: TimeSpan, teller: &InstanceId) {
    let now = context.now();
    let change = context.directory.lock().lapse(now, id, kept_for);
    if change == DirectoryChange::Same {
        return;
    }
    note_gone(context, id, change, teller.as_str());
    forget_if_gone(context, id);
}

/// Tells what was made of a registration that went, and on whose word.
fn note_gone(context: &EntryContext, id: &EndpointId, change: DirectoryChange, source: &str) {
    let outcome = format!("{change:?}");
    let counter = &context.metrics.registrations_gone;
    counter.with_label_values(&[outcome.as_str()]).inc();
    let kept_for = context.directory.lock().kept_for(context.now(), id);
    let mut line = LogLine::new("endpoint")
        .with("endpoint", id)
        .with("change", outcome)
        .with("source", source);
    if let Some(kept_for) = kept_for {
        line = line.with("kept_for", kept_for);
    }
    line.info();
}

fn forget_if_gone(context: &EntryContext, id: &EndpointId) {
    if context.directory.lock().get(id).is_some() {
        return;
    }
    context.engines.lock().remove_engine(id);
    context.replicas.lock().remove(id);
    context.pools.forget(id);
}

fn drop_lapsed(context: &EntryContext) {
    let now = context.now();
    let lapsed = context.directory.lock().advance(now);
    for id in lapsed {
        LogLine::new("endpoint")
            .with("endpoint", &id)
            .with("change", "lapsed_and_not_back")
            .info();
        forget_if_gone(context, &id);
    }
}
