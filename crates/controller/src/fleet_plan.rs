//! Which endpoints to start and stop, by what arrives.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    config::{ServiceTarget, ServiceUnit, WorkPriority},
    fleet::{
        EndpointStage, FleetEndpoint, FleetInputs, FleetPlanner, PlannedChange, ServiceNeed,
        WorkDemand,
    },
    ids::{EndpointId, FailureDomain, ModelName, ServiceName},
    records::{CapacityKind, DutyName, OrderBody},
    roles::{EngineRates, TokenDemand},
    routing::RoutePool,
    units::WorkCost,
};
use bluebell_platform::api::{EndpointListing, EndpointState};

use crate::context::DutyContext;

/// How far back the greatest demand counts.
const PEAK_SPAN: TimeSpan = TimeSpan::from_secs(900);

/// What the holder of `fleet` remembers between two plans. A new holder starts
/// with nothing: it knows every endpoint only since then, so it stops none before
/// it has lived for the least time once more.
#[derive(Debug, Default)]
pub struct FleetMemory {
    since: BTreeMap<EndpointId, ClockTime>,
    lost: BTreeMap<FailureDomain, ClockTime>,
    peaks: BTreeMap<ServiceName, VecDeque<(ClockTime, WorkDemand)>>,
}

impl FleetMemory {
    /// Notes that the cheaper kind was refused or is taken back somewhere.
    pub fn note_lost(&mut self, now: ClockTime, domain: FailureDomain) {
        self.lost.insert(domain, now);
    }

    fn peak(&mut self, now: ClockTime, service: &ServiceName, demand: WorkDemand) -> WorkDemand {
        let peaks = self.peaks.entry(service.clone()).or_default();
        peaks.push_back((now, demand));
        while peaks
            .front()
            .is_some_and(|(at, _)| now.since(*at) > PEAK_SPAN)
        {
            peaks.pop_front();
        }
        let demands = peaks.iter().map(|(_, demand)| *demand);
        demands.fold(WorkDemand::default(), WorkDemand::max)
    }
}

/// The changes to order now besides the stops under way, each with its reason;
/// none at all while it is not known what arrives.
pub fn next_changes(
    context: &DutyContext,
    memory: &mut FleetMemory,
    stopping: &BTreeSet<EndpointId>,
) -> Vec<(OrderBody, String)> {
    let settings = &context.settings.fleet;
    let now = context.now();
    let Some(needs) = settings.enabled.then(|| needs(context, memory)).flatten() else {
        return Vec::new();
    };
    let listings = context.directory.listings();
    note_reclaimed(now, memory, &listings);
    let inputs = FleetInputs {
        failure_domains: failure_domains(context, &listings),
        needs,
        endpoints: endpoints(context, memory, &listings, stopping),
        preemptible_lost: memory.lost.clone(),
    };
    let planned = FleetPlanner::new(settings.planner).plan(now, &inputs);
    planned.into_iter().map(order_of).collect()
}

fn order_of(change: PlannedChange) -> (OrderBody, String) {
    match change {
        PlannedChange::Start {
            service,
            failure_domain,
            capacity,
            reason,
        } => {
            let body = OrderBody::StartEndpoint {
                failure_domain,
                capacity,
                service,
            };
            (body, reason)
        }
        PlannedChange::Stop { endpoint, reason } => (OrderBody::StopEndpoint { endpoint }, reason),
    }
}

fn note_reclaimed(now: ClockTime, memory: &mut FleetMemory, listings: &[EndpointListing]) {
    for listing in listings {
        if matches!(listing.state, EndpointState::Reclaimed { .. }) {
            memory.note_lost(now, listing.failure_domain.clone());
        }
    }
}

fn failure_domains(context: &DutyContext, listings: &[EndpointListing]) -> Vec<FailureDomain> {
    let listed = listings
        .iter()
        .map(|listing| listing.failure_domain.clone());
    let domains: BTreeSet<FailureDomain> = listed.chain(context.list.failure_domains()).collect();
    domains.into_iter().collect()
}

fn endpoints(
    context: &DutyContext,
    memory: &mut FleetMemory,
    listings: &[EndpointListing],
    stopping: &BTreeSet<EndpointId>,
) -> Vec<FleetEndpoint> {
    let now = context.now();
    let running = listings
        .iter()
        .filter(|listing| listing.state != EndpointState::Gone);
    running
        .map(|listing| FleetEndpoint {
            endpoint: listing.endpoint.clone(),
            service: listing.service.clone(),
            failure_domain: listing.failure_domain.clone(),
            capacity: listing.capacity,
            stage: match stopping.contains(&listing.endpoint) {
                true => EndpointStage::Leaving,
                false => stage(context, listing),
            },
            since: *memory.since.entry(listing.endpoint.clone()).or_insert(now),
        })
        .collect()
}

fn stage(context: &DutyContext, listing: &EndpointListing) -> EndpointStage {
    let stopping = context.node.with_view(|view| {
        let fleet_mark = view
            .drain_marks
            .mark(&listing.endpoint)
            .is_some_and(|mark| mark.duty == DutyName::Fleet);
        fleet_mark || view.orders.was_stopped(&listing.endpoint)
    });
    match listing.state {
        _ if stopping => EndpointStage::Leaving,
        EndpointState::Starting => EndpointStage::Starting,
        EndpointState::Ready => EndpointStage::Ready,
        EndpointState::Reclaimed { .. } | EndpointState::Gone => EndpointStage::Leaving,
    }
}

fn needs(context: &DutyContext, memory: &mut FleetMemory) -> Option<Vec<ServiceNeed>> {
    let now = context.now();
    let demands = context.demand.total(now)?;
    let mut needs = Vec::new();
    for demand in demands {
        let RoutePool::Model(model) = &demand.pool else {
            continue;
        };
        let Some((service, unit)) = service_of(context, model) else {
            continue;
        };
        let arriving = work_demand(&unit, work_of(demand.short, context.settings.roles.rates));
        let recent_peak = memory.peak(now, &service, arriving);
        needs.push(ServiceNeed {
            service,
            now: arriving,
            recent_peak,
        });
    }
    Some(needs)
}

/// The first service, by name, that the model stands behind.
fn service_of(context: &DutyContext, model: &ModelName) -> Option<(ServiceName, ServiceUnit)> {
    context.node.with_view(|view| {
        view.configuration.units().find_map(|(name, _)| {
            let service = ServiceName::new(name.name()).ok()?;
            let unit = view.configuration.service(&service)?;
            let behind = match &unit.target {
                ServiceTarget::Model { model: own, .. } => own == model,
                ServiceTarget::Plain {} => false,
            };
            behind.then(|| (service, unit.clone()))
        })
    })
}

/// What kind of work a service's requests are.
fn work_demand(unit: &ServiceUnit, cost: WorkCost) -> WorkDemand {
    let mut demand = WorkDemand::default();
    match (unit.preemptible, unit.priority) {
        (false, _) => demand.reserved_only = cost,
        (true, WorkPriority::Interactive) => demand.interactive = cost,
        (true, WorkPriority::Deferrable) => demand.deferrable = cost,
    }
    demand
}

/// The milliseconds of an engine's time that a second's tokens take.
fn work_of(demand: TokenDemand, rates: EngineRates) -> WorkCost {
    let percent = u64::from(rates.mixed_percent.max(1));
    let time = |tokens: u64, rate: u64| tokens * 1_000 * 100 / (rate.max(1) * percent);
    let prefill = time(demand.prefill.count(), rates.prefill.count());
    let decode = time(demand.decode.count(), rates.decode.count());
    WorkCost::new(prefill + decode)
}

/// The failure domain where the cheaper kind was asked for, if it was.
pub fn preemptible_domain(body: &OrderBody) -> Option<FailureDomain> {
    match body {
        OrderBody::StartEndpoint {
            failure_domain,
            capacity: CapacityKind::Preemptible,
            ..
        } => Some(failure_domain.clone()),
        _ => None,
    }
}
