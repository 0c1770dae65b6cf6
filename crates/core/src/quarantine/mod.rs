//! Requests that crash the endpoints that run them.
//!
//! Now and then a single request crashes each engine that runs it, and its caller
//! sends it again. Without a memory of this, one kiosk would take down a whole
//! fleet, one engine after the other. But many requests run on an engine when it
//! crashes, and all but one of them are innocent.
//!
//! So a crash makes *suspects* of all requests that ran there ([`QuarantineState`],
//! shared through the log). A suspect is run again, but never on an endpoint where
//! another suspect runs ([`CrashTrials`]). If that endpoint crashes too, the suspect
//! is the cause and is quarantined; if the request ends, it is cleared. A request
//! costs two endpoints at most, and a bystander is condemned only if it loses two
//! endpoints for other reasons before it ends.
//!
//! The bound rests on the evidence being read before the next try: copies of a
//! request that run elsewhere at that moment can each cost another endpoint.

mod trials;

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

pub use self::trials::{CrashTrials, TrialChoice};
use crate::{
    clock::ClockTime,
    ids::{EndpointId, InstanceId, LogOffset, RequestFingerprint},
    records::{CheckpointItem, QuarantineRecord},
};

/// How many endpoints a request may cost.
pub const MAX_LOST_ENDPOINTS: usize = 2;

/// How many fingerprints are kept.
pub const MAX_FINGERPRINTS: usize = 1_024;

/// For how many records of the log a fingerprint is remembered after its last
/// crash. Engines are replaced and mended, so a condemnation does not last for good.
pub const RETENTION_RECORDS: u64 = 100_000;

/// What is known of a request's part in crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CrashStatus {
    /// Nothing.
    Clean,
    /// It ran on an endpoint that crashed.
    Suspect,
    /// It ran on two, on the second as the only suspect.
    Quarantined,
}

impl CrashStatus {
    /// The standing of a request that cost this many endpoints.
    pub fn with_lost_endpoints(endpoints: usize) -> CrashStatus {
        match endpoints {
            0 => CrashStatus::Clean,
            n if n < MAX_LOST_ENDPOINTS => CrashStatus::Suspect,
            _ => CrashStatus::Quarantined,
        }
    }
}

/// One loss of an endpoint. Several entries may tell of the same one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct CrashSite {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Which of its starts was lost, as far as known.
    pub incarnation: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct CrashHistory {
    sites: BTreeSet<CrashSite>,
    entry: InstanceId,
    last: LogOffset,
}

/// What the log says of crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct QuarantineState {
    histories: BTreeMap<RequestFingerprint, CrashHistory>,
}

impl QuarantineState {
    /// Nothing read yet.
    pub fn new() -> QuarantineState {
        QuarantineState::default()
    }

    /// Applies a record read at `offset`.
    pub fn apply(&mut self, _now: ClockTime, offset: LogOffset, record: &QuarantineRecord) {
        self.forget_old(offset);
        if record.cleared {
            if self.status(&record.fingerprint) == CrashStatus::Suspect {
                self.histories.remove(&record.fingerprint);
            }
            return;
        }
        self.put(offset, record);
    }

    fn put(&mut self, offset: LogOffset, record: &QuarantineRecord) {
        let history = self.histories.entry(record.fingerprint.clone());
        let history = history.or_insert_with(|| CrashHistory {
            sites: BTreeSet::new(),
            entry: record.entry.clone(),
            last: offset,
        });
        history.sites.insert(CrashSite {
            endpoint: record.endpoint.clone(),
            incarnation: record.incarnation,
        });
        history.last = history.last.max(offset);
        if self.histories.len() <= MAX_FINGERPRINTS {
            return;
        }
        let oldest = self.histories.iter().min_by_key(|(_, h)| h.last);
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| fingerprint.clone()) {
            self.histories.remove(&fingerprint);
        }
    }

    fn forget_old(&mut self, offset: LogOffset) {
        let age = |history: &CrashHistory| offset.number().saturating_sub(history.last.number());
        self.histories
            .retain(|_, history| age(history) <= RETENTION_RECORDS);
    }

    /// The endpoints that were lost while the request ran there.
    pub fn lost(&self, fingerprint: &RequestFingerprint) -> BTreeSet<CrashSite> {
        let history = self.histories.get(fingerprint);
        history.map(|h| h.sites.clone()).unwrap_or_default()
    }

    /// The request's standing by the log alone.
    pub fn status(&self, fingerprint: &RequestFingerprint) -> CrashStatus {
        CrashStatus::with_lost_endpoints(self.lost(fingerprint).len())
    }

    /// The crashes as items of a checkpoint.
    pub fn checkpoint(&self) -> Vec<CheckpointItem> {
        let items = self.histories.iter().flat_map(|(fingerprint, history)| {
            history.sites.iter().map(|site| {
                let quarantine = QuarantineRecord {
                    fingerprint: fingerprint.clone(),
                    endpoint: site.endpoint.clone(),
                    incarnation: site.incarnation,
                    entry: history.entry.clone(),
                    cleared: false,
                };
                CheckpointItem::Quarantine {
                    quarantine,
                    offset: history.last,
                }
            })
        });
        items.collect()
    }

    /// Takes over an item of a checkpoint.
    pub fn restore(&mut self, _now: ClockTime, item: &CheckpointItem) {
        if let CheckpointItem::Quarantine { quarantine, offset } = item {
            self.put(*offset, quarantine);
        }
    }
}
