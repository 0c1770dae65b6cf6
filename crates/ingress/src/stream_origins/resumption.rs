//! Finds where a stream began that is to be continued.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    time::Duration,
};

use bluebell_core::{
    clock::{ClockSource, ClockTime},
    directory::EndpointDirectory,
    ids::ServiceName,
    placement::EndpointTarget,
    streams::{
        OriginHash, RecordPeer, RecordScope, RecordedOrigin, StreamHash, StreamRecord,
        UnknownOrigin, resolve_origin,
    },
};
use rand::seq::IndexedRandom;

use crate::{shared::Shared, stream_origins::StreamOrigins};

/// How long a request that takes up a stream waits for the records in the log, if this process has
/// just started.
const LOG_READ_WAIT: Duration = Duration::from_millis(500);

/// The number of instances that are asked for proofs.
const PROVING_PEERS: usize = 3;

/// A request that takes up a stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamRequest<'a> {
    /// The stream; `None` if the caller does not name it.
    pub stream: Option<StreamHash>,
    /// The host of the request.
    pub host: &'a str,
    /// The path of the request.
    pub path: &'a str,
    /// The service that the routes in force lead to.
    pub service: &'a ServiceName,
}

/// How it is known where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginSource {
    /// It began here, or was recorded here.
    Local,
    /// Another instance has a record.
    Record,
    /// Only one version is possible.
    Versions,
}

impl OriginSource {
    /// The label in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            OriginSource::Local => "local",
            OriginSource::Record => "record",
            OriginSource::Versions => "versions",
        }
    }
}

/// A stream that a caller takes up.
#[derive(Clone, Debug)]
pub struct ResumedStream {
    /// Where it began, and goes on.
    pub origin: OriginHash,
    /// The service of the origin.
    pub service: ServiceName,
    /// How the origin is known.
    pub source: OriginSource,
}

/// Where a stream began at `target`; `None` if the endpoint may have been replaced by one of
/// another version under the same id.
pub fn begun_origin(directory: &EndpointDirectory, target: &EndpointTarget) -> Option<OriginHash> {
    let current = directory.get(&target.id);
    let is_replaced =
        current.is_some_and(|known| known.start != target.start && known.origin() != target.origin);
    (!is_replaced).then_some(target.origin)
}

/// Identifies the services whose streams are recorded, and the instances that record them.
fn fingerprint(services: &[ServiceName], peers: &[RecordPeer<SocketAddr>]) -> u64 {
    let mut hasher = DefaultHasher::new();
    services.hash(&mut hasher);
    for peer in peers {
        (&peer.instance, peer.start).hash(&mut hasher);
    }
    hasher.finish()
}

impl StreamOrigins {
    /// Records that `record` began here, and records it with other instances unless only one
    /// origin is possible. `peers` are the other instances; this one is `local`.
    pub fn begin<Peers>(
        &self,
        now: ClockTime,
        directory: &Shared<EndpointDirectory>,
        record: StreamRecord,
        service: &ServiceName,
        local: &RecordPeer<SocketAddr>,
        peers: Peers,
    ) where
        Peers: FnOnce() -> Vec<RecordPeer<SocketAddr>>,
    {
        self.table.lock().note_begun(now, record, service);
        let (sole, stream_age) = {
            let directory = directory.lock();
            let versions = directory.versions();
            (versions.sole_origin(now, service), versions.stream_age())
        };
        if sole.is_none() || self.routes.lock().has_moved(now, stream_age) {
            self.record(RecordScope::Stream(record.stream), local, &peers());
        }
    }

    /// Records the streams that began here with other instances where that has become
    /// necessary: a second version is possible now, routes or instances have changed.
    pub fn record_due<Peers>(
        &self,
        now: ClockTime,
        directory: &Shared<EndpointDirectory>,
        local: &RecordPeer<SocketAddr>,
        peers: Peers,
    ) where
        Peers: FnOnce() -> Vec<RecordPeer<SocketAddr>>,
    {
        let mut services = self.table.lock().begun_services();
        let directory = directory.lock();
        let versions = directory.versions();
        let has_moved = self.routes.lock().has_moved(now, versions.stream_age());
        services.retain(|service| has_moved || versions.sole_origin(now, service).is_none());
        drop(directory);
        if services.is_empty() {
            *self.recorded_for.lock() = None;
            return;
        }
        let peers = peers();
        let recorded_for = Some(fingerprint(&services, &peers));
        let earlier = std::mem::replace(&mut *self.recorded_for.lock(), recorded_for);
        if earlier != recorded_for {
            self.record(RecordScope::Services(&services), local, &peers);
        }
    }

    /// Finds where a stream began that a caller takes up.
    pub async fn resolve(
        &self,
        clock: &ClockSource,
        directory: &Shared<EndpointDirectory>,
        request: StreamRequest<'_>,
        peers: &[RecordPeer<SocketAddr>],
    ) -> Result<ResumedStream, UnknownOrigin> {
        let (known, source) = match request.stream {
            Some(stream) => self.find(clock, directory, stream, peers).await,
            None => {
                self.prove(clock, directory, peers).await;
                (None, OriginSource::Versions)
            }
        };
        let now = clock.now();
        let mut directory = directory.lock();
        let versions = directory.versions_mut();
        versions.sweep(now);
        let has_moved = {
            let routes = self.routes.lock();
            routes.may_have_moved(now, request.host, request.path, versions.stream_age())
        };
        if known.is_none() && has_moved {
            return Err(UnknownOrigin::NotRecorded);
        }
        let (origin, service) = resolve_origin(now, known, versions, request.service)?;
        Ok(ResumedStream {
            origin,
            service,
            source,
        })
    }

    /// Looks the stream up here and at the instances that may have recorded it. Their proofs
    /// are applied to what is known of the versions.
    async fn find(
        &self,
        clock: &ClockSource,
        directory: &Shared<EndpointDirectory>,
        stream: StreamHash,
        peers: &[RecordPeer<SocketAddr>],
    ) -> (Option<RecordedOrigin>, OriginSource) {
        if let Some(known) = self.known_origin(stream).await {
            return (Some(known), OriginSource::Local);
        }
        let result = self.query(stream, peers).await;
        let mut directory = directory.lock();
        directory
            .versions_mut()
            .note_vouched(clock.now(), &result.proved);
        match result.origin {
            Some(known) => (Some(known), OriginSource::Record),
            None => (None, OriginSource::Versions),
        }
    }

    /// Where `stream` began, as far as it is known here. A process that has just started waits for
    /// the records in the log.
    async fn known_origin(&self, stream: StreamHash) -> Option<RecordedOrigin> {
        let known = self.origin(stream);
        if known.is_some() || self.log_read.is_cancelled() {
            return known;
        }
        let read = self.log_read.cancelled();
        // After a timeout the other instances are asked.
        let _ = tokio::time::timeout(LOG_READ_WAIT, read).await;
        self.origin(stream)
    }

    /// Has some of `peers` prove which services had a single version before this instance knew
    /// them, unless that is known.
    pub async fn prove(
        &self,
        clock: &ClockSource,
        directory: &Shared<EndpointDirectory>,
        peers: &[RecordPeer<SocketAddr>],
    ) {
        if !directory.lock().versions().needs_proof(clock.now()) {
            return;
        }
        let asked = peers.choose_multiple(&mut rand::rng(), PROVING_PEERS);
        let asked: Vec<SocketAddr> = asked.map(|peer| peer.address).collect();
        let result = self.query_proofs(&asked).await;
        let mut directory = directory.lock();
        directory
            .versions_mut()
            .note_vouched(clock.now(), &result.proved);
    }
}
