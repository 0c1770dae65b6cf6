//! Virtual token counters: the service that each organisation received, divided by its
//! weight.

use std::collections::BTreeMap;

use crate::{
    ids::OrganisationId,
    units::{ShareWeight, TokenCount},
};

/// Counter units per token at weight 1, so that division by weights keeps enough
/// precision.
const UNITS_PER_TOKEN: u64 = 1_024;

/// The counters of one pool.
#[derive(Clone, Debug, Default)]
pub struct FairCounters {
    floor: u64,
    counters: BTreeMap<OrganisationId, u64>,
}

impl FairCounters {
    /// Creates counters without any organisation; all start at zero.
    pub fn new() -> FairCounters {
        FairCounters::default()
    }

    /// Raises the counter of an organisation that becomes active to the floor, and
    /// returns it. Without the floor, an organisation that was idle all night would
    /// block the others in the morning until its counter had caught up.
    pub fn activate(&mut self, organisation: &OrganisationId) -> u64 {
        let floor = self.floor;
        match self.counters.get_mut(organisation) {
            Some(counter) => {
                *counter = (*counter).max(floor);
                *counter
            }
            None => {
                self.counters.insert(organisation.clone(), floor);
                floor
            }
        }
    }

    /// Returns the organisation's counter, in counter units.
    pub fn counter(&self, organisation: &OrganisationId) -> u64 {
        self.counters
            .get(organisation)
            .copied()
            .unwrap_or(self.floor)
    }

    /// Raises the floor to the counter of an organisation whose request starts.
    pub fn raise_floor(&mut self, counter: u64) {
        self.floor = self.floor.max(counter);
    }

    /// Charges `cost`, up to `limit` above the floor, and returns the units charged.
    /// The floor does not rise while the pool is not contended; without the limit, an
    /// organisation that used an idle pool alone for an hour would be blocked for as
    /// long once other organisations become active.
    pub fn charge(
        &mut self,
        organisation: &OrganisationId,
        cost: TokenCount,
        weight: ShareWeight,
        limit: TokenCount,
    ) -> u64 {
        let max_counter = self.floor.saturating_add(units(limit, weight));
        let counter = self.counter_mut(organisation);
        let before = *counter;
        let raised = before.saturating_add(units(cost, weight));
        *counter = raised.min(max_counter.max(before));
        *counter - before
    }

    /// Replaces `charged` units by the actual `cost`. The refund may put an
    /// organisation below the floor, as it was served less than the others.
    pub fn correct(
        &mut self,
        organisation: &OrganisationId,
        charged: u64,
        cost: TokenCount,
        weight: ShareWeight,
        limit: TokenCount,
    ) {
        let actual = units(cost, weight);
        if actual <= charged {
            let counter = self.counter_mut(organisation);
            *counter = counter.saturating_sub(charged - actual);
            return;
        }
        let max_counter = self.floor.saturating_add(units(limit, weight));
        let counter = self.counter_mut(organisation);
        *counter = (*counter + (actual - charged)).min(max_counter.max(*counter));
    }

    /// Returns the counter units of `cost` at weight 1.
    pub fn units(cost: TokenCount) -> u64 {
        units(cost, ShareWeight::new(1))
    }

    /// Returns the floor, in counter units.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// Returns how far the organisation's counter is above the floor, in counter units.
    pub fn units_above_floor(&self, organisation: &OrganisationId) -> u64 {
        self.counter(organisation).saturating_sub(self.floor)
    }

    /// Returns how far the organisation's counter is above the floor, as cost at its
    /// weight.
    pub fn debt(&self, organisation: &OrganisationId, weight: ShareWeight) -> TokenCount {
        let above_floor = self.counter(organisation).saturating_sub(self.floor);
        TokenCount::new(above_floor.saturating_mul(weight.count().max(1)) / UNITS_PER_TOKEN)
    }

    /// Removes the counters that are not above the floor, as their organisations would
    /// start at the floor anyway, except those for which `keep` returns true. If more
    /// than `limit` are left, the floor rises until half of the limit are: the smallest
    /// debts are cancelled.
    pub fn prune<Keep>(&mut self, limit: usize, keep: Keep)
    where
        Keep: Fn(&OrganisationId) -> bool,
    {
        self.remove_up_to_floor(&keep);
        if self.counters.len() <= limit {
            return;
        }
        let is_idle = |item: &(&OrganisationId, &u64)| !keep(item.0);
        let mut idle_counters: Vec<u64> =
            self.counters.iter().filter(is_idle).map(|i| *i.1).collect();
        idle_counters.sort_unstable();
        let surplus = idle_counters.len().saturating_sub(limit / 2);
        if let Some(last) = surplus.checked_sub(1) {
            self.floor = self.floor.max(idle_counters[last]);
        }
        self.remove_up_to_floor(&keep);
    }

    fn remove_up_to_floor<Keep>(&mut self, keep: &Keep)
    where
        Keep: Fn(&OrganisationId) -> bool,
    {
        let floor = self.floor;
        self.counters
            .retain(|organisation, counter| *counter > floor || keep(organisation));
    }

    /// Number of organisations with a counter.
    pub fn len(&self) -> usize {
        self.counters.len()
    }

    /// Whether no organisation has a counter.
    pub fn is_empty(&self) -> bool {
        self.counters.is_empty()
    }

    fn counter_mut(&mut self, organisation: &OrganisationId) -> &mut u64 {
        let floor = self.floor;
        if !self.counters.contains_key(organisation) {
            self.counters.insert(organisation.clone(), floor);
        }
        self.counters
            .get_mut(organisation)
            .expect("the counter was inserted above")
    }
}

fn units(cost: TokenCount, weight: ShareWeight) -> u64 {
    cost.count().saturating_mul(UNITS_PER_TOKEN) / weight.count().max(1)
}
