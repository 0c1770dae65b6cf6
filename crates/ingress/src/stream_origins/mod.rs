//! Records with other instances where streams began, and asks them for it.
//!
//! The decisions are in [`bluebell_core::streams`]. Records and queries are datagrams on the socket
//! for messages between instances. A record that is lost is one of several; a query is repeated.

mod log_records;
mod messages;
mod resumption;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};

use bluebell_core::{
    clock::ClockTime,
    ingress::IngressConfiguration,
    streams::{
        MAX_STREAM_AGE, OriginHash, RecordPeer, RecordQueue, RecordScope, RecordedOrigin,
        RouteHistory, StreamHash, StreamName, StreamRecord, StreamTable, appending_peer,
        recording_peers,
    },
};
use prost::Message;
use tokio::{
    net::UdpSocket,
    sync::{Notify, mpsc},
};
use tokio_util::sync::CancellationToken;

use self::messages::{MAX_RECORDS, OriginAnswer, OriginContent, OriginQuery, OriginRecords};
pub use self::{
    log_records::start,
    messages::{OriginMessage, OriginProofs},
    resumption::{RecorderFleet, ResumedStream, StreamRequest, begun_origin},
};
use crate::shared::Shared;

/// How long answers to a query are awaited. The instances of a region are a few ms away.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);

/// After which time a query is repeated where no answer has arrived.
const QUERY_REPEAT_DELAY: Duration = Duration::from_millis(50);

/// What other instances answered to a query.
#[derive(Clone, Debug, Default)]
struct QueryResult {
    /// Where the stream began, if any of them knows.
    origin: Option<RecordedOrigin>,
    /// What they can prove about services with a single version, and as of when at the latest.
    proved: BTreeMap<OriginHash, ClockTime>,
    /// The instances that answered.
    answered: BTreeSet<SocketAddr>,
}

/// An answer and the instance that sent it.
type ReceivedAnswer = (SocketAddr, OriginAnswer);

/// The fields of a datagram that concern streams. They decode as those of a message between
/// instances, which has them at the same tag.
#[derive(Clone, PartialEq, Message)]
struct OriginDatagram {
    #[prost(message, optional, tag = "20")]
    origins: Option<OriginMessage>,
}

/// The streams that this instance knows, and the queries in progress.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    table: Shared<StreamTable>,
    routes: Shared<RouteHistory>,
    queries: Shared<BTreeMap<u64, mpsc::UnboundedSender<ReceivedAnswer>>>,
    socket: OnceLock<Arc<UdpSocket>>,
    /// For which services and instances the streams that began here were last recorded.
    recorded_for: Shared<Option<u64>>,
    /// The records that this instance appends to the log.
    log_queue: Shared<RecordQueue>,
    /// Notified when records are queued for the log.
    log_due: Notify,
    /// Cancelled once this instance has read the records of the log, or does not read them.
    log_read: CancellationToken,
}

/// Removes a query when its result is no longer awaited.
struct QueryGuard<'a> {
    origins: &'a StreamOrigins,
    number: u64,
}

impl Drop for QueryGuard<'_> {
    fn drop(&mut self) {
        self.origins.queries.lock().remove(&self.number);
    }
}

impl StreamOrigins {
    /// Creates an empty table. Nothing is sent before [`Self::set_socket`].
    pub fn new() -> StreamOrigins {
        StreamOrigins::default()
    }

    /// Sets the socket for messages between instances.
    pub fn set_socket(&self, socket: Arc<UdpSocket>) {
        // There is one socket for the life of the process.
        let _ = self.socket.set(socket);
    }

    /// Records that `configuration` is in force from now on.
    pub fn note_configuration(&self, now: ClockTime, configuration: &IngressConfiguration) {
        self.routes.lock().note_configuration(now, configuration);
    }

    /// Removes a stream that began here and has ended.
    pub fn note_ended(&self, name: StreamName) {
        self.table.lock().note_ended(name);
    }

    /// Where `stream` began, as far as it is known here.
    pub fn origin(&self, stream: StreamHash) -> Option<RecordedOrigin> {
        self.table.lock().origin(stream)
    }

    /// Removes the streams that are too old to be taken up.
    pub fn sweep(&self, now: ClockTime) {
        self.table.lock().sweep(now);
        self.routes.lock().sweep(now, MAX_STREAM_AGE);
    }

    /// Records the streams in `scope` with those of `peers` that have not been sent them, and has
    /// them appended to the log. `local` is this instance.
    fn record(
        &self,
        scope: RecordScope<'_>,
        local: &RecordPeer<SocketAddr>,
        peers: &[RecordPeer<SocketAddr>],
    ) {
        let mut table = self.table.lock();
        let due = table.take_due(scope, |stream| {
            let chosen = recording_peers(stream, &local.domain, peers);
            chosen.into_iter().cloned().collect()
        });
        let unlogged = table.take_unlogged(scope);
        drop(table);
        for (address, records) in due {
            for records in records.chunks(MAX_RECORDS) {
                self.send(address, OriginContent::Records(OriginRecords::new(records)));
            }
        }
        self.record_in_log(unlogged, local, peers);
    }

    /// Sends records to the instances of the failure domain that append them to the log.
    fn record_in_log(
        &self,
        records: Vec<StreamRecord>,
        local: &RecordPeer<SocketAddr>,
        peers: &[RecordPeer<SocketAddr>],
    ) {
        let neighbours = peers.iter().filter(|peer| peer.domain == local.domain);
        let members: Vec<&RecordPeer<SocketAddr>> = neighbours.chain([local]).collect();
        let mut due: BTreeMap<SocketAddr, Vec<StreamRecord>> = BTreeMap::new();
        for record in records {
            if let Some(appender) = appending_peer(record.stream, members.clone()) {
                due.entry(appender.address).or_default().push(record);
            }
        }
        for (address, records) in due {
            if address == local.address {
                self.queue_for_log(records);
                continue;
            }
            for records in records.chunks(MAX_RECORDS) {
                let records = OriginRecords::new(records).with_log();
                self.send(address, OriginContent::Records(records));
            }
        }
    }

    fn queue_for_log(&self, records: Vec<StreamRecord>) {
        if self.log_queue.lock().add(records) {
            self.log_due.notify_one();
        }
    }

    /// Asks the instances at `addresses` where `stream` began, if there is one, and for what they can
    /// prove. Ends as soon as what they answered `is_decided`. `now` is when they are asked.
    async fn ask<Decided>(
        &self,
        now: ClockTime,
        stream: Option<StreamHash>,
        addresses: &[SocketAddr],
        is_decided: Decided,
    ) -> QueryResult
    where
        Decided: Fn(&QueryResult) -> bool,
    {
        let query = OriginQuery {
            number: rand::random(),
            stream: stream.map(StreamHash::number),
        };
        let (sender, mut answers) = mpsc::unbounded_channel();
        self.queries.lock().insert(query.number, sender);
        let _guard = QueryGuard {
            origins: self,
            number: query.number,
        };
        let mut result = QueryResult::default();
        let collecting = async {
            for wait in [QUERY_REPEAT_DELAY, QUERY_TIMEOUT - QUERY_REPEAT_DELAY] {
                for address in addresses {
                    if result.answered.contains(address) {
                        continue;
                    }
                    self.send(*address, OriginContent::Query(query));
                }
                let reading = read_answers(now, &mut answers, &mut result, &is_decided);
                if tokio::time::timeout(wait, reading).await.is_ok() {
                    return;
                }
            }
        };
        collecting.await;
        result
    }

    /// Handles a datagram about streams. `proofs` computes what this instance can prove about
    /// services with a single version.
    pub fn receive<Proofs>(
        &self,
        now: ClockTime,
        message: OriginMessage,
        from: SocketAddr,
        proofs: Proofs,
    ) where
        Proofs: FnOnce() -> OriginProofs,
    {
        match message.content {
            Some(OriginContent::Records(records)) => {
                self.note_records(now, &records);
                if records.is_for_log {
                    self.queue_for_log(records.records().collect());
                }
            }
            Some(OriginContent::Query(query)) => {
                let stream = query.stream.map(StreamHash::new);
                let known = stream.and_then(|stream| self.origin(stream));
                let answer = OriginAnswer::new(query.number, known, &proofs());
                self.send(from, OriginContent::Answer(answer));
            }
            Some(OriginContent::Answer(answer)) => {
                let queries = self.queries.lock();
                if let Some(query) = queries.get(&answer.number) {
                    // Fails if the result is no longer awaited.
                    let _ = query.send((from, answer));
                }
            }
            None => {}
        }
    }

    fn note_records(&self, now: ClockTime, records: &OriginRecords) {
        let mut table = self.table.lock();
        for record in records.records() {
            table.note_record(now, record);
        }
    }

    fn send(&self, address: SocketAddr, content: OriginContent) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        let datagram = OriginDatagram {
            origins: Some(OriginMessage {
                content: Some(content),
            }),
        };
        if let Err(error) = socket.try_send_to(&datagram.encode_to_vec(), address) {
            log::debug!("event=datagram_failed address={address} error={error:?}");
        }
    }
}

/// Reads answers to a query that was sent at `asked_at`, until the result `is_decided`.
async fn read_answers<Decided>(
    asked_at: ClockTime,
    answers: &mut mpsc::UnboundedReceiver<ReceivedAnswer>,
    result: &mut QueryResult,
    is_decided: &Decided,
) where
    Decided: Fn(&QueryResult) -> bool,
{
    while !is_decided(result) {
        let Some((from, answer)) = answers.recv().await else {
            return;
        };
        result.answered.insert(from);
        result.origin = RecordedOrigin::combine_all([result.origin, answer.recorded()]);
        for (origin, proved_at) in answer.proofs(asked_at) {
            let newest = result.proved.entry(origin).or_insert(proved_at);
            *newest = proved_at.max(*newest);
        }
    }
}
