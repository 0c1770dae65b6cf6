//! Several hundred instances that tell each other what they have: who hears what, and
//! how much is sent for it.

use std::collections::BTreeMap;

use bluebell_core::{
    clock::ClockTime,
    ids::{FailureDomain, InstanceId, ServiceName},
    provision::DemandTable,
};
use bluebell_ingress::peers::{KnownPeer, PeerTable, ReceiverChoice};

const DOMAINS: usize = 5;
const IN_EACH: usize = 59;
/// How often a full word is told, in ms.
const INTERVAL: u64 = 800;

/// One entry instance of the fleet.
struct FleetEntry {
    domain: FailureDomain,
    choice: ReceiverChoice,
    table: PeerTable,
    demands: DemandTable,
    is_alive: bool,
}

/// The instances by their port.
struct EntryFleet {
    entries: BTreeMap<u16, FleetEntry>,
    sent: usize,
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

fn known(port: u16) -> KnownPeer {
    KnownPeer {
        address: ([127, 0, 0, 1], port).into(),
        start: 1,
        domain: domain(port),
        heard_at: None,
        stamp: 0,
    }
}

impl EntryFleet {
    fn new() -> EntryFleet {
        let ports = 1..=(DOMAINS * IN_EACH) as u16;
        let entries = ports.clone().map(|port| {
            let mut table = PeerTable::new();
            for other in ports.clone().filter(|other| *other != port) {
                table.register(&instance(other), known(other));
            }
            let entry = FleetEntry {
                domain: domain(port),
                choice: ReceiverChoice::new(instance(port), domain(port)),
                table,
                demands: DemandTable::new(),
                is_alive: true,
            };
            (port, entry)
        });
        EntryFleet {
            entries: entries.collect(),
            sent: 0,
        }
    }

    /// Every instance that is alive tells what it has.
    fn tell(&mut self, now: u64) {
        let ports: Vec<u16> = self.entries.keys().copied().collect();
        for port in ports {
            let sender = self.entries.get_mut(&port).unwrap();
            if !sender.is_alive {
                continue;
            }
            sender.demands.prefill_sent(at(now), &service(), 80.0);
            let own = sender.demands.local(at(now));
            let sum = sender.demands.directly_reported(at(now));
            let near = sender.choice.everyone(at(now), &sender.table);
            let speaks = sender
                .table
                .is_speaker(at(now), &instance(port), &sender.domain);
            let far = match speaks {
                true => sender.choice.far(at(now), &sender.table),
                false => Vec::new(),
            };
            self.sent += near.len() + far.len();
            for told in near {
                let receiver = self.entries.get_mut(&told.address.port()).unwrap();
                receiver.table.heard(at(now), &instance(port), now);
                for (service, demand) in &own {
                    let demands = &mut receiver.demands;
                    demands.note_peer(at(now), &instance(port), service.clone(), *demand);
                }
            }
            for told in far {
                let receiver = self.entries.get_mut(&told.address.port()).unwrap();
                receiver.table.heard(at(now), &instance(port), now);
                for (service, demand) in &sum {
                    let demands = &mut receiver.demands;
                    demands.note_domain(at(now), &domain(port), service.clone(), *demand);
                }
            }
        }
    }
}

/// Guards against a steward that plans a large fleet by the work of its own failure
/// domain, and so leaves too few engines for what runs.
#[test]
fn each_of_hundreds_of_instances_knows_the_work_of_all() {
    let mut fleet = EntryFleet::new();
    let mut now = 10_000;
    for _ in 0..20 {
        fleet.tell(now);
        now += INTERVAL;
    }
    let mut one = DemandTable::new();
    for step in 0..20 {
        one.prefill_sent(at(10_000 + step * INTERVAL), &service(), 80.0);
    }
    let expected = one.total(at(now), &service()).prefill * (DOMAINS * IN_EACH) as f64;
    for port in [1, 2, 150, 295] {
        let demands = &mut fleet.entries.get_mut(&port).unwrap().demands;
        let total = demands.total(at(now), &service()).prefill;
        assert!(
            (total / expected - 1.0).abs() < 0.35,
            "{total} of {expected}"
        );
    }
}

/// Guards against words that grow with the square of the number of instances.
#[test]
fn hundreds_of_instances_send_few_words() {
    let mut fleet = EntryFleet::new();
    let mut now = 10_000;
    for _ in 0..5 {
        fleet.tell(now);
        now += INTERVAL;
    }
    fleet.sent = 0;
    for _ in 0..10 {
        fleet.tell(now);
        now += INTERVAL;
    }
    let for_each = fleet.sent / 10 / (DOMAINS * IN_EACH);
    assert!(for_each <= IN_EACH + 20, "{for_each} words each at a time");
}

/// Guards against a failure domain that seems to be cut off because the instances that
/// spoke for it were killed.
#[test]
fn a_failure_domain_is_heard_after_one_that_speaks_for_it_is_killed() {
    let mut fleet = EntryFleet::new();
    let mut now = 10_000;
    for step in 0..20 {
        if step == 8 {
            // The first of its failure domain by name, which reads the store for it.
            fleet.entries.get_mut(&1).unwrap().is_alive = false;
        }
        fleet.tell(now);
        now += INTERVAL;
        if step > 4 {
            let table = &fleet.entries[&2].table;
            assert!(
                table.silent_domains(at(now)).is_empty(),
                "after step {step}"
            );
        }
    }
}
