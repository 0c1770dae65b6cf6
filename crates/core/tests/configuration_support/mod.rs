//! Configurations that reach the instances of a fleet, in virtual time. The decisions are the
//! production ones; the store, datagrams and processes are simulated. Times are in ms.

mod faults;
mod instance;
mod sync;

use bluebell_core::ingress::{ConfigurationValidity, ValidityLimits};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use instance::{ModelInstance, configuration};

use crate::fleet_support::{self, ProcessState, RELAY_MS, STABLE_MS, STEP_MS, at, span};

/// The time limit of a read of the store, without the wait for a record.
pub const READ_TIMEOUT_MS: u64 = 900;

/// The fleet, its store and what was observed.
pub struct FleetModel {
    pub random: ChaCha8Rng,
    pub now: u64,
    pub bound: u64,
    pub instances: Vec<ModelInstance>,
    pub domains: usize,
    /// The acknowledged versions, with their times.
    pub versions: Vec<(u64, u64)>,
    /// The end of the current outage of the store.
    pub outage_end: u64,
    /// The longest span in which an instance in touch refused all requests.
    pub longest_refusal: u64,
    pub decisions: u64,
    pub violations: Vec<String>,
}

impl FleetModel {
    pub fn new(seed: u64, instances: usize, domains: usize, bound: u64) -> FleetModel {
        let mut fleet = FleetModel {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 10_000,
            bound,
            instances: (0..instances)
                .map(|number| {
                    ModelInstance::with_process(ProcessState::new(number % domains, 10_000))
                })
                .collect(),
            domains,
            versions: vec![(1, 0)],
            outage_end: 0,
            longest_refusal: 0,
            decisions: 0,
            violations: Vec::new(),
        };
        for number in 0..instances {
            fleet.instances[number].tracker.offer(configuration(1));
            fleet.instances[number].tracker.confirm(at(fleet.now));
        }
        fleet
    }

    pub fn stored_version(&self) -> u64 {
        self.versions.last().unwrap().0
    }

    /// The newest version that has to be in force everywhere.
    pub fn due_version(&self) -> u64 {
        let due = self.versions.iter().rev();
        let mut due = due.filter(|(_, acknowledged)| acknowledged + self.bound < self.now);
        due.next().map_or(0, |(version, _)| *version)
    }

    pub fn publish(&mut self) {
        let next = self.stored_version() + self.random.random_range(1..4);
        self.versions.push((next, self.now));
    }

    /// The instances of a failure domain that are considered alive, by rank.
    pub fn live_members(&self, domain: usize) -> Vec<usize> {
        let process = |number: usize| &self.instances[number].process;
        let count = self.instances.len();
        fleet_support::live_members(self.now, count, self.domains, domain, process)
    }

    pub fn limits(&self) -> ValidityLimits {
        ValidityLimits::with_bound(span(self.bound))
    }

    /// Checks what an instance would decide now against the version that has to be in force.
    pub fn decide(&mut self, number: usize) {
        let (due, limits, now) = (self.due_version(), self.limits(), self.now);
        let instance = &self.instances[number];
        let validity = instance.tracker.validity(at(now), limits, instance.reads);
        let version = instance.tracker.version().unwrap_or(0);
        let is_cut_off = now < self.outage_end.max(instance.process.rejected_until) + STABLE_MS;
        let is_old = version < due;
        let is_wrong = match validity {
            ConfigurationValidity::Current => is_old,
            ConfigurationValidity::CutOff => is_old && !is_cut_off,
            _ => false,
        };
        self.decisions += 1;
        if is_wrong {
            self.violations.push(format!(
                "at {now}: {number} decides by {version} instead of {due} as {validity:?}"
            ));
        }
        let is_in_touch = now >= instance.process.undisturbed_since + STABLE_MS && !is_cut_off;
        let is_refusing = is_in_touch && !validity.serves_known_routes();
        let process = &mut self.instances[number].process;
        let refused_for = process.note_refusal(now, is_refusing);
        self.longest_refusal = self.longest_refusal.max(refused_for);
    }

    pub fn step(&mut self) {
        self.now += STEP_MS;
        if self.now.is_multiple_of(RELAY_MS) {
            self.relay();
        }
        for domain in 0..self.domains {
            let members = self.live_members(domain);
            for (rank, number) in members.into_iter().enumerate() {
                if !self.instances[number].process.runs(self.now) {
                    continue;
                }
                // Requests can be decided before the datagrams that have arrived are read.
                self.decide(number);
                self.receive(number);
                self.advance(number, rank);
                self.decide(number);
            }
        }
    }

    /// Runs without faults and new versions.
    pub fn run_quietly(&mut self, span_ms: u64) {
        let end = self.now + span_ms;
        while self.now < end {
            self.step();
        }
    }

    /// Whether an instance serves known routes.
    pub fn serves(&self, number: usize) -> bool {
        let instance = &self.instances[number];
        let validity = instance
            .tracker
            .validity(at(self.now), self.limits(), instance.reads);
        validity.serves_known_routes()
    }

    /// Runs with random faults and new versions.
    pub fn run(&mut self, span_ms: u64) {
        let end = self.now + span_ms;
        let mut next_version = self.now + 500;
        let mut next_fault = self.now + 1_000;
        while self.now < end {
            if self.now >= next_version {
                self.publish();
                next_version = self.now + self.random.random_range(50..2_500);
            }
            if self.now >= next_fault {
                self.inject_fault();
                next_fault = self.now + self.random.random_range(200..2_500);
            }
            self.step();
        }
    }
}
