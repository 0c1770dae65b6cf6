//! Plain rules for the fleet, which the planner is measured against.

use std::collections::BTreeMap;

use crate::{
    clock::ClockTime,
    fleet::{EndpointStage, FleetInputs, FleetSize, PlannedChange},
    ids::ServiceName,
    records::CapacityKind,
};

/// A fleet of fixed size, spread evenly; what is lost is started again.
pub fn fixed_fleet(
    sizes: BTreeMap<ServiceName, FleetSize>,
) -> impl FnMut(ClockTime, &FleetInputs) -> Vec<PlannedChange> {
    move |_, inputs| {
        let mut changes = Vec::new();
        for (service, size) in &sizes {
            for (capacity, wanted) in [
                (CapacityKind::Reserved, size.reserved),
                (CapacityKind::Preemptible, size.preemptible),
            ] {
                changes.extend(refill(inputs, service, capacity, wanted.count()));
            }
        }
        changes
    }
}

fn refill(
    inputs: &FleetInputs,
    service: &ServiceName,
    capacity: CapacityKind,
    wanted: u64,
) -> Vec<PlannedChange> {
    let staying = |domain: &crate::ids::FailureDomain| {
        let counts = |e: &&crate::fleet::FleetEndpoint| {
            e.service == *service
                && e.capacity == capacity
                && e.failure_domain == *domain
                && e.stage != EndpointStage::Leaving
        };
        inputs.endpoints.iter().filter(counts).count() as u64
    };
    let domains = inputs.failure_domains.len() as u64;
    let mut changes = Vec::new();
    for (index, domain) in inputs.failure_domains.iter().enumerate() {
        let share = wanted / domains + u64::from((index as u64) < wanted % domains);
        for _ in staying(domain)..share {
            changes.push(PlannedChange::Start {
                service: service.clone(),
                failure_domain: domain.clone(),
                capacity,
                reason: format!("`{service}` keeps {share} in `{domain}`"),
            });
        }
    }
    changes
}
