//! Registering this instance in the store, and reading the registrations of the others.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bluebell_adapter::{
    CallError,
    store::{TopicPart, keyed_record},
};
use bluebell_core::{
    clock::TimeSpan,
    ids::{FailureDomain, InstanceId},
    relay::DIRECT_READERS,
};
use bluebell_daemon::logs::LogLine;
use prost::Message;
use rand::Rng;

use crate::{
    context::EntryContext,
    peers::{messages::PeerRecord, table::KnownPeer},
    state_transfer::{self, ListedPeer, PeerList, StateKind},
    sync::{READ_TIMEOUT, StoreBackoff},
};

const PART: TopicPart = TopicPart::first("keyed.peers");

/// Separates the failure domain from the instance in a key.
const KEY_SEPARATOR: char = '~';

/// The value of a key that marks the start of a failure domain's instances: a page can only
/// start after a key that exists.
const FIRST_KEY_VALUE: &[u8] = b"-";

/// The shortest and the longest time in ms after its own registration at which an instance of
/// a system that starts for the first time reads those of the others. They start at about
/// the same moment, and all read a page, which takes the store a second for 1,000 of them.
const FIRST_START_DELAY_MS: (u64, u64) = (200, 1_400);

/// How long an instance tries to copy the registrations before it reads them all.
const COPY_PERIOD: TimeSpan = TimeSpan::from_secs(8);

/// The pause after a failed attempt to copy them.
const COPY_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Registers this instance and learns the registrations of the others. Instances that start
/// later read this registration and send messages to this instance.
///
/// Each instance reads the first registrations of its failure domain, and only the first
/// instances there read all of them. The others copy these, as the calls would otherwise
/// grow with the square of the number of instances.
pub async fn register_and_read(context: Arc<EntryContext>) {
    let mut backoff = StoreBackoff::new("peers");
    while let Err(error) = register(&context).await {
        backoff.wait_after_failure(&context, &error).await;
    }
    backoff.note_answer(&context);
    if context.settings.is_first_start {
        let (shortest, longest) = FIRST_START_DELAY_MS;
        let delay_ms = rand::rng().random_range(shortest..longest);
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
    while let Err(error) = read_own_domain(&context, backoff.read_timeout()).await {
        backoff.wait_after_failure(&context, &error).await;
    }
    backoff.note_answer(&context);
    context.peers.lock().note_bootstrap();
    log_neighbours(&context);
    if !copy_all(&context).await {
        while let Err(error) = read_all(&context, backoff.read_timeout()).await {
            backoff.wait_after_failure(&context, &error).await;
        }
        backoff.note_answer(&context);
    }
    let now = context.now();
    context.peers.lock().note_read(now);
}

/// Logs how many instances of the failure domain are known, and the rank among them.
fn log_neighbours(context: &EntryContext) {
    let (local, domain) = (&context.writer.instance, &context.settings.domain);
    let peers = context.peers.lock();
    let rank = peers.rank(context.now(), local, domain);
    LogLine::new("neighbours")
        .with("known", peers.len())
        .with("rank", rank.unwrap_or_default())
        .info();
}

/// Copies the registrations from another instance; returns false if this instance has to
/// read them.
async fn copy_all(context: &EntryContext) -> bool {
    let (local, domain) = (&context.writer.instance, &context.settings.domain);
    let started = context.now();
    let rank = context.peers.lock().rank(started, local, domain);
    if rank.is_none_or(|rank| rank < DIRECT_READERS) {
        return false;
    }
    while context.now().since(started) < COPY_PERIOD {
        match state_transfer::fetch(context, StateKind::Peers, 0).await {
            Ok(copy) => match PeerList::decode(&copy.content[..]) {
                Ok(list) => {
                    list.peers.iter().for_each(|peer| add_copied(context, peer));
                    return true;
                }
                Err(error) => LogLine::new("peers_not_copied").with("error", error).warn(),
            },
            Err(error) => LogLine::new("peers_not_copied").with("error", error).info(),
        }
        tokio::time::sleep(COPY_RETRY_DELAY).await;
    }
    false
}

async fn register(context: &EntryContext) -> Result<(), CallError> {
    let record = local_record(context);
    let key = first_key(&context.settings.domain) + context.writer.instance.as_str();
    let records = [
        keyed_record(&first_key(&context.settings.domain), FIRST_KEY_VALUE),
        keyed_record(&key, &record.encode_to_vec()),
    ];
    let appended = context.store.append(PART, None, &records, READ_TIMEOUT);
    appended.await.map(drop)
}

/// The registration of this instance.
pub fn local_record(context: &EntryContext) -> PeerRecord {
    PeerRecord {
        address: local_address(context).to_string(),
        start: context.writer.start,
        domain: context.settings.domain.to_string(),
    }
}

/// The socket address at which this instance receives datagrams.
pub fn local_address(context: &EntryContext) -> SocketAddr {
    let settings = &context.settings;
    SocketAddr::new(settings.frontend_address.ip(), settings.peer_port)
}

/// Reads the first page of the registrations of this failure domain.
async fn read_own_domain(context: &EntryContext, timeout: TimeSpan) -> Result<(), CallError> {
    let first_key = first_key(&context.settings.domain);
    let page = context.store.newest(PART, Some(&first_key), timeout);
    let page = page.await?;
    let own = page.items.iter();
    for item in own.filter(|item| item.key.starts_with(&first_key)) {
        add_stored(context, &item.key, &item.value);
    }
    Ok(())
}

async fn read_all(context: &EntryContext, timeout: TimeSpan) -> Result<(), CallError> {
    let mut after: Option<String> = None;
    loop {
        let page = context
            .store
            .newest(PART, after.as_deref(), timeout)
            .await?;
        for item in &page.items {
            add_stored(context, &item.key, &item.value);
        }
        after = page.items.last().map(|item| item.key.clone());
        if !page.has_more || after.is_none() {
            return Ok(());
        }
    }
}

/// The key before those of the instances in `domain`, which start with it. Pages are in the
/// order of the keys, so the instances of a failure domain are next to each other.
fn first_key(domain: &FailureDomain) -> String {
    format!("{domain}{KEY_SEPARATOR}")
}

fn add_stored(context: &EntryContext, key: &str, value: &[u8]) {
    let instance = key.rsplit(KEY_SEPARATOR).next().unwrap_or(key);
    if instance.is_empty() {
        return;
    }
    match PeerRecord::decode(value) {
        Ok(record) => add_peer(context, instance, &record),
        Err(error) => LogLine::new("peer_rejected")
            .with("key", key)
            .with("error", error)
            .warn(),
    }
}

fn add_copied(context: &EntryContext, peer: &ListedPeer) {
    add_peer(context, &peer.instance, &peer.record);
}

fn add_peer(context: &EntryContext, instance: &str, record: &PeerRecord) {
    let address = record.address.parse();
    let domain = FailureDomain::new(record.domain.as_str());
    let parsed = InstanceId::new(instance).ok().zip(domain.ok());
    let (Some((instance, domain)), Ok(address)) = (parsed, address) else {
        LogLine::new("peer_rejected")
            .with("instance", instance)
            .warn();
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
