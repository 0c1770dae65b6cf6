//! A pool whose endpoints turn away requests, and waits while many organisations have few requests.

use super::{PoolQueue, WorkClass};
use crate::{
    clock::{ClockTime, TimeSpan},
    ids::OrganisationId,
};

impl PoolQueue {
    /// Sets whether estimated waits include the turns of other organisations.
    pub fn with_turns(mut self, counts_turns: bool) -> PoolQueue {
        self.counts_turns = counts_turns;
        self
    }

    /// Returns the cost of one request of each organisation whose turn in the class comes before
    /// that of `organisation`; zero if turns are not counted.
    pub(super) fn turns_before(&self, organisation: &OrganisationId, class: WorkClass) -> u64 {
        let Some(order) = self.orders.get(&class).filter(|_| self.counts_turns) else {
            return 0;
        };
        let counter = self
            .counters
            .counter(organisation)
            .max(self.counters.floor());
        let turns = order.range(..(counter, organisation.clone())).count() as u64;
        let total_cost: u64 = self.class_costs.values().sum();
        turns * (total_cost / self.queued.max(1) as u64)
    }

    /// Starts no request before `until`, when the endpoints are expected to have room.
    pub fn close(&mut self, until: ClockTime) {
        self.closed_until = Some(until);
    }

    /// Returns the time until requests may start again.
    pub fn closed_for(&self, now: ClockTime) -> TimeSpan {
        self.closed_until
            .map_or(TimeSpan::ZERO, |until| until.since(now))
    }

    /// Returns when a closed pool with queued requests opens.
    pub fn opens_at(&self) -> Option<ClockTime> {
        self.closed_until.filter(|_| self.queued > 0)
    }

    /// Frees the slot of a request that found no room.
    pub fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }
}
