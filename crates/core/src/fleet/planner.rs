//! Decides which endpoints to start and to stop.

use std::collections::BTreeMap;

use crate::{
    clock::ClockTime,
    fleet::{
        EndpointStage, FleetEndpoint, FleetInputs, FleetSettings, FleetSize, PlannedChange,
        ServiceNeed, WorkDemand, cheapest_size, has_capacity, survives_reclaim,
    },
    ids::{FailureDomain, ServiceName},
    records::CapacityKind,
};

/// Plans the size of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetPlanner {
    settings: FleetSettings,
}

/// The endpoints of one service that are not leaving.
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
        let is_of_kind = move |e: &&FleetEndpoint| e.capacity == capacity;
        self.staying.iter().copied().filter(is_of_kind)
    }

    fn size(&self) -> FleetSize {
        FleetSize::new(
            self.count(CapacityKind::Reserved),
            self.count(CapacityKind::Preemptible),
        )
    }

    /// The number of endpoints of a kind in each of `domains`.
    fn count_by_domain(
        &self,
        capacity: CapacityKind,
        domains: &[FailureDomain],
    ) -> BTreeMap<FailureDomain, u64> {
        let mut counts: BTreeMap<FailureDomain, u64> =
            domains.iter().map(|domain| (domain.clone(), 0)).collect();
        for endpoint in self.of(capacity) {
            if let Some(count) = counts.get_mut(&endpoint.failure_domain) {
                *count += 1;
            }
        }
        counts
    }
}

impl FleetPlanner {
    /// Creates a planner with these settings.
    pub fn new(settings: FleetSettings) -> FleetPlanner {
        FleetPlanner { settings }
    }

    /// Returns the changes to order at `now`.
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

    /// The number of endpoints that a service should have at `now`.
    pub fn size(&self, now: ClockTime, inputs: &FleetInputs, need: &ServiceNeed) -> FleetSize {
        let demand = need.sizing_demand();
        let preemptible = self.preemptible_domains(now, inputs).len() as u64;
        let domains = inputs.failure_domains.len() as u64;
        cheapest_size(demand, domains, preemptible, &self.settings)
    }

    fn preemptible_domains(&self, now: ClockTime, inputs: &FleetInputs) -> Vec<FailureDomain> {
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
        let (target, current) = (self.size(now, inputs, need), fleet.size());
        let preemptible_domains = self.preemptible_domains(now, inputs);
        let mut changes = Vec::new();
        for (capacity, target_count, domains) in [
            (
                CapacityKind::Reserved,
                target.reserved,
                &inputs.failure_domains,
            ),
            (
                CapacityKind::Preemptible,
                target.preemptible,
                &preemptible_domains,
            ),
        ] {
            let mut counts = fleet.count_by_domain(capacity, domains);
            for _ in fleet.count(capacity)..target_count.count() {
                let min = counts.iter_mut().min_by_key(|(_, count)| **count);
                let Some((domain, count)) = min else { break };
                if *starts == 0 {
                    return changes;
                }
                *starts -= 1;
                *count += 1;
                changes.push(PlannedChange::Start {
                    service: need.service.clone(),
                    failure_domain: domain.clone(),
                    capacity,
                    reason: format!(
                        "`{}` has {current} endpoints and needs {target}",
                        need.service
                    ),
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
            target,
            demand,
            inputs.failure_domains.len() as u64,
        )
        .into_iter()
        .collect()
    }

    /// Returns one endpoint to stop, if more run than the recent demand requires. No
    /// endpoint is stopped while another one is starting: the start may fail, and then the
    /// running endpoint is needed.
    fn stop(
        &self,
        now: ClockTime,
        fleet: &ServiceFleet<'_>,
        target: FleetSize,
        demand: WorkDemand,
        domains: u64,
    ) -> Option<PlannedChange> {
        let is_starting = |e: &&FleetEndpoint| e.stage == EndpointStage::Starting;
        if fleet.staying.iter().any(is_starting) {
            return None;
        }
        let current = fleet.size();
        let capacity = if current.reserved > target.reserved {
            CapacityKind::Reserved
        } else if current.preemptible > target.preemptible {
            CapacityKind::Preemptible
        } else {
            return None;
        };
        let remaining = match capacity {
            CapacityKind::Reserved => {
                FleetSize::new(current.reserved.count() - 1, current.preemptible.count())
            }
            CapacityKind::Preemptible => {
                FleetSize::new(current.reserved.count(), current.preemptible.count() - 1)
            }
        };
        let settings = &self.settings;
        if !has_capacity(remaining, demand, settings)
            || !survives_reclaim(remaining, demand, domains, settings)
        {
            return None;
        }
        let mut by_domain: BTreeMap<&FailureDomain, Vec<&FleetEndpoint>> = BTreeMap::new();
        for endpoint in fleet.of(capacity) {
            let domain = by_domain.entry(&endpoint.failure_domain).or_default();
            domain.push(endpoint);
        }
        let largest = by_domain.values().max_by_key(|endpoints| endpoints.len())?;
        let old_enough = |e: &&&FleetEndpoint| now.since(e.since) >= self.settings.min_lifetime;
        let endpoint = largest.iter().filter(old_enough).max_by_key(|e| e.since)?;
        Some(PlannedChange::Stop {
            endpoint: endpoint.endpoint.clone(),
            reason: format!(
                "`{}` has {current} endpoints and needs {target}",
                endpoint.service
            ),
        })
    }
}
