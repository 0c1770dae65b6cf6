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
    ingress::AcceptedVersion,
    units::ByteSize,
};
use bluebell_daemon::logs::LogLine;
use bytes::Bytes;

use crate::{
    believe::{StorePath, copies, wait_while_told},
    context::EntryContext,
};

const PART: TopicPart = TopicPart::first(TOPIC);

/// How long the store may hold a read back until there is a record. Knowledge
/// counts from when a read was sent, and those who are told read for themselves
/// when it is about 1.3 s old, so it has to be renewed well within that.
const READ_WAIT: TimeSpan = TimeSpan::from_millis(600);

/// How much longer than the wait the answer may take to begin.
const READ_SLACK: TimeSpan = TimeSpan::from_millis(700);

/// Keeps the configuration in force up to date, for good.
pub async fn follow(context: Arc<EntryContext>) {
    let mut path = StorePath::new("configuration");
    let mut next = None;
    let mut is_told = false;
    loop {
        if next.is_some() && !context.must_read_keys() {
            is_told = true;
            wait_while_told(&context).await;
            continue;
        }
        if is_told && copies::take(&context).await {
            continue;
        }
        if mem::take(&mut is_told) {
            next = advertised_end(&context);
        }
        let step = match next {
            None => read_newest(&context, path.patience()).await,
            Some(from) => read_on(&context, from).await,
        };
        match step {
            Ok(from) => {
                path.answered(&context);
                next = from;
            }
            Err(error) => path.failed(&context, &error).await,
        }
    }
}

/// Reads the newest configuration; answers where to read on.
async fn read_newest(
    context: &Arc<EntryContext>,
    patience: TimeSpan,
) -> Result<Option<LogOffset>, CallError> {
    let sent = context.now();
    let page = context.store.newest(PART, None, patience).await?;
    for item in page.items.iter().filter(|item| item.key == KEY) {
        take(context, &item.value);
    }
    confirm(context, sent, page.end);
    Ok(Some(page.end))
}

/// Reads records from `from` on; answers where to go on, or nothing if they are
/// gone and the newest has to be read instead.
async fn read_on(
    context: &Arc<EntryContext>,
    from: LogOffset,
) -> Result<Option<LogOffset>, CallError> {
    let sent = context.now();
    let timeout = READ_WAIT + READ_SLACK;
    match context.store.read(PART, from, READ_WAIT, timeout).await? {
        ReadAnswer::Forgotten { first } => {
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
                    Some((key, Some(value))) if key == KEY.as_bytes() => take(context, value),
                    _ => {}
                }
            }
            if next < end {
                // The answer was full; what follows is not known yet.
                return Ok(Some(next));
            }
            let next = next.max(end);
            confirm(context, sent, next);
            Ok(Some(next))
        }
    }
}

/// Everything before `end` was known as the read came back that was sent at `sent`.
fn confirm(context: &EntryContext, sent: ClockTime, end: LogOffset) {
    context.relayed.lock().configuration_next = end;
    let mut belief = context.configuration.lock();
    if belief.table().is_some() {
        belief.confirm(sent);
    }
}

/// The offset to follow from when the reader's adverts end. A large configuration that
/// is in force here need not be fetched again.
fn advertised_end(context: &EntryContext) -> Option<LogOffset> {
    let version = context.configuration.lock().version();
    let advertised = context.relayed.lock().configuration;
    advertised.resume_offset(version)
}

/// Takes the freshness of the advertised version for the one in force, if they are the
/// same.
pub fn confirm_advertised(context: &EntryContext) {
    let advertised = context.relayed.lock().configuration;
    let mut belief = context.configuration.lock();
    if belief.version() == Some(advertised.version()) {
        belief.confirm(advertised.known_at());
    }
}

/// Takes a configuration as it lies in the store.
pub fn take(context: &Arc<EntryContext>, value: &[u8]) {
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
    // The first version after a start is one that the others have already.
    let previous = context.configuration.lock().version();
    let is_newer = previous.is_some_and(|previous| previous < version);
    let is_copied = is_newer && copies::is_due(context, size);
    if is_copied {
        copies::announce(context, version);
    }
    let accepted = context.configuration.lock().offer(configuration);
    match accepted {
        AcceptedVersion::Newer => {
            context.wake.notify_waiters();
            if is_copied {
                let value = Bytes::copy_from_slice(value);
                tokio::spawn(copies::publish(Arc::clone(context), version, value));
            }
            context.metrics.configuration_version.set(version as i64);
            LogLine::new("configuration")
                .with("version", version)
                .with("routes", routes)
                .with("services", services)
                .with("size", size)
                .with("outcome", "in_force")
                .info();
        }
        AcceptedVersion::Same => {}
        AcceptedVersion::Older => LogLine::new("configuration")
            .with("version", version)
            .with("outcome", "older_than_in_force")
            .info(),
    }
}
