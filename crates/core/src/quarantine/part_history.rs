//! The endpoints that ended while prompts with one part ran there.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::{
    clock::{ClockTime, TimeSpan},
    quarantine::{PartCrash, ReportScope, SiteHash},
};

/// Endpoints that end within this time may have done so for one reason, such as a power failure.
const SIMULTANEOUS: TimeSpan = TimeSpan::from_millis(100);

/// Maximum number of crashes kept of one part.
const MAX_CRASHES: usize = 16;

/// Maximum number of crashes in a report.
const MAX_REPORTED_CRASHES: usize = 6;

/// How often a change is sent, since datagrams can be lost.
const SENDS_PER_CHANGE: u8 = 3;

/// How long after the last report of a quarantined part from anywhere it is reported again, for
/// entries that have started since; further by up to [`MAX_REPEAT_DELAY`], which differs between
/// entries, so that a few of them report it to all.
const REPEAT_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);

/// The longest additional delay of a repeated report.
const MAX_REPEAT_DELAY: TimeSpan = TimeSpan::from_millis(1_000);

/// How long after its last crash or refusal a part counts as one that callers still send.
const ACTIVE_PERIOD: TimeSpan = TimeSpan::from_secs(120);

/// Number of times with crashes from which on a part is quarantined.
const MIN_TIMES: usize = 3;

/// Number of crashes from which on a part is quarantined, unless all were simultaneous.
const MIN_ENDPOINTS: usize = 5;

/// Number of crashes from which on a part is quarantined although another part explains them: a
/// sound part that is sent to so many engines has been answered by one of them.
const MIN_EXPLAINED_ENDPOINTS: usize = 6;

/// The evidence against a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashWeight {
    /// The number of times at which endpoints ended; simultaneous ends count once.
    times: usize,
    /// The number of endpoints that ended.
    endpoints: usize,
}

impl CrashWeight {
    /// Whether it is enough to refuse requests.
    pub fn is_conclusive(self) -> bool {
        self.times >= MIN_TIMES || (self.times > 1 && self.endpoints >= MIN_ENDPOINTS)
    }

    /// Whether it is enough to refuse requests although another part explains the crashes.
    pub fn is_conclusive_if_explained(self) -> bool {
        self.times > 1 && self.endpoints >= MIN_EXPLAINED_ENDPOINTS
    }
}

/// The end of an endpoint, as evidence against a part.
#[derive(Clone, Copy, Debug, Serialize)]
struct CrashEvidence {
    at: ClockTime,
    /// Whether this entry's own run broke there and the registration has not confirmed the end.
    is_observed: bool,
    /// Whether the part was answered afterwards.
    is_refuted: bool,
}

/// What an entry knows of one part.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PartHistory {
    crashes: BTreeMap<SiteHash, CrashEvidence>,
    /// When a request with it was last received here, as far as that is known from a crash or a
    /// refusal.
    received_at: Option<ClockTime>,
    changed_at: ClockTime,
    direct_sends: u8,
    domain_sends: u8,
    repeat_at: ClockTime,
}

impl PartHistory {
    /// Creates a history without crashes.
    pub fn new(now: ClockTime) -> PartHistory {
        PartHistory {
            changed_at: now,
            ..PartHistory::default()
        }
    }

    /// When evidence was last added.
    pub fn changed_at(&self) -> ClockTime {
        self.changed_at
    }

    /// The endpoints that ended under the part since it was last answered.
    pub fn pending(&self) -> impl Iterator<Item = SiteHash> {
        let crashes = self.crashes.iter();
        let pending = crashes.filter(|(_, crash)| !crash.is_refuted);
        pending.map(|(site, _)| *site)
    }

    /// How much the crashes count against the part; those of the `explained` endpoints had another
    /// cause.
    pub fn weight(&self, explained: &BTreeSet<SiteHash>) -> CrashWeight {
        let crashes = self.crashes.iter();
        let counted =
            crashes.filter(|(site, crash)| !crash.is_refuted && !explained.contains(site));
        let mut ends: Vec<ClockTime> = counted.map(|(_, crash)| crash.at).collect();
        ends.sort_unstable();
        let mut times = 0;
        let mut last: Option<ClockTime> = None;
        for at in &ends {
            if last.is_none_or(|last| at.since(last) >= SIMULTANEOUS) {
                times += 1;
                last = Some(*at);
            }
        }
        CrashWeight {
            times,
            endpoints: ends.len(),
        }
    }

    /// Records a crash that this entry observed; returns whether it is new.
    pub fn note_observed(&mut self, now: ClockTime, site: SiteHash) -> bool {
        self.received_at = Some(now);
        let is_new = self.insert(now, site, true, false);
        if is_new {
            self.note_change(now);
        }
        is_new
    }

    /// Records that the registration of an endpoint confirms a crash that this entry observed.
    pub fn note_confirmed(&mut self, site: SiteHash) {
        if let Some(crash) = self.crashes.get_mut(&site) {
            crash.is_observed = false;
        }
    }

    /// Records that an endpoint has answered a prompt with the part; returns whether that refutes
    /// anything.
    pub fn refute(&mut self, now: ClockTime) -> bool {
        let mut pending = self.crashes.values_mut().filter(|crash| !crash.is_refuted);
        let is_new = pending
            .next()
            .map(|crash| crash.is_refuted = true)
            .is_some();
        pending.for_each(|crash| crash.is_refuted = true);
        if is_new {
            self.note_change(now);
        }
        is_new
    }

    /// Records a crash that another entry reports; returns whether that changes anything.
    pub fn note_reported(&mut self, now: ClockTime, crash: &PartCrash) -> bool {
        let at = now - crash.age;
        if self.insert(at, crash.site, false, crash.is_refuted) {
            self.changed_at = now;
            return true;
        }
        let known = self.crashes.get_mut(&crash.site);
        let refuted = known.filter(|known| crash.is_refuted && !known.is_refuted);
        refuted.map(|known| known.is_refuted = true).is_some()
    }

    /// Inserts a crash unless it is known; returns whether it was not. The oldest one makes room.
    fn insert(
        &mut self,
        at: ClockTime,
        site: SiteHash,
        is_observed: bool,
        is_refuted: bool,
    ) -> bool {
        if let Some(known) = self.crashes.get_mut(&site) {
            known.is_observed |= is_observed;
            return false;
        }
        let evidence = CrashEvidence {
            at,
            is_observed,
            is_refuted,
        };
        self.crashes.insert(site, evidence);
        if self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            let oldest = oldest.map(|(oldest, _)| *oldest);
            oldest.map(|oldest| self.crashes.remove(&oldest));
            return oldest != Some(site);
        }
        true
    }

    fn note_change(&mut self, now: ClockTime) {
        self.changed_at = now;
        self.direct_sends = SENDS_PER_CHANGE;
        self.domain_sends = SENDS_PER_CHANGE;
    }

    /// Has the history forwarded to the other failure domains.
    pub fn forward(&mut self) {
        self.domain_sends = SENDS_PER_CHANGE;
    }

    /// Records that the history was restored, whose last crash was at `crashed_at`, and has it sent to
    /// all other entries.
    pub fn note_restored(&mut self, crashed_at: ClockTime) {
        self.changed_at = crashed_at;
        self.direct_sends = SENDS_PER_CHANGE;
        self.domain_sends = SENDS_PER_CHANGE;
    }

    /// Whether a request with the part has come to this entry, as far as that is known from a crash or
    /// a refusal.
    pub fn is_received(&self) -> bool {
        self.received_at.is_some()
    }

    /// Records that a request was refused because of the part.
    pub fn note_refused(&mut self, now: ClockTime) {
        self.received_at = Some(now);
    }

    /// Records that all entries of the failure domain were sent a report; `delay` is the share of
    /// the longest additional delay after which this entry repeats it.
    pub fn note_repeated(&mut self, now: ClockTime, delay: f64) {
        let delay = (MAX_REPEAT_DELAY.as_millis() as f64 * delay) as u64;
        self.repeat_at = now + REPEAT_INTERVAL + TimeSpan::from_millis(delay);
    }

    /// Schedules the repetition of the report if it is due; returns whether it is.
    pub fn schedule_repeat(&mut self, now: ClockTime) -> bool {
        let received_at = self.received_at;
        let is_active = received_at.is_some_and(|at| now.since(at) < ACTIVE_PERIOD);
        let is_due = is_active && now >= self.repeat_at;
        if is_due {
            self.direct_sends = self.direct_sends.max(1);
            self.domain_sends = self.domain_sends.max(1);
        }
        is_due
    }

    /// How often the history is still to be sent.
    pub fn sends_left(&mut self, scope: ReportScope) -> &mut u8 {
        match scope {
            ReportScope::Direct => &mut self.direct_sends,
            ReportScope::OtherDomains => &mut self.domain_sends,
        }
    }

    /// The number of crashes in a report.
    pub fn reported_crashes(&self) -> usize {
        self.crashes.len().min(MAX_REPORTED_CRASHES)
    }

    /// The newest crashes, for a report.
    pub fn report(&self, now: ClockTime) -> Vec<PartCrash> {
        let crashes = self.crashes.iter().map(|(site, crash)| PartCrash {
            site: *site,
            age: now.since(crash.at),
            is_refuted: crash.is_refuted,
        });
        let mut crashes: Vec<PartCrash> = crashes.collect();
        crashes.sort_by_key(|crash| crash.age);
        crashes.truncate(MAX_REPORTED_CRASHES);
        crashes
    }

    /// Removes the unconfirmed crashes that this entry observed since `since`.
    pub fn retract_observed(&mut self, since: ClockTime) {
        self.crashes
            .retain(|_, crash| !(crash.is_observed && crash.at >= since));
    }

    /// Whether no crash is known.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }
}
