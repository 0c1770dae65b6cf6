//! The leases of one controller: when it claims, renews and releases them, and until when
//! it may act under them.

use std::collections::BTreeMap;

use super::{HeldLease, LeaseState};
use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{InstanceId, LogOffset},
    records::{DutyName, LeaseAction, LeaseRecord},
};

/// The durations and waiting times of leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// How long a lease runs from a claim or renewal.
    pub duration: TimeSpan,
    /// How much longer every controller except the holder waits, to allow for clocks that
    /// run at different rates.
    pub margin: TimeSpan,
    /// The time from sending a claim or renewal to sending the next renewal.
    pub renew_after: TimeSpan,
    /// How much longer each candidate waits than the candidate ranked before it.
    pub stagger: TimeSpan,
    /// How long another candidate must be preferred before the holder releases a duty.
    pub handover_after: TimeSpan,
}

/// The authority of this process to act for a duty.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct DutyGrant {
    /// The duty.
    pub duty: DutyName,
    /// The fencing number that every order must carry.
    pub fence: LogOffset,
    /// When the claim was sent.
    pub claimed_at: ClockTime,
    /// When the authority ends on this process's clock.
    pub until: ClockTime,
}

impl DutyGrant {
    /// Whether an action that may take `span` ends before the authority does.
    pub fn covers(&self, now: ClockTime, span: TimeSpan) -> bool {
        now + span < self.until
    }
}

/// A duty and this controller's rank among the candidates for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyCandidacy {
    /// The duty.
    pub duty: DutyName,
    /// The rank, from 0.
    pub rank: usize,
    /// Whether an order of the duty is in progress here, so that it is not handed over.
    pub busy: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
struct LocalLease {
    fence: LogOffset,
    claimed_at: ClockTime,
    sent_at: ClockTime,
    until: ClockTime,
    outranked_since: Option<ClockTime>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
struct SentRecord {
    offset: LogOffset,
    sent_at: ClockTime,
}

/// The leases that one controller holds or claims.
#[derive(Clone, Debug)]
pub struct LeaseManager {
    instance: InstanceId,
    timing: LeaseTiming,
    local: BTreeMap<DutyName, LocalLease>,
    sent: BTreeMap<DutyName, SentRecord>,
    free_since: BTreeMap<DutyName, ClockTime>,
}

impl LeaseManager {
    /// A manager for the controller `instance`, which holds no lease yet. Leases that an
    /// earlier process of the same name claimed are not taken over.
    pub fn new(instance: InstanceId, timing: LeaseTiming) -> LeaseManager {
        LeaseManager {
            instance,
            timing,
            local: BTreeMap::new(),
            sent: BTreeMap::new(),
            free_since: BTreeMap::new(),
        }
    }

    /// The record to append for `candidacy` now, if any. `leases` is the state before the
    /// log entry `next`. The caller takes the time before it sends the record, and passes
    /// it to [`LeaseManager::appended`] with the offset from the answer.
    pub fn next_record(
        &mut self,
        now: ClockTime,
        leases: &LeaseState,
        next: LogOffset,
        candidacy: &DutyCandidacy,
    ) -> Option<LeaseRecord> {
        self.apply_sent_record(&candidacy.duty, leases, next);
        let held = leases.held(&candidacy.duty);
        if held.is_some() {
            self.free_since.remove(&candidacy.duty);
        }
        if let Some(local) = self.local.get(&candidacy.duty).copied() {
            return self.holder_record(now, candidacy, local);
        }
        if self.sent.contains_key(&candidacy.duty) {
            return None;
        }
        self.claim_record(now, held, candidacy)
    }

    /// Applies the outcome of the record that was sent: the authority is extended only by
    /// a record that was read back from the log as valid.
    fn apply_sent_record(&mut self, duty: &DutyName, leases: &LeaseState, next: LogOffset) {
        let held = leases.held(duty);
        if let Some(local) = self.local.get(duty)
            && held.is_none_or(|lease| lease.fence != local.fence)
        {
            self.local.remove(duty);
        }
        let Some(sent) = self.sent.get(duty).copied() else {
            return;
        };
        if sent.offset >= next {
            return;
        }
        self.sent.remove(duty);
        let Some(lease) = held.filter(|lease| lease.latest == sent.offset) else {
            return;
        };
        let claimed_at = match self.local.get(duty) {
            Some(local) => local.claimed_at,
            None => sent.sent_at,
        };
        let local = LocalLease {
            fence: lease.fence,
            claimed_at,
            sent_at: sent.sent_at,
            until: sent.sent_at + lease.duration,
            outranked_since: self.local.get(duty).and_then(|local| local.outranked_since),
        };
        self.local.insert(duty.clone(), local);
    }

    fn holder_record(
        &mut self,
        now: ClockTime,
        candidacy: &DutyCandidacy,
        local: LocalLease,
    ) -> Option<LeaseRecord> {
        let outranked_since = match candidacy.rank {
            0 => None,
            _ => Some(local.outranked_since.unwrap_or(now)),
        };
        let updated = LocalLease {
            outranked_since,
            ..local
        };
        self.local.insert(candidacy.duty.clone(), updated);
        let must_release =
            outranked_since.is_some_and(|since| now >= since + self.timing.handover_after);
        if must_release && !candidacy.busy {
            return self.release(&candidacy.duty);
        }
        let due = now >= local.sent_at + self.timing.renew_after;
        if !due || self.sent.contains_key(&candidacy.duty) {
            return None;
        }
        Some(self.record(
            &candidacy.duty,
            LeaseAction::Renew { fence: local.fence },
            None,
        ))
    }

    fn claim_record(
        &mut self,
        now: ClockTime,
        held: Option<&HeldLease>,
        candidacy: &DutyCandidacy,
    ) -> Option<LeaseRecord> {
        let free_at = match held {
            Some(lease) => lease.read_at + lease.duration + self.timing.margin,
            None => *self.free_since.entry(candidacy.duty.clone()).or_insert(now),
        };
        if now < free_at + self.timing.stagger.times(candidacy.rank as u64) {
            return None;
        }
        let supersedes = held.map(|lease| lease.latest);
        Some(self.record(&candidacy.duty, LeaseAction::Claim, supersedes))
    }

    fn record(
        &self,
        duty: &DutyName,
        action: LeaseAction,
        supersedes: Option<LogOffset>,
    ) -> LeaseRecord {
        LeaseRecord {
            duty: duty.clone(),
            holder: self.instance.clone(),
            action,
            duration: self.timing.duration,
            supersedes,
        }
    }

    /// Records that a record sent at `sent_at` was stored at `offset`. It takes effect
    /// once it has been read back.
    pub fn appended(&mut self, duty: &DutyName, sent_at: ClockTime, offset: LogOffset) {
        self.sent
            .insert(duty.clone(), SentRecord { offset, sent_at });
    }

    /// Releases a duty: the authority ends here at once, before the returned record is
    /// sent.
    pub fn release(&mut self, duty: &DutyName) -> Option<LeaseRecord> {
        let local = self.local.remove(duty)?;
        self.sent.remove(duty);
        Some(self.record(duty, LeaseAction::Release { fence: local.fence }, None))
    }

    /// Releases all duties; returns the records to append.
    pub fn release_all(&mut self) -> Vec<LeaseRecord> {
        let duties: Vec<DutyName> = self.local.keys().cloned().collect();
        duties
            .iter()
            .filter_map(|duty| self.release(duty))
            .collect()
    }

    /// The authority for `duty` at `now`, if this process has it: its claim is the current
    /// one in the log, and the lease has not expired on its own clock.
    pub fn grant(&self, now: ClockTime, leases: &LeaseState, duty: &DutyName) -> Option<DutyGrant> {
        let local = self.local.get(duty)?;
        if now >= local.until || !leases.is_current(duty, local.fence) {
            return None;
        }
        Some(DutyGrant {
            duty: duty.clone(),
            fence: local.fence,
            claimed_at: local.claimed_at,
            until: local.until,
        })
    }
}
