//! Reports the loads of engines to the engines' trackers, and asks the trackers for them.
//!
//! The decisions are in [`bluebell_core::placement`]. Reports and queries are datagrams on the
//! socket for messages between instances. They are sent only while there are so many instances
//! that not all of them send their loads to each other.

mod messages;
mod query;
mod report;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, OnceLock, atomic::AtomicU64},
    time::Duration,
};

use bluebell_core::{
    clock::{ClockSource, ClockTime},
    ids::{FailureDomain, InstanceId},
    placement::{
        EngineCandidate, LoadLedger, LoadReporter, LoadSource, PrefillSample, TrackerCandidate,
        TrackerHealth, tracker_of,
    },
    usage::MeterWriter,
};
use bluebell_daemon::logs::LogLine;
use prost::Message;
use serde_json::json;
use tokio::{
    net::UdpSocket,
    sync::{Notify, mpsc},
};
use tokio_util::sync::CancellationToken;

pub use self::messages::{
    EngineLoadContent, EngineLoadMessage, EngineRecord, LoadAnswer, LoadQuery, LoadReport,
};
use crate::{context::EntryContext, metrics::EngineLoadMetrics, peers::PeerTable, shared::Shared};

/// How long changes of loads are collected before they are reported, so that a burst takes
/// one datagram to each tracker.
const COALESCING_DELAY: Duration = Duration::from_millis(2);

/// How often the instances that can be trackers are updated and repeats are sent that are due.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// The maximum number of samples of prefills that wait to be sent, and of received ones that
/// wait to be taken. The oldest are dropped.
const MAX_SAMPLES: usize = 1_024;

/// An instance that can track engines; without an address if it is this one.
type Tracker = TrackerCandidate<Option<SocketAddr>>;

/// The fields of a datagram that concern loads of engines. They decode as those of a message
/// between instances, which has them at the same tag.
#[derive(Clone, PartialEq, Message)]
struct EngineLoadDatagram {
    #[prost(message, optional, tag = "24")]
    engine_loads: Option<EngineLoadMessage>,
}

/// Samples of prefills on their way to the trackers of the engines.
#[derive(Debug, Default)]
struct SampleQueues {
    unsent: Vec<(EngineCandidate, PrefillSample)>,
    received: Vec<PrefillSample>,
}

/// Drops the oldest of the samples beyond [`MAX_SAMPLES`].
fn bound_samples<Sample>(samples: &mut Vec<Sample>) {
    let excess = samples.len().saturating_sub(MAX_SAMPLES);
    samples.drain(..excess);
}

/// The loads of the engines that this instance tracks, and its exchange with other trackers.
#[derive(Debug)]
pub struct EngineLoads {
    local: MeterWriter,
    domain: FailureDomain,
    clock: ClockSource,
    metrics: EngineLoadMetrics,
    ledger: Shared<LoadLedger>,
    health: Shared<TrackerHealth>,
    reporter: Shared<LoadReporter>,
    /// The number of reports sent.
    counter: AtomicU64,
    /// All instances that can be trackers; empty while no trackers are used.
    trackers: Shared<Vec<Tracker>>,
    queries: Shared<BTreeMap<u64, mpsc::UnboundedSender<LoadAnswer>>>,
    samples: Shared<SampleQueues>,
    socket: OnceLock<Arc<UdpSocket>>,
    changed: Notify,
}

/// Spawns the task that reports loads; it ends with `stop`.
pub fn start(context: &Arc<EntryContext>, stop: &CancellationToken) {
    let (context, token) = (Arc::clone(context), stop.clone());
    tokio::spawn(async move { token.run_until_cancelled(run(&context)).await });
}

async fn run(context: &EntryContext) {
    let loads = &context.engine_loads;
    let mut update = tokio::time::interval(UPDATE_INTERVAL);
    update.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = loads.changed.notified() => tokio::time::sleep(COALESCING_DELAY).await,
            _ = update.tick() => {
                let now = context.now();
                loads.update(now, &context.peers.lock());
                loads.probe(now);
            }
        }
        if loads.is_active() {
            let placed = context.engines.lock().loads_to_track();
            loads.report(context.now(), placed);
        }
    }
}

impl EngineLoads {
    /// Creates the state of the instance `local` in `domain`. No trackers are used before
    /// [`Self::update`], and nothing is sent before [`Self::set_socket`].
    pub fn new(
        local: MeterWriter,
        domain: FailureDomain,
        clock: ClockSource,
        metrics: EngineLoadMetrics,
    ) -> EngineLoads {
        EngineLoads {
            local,
            domain,
            clock,
            metrics,
            ledger: Shared::default(),
            health: Shared::default(),
            reporter: Shared::default(),
            counter: AtomicU64::default(),
            trackers: Shared::default(),
            queries: Shared::default(),
            samples: Shared::default(),
            socket: OnceLock::new(),
            changed: Notify::new(),
        }
    }

    /// Sets the socket for messages between instances.
    pub fn set_socket(&self, socket: Arc<UdpSocket>) {
        // There is one socket for the life of the process.
        let _ = self.socket.set(socket);
    }

    /// Whether trackers are used.
    pub fn is_active(&self) -> bool {
        !self.trackers.lock().is_empty()
    }

    /// Updates the instances that can be trackers, and removes loads that have expired.
    pub fn update(&self, now: ClockTime, peers: &PeerTable) {
        self.ledger.lock().sweep(now);
        let mut trackers = Vec::new();
        if !peers.is_full_mesh() {
            let sharing = peers.sharing(now, &self.domain);
            let known = sharing.filter_map(|name| Some((name, peers.get(name)?)));
            trackers.extend(known.map(|(name, peer)| Tracker {
                instance: name.clone(),
                domain: peer.domain.clone(),
                address: Some(peer.address),
            }));
            trackers.push(Tracker {
                instance: self.local.instance.clone(),
                domain: self.domain.clone(),
                address: None,
            });
        }
        self.health.lock().retain(|name| peers.get(name).is_some());
        *self.trackers.lock() = trackers;
    }

    /// Reports the load of this instance soon, as it has changed.
    pub fn note_change(&self) {
        if self.is_active() {
            self.changed.notify_one();
        }
    }

    /// Has a measurement of a prefill sent to the engine's tracker.
    pub fn note_sample(&self, engine: EngineCandidate, sample: PrefillSample) {
        if self.is_active() {
            let unsent = &mut self.samples.lock().unsent;
            unsent.push((engine, sample));
            bound_samples(unsent);
        }
    }

    /// Returns and clears the samples of prefills at the engines that this instance tracks.
    pub fn take_samples(&self) -> Vec<PrefillSample> {
        std::mem::take(&mut self.samples.lock().received)
    }

    /// The state for operators.
    pub fn status(&self) -> serde_json::Value {
        json!({
            "is_active": self.is_active(),
            "tracked_engines": self.ledger.lock().len(),
            "trackers_left_out": self.health.lock().left_out(),
        })
    }

    /// The tracker of an engine, without those that are left out.
    fn tracker(&self, engine: &EngineCandidate) -> Option<Tracker> {
        let trackers = self.trackers.lock();
        let health = self.health.lock();
        let answering = trackers
            .iter()
            .filter(|tracker| !health.is_left_out(&tracker.instance));
        tracker_of(engine.engine.hash, &engine.domain, answering).cloned()
    }

    /// Handles a datagram about loads of engines.
    pub fn receive(&self, now: ClockTime, message: EngineLoadMessage, from: SocketAddr) {
        match message.content {
            Some(EngineLoadContent::Report(report)) => self.receive_report(now, &report),
            Some(EngineLoadContent::Query(query)) => {
                let Ok(asker) = InstanceId::new(query.instance.as_str()) else {
                    return;
                };
                let ledger = self.ledger.lock();
                let keys = query.engines.iter().map(EngineRecord::key);
                let loads = keys.map(|engine| ledger.load_without(now, engine, &asker));
                let answer = LoadAnswer::new(query.number, self.local.instance.as_str(), loads);
                self.send(from, EngineLoadContent::Answer(answer));
            }
            Some(EngineLoadContent::Answer(answer)) => self.receive_answer(answer),
            None => {}
        }
    }

    fn receive_report(&self, now: ClockTime, report: &LoadReport) {
        let Ok(instance) = InstanceId::new(report.instance.as_str()) else {
            return;
        };
        self.metrics.reports.with_label_values(&["received"]).inc();
        let source = LoadSource {
            instance,
            start: report.start,
            counter: report.counter,
        };
        let mut ledger = self.ledger.lock();
        for record in &report.loads {
            ledger.note_report(now, &source, record.key(), record.load());
        }
        let samples = report.samples.iter().map(|record| record.sample());
        self.keep_samples(samples.collect());
    }

    fn keep_samples(&self, samples: Vec<PrefillSample>) {
        let received = &mut self.samples.lock().received;
        received.extend(samples);
        bound_samples(received);
    }

    fn receive_answer(&self, answer: LoadAnswer) {
        let Ok(tracker) = InstanceId::new(answer.instance.as_str()) else {
            return;
        };
        if self.health.lock().note_answer(&tracker) {
            LogLine::new("tracker_taken_again")
                .with("tracker", &tracker)
                .info();
            self.note_change();
        }
        let queries = self.queries.lock();
        if let Some(query) = queries.get(&answer.number) {
            // Fails if the answer is no longer awaited.
            let _ = query.send(answer);
        }
    }

    fn send(&self, address: SocketAddr, content: EngineLoadContent) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        let datagram = EngineLoadDatagram {
            engine_loads: Some(EngineLoadMessage {
                content: Some(content),
            }),
        };
        if let Err(error) = socket.try_send_to(&datagram.encode_to_vec(), address) {
            log::debug!("event=datagram_failed address={address} error={error:?}");
        }
    }
}
