//! The versions of streams that began at this instance, and of those that others record here.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;

use crate::{
    clock::ClockTime,
    ids::{EndpointId, InstanceId, ServiceName},
    streams::{MAX_STREAM_AGE, OriginHash, RecordPeer, StreamHash, StreamName},
};

/// The maximum number of names of streams that are kept of each kind. Beyond it the oldest go first.
const MAX_STREAMS: usize = 32_768;

/// A stream under one of its names, and where it began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamRecord {
    /// The hash of the name.
    pub stream: StreamHash,
    /// The service and the version that began it.
    pub origin: OriginHash,
}

/// A process of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointProcess {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The time of its start, by its own clock.
    pub start: u64,
}

impl EndpointProcess {
    /// Whether `other` is a later process of the same endpoint.
    fn is_followed_by(&self, other: &EndpointProcess) -> bool {
        self.endpoint == other.endpoint && self.start < other.start
    }
}

/// The streams whose records are due.
#[derive(Clone, Copy, Debug)]
pub enum RecordScope<'a> {
    /// One stream.
    Stream(StreamHash),
    /// These streams, in ascending order.
    Streams(&'a [StreamHash]),
    /// All streams of these services.
    Services(&'a [ServiceName]),
}

impl RecordScope<'_> {
    fn contains(self, stream: StreamHash, service: &ServiceName) -> bool {
        match self {
            RecordScope::Stream(one) => stream == one,
            RecordScope::Streams(streams) => streams.binary_search(&stream).is_ok(),
            RecordScope::Services(services) => services.contains(service),
        }
    }
}

/// What is recorded of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum RecordedOrigin {
    /// It began there.
    Known(OriginHash),
    /// Different origins are stated, by two instances or for two streams of equal requests.
    Contradictory,
}

impl RecordedOrigin {
    /// Combines two statements about one stream.
    pub fn combine(self, other: RecordedOrigin) -> RecordedOrigin {
        match self == other {
            true => self,
            false => RecordedOrigin::Contradictory,
        }
    }

    /// Combines the statements there are; `None` if there is none.
    pub fn combine_all<Statements>(statements: Statements) -> Option<RecordedOrigin>
    where
        Statements: IntoIterator<Item = Option<RecordedOrigin>>,
    {
        let stated = statements.into_iter().flatten();
        stated.reduce(RecordedOrigin::combine)
    }
}

/// The streams of one name that began here.
#[derive(Clone, Debug)]
struct BegunStream {
    /// Where they began; several if equal requests began at different versions.
    origins: Vec<OriginHash>,
    /// How often one of them began or went on here.
    count: u32,
    /// The registered processes at which they began. A later one of the same endpoint may have answered.
    unchecked: Vec<EndpointProcess>,
    service: ServiceName,
    /// The instances that were sent the record, with their starts.
    recorded_at: Vec<(InstanceId, u64)>,
    /// Whether the record was returned for the log.
    is_logged: bool,
}

impl BegunStream {
    fn new(service: &ServiceName) -> BegunStream {
        BegunStream {
            origins: Vec::new(),
            count: 0,
            unchecked: Vec::new(),
            service: service.clone(),
            recorded_at: Vec::new(),
            is_logged: false,
        }
    }

    /// Adds where a stream began. It is to be recorded again if the others began elsewhere.
    fn add(&mut self, origin: OriginHash) {
        self.count += 1;
        if !self.origins.contains(&origin) {
            self.origins.push(origin);
            self.recorded_at.clear();
            self.is_logged = false;
        }
    }

    fn origin(&self) -> Option<RecordedOrigin> {
        let origins = self.origins.iter().copied();
        RecordedOrigin::combine_all(origins.map(RecordedOrigin::Known).map(Some))
    }

    fn records(&self, stream: StreamHash) -> impl Iterator<Item = StreamRecord> + '_ {
        let origins = self.origins.iter().copied();
        origins.map(move |origin| StreamRecord { stream, origin })
    }
}

#[derive(Clone, Debug)]
struct AgedEntry<Entry> {
    entry: Entry,
    entered_at: ClockTime,
}

/// A map of streams in the order in which they were last entered.
#[derive(Clone, Debug)]
struct AgedStreams<Entry> {
    entries: BTreeMap<StreamHash, AgedEntry<Entry>>,
    entered: VecDeque<(ClockTime, StreamHash)>,
}

impl<Entry> AgedStreams<Entry> {
    const fn new() -> AgedStreams<Entry> {
        AgedStreams {
            entries: BTreeMap::new(),
            entered: VecDeque::new(),
        }
    }

    fn get(&self, stream: StreamHash) -> Option<&Entry> {
        self.entries.get(&stream).map(|aged| &aged.entry)
    }

    fn get_mut(&mut self, stream: StreamHash) -> Option<&mut Entry> {
        let aged = self.entries.get_mut(&stream);
        aged.map(|aged| &mut aged.entry)
    }

    fn iter_mut(&mut self) -> impl Iterator<Item = (StreamHash, &mut Entry)> {
        let entries = self.entries.iter_mut();
        entries.map(|(stream, aged)| (*stream, &mut aged.entry))
    }

    fn remove(&mut self, stream: StreamHash) {
        self.entries.remove(&stream);
    }

    /// Enters `stream`; `create` returns its entry if it is missing.
    fn enter<Create>(&mut self, now: ClockTime, stream: StreamHash, create: Create) -> &mut Entry
    where
        Create: FnOnce() -> Entry,
    {
        self.remove_old(now);
        self.entered.push_back((now, stream));
        let aged = self.entries.entry(stream).or_insert_with(|| AgedEntry {
            entry: create(),
            entered_at: now,
        });
        aged.entered_at = now;
        &mut aged.entry
    }

    fn remove_old(&mut self, now: ClockTime) {
        while let Some((entered_at, stream)) = self.entered.front().copied() {
            let is_old = now.since(entered_at) >= MAX_STREAM_AGE;
            if !is_old && self.entered.len() < MAX_STREAMS {
                return;
            }
            self.entered.pop_front();
            // A stream that was entered again has a later place as well.
            let aged = self.entries.get(&stream);
            if aged.is_some_and(|aged| aged.entered_at == entered_at) {
                self.entries.remove(&stream);
            }
        }
    }
}

/// The streams that one instance knows.
#[derive(Clone, Debug)]
pub struct StreamTable {
    begun: AgedStreams<BegunStream>,
    recorded: AgedStreams<RecordedOrigin>,
}

impl Default for StreamTable {
    fn default() -> StreamTable {
        StreamTable::new()
    }
}

impl StreamTable {
    /// Creates an empty table.
    pub const fn new() -> StreamTable {
        StreamTable {
            begun: AgedStreams::new(),
            recorded: AgedStreams::new(),
        }
    }

    /// Records that a stream of `service` began here.
    pub fn note_begun(&mut self, now: ClockTime, record: StreamRecord, service: &ServiceName) {
        let create = || BegunStream::new(service);
        let begun = self.begun.enter(now, record.stream, create);
        begun.add(record.origin);
    }

    /// Records that a stream that began here did so at an endpoint of which `process` is registered, and
    /// that nothing shows that no later process answered.
    pub fn note_unchecked(&mut self, stream: StreamHash, process: &EndpointProcess) {
        let begun = self.begun.get_mut(stream);
        if let Some(begun) = begun.filter(|begun| !begun.unchecked.contains(process)) {
            begun.unchecked.push(process.clone());
        }
    }

    /// Records that `process` of an endpoint has started at `origin`: streams that began at that endpoint
    /// under an earlier registration may have begun there. Returns those that are to be recorded again,
    /// in ascending order.
    pub fn note_started(
        &mut self,
        process: &EndpointProcess,
        origin: OriginHash,
    ) -> Vec<StreamHash> {
        let mut changed = Vec::new();
        for (stream, begun) in self.begun.iter_mut() {
            let mut unchecked = begun.unchecked.iter();
            let may_have_begun = unchecked.any(|earlier| earlier.is_followed_by(process));
            if may_have_begun && !begun.origins.contains(&origin) {
                begun.add(origin);
                changed.push(stream);
            }
        }
        changed
    }

    /// Removes a stream that began here and has ended. A name that streams of equal requests share is
    /// kept for the others.
    pub fn note_ended(&mut self, name: StreamName) {
        let begun = self.begun.get(name.hash());
        let is_shared = begun.is_some_and(|begun| begun.count > 1);
        if name.is_unique() || !is_shared {
            self.begun.remove(name.hash());
        }
    }

    /// Records what another instance states about a stream that began there.
    pub fn note_record(&mut self, now: ClockTime, record: StreamRecord) {
        let stated = RecordedOrigin::Known(record.origin);
        let recorded = self.recorded.enter(now, record.stream, || stated);
        *recorded = recorded.combine(stated);
    }

    /// Where `stream` began, as far as it is known here.
    pub fn origin(&self, stream: StreamHash) -> Option<RecordedOrigin> {
        let begun = self.begun.get(stream);
        let begun = begun.and_then(BegunStream::origin);
        let recorded = self.recorded.get(stream).copied();
        RecordedOrigin::combine_all([begun, recorded])
    }

    /// The services of the streams that began here.
    pub fn begun_services(&self) -> Vec<ServiceName> {
        let mut services: Vec<ServiceName> = Vec::new();
        for begun in self.begun.entries.values().map(|aged| &aged.entry) {
            if !services.contains(&begun.service) {
                services.push(begun.service.clone());
            }
        }
        services
    }

    /// Returns the records of the streams in `scope` for the peers that `choose` assigns to each
    /// and that have not been sent it, and records them as sent.
    pub fn take_due<Address, Choose>(
        &mut self,
        scope: RecordScope<'_>,
        choose: Choose,
    ) -> Vec<(Address, Vec<StreamRecord>)>
    where
        Address: Copy + Ord,
        Choose: Fn(StreamHash) -> Vec<RecordPeer<Address>>,
    {
        let mut due: BTreeMap<Address, Vec<StreamRecord>> = BTreeMap::new();
        for (stream, begun) in self.begun.iter_mut() {
            if !scope.contains(stream, &begun.service) {
                continue;
            }
            for peer in choose(stream) {
                let recipient = (peer.instance, peer.start);
                if begun.recorded_at.contains(&recipient) {
                    continue;
                }
                begun.recorded_at.push(recipient);
                let due = due.entry(peer.address).or_default();
                due.extend(begun.records(stream));
            }
        }
        due.into_iter().collect()
    }

    /// Returns the records of the streams in `scope` that were not returned before, for the log.
    pub fn take_unlogged(&mut self, scope: RecordScope<'_>) -> Vec<StreamRecord> {
        let begun = self.begun.iter_mut();
        let unlogged = begun
            .filter(|(stream, begun)| !begun.is_logged && scope.contains(*stream, &begun.service));
        let records = unlogged.flat_map(|(stream, begun)| {
            begun.is_logged = true;
            begun.records(stream)
        });
        records.collect()
    }

    /// Removes the streams that are too old to be taken up.
    pub fn sweep(&mut self, now: ClockTime) {
        self.begun.remove_old(now);
        self.recorded.remove_old(now);
    }
}
