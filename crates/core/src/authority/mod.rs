//! Leases for duties: which controller holds which duty, by records in the log, with
//! fencing.
//!
//! A claim's offset is the fencing number of its holder. The log alone decides whether a
//! claim is valid: it names the claim or renewal that it follows, and is valid only if
//! that is still the latest one at the claim's own offset. If readers decided by their
//! own clocks whether the former lease had expired, a slow reader and a fast one could
//! determine two holders of one duty.
//!
//! Clocks decide only when a process may *send*: the holder acts until the lease has
//! expired, counted from before its append was sent; a claimant waits until the lease
//! has expired, counted from when it read the same record, plus a margin. Durations on
//! one clock are compared with durations on another, but never times of two clocks.

mod lease_manager;
mod ranking;

use std::collections::BTreeMap;

use serde::Serializer;

pub use self::{
    lease_manager::{DutyCandidacy, DutyGrant, LeaseManager, LeaseTiming},
    ranking::{DutyCandidate, duty_ranks},
};
use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{InstanceId, LogOffset},
    records::{CheckpointItem, DutyName, LeaseAction, LeaseRecord},
};

/// A lease as recorded in the log.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct HeldLease {
    /// The controller that holds the duty.
    pub holder: InstanceId,
    /// The fencing number: the offset of the claim.
    pub fence: LogOffset,
    /// The offset of the claim or of the last renewal.
    pub latest: LogOffset,
    /// How long the lease runs from `latest`.
    pub duration: TimeSpan,
    /// When this process read `latest`, on its own clock.
    pub read_at: ClockTime,
}

/// The leases of all duties, as recorded in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct LeaseState {
    #[serde(serialize_with = "by_duty_name")]
    held: BTreeMap<DutyName, HeldLease>,
}

fn by_duty_name<Target>(
    held: &BTreeMap<DutyName, HeldLease>,
    target: Target,
) -> Result<Target::Ok, Target::Error>
where
    Target: Serializer,
{
    target.collect_map(held.iter().map(|(duty, lease)| (duty.to_string(), lease)))
}

impl LeaseState {
    /// The state before any record was read.
    pub fn new() -> LeaseState {
        LeaseState::default()
    }

    /// The lease of `duty`, if it is held.
    pub fn held(&self, duty: &DutyName) -> Option<&HeldLease> {
        self.held.get(duty)
    }

    /// All leases, by duty.
    pub fn leases(&self) -> impl Iterator<Item = (&DutyName, &HeldLease)> {
        self.held.iter()
    }

    /// Whether `fence` is the fencing number of the current holder of `duty`.
    pub fn is_current(&self, duty: &DutyName, fence: LogOffset) -> bool {
        self.held(duty).is_some_and(|lease| lease.fence == fence)
    }

    /// Applies the record at `offset`, which this process read at `now`. Records that are
    /// not valid at their offset are ignored.
    pub fn apply(&mut self, now: ClockTime, offset: LogOffset, record: &LeaseRecord) {
        match record.action {
            LeaseAction::Claim => self.claim(now, offset, record),
            LeaseAction::Renew { fence } => {
                if let Some(lease) = self.held_under(record, fence) {
                    lease.latest = offset;
                    lease.duration = record.duration;
                    lease.read_at = now;
                }
            }
            LeaseAction::Release { fence } => {
                if self.held_under(record, fence).is_some() {
                    self.held.remove(&record.duty);
                }
            }
        }
    }

    fn claim(&mut self, now: ClockTime, offset: LogOffset, record: &LeaseRecord) {
        let latest = self.held(&record.duty).map(|lease| lease.latest);
        if record.supersedes != latest {
            return;
        }
        let lease = HeldLease {
            holder: record.holder.clone(),
            fence: offset,
            latest: offset,
            duration: record.duration,
            read_at: now,
        };
        self.held.insert(record.duty.clone(), lease);
    }

    fn held_under(&mut self, record: &LeaseRecord, fence: LogOffset) -> Option<&mut HeldLease> {
        let lease = self.held.get_mut(&record.duty)?;
        (lease.fence == fence && lease.holder == record.holder).then_some(lease)
    }

    /// The leases as items of a checkpoint.
    pub fn checkpoint(&self) -> Vec<CheckpointItem> {
        let item = |(duty, lease): (&DutyName, &HeldLease)| CheckpointItem::Lease {
            lease: LeaseRecord {
                duty: duty.clone(),
                holder: lease.holder.clone(),
                action: LeaseAction::Renew { fence: lease.fence },
                duration: lease.duration,
                supersedes: None,
            },
            fence: lease.fence,
            latest: lease.latest,
        };
        self.held.iter().map(item).collect()
    }

    /// Restores a lease from a checkpoint item, unless a later record of the duty has been
    /// read. The lease counts from `now` as if just read. Other processes count it from
    /// earlier, so this process claims no earlier than they would.
    pub fn restore(&mut self, now: ClockTime, item: &CheckpointItem) {
        let CheckpointItem::Lease {
            lease,
            fence,
            latest,
        } = item
        else {
            return;
        };
        let known = self.held(&lease.duty).map(|held| held.latest);
        if known.is_some_and(|known| known >= *latest) {
            return;
        }
        let restored = HeldLease {
            holder: lease.holder.clone(),
            fence: *fence,
            latest: *latest,
            duration: lease.duration,
            read_at: now,
        };
        self.held.insert(lease.duty.clone(), restored);
    }
}
