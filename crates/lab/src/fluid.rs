//! A fleet as the fleet planner reads it: endpoints that start slowly and may be
//! reclaimed, and work that arrives, in steps of a second.

use std::collections::BTreeMap;

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    fleet::{
        EndpointStage, FleetEndpoint, FleetInputs, FleetSettings, PlannedChange, ServiceNeed,
        WorkDemand,
    },
    ids::{EndpointId, FailureDomain, ServiceName},
    records::CapacityKind,
    units::WorkCost,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Seconds of a run: four hours that stand for a day.
pub const LENGTH: u64 = 4 * 3_600;
/// How long an endpoint takes to start, weights included.
const START_TIME: TimeSpan = TimeSpan::from_secs(60);
/// How often the plan is made.
const PLAN_PERIOD: u64 = 5;
/// How far back the recent peak looks, in seconds.
const PEAK_WINDOW: u64 = 900;
/// Work of an endpoint in a second, in milliseconds.
const ENDPOINT_WORK: f64 = 1_000.0;
/// Up to this share of its time an endpoint answers in time.
const IN_TIME: f64 = 0.95;

/// A closure that plans the fleet.
pub type FleetPick = Box<dyn FnMut(ClockTime, &FleetInputs) -> Vec<PlannedChange>>;

/// What a run measured.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetResult {
    /// What the fleet cost, in reserved endpoints on average.
    pub cost: f64,
    /// Percent of the urgent work that was late.
    pub late: f64,
    /// Percent of the urgent work that was late within two minutes of a reclaim.
    pub late_after_reclaim: f64,
    /// Percent of the work that ran on preemptible endpoints.
    pub cheap_share: f64,
    /// Percent of the deferrable work that waited longer than a minute.
    pub deferred: f64,
    /// Endpoints started.
    pub starts: u64,
}

/// The work of a day, drawn from a seed.
#[derive(Clone, Debug)]
pub struct FleetDay {
    /// Failure domains.
    pub domains: Vec<FailureDomain>,
    /// Work at each second.
    pub demand: Vec<WorkDemand>,
    /// Reclaims: when, and in which failure domain.
    pub reclaims: Vec<(u64, usize)>,
    /// When no preemptible endpoints are to be had anywhere.
    pub unavailable: (u64, u64),
}

impl FleetDay {
    /// A day whose work keeps `peak` endpoints busy at its height, `deferrable`
    /// percent of it deferrable.
    pub fn new(peak: f64, deferrable: f64, seed: u64) -> FleetDay {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut swing = 1.0;
        let demand = (0..LENGTH).map(|second| {
            if second % 180 == 0 {
                swing = random.random_range(0.75..1.1);
            }
            let day = second as f64 / LENGTH as f64 * std::f64::consts::TAU;
            let level = (0.6 - 0.4 * day.cos()) * swing * random.random_range(0.95..1.05);
            let work = |share: f64| WorkCost::new((peak * level * share * ENDPOINT_WORK) as u64);
            WorkDemand {
                reserved_only: work(0.15),
                interactive: work(0.85 - deferrable / 100.0),
                deferrable: work(deferrable / 100.0),
            }
        });
        let demand = demand.collect();
        let reclaims = (1..6)
            .map(|part| {
                (
                    part * LENGTH / 6 + random.random_range(0..900),
                    random.random_range(0..3),
                )
            })
            .collect();
        let domain = |name: &str| FailureDomain::new(name).expect("the name is an identifier");
        FleetDay {
            domains: ["a", "b", "c"].into_iter().map(domain).collect(),
            demand,
            reclaims,
            unavailable: (LENGTH / 2, LENGTH / 2 + 1_200),
        }
    }

    fn peak(&self, second: u64) -> WorkDemand {
        let from = second.saturating_sub(PEAK_WINDOW) as usize;
        let seen = &self.demand[from..=second as usize];
        seen.iter()
            .fold(WorkDemand::default(), |peak, demand| peak.max(*demand))
    }
}

struct FleetState {
    endpoints: Vec<FleetEndpoint>,
    lost: BTreeMap<FailureDomain, ClockTime>,
    next: u64,
    backlog: f64,
    result: FleetResult,
    work: f64,
    urgent: f64,
    late: f64,
    urgent_after: f64,
    late_after: f64,
    cheap: f64,
    deferrable: f64,
    deferred: f64,
}

/// Runs a day under a plan.
pub fn run_day(day: &FleetDay, settings: &FleetSettings, mut plan: FleetPick) -> FleetResult {
    let service = ServiceName::new("assistant").expect("the name is an identifier");
    let mut state = FleetState::new();
    for second in 0..LENGTH {
        let now = ClockTime::from_millis(second * 1_000);
        state.start_ready(now);
        let reclaimed = day.reclaims.iter().filter(|(at, _)| *at == second);
        for (_, domain) in reclaimed {
            state.reclaim(now, &day.domains[*domain]);
        }
        if second % PLAN_PERIOD == 0 {
            let inputs = FleetInputs {
                failure_domains: day.domains.clone(),
                needs: vec![ServiceNeed {
                    service: service.clone(),
                    now: day.demand[second as usize],
                    recent_peak: day.peak(second),
                }],
                endpoints: state.endpoints.clone(),
                preemptible_lost: state.lost.clone(),
            };
            let available = !(day.unavailable.0..day.unavailable.1).contains(&second);
            for change in plan(now, &inputs) {
                state.change(now, change, available);
            }
        }
        let after = |(at, _): &(u64, usize)| (*at..*at + 120).contains(&second);
        let after_reclaim = day.reclaims.iter().any(after);
        state.serve(day.demand[second as usize], settings, after_reclaim);
    }
    state.finish()
}

impl FleetState {
    fn new() -> FleetState {
        FleetState {
            endpoints: Vec::new(),
            lost: BTreeMap::new(),
            next: 0,
            backlog: 0.0,
            result: FleetResult::default(),
            work: 0.0,
            urgent: 0.0,
            late: 0.0,
            urgent_after: 0.0,
            late_after: 0.0,
            cheap: 0.0,
            deferrable: 0.0,
            deferred: 0.0,
        }
    }

    fn start_ready(&mut self, now: ClockTime) {
        // The first fleet is there when the day begins.
        let started = |e: &FleetEndpoint| {
            now.since(e.since) >= START_TIME || e.since < ClockTime::from_millis(60_000)
        };
        for endpoint in &mut self.endpoints {
            if endpoint.stage == EndpointStage::Starting && started(endpoint) {
                endpoint.stage = EndpointStage::Ready;
            }
        }
    }

    fn reclaim(&mut self, now: ClockTime, domain: &FailureDomain) {
        self.endpoints
            .retain(|e| e.capacity == CapacityKind::Reserved || e.failure_domain != *domain);
        self.lost.insert(domain.clone(), now);
    }

    fn change(&mut self, now: ClockTime, change: PlannedChange, available: bool) {
        match change {
            PlannedChange::Start {
                service,
                failure_domain,
                capacity,
                ..
            } => {
                if capacity == CapacityKind::Preemptible && !available {
                    self.lost.insert(failure_domain, now);
                    return;
                }
                self.next += 1;
                self.result.starts += 1;
                self.endpoints.push(FleetEndpoint {
                    endpoint: EndpointId::new(format!("e{}", self.next)).expect("an identifier"),
                    service,
                    failure_domain,
                    capacity,
                    stage: EndpointStage::Starting,
                    since: now,
                });
            }
            PlannedChange::Stop { endpoint, .. } => {
                self.endpoints.retain(|known| known.endpoint != endpoint);
            }
        }
    }

    fn serve(&mut self, demand: WorkDemand, settings: &FleetSettings, after_reclaim: bool) {
        let ready = |capacity| {
            let counts =
                |e: &&FleetEndpoint| e.capacity == capacity && e.stage == EndpointStage::Ready;
            self.endpoints.iter().filter(counts).count() as f64 * ENDPOINT_WORK * IN_TIME
        };
        let (mut reserved, mut cheap) = (
            ready(CapacityKind::Reserved),
            ready(CapacityKind::Preemptible),
        );
        let once = demand.reserved_only.count() as f64;
        let interactive = demand.interactive.count() as f64;
        let deferrable = demand.deferrable.count() as f64;
        let once_done = once.min(reserved);
        reserved -= once_done;
        self.backlog += deferrable;
        // Deferrable work goes to the cheaper kind first, interactive work to
        // what is reserved.
        let interactive_reserved = interactive.min(reserved);
        reserved -= interactive_reserved;
        let interactive_cheap = (interactive - interactive_reserved).min(cheap);
        cheap -= interactive_cheap;
        let deferrable_cheap = self.backlog.min(cheap);
        let deferrable_reserved = (self.backlog - deferrable_cheap).min(reserved);
        self.backlog -= deferrable_cheap + deferrable_reserved;
        let late = once + interactive - once_done - interactive_reserved - interactive_cheap;
        self.urgent += once + interactive;
        self.late += late;
        if after_reclaim {
            self.urgent_after += once + interactive;
            self.late_after += late;
        }
        self.deferrable += deferrable;
        // More than a minute's worth that waits has waited for a minute.
        if self.backlog > deferrable * 60.0 {
            self.deferred += deferrable;
        }
        self.work += once + interactive + deferrable - late;
        self.cheap += interactive_cheap + deferrable_cheap;
        let price = settings.preemptible_price as f64 / 100.0;
        let cost = |e: &FleetEndpoint| match e.capacity {
            CapacityKind::Reserved => 1.0,
            CapacityKind::Preemptible => price,
        };
        self.result.cost += self.endpoints.iter().map(cost).sum::<f64>() / LENGTH as f64;
    }

    fn finish(self) -> FleetResult {
        let percent = |part: f64, whole: f64| part * 100.0 / whole.max(1.0);
        FleetResult {
            late: percent(self.late, self.urgent),
            late_after_reclaim: percent(self.late_after, self.urgent_after),
            cheap_share: percent(self.cheap, self.work),
            deferred: percent(self.deferred, self.deferrable),
            ..self.result
        }
    }
}
