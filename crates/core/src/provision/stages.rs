//! Which engines prefill and which run requests.
//!
//! An engine that prefills stretches the pauses of the streams that it runs: each
//! of their tokens waits for a piece of a prompt. With the stages apart, no stream
//! waits for a prompt. How many engines each stage needs follows from the work that
//! entries see, and changes with it; each change takes an engine away for seconds.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{
    clock::{ClockTime, TimeSpan},
    directory::{EndpointRegistration, EngineStage},
    ids::{EndpointId, FailureDomain},
    ingress::EngineRule,
    provision::{EngineDemand, ProvisionStep, demand::SmoothedEstimate},
};

/// The share of its time that an engine may prefill at most before engines that run
/// requests are given up for it: beyond it prompts wait longer than they take.
const PREFILL_USE: f64 = 0.6;

/// How far an engine is to be crowded by what runs on it. The number of tokens that
/// engines generate grows ever less with more requests at once; near the end of that
/// a burst finds no slot anywhere.
const CROWDING_USE: f64 = 0.38;

/// The share of its slots or memory that an engine is to have running.
const HELD_USE: f64 = 0.5;

/// The share of the engines that runs requests as long as nothing is known.
const FIRST_RUN_SHARE: f64 = 0.3;

/// From how many running requests on their speed says something.
const KNOWN_FROM: f64 = 2.0;

/// By what share of what was planned the need has to go beyond a whole number of engines
/// before the number is changed.
const MARGIN: f64 = 0.1;
/// By how many engines it has to at least.
const LEAST_MARGIN: f64 = 0.1;

/// The share of a service's engines that may change their stage at a time.
const SWITCHING_SHARE: f64 = 0.34;

/// How long an engine is left alone after an order, beyond the time it takes: it
/// first lets its running work come to an end.
const SWITCH_SLACK: TimeSpan = TimeSpan::from_millis(5_000);

/// The stages of one service's engines.
#[derive(Clone, Debug, Default)]
pub struct StagePlan {
    /// How many engines of each failure domain are to run requests.
    runners: BTreeMap<FailureDomain, usize>,
    /// Engines that were ordered to change, and when.
    switching: BTreeMap<EndpointId, ClockTime>,
    /// What the work needs; none as long as too little was seen.
    learnt: Option<EstimatedNeeds>,
}

/// What was needed on average.
#[derive(Clone, Copy, Debug)]
struct EstimatedNeeds {
    prefill: SmoothedEstimate,
    run: SmoothedEstimate,
}

/// The engines of one failure domain.
#[derive(Clone, Debug, Default)]
struct DomainEngines<'a> {
    /// Those that are there; the ones that are to run requests come first.
    present: Vec<&'a EndpointRegistration>,
    /// How many there are to be.
    wanted: usize,
}

impl StagePlan {
    /// What the work needs; none as long as too little was seen.
    pub fn needs(&self) -> Option<StageNeeds> {
        self.learnt.map(|learnt| StageNeeds {
            prefill: learnt.prefill.figure(),
            run: learnt.run.figure(),
        })
    }

    /// How many engines of each failure domain are to run requests.
    pub fn decode_engines(&self) -> &BTreeMap<FailureDomain, usize> {
        &self.runners
    }

    /// Whether no engine is away to change its stage.
    pub fn is_settled(&self) -> bool {
        self.switching.is_empty()
    }

    /// An engine was ordered to change its stage.
    pub fn note_ordered(&mut self, now: ClockTime, engine: &EndpointId) {
        self.switching.insert(engine.clone(), now);
    }

    /// The changes to be ordered now. `wanted` says how many engines a failure domain
    /// is to have; more may be on their way.
    pub fn steps(
        &mut self,
        now: ClockTime,
        rule: &EngineRule,
        demand: EngineDemand,
        endpoints: &[&EndpointRegistration],
        wanted: &BTreeMap<FailureDomain, u32>,
    ) -> Vec<ProvisionStep> {
        let patience = rule.stage_switch + SWITCH_SLACK;
        self.switching.retain(|_, at| now.since(*at) < patience);
        let staged = endpoints
            .iter()
            .filter(|endpoint| endpoint.stage.is_some() && !endpoint.is_leaving);
        let staged: Vec<&EndpointRegistration> = staged.copied().collect();
        self.take_needs(now, demand, &staged);
        let domains = by_domain(&staged, wanted);
        self.plan_runners(&domains);
        let most = ((staged.len() as f64 * SWITCHING_SHARE).ceil() as usize).max(1);
        let mut room = most.saturating_sub(self.switching.len());
        let mut steps = Vec::new();
        for (domain, engines) in domains {
            let runners = self.runners.get(&domain).copied().unwrap_or(1);
            // One engine for each stage is the least, as long as there are two.
            let runners = runners.min(engines.present.len().saturating_sub(1)).max(1);
            for (place, engine) in engines.present.into_iter().enumerate() {
                let stage = match place < runners {
                    true => EngineStage::Decode,
                    false => EngineStage::Prefill,
                };
                let is_due =
                    engine.stage != Some(stage) && !self.switching.contains_key(&engine.id);
                if !is_due || room == 0 {
                    continue;
                }
                room -= 1;
                steps.push(ProvisionStep::Stage {
                    service: engine.service.clone(),
                    endpoint: engine.id.clone(),
                    stage,
                });
            }
        }
        steps
    }

    fn take_needs(
        &mut self,
        now: ClockTime,
        demand: EngineDemand,
        staged: &[&EndpointRegistration],
    ) {
        let runners = staged
            .iter()
            .filter(|engine| engine.stage == Some(EngineStage::Decode));
        let Some(needs) = StageNeeds::new(demand, runners.count()) else {
            return;
        };
        let learnt = self.learnt.get_or_insert_with(|| EstimatedNeeds {
            prefill: SmoothedEstimate::new(now, needs.prefill),
            run: SmoothedEstimate::new(now, staged.len() as f64 * FIRST_RUN_SHARE),
        });
        learnt.prefill.note(now, needs.prefill);
        learnt.run.note(now, needs.run);
    }

    /// Divides the engines that are to run requests among the failure domains, to each
    /// by its engines: one that is cut off has to serve its own callers with them.
    fn plan_runners(&mut self, domains: &BTreeMap<FailureDomain, DomainEngines<'_>>) {
        let total: usize = domains.values().map(|engines| engines.wanted).sum();
        let needed = self.needs().map(|needs| needs.runners(total));
        for (domain, engines) in domains {
            let share = engines.wanted as f64 / total.max(1) as f64;
            let planned = self.runners.get(domain).copied();
            let runners = match (planned, needed) {
                (Some(planned), Some(needed)) => replanned(planned, needed * share),
                _ => (engines.present.len() as f64 * FIRST_RUN_SHARE).round() as usize,
            };
            self.runners.insert(domain.clone(), runners.max(1));
        }
    }
}

/// How many engines of a failure domain are to run requests if `planned` were to and
/// `needed` are. A change takes engines away for seconds; a need that moves around the
/// border between two numbers must not cost one each time.
fn replanned(planned: usize, needed: f64) -> usize {
    let count = planned as f64;
    let margin = LEAST_MARGIN.max(count * MARGIN);
    let is_enough = needed <= count + margin;
    let is_too_many = needed < count - 1.0 - margin;
    match is_enough && !is_too_many {
        true => planned,
        false => needed.ceil() as usize,
    }
}

/// How many engines the work needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct StageNeeds {
    /// Engines that prefill, at the most use that is allowed.
    pub prefill: f64,
    /// Engines that run requests.
    pub run: f64,
}

impl StageNeeds {
    /// What `demand` needs, seen while `runners` engines ran requests. Nothing as
    /// long as too little runs to tell.
    fn new(demand: EngineDemand, runners: usize) -> Option<StageNeeds> {
        if demand.running < KNOWN_FROM || demand.speed.is_none() {
            return None;
        }
        let crowded = demand.crowding() * runners as f64 / CROWDING_USE;
        Some(StageNeeds {
            prefill: demand.prefill / PREFILL_USE,
            run: crowded.max(demand.held / HELD_USE),
        })
    }

    /// How many of `engines` are to run requests.
    ///
    /// Too few of them stop every stream at once, while prefills only wait longer; so
    /// they come first, unless there are too few engines for both.
    fn runners(self, engines: usize) -> f64 {
        let engines = engines as f64;
        let total = self.run + self.prefill;
        match total > engines {
            true => self.run * engines / total,
            false => self.run,
        }
    }
}

/// The engines of each failure domain: first those that run requests already, as a
/// change costs seconds, and of those the lasting ones.
fn by_domain<'a>(
    staged: &[&'a EndpointRegistration],
    wanted: &BTreeMap<FailureDomain, u32>,
) -> BTreeMap<FailureDomain, DomainEngines<'a>> {
    let mut domains: BTreeMap<FailureDomain, DomainEngines<'_>> = BTreeMap::new();
    for endpoint in staged {
        let engines = domains.entry(endpoint.domain.clone()).or_default();
        engines.present.push(endpoint);
    }
    for (domain, engines) in &mut domains {
        engines.present.sort_by_key(|engine| {
            let runs = engine.stage == Some(EngineStage::Decode);
            (!runs, engine.is_preemptible, engine.id.clone())
        });
        let wanted = wanted.get(domain).copied().unwrap_or_default();
        engines.wanted = engines.present.len().max(wanted as usize);
    }
    domains
}
