//! Virtual token counters: how much each organisation was served, by weight.

use std::collections::BTreeMap;

use crate::{
    ids::OrganisationId,
    units::{ShareWeight, TokenCount},
};

/// Counter units for a token at weight 1, so that division by weights keeps
/// enough digits.
const UNITS_PER_TOKEN: u64 = 1_024;

/// The counters of one pool.
#[derive(Clone, Debug, Default)]
pub struct FairCounters {
    floor: u64,
    counters: BTreeMap<OrganisationId, u64>,
}

impl FairCounters {
    /// Everybody at zero.
    pub fn new() -> FairCounters {
        FairCounters::default()
    }

    /// The counter that an organisation starts at when it comes back from
    /// idleness. Without the floor, an organisation that slept all night would
    /// shut out the others in the morning until it had caught up.
    pub fn enter(&mut self, organisation: &OrganisationId) -> u64 {
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

    /// The organisation's counter.
    pub fn counter(&self, organisation: &OrganisationId) -> u64 {
        self.counters
            .get(organisation)
            .copied()
            .unwrap_or(self.floor)
    }

    /// Raises the floor to the counter of an organisation that starts work.
    pub fn start(&mut self, counter: u64) {
        self.floor = self.floor.max(counter);
    }

    /// Charges `cost`, and returns how many units were charged: at most up to
    /// `limit` above the floor. While the pool is not contended the floor stands
    /// still; without the limit, an organisation that alone used an idle pool
    /// for an hour would be shut out for as long once others come.
    pub fn charge(
        &mut self,
        organisation: &OrganisationId,
        cost: TokenCount,
        weight: ShareWeight,
        limit: TokenCount,
    ) -> u64 {
        let most = self.floor.saturating_add(units(limit, weight));
        let counter = self.entry(organisation);
        let before = *counter;
        let charged = before.saturating_add(units(cost, weight));
        *counter = charged.min(most.max(before));
        *counter - before
    }

    /// Replaces `charged` units by the real `cost`. What an organisation gets
    /// back may put it below the floor: it was served less than the others.
    pub fn correct(
        &mut self,
        organisation: &OrganisationId,
        charged: u64,
        cost: TokenCount,
        weight: ShareWeight,
        limit: TokenCount,
    ) {
        let real = units(cost, weight);
        if real <= charged {
            let counter = self.entry(organisation);
            *counter = counter.saturating_sub(charged - real);
            return;
        }
        let most = self.floor.saturating_add(units(limit, weight));
        let counter = self.entry(organisation);
        *counter = (*counter + (real - charged)).min(most.max(*counter));
    }

    /// The counter units of `cost` at weight 1.
    pub fn units(cost: TokenCount) -> u64 {
        units(cost, ShareWeight::new(1))
    }

    /// The floor, in counter units.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// How far the organisation is ahead of the floor, in counter units.
    pub fn ahead(&self, organisation: &OrganisationId) -> u64 {
        self.counter(organisation).saturating_sub(self.floor)
    }

    /// How far the organisation is ahead of the floor, as cost at its weight.
    pub fn debt(&self, organisation: &OrganisationId, weight: ShareWeight) -> TokenCount {
        let ahead = self.counter(organisation).saturating_sub(self.floor);
        TokenCount::new(ahead.saturating_mul(weight.count().max(1)) / UNITS_PER_TOKEN)
    }

    /// Forgets organisations that the floor has passed, as they would start at
    /// the floor anyway, but for those that `keep` names. If more than `limit`
    /// are left, the floor rises until half of the limit are: the smallest
    /// debts are forgiven.
    pub fn sweep<Keep>(&mut self, limit: usize, keep: Keep)
    where
        Keep: Fn(&OrganisationId) -> bool,
    {
        self.forget_passed(&keep);
        if self.counters.len() <= limit {
            return;
        }
        let idle = |item: &(&OrganisationId, &u64)| !keep(item.0);
        let mut ahead: Vec<u64> = self.counters.iter().filter(idle).map(|i| *i.1).collect();
        ahead.sort_unstable();
        let passed = ahead.len().saturating_sub(limit / 2);
        if let Some(last) = passed.checked_sub(1) {
            self.floor = self.floor.max(ahead[last]);
        }
        self.forget_passed(&keep);
    }

    fn forget_passed<Keep>(&mut self, keep: &Keep)
    where
        Keep: Fn(&OrganisationId) -> bool,
    {
        let floor = self.floor;
        self.counters
            .retain(|organisation, counter| *counter > floor || keep(organisation));
    }

    /// How many organisations are remembered.
    pub fn len(&self) -> usize {
        self.counters.len()
    }

    /// Whether no organisation is remembered.
    pub fn is_empty(&self) -> bool {
        self.counters.is_empty()
    }

    fn entry(&mut self, organisation: &OrganisationId) -> &mut u64 {
        let floor = self.floor;
        if !self.counters.contains_key(organisation) {
            self.counters.insert(organisation.clone(), floor);
        }
        self.counters
            .get_mut(organisation)
            .expect("it was just inserted")
    }
}

fn units(cost: TokenCount, weight: ShareWeight) -> u64 {
    cost.count().saturating_mul(UNITS_PER_TOKEN) / weight.count().max(1)
}
