//! Asking trackers for the loads of engines.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bluebell_core::{
    clock::ClockTime,
    ids::InstanceId,
    placement::{EngineCandidate, EngineKey, TrackedLoad},
};
use bluebell_daemon::logs::LogLine;
use tokio::sync::mpsc;

use super::{EngineLoadContent, EngineLoads, EngineRecord, LoadAnswer, LoadQuery, Tracker};

/// How long the answers of trackers are awaited. The instances of a region are a few ms away,
/// and a request that waits longer loses more than the knowledge saves it.
const QUERY_TIMEOUT: Duration = Duration::from_millis(15);

/// Removes a query when its answers are no longer awaited.
struct QueryGuard<'a> {
    loads: &'a EngineLoads,
    number: u64,
}

impl Drop for QueryGuard<'_> {
    fn drop(&mut self) {
        self.loads.queries.lock().remove(&self.number);
    }
}

impl EngineLoads {
    /// Asks the trackers of `engines` for the loads that other instances have placed there.
    /// Engines whose trackers don't answer in time are left out of the result.
    pub async fn query(&self, engines: &[EngineCandidate]) -> Vec<TrackedLoad> {
        let mut known = Vec::new();
        let mut remote: BTreeMap<InstanceId, (SocketAddr, Vec<EngineKey>)> = BTreeMap::new();
        for engine in engines {
            match self.tracker(engine) {
                Some(Tracker {
                    instance,
                    address: Some(address),
                    ..
                }) => {
                    let (_, keys) = remote.entry(instance).or_insert((address, Vec::new()));
                    keys.push(engine.engine);
                }
                Some(_) => known.push(self.local_load(engine.engine)),
                None => {}
            }
        }
        if !known.is_empty() {
            self.count_query("local", 1);
        }
        if !remote.is_empty() {
            self.ask(remote, &mut known).await;
        }
        for tracked in &known {
            let age = tracked.oldest.as_millis() as f64 / 1_000.0;
            self.metrics.age.observe(age);
        }
        known
    }

    fn local_load(&self, engine: EngineKey) -> TrackedLoad {
        let ledger = self.ledger.lock();
        ledger.load_without(self.clock.now(), engine, &self.local.instance)
    }

    async fn ask(
        &self,
        mut remote: BTreeMap<InstanceId, (SocketAddr, Vec<EngineKey>)>,
        known: &mut Vec<TrackedLoad>,
    ) {
        let number = rand::random();
        let (sender, mut answers) = mpsc::unbounded_channel();
        self.queries.lock().insert(number, sender);
        let _guard = QueryGuard {
            loads: self,
            number,
        };
        for (address, engines) in remote.values() {
            self.send_query(number, *address, engines);
        }
        let asked = remote.len();
        let reading = read_answers(&mut answers, &mut remote, known);
        let is_complete = tokio::time::timeout(QUERY_TIMEOUT, reading).await.is_ok();
        self.count_query("answered", asked - remote.len());
        if !is_complete {
            self.count_query("timed_out", remote.len());
            self.note_missed(self.clock.now(), remote.keys());
        }
    }

    fn count_query(&self, outcome: &str, count: usize) {
        let queries = self.metrics.queries.with_label_values(&[outcome]);
        queries.inc_by(count as u64);
    }

    fn note_missed<'a, Trackers>(&self, now: ClockTime, trackers: Trackers)
    where
        Trackers: Iterator<Item = &'a InstanceId>,
    {
        for tracker in trackers {
            if self.health.lock().note_missed(now, tracker) {
                LogLine::new("tracker_left_out")
                    .with("tracker", tracker)
                    .warn();
                // Its successor is to know the load of this instance soon.
                self.note_change();
            }
        }
    }

    /// Asks trackers that are left out whether they answer again, without awaiting that.
    pub(super) fn probe(&self, now: ClockTime) {
        let due = self.health.lock().take_due_probes(now);
        let trackers = self.trackers.lock();
        for tracker in trackers.iter() {
            if let Some(address) = tracker.address
                && due.contains(&tracker.instance)
            {
                self.send_query(rand::random(), address, &[]);
            }
        }
    }

    fn send_query(&self, number: u64, address: SocketAddr, engines: &[EngineKey]) {
        let query = LoadQuery {
            number,
            instance: self.local.instance.to_string(),
            engines: engines.iter().copied().map(EngineRecord::new).collect(),
        };
        self.send(address, EngineLoadContent::Query(query));
    }
}

/// Reads answers until all of `remote` have answered; those that have are removed.
async fn read_answers(
    answers: &mut mpsc::UnboundedReceiver<LoadAnswer>,
    remote: &mut BTreeMap<InstanceId, (SocketAddr, Vec<EngineKey>)>,
    known: &mut Vec<TrackedLoad>,
) {
    while !remote.is_empty() {
        let Some(answer) = answers.recv().await else {
            return;
        };
        let tracker = InstanceId::new(answer.instance.as_str()).ok();
        if tracker.and_then(|name| remote.remove(&name)).is_some() {
            known.extend(answer.tracked());
        }
    }
}
