//! The bytes held for each request and answer, and the decisions that follow from them.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::OrganisationId,
    units::ByteSize,
};

/// How long a caller may leave its answer unread before it is disconnected if others need
/// the memory. Endpoints cut unread answers after some seconds too.
pub const STALL_TIMEOUT: TimeSpan = TimeSpan::from_millis(3_000);

/// The share of the budget that request bodies may use, in percent. The rest is for
/// answers, so that requests in progress can always be completed.
const REQUEST_SHARE_PERCENT: u64 = 75;

/// Identifies what is held for one request or answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(transparent)]
pub struct HoldId(u64);

/// Why bytes could not be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{requested} do not fit: the organisation holds {held_by_organisation}, {free} are free for requests"
)]
pub struct MemoryRefusal {
    /// The size that was requested.
    pub requested: ByteSize,
    /// What the organisation holds already.
    pub held_by_organisation: ByteSize,
    /// What is free for requests.
    pub free: ByteSize,
    /// How much has to be released before the request would be admitted.
    pub missing: ByteSize,
}

/// What is held, for metrics and the state dump.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct MemoryStatus {
    /// The limit of the budget.
    pub limit: ByteSize,
    /// What is held for requests and answers.
    pub held: ByteSize,
    /// The number of requests and answers for which something is held.
    pub holds: usize,
}

#[derive(Clone, Debug)]
struct Hold {
    organisation: Option<OrganisationId>,
    bytes: u64,
    /// Since when the caller has read nothing of what is offered to it; `None` if nothing
    /// is.
    unread_since: Option<ClockTime>,
}

/// The memory for requests and answers of one instance.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    limit: u64,
    held: u64,
    next_id: u64,
    holds: BTreeMap<HoldId, Hold>,
    by_organisation: BTreeMap<Option<OrganisationId>, u64>,
}

impl MemoryBudget {
    /// A budget of `limit` of which nothing is held.
    pub fn new(limit: ByteSize) -> MemoryBudget {
        MemoryBudget {
            limit: limit.count(),
            held: 0,
            next_id: 0,
            holds: BTreeMap::new(),
            by_organisation: BTreeMap::new(),
        }
    }

    /// Holds `size` for a new request of `organisation`, or refuses the request.
    pub fn admit(
        &mut self,
        organisation: Option<&OrganisationId>,
        size: ByteSize,
    ) -> Result<HoldId, MemoryRefusal> {
        let organisation = organisation.cloned();
        self.check_request(&organisation, size)?;
        Ok(self.insert(organisation, size))
    }

    /// Holds `size` more for a request whose body turned out to be larger.
    pub fn grow(&mut self, id: HoldId, size: ByteSize) -> Result<(), MemoryRefusal> {
        let Some(hold) = self.holds.get(&id) else {
            return Ok(());
        };
        let organisation = hold.organisation.clone();
        self.check_request(&organisation, size)?;
        self.add(id, size.count());
        Ok(())
    }

    /// Starts to account for the answer to a caller of `organisation`, of which nothing is
    /// held yet.
    pub fn start_answer(&mut self, organisation: Option<&OrganisationId>) -> HoldId {
        self.insert(organisation.cloned(), ByteSize::ZERO)
    }

    /// Holds `size` more of an answer; returns how much is missing if it does not fit.
    pub fn hold_answer(&mut self, id: HoldId, size: ByteSize) -> Result<(), ByteSize> {
        let free = ByteSize::new(self.limit - self.held);
        let missing = size.saturating_sub(free);
        if missing > ByteSize::ZERO {
            return Err(missing);
        }
        self.add(id, size.count());
        Ok(())
    }

    /// Records that what is held of an answer is offered to the caller, who may read it.
    pub fn note_offered(&mut self, now: ClockTime, id: HoldId) {
        if let Some(hold) = self.holds.get_mut(&id) {
            hold.unread_since.get_or_insert(now);
        }
    }

    /// Records that the caller has read `size` of its answer.
    pub fn note_read(&mut self, now: ClockTime, id: HoldId, size: ByteSize) {
        let Some(hold) = self.holds.get_mut(&id) else {
            return;
        };
        let released = size.count().min(hold.bytes);
        hold.bytes -= released;
        hold.unread_since = (hold.bytes > 0).then_some(now);
        let organisation = hold.organisation.clone();
        self.subtract(&organisation, released);
    }

    /// Releases all that is held for a request or an answer.
    pub fn release(&mut self, id: HoldId) {
        if let Some(hold) = self.holds.remove(&id) {
            self.subtract(&hold.organisation, hold.bytes);
        }
    }

    /// The callers to disconnect so that `missing` is released: those that have not read
    /// for [`STALL_TIMEOUT`], the longest stalled first, and no more than needed.
    pub fn stalled_callers(&self, now: ClockTime, missing: ByteSize) -> Vec<HoldId> {
        let mut missing = missing.count();
        let stalled = self.holds.iter().filter_map(|(id, hold)| {
            let unread_since = hold.unread_since?;
            let is_stalled = now.since(unread_since) >= STALL_TIMEOUT;
            is_stalled.then_some((unread_since, *id, hold.bytes))
        });
        let mut stalled: Vec<_> = stalled.collect();
        stalled.sort();
        let mut selected = Vec::new();
        for (_, id, bytes) in stalled {
            if missing == 0 {
                break;
            }
            missing = missing.saturating_sub(bytes);
            selected.push(id);
        }
        selected
    }

    /// What is held.
    pub fn status(&self) -> MemoryStatus {
        MemoryStatus {
            limit: ByteSize::new(self.limit),
            held: ByteSize::new(self.held),
            holds: self.holds.len(),
        }
    }

    fn check_request(
        &self,
        organisation: &Option<OrganisationId>,
        size: ByteSize,
    ) -> Result<(), MemoryRefusal> {
        let limit = self.limit * REQUEST_SHARE_PERCENT / 100;
        let free = limit.saturating_sub(self.held);
        let held = self.by_organisation.get(organisation).copied();
        let held = held.unwrap_or_default();
        let needed = held.saturating_add(size.count());
        if size == ByteSize::ZERO || needed <= free {
            return Ok(());
        }
        Err(MemoryRefusal {
            requested: size,
            held_by_organisation: ByteSize::new(held),
            free: ByteSize::new(free),
            missing: ByteSize::new(needed - free),
        })
    }

    fn insert(&mut self, organisation: Option<OrganisationId>, size: ByteSize) -> HoldId {
        let id = HoldId(self.next_id);
        self.next_id += 1;
        let hold = Hold {
            organisation,
            bytes: 0,
            unread_since: None,
        };
        self.holds.insert(id, hold);
        self.add(id, size.count());
        id
    }

    fn add(&mut self, id: HoldId, bytes: u64) {
        let Some(hold) = self.holds.get_mut(&id) else {
            return;
        };
        hold.bytes += bytes;
        self.held += bytes;
        if bytes > 0 {
            let sum = self.by_organisation.entry(hold.organisation.clone());
            *sum.or_default() += bytes;
        }
    }

    fn subtract(&mut self, organisation: &Option<OrganisationId>, bytes: u64) {
        self.held -= bytes;
        if let Some(sum) = self.by_organisation.get_mut(organisation) {
            *sum -= bytes;
            if *sum == 0 {
                self.by_organisation.remove(organisation);
            }
        }
    }
}
