//! Plans the number and kind of endpoints and the stages of engines.
//!
//! Endpoints are the largest part of the running cost. Preemptible endpoints cost about
//! a sixth of reserved ones, but all of them in a failure domain can be withdrawn
//! within some seconds of the notice, and for a time no replacement may be available.
//! They are suitable for prefills: a prefill that is lost has run nothing and is simply
//! repeated on another engine. Each failure domain therefore has preemptible engines in
//! addition to its reserved ones.
//!
//! Which engines prefill and which run requests follows from the work that the entries
//! measure ([`StagePlan`]), and so does the number of engines where there are more than that
//! work can ever need ([`SizeEstimate`]).

mod demand;
mod size;
mod stages;

use std::collections::BTreeMap;

use serde::Serialize;

pub use self::{
    demand::{DemandTable, EngineDemand},
    size::SizeEstimate,
    stages::{StageNeeds, StagePlan},
};
use crate::{
    clock::{ClockTime, TimeSpan},
    directory::{EndpointRegistration, EngineStage},
    ids::{EndpointId, FailureDomain, ServiceName},
    ingress::{EngineRule, ScalingRule},
};

/// Reserved engines that are kept in a failure domain, as a share of its baseline.
const RESERVED_SHARE: f64 = 1.0;

/// Preemptible engines per engine in the baseline of a failure domain. It is high
/// enough that the remaining failure domains have sufficient engines when those of one
/// are withdrawn.
const PREEMPTIBLE_FACTOR: f64 = 1.0;

/// Time beyond the boot time after which an order without effect is repeated.
const ORDER_SLACK: TimeSpan = TimeSpan::from_millis(2_500);

/// Time during which no preemptible endpoints are ordered in a failure domain where
/// none were available.
const UNAVAILABLE_DELAY: TimeSpan = TimeSpan::from_millis(3_000);

/// Minimum time between reductions in two failure domains: endpoints take some seconds
/// to stop.
const REDUCE_INTERVAL: TimeSpan = TimeSpan::from_millis(1_500);

/// Time without new endpoints that is required before the first order. All endpoints
/// register within one or two heartbeats of the start of the system; a planner that
/// started with the first of them would take it for the whole fleet.
const SETTLE_TIME: TimeSpan = TimeSpan::from_millis(1_300);

/// Number of endpoints of a service that a failure domain had when it was first
/// observed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DomainBaseline {
    /// The service.
    pub service: ServiceName,
    /// The failure domain.
    pub domain: FailureDomain,
    /// The number of endpoints.
    pub endpoints: u32,
}

/// A service and the state that its plan is based on.
#[derive(Clone, Copy, Debug)]
pub struct ProvisionService<'a> {
    /// Its name.
    pub name: &'a ServiceName,
    /// Limits and prices of its endpoints; `None` if no endpoints can be ordered.
    pub scaling: Option<&'a ScalingRule>,
    /// Properties of its engines; `None` if its endpoints are no engines.
    pub engine: Option<&'a EngineRule>,
    /// Current demand of its requests on the engines.
    pub demand: EngineDemand,
    /// The number of entry instances that send requests to it.
    pub entries: usize,
    /// The engines that limit their requests at present. Others are planned in their place.
    pub limited: &'a [EndpointId],
}

/// An order that is to be given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProvisionStep {
    /// The number of endpoints of one kind in a failure domain.
    Count {
        /// The service.
        service: ServiceName,
        /// The failure domain.
        domain: FailureDomain,
        /// Whether the endpoints are preemptible.
        preemptible: bool,
        /// Number of endpoints that there should be.
        count: u32,
        /// Number of endpoints that there are.
        present: u32,
    },
    /// A change of the stage of an engine.
    Stage {
        /// The service.
        service: ServiceName,
        /// The engine.
        endpoint: EndpointId,
        /// The new stage.
        stage: EngineStage,
    },
}

impl ProvisionStep {
    /// The service that the order belongs to.
    pub fn service(&self) -> &ServiceName {
        match self {
            ProvisionStep::Count { service, .. } | ProvisionStep::Stage { service, .. } => service,
        }
    }

    /// Whether endpoints are to be removed.
    fn is_reduction(&self) -> bool {
        matches!(self, ProvisionStep::Count { count, present, .. } if count < present)
    }
}

/// Maximum number of preemptible engines that are ordered in a failure domain as long as
/// the demand is not known.
const MAX_UNDEMANDED_PREEMPTIBLE: u32 = 64;

/// Share of the target by which there have to be more endpoints before some are removed: a
/// target that moves with the demand must not cause an order each time.
const REDUCE_MARGIN: f64 = 0.25;

type OrderKey = (ServiceName, FailureDomain, bool);

#[derive(Clone, Copy, Debug)]
struct PlacedOrder {
    count: u32,
    at: ClockTime,
}

/// Number of endpoints that a failure domain should have.
#[derive(Clone, Copy, Debug)]
struct DomainTarget {
    reserved: u32,
    preemptible: u32,
    /// Whether the demand needs fewer endpoints than there were at first.
    is_reduced: bool,
    /// Whether endpoints may be removed now.
    may_reduce: bool,
}

impl DomainTarget {
    /// The target of a failure domain with `baseline` endpoints, of which `needed` are needed
    /// for the demand; `None` as long as that is not known.
    fn new(scaling: &ScalingRule, baseline: u32, needed: Option<u32>) -> DomainTarget {
        let reserved = ((f64::from(baseline) * RESERVED_SHARE).ceil() as u32)
            .max(scaling.min_endpoints.min(1));
        let most_reserved = reserved;
        let reserved = match needed {
            Some(needed) => reserved.min(needed.max(scaling.min_endpoints).max(1)),
            None => reserved,
        };
        let headroom = scaling.max_endpoints.saturating_sub(reserved);
        let most = (f64::from(baseline) * PREEMPTIBLE_FACTOR).ceil() as u32;
        let preemptible = match scaling.preemptible_price {
            Some(_) => most.min(needed.unwrap_or(MAX_UNDEMANDED_PREEMPTIBLE)),
            None => 0,
        };
        DomainTarget {
            reserved,
            preemptible: preemptible.min(headroom),
            is_reduced: reserved < most_reserved,
            may_reduce: true,
        }
    }

    fn with_reduction(mut self, may_reduce: bool) -> DomainTarget {
        self.may_reduce = may_reduce;
        self
    }

    /// Whether so many reserved endpoints are more than needed.
    fn is_exceeded_by(self, reserved: u32) -> bool {
        let margin = if self.is_reduced { REDUCE_MARGIN } else { 0.0 };
        f64::from(reserved) > f64::from(self.reserved) * (1.0 + margin)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct DomainCounts {
    reserved: u32,
    preemptible: u32,
    /// Preemptible engines that are not in the decode stage: these have taken over the
    /// work that they are ordered for.
    in_service: u32,
}

/// Orders that the leader has given and whose effect is pending, and the state that
/// further orders depend on.
#[derive(Clone, Debug, Default)]
pub struct ProvisionPlanner {
    baselines: BTreeMap<(ServiceName, FailureDomain), u32>,
    orders: BTreeMap<OrderKey, PlacedOrder>,
    unavailable_until: BTreeMap<(ServiceName, FailureDomain), ClockTime>,
    stages: BTreeMap<ServiceName, StagePlan>,
    sizes: BTreeMap<ServiceName, SizeEstimate>,
    reduced_at: Option<ClockTime>,
    observed: BTreeMap<ServiceName, ObservedEndpoints>,
}

#[derive(Clone, Copy, Debug)]
struct ObservedEndpoints {
    count: usize,
    since: ClockTime,
}

impl ProvisionPlanner {
    /// Creates a planner that has given no orders.
    pub fn new() -> ProvisionPlanner {
        ProvisionPlanner::default()
    }

    /// Sets the baseline that an earlier leader recorded. A baseline that is already
    /// known stays.
    pub fn set_baseline(&mut self, baseline: DomainBaseline) {
        let key = (baseline.service, baseline.domain);
        self.baselines.entry(key).or_insert(baseline.endpoints);
    }

    /// The baselines, to be handed over to the next leader.
    pub fn baselines(&self) -> Vec<DomainBaseline> {
        let baselines =
            self.baselines
                .iter()
                .map(|((service, domain), endpoints)| DomainBaseline {
                    service: service.clone(),
                    domain: domain.clone(),
                    endpoints: *endpoints,
                });
        baselines.collect()
    }

    /// Sets the number of engines that an earlier leader found to be needed.
    pub fn set_needed(&mut self, service: ServiceName, engines: f64) {
        self.sizes.entry(service).or_default().set(engines);
    }

    /// The numbers of engines that are needed, to be handed over to the next leader.
    pub fn needed(&self) -> impl Iterator<Item = (&ServiceName, f64)> {
        let sizes = self.sizes.iter();
        sizes.filter_map(|(service, estimate)| Some((service, estimate.engines()?)))
    }

    /// The orders that are due for a service.
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
        let mut desired = BTreeMap::new();
        if service.engine.is_some() {
            let estimate = self.sizes.entry(service.name.clone()).or_default();
            estimate.note(now, service.demand, &endpoints);
        }
        if let Some(scaling) = service.scaling {
            desired = self.count_steps(now, service.name, scaling, &endpoints, &mut steps);
        }
        if let Some(engine) = service.engine {
            let stages = self.stages.entry(service.name.clone()).or_default();
            steps.extend(stages.steps(now, service, engine, &endpoints, &desired));
        }
        steps
    }

    /// The plan for the stages of the engines of a service.
    pub fn stage_plan(&self, service: &ServiceName) -> Option<&StagePlan> {
        self.stages.get(service)
    }

    fn has_settled(&mut self, now: ClockTime, service: &ServiceName, count: usize) -> bool {
        if self.baselines.keys().any(|(name, _)| name == service) {
            return true;
        }
        let observed = self
            .observed
            .entry(service.clone())
            .or_insert(ObservedEndpoints { count, since: now });
        if observed.count != count {
            *observed = ObservedEndpoints { count, since: now };
        }
        count > 0 && now.since(observed.since) >= SETTLE_TIME
    }

    fn count_steps(
        &mut self,
        now: ClockTime,
        service: &ServiceName,
        scaling: &ScalingRule,
        endpoints: &[&EndpointRegistration],
        steps: &mut Vec<ProvisionStep>,
    ) -> BTreeMap<FailureDomain, u32> {
        let mut desired = BTreeMap::new();
        let mut counts: BTreeMap<FailureDomain, DomainCounts> = BTreeMap::new();
        for endpoint in endpoints.iter().filter(|endpoint| !endpoint.is_leaving) {
            let count = counts.entry(endpoint.domain.clone()).or_default();
            match endpoint.is_preemptible {
                true => {
                    count.preemptible += 1;
                    let is_in_service = endpoint.stage != Some(EngineStage::Decode);
                    count.in_service += u32::from(is_in_service);
                }
                false => count.reserved += 1,
            }
        }
        for (domain, count) in &counts {
            let key = (service.clone(), domain.clone());
            let present = count.reserved + count.preemptible;
            self.baselines.entry(key).or_insert(present);
        }
        let baselines: Vec<(FailureDomain, u32)> = self
            .baselines
            .iter()
            .filter(|((name, _), _)| name == service)
            .map(|((_, domain), baseline)| (domain.clone(), *baseline))
            .collect();
        let total: u32 = baselines.iter().map(|(_, baseline)| baseline).sum();
        let needed = self.sizes.get(service);
        let needed = needed.and_then(|estimate| estimate.needed(baselines.len()));
        for (domain, baseline) in baselines {
            let count = counts.get(&domain).copied().unwrap_or_default();
            let share = f64::from(baseline) / f64::from(total.max(1));
            let needed = needed.map(|needed| (needed * share).ceil() as u32);
            // Orders of this round are not recorded yet.
            let may_reduce = !steps.iter().any(ProvisionStep::is_reduction)
                && self.may_reduce(now, service, &domain, endpoints);
            let target = DomainTarget::new(scaling, baseline, needed).with_reduction(may_reduce);
            let step = self.domain_step(now, service, &domain, scaling, target, count);
            steps.extend(step);
            desired.insert(domain, target.reserved + target.preemptible);
        }
        desired
    }

    /// The next order for one failure domain. Endpoints are added first; their number
    /// is reduced only when the endpoints that replace them are in service.
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
            reserved,
            preemptible,
            ..
        } = target;
        let key = (service.clone(), domain.clone());
        let is_available = self
            .unavailable_until
            .get(&key)
            .is_none_or(|until| now >= *until);
        let current_headroom = scaling.max_endpoints.saturating_sub(count.reserved);
        let desired = preemptible.min(current_headroom);
        let order = |planner: &mut ProvisionPlanner, preemptible, desired, present| {
            planner.order(now, service, domain, scaling, preemptible, desired, present)
        };
        if count.preemptible < desired
            && is_available
            && let Some(step) = order(self, true, desired, count.preemptible)
        {
            return Some(step);
        }
        if count.reserved < reserved {
            return order(self, false, reserved, count.reserved);
        }
        let is_replaced = target.is_reduced || count.in_service * 2 >= preemptible;
        if target.is_exceeded_by(count.reserved) && is_replaced && target.may_reduce {
            return order(self, false, reserved, count.reserved);
        }
        None
    }

    /// Whether endpoints may be removed in `domain` now. They are removed in one failure
    /// domain at a time, and not while engines there change their stage: the platform
    /// selects the endpoints that stop, and the remaining ones may have to change their
    /// stage.
    fn may_reduce(
        &self,
        now: ClockTime,
        service: &ServiceName,
        domain: &FailureDomain,
        endpoints: &[&EndpointRegistration],
    ) -> bool {
        let is_interval_over = self
            .reduced_at
            .is_none_or(|at| now.since(at) >= REDUCE_INTERVAL);
        let plan = self.stages.get(service);
        let is_switching =
            |entry: &&&EndpointRegistration| plan.is_some_and(|plan| plan.is_switching(&entry.id));
        let in_domain = endpoints.iter().filter(|entry| entry.domain == *domain);
        is_interval_over && in_domain.filter(is_switching).count() == 0
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
        let timeout = scaling.startup_time + ORDER_SLACK;
        let pending = self.orders.get(&key);
        if pending.is_some_and(|order| order.count == count && now.since(order.at) < timeout) {
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

    /// Records that the order was sent. Whether it was received shows only in its
    /// effect.
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

    /// Records that no preemptible endpoints are available in a failure domain at the
    /// moment.
    pub fn note_unavailable(
        &mut self,
        now: ClockTime,
        service: &ServiceName,
        domain: &FailureDomain,
    ) {
        let key = (service.clone(), domain.clone());
        self.unavailable_until.insert(key, now + UNAVAILABLE_DELAY);
        let order = (service.clone(), domain.clone(), true);
        self.orders.remove(&order);
    }
}
