//! Quarantine by reports of crashes that the entries of a fleet exchange.
//!
//! A caller sends a request again to any entry, so the entries that see its crashes are
//! different ones. Each entry reports the crashes that it observed to the others, and the
//! representatives of a failure domain forward them to the other failure domains. A report
//! lists all known crashes of its request: reports can be lost, repeated and overtaken.
//!
//! A request that an endpoint has completed is cleared, because a request that crashes
//! endpoints never completes. The reports of one datagram and the requests kept are
//! limited, so neither grows with the number of entries or endpoints; requests with more
//! crashes go first.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{EndpointId, RequestFingerprint},
    quarantine::{CrashStatus, MAX_FINGERPRINTS, QUARANTINE_RETENTION},
};

/// Maximum number of reports in one datagram.
pub const MAX_REPORTS_PER_DATAGRAM: usize = 16;

/// How often a change is sent, since datagrams can be lost.
const SENDS_PER_CHANGE: u8 = 3;

/// How often an entry repeats the report of a quarantined request that it refuses, for
/// entries that have started since.
const REPEAT_INTERVAL: TimeSpan = TimeSpan::from_millis(2_000);

/// How long after its last crash or refusal a request counts as one that its caller still
/// sends.
const ACTIVE_PERIOD: TimeSpan = TimeSpan::from_secs(30);

/// Maximum number of crashes kept of one request.
const MAX_SITES: usize = 4;

/// Hash of an endpoint's id and incarnation, which identifies one crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(transparent)]
pub struct SiteHash(u64);

impl SiteHash {
    /// Creates the hash from its number.
    pub const fn new(hash: u64) -> SiteHash {
        SiteHash(hash)
    }

    /// Computes the hash of an incarnation of `endpoint`.
    pub fn with_endpoint(endpoint: &EndpointId, incarnation: u64) -> SiteHash {
        SiteHash(xxh3_64_with_seed(endpoint.as_str().as_bytes(), incarnation))
    }

    /// The hash as a number.
    pub const fn number(self) -> u64 {
        self.0
    }
}

/// What an entry knows about a request that ran on endpoints that crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The crashes.
    pub sites: Vec<SiteHash>,
    /// Whether an endpoint has completed the request.
    pub is_cleared: bool,
}

/// A request that is quarantined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinedRequest {
    /// The request with its crashes.
    pub report: CrashReport,
    /// The time since its last crash.
    pub age: TimeSpan,
    /// Whether it has come to this entry.
    pub is_received_here: bool,
}

/// The recipients of reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportScope {
    /// The entries that an entry sends to directly.
    Direct,
    /// The entries of other failure domains, to which representatives send.
    OtherDomains,
}

#[derive(Clone, Debug, Default, Serialize)]
struct SuspectHistory {
    sites: BTreeSet<SiteHash>,
    /// The crashes that this entry observed itself and that the registrations have not confirmed.
    observed: BTreeMap<SiteHash, ClockTime>,
    is_cleared: bool,
    /// When the request was last sent to this entry, as far as it is known from a crash or a
    /// refusal.
    received_at: Option<ClockTime>,
    changed_at: ClockTime,
    direct_sends: u8,
    domain_sends: u8,
    repeated_at: ClockTime,
}

impl SuspectHistory {
    fn status(&self) -> CrashStatus {
        match self.is_cleared {
            true => CrashStatus::Clean,
            false => CrashStatus::with_lost_endpoints(self.sites.len()),
        }
    }

    /// How often the report is still to be sent.
    fn sends_left(&mut self, scope: ReportScope) -> &mut u8 {
        match scope {
            ReportScope::Direct => &mut self.direct_sends,
            ReportScope::OtherDomains => &mut self.domain_sends,
        }
    }

    /// Schedules the repetition of a quarantined request's report if it is due.
    fn schedule_repeat(&mut self, now: ClockTime) {
        let is_quarantined = self.status() == CrashStatus::Quarantined;
        let is_due = now.since(self.repeated_at) >= REPEAT_INTERVAL;
        let received_at = self.received_at;
        let is_active = received_at.is_some_and(|at| now.since(at) < ACTIVE_PERIOD);
        if is_active && is_quarantined && is_due {
            self.repeated_at = now;
            self.direct_sends = self.direct_sends.max(1);
            self.domain_sends = self.domain_sends.max(1);
        }
    }
}

/// The requests that ran on endpoints that crashed, as known to one entry.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(transparent)]
pub struct SharedQuarantine {
    histories: BTreeMap<RequestFingerprint, SuspectHistory>,
}

impl SharedQuarantine {
    /// Creates a quarantine without requests.
    pub fn new() -> SharedQuarantine {
        SharedQuarantine::default()
    }

    /// Whether no crash is known, so that no request has to be looked up.
    pub fn is_empty(&self) -> bool {
        self.histories.is_empty()
    }

    /// The crashes that are known of the request.
    pub fn sites(&self, fingerprint: &RequestFingerprint) -> impl Iterator<Item = SiteHash> {
        let history = self.histories.get(fingerprint);
        let sites = history.into_iter().flat_map(|history| &history.sites);
        sites.copied()
    }

    /// The number of crashes that are known of the request.
    pub fn crashes(&self, fingerprint: &RequestFingerprint) -> usize {
        let history = self.histories.get(fingerprint);
        history.map_or(0, |history| history.sites.len())
    }

    /// The status of the request.
    pub fn status(&self, fingerprint: &RequestFingerprint) -> CrashStatus {
        let history = self.histories.get(fingerprint);
        history.map_or(CrashStatus::Clean, SuspectHistory::status)
    }

    /// How long the request remains quarantined; `None` if it is not.
    pub fn quarantined_for(
        &self,
        now: ClockTime,
        fingerprint: &RequestFingerprint,
    ) -> Option<TimeSpan> {
        let history = self.histories.get(fingerprint)?;
        let is_quarantined = history.status() == CrashStatus::Quarantined;
        is_quarantined.then(|| QUARANTINE_RETENTION.saturating_sub(now.since(history.changed_at)))
    }

    /// Records that an endpoint crashed while it ran the request, as this entry observed.
    /// Returns the status of the request.
    pub fn note_crash(
        &mut self,
        now: ClockTime,
        fingerprint: &RequestFingerprint,
        site: SiteHash,
    ) -> CrashStatus {
        let history = self.history(now, fingerprint);
        let accepts_relayed = history.sites.len() < MAX_SITES && history.sites.insert(site);
        history.received_at = Some(now);
        if accepts_relayed {
            history.observed.insert(site, now);
            history.changed_at = now;
            history.direct_sends = SENDS_PER_CHANGE;
            history.domain_sends = SENDS_PER_CHANGE;
        }
        history.status()
    }

    /// Records a crash as [`SharedQuarantine::note_crash`] does, which the registration of the
    /// endpoint confirms: it is not retracted any more.
    pub fn confirm_crash(
        &mut self,
        now: ClockTime,
        fingerprint: &RequestFingerprint,
        site: SiteHash,
    ) -> CrashStatus {
        let status = self.note_crash(now, fingerprint, site);
        self.history(now, fingerprint).observed.remove(&site);
        status
    }

    /// Removes the unconfirmed crashes that this entry observed since `since`: it may be its paths
    /// to the endpoints that broke.
    pub fn retract_observed(&mut self, since: ClockTime) {
        for history in self.histories.values_mut() {
            let observed = &mut history.observed;
            let retracted: Vec<SiteHash> = observed
                .iter()
                .filter(|(_, at)| **at >= since)
                .map(|(site, _)| *site)
                .collect();
            for site in retracted {
                history.observed.remove(&site);
                history.sites.remove(&site);
            }
        }
        self.histories
            .retain(|_, history| history.is_cleared || !history.sites.is_empty());
    }

    /// Records that the request was refused because it is quarantined.
    pub fn note_refused(&mut self, now: ClockTime, fingerprint: &RequestFingerprint) {
        if let Some(history) = self.histories.get_mut(fingerprint) {
            history.received_at = Some(now);
        }
    }

    /// Records that an endpoint completed the request.
    pub fn note_completed(&mut self, now: ClockTime, fingerprint: &RequestFingerprint) {
        let Some(history) = self.histories.get_mut(fingerprint) else {
            return;
        };
        if !history.is_cleared {
            history.is_cleared = true;
            history.changed_at = now;
            history.direct_sends = SENDS_PER_CHANGE;
            history.domain_sends = SENDS_PER_CHANGE;
        }
    }

    /// Records the report of another entry, which is in the own failure domain or not.
    /// Returns whether the request is quarantined because of it.
    pub fn note_report(
        &mut self,
        now: ClockTime,
        report: &CrashReport,
        is_same_domain: bool,
    ) -> bool {
        let history = self.history(now, &report.fingerprint);
        let earlier = history.status();
        let mut accepts_relayed = report.is_cleared && !history.is_cleared;
        history.is_cleared |= report.is_cleared;
        for site in &report.sites {
            accepts_relayed |= history.sites.len() < MAX_SITES && history.sites.insert(*site);
        }
        if accepts_relayed {
            history.changed_at = now;
            if is_same_domain {
                history.domain_sends = SENDS_PER_CHANGE;
            }
        }
        let status = history.status();
        status == CrashStatus::Quarantined && status != earlier
    }

    /// The requests that are quarantined.
    pub fn quarantined(&self, now: ClockTime) -> impl Iterator<Item = QuarantinedRequest> {
        let histories = self.histories.iter();
        let quarantined =
            histories.filter(|(_, history)| history.status() == CrashStatus::Quarantined);
        quarantined.map(move |(fingerprint, history)| QuarantinedRequest {
            report: CrashReport {
                fingerprint: fingerprint.clone(),
                sites: history.sites.iter().copied().collect(),
                is_cleared: history.is_cleared,
            },
            age: now.since(history.changed_at),
            is_received_here: history.received_at.is_some(),
        })
    }

    /// Enters a request that earlier processes have quarantined, whose last crash was at
    /// `crashed_at`, and has it reported to the other entries.
    pub fn restore(&mut self, crashed_at: ClockTime, report: &CrashReport) {
        self.note_report(crashed_at, report, true);
        if let Some(history) = self.histories.get_mut(&report.fingerprint) {
            history.direct_sends = SENDS_PER_CHANGE;
        }
    }

    /// Whether a report is due to be sent directly.
    pub fn has_due_reports(&self) -> bool {
        let mut histories = self.histories.values();
        histories.any(|history| history.direct_sends > 0)
    }

    /// Returns the reports for the next datagram to the recipients in `scope`, and records
    /// them as sent. Requests with more crashes go first, then those sent less often.
    pub fn take_reports(&mut self, now: ClockTime, scope: ReportScope) -> Vec<CrashReport> {
        let mut due = Vec::new();
        for (fingerprint, history) in &mut self.histories {
            history.schedule_repeat(now);
            let sends_left = *history.sends_left(scope);
            if sends_left > 0 {
                let order = Reverse((history.status(), sends_left));
                due.push((order, fingerprint, history));
            }
        }
        due.sort_by_key(|(order, ..)| *order);
        let sent = due.into_iter().take(MAX_REPORTS_PER_DATAGRAM);
        sent.map(|(_, fingerprint, history)| {
            *history.sends_left(scope) -= 1;
            CrashReport {
                fingerprint: fingerprint.clone(),
                sites: history.sites.iter().copied().collect(),
                is_cleared: history.is_cleared,
            }
        })
        .collect()
    }

    /// Removes requests without a crash for long.
    pub fn sweep(&mut self, now: ClockTime) {
        self.histories
            .retain(|_, history| now.since(history.changed_at) < QUARANTINE_RETENTION);
    }

    fn history(&mut self, now: ClockTime, fingerprint: &RequestFingerprint) -> &mut SuspectHistory {
        let is_known = self.histories.contains_key(fingerprint);
        if !is_known && self.histories.len() >= MAX_FINGERPRINTS {
            self.remove_least();
        }
        let history = self.histories.entry(fingerprint.clone());
        history.or_insert_with(|| SuspectHistory {
            changed_at: now,
            ..SuspectHistory::default()
        })
    }

    /// Removes the request with the lowest status that has not changed for longest.
    fn remove_least(&mut self) {
        let least = self
            .histories
            .iter()
            .min_by_key(|(_, history)| (history.status(), history.changed_at))
            .map(|(fingerprint, _)| fingerprint.clone());
        if let Some(fingerprint) = least {
            self.histories.remove(&fingerprint);
        }
    }
}
