//! Measures the demand of a service's requests on its engines.
//!
//! Each entry measures the prefills that it sends and the requests that run for it, as
//! a number of engines that they keep busy, and reports the values to the other
//! entries. The leader adds up the reports of all entries. If the fleet were divided by
//! a fixed share instead, it would have too few engines for long answers in one
//! deployment and too few for long prompts in another: requests would queue for one
//! stage while engines of the other are idle.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{FailureDomain, InstanceId, ServiceName},
};

/// Averaging time of the demand: shorter than the changes that justify a change of a
/// stage, longer than the gaps between the prompts of one entry.
const AVERAGING_TIME: TimeSpan = TimeSpan::from_millis(3_000);

/// Minimum share of an average that has to be observed before the average is scaled up
/// to the whole.
const MIN_OBSERVED_SHARE: f64 = 0.2;

/// How long a report of another entry is valid. An entry that is partitioned from the
/// leader still serves its callers.
const MAX_REPORT_AGE: TimeSpan = TimeSpan::from_millis(15_000);

/// Minimum and maximum averaging time of the number of engines needed; it grows with
/// the time observed. The mix of requests changes within about ten seconds, and a
/// change of a stage takes an engine several of them; following each change would cost
/// more than it gains.
const SMOOTHING_TIME: (TimeSpan, TimeSpan) =
    (TimeSpan::from_millis(3_000), TimeSpan::from_millis(30_000));

/// Weight of the newest stream in the average speed.
const NEWEST_STREAM_WEIGHT: f64 = 0.1;

/// Weights with which the uncontended pace follows faster and slower streams. With them
/// it stays close to the pace of the fastest few percent of the streams.
const UNCONTENDED_WEIGHTS: (f64, f64) = (0.1, 0.002);

/// Demand of requests on engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct EngineDemand {
    /// Number of engines that prefills would keep busy all the time.
    pub prefill: f64,
    /// Number of engines whose slots or memory the running requests would fill.
    pub held: f64,
    /// Number of running requests.
    pub running: f64,
    /// Average speed of the running requests relative to a request that is alone on an
    /// engine. `None` until a stream has ended.
    pub speed: Option<f64>,
}

impl EngineDemand {
    fn plus(self, other: EngineDemand) -> EngineDemand {
        EngineDemand {
            prefill: self.prefill + other.prefill,
            held: self.held + other.held,
            running: self.running + other.running,
            speed: self.combined_speed(other),
        }
    }

    /// Average of both speeds, weighted by the number of running requests.
    fn combined_speed(self, other: EngineDemand) -> Option<f64> {
        let (Some(one), Some(two)) = (self.speed, other.speed) else {
            return self.speed.or(other.speed);
        };
        let (first, second) = (self.running.max(0.01), other.running.max(0.01));
        Some((one * first + two * second) / (first + second))
    }

    /// Share of their speed that requests lose to other requests on the same engine: 0
    /// with one request per engine, close to 1 where an engine cannot generate more
    /// tokens.
    pub fn contention(&self) -> f64 {
        self.speed.map_or(0.0, |speed| 1.0 - speed)
    }
}

/// Measures the speed of streams.
#[derive(Clone, Copy, Debug)]
struct PaceMeter {
    /// Time between two events of a request that is alone on an engine, in ms.
    uncontended_ms: f64,
    /// Average speed relative to this pace.
    speed: f64,
}

impl PaceMeter {
    fn new(event_ms: f64) -> PaceMeter {
        PaceMeter {
            uncontended_ms: event_ms,
            speed: 1.0,
        }
    }

    fn note(&mut self, event_ms: f64) {
        let weight = match event_ms < self.uncontended_ms {
            true => UNCONTENDED_WEIGHTS.0,
            false => UNCONTENDED_WEIGHTS.1,
        };
        self.uncontended_ms += weight * (event_ms - self.uncontended_ms);
        let speed = (self.uncontended_ms / event_ms).min(1.0);
        self.speed += NEWEST_STREAM_WEIGHT * (speed - self.speed);
    }
}

/// Running requests.
#[derive(Clone, Copy, Debug, Default)]
struct RunMeter {
    held: f64,
    running: f64,
}

/// Local demand of one entry for a service.
#[derive(Clone, Copy, Debug, Default)]
struct DemandMeter {
    prefill: f64,
    /// Average of the running requests.
    average: RunMeter,
    /// Requests that run now.
    current: RunMeter,
    pace: Option<PaceMeter>,
    /// Share of the averages that covers the time before the first observation.
    unobserved: f64,
    at: ClockTime,
}

impl DemandMeter {
    fn new(now: ClockTime) -> DemandMeter {
        DemandMeter {
            unobserved: 1.0,
            at: now,
            ..DemandMeter::default()
        }
    }

    fn advance(&mut self, now: ClockTime) {
        let decay = decay_after(now.since(self.at), AVERAGING_TIME);
        let (average, current) = (self.average, self.current);
        self.prefill *= decay;
        self.unobserved *= decay;
        self.average = RunMeter {
            held: decayed(average.held, current.held, decay),
            running: decayed(average.running, current.running, decay),
        };
        self.at = now;
    }

    fn demand(&self) -> EngineDemand {
        let observed = (1.0 - self.unobserved).max(MIN_OBSERVED_SHARE);
        EngineDemand {
            prefill: self.prefill / observed,
            held: self.average.held / observed,
            running: self.average.running / observed,
            speed: self.pace.map(|pace| pace.speed),
        }
    }
}

/// Weight that an average keeps after `span` with the time constant `over`.
fn decay_after(span: TimeSpan, over: TimeSpan) -> f64 {
    (-(span.as_millis() as f64) / over.as_millis() as f64).exp()
}

/// Average with weight `decay` on `average` and the rest on `current`.
fn decayed(average: f64, current: f64, decay: f64) -> f64 {
    current + (average - current) * decay
}

#[derive(Clone, Copy, Debug)]
struct PeerDemand {
    at: ClockTime,
    demand: EngineDemand,
}

/// Demand of all entries as known to this one.
#[derive(Clone, Debug, Default)]
pub struct DemandTable {
    local: BTreeMap<ServiceName, DemandMeter>,
    reports: BTreeMap<(ServiceName, InstanceId), PeerDemand>,
    /// Sums of the failure domains whose entries do not report individually to this
    /// one.
    domains: BTreeMap<(ServiceName, FailureDomain), PeerDemand>,
}

impl DemandTable {
    /// Creates an empty table.
    pub fn new() -> DemandTable {
        DemandTable::default()
    }

    /// Records that a prefill with an estimated duration of `work_ms` was sent.
    pub fn prefill_sent(&mut self, now: ClockTime, service: &ServiceName, work_ms: f64) {
        let meter = self.meter(now, service);
        meter.prefill += work_ms / AVERAGING_TIME.as_millis() as f64;
    }

    /// Records that a request started to run; it takes the share `share` of an engine.
    pub fn run_started(&mut self, now: ClockTime, service: &ServiceName, share: f64) {
        let current = &mut self.meter(now, service).current;
        current.held += share;
        current.running += 1.0;
    }

    /// Records that a request no longer runs.
    pub fn run_ended(&mut self, now: ClockTime, service: &ServiceName, share: f64) {
        let current = &mut self.meter(now, service).current;
        current.held = (current.held - share).max(0.0);
        current.running = (current.running - 1.0).max(0.0);
    }

    /// Records the end of a stream whose events were `event_ms` apart on average.
    pub fn note_stream_pace(&mut self, now: ClockTime, service: &ServiceName, event_ms: f64) {
        let meter = self.meter(now, service);
        let pace = meter.pace.get_or_insert_with(|| PaceMeter::new(event_ms));
        pace.note(event_ms.max(1.0));
    }

    /// Demand of the requests of this entry, by service.
    pub fn local(&mut self, now: ClockTime) -> Vec<(ServiceName, EngineDemand)> {
        let meters = self.local.iter_mut().map(|(service, meter)| {
            meter.advance(now);
            (service.clone(), meter.demand())
        });
        meters.collect()
    }

    /// Records the demand that another entry reported.
    pub fn note_peer(
        &mut self,
        now: ClockTime,
        peer: &InstanceId,
        service: ServiceName,
        demand: EngineDemand,
    ) {
        let report = PeerDemand { at: now, demand };
        self.reports.insert((service, peer.clone()), report);
    }

    /// Records the summed demand of another failure domain that one of its entries
    /// reported.
    pub fn note_domain(
        &mut self,
        now: ClockTime,
        domain: &FailureDomain,
        service: ServiceName,
        demand: EngineDemand,
    ) {
        let report = PeerDemand { at: now, demand };
        self.domains.insert((service, domain.clone()), report);
    }

    /// Demand of this entry and of the entries that report to it individually, by
    /// service. Where only entries of the same failure domain do, it is the sum of the
    /// failure domain.
    pub fn directly_reported(&mut self, now: ClockTime) -> Vec<(ServiceName, EngineDemand)> {
        self.reports
            .retain(|_, report| now.since(report.at) < MAX_REPORT_AGE);
        let mut sums: BTreeMap<ServiceName, EngineDemand> = self.local(now).into_iter().collect();
        for ((service, _), report) in &self.reports {
            let sum = sums.entry(service.clone()).or_default();
            *sum = sum.plus(report.demand);
        }
        sums.into_iter().collect()
    }

    /// Demand of all entries for a service.
    pub fn total(&mut self, now: ClockTime, service: &ServiceName) -> EngineDemand {
        self.domains
            .retain(|_, report| now.since(report.at) < MAX_REPORT_AGE);
        let directly_reported = self.directly_reported(now);
        let directly_reported = directly_reported
            .into_iter()
            .find(|(name, _)| name == service);
        let directly_reported = directly_reported
            .map(|(_, demand)| demand)
            .unwrap_or_default();
        let domains = self.domains.iter().filter(|((name, _), _)| name == service);
        domains
            .map(|(_, report)| report.demand)
            .fold(directly_reported, EngineDemand::plus)
    }

    fn meter(&mut self, now: ClockTime, service: &ServiceName) -> &mut DemandMeter {
        if !self.local.contains_key(service) {
            self.local.insert(service.clone(), DemandMeter::new(now));
        }
        let meter = self.local.get_mut(service).expect("it was just inserted");
        meter.advance(now);
        meter
    }
}

/// A moving average whose averaging time grows with the time observed.
#[derive(Clone, Copy, Debug)]
pub struct SmoothedEstimate {
    value: f64,
    since: ClockTime,
    at: ClockTime,
}

impl SmoothedEstimate {
    /// Creates an estimate that starts with `initial`.
    pub fn new(now: ClockTime, initial: f64) -> SmoothedEstimate {
        SmoothedEstimate {
            value: initial,
            since: now,
            at: now,
        }
    }

    /// Updates the estimate with the current value.
    pub fn note(&mut self, now: ClockTime, value: f64) {
        let observed = now.since(self.since);
        let over = observed.max(SMOOTHING_TIME.0).min(SMOOTHING_TIME.1);
        let decay = decay_after(now.since(self.at), over);
        self.value = decayed(self.value, value, decay);
        self.at = now;
    }

    /// The current estimate.
    pub fn value(&self) -> f64 {
        self.value
    }
}
