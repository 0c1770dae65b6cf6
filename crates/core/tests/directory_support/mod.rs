//! Registrations that reach the instances of a fleet, in virtual time. The decisions are the
//! production ones; the store, datagrams and processes are simulated. Times are in ms.

mod faults;
mod instance;
mod store;
mod sync;

use std::collections::BTreeMap;

use bluebell_core::{
    directory::{EndpointRegistration, LAPSE_GRACE},
    ids::EndpointId,
    relay::{RELAY_TIMEOUT, StateValidity, StoreReads},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use instance::ModelInstance;
use store::ModelStore;

use crate::fleet_support::{self, ProcessState, RELAY_MS, STABLE_MS, STEP_MS, at, span};

/// The time within which a read that the store left unanswered is given up and sent again.
const RECOVERY_MS: u64 = 1_300;
/// The number of endpoints at the start.
const ENDPOINTS: usize = 60;

/// The fleet, its store and what was observed.
pub struct FleetModel {
    pub random: ChaCha8Rng,
    pub now: u64,
    pub bound: u64,
    pub instances: Vec<ModelInstance>,
    pub domains: usize,
    pub store: ModelStore,
    /// The end of the current outage of the store.
    pub outage_end: u64,
    /// The number of reads of all registrations.
    pub full_reads: u64,
    /// How often an instance in touch could have sent a request.
    pub decisions: u64,
    /// How often it would have refused it.
    pub refused: u64,
    /// The longest span in which an instance in touch refused all requests.
    pub longest_refusal: u64,
    /// The number of looks at an endpoint that has left and still gets requests, by the whole
    /// seconds since it left.
    pub ages: BTreeMap<u64, u64>,
    pub violations: Vec<String>,
    /// Sends beyond the bound to endpoints whose registrations have lapsed, at instances that keep
    /// them for the grace period after an outage although they are in touch again.
    pub lapsed_violations: Vec<String>,
}

impl FleetModel {
    pub fn new(seed: u64, instances: usize, domains: usize, bound: u64) -> FleetModel {
        let now = 10_000;
        let store = ModelStore::new(ENDPOINTS, now);
        let process = |number: usize| ProcessState::new(number % domains, now);
        let instance = |number| ModelInstance::with_process(process(number));
        let mut fleet = FleetModel {
            random: ChaCha8Rng::seed_from_u64(seed),
            now,
            bound,
            instances: (0..instances).map(instance).collect(),
            domains,
            store,
            outage_end: 0,
            full_reads: 0,
            decisions: 0,
            refused: 0,
            longest_refusal: 0,
            ages: BTreeMap::new(),
            violations: Vec::new(),
            lapsed_violations: Vec::new(),
        };
        let registered: Vec<EndpointRegistration> = fleet.store.newest().cloned().collect();
        for instance in &mut fleet.instances {
            instance.take_all(now, now, &registered);
        }
        fleet
    }

    /// The instances of a failure domain that are considered alive, by rank.
    pub fn live_members(&self, domain: usize) -> Vec<usize> {
        let process = |number: usize| &self.instances[number].process;
        let count = self.instances.len();
        fleet_support::live_members(self.now, count, self.domains, domain, process)
    }

    fn validity(&self, number: usize) -> StateValidity {
        let instance = &self.instances[number];
        let is_silent = instance.process.silent_for(self.now) >= RELAY_TIMEOUT;
        let reads = match is_silent {
            true => instance.reads,
            false => StoreReads::new(),
        };
        let sync = &instance.sync;
        sync.validity(at(self.now), span(self.bound), reads)
    }

    /// Whether an instance sends requests.
    pub fn sends(&self, number: usize) -> bool {
        self.validity(number) != StateValidity::Unconfirmed
    }

    fn is_cut_off(&self, number: usize) -> bool {
        let rejected_until = self.instances[number].process.rejected_until;
        self.now < self.outage_end.max(rejected_until) + STABLE_MS
    }

    /// Whether an instance may be in the grace period after the first read that the store has
    /// answered again, in which it keeps endpoints whose registrations have lapsed.
    fn is_in_grace_period(&self, number: usize) -> bool {
        let rejected_until = self.instances[number].process.rejected_until;
        let recovered_by = self.outage_end.max(rejected_until) + RECOVERY_MS;
        self.now < recovered_by + LAPSE_GRACE.as_millis()
    }

    fn is_in_touch(&self, number: usize) -> bool {
        let instance = &self.instances[number];
        let is_stable = self.now >= instance.process.undisturbed_since + STABLE_MS;
        is_stable && !self.is_cut_off(number)
    }

    /// Checks to which endpoints an instance would send requests now.
    fn decide(&mut self, number: usize) {
        let validity = self.validity(number);
        let is_in_touch = self.is_in_touch(number);
        if is_in_touch {
            self.decisions += 1;
            self.refused += u64::from(validity == StateValidity::Unconfirmed);
        }
        let now = self.now;
        let is_refusing = is_in_touch && validity == StateValidity::Unconfirmed;
        let process = &mut self.instances[number].process;
        let refused_for = process.note_refusal(now, is_refusing);
        self.longest_refusal = self.longest_refusal.max(refused_for);
        if validity == StateValidity::Unconfirmed {
            return;
        }
        let directory = &self.instances[number].directory;
        let is_used = |id: &EndpointId| directory.open_at(at(now), id).is_some();
        let used: Vec<(EndpointId, u64)> = self
            .store
            .left()
            .filter(|(id, _)| is_used(id))
            .map(|(id, left_at)| (id.clone(), left_at))
            .collect();
        for (id, left_at) in used {
            let age = now - left_at;
            let kept_for = self.instances[number]
                .directory
                .remaining_grace(at(now), &id);
            *self.ages.entry(age / 1_000).or_default() += 1;
            if age <= self.bound || !is_in_touch {
                continue;
            }
            let status = self.instances[number].sync.status(at(now));
            let violation = format!(
                "at {now}: {number} sends to {id}, which left {age} ms ago, as {validity:?}: \
                 {status}, kept for {kept_for:?}"
            );
            match kept_for.is_some() && self.is_in_grace_period(number) {
                true => self.lapsed_violations.push(violation),
                false => self.violations.push(violation),
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        self.store.advance(self.now);
        if self.now.is_multiple_of(RELAY_MS) {
            self.relay();
        }
        for domain in 0..self.domains {
            let members = self.live_members(domain);
            for (rank, number) in members.into_iter().enumerate() {
                if !self.instances[number].process.runs(self.now) {
                    continue;
                }
                // Requests can be sent before the datagrams that have arrived are read.
                self.decide(number);
                self.receive(number);
                self.advance(number, rank);
                self.decide(number);
            }
        }
    }

    /// Runs without faults and without endpoints that leave.
    pub fn run_quietly(&mut self, span_ms: u64) {
        let end = self.now + span_ms;
        while self.now < end {
            self.step();
        }
    }

    /// Runs with random faults and endpoints that leave.
    pub fn run(&mut self, span_ms: u64) {
        let end = self.now + span_ms;
        let mut next_change = self.now + 500;
        let mut next_fault = self.now + 1_000;
        while self.now < end {
            if self.now >= next_change {
                self.store.change(self.now, &mut self.random);
                next_change = self.now + self.random.random_range(50..1_500);
            }
            if self.now >= next_fault {
                self.inject_fault();
                next_fault = self.now + self.random.random_range(200..2_500);
            }
            self.step();
        }
    }

    /// Has all endpoints but `count` announce that they leave; returns those.
    pub fn leave_all_but(&mut self, count: usize) -> Vec<EndpointId> {
        let ids: Vec<EndpointId> = self.store.newest().map(|entry| entry.id.clone()).collect();
        let leaving = ids.into_iter().skip(count).collect::<Vec<_>>();
        for id in &leaving {
            self.store.announce_leaving(self.now, id);
        }
        leaving
    }

    /// The number of instances that send requests to any of the endpoints.
    pub fn instances_sending_to(&self, endpoints: &[EndpointId]) -> usize {
        let is_sending = |number: &usize| {
            let directory = &self.instances[*number].directory;
            let mut known = endpoints.iter().filter_map(|id| directory.get(id));
            self.sends(*number) && known.any(|known| !known.is_leaving)
        };
        (0..self.instances.len()).filter(is_sending).count()
    }
}
