//! Finds where a stream began that is to be continued.

use std::{
    collections::BTreeSet,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    time::Duration,
};

use bluebell_core::{
    clock::{ClockSource, ClockTime},
    directory::EndpointDirectory,
    ids::{FailureDomain, ServiceName},
    placement::EndpointTarget,
    streams::{
        EndpointProcess, OriginHash, RecordPeer, RecordScope, RecordedOrigin, StreamHash,
        StreamName, StreamRecord, UnknownOrigin, is_unrecorded, queried_peers, resolve_origin,
    },
};
use rand::seq::IndexedRandom;

use crate::{
    shared::Shared,
    stream_origins::{QueryResult, StreamOrigins},
};

/// How long a request that takes up a stream waits for the records in the log, if this process has
/// just started.
const LOG_READ_WAIT: Duration = Duration::from_millis(500);

/// The number of instances that are asked for proofs.
const PROVING_PEERS: usize = 3;

/// A request that takes up a stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamRequest<'a> {
    /// The name of the stream.
    pub name: StreamName,
    /// Whether the route leads to several services, so that `service` may be another one than that at
    /// which the stream began, unless it is named by its attempt.
    pub is_split: bool,
    /// The host of the request.
    pub host: &'a str,
    /// The path of the request.
    pub path: &'a str,
    /// The service that the routes in force lead to.
    pub service: &'a ServiceName,
}

/// The other instances of the fleet, as far as they record streams.
#[derive(Clone, Debug, Default)]
pub struct RecorderFleet {
    /// Those that can be asked.
    pub peers: Vec<RecordPeer<SocketAddr>>,
    /// The failure domains of all that are registered, also if none of them can be asked.
    pub domains: BTreeSet<FailureDomain>,
}

/// What was found out about where a stream began.
#[derive(Clone, Copy, Debug)]
pub struct FoundOrigin {
    recorded: Option<RecordedOrigin>,
    source: OriginSource,
    /// Whether no instance has a record of the stream, as far as one could have it.
    is_unrecorded: bool,
}

impl Default for FoundOrigin {
    /// Nothing was found, and instances may have a record.
    fn default() -> FoundOrigin {
        FoundOrigin {
            recorded: None,
            source: OriginSource::Versions,
            is_unrecorded: false,
        }
    }
}

impl FoundOrigin {
    /// Whether the origin is recorded, or is known not to be. Otherwise it follows from the versions that
    /// are registered only if these are known as of a time after the stream was taken up.
    pub fn is_certain(&self) -> bool {
        self.recorded.is_some() || self.is_unrecorded
    }
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
    /// Records that a stream began here, with one record for each of its names, and records it with
    /// other instances unless only one origin is possible. The stream began at `service`; its route
    /// leads to others as well if it `is_split`. `peers` are the other instances; this one is `local`.
    pub fn begin<Peers>(
        &self,
        now: ClockTime,
        directory: &Shared<EndpointDirectory>,
        records: [StreamRecord; 2],
        (service, is_split): (&ServiceName, bool),
        local: &RecordPeer<SocketAddr>,
        peers: Peers,
    ) where
        Peers: FnOnce() -> Vec<RecordPeer<SocketAddr>>,
    {
        for record in records {
            self.table.lock().note_begun(now, record, service);
        }
        let (sole, stream_age) = {
            let directory = directory.lock();
            let versions = directory.versions();
            (versions.sole_origin(now, service), versions.stream_age())
        };
        if sole.is_none() || is_split || self.routes.lock().has_moved(now, stream_age) {
            let peers = peers();
            for record in records {
                self.record(RecordScope::Stream(record.stream), local, &peers);
            }
        }
    }

    /// Records that the streams of these `records`, which have begun here, may have begun at a later process
    /// than `process`, the registered one.
    pub fn note_unchecked(&self, records: [StreamRecord; 2], process: &EndpointProcess) {
        let mut table = self.table.lock();
        for record in records {
            table.note_unchecked(record.stream, process);
        }
    }

    /// Records that `process` of an endpoint has started at `origin`, and records the streams that may have
    /// begun there with other instances. Returns how many names of streams that concerns.
    pub fn note_started<Peers>(
        &self,
        process: &EndpointProcess,
        origin: OriginHash,
        local: &RecordPeer<SocketAddr>,
        peers: Peers,
    ) -> usize
    where
        Peers: FnOnce() -> Vec<RecordPeer<SocketAddr>>,
    {
        let changed = self.table.lock().note_started(process, origin);
        if !changed.is_empty() {
            self.record(RecordScope::Streams(&changed), local, &peers());
        }
        changed.len()
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

    /// Looks the stream up here and at the instances that may have recorded it. The proofs of these
    /// instances are applied to what is known of the versions.
    pub async fn find(
        &self,
        clock: &ClockSource,
        directory: &Shared<EndpointDirectory>,
        name: StreamName,
        fleet: &RecorderFleet,
    ) -> FoundOrigin {
        let known = self.known_origin(name.hash()).await;
        // A stream of an equal request may have begun elsewhere.
        if let Some(known) = known.filter(|_| name.is_unique()) {
            return FoundOrigin {
                recorded: Some(known),
                source: OriginSource::Local,
                ..FoundOrigin::default()
            };
        }
        let asked = queried_peers(name.hash(), &fleet.peers);
        let has_recorders_answer =
            |answered: &BTreeSet<SocketAddr>| is_unrecorded(&asked, answered, &fleet.domains);
        let addresses: Vec<SocketAddr> = asked.iter().map(|peer| peer.address).collect();
        let is_decided = |result: &QueryResult| {
            let is_certain = name.is_unique() || has_recorders_answer(&result.answered);
            let is_found = result.origin.is_some() && is_certain;
            is_found || result.answered.len() >= addresses.len()
        };
        let stream = Some(name.hash());
        let result = self.ask(clock.now(), stream, &addresses, is_decided).await;
        note_vouched(clock.now(), directory, &result);
        let source = match (known, result.origin) {
            (Some(_), _) => OriginSource::Local,
            (None, Some(_)) => OriginSource::Record,
            (None, None) => OriginSource::Versions,
        };
        FoundOrigin {
            recorded: RecordedOrigin::combine_all([known, result.origin]),
            source,
            is_unrecorded: has_recorders_answer(&result.answered),
        }
    }

    /// Decides where a stream goes on that a caller takes up and of which `found` was found out.
    pub fn resolve(
        &self,
        now: ClockTime,
        directory: &Shared<EndpointDirectory>,
        request: StreamRequest<'_>,
        found: FoundOrigin,
    ) -> Result<ResumedStream, UnknownOrigin> {
        // A record may have arrived since.
        let recorded = [found.recorded, self.origin(request.name.hash())];
        let recorded = RecordedOrigin::combine_all(recorded);
        let mut directory = directory.lock();
        let versions = directory.versions_mut();
        versions.sweep(now);
        let has_moved = {
            let routes = self.routes.lock();
            routes.may_have_moved(now, request.host, request.path, versions.stream_age())
        };
        let is_service_unknown = request.is_split && !request.name.is_unique();
        if recorded.is_none() && (has_moved || is_service_unknown) {
            return Err(UnknownOrigin::NotRecorded);
        }
        let (origin, service) = resolve_origin(now, recorded, versions, request.service)?;
        Ok(ResumedStream {
            origin,
            service,
            source: found.source,
        })
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
        let has_all = |result: &QueryResult| result.answered.len() >= asked.len();
        let result = self.ask(clock.now(), None, &asked, has_all).await;
        note_vouched(clock.now(), directory, &result);
    }
}

/// Applies the proofs of other instances that leave no gap before what is known here.
fn note_vouched(now: ClockTime, directory: &Shared<EndpointDirectory>, result: &QueryResult) {
    let mut directory = directory.lock();
    let versions = directory.versions_mut();
    let proved = result.proved.iter();
    let proved = proved.filter(|(_, proved_at)| versions.adjoins(**proved_at));
    let proved: BTreeSet<OriginHash> = proved.map(|(origin, _)| *origin).collect();
    versions.note_vouched(now, &proved);
}
