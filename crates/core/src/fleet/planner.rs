//! Which endpoints to start and stop.

use std::collections::BTreeMap;

use crate::{
    clock::ClockTime,
    fleet::{
        EndpointStage, FleetEndpoint, FleetInputs, FleetSettings, FleetSize, PlannedChange,
        ServiceNeed, WorkDemand, carries, cheapest_size, survives_reclaim,
    },
    ids::{FailureDomain, ServiceName},
    records::CapacityKind,
};

/// Plans the fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetPlanner {
    settings: FleetSettings,
}

/// The endpoints of one service, by kind and failure domain.
#[derive(Clone, Debug, Default)]
struct ServiceFleet<'a> {
    staying: Vec<&'a FleetEndpoint>,
}

impl<'a> ServiceFleet<'a> {
    fn new(service: &ServiceName, inputs: &'a FleetInputs) -> ServiceFleet<'a> {
        let staying = inputs
            .endpoints
            .iter()
            .filter(|e| e.service == *service && e.stage != EndpointStage::Leaving)
            .collect();
        ServiceFleet { staying }
    }

    fn count(&self, capacity: CapacityKind) -> u64 {
        self.of(capacity).count() as u64
    }

    fn of(&self, capacity: CapacityKind) -> impl Iterator<Item = &'a FleetEndpoint> {
        let kind = move |e: &&FleetEndpoint| e.capacity == capacity;
        self.staying.iter().copied().filter(kind)
    }

    fn size(&self) -> FleetSize {
        FleetSize::new(
            self.count(CapacityKind::Reserved),
            self.count(CapacityKind::Preemptible),
        )
    }

    /// How many endpoints of a kind each of `domains` has.
    fn spread(
        &self,
        capacity: CapacityKind,
        domains: &[FailureDomain],
    ) -> BTreeMap<FailureDomain, u64> {
        let mut spread: BTreeMap<FailureDomain, u64> =
            domains.iter().map(|domain| (domain.clone(), 0)).collect();
        for endpoint in self.of(capacity) {
            if let Some(count) = spread.get_mut(&endpoint.failure_domain) {
                *count += 1;
            }
        }
        spread
    }
}

impl FleetPlanner {
    /// A planner with these settings.
    pub fn new(settings: FleetSettings) -> FleetPlanner {
        FleetPlanner { settings }
    }

    /// The changes to order now.
    pub fn plan(&self, now: ClockTime, inputs: &FleetInputs) -> Vec<PlannedChange> {
        let starting = inputs
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.stage == EndpointStage::Starting)
            .count() as u64;
        let mut starts = self.settings.max_concurrent_starts.saturating_sub(starting);
        let mut changes = Vec::new();
        for need in &inputs.needs {
            let planned = self.plan_service(now, inputs, need, &mut starts);
            changes.extend(planned);
        }
        changes
    }

    /// The size that a service should have now.
    pub fn size(&self, now: ClockTime, inputs: &FleetInputs, need: &ServiceNeed) -> FleetSize {
        let demand = need.sizing_demand();
        let cheap = self.cheap_domains(now, inputs).len() as u64;
        let domains = inputs.failure_domains.len() as u64;
        cheapest_size(demand, domains, cheap, &self.settings)
    }

    fn cheap_domains(&self, now: ClockTime, inputs: &FleetInputs) -> Vec<FailureDomain> {
        let available = |domain: &&FailureDomain| {
            let lost = inputs.preemptible_lost.get(*domain);
            lost.is_none_or(|at| now.since(*at) >= self.settings.unavailable_retry_after)
        };
        inputs
            .failure_domains
            .iter()
            .filter(available)
            .cloned()
            .collect()
    }

    fn plan_service(
        &self,
        now: ClockTime,
        inputs: &FleetInputs,
        need: &ServiceNeed,
        starts: &mut u64,
    ) -> Vec<PlannedChange> {
        let fleet = ServiceFleet::new(&need.service, inputs);
        let (wanted, has) = (self.size(now, inputs, need), fleet.size());
        let cheap_domains = self.cheap_domains(now, inputs);
        let mut changes = Vec::new();
        for (capacity, wanted_count, domains) in [
            (
                CapacityKind::Reserved,
                wanted.reserved,
                &inputs.failure_domains,
            ),
            (
                CapacityKind::Preemptible,
                wanted.preemptible,
                &cheap_domains,
            ),
        ] {
            let mut spread = fleet.spread(capacity, domains);
            for _ in fleet.count(capacity)..wanted_count.count() {
                let least = spread.iter_mut().min_by_key(|(_, count)| **count);
                let Some((domain, count)) = least else { break };
                if *starts == 0 {
                    return changes;
                }
                *starts -= 1;
                *count += 1;
                changes.push(PlannedChange::Start {
                    service: need.service.clone(),
                    failure_domain: domain.clone(),
                    capacity,
                    reason: format!("`{}` has {has} endpoints and needs {wanted}", need.service),
                });
            }
        }
        if !changes.is_empty() {
            return changes;
        }
        let demand = need.sizing_demand();
        self.stop(
            now,
            &fleet,
            wanted,
            demand,
            inputs.failure_domains.len() as u64,
        )
        .into_iter()
        .collect()
    }

    /// One endpoint to stop, if more run than the demand of the recent past
    /// needed. Nothing is stopped while something starts: what starts may fail
    /// to, and then what runs is needed.
    fn stop(
        &self,
        now: ClockTime,
        fleet: &ServiceFleet<'_>,
        wanted: FleetSize,
        demand: WorkDemand,
        domains: u64,
    ) -> Option<PlannedChange> {
        let is_starting = |e: &&FleetEndpoint| e.stage == EndpointStage::Starting;
        if fleet.staying.iter().any(is_starting) {
            return None;
        }
        let has = fleet.size();
        let capacity = if has.reserved > wanted.reserved {
            CapacityKind::Reserved
        } else if has.preemptible > wanted.preemptible {
            CapacityKind::Preemptible
        } else {
            return None;
        };
        let left = match capacity {
            CapacityKind::Reserved => {
                FleetSize::new(has.reserved.count() - 1, has.preemptible.count())
            }
            CapacityKind::Preemptible => {
                FleetSize::new(has.reserved.count(), has.preemptible.count() - 1)
            }
        };
        let settings = &self.settings;
        if !carries(left, demand, settings) || !survives_reclaim(left, demand, domains, settings) {
            return None;
        }
        let mut by_domain: BTreeMap<&FailureDomain, Vec<&FleetEndpoint>> = BTreeMap::new();
        for endpoint in fleet.of(capacity) {
            let domain = by_domain.entry(&endpoint.failure_domain).or_default();
            domain.push(endpoint);
        }
        let fullest = by_domain.values().max_by_key(|endpoints| endpoints.len())?;
        let old_enough = |e: &&&FleetEndpoint| now.since(e.since) >= self.settings.min_lifetime;
        let endpoint = fullest.iter().filter(old_enough).max_by_key(|e| e.since)?;
        Some(PlannedChange::Stop {
            endpoint: endpoint.endpoint.clone(),
            reason: format!(
                "`{}` has {has} endpoints and needs {wanted}",
                endpoint.service
            ),
        })
    }
}
