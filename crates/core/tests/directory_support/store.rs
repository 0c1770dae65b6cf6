//! The registrations in the store and the log of their changes.

use std::collections::BTreeMap;

use bluebell_core::{
    clock::TimeSpan,
    directory::{EndpointRegistration, SoftwareVersion},
    ids::{EndpointId, FailureDomain, ServiceName},
};
use rand::{Rng, seq::IteratorRandom};
use rand_chacha::ChaCha8Rng;

/// The time between the announcement of an endpoint that it leaves and its end.
const LEAVING_MS: u64 = 4_000;
/// How long the store keeps its history.
const HISTORY_MS: u64 = 8_000;
/// The number of records in one answer.
pub const MAX_RECORDS: usize = 12;

/// A record of the log: the registration, or none if it was removed.
#[derive(Clone, Debug)]
pub struct ModelRecord {
    pub at: u64,
    pub id: EndpointId,
    pub registration: Option<EndpointRegistration>,
}

/// The store.
pub struct ModelStore {
    records: Vec<ModelRecord>,
    /// The number of records that the history no longer has.
    trimmed: usize,
    registered: BTreeMap<EndpointId, EndpointRegistration>,
    /// When endpoints announced that they leave, or were withdrawn.
    left: BTreeMap<EndpointId, u64>,
    /// When leaving endpoints end.
    ends: Vec<(u64, EndpointId)>,
    next_number: usize,
}

impl ModelStore {
    pub fn new(endpoints: usize, now: u64) -> ModelStore {
        let mut store = ModelStore {
            records: Vec::new(),
            trimmed: 0,
            registered: BTreeMap::new(),
            left: BTreeMap::new(),
            ends: Vec::new(),
            next_number: 0,
        };
        for _ in 0..endpoints {
            store.start_endpoint(now);
        }
        store
    }

    /// All registrations.
    pub fn newest(&self) -> impl Iterator<Item = &EndpointRegistration> {
        self.registered.values()
    }

    /// The endpoints that have left, with the times of that.
    pub fn left(&self) -> impl Iterator<Item = (&EndpointId, u64)> {
        self.left.iter().map(|(id, at)| (id, *at))
    }

    /// The number of the next record.
    pub fn end(&self) -> usize {
        self.records.len()
    }

    /// The records from `from` on that existed at `now`; `None` if the history has no longer all.
    pub fn read(&self, from: usize, end: usize) -> Option<&[ModelRecord]> {
        let last = end.min(from + MAX_RECORDS).max(from);
        (from >= self.trimmed).then(|| &self.records[from..last])
    }

    /// Drops the history up to now.
    pub fn trim(&mut self) {
        self.trimmed = self.records.len();
    }

    /// Ends the endpoints whose time has come, and drops old history.
    pub fn advance(&mut self, now: u64) {
        let due = |(at, _): &(u64, EndpointId)| *at <= now;
        let ended: Vec<(u64, EndpointId)> = self.ends.extract_if(.., |end| due(end)).collect();
        for (_, id) in ended {
            self.remove(now, &id);
        }
        while let Some(record) = self.records.get(self.trimmed)
            && record.at + HISTORY_MS < now
        {
            self.trimmed += 1;
        }
    }

    /// One to many endpoints start, announce that they leave, or are withdrawn.
    pub fn change(&mut self, now: u64, random: &mut ChaCha8Rng) {
        let count = match random.random_bool(0.15) {
            true => random.random_range(10..40),
            false => random.random_range(1..4),
        };
        let is_withdrawn = random.random_bool(0.3);
        let staying = |entry: &&EndpointRegistration| !entry.is_leaving;
        let leaving = self.newest().filter(staying).map(|entry| entry.id.clone());
        for id in leaving.choose_multiple(random, count) {
            match is_withdrawn {
                true => self.withdraw(now, &id),
                false => self.announce_leaving(now, &id),
            }
            self.start_endpoint(now);
        }
    }

    fn start_endpoint(&mut self, now: u64) {
        let id = format!("endpoint-{}", self.next_number);
        self.next_number += 1;
        let registration = EndpointRegistration {
            id: EndpointId::new(id.as_str()).unwrap(),
            start: now,
            service: ServiceName::new("till").unwrap(),
            address: "10.0.0.1:80".parse().unwrap(),
            domain: FailureDomain::new("a").unwrap(),
            version: SoftwareVersion::new("v1"),
            slots: 6,
            is_leaving: false,
            leaves_in: None,
            is_preemptible: false,
            stage: None,
            warming: TimeSpan::ZERO,
            sequence: 1,
        };
        self.write(now, registration);
    }

    /// The endpoint announces that it leaves.
    pub fn announce_leaving(&mut self, now: u64, id: &EndpointId) {
        let registration = EndpointRegistration {
            is_leaving: true,
            sequence: 2,
            ..self.registered[id].clone()
        };
        self.write(now, registration);
        self.left.insert(id.clone(), now);
        self.ends.push((now + LEAVING_MS, id.clone()));
    }

    /// The registration is removed without an announcement.
    fn withdraw(&mut self, now: u64, id: &EndpointId) {
        self.left.insert(id.clone(), now);
        self.remove(now, id);
    }

    fn write(&mut self, now: u64, registration: EndpointRegistration) {
        let id = registration.id.clone();
        self.records.push(ModelRecord {
            at: now,
            id: id.clone(),
            registration: Some(registration.clone()),
        });
        self.registered.insert(id, registration);
    }

    fn remove(&mut self, now: u64, id: &EndpointId) {
        self.registered.remove(id);
        self.records.push(ModelRecord {
            at: now,
            id: id.clone(),
            registration: None,
        });
    }
}
