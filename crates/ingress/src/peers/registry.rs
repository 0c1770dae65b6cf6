//! Registering in the store, and following who else does.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bluebell_adapter::{
    CallError,
    store::{ReadAnswer, TopicPart, keyed_record},
};
use bluebell_core::{
    clock::TimeSpan,
    ids::{InstanceId, LogOffset},
};
use bluebell_daemon::logs::LogLine;
use prost::Message;

use crate::{
    believe::{READ_TIMEOUT, StorePath},
    context::EntryContext,
    peers::messages::PeerRecord,
};

const PART: TopicPart = TopicPart::first("keyed.peers");

/// How long the others get to register before they are read: all instances start
/// within some tenths of a second.
const SETTLE: Duration = Duration::from_millis(1_200);

/// How long the store may hold a read back until somebody registers.
const READ_WAIT: TimeSpan = TimeSpan::from_secs(20);

/// Registers this instance, then follows the others for good.
pub async fn register_and_follow(context: Arc<EntryContext>) {
    let mut path = StorePath::new("peers");
    while let Err(error) = register(&context).await {
        path.failed(&context, &error).await;
    }
    path.answered(&context);
    tokio::time::sleep(SETTLE).await;
    let mut next = None;
    loop {
        let step = match next {
            None => read_newest(&context).await,
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

async fn register(context: &EntryContext) -> Result<(), CallError> {
    let record = PeerRecord {
        address: own_address(context).to_string(),
        start: context.writer.start,
    };
    let key = context.writer.instance.as_str();
    let records = [keyed_record(key, &record.encode_to_vec())];
    let appended = context.store.append(PART, None, &records, READ_TIMEOUT);
    appended.await.map(drop)
}

/// Where this instance listens for datagrams.
pub fn own_address(context: &EntryContext) -> SocketAddr {
    let settings = &context.settings;
    SocketAddr::new(settings.callers_address.ip(), settings.peer_port)
}

async fn read_newest(context: &EntryContext) -> Result<Option<LogOffset>, CallError> {
    let mut after: Option<String> = None;
    let mut from = None;
    loop {
        let page = context
            .store
            .newest(PART, after.as_deref(), READ_TIMEOUT)
            .await?;
        from.get_or_insert(page.end);
        for item in &page.items {
            take(context, &item.key, &item.value);
        }
        after = page.items.last().map(|item| item.key.clone());
        if !page.has_more || after.is_none() {
            return Ok(from);
        }
    }
}

async fn read_on(context: &EntryContext, from: LogOffset) -> Result<Option<LogOffset>, CallError> {
    let timeout = READ_WAIT + READ_TIMEOUT;
    match context.store.read(PART, from, READ_WAIT, timeout).await? {
        ReadAnswer::Forgotten { .. } => Ok(None),
        ReadAnswer::Records { records, end } => {
            for record in &records {
                if let Some((key, Some(value))) = record.keyed() {
                    take(context, &String::from_utf8_lossy(key), value);
                }
            }
            let next = records.last().map_or(end, |record| record.offset.next());
            Ok(Some(next))
        }
    }
}

fn take(context: &EntryContext, key: &str, value: &[u8]) {
    let instance = InstanceId::new(key);
    let record = PeerRecord::decode(value);
    let (Ok(instance), Ok(record)) = (instance, record) else {
        LogLine::new("peer_rejected").with("key", key).warn();
        return;
    };
    let Ok(address) = record.address.parse() else {
        LogLine::new("peer_rejected").with("key", key).warn();
        return;
    };
    if instance != context.writer.instance {
        context
            .peers
            .lock()
            .register(instance, address, record.start);
    }
}
