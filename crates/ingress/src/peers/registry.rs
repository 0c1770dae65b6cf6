//! Registering this instance in the store, and reading the registrations of the others.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bluebell_adapter::{
    CallError,
    store::{NewestPage, TopicPart, keyed_record},
};
use bluebell_core::{
    clock::TimeSpan,
    ids::{FailureDomain, InstanceId},
    relay::{DIRECT_READERS, ProcessStamp},
};
use bluebell_daemon::logs::LogLine;
use prost::Message;
use rand::Rng;

use crate::{
    context::EntryContext,
    peers::{messages::PeerRecord, table::KnownPeer},
    state_transfer::{self, ListedPeer, PeerList, StateKind, StateRequest},
    sync::{READ_TIMEOUT, StoreBackoff},
};

/// The topic of the registrations. A partition carries out its appends one after the other,
/// so each failure domain has its own, as far as there are enough.
const TOPIC: &str = "keyed.peers";

/// The port for requests of other instances, counted from the one for datagrams.
const PROXY_PORT_OFFSET: u16 = 1;

/// The shortest and the longest time in ms after its own registration at which an instance of
/// a system that starts for the first time reads those of the others. They start at about
/// the same moment, and each reads a page of them.
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
        match state_transfer::fetch(context, StateRequest::new(StateKind::Peers)).await {
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
    let key = context.writer.instance.as_str();
    let records = [keyed_record(key, &local_record(context).encode_to_vec())];
    let part = context.domain_part(TOPIC);
    let appended = context.store.append(part, None, &records, READ_TIMEOUT);
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

/// The address at which an instance that receives datagrams at `address` accepts requests of
/// other instances.
pub fn proxy_address(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip(), address.port() + PROXY_PORT_OFFSET)
}

/// Reads the first page of the partition with the instances of this failure domain.
async fn read_own_domain(context: &EntryContext, timeout: TimeSpan) -> Result<(), CallError> {
    let page = context
        .store
        .newest(context.domain_part(TOPIC), None, timeout);
    add_page(context, &page.await?);
    Ok(())
}

async fn read_all(context: &EntryContext, timeout: TimeSpan) -> Result<(), CallError> {
    for part in context.domain_parts(TOPIC) {
        read_part(context, part, timeout).await?;
    }
    Ok(())
}

async fn read_part(
    context: &EntryContext,
    part: TopicPart,
    timeout: TimeSpan,
) -> Result<(), CallError> {
    let mut after: Option<String> = None;
    loop {
        let page = context.store.newest(part, after.as_deref(), timeout).await;
        let page = match page {
            // A topic without any record does not exist yet.
            Err(CallError::Status { status: 404, .. }) => return Ok(()),
            page => page?,
        };
        add_page(context, &page);
        after = page.last_key;
        if !page.has_more || after.is_none() {
            return Ok(());
        }
    }
}

fn add_page(context: &EntryContext, page: &NewestPage) {
    for item in &page.items {
        match PeerRecord::decode(&item.value[..]) {
            Ok(record) => add_peer(context, &item.key, &record),
            Err(error) => LogLine::new("peer_rejected")
                .with("key", &item.key)
                .with("error", error)
                .warn(),
        }
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
            stamp: ProcessStamp::default(),
        };
        context.peers.lock().register(&instance, peer);
    }
}
