//! How many endpoints there are, of which kind, and what engines do.
//!
//! Endpoints are the largest price of a day. Preemptible ones cost about a sixth
//! of the others, but a whole failure domain of them goes within some seconds of
//! the notice, at times with no more to be had. Prefills fit them: a prefill that
//! is lost has run nothing and is simply done elsewhere. So each failure domain has
//! preemptible engines beside its lasting ones.
//!
//! Which of them prefill and which run requests follows from the work that entries
//! see ([`StagePlan`]).

mod demand;
mod stages;

use std::collections::BTreeMap;

use serde::Serialize;

pub use self::{
    demand::{DemandTable, EngineDemand},
    stages::{StageNeeds, StagePlan},
};
use crate::{
    clock::{ClockTime, TimeSpan},
    directory::{EndpointRegistration, EngineStage},
    ids::{EndpointId, FailureDomain, ServiceName},
    ingress::{EngineRule, ScalingRule},
};

/// The lasting engines that are kept in a failure domain, as a share of those
/// that it had at first.
const LASTING_SHARE: f64 = 1.0;

/// Preemptible engines ordered for each engine that a failure domain had at first:
/// so many that the loss of a failure domain's leaves the others enough.
const PREEMPTIBLE_FACTOR: f64 = 1.0;

/// How long after an order its outcome is awaited beyond the time to boot.
const ORDER_SLACK: TimeSpan = TimeSpan::from_millis(2_500);

/// How long no more preemptible endpoints are asked for where there were none.
const UNAVAILABLE_FOR: TimeSpan = TimeSpan::from_millis(3_000);

/// How long after endpoints were given up in one failure domain they may be given
/// up in the next: they leave within some seconds.
const REDUCE_INTERVAL: TimeSpan = TimeSpan::from_millis(5_000);

/// For how long nothing may have appeared before the first order: all endpoints
/// register within a heartbeat or two of the system's start, and a planner that
/// began with the first of them would take it for all there are.
const SETTLE: TimeSpan = TimeSpan::from_millis(1_300);

/// What a failure domain had when it was first seen, for a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DomainBaseline {
    /// The service.
    pub service: ServiceName,
    /// The failure domain.
    pub domain: FailureDomain,
    /// Its endpoints then.
    pub endpoints: u32,
}

/// A service whose endpoints can be ordered.
#[derive(Clone, Copy, Debug)]
pub struct ProvisionService<'a> {
    /// Its name.
    pub name: &'a ServiceName,
    /// What may be ordered.
    pub scaling: Option<&'a ScalingRule>,
    /// What its engines are like.
    pub engine: Option<&'a EngineRule>,
    /// What its requests ask of them now.
    pub demand: EngineDemand,
}

/// Something to be ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProvisionStep {
    /// A number of endpoints of one kind.
    Count {
        /// The service.
        service: ServiceName,
        /// The failure domain.
        domain: FailureDomain,
        /// Whether they may be withdrawn at short notice.
        preemptible: bool,
        /// How many there are to be.
        count: u32,
        /// How many there are.
        present: u32,
    },
    /// Another stage for an engine.
    Stage {
        /// The service.
        service: ServiceName,
        /// The engine.
        endpoint: EndpointId,
        /// The stage.
        stage: EngineStage,
    },
}

impl ProvisionStep {
    /// The service that it is for.
    pub fn service(&self) -> &ServiceName {
        match self {
            ProvisionStep::Count { service, .. } | ProvisionStep::Stage { service, .. } => service,
        }
    }
}

type OrderKey = (ServiceName, FailureDomain, bool);

#[derive(Clone, Copy, Debug)]
struct PlacedOrder {
    count: u32,
    at: ClockTime,
}

/// What a failure domain is to have.
#[derive(Clone, Copy, Debug)]
struct DomainTarget {
    lasting: u32,
    preemptible: u32,
}

impl DomainTarget {
    fn new(scaling: &ScalingRule, base: u32) -> DomainTarget {
        let lasting =
            ((f64::from(base) * LASTING_SHARE).ceil() as u32).max(scaling.min_endpoints.min(1));
        let room = scaling.max_endpoints.saturating_sub(lasting);
        let preemptible = match scaling.preemptible_price {
            Some(_) => ((f64::from(base) * PREEMPTIBLE_FACTOR).ceil() as u32).min(room),
            None => 0,
        };
        DomainTarget {
            lasting: if preemptible == 0 { base } else { lasting },
            preemptible,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct DomainCounts {
    lasting: u32,
    preemptible: u32,
    /// Preemptible engines that have taken up their work.
    at_work: u32,
}

/// What the steward has ordered and waits for.
#[derive(Clone, Debug, Default)]
pub struct ProvisionPlanner {
    bases: BTreeMap<(ServiceName, FailureDomain), u32>,
    orders: BTreeMap<OrderKey, PlacedOrder>,
    unavailable: BTreeMap<(ServiceName, FailureDomain), ClockTime>,
    stages: BTreeMap<ServiceName, StagePlan>,
    reduced_at: Option<ClockTime>,
    seen: BTreeMap<ServiceName, SeenEndpoints>,
}

#[derive(Clone, Copy, Debug)]
struct SeenEndpoints {
    count: usize,
    since: ClockTime,
}

impl ProvisionPlanner {
    /// Nothing ordered.
    pub fn new() -> ProvisionPlanner {
        ProvisionPlanner::default()
    }

    /// Takes over what an earlier steward saw first.
    pub fn set_baseline(&mut self, base: DomainBaseline) {
        let key = (base.service, base.domain);
        self.bases.entry(key).or_insert(base.endpoints);
    }

    /// What was seen first, to be handed on.
    pub fn baselines(&self) -> Vec<DomainBaseline> {
        let bases = self
            .bases
            .iter()
            .map(|((service, domain), endpoints)| DomainBaseline {
                service: service.clone(),
                domain: domain.clone(),
                endpoints: *endpoints,
            });
        bases.collect()
    }

    /// What is to be ordered for a service now.
    pub fn steps<'a, Registered>(
        &mut self,
        now: ClockTime,
        service: ProvisionService<'_>,
        registered: Registered,
    ) -> Vec<ProvisionStep>
    where
        Registered: Iterator<Item = &'a EndpointRegistration>,
    {
        let endpoints: Vec<&EndpointRegistration> = registered
            .filter(|entry| entry.service == *service.name)
            .collect();
        let mut steps = Vec::new();
        if !self.has_settled(now, service.name, endpoints.len()) {
            return steps;
        }
        let mut wanted = BTreeMap::new();
        if let Some(scaling) = service.scaling {
            wanted = self.count_steps(now, service.name, scaling, &endpoints, &mut steps);
        }
        if let Some(engine) = service.engine {
            let stages = self.stages.entry(service.name.clone()).or_default();
            steps.extend(stages.steps(now, engine, service.demand, &endpoints, &wanted));
        }
        steps
    }

    /// What is planned for the stages of the service's engines.
    pub fn stage_plan(&self, service: &ServiceName) -> Option<&StagePlan> {
        self.stages.get(service)
    }

    fn has_settled(&mut self, now: ClockTime, service: &ServiceName, count: usize) -> bool {
        if self.bases.keys().any(|(name, _)| name == service) {
            return true;
        }
        let seen = self
            .seen
            .entry(service.clone())
            .or_insert(SeenEndpoints { count, since: now });
        if seen.count != count {
            *seen = SeenEndpoints { count, since: now };
        }
        count > 0 && now.since(seen.since) >= SETTLE
    }

    fn count_steps(
        &mut self,
        now: ClockTime,
        service: &ServiceName,
        scaling: &ScalingRule,
        endpoints: &[&EndpointRegistration],
        steps: &mut Vec<ProvisionStep>,
    ) -> BTreeMap<FailureDomain, u32> {
        let mut wanted = BTreeMap::new();
        let mut counts: BTreeMap<FailureDomain, DomainCounts> = BTreeMap::new();
        for endpoint in endpoints.iter().filter(|endpoint| !endpoint.is_leaving) {
            let count = counts.entry(endpoint.domain.clone()).or_default();
            match endpoint.is_preemptible {
                true => {
                    count.preemptible += 1;
                    let works = endpoint.stage != Some(EngineStage::Decode);
                    count.at_work += u32::from(works);
                }
                false => count.lasting += 1,
            }
        }
        for (domain, count) in &counts {
            let key = (service.clone(), domain.clone());
            let present = count.lasting + count.preemptible;
            self.bases.entry(key).or_insert(present);
        }
        let bases: Vec<(FailureDomain, u32)> = self
            .bases
            .iter()
            .filter(|((name, _), _)| name == service)
            .map(|((_, domain), base)| (domain.clone(), *base))
            .collect();
        for (domain, base) in bases {
            let count = counts.get(&domain).copied().unwrap_or_default();
            let target = DomainTarget::new(scaling, base);
            let step = self.domain_step(now, service, &domain, scaling, target, count);
            steps.extend(step);
            wanted.insert(domain, target.lasting + target.preemptible);
        }
        wanted
    }

    /// The next order for one failure domain: more first, fewer only when what
    /// replaces them is there.
    fn domain_step(
        &mut self,
        now: ClockTime,
        service: &ServiceName,
        domain: &FailureDomain,
        scaling: &ScalingRule,
        target: DomainTarget,
        count: DomainCounts,
    ) -> Option<ProvisionStep> {
        let DomainTarget {
            lasting,
            preemptible,
        } = target;
        let key = (service.clone(), domain.clone());
        let is_available = self.unavailable.get(&key).is_none_or(|until| now >= *until);
        let room_now = scaling.max_endpoints.saturating_sub(count.lasting);
        let wanted = preemptible.min(room_now);
        let order = |planner: &mut ProvisionPlanner, preemptible, wanted, present| {
            planner.order(now, service, domain, scaling, preemptible, wanted, present)
        };
        if count.preemptible < wanted
            && is_available
            && let Some(step) = order(self, true, wanted, count.preemptible)
        {
            return Some(step);
        }
        if count.lasting < lasting {
            return order(self, false, lasting, count.lasting);
        }
        let replaced = count.at_work * 2 >= preemptible;
        if count.lasting > lasting && replaced && self.may_reduce(now) {
            return order(self, false, lasting, count.lasting);
        }
        None
    }

    /// Endpoints are given up in one failure domain at a time, and not while
    /// engines are away: which of them go is the platform's choice, and those that
    /// stay may have to change their stage.
    fn may_reduce(&self, now: ClockTime) -> bool {
        let is_calm = self
            .reduced_at
            .is_none_or(|at| now.since(at) >= REDUCE_INTERVAL);
        is_calm && self.stages.values().all(StagePlan::is_settled)
    }

    #[allow(clippy::too_many_arguments)]
    fn order(
        &mut self,
        now: ClockTime,
        service: &ServiceName,
        domain: &FailureDomain,
        scaling: &ScalingRule,
        preemptible: bool,
        count: u32,
        present: u32,
    ) -> Option<ProvisionStep> {
        let key = (service.clone(), domain.clone(), preemptible);
        let patience = scaling.startup_time + ORDER_SLACK;
        let placed = self.orders.get(&key);
        if placed.is_some_and(|order| order.count == count && now.since(order.at) < patience) {
            return None;
        }
        Some(ProvisionStep::Count {
            service: service.clone(),
            domain: domain.clone(),
            preemptible,
            count,
            present,
        })
    }

    /// The order was given. Whether it was heard is seen by its effect alone.
    pub fn note_ordered(&mut self, now: ClockTime, step: &ProvisionStep) {
        match step {
            ProvisionStep::Count {
                service,
                domain,
                preemptible,
                count,
                present,
            } => {
                if count < present {
                    self.reduced_at = Some(now);
                }
                let key = (service.clone(), domain.clone(), *preemptible);
                let order = PlacedOrder {
                    count: *count,
                    at: now,
                };
                self.orders.insert(key, order);
            }
            ProvisionStep::Stage {
                service, endpoint, ..
            } => {
                let stages = self.stages.entry(service.clone()).or_default();
                stages.note_ordered(now, endpoint);
            }
        }
    }

    /// There are no preemptible endpoints to be had there at the moment.
    pub fn note_unavailable(
        &mut self,
        now: ClockTime,
        service: &ServiceName,
        domain: &FailureDomain,
    ) {
        let key = (service.clone(), domain.clone());
        self.unavailable.insert(key, now + UNAVAILABLE_FOR);
        let order = (service.clone(), domain.clone(), true);
        self.orders.remove(&order);
    }
}
