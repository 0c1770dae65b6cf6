//! Plans which engines prefill and which run requests.
//!
//! An engine that prefills delays the streams that it runs: each of their tokens waits
//! for a chunk of a prompt. With separate stages, no stream waits for a prompt. The
//! number of engines for each stage follows from the work that the entries measure, and
//! changes with it; each change makes an engine unavailable for seconds.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::{
    clock::{ClockTime, TimeSpan},
    directory::{EndpointRegistration, EngineStage, SoftwareVersion},
    ids::{EndpointId, FailureDomain},
    ingress::EngineRule,
    provision::{EngineDemand, ProvisionService, ProvisionStep, demand::SmoothedEstimate},
};

/// Maximum share of its time that an engine should prefill. Above it, prompts wait
/// longer than their prefill takes, and engines that run requests are changed to the
/// prefill stage.
const MAX_PREFILL_UTILISATION: f64 = 0.6;

/// Target contention of the engines that run requests. The rate at which an engine
/// generates tokens grows less and less with the number of its requests; close to the
/// limit, a burst finds no free slot on any engine.
const TARGET_CONTENTION: f64 = 0.38;

/// Target share of the slots or the memory of an engine that running requests take.
const TARGET_HELD_SHARE: f64 = 0.5;

/// Share of the engines that run requests as long as the demand is unknown.
const INITIAL_DECODE_SHARE: f64 = 0.3;

/// Engines per entry instance that are always given a stage. Further engines keep theirs
/// until a demand needs them, since a change of a stage costs as much as some requests earn.
const ENGINES_PER_ENTRY: usize = 4;

/// Maximum number of engines of a failure domain that are given a stage without a demand.
/// Each order has a price, and the number of engines does not say how many are needed.
const MAX_UNDEMANDED_ENGINES: usize = 128;

/// Engines of the prefill stage per engine that the prefills need, before further engines
/// keep their stage. Prompts arrive in bursts, and those that find an idle engine need not
/// wait.
const PREFILL_HEADROOM: f64 = 3.0;

/// Minimum number of running requests for which their speed is significant.
const MIN_RUNNING: f64 = 2.0;

/// Share of the planned number by which the need has to exceed a whole number of
/// engines before the plan changes.
const REPLAN_MARGIN: f64 = 0.1;
/// Minimum of this margin, in engines.
const MIN_REPLAN_MARGIN: f64 = 0.1;

/// Maximum share of the engines of a service that change their stage at the same time.
const MAX_SWITCHING_SHARE: f64 = 0.34;

/// Time beyond the duration of a stage change during which an engine gets no further
/// order: the engine first lets its running requests end.
const SWITCH_SLACK: TimeSpan = TimeSpan::from_millis(5_000);

/// Plan for the stages of the engines of one service.
#[derive(Clone, Debug, Default)]
pub struct StagePlan {
    /// Planned number of engines that run requests, by failure domain.
    decode_engines: BTreeMap<FailureDomain, usize>,
    /// Planned number of engines that prefill, by failure domain.
    prefill_engines: BTreeMap<FailureDomain, usize>,
    /// Engines that were ordered to change their stage, and the time of the order.
    switching: BTreeMap<EndpointId, ClockTime>,
    /// Estimated number of engines that each stage needs; `None` until enough was
    /// measured.
    estimated: Option<EstimatedNeeds>,
}

/// Smoothed numbers of engines that the stages need.
#[derive(Clone, Copy, Debug)]
struct EstimatedNeeds {
    prefill: SmoothedEstimate,
    run: SmoothedEstimate,
}

/// The engines of one failure domain.
#[derive(Clone, Debug, Default)]
struct DomainEngines<'a> {
    /// The registered engines; those that should run requests come first.
    present: Vec<&'a EndpointRegistration>,
    /// How many of them have to run requests, as no other engine of their version does.
    representatives: usize,
    /// Number of engines that there should be.
    desired: usize,
}

impl StagePlan {
    /// Estimated number of engines that each stage needs; `None` until enough was
    /// measured.
    pub fn needs(&self) -> Option<StageNeeds> {
        self.estimated.map(|estimated| StageNeeds {
            prefill: estimated.prefill.value(),
            run: estimated.run.value(),
        })
    }

    /// Planned number of engines that run requests, by failure domain.
    pub fn decode_engines(&self) -> &BTreeMap<FailureDomain, usize> {
        &self.decode_engines
    }

    /// Whether a change of the stage of `engine` is pending.
    pub fn is_switching(&self, engine: &EndpointId) -> bool {
        self.switching.contains_key(engine)
    }

    /// Records that an engine was ordered to change its stage.
    pub fn note_ordered(&mut self, now: ClockTime, engine: &EndpointId) {
        self.switching.insert(engine.clone(), now);
    }

    /// The stage changes to order now. `desired` is the number of engines that each
    /// failure domain should have; some of them may not have registered yet.
    pub fn steps(
        &mut self,
        now: ClockTime,
        service: ProvisionService<'_>,
        rule: &EngineRule,
        endpoints: &[&EndpointRegistration],
        desired: &BTreeMap<FailureDomain, u32>,
    ) -> Vec<ProvisionStep> {
        let timeout = rule.stage_switch + SWITCH_SLACK;
        self.switching.retain(|_, at| now.since(*at) < timeout);
        let staged = endpoints
            .iter()
            .filter(|endpoint| endpoint.stage.is_some() && !endpoint.is_leaving);
        let mut staged: Vec<&EndpointRegistration> = staged.copied().collect();
        self.update_needs(now, service.demand, &staged);
        // A limited engine keeps its stage, as a change would take the rest of its capacity.
        staged.retain(|engine| !service.limited.contains(&engine.id));
        let domains = group_by_domain(&staged, desired);
        self.plan_engines(&domains, service.entries);
        let max_switching = ((staged.len() as f64 * MAX_SWITCHING_SHARE).ceil() as usize).max(1);
        let mut remaining = max_switching.saturating_sub(self.switching.len());
        let mut steps = Vec::new();
        for (domain, engines) in domains {
            let decode_engines = self.decode_engines.get(&domain).copied().unwrap_or(1);
            // At least one engine for each stage, if there are two engines.
            let decode_engines = decode_engines
                .min(engines.present.len().saturating_sub(1))
                .max(engines.representatives)
                .max(1);
            let prefill_engines = self.prefill_engines.get(&domain).copied();
            let other_engines = engines.present.len() - decode_engines;
            let prefill_engines = prefill_engines.unwrap_or(1).min(other_engines);
            let first_prefill = engines.present.len() - prefill_engines;
            for (index, engine) in engines.present.into_iter().enumerate() {
                let stage = match index {
                    index if index < decode_engines => EngineStage::Decode,
                    index if index >= first_prefill => EngineStage::Prefill,
                    _ => continue,
                };
                let is_due =
                    engine.stage != Some(stage) && !self.switching.contains_key(&engine.id);
                if !is_due || remaining == 0 {
                    continue;
                }
                remaining -= 1;
                steps.push(ProvisionStep::Stage {
                    service: engine.service.clone(),
                    endpoint: engine.id.clone(),
                    stage,
                });
            }
        }
        steps
    }

    fn update_needs(
        &mut self,
        now: ClockTime,
        demand: EngineDemand,
        staged: &[&EndpointRegistration],
    ) {
        let decode_engines = staged
            .iter()
            .filter(|engine| engine.stage == Some(EngineStage::Decode));
        let Some(needs) = StageNeeds::new(demand, decode_engines.count()) else {
            return;
        };
        let estimated = self.estimated.get_or_insert_with(|| EstimatedNeeds {
            prefill: SmoothedEstimate::new(now, needs.prefill),
            run: SmoothedEstimate::new(now, staged.len() as f64 * INITIAL_DECODE_SHARE),
        });
        estimated.prefill.note(now, needs.prefill);
        estimated.run.note(now, needs.run);
    }

    /// Divides the engines of both stages among the failure domains in proportion to their
    /// engines, because a partitioned domain has to serve its own callers with them.
    fn plan_engines(
        &mut self,
        domains: &BTreeMap<FailureDomain, DomainEngines<'_>>,
        entries: usize,
    ) {
        let total: usize = domains.values().map(|engines| engines.desired).sum();
        let needs = self.needs();
        let needed = needs.map(|needs| needs.decode_engines(total));
        let staged = (entries * ENGINES_PER_ENTRY).min(total) as f64;
        for (domain, engines) in domains {
            let share = engines.desired as f64 / total.max(1) as f64;
            let planned = self.decode_engines.get(domain).copied();
            let decode_engines = match (planned, needed) {
                (Some(planned), Some(needed)) => replanned(planned, needed * share),
                _ => {
                    let staged_here = engines.present.len() as f64 * staged / total.max(1) as f64;
                    (staged_here * INITIAL_DECODE_SHARE).round() as usize
                }
            };
            let decode_engines = decode_engines.max(1);
            let staged_here = ((staged * share).ceil() as usize).min(MAX_UNDEMANDED_ENGINES);
            let needed_here = needs.map_or(0.0, |needs| PREFILL_HEADROOM * needs.prefill * share);
            let prefill_engines = staged_here.saturating_sub(decode_engines);
            let prefill_engines = prefill_engines.max(needed_here.ceil() as usize).max(1);
            self.decode_engines.insert(domain.clone(), decode_engines);
            self.prefill_engines.insert(domain.clone(), prefill_engines);
        }
    }
}

/// Number of engines of a failure domain that should run requests when `planned` were
/// planned and `needed` are needed. A change makes engines unavailable for seconds, so
/// a need that moves around the border between two numbers must not cause a change each
/// time.
fn replanned(planned: usize, needed: f64) -> usize {
    let count = planned as f64;
    let margin = MIN_REPLAN_MARGIN.max(count * REPLAN_MARGIN);
    let is_enough = needed <= count + margin;
    let is_too_many = needed < count - 1.0 - margin;
    match is_enough && !is_too_many {
        true => planned,
        false => needed.ceil() as usize,
    }
}

/// Number of engines that the stages need.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct StageNeeds {
    /// Engines that prefill, at their maximum utilisation.
    pub prefill: f64,
    /// Engines that run requests.
    pub run: f64,
}

impl StageNeeds {
    /// Number of engines that `demand` needs, measured while `decode_engines` engines
    /// ran requests. `None` if too little runs for an estimate.
    pub(super) fn new(demand: EngineDemand, decode_engines: usize) -> Option<StageNeeds> {
        if demand.running < MIN_RUNNING || demand.speed.is_none() {
            return None;
        }
        let by_contention = demand.contention() * decode_engines as f64 / TARGET_CONTENTION;
        // Requests that have an engine each don't contend, whatever their speed.
        let by_contention = by_contention.min(demand.running);
        Some(StageNeeds {
            prefill: demand.prefill / MAX_PREFILL_UTILISATION,
            run: by_contention.max(demand.held / TARGET_HELD_SHARE),
        })
    }

    /// Number of the `engines` that should run requests.
    ///
    /// Too few of these engines slow down all streams at once, while too few engines
    /// that prefill only make prompts wait longer. The engines that run requests
    /// therefore take precedence, unless there are too few engines for both.
    fn decode_engines(self, engines: usize) -> f64 {
        let engines = engines as f64;
        let total = self.run + self.prefill;
        match total > engines {
            true => self.run * engines / total,
            false => self.run,
        }
    }
}

/// The order in which engines should run requests: those that already do come first, because a
/// change costs seconds, and among them the reserved ones.
fn runner_rank(engine: &EndpointRegistration) -> (bool, bool, EndpointId) {
    let runs = engine.stage == Some(EngineStage::Decode);
    (!runs, engine.is_preemptible, engine.id.clone())
}

/// The engine of each software version that has to run requests. Prompts are handed over, and
/// streams resumed, within one version only.
fn representatives(staged: &[&EndpointRegistration]) -> BTreeSet<EndpointId> {
    let mut first: BTreeMap<&SoftwareVersion, &EndpointRegistration> = BTreeMap::new();
    for engine in staged {
        let known = first.entry(&engine.version).or_insert(engine);
        if runner_rank(engine) < runner_rank(known) {
            *known = engine;
        }
    }
    first
        .into_values()
        .map(|engine| engine.id.clone())
        .collect()
}

/// Groups the engines by failure domain, in the order in which they should run requests.
fn group_by_domain<'a>(
    staged: &[&'a EndpointRegistration],
    desired: &BTreeMap<FailureDomain, u32>,
) -> BTreeMap<FailureDomain, DomainEngines<'a>> {
    let mut domains: BTreeMap<FailureDomain, DomainEngines<'_>> = BTreeMap::new();
    for endpoint in staged {
        let engines = domains.entry(endpoint.domain.clone()).or_default();
        engines.present.push(endpoint);
    }
    let representatives = representatives(staged);
    for (domain, engines) in &mut domains {
        let represents = |engine: &EndpointRegistration| representatives.contains(&engine.id);
        let present = &mut engines.present;
        present.sort_by_cached_key(|engine| (!represents(engine), runner_rank(engine)));
        engines.representatives = present.iter().filter(|engine| represents(engine)).count();
        let desired = desired.get(domain).copied().unwrap_or_default();
        engines.desired = engines.present.len().max(desired as usize);
    }
    domains
}
