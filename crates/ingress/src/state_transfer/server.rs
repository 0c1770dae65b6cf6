//! Hands copies of the state on to other instances.

use std::{io, sync::Arc, time::Duration};

use bluebell_core::relay::relay_age_limit;
use bluebell_daemon::logs::LogLine;
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};
use tokio_util::{
    codec::{Framed, LengthDelimitedCodec},
    sync::CancellationToken,
};

use crate::{
    compression::compress,
    context::EntryContext,
    peers::{local_address, local_record},
    state_transfer::{
        ListedPeer, StateKind,
        messages::{StateReply, StateRequest},
    },
};

/// The maximum size of a reply in bytes.
pub const MAX_REPLY_BYTES: usize = 32_000_000;

/// How long an instance that does not have the state yet waits for it before it says so. The
/// other one fetches no newer configuration while it waits.
pub const MAX_WAIT: Duration = Duration::from_millis(250);

/// How often it checks for the state meanwhile.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The time within which a request must arrive on a new connection, and a reply be read.
const IO_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The maximum size of a request in bytes.
const MAX_REQUEST_BYTES: usize = 1_024;

/// The number of copies that are handed on at the same time: those for the instances whose
/// first source this one is, and some for those whose source has failed.
const MAX_TRANSFERS: usize = 16;

/// The pause after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Compressed state, with what identifies its content.
#[derive(Clone, Debug, Default)]
pub struct PackedState {
    /// The version of the configuration, or the digest of the endpoints.
    pub version: u64,
    /// The content, compressed.
    pub packed: Bytes,
}

/// The state as it was last compressed; all copies of the same content share it.
#[derive(Clone, Debug, Default)]
pub struct StateCache {
    /// The configuration in force.
    pub configuration: PackedState,
    /// The endpoints.
    pub endpoints: PackedState,
}

/// The framing of requests and replies up to `max_bytes`.
pub fn frames(max_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(max_bytes)
        .new_codec()
}

/// Listens at the address for datagrams and spawns the task that hands copies on; it ends
/// with `stop`.
pub async fn start(context: &Arc<EntryContext>, stop: &CancellationToken) -> io::Result<()> {
    let listener = TcpListener::bind(local_address(context)).await?;
    let serving = serve(Arc::clone(context), listener);
    let stop = stop.clone();
    tokio::spawn(async move { stop.run_until_cancelled(serving).await });
    Ok(())
}

async fn serve(context: Arc<EntryContext>, listener: TcpListener) {
    let transfers = Arc::new(Semaphore::new(MAX_TRANSFERS));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                LogLine::new("accept_failed").with("error", error).warn();
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        // The connection is closed at once if there are too many, and the other instance
        // tries its next source.
        let Ok(permit) = Arc::clone(&transfers).try_acquire_owned() else {
            continue;
        };
        let context = Arc::clone(&context);
        tokio::spawn(async move {
            let transfer = answer(&context, stream);
            let transferred = tokio::time::timeout(IO_TIMEOUT, transfer).await;
            if let Ok(Err(error)) = transferred {
                log::debug!("event=state_not_transferred error={error:?}");
            }
            drop(permit);
        });
    }
}

async fn answer(context: &EntryContext, stream: TcpStream) -> io::Result<()> {
    let mut framed = Framed::new(stream, frames(MAX_REQUEST_BYTES));
    let Some(request) = framed.next().await else {
        return Ok(());
    };
    let request = StateRequest::decode(request?)?;
    let reply = available_reply(context, request);
    let reply = tokio::time::timeout(MAX_WAIT, reply).await;
    let reply = reply.unwrap_or(Ok(StateReply::default()))?;
    framed.codec_mut().set_max_frame_length(MAX_REPLY_BYTES);
    framed.send(Bytes::from(reply.encode_to_vec())).await
}

async fn available_reply(context: &EntryContext, request: StateRequest) -> io::Result<StateReply> {
    loop {
        if let Some(reply) = current_reply(context, request)? {
            return Ok(reply);
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// The reply with the state here; `None` while there is none that is current.
fn current_reply(context: &EntryContext, request: StateRequest) -> io::Result<Option<StateReply>> {
    match request.kind() {
        StateKind::Configuration => Ok(configuration(context, request.min_version)),
        StateKind::Endpoints => endpoints(context, request),
        StateKind::Peers => peers(context),
    }
}

fn configuration(context: &EntryContext, min_version: u64) -> Option<StateReply> {
    let limit = relay_age_limit(context.settings.bounds.configuration_rollout);
    let (version, age) = {
        let tracker = context.configuration.lock();
        (tracker.version()?, tracker.age(context.now())?)
    };
    let cached = context.state_cache.lock().configuration.clone();
    let is_current = age < limit && version >= min_version && cached.version == version;
    is_current.then(|| StateReply {
        is_available: true,
        age_ms: age.as_millis(),
        version,
        next: context.relayed.lock().configuration_next.number(),
        packed: cached.packed,
        ..StateReply::default()
    })
}

/// The endpoints, if they are current and not older than those of the other instance.
fn endpoints(context: &EntryContext, request: StateRequest) -> io::Result<Option<StateReply>> {
    let limit = relay_age_limit(context.settings.bounds.endpoint_drain);
    let age = context.relayed.lock().endpoints.age(context.now());
    let Some(age) = age.filter(|age| *age < limit) else {
        return Ok(None);
    };
    let digest = context.directory.lock().digest();
    let is_younger = request.max_age_ms == 0 || age.as_millis() < request.max_age_ms;
    if !is_younger && digest != request.digest {
        return Ok(None);
    }
    let (digest, packed) = packed_endpoints(context)?;
    Ok(Some(StateReply {
        is_available: true,
        age_ms: age.as_millis(),
        digest,
        packed,
        ..StateReply::default()
    }))
}

/// The compressed endpoints, with their digest.
fn packed_endpoints(context: &EntryContext) -> io::Result<(u64, Bytes)> {
    let mut directory = context.directory.lock();
    let digest = directory.digest();
    let mut cache = context.state_cache.lock();
    if cache.endpoints.version != digest || cache.endpoints.packed.is_empty() {
        let registered: Vec<_> = directory.registered().collect();
        let content = serde_json::to_vec(&registered)?;
        cache.endpoints = PackedState {
            version: digest,
            packed: compress(&content)?.into(),
        };
    }
    Ok((digest, cache.endpoints.packed.clone()))
}

fn peers(context: &EntryContext) -> io::Result<Option<StateReply>> {
    let mut list = {
        let peers = context.peers.lock();
        if !peers.is_read() {
            return Ok(None);
        }
        peers.to_list()
    };
    list.peers.push(ListedPeer {
        instance: context.writer.instance.to_string(),
        record: local_record(context),
    });
    Ok(Some(StateReply {
        is_available: true,
        packed: compress(&list.encode_to_vec())?.into(),
        ..StateReply::default()
    }))
}
