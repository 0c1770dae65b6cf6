//! What a service's requests ask of its engines, as entries see it.
//!
//! Each entry measures the prefills that it sends and the requests that run for it,
//! in engines that they keep busy, and tells the others. The steward adds up what
//! all have told. A fleet that was divided by a fixed share would have too few
//! engines for long answers on one deployment and too few for long prompts on the
//! next; one notices by one stage's queues while the other's engines idle.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{FailureDomain, InstanceId, ServiceName},
};

/// Over how long demand is averaged: shorter than the swings that are worth a change
/// of stage, longer than the gaps between one entry's prompts.
const AVERAGED_OVER: TimeSpan = TimeSpan::from_millis(3_000);

/// The share of an average that has to have been seen before it is taken for the whole.
const LEAST_SEEN: f64 = 0.2;

/// How long another entry's word counts. An entry that is cut off from the steward
/// still has its callers.
const REPORT_LIFE: TimeSpan = TimeSpan::from_millis(15_000);

/// Over how long what is needed is averaged, at least and at most: the longer, the
/// more has been seen. The mix of requests swings within some ten seconds, and a change
/// of stage costs an engine some of them; following each swing costs more than it gains.
const SMOOTHING_TIME: (TimeSpan, TimeSpan) =
    (TimeSpan::from_millis(3_000), TimeSpan::from_millis(30_000));

/// The weight of the newest stream in the average speed.
const NEWEST_WEIGHT: f64 = 0.1;

/// How fast the unhindered pace follows streams that are faster, and slower. It is
/// close to the pace of the fastest few in a hundred.
const UNHINDERED_WEIGHTS: (f64, f64) = (0.1, 0.002);

/// What requests ask of engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct EngineDemand {
    /// Engines that would be busy with prefills all the time.
    pub prefill: f64,
    /// Engines whose slots or memory running requests would fill.
    pub held: f64,
    /// Requests that run.
    pub running: f64,
    /// How fast they run, compared with a request that has an engine for itself.
    /// None as long as no stream was seen to its end.
    pub speed: Option<f64>,
}

impl EngineDemand {
    fn plus(self, other: EngineDemand) -> EngineDemand {
        EngineDemand {
            prefill: self.prefill + other.prefill,
            held: self.held + other.held,
            running: self.running + other.running,
            speed: self.joint_speed(other),
        }
    }

    /// The speed of both, by how much runs.
    fn joint_speed(self, other: EngineDemand) -> Option<f64> {
        let (Some(one), Some(two)) = (self.speed, other.speed) else {
            return self.speed.or(other.speed);
        };
        let (first, second) = (self.running.max(0.01), other.running.max(0.01));
        Some((one * first + two * second) / (first + second))
    }

    /// The share of their speed that requests lose to the others that run on the same
    /// engines: 0 with an engine for each, close to 1 where an engine can't generate more.
    pub fn crowding(&self) -> f64 {
        self.speed.map_or(0.0, |speed| 1.0 - speed)
    }
}

/// How fast streams run.
#[derive(Clone, Copy, Debug)]
struct PaceMeter {
    /// The time between two events of a request that has an engine for itself, in ms.
    unhindered_ms: f64,
    /// The average speed, compared with that.
    speed: f64,
}

impl PaceMeter {
    fn new(event_ms: f64) -> PaceMeter {
        PaceMeter {
            unhindered_ms: event_ms,
            speed: 1.0,
        }
    }

    fn note(&mut self, event_ms: f64) {
        let weight = match event_ms < self.unhindered_ms {
            true => UNHINDERED_WEIGHTS.0,
            false => UNHINDERED_WEIGHTS.1,
        };
        self.unhindered_ms += weight * (event_ms - self.unhindered_ms);
        let speed = (self.unhindered_ms / event_ms).min(1.0);
        self.speed += NEWEST_WEIGHT * (speed - self.speed);
    }
}

/// What runs.
#[derive(Clone, Copy, Debug, Default)]
struct RunMeter {
    held: f64,
    running: f64,
}

/// One entry's own demand for a service.
#[derive(Clone, Copy, Debug, Default)]
struct DemandMeter {
    prefill: f64,
    /// The average of what runs.
    average: RunMeter,
    /// What runs at the moment.
    present: RunMeter,
    pace: Option<PaceMeter>,
    /// The share of the averages that is of the time before anything was seen.
    unseen: f64,
    at: ClockTime,
}

impl DemandMeter {
    fn new(now: ClockTime) -> DemandMeter {
        DemandMeter {
            unseen: 1.0,
            at: now,
            ..DemandMeter::default()
        }
    }

    fn advance(&mut self, now: ClockTime) {
        let kept = kept(now.since(self.at), AVERAGED_OVER);
        let (average, present) = (self.average, self.present);
        self.prefill *= kept;
        self.unseen *= kept;
        self.average = RunMeter {
            held: averaged(average.held, present.held, kept),
            running: averaged(average.running, present.running, kept),
        };
        self.at = now;
    }

    fn demand(&self) -> EngineDemand {
        let seen = (1.0 - self.unseen).max(LEAST_SEEN);
        EngineDemand {
            prefill: self.prefill / seen,
            held: self.average.held / seen,
            running: self.average.running / seen,
            speed: self.pace.map(|pace| pace.speed),
        }
    }
}

/// The share of an average that is left after `span`.
fn kept(span: TimeSpan, over: TimeSpan) -> f64 {
    (-(span.as_millis() as f64) / over.as_millis() as f64).exp()
}

/// An average of which `kept` is left, and the rest is `present`.
fn averaged(average: f64, present: f64, kept: f64) -> f64 {
    present + (average - present) * kept
}

#[derive(Clone, Copy, Debug)]
struct PeerDemand {
    at: ClockTime,
    demand: EngineDemand,
}

/// The demand of all entries, as this one knows it.
#[derive(Clone, Debug, Default)]
pub struct DemandTable {
    local: BTreeMap<ServiceName, DemandMeter>,
    reports: BTreeMap<(ServiceName, InstanceId), PeerDemand>,
    /// Sums of failure domains whose entries are not heard one by one.
    domains: BTreeMap<(ServiceName, FailureDomain), PeerDemand>,
}

impl DemandTable {
    /// Nothing known.
    pub fn new() -> DemandTable {
        DemandTable::default()
    }

    /// A prefill of `work_ms` was sent.
    pub fn prefill_sent(&mut self, now: ClockTime, service: &ServiceName, work_ms: f64) {
        let meter = self.meter(now, service);
        meter.prefill += work_ms / AVERAGED_OVER.as_millis() as f64;
    }

    /// A request began to run; it takes `share` of an engine.
    pub fn run_started(&mut self, now: ClockTime, service: &ServiceName, share: f64) {
        let present = &mut self.meter(now, service).present;
        present.held += share;
        present.running += 1.0;
    }

    /// A request no longer runs.
    pub fn run_ended(&mut self, now: ClockTime, service: &ServiceName, share: f64) {
        let present = &mut self.meter(now, service).present;
        present.held = (present.held - share).max(0.0);
        present.running = (present.running - 1.0).max(0.0);
    }

    /// A stream came to its end; its events came `event_ms` apart on average.
    pub fn note_stream_pace(&mut self, now: ClockTime, service: &ServiceName, event_ms: f64) {
        let meter = self.meter(now, service);
        let pace = meter.pace.get_or_insert_with(|| PaceMeter::new(event_ms));
        pace.note(event_ms.max(1.0));
    }

    /// What this entry's requests ask for, by service.
    pub fn local(&mut self, now: ClockTime) -> Vec<(ServiceName, EngineDemand)> {
        let meters = self.local.iter_mut().map(|(service, meter)| {
            meter.advance(now);
            (service.clone(), meter.demand())
        });
        meters.collect()
    }

    /// Another entry told what its requests ask for.
    pub fn note_peer(
        &mut self,
        now: ClockTime,
        peer: &InstanceId,
        service: ServiceName,
        demand: EngineDemand,
    ) {
        let reports = PeerDemand { at: now, demand };
        self.reports.insert((service, peer.clone()), reports);
    }

    /// An entry of another failure domain told what all entries there ask for.
    pub fn note_domain(
        &mut self,
        now: ClockTime,
        domain: &FailureDomain,
        service: ServiceName,
        demand: EngineDemand,
    ) {
        let reports = PeerDemand { at: now, demand };
        self.domains.insert((service, domain.clone()), reports);
    }

    /// What this entry and those that it hears ask for, by service: the sum of its
    /// failure domain where only the entries there are heard one by one.
    pub fn direct(&mut self, now: ClockTime) -> Vec<(ServiceName, EngineDemand)> {
        self.reports
            .retain(|_, reports| now.since(reports.at) < REPORT_LIFE);
        let mut sums: BTreeMap<ServiceName, EngineDemand> = self.local(now).into_iter().collect();
        for ((service, _), reports) in &self.reports {
            let sum = sums.entry(service.clone()).or_default();
            *sum = sum.plus(reports.demand);
        }
        sums.into_iter().collect()
    }

    /// What all entries ask for of a service.
    pub fn total(&mut self, now: ClockTime, service: &ServiceName) -> EngineDemand {
        self.domains
            .retain(|_, reports| now.since(reports.at) < REPORT_LIFE);
        let heard = self.direct(now);
        let heard = heard.into_iter().find(|(name, _)| name == service);
        let heard = heard.map(|(_, demand)| demand).unwrap_or_default();
        let domains = self.domains.iter().filter(|((name, _), _)| name == service);
        domains
            .map(|(_, reports)| reports.demand)
            .fold(heard, EngineDemand::plus)
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

/// An average that settles with the time that was seen.
#[derive(Clone, Copy, Debug)]
pub struct SmoothedEstimate {
    figure: f64,
    since: ClockTime,
    at: ClockTime,
}

impl SmoothedEstimate {
    /// Begins with a guess.
    pub fn new(now: ClockTime, guess: f64) -> SmoothedEstimate {
        SmoothedEstimate {
            figure: guess,
            since: now,
            at: now,
        }
    }

    /// Takes the figure of now.
    pub fn note(&mut self, now: ClockTime, figure: f64) {
        let seen = now.since(self.since);
        let over = seen.max(SMOOTHING_TIME.0).min(SMOOTHING_TIME.1);
        let kept = kept(now.since(self.at), over);
        self.figure = averaged(self.figure, figure, kept);
        self.at = now;
    }

    /// What to reckon with.
    pub fn figure(&self) -> f64 {
        self.figure
    }
}
