//! The messages between several hundred instances: what each instance receives, and how
//! many messages are sent.

use std::collections::BTreeMap;

use bluebell_core::{
    clock::ClockTime,
    ids::{FailureDomain, InstanceId, ServiceName},
    provision::DemandTable,
    relay::ProcessStamp,
};
use bluebell_ingress::peers::{KnownPeer, PeerTable, TargetSelector};

const DOMAINS: usize = 5;
const PER_DOMAIN: usize = 59;
/// The broadcast interval in ms.
const INTERVAL_MS: u64 = 800;

/// One entry instance of the simulated fleet.
struct SimulatedEntry {
    domain: FailureDomain,
    selector: TargetSelector,
    table: PeerTable,
    demands: DemandTable,
    is_alive: bool,
}

/// The instances by port, and the number of messages sent.
struct SimulatedFleet {
    entries: BTreeMap<u16, SimulatedEntry>,
    messages_sent: usize,
}

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn service() -> ServiceName {
    ServiceName::new("chat").unwrap()
}

fn instance(port: u16) -> InstanceId {
    InstanceId::new(format!("entry-{port:04}").as_str()).unwrap()
}

fn domain(port: u16) -> FailureDomain {
    let number = usize::from(port) % DOMAINS;
    FailureDomain::new(format!("domain-{number}").as_str()).unwrap()
}

fn known_peer(port: u16) -> KnownPeer {
    KnownPeer {
        address: ([127, 0, 0, 1], port).into(),
        start: 1,
        domain: domain(port),
        last_seen: None,
        stamp: ProcessStamp::default(),
    }
}

impl SimulatedFleet {
    fn new() -> SimulatedFleet {
        let ports = 1..=(DOMAINS * PER_DOMAIN) as u16;
        let entries = ports.clone().map(|port| {
            let mut table = PeerTable::new();
            for other in ports.clone().filter(|other| *other != port) {
                table.register(&instance(other), known_peer(other));
            }
            let entry = SimulatedEntry {
                domain: domain(port),
                selector: TargetSelector::new(instance(port), domain(port)),
                table,
                demands: DemandTable::new(),
                is_alive: true,
            };
            (port, entry)
        });
        SimulatedFleet {
            entries: entries.collect(),
            messages_sent: 0,
        }
    }

    /// Sends the messages of every instance that is alive.
    fn broadcast(&mut self, now: u64) {
        let ports: Vec<u16> = self.entries.keys().copied().collect();
        for port in ports {
            let sender = self.entries.get_mut(&port).unwrap();
            if !sender.is_alive {
                continue;
            }
            sender.demands.prefill_sent(at(now), &service(), 80.0);
            let local_demands = sender.demands.local(at(now));
            let domain_demands = sender.demands.directly_reported(at(now));
            let same_domain = sender.selector.broadcast_targets(at(now), &sender.table);
            let is_representative =
                sender
                    .table
                    .is_representative(at(now), &instance(port), &sender.domain);
            let cross_domain = match is_representative {
                true => sender.selector.cross_domain_targets(at(now), &sender.table),
                false => Vec::new(),
            };
            self.messages_sent += same_domain.len() + cross_domain.len();
            for target in same_domain {
                let receiver = self.entries.get_mut(&target.address.port()).unwrap();
                receiver
                    .table
                    .note_message(at(now), &instance(port), ProcessStamp::new(1, now));
                for (service, demand) in &local_demands {
                    let demands = &mut receiver.demands;
                    demands.note_peer(at(now), &instance(port), service.clone(), *demand);
                }
            }
            for target in cross_domain {
                let receiver = self.entries.get_mut(&target.address.port()).unwrap();
                receiver
                    .table
                    .note_message(at(now), &instance(port), ProcessStamp::new(1, now));
                for (service, demand) in &domain_demands {
                    let demands = &mut receiver.demands;
                    demands.note_domain(at(now), &domain(port), service.clone(), *demand);
                }
            }
        }
    }
}

/// Guards against a leader that plans a large fleet by the demand of its own failure domain
/// alone, and so leaves too few engines for the running requests.
#[test]
fn each_of_hundreds_of_instances_has_the_demand_of_all() {
    let mut fleet = SimulatedFleet::new();
    let mut now = 10_000;
    for _ in 0..20 {
        fleet.broadcast(now);
        now += INTERVAL_MS;
    }
    let mut single = DemandTable::new();
    for step in 0..20 {
        single.prefill_sent(at(10_000 + step * INTERVAL_MS), &service(), 80.0);
    }
    let expected = single.total(at(now), &service()).prefill * (DOMAINS * PER_DOMAIN) as f64;
    for port in [1, 2, 150, 295] {
        let demands = &mut fleet.entries.get_mut(&port).unwrap().demands;
        let total = demands.total(at(now), &service()).prefill;
        assert!(
            (total / expected - 1.0).abs() < 0.35,
            "{total} of {expected}"
        );
    }
}

/// Guards against a number of messages that grows with the square of the number of
/// instances.
#[test]
fn hundreds_of_instances_send_few_messages() {
    let mut fleet = SimulatedFleet::new();
    let mut now = 10_000;
    for _ in 0..5 {
        fleet.broadcast(now);
        now += INTERVAL_MS;
    }
    fleet.messages_sent = 0;
    for _ in 0..10 {
        fleet.broadcast(now);
        now += INTERVAL_MS;
    }
    let per_entry = fleet.messages_sent / 10 / (DOMAINS * PER_DOMAIN);
    assert!(
        per_entry <= PER_DOMAIN + 20,
        "{per_entry} messages of each entry in one interval"
    );
}

/// Guards against a failure domain that counts as unreachable because representatives of it
/// were killed.
#[test]
fn a_failure_domain_stays_reachable_after_a_representative_is_killed() {
    let mut fleet = SimulatedFleet::new();
    let mut now = 10_000;
    for step in 0..20 {
        if step == 8 {
            // The first of its failure domain by name, which is its reader and one of its
            // representatives.
            fleet.entries.get_mut(&1).unwrap().is_alive = false;
        }
        fleet.broadcast(now);
        now += INTERVAL_MS;
        if step > 4 {
            let table = &fleet.entries[&2].table;
            assert!(
                table.unreachable_domains(at(now)).is_empty(),
                "after step {step}"
            );
        }
    }
}
