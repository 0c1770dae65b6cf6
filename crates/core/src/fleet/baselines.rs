//! Simple fleet policies, as baselines for the planner in simulations.

use std::collections::BTreeMap;

use crate::{
    clock::ClockTime,
    fleet::{EndpointStage, FleetInputs, FleetSize, PlannedChange},
    ids::ServiceName,
    records::CapacityKind,
};

/// A policy that keeps a fixed number of endpoints, spread evenly over the failure
/// domains, and replaces lost ones.
pub fn fixed_fleet(
    sizes: BTreeMap<ServiceName, FleetSize>,
) -> impl FnMut(ClockTime, &FleetInputs) -> Vec<PlannedChange> {
    move |_, inputs| {
        let mut changes = Vec::new();
        for (service, size) in &sizes {
            for (capacity, target) in [
                (CapacityKind::Reserved, size.reserved),
                (CapacityKind::Preemptible, size.preemptible),
            ] {
                changes.extend(refill(inputs, service, capacity, target.count()));
            }
        }
        changes
    }
}

fn refill(
    inputs: &FleetInputs,
    service: &ServiceName,
    capacity: CapacityKind,
    target: u64,
) -> Vec<PlannedChange> {
    let running = |domain: &crate::ids::FailureDomain| {
        let is_counted = |e: &&crate::fleet::FleetEndpoint| {
            e.service == *service
                && e.capacity == capacity
                && e.failure_domain == *domain
                && e.stage != EndpointStage::Leaving
        };
        inputs.endpoints.iter().filter(is_counted).count() as u64
    };
    let domains = inputs.failure_domains.len() as u64;
    let mut changes = Vec::new();
    for (index, domain) in inputs.failure_domains.iter().enumerate() {
        let share = target / domains + u64::from((index as u64) < target % domains);
        for _ in running(domain)..share {
            changes.push(PlannedChange::Start {
                service: service.clone(),
                failure_domain: domain.clone(),
                capacity,
                reason: format!("`{service}` has a fixed size of {share} endpoints in `{domain}`"),
            });
        }
    }
    changes
}
