//! Choosing a replica of a plain service.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    clock::{ClockTime, TimeSpan},
    directory::EndpointRegistration,
    ids::{EndpointId, FailureDomain},
    routing::{EndpointHealth, RoutingSettings},
};

/// The weight of the newest answer in the average time of answers.
const NEWEST_WEIGHT: f64 = 0.1;

/// What is assumed of a replica that has not answered yet, in ms.
const FIRST_GUESS_MS: f64 = 20.0;

#[derive(Clone, Debug)]
struct ReplicaState {
    outstanding: u32,
    average_ms: f64,
    health: EndpointHealth,
}

impl ReplicaState {
    fn new() -> ReplicaState {
        ReplicaState {
            outstanding: 0,
            average_ms: FIRST_GUESS_MS,
            health: EndpointHealth::new(),
        }
    }
}

/// A replica that was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaChoice {
    /// The replica.
    pub endpoint: EndpointId,
    /// What this entry has outstanding there.
    pub outstanding: u32,
    /// Whether no sound one was left, so that an ejected one had to do.
    pub is_ejected: bool,
}

/// What this entry knows of replicas of plain services.
#[derive(Clone, Debug)]
pub struct ReplicaTable {
    settings: RoutingSettings,
    random: ChaCha8Rng,
    books: BTreeMap<EndpointId, ReplicaState>,
    silent_domains: BTreeSet<FailureDomain>,
}

impl ReplicaTable {
    /// Nothing known.
    pub fn new(settings: RoutingSettings) -> ReplicaTable {
        ReplicaTable {
            settings,
            random: ChaCha8Rng::seed_from_u64(0),
            books: BTreeMap::new(),
            silent_domains: BTreeSet::new(),
        }
    }

    /// Draws ties from `seed`, so that entries don't all take the same replica.
    pub fn with_seed(mut self, seed: u64) -> ReplicaTable {
        self.random = ChaCha8Rng::seed_from_u64(seed);
        self
    }

    /// Chooses among `open`, never one of `tried`. Ejected ones are taken only if
    /// no other is left: a service with all replicas ejected still has to serve.
    pub fn choose<'a, Open>(
        &mut self,
        now: ClockTime,
        open: Open,
        tried: &[EndpointId],
    ) -> Option<ReplicaChoice>
    where
        Open: Iterator<Item = &'a EndpointRegistration>,
    {
        let mut best: Option<(bool, f64, ReplicaChoice)> = None;
        for registration in open.filter(|entry| !tried.contains(&entry.id)) {
            let draw: f64 = self.random.random_range(0.9..1.1);
            let book = self
                .books
                .entry(registration.id.clone())
                .or_insert_with(ReplicaState::new);
            let is_ejected =
                book.health.is_ejected(now) || self.silent_domains.contains(&registration.domain);
            let share = f64::from(book.health.share(now, &self.settings).max(1)) / 100.0;
            let cold = if registration.warming == TimeSpan::ZERO {
                1.0
            } else {
                1.5
            };
            let cost = f64::from(book.outstanding + 1) * book.average_ms * cold * draw / share;
            let better = match &best {
                Some((ejected, least, _)) => (is_ejected, cost) < (*ejected, *least),
                None => true,
            };
            if better {
                let choice = ReplicaChoice {
                    endpoint: registration.id.clone(),
                    outstanding: book.outstanding,
                    is_ejected,
                };
                best = Some((is_ejected, cost, choice));
            }
        }
        best.map(|(_, _, choice)| choice)
    }

    /// Failure domains that seem to be cut off from here; their replicas are taken
    /// only if there are no others.
    pub fn set_unreachable_domains(&mut self, domains: BTreeSet<FailureDomain>) {
        self.silent_domains = domains;
    }

    /// A request was sent there.
    pub fn sent(&mut self, endpoint: &EndpointId) {
        let book = self
            .books
            .entry(endpoint.clone())
            .or_insert_with(ReplicaState::new);
        book.outstanding += 1;
    }

    /// It was answered after `took`.
    pub fn answered(&mut self, now: ClockTime, endpoint: &EndpointId, took: TimeSpan) {
        let Some(book) = self.books.get_mut(endpoint) else {
            return;
        };
        book.outstanding = book.outstanding.saturating_sub(1);
        let took = took.as_millis() as f64;
        book.average_ms += NEWEST_WEIGHT * (took - book.average_ms);
        book.health.note_success(now, &self.settings);
    }

    /// It failed, refused or fell silent. Answers the length of an ejection.
    pub fn failed(&mut self, now: ClockTime, endpoint: &EndpointId) -> Option<TimeSpan> {
        let book = self.books.get_mut(endpoint)?;
        book.outstanding = book.outstanding.saturating_sub(1);
        book.health
            .note_failure(now, &self.settings, &mut self.random)
    }

    /// It was given up for a reason that says nothing about the replica.
    pub fn released(&mut self, endpoint: &EndpointId) {
        if let Some(book) = self.books.get_mut(endpoint) {
            book.outstanding = book.outstanding.saturating_sub(1);
        }
    }

    /// The replica is gone.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        self.books.remove(endpoint);
    }
}
