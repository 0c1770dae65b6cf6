//! Quarantine of requests that crash the endpoints that run them.
//!
//! Occasionally a single request crashes every engine that runs it, and its caller
//! sends it again. Without a record of these crashes, one such caller would crash a
//! whole fleet, one engine after the other. But many requests run on an engine when it
//! crashes, and all but one of them are innocent.
//!
//! A crash therefore makes *suspects* of all requests that ran on the endpoint
//! ([`QuarantineState`], shared through the log). A suspect is run again, but never on
//! an endpoint where another suspect runs ([`CrashTrials`]). If that endpoint crashes
//! too, the suspect is the cause and is quarantined; if the request ends, it is
//! cleared. A request costs two endpoints at most, and an innocent request is
//! quarantined only if it loses two endpoints for other reasons before it ends.
//!
//! On the users' platform entries keep no log of such records. There they exchange them as
//! reports ([`SharedQuarantine`]); a suspect is run again on any endpoint. A broken connection
//! counts there only once its endpoint is known to have ended ([`BrokenRuns`]). What crashes
//! endpoints may also be a part of prompts that many different requests share
//! ([`PartQuarantine`]).
//!
//! The bound requires that the crash record is read before the next attempt: other
//! attempts at the same request that are running at that moment can each cost another
//! endpoint.

mod broken_runs;
mod part_hash;
mod part_history;
mod prompt_parts;
mod recent_parts;
mod shared;
mod trials;

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

pub use self::{
    broken_runs::{BreakStep, BrokenRun, BrokenRuns},
    part_hash::{ParsePartError, PartHash, shared_parts},
    prompt_parts::{
        MAX_PARTS_PER_DATAGRAM, PartCrash, PartQuarantine, PartReport, QuarantinedHistory,
        QuarantinedPart, SURVIVAL_TIME,
    },
    shared::{
        CrashReport, MAX_REPORTS_PER_DATAGRAM, QuarantinedRequest, ReportScope, SharedQuarantine,
        SiteHash,
    },
    trials::{CrashTrials, TrialChoice},
};
use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{EndpointId, InstanceId, LogOffset, RequestFingerprint},
    records::{CheckpointItem, QuarantineRecord},
};

/// Number of lost endpoints at which a request is quarantined.
pub const MAX_LOST_ENDPOINTS: usize = 2;

/// How long requests and parts are quarantined after their last crash: the endpoints may have been
/// repaired.
pub const QUARANTINE_RETENTION: TimeSpan = TimeSpan::from_secs(600);

/// Maximum number of fingerprints kept.
pub const MAX_FINGERPRINTS: usize = 1_024;

/// Number of log records after its last crash for which a fingerprint is kept. Engines
/// are replaced and repaired, so a quarantine is not permanent.
pub const RETENTION_RECORDS: u64 = 100_000;

/// Whether a request is suspected of crashing endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CrashStatus {
    /// No endpoint has crashed while it ran.
    Clean,
    /// It ran on an endpoint that crashed.
    Suspect,
    /// It ran on two, on the second as the only suspect.
    Quarantined,
}

impl CrashStatus {
    /// Returns the status of a request that cost this many endpoints.
    pub fn with_lost_endpoints(endpoints: usize) -> CrashStatus {
        match endpoints {
            0 => CrashStatus::Clean,
            lost if lost < MAX_LOST_ENDPOINTS => CrashStatus::Suspect,
            _ => CrashStatus::Quarantined,
        }
    }
}

/// One crash of an endpoint. Several entries may report the same one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct CrashSite {
    /// The endpoint that crashed.
    pub endpoint: EndpointId,
    /// The incarnation of the endpoint that crashed, as far as known.
    pub incarnation: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct CrashHistory {
    sites: BTreeSet<CrashSite>,
    entry: InstanceId,
    last: LogOffset,
}

/// The crashes recorded in the log, by request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct QuarantineState {
    histories: BTreeMap<RequestFingerprint, CrashHistory>,
}

impl QuarantineState {
    /// Creates the state of an empty log.
    pub fn new() -> QuarantineState {
        QuarantineState::default()
    }

    /// Applies a record read at `offset`.
    pub fn apply(&mut self, _now: ClockTime, offset: LogOffset, record: &QuarantineRecord) {
        self.remove_expired(offset);
        if record.cleared {
            if self.status(&record.fingerprint) == CrashStatus::Suspect {
                self.histories.remove(&record.fingerprint);
            }
            return;
        }
        self.record_crash(offset, record);
    }

    fn record_crash(&mut self, offset: LogOffset, record: &QuarantineRecord) {
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
        let oldest = self
            .histories
            .iter()
            .min_by_key(|(_, history)| history.last);
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| fingerprint.clone()) {
            self.histories.remove(&fingerprint);
        }
    }

    fn remove_expired(&mut self, offset: LogOffset) {
        let age = |history: &CrashHistory| offset.number().saturating_sub(history.last.number());
        self.histories
            .retain(|_, history| age(history) <= RETENTION_RECORDS);
    }

    /// Returns the crashes of endpoints that ran the request.
    pub fn lost(&self, fingerprint: &RequestFingerprint) -> BTreeSet<CrashSite> {
        let history = self.histories.get(fingerprint);
        history
            .map(|history| history.sites.clone())
            .unwrap_or_default()
    }

    /// Returns the request's status according to the log alone.
    pub fn status(&self, fingerprint: &RequestFingerprint) -> CrashStatus {
        CrashStatus::with_lost_endpoints(self.lost(fingerprint).len())
    }

    /// Returns the crashes as items of a checkpoint.
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

    /// Restores an item of a checkpoint.
    pub fn restore(&mut self, _now: ClockTime, item: &CheckpointItem) {
        if let CheckpointItem::Quarantine { quarantine, offset } = item {
            self.record_crash(*offset, quarantine);
        }
    }
}
