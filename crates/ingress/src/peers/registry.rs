//! Registering this instance in the store, and reading the registrations of the others.

use std::{net::SocketAddr, sync::Arc};

use bluebell_adapter::{
    CallError,
    store::{TopicPart, keyed_record},
};
use bluebell_core::{
    clock::TimeSpan,
    ids::{FailureDomain, InstanceId},
};
use bluebell_daemon::logs::LogLine;
use prost::Message;

use crate::{
    context::EntryContext,
    peers::{messages::PeerRecord, table::KnownPeer},
    sync::{READ_TIMEOUT, StoreBackoff},
};

const PART: TopicPart = TopicPart::first("keyed.peers");

/// Registers this instance and reads the registrations of the others. Instances that start
/// later read this registration and send messages to this instance.
pub async fn register_and_read(context: Arc<EntryContext>) {
    let mut backoff = StoreBackoff::new("peers");
    while let Err(error) = register(&context).await {
        backoff.wait_after_failure(&context, &error).await;
    }
    backoff.note_answer(&context);
    while let Err(error) = read_newest(&context, backoff.read_timeout()).await {
        backoff.wait_after_failure(&context, &error).await;
    }
    backoff.note_answer(&context);
    let now = context.now();
    context.peers.lock().note_read(now);
}

async fn register(context: &EntryContext) -> Result<(), CallError> {
    let record = PeerRecord {
        address: local_address(context).to_string(),
        start: context.writer.start,
        domain: context.settings.domain.to_string(),
    };
    let key = context.writer.instance.as_str();
    let records = [keyed_record(key, &record.encode_to_vec())];
    let appended = context.store.append(PART, None, &records, READ_TIMEOUT);
    appended.await.map(drop)
}

/// The socket address at which this instance receives datagrams.
pub fn local_address(context: &EntryContext) -> SocketAddr {
    let settings = &context.settings;
    SocketAddr::new(settings.frontend_address.ip(), settings.peer_port)
}

async fn read_newest(context: &EntryContext, timeout: TimeSpan) -> Result<(), CallError> {
    let mut after: Option<String> = None;
    loop {
        let page = context
            .store
            .newest(PART, after.as_deref(), timeout)
            .await?;
        for item in &page.items {
            add_peer(context, &item.key, &item.value);
        }
        after = page.items.last().map(|item| item.key.clone());
        if !page.has_more || after.is_none() {
            return Ok(());
        }
    }
}

fn add_peer(context: &EntryContext, key: &str, value: &[u8]) {
    let instance = InstanceId::new(key);
    let record = PeerRecord::decode(value);
    let (Ok(instance), Ok(record)) = (instance, record) else {
        LogLine::new("peer_rejected").with("key", key).warn();
        return;
    };
    let domain = FailureDomain::new(record.domain.as_str());
    let (Ok(address), Ok(domain)) = (record.address.parse(), domain) else {
        LogLine::new("peer_rejected").with("key", key).warn();
        return;
    };
    if instance != context.writer.instance {
        let peer = KnownPeer {
            address,
            start: record.start,
            domain,
            last_seen: None,
            stamp: 0,
        };
        context.peers.lock().register(&instance, peer);
    }
}
