//! Runs whose connections broke, until it is known whether their endpoints ended.
//!
//! A connection breaks when its endpoint crashes, but also when the endpoint or something on the
//! path resets it. Only the end of the endpoint counts against what ran there: it refuses new
//! connections, its registration lapses, or it registers again with a later start.
//!
//! A partition can refuse connections as well. While no endpoint of a service is reachable, a refused
//! connection is therefore no evidence of a crash, and broken runs wait for the registrations of
//! their endpoints: one that lapses or shows a later start has crashed, one that stays has not.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{EndpointId, RequestFingerprint},
    quarantine::PartHash,
};

/// How many heartbeat intervals after a break the end of the endpoint counts as its cause: a
/// registration lapses after three of them, and the store is read some time later.
const CONFIRMATION_HEARTBEATS: u64 = 5;

/// The heartbeat interval of endpoints, if the settings name none.
const DEFAULT_HEARTBEAT: TimeSpan = TimeSpan::from_millis(1_200);

/// The shortest time between two probes of an endpoint.
const PROBE_INTERVAL: TimeSpan = TimeSpan::from_millis(250);

/// Maximum number of endpoints with broken runs; further breaks are not recorded.
const MAX_STARTS: usize = 256;

/// Maximum number of broken runs kept of one endpoint.
const MAX_RUNS: usize = 256;

/// A run whose connection broke before its answer was complete.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BrokenRun {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The parts of its prompt that other requests may share.
    pub parts: Vec<PartHash>,
}

/// What follows from a broken connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakStep {
    /// The endpoint is known to have ended.
    Ended,
    /// A connection attempt is to show whether it has.
    Probe,
    /// Another break has caused a probe already, or too many endpoints are in question.
    Wait,
}

/// The broken runs of one start of an endpoint.
#[derive(Clone, Debug, Default, Serialize)]
struct BrokenStart {
    broke_at: ClockTime,
    probed_at: Option<ClockTime>,
    is_probing: bool,
    ended_at: Option<ClockTime>,
    /// Whether its registration shows that it has ended.
    is_gone: bool,
    /// Runs without evidence yet.
    runs: Vec<BrokenRun>,
    /// Runs that count because the endpoint refused a connection.
    refused_runs: Vec<BrokenRun>,
    /// Runs that count only once the registration shows the end.
    unproved_runs: Vec<BrokenRun>,
}

impl BrokenStart {
    /// Withdraws the evidence of refused connections; the runs wait for the registration.
    fn retract_refusals(&mut self) {
        self.ended_at = None;
        self.unproved_runs.append(&mut self.runs);
        self.unproved_runs.append(&mut self.refused_runs);
        self.unproved_runs.truncate(MAX_RUNS);
    }
}

/// The endpoints whose connections broke lately, as one entry observed.
#[derive(Clone, Debug, Serialize)]
#[serde(transparent)]
pub struct BrokenRuns {
    endpoints: BTreeMap<EndpointId, BTreeMap<u64, BrokenStart>>,
    /// How long after a break the end of the endpoint counts as its cause.
    #[serde(skip)]
    confirmation_period: TimeSpan,
}

impl Default for BrokenRuns {
    fn default() -> BrokenRuns {
        BrokenRuns::new()
    }
}

impl BrokenRuns {
    /// Creates a table without broken runs.
    pub fn new() -> BrokenRuns {
        BrokenRuns {
            endpoints: BTreeMap::new(),
            confirmation_period: DEFAULT_HEARTBEAT.times(CONFIRMATION_HEARTBEATS),
        }
    }

    /// Sets the heartbeat interval of endpoints.
    pub fn with_heartbeat(mut self, interval: TimeSpan) -> BrokenRuns {
        self.confirmation_period = interval.times(CONFIRMATION_HEARTBEATS);
        self
    }

    /// Records that the connection broke on which `run` ran at the endpoint that was started at
    /// `start`.
    pub fn note_break(
        &mut self,
        now: ClockTime,
        endpoint: &EndpointId,
        start: u64,
        run: BrokenRun,
    ) -> BreakStep {
        let is_known = self.endpoints.contains_key(endpoint);
        if !is_known && self.endpoints.len() >= MAX_STARTS {
            return BreakStep::Wait;
        }
        let starts = self.endpoints.entry(endpoint.clone()).or_default();
        let broken = starts.entry(start).or_default();
        broken.broke_at = now;
        if broken.runs.len() < MAX_RUNS {
            broken.runs.push(run);
        }
        let probed_at = broken.probed_at;
        if broken.ended_at.is_some() {
            return BreakStep::Ended;
        }
        if probed_at.is_some_and(|at| now.since(at) < PROBE_INTERVAL) {
            return BreakStep::Wait;
        }
        broken.probed_at = Some(now);
        broken.is_probing = true;
        BreakStep::Probe
    }

    /// Records that a probe of the endpoint has ended.
    pub fn note_probed(&mut self, endpoint: &EndpointId, start: u64) {
        let starts = self.endpoints.get_mut(endpoint);
        if let Some(broken) = starts.and_then(|starts| starts.get_mut(&start)) {
            broken.is_probing = false;
        }
    }

    /// Whether a probe of the endpoint is in progress.
    pub fn is_probing(&self, endpoint: &EndpointId, start: u64) -> bool {
        let starts = self.endpoints.get(endpoint);
        let broken = starts.and_then(|starts| starts.get(&start));
        broken.is_some_and(|broken| broken.is_probing)
    }

    /// Records that the endpoint that was started at `start` refuses connections. Returns the runs
    /// that broke there lately and were not returned before.
    pub fn note_ended(
        &mut self,
        now: ClockTime,
        endpoint: &EndpointId,
        start: u64,
    ) -> Vec<BrokenRun> {
        let Some((broken, is_recent)) = self.note_end(now, endpoint, start) else {
            return Vec::new();
        };
        let runs = std::mem::take(&mut broken.runs);
        if !is_recent {
            return Vec::new();
        }
        broken.refused_runs.extend_from_slice(&runs);
        broken.refused_runs.truncate(MAX_RUNS);
        runs
    }

    /// Records that the registration of the endpoint that was started at `start` has lapsed or has a
    /// later start. Returns the runs that broke there lately, also those that were returned because
    /// it refused connections.
    pub fn note_gone(
        &mut self,
        now: ClockTime,
        endpoint: &EndpointId,
        start: u64,
    ) -> Vec<BrokenRun> {
        let Some((broken, is_recent)) = self.note_end(now, endpoint, start) else {
            return Vec::new();
        };
        broken.is_gone = true;
        let mut runs = std::mem::take(&mut broken.runs);
        runs.append(&mut broken.refused_runs);
        runs.append(&mut broken.unproved_runs);
        match is_recent {
            true => runs,
            false => Vec::new(),
        }
    }

    /// Whether the registration of the endpoint shows that its start has ended.
    pub fn is_gone(&self, endpoint: &EndpointId, start: u64) -> bool {
        let starts = self.endpoints.get(endpoint);
        let broken = starts.and_then(|starts| starts.get(&start));
        broken.is_some_and(|broken| broken.is_gone)
    }

    /// The starts of the endpoint with broken runs before `start`; all of them if it is `None`.
    pub fn starts_before(&self, endpoint: &EndpointId, start: Option<u64>) -> Vec<u64> {
        let starts = self.endpoints.get(endpoint).into_iter().flatten();
        let starts = starts.map(|(number, _)| *number);
        starts
            .filter(|number| start.is_none_or(|start| *number < start))
            .collect()
    }

    /// Forgets the broken runs of an endpoint that is leaving: its end is planned.
    pub fn remove_endpoint(&mut self, endpoint: &EndpointId) {
        self.endpoints.remove(endpoint);
    }

    /// Withdraws the evidence of connections that were refused since `since`: no endpoint of a
    /// service is reachable. The runs wait for the registrations of their endpoints.
    pub fn retract_since(&mut self, since: ClockTime) {
        let starts = self.endpoints.values_mut().flat_map(BTreeMap::values_mut);
        let in_question = starts.filter(|broken| broken.broke_at >= since && !broken.is_gone);
        in_question.for_each(BrokenStart::retract_refusals);
    }

    /// Forgets breaks that nothing has confirmed in time.
    pub fn sweep(&mut self, now: ClockTime) {
        let period = self.confirmation_period;
        self.retain(|broken| now.since(broken.broke_at) < period);
    }

    /// Records that a start of the endpoint has ended. Returns its broken runs and whether they broke
    /// so lately that the end can be the cause.
    fn note_end(
        &mut self,
        now: ClockTime,
        endpoint: &EndpointId,
        start: u64,
    ) -> Option<(&mut BrokenStart, bool)> {
        let broken = self.endpoints.get_mut(endpoint)?.get_mut(&start)?;
        broken.ended_at.get_or_insert(now);
        let is_recent = now.since(broken.broke_at) < self.confirmation_period;
        Some((broken, is_recent))
    }

    fn retain<Kept>(&mut self, kept: Kept)
    where
        Kept: Fn(&BrokenStart) -> bool,
    {
        self.endpoints.retain(|_, starts| {
            starts.retain(|_, broken| kept(broken));
            !starts.is_empty()
        });
    }
}
