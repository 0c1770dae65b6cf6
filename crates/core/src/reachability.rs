//! Whether this instance reaches the endpoints of each service.
//!
//! An instance that is partitioned from all endpoints of a service sees what it would see if
//! all of them had failed. Blamed on the endpoints, this would spread: their ejections,
//! crashes and missing capacity would be reported to instances that reach them.
//!
//! Failures of several endpoints in a row put the service in doubt. Connections that are
//! opened to a sample of its endpoints then decide. Established connections may outlive the
//! paths of new ones, so an answer on such a connection does not count as a success of a
//! connection attempt.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{EndpointId, ServiceName},
};

/// How many endpoints have to fail in a row before their service is in doubt. One that is
/// silent or crashes says nothing about the others.
const MIN_FAILED_ENDPOINTS: usize = 2;

/// How long after the last failure a doubt is kept that no probe decides.
const MAX_DOUBT: TimeSpan = TimeSpan::from_millis(2_000);

/// Whether the endpoints of a service are reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReachState {
    /// They are reached, as far as is known.
    #[default]
    Reached,
    /// Several endpoints failed in a row.
    InDoubt,
    /// No connection could be opened to any of a sample of them.
    Unreachable,
}

/// A change of state that has consequences.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// The service became unreachable; the failures began at this time.
    Lost(ClockTime),
    /// The service is reached again.
    Regained,
}

#[derive(Clone, Debug, Default, Serialize)]
struct ServiceReach {
    state: ReachState,
    /// Endpoints whose connections could not be opened, since one was opened last.
    not_connected: BTreeSet<EndpointId>,
    /// Endpoints whose connections broke without an answer, since one answered last.
    broken: BTreeSet<EndpointId>,
    answered_at: Option<ClockTime>,
    /// The first of these failures.
    failing_since: Option<ClockTime>,
    last_failure: ClockTime,
}

impl ServiceReach {
    /// Records a failure at a service with `known` endpoints. Returns whether the service came
    /// into doubt.
    fn note_failure(&mut self, now: ClockTime, known: usize) -> bool {
        let was_in_doubt = self.is_in_doubt(now);
        self.failing_since.get_or_insert(now);
        self.last_failure = now;
        let enough = MIN_FAILED_ENDPOINTS.min(known.max(1));
        let has_enough = self.not_connected.len() >= enough || self.broken.len() >= enough;
        if self.state == ReachState::Reached && has_enough {
            self.state = ReachState::InDoubt;
        }
        !was_in_doubt && self.is_in_doubt(now)
    }

    fn clear_if_unfailing(&mut self) {
        if self.not_connected.is_empty() && self.broken.is_empty() {
            self.failing_since = None;
        }
    }

    fn is_in_doubt(&self, now: ClockTime) -> bool {
        match self.state {
            ReachState::Reached => false,
            ReachState::InDoubt => now.since(self.last_failure) < MAX_DOUBT,
            ReachState::Unreachable => true,
        }
    }
}

/// The reachability of all services from one instance.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(transparent)]
pub struct ReachTable {
    services: BTreeMap<ServiceName, ServiceReach>,
}

impl ReachTable {
    /// Creates a table in which all services are reached.
    pub fn new() -> ReachTable {
        ReachTable::default()
    }

    /// Records that a connection to an endpoint of `service` was opened.
    pub fn note_connected(&mut self, service: &ServiceName) {
        if let Some(reach) = self.services.get_mut(service) {
            reach.not_connected.clear();
            reach.clear_if_unfailing();
        }
    }

    /// Records that an endpoint of `service` answered.
    pub fn note_answered(&mut self, now: ClockTime, service: &ServiceName) {
        let reach = self.reach(service);
        reach.answered_at = Some(now);
        reach.broken.clear();
        reach.clear_if_unfailing();
    }

    /// Whether an endpoint of `service` has answered since `sent`.
    pub fn has_answered_since(&self, service: &ServiceName, sent: ClockTime) -> bool {
        let reach = self.services.get(service);
        let answered_at = reach.and_then(|reach| reach.answered_at);
        answered_at.is_some_and(|at| at >= sent)
    }

    /// Records that no connection to `endpoint` could be opened. Returns whether its
    /// service, which has `known` endpoints, came into doubt.
    pub fn note_not_connected(
        &mut self,
        now: ClockTime,
        service: &ServiceName,
        endpoint: &EndpointId,
        known: usize,
    ) -> bool {
        let reach = self.reach(service);
        reach.not_connected.insert(endpoint.clone());
        reach.note_failure(now, known)
    }

    /// Records that a connection to `endpoint` broke without a complete answer. Returns
    /// whether its service, which has `known` endpoints, came into doubt.
    pub fn note_broken(
        &mut self,
        now: ClockTime,
        service: &ServiceName,
        endpoint: &EndpointId,
        known: usize,
    ) -> bool {
        let reach = self.reach(service);
        reach.broken.insert(endpoint.clone());
        reach.note_failure(now, known)
    }

    /// Puts `service` in doubt because another one is unreachable: a partition rarely concerns
    /// one service alone.
    pub fn suspect(&mut self, now: ClockTime, service: &ServiceName) {
        let reach = self.reach(service);
        if reach.state == ReachState::Reached {
            reach.state = ReachState::InDoubt;
            reach.failing_since.get_or_insert(now);
            reach.last_failure = now;
        }
    }

    /// Records whether a connection to any of the probed endpoints of `service` could be
    /// opened.
    pub fn note_probed(&mut self, service: &ServiceName, is_reached: bool) -> Option<ReachChange> {
        let reach = self.services.get_mut(service)?;
        if is_reached {
            let was_unreachable = reach.state == ReachState::Unreachable;
            *reach = ServiceReach {
                answered_at: reach.answered_at,
                ..ServiceReach::default()
            };
            return was_unreachable.then_some(ReachChange::Regained);
        }
        if reach.state == ReachState::Unreachable {
            return None;
        }
        reach.state = ReachState::Unreachable;
        Some(ReachChange::Lost(reach.failing_since.unwrap_or_default()))
    }

    /// Records that no endpoint of `service` is registered any more, so that none can be probed and
    /// none is unreachable.
    pub fn note_empty(&mut self, service: &ServiceName) -> Option<ReachChange> {
        let reach = self.services.remove(service)?;
        let was_unreachable = reach.state == ReachState::Unreachable;
        was_unreachable.then_some(ReachChange::Regained)
    }

    /// The services whose endpoints are to be probed.
    pub fn probe_due(&self, now: ClockTime) -> Vec<ServiceName> {
        let due = self.services.iter();
        let due = due.filter(|(_, reach)| reach.is_in_doubt(now));
        due.map(|(service, _)| service.clone()).collect()
    }

    /// Whether `service` is unreachable.
    pub fn is_unreachable(&self, service: &ServiceName) -> bool {
        let reach = self.services.get(service);
        reach.is_some_and(|reach| reach.state == ReachState::Unreachable)
    }

    /// Whether it is in doubt that `service` is reached.
    pub fn is_in_doubt(&self, now: ClockTime, service: &ServiceName) -> bool {
        let reach = self.services.get(service);
        reach.is_some_and(|reach| reach.is_in_doubt(now))
    }

    /// The unreachable services.
    pub fn unreachable(&self) -> impl Iterator<Item = &ServiceName> {
        let services = self.services.iter();
        let unreachable = services.filter(|(_, reach)| reach.state == ReachState::Unreachable);
        unreachable.map(|(service, _)| service)
    }

    /// Whether any service is in doubt or unreachable, so that failures of its endpoints
    /// must not be reported.
    pub fn is_any_in_doubt(&self, now: ClockTime) -> bool {
        self.services.values().any(|reach| reach.is_in_doubt(now))
    }

    fn reach(&mut self, service: &ServiceName) -> &mut ServiceReach {
        self.services.entry(service.clone()).or_default()
    }
}
