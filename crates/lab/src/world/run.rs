//! The loop of a run.

mod attempts;
mod periodic;

use std::collections::BTreeSet;

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{EndpointId, RequestId},
    records::{CapacityKind, EngineRole},
    roles::DemandEstimator,
    routing::EndpointEntry,
};

use crate::{
    engine::{EngineFake, EngineSpeed},
    policy::{LabPolicy, RolePick},
    scenario::{CallerRequest, LabScenario, WorldEvent},
    world::{EntryFake, RequestEnd, RunResult, model_pool},
};

/// The step of virtual time.
const TICK: TimeSpan = TimeSpan::from_millis(10);
/// How long it takes until all entries have learnt that an endpoint is gone.
const LIST_LAG: TimeSpan = TimeSpan::from_secs(5);
/// The notice of a reclaim.
const RECLAIM_NOTICE: TimeSpan = TimeSpan::from_secs(3);
/// The speed of all engines.
pub const SPEED: EngineSpeed = EngineSpeed {
    prefill: 8_000.0,
    decode: 1_500.0,
    batch: 24,
    prefixes: 10,
};

#[derive(Clone, Debug, PartialEq, Eq)]
enum RequestPhase {
    Queued,
    Waiting { engine: usize },
    HandedOver { from: usize, to: usize },
    Answering { engine: usize },
    Ended,
}

#[derive(Clone, Debug)]
struct RequestState {
    entry: usize,
    phase: RequestPhase,
    attempts: u32,
    excluded: Vec<EndpointId>,
    answered_at: Option<ClockTime>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum LateStep {
    Patience(usize),
    Handover(usize),
    Retry(usize),
    Crash(usize),
    Unlist(usize),
    NewRole(usize),
}

struct EngineView {
    leaving: bool,
    listed: bool,
    changing_to: Option<EngineRole>,
    changed_at: Option<ClockTime>,
}

struct LabRun<'a> {
    scenario: &'a LabScenario,
    requests: Vec<CallerRequest>,
    states: Vec<RequestState>,
    entries: Vec<EntryFake>,
    engines: Vec<EngineFake>,
    views: Vec<EngineView>,
    steps: BTreeSet<(ClockTime, LateStep)>,
    demand: DemandEstimator,
    cached_share: f64,
    roles: RolePick,
    policy: &'a LabPolicy,
    result: RunResult,
    seed: u64,
}

/// Runs a scenario under a policy. The same seed gives the same callers to every
/// policy.
pub fn run(scenario: &LabScenario, policy: &LabPolicy, seed: u64) -> RunResult {
    let mut lab = LabRun::new(scenario, policy, seed);
    let mut now = ClockTime::default();
    let end = now + scenario.length + TimeSpan::from_secs(30);
    let (mut next_request, mut next_event) = (0, 0);
    lab.publish_endpoints(now);
    while now < end {
        while let Some((_, event)) = scenario.events.get(next_event).filter(|e| e.0 <= now) {
            lab.happen(now, *event);
            next_event += 1;
        }
        lab.tell(now);
        while lab.requests.get(next_request).is_some_and(|r| r.at <= now) {
            lab.arrive(now, next_request);
            next_request += 1;
        }
        lab.late_steps(now);
        lab.work(now);
        now = now + TICK;
    }
    lab.result
}

fn engine_id(index: usize) -> EndpointId {
    EndpointId::new(format!("engine-{index}")).expect("the name is an identifier")
}

fn engine_index(id: &EndpointId) -> usize {
    let number = id.as_str().trim_start_matches("engine-");
    number.parse().expect("an engine's name ends in its index")
}

fn request_id(number: usize) -> RequestId {
    RequestId::new(format!("r{number}")).expect("the name is an identifier")
}

fn request_number(id: &RequestId) -> usize {
    id.as_str()[1..]
        .parse()
        .expect("a request's name is its number")
}

impl<'a> LabRun<'a> {
    fn new(scenario: &'a LabScenario, policy: &'a LabPolicy, seed: u64) -> LabRun<'a> {
        let requests = scenario.requests(seed);
        let state = |request: &CallerRequest| RequestState {
            entry: request.entry_draw % scenario.entries,
            phase: RequestPhase::Queued,
            attempts: 0,
            excluded: Vec::new(),
            answered_at: None,
        };
        let role = |index: usize| policy.first_roles.get(index).copied().unwrap_or_default();
        let count = scenario.engines.len();
        let view = |_| EngineView {
            leaving: false,
            listed: true,
            changing_to: None,
            changed_at: None,
        };
        LabRun {
            states: requests.iter().map(state).collect(),
            entries: (0..scenario.entries)
                .map(|i| EntryFake::new(i, scenario.domain_of(i).clone(), policy, seed))
                .collect(),
            engines: (0..count)
                .map(|i| EngineFake::new(SPEED, role(i)))
                .collect(),
            views: (0..count).map(view).collect(),
            steps: BTreeSet::new(),
            demand: DemandEstimator::new(),
            cached_share: 0.5,
            roles: policy.roles.pick(),
            result: RunResult::new(scenario.organisations.len(), count, scenario.length),
            scenario,
            requests,
            policy,
            seed,
        }
    }

    fn endpoint(&self, index: usize) -> EndpointEntry {
        EndpointEntry {
            endpoint: engine_id(index),
            pool: model_pool(),
            failure_domain: self.scenario.domain_of(index).clone(),
            capacity: self.scenario.engines[index],
            role: self.engines[index].role,
            ready: self.views[index].listed,
            leaving: self.views[index].leaving,
        }
    }

    fn publish_endpoints(&mut self, now: ClockTime) {
        for index in 0..self.engines.len() {
            self.publish(now, index);
        }
    }

    fn publish(&mut self, now: ClockTime, index: usize) {
        let endpoint = self.endpoint(index);
        for entry in &mut self.entries {
            entry.router.set_endpoint(now, endpoint.clone());
        }
    }

    fn happen(&mut self, now: ClockTime, event: WorldEvent) {
        match event {
            WorldEvent::EngineLost(index) => {
                self.crash(now, index);
                self.steps.insert((now + LIST_LAG, LateStep::Unlist(index)));
            }
            WorldEvent::EngineBack(index) => self.bring_back(now, index),
            WorldEvent::Reclaimed(domain) => {
                for index in self.preemptible_in(domain) {
                    self.views[index].leaving = true;
                    self.publish(now, index);
                    let gone = now + RECLAIM_NOTICE;
                    self.steps.insert((gone, LateStep::Crash(index)));
                    self.steps.insert((gone, LateStep::Unlist(index)));
                }
            }
            WorldEvent::Restored(domain) => {
                for index in self.preemptible_in(domain) {
                    self.bring_back(now, index);
                }
            }
            WorldEvent::EntryLost(index) => self.lose_entry(now, index),
            WorldEvent::EntryBack(index) => {
                let domain = self.scenario.domain_of(index).clone();
                self.entries[index] = EntryFake::new(index, domain, self.policy, self.seed + 77);
                for engine in 0..self.engines.len() {
                    let endpoint = self.endpoint(engine);
                    self.entries[index].router.set_endpoint(now, endpoint);
                }
            }
        }
    }

    fn preemptible_in(&self, domain: usize) -> Vec<usize> {
        let name = &self.scenario.failure_domains[domain];
        (0..self.engines.len())
            .filter(|index| self.scenario.engines[*index] == CapacityKind::Preemptible)
            .filter(|index| self.scenario.domain_of(*index) == name)
            .collect()
    }

    fn bring_back(&mut self, now: ClockTime, index: usize) {
        self.engines[index].alive = true;
        self.views[index].listed = true;
        self.views[index].leaving = false;
        self.publish(now, index);
    }

    fn crash(&mut self, now: ClockTime, index: usize) {
        for number in self.engines[index].crash() {
            self.fail(now, number, index);
        }
    }

    fn lose_entry(&mut self, now: ClockTime, index: usize) {
        self.entries[index].alive = false;
        let instance = self.entries[index].instance.clone();
        for entry in &mut self.entries {
            entry.router.forget_peer(&instance);
        }
        for number in 0..self.states.len() {
            let state = &self.states[number];
            if state.entry != index || state.phase == RequestPhase::Ended {
                continue;
            }
            if self.requests[number].at >= now {
                continue;
            }
            for engine in &mut self.engines {
                engine.cancel(number);
            }
            self.end(number, RequestEnd::Cut);
        }
    }

    fn late_steps(&mut self, now: ClockTime) {
        while let Some((due, step)) = self.steps.first().copied() {
            if due > now {
                return;
            }
            self.steps.remove(&(due, step));
            match step {
                LateStep::Patience(number) => self.lose_patience(now, number),
                LateStep::Handover(number) => self.hand_over(now, number),
                LateStep::Retry(number) => {
                    if self.states[number].phase == RequestPhase::Queued {
                        self.send(now, number);
                    }
                }
                LateStep::Crash(index) => self.crash(now, index),
                LateStep::Unlist(index) => {
                    self.views[index].listed = self.engines[index].alive;
                    self.publish(now, index);
                }
                LateStep::NewRole(index) => self.take_role(now, index),
            }
        }
    }

    fn work(&mut self, now: ClockTime) {
        for index in 0..self.engines.len() {
            for event in self.engines[index].tick(TICK) {
                self.engine_event(now, index, event);
            }
        }
    }
}
