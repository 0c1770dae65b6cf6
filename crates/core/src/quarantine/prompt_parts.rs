//! Quarantine of parts of prompts that crash the endpoints that begin to answer them.
//!
//! Requests with such a part are all different, come to any entry and share their caller and their
//! other parts with sound requests. Two observations are joined:
//!
//! - *For a part*: an endpoint answered a prompt with it, or has been writing the answer for
//!   [`SURVIVAL_TIME`]. A part that was answered lately is not suspected when an endpoint ends, and an
//!   answer refutes all crashes that are known of a suspect.
//! - *Against it*: an endpoint ended while a prompt with it ran there, and it has not been answered
//!   since. Several such crashes at different times quarantine it.
//!
//! Many requests run on an endpoint that ends, and rare parts may run on several. So a crash that a
//! quarantined part explains does not count against others: the part with most crashes is
//! quarantined first, and only what the others have beyond these is considered then.
//!
//! Entries send each other the crashes of suspects and what refutes them. Both only accumulate, so
//! reports can be lost, repeated and overtaken.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    clock::{ClockTime, TimeSpan},
    quarantine::{
        PartHash, QUARANTINE_RETENTION, ReportScope, SiteHash,
        part_history::{CrashWeight, PartHistory},
        recent_parts::RecentParts,
    },
};

/// For how long an endpoint has to go on writing an answer to show that no part of the prompt crashes
/// it: an endpoint that crashes does so when it begins to write.
pub const SURVIVAL_TIME: TimeSpan = TimeSpan::from_millis(500);

/// Maximum number of parts kept.
const MAX_PARTS: usize = 1_024;

/// Maximum number of parts in one datagram.
pub const MAX_PARTS_PER_DATAGRAM: usize = 64;

/// How long a suspect is kept after its last crash.
const SUSPECT_RETENTION: TimeSpan = TimeSpan::from_secs(120);

/// The end of an endpoint while prompts with a part ran there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartCrash {
    /// The endpoint and its start.
    pub site: SiteHash,
    /// How long ago it ended.
    pub age: TimeSpan,
    /// Whether the part was answered afterwards.
    pub is_refuted: bool,
}

/// What an entry knows of the crashes under one part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartReport {
    /// The part.
    pub part: PartHash,
    /// The crashes.
    pub crashes: Vec<PartCrash>,
}

/// A part that is quarantined, with its crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinedHistory {
    /// The part and its crashes.
    pub report: PartReport,
    /// Whether a request with it has come to this entry.
    pub is_received_here: bool,
}

/// A part for which a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantinedPart {
    /// The part.
    pub part: PartHash,
    /// The number of crashes that are known of it.
    pub crashes: usize,
    /// The time until requests with it may be sent again.
    pub remaining: TimeSpan,
}

/// The suspected and the quarantined parts, as known to one entry.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PartQuarantine {
    histories: BTreeMap<PartHash, PartHistory>,
    quarantined: BTreeSet<PartHash>,
    #[serde(skip)]
    answered: RecentParts,
    /// Distinguishes this entry from others in the delays of repeated reports.
    #[serde(skip)]
    seed: u64,
}

impl PartQuarantine {
    /// Creates a quarantine without parts.
    pub fn new() -> PartQuarantine {
        PartQuarantine::default()
    }

    /// Sets the seed of the delays with which reports are repeated.
    pub fn with_seed(mut self, seed: u64) -> PartQuarantine {
        self.seed = seed;
        self
    }

    /// Whether no part is quarantined, so that no prompt has to be looked at.
    pub fn is_empty(&self) -> bool {
        self.quarantined.is_empty()
    }

    /// The quarantined parts.
    pub fn quarantined(&self) -> impl Iterator<Item = PartHash> {
        self.quarantined.iter().copied()
    }

    /// Returns the first of these parts that is quarantined, and records that a request with it is
    /// refused.
    pub fn refuse(&mut self, now: ClockTime, parts: &[PartHash]) -> Option<QuarantinedPart> {
        let mut parts = parts.iter();
        let part = *parts.find(|part| self.quarantined.contains(part))?;
        let history = self.histories.get_mut(&part)?;
        history.note_refused(now);
        let elapsed = now.since(history.changed_at());
        Some(QuarantinedPart {
            part,
            crashes: history.pending().count(),
            remaining: QUARANTINE_RETENTION.saturating_sub(elapsed),
        })
    }

    /// Whether a quarantined part explains that the endpoint ended.
    pub fn explains(&self, site: SiteHash) -> bool {
        let mut histories = self.quarantined_histories();
        histories.any(|history| history.pending().any(|pending| pending == site))
    }

    /// Records that an endpoint ended while prompts with these parts ran there, as this entry
    /// observed. Returns the parts that are quarantined since.
    pub fn note_crash(
        &mut self,
        now: ClockTime,
        site: SiteHash,
        parts: &BTreeSet<PartHash>,
    ) -> Vec<PartHash> {
        let mut is_changed = false;
        for part in parts {
            if !self.answered.contains(*part) {
                is_changed |= self.history(now, *part).note_observed(now, site);
            }
        }
        self.update_if(is_changed)
    }

    /// Records a crash as [`PartQuarantine::note_crash`] does, which the registration of the endpoint
    /// confirms: it is not retracted any more.
    pub fn confirm_crash(
        &mut self,
        now: ClockTime,
        site: SiteHash,
        parts: &BTreeSet<PartHash>,
    ) -> Vec<PartHash> {
        let quarantined = self.note_crash(now, site, parts);
        for part in parts {
            if let Some(history) = self.histories.get_mut(part) {
                history.note_confirmed(site);
            }
        }
        quarantined
    }

    /// Records that an endpoint answered a prompt with these parts, and went on running.
    pub fn note_answered(&mut self, now: ClockTime, parts: &[PartHash]) {
        self.answered.note(now, parts);
        let mut is_changed = false;
        for part in parts {
            if let Some(history) = self.histories.get_mut(part) {
                is_changed |= history.refute(now);
            }
        }
        self.update_if(is_changed);
    }

    /// Records the reports of another entry, which is in the own failure domain or not. Returns the
    /// parts that are quarantined since.
    pub fn note_reports(
        &mut self,
        now: ClockTime,
        reports: &[PartReport],
        is_same_domain: bool,
    ) -> Vec<PartHash> {
        let mut is_changed = false;
        for report in reports {
            is_changed |= self.note_report(now, report, is_same_domain);
        }
        self.update_if(is_changed)
    }

    fn note_report(&mut self, now: ClockTime, report: &PartReport, is_same_domain: bool) -> bool {
        let is_answered = self.answered.contains(report.part);
        let delay = self.repeat_delay(report.part);
        let history = self.history(now, report.part);
        let mut is_changed = false;
        for crash in &report.crashes {
            is_changed |= history.note_reported(now, crash);
        }
        if is_same_domain && is_changed {
            history.forward();
        }
        if is_same_domain && report.crashes.len() >= history.reported_crashes() {
            history.note_repeated(now, delay);
        }
        if is_answered {
            is_changed |= history.refute(now);
        }
        is_changed
    }

    /// Removes the unconfirmed crashes that this entry observed since `since`: it may be its paths to
    /// the endpoints that broke.
    pub fn retract_observed(&mut self, since: ClockTime) {
        for history in self.histories.values_mut() {
            history.retract_observed(since);
        }
        self.histories.retain(|_, history| !history.is_empty());
        self.update_if(true);
    }

    /// Returns the reports for the next datagram to the recipients in `scope`, and records them as
    /// sent. Parts with more crashes go first, then those sent less often and the newest.
    pub fn take_reports(&mut self, now: ClockTime, scope: ReportScope) -> Vec<PartReport> {
        for part in self.quarantined.clone() {
            let delay = self.repeat_delay(part);
            if let Some(history) = self.histories.get_mut(&part)
                && history.schedule_repeat(now)
            {
                history.note_repeated(now, delay);
            }
        }
        let nothing = BTreeSet::new();
        let mut due = Vec::new();
        for (part, history) in &mut self.histories {
            let sends_left = *history.sends_left(scope);
            if sends_left > 0 {
                let order = Reverse((history.weight(&nothing), sends_left, history.changed_at()));
                due.push((order, *part, history));
            }
        }
        due.sort_by_key(|(order, ..)| *order);
        let sent = due.into_iter().take(MAX_PARTS_PER_DATAGRAM);
        sent.map(|(_, part, history)| {
            *history.sends_left(scope) -= 1;
            PartReport {
                part,
                crashes: history.report(now),
            }
        })
        .collect()
    }

    /// The parts that are quarantined, with their crashes.
    pub fn quarantined_reports(
        &self,
        now: ClockTime,
    ) -> impl Iterator<Item = QuarantinedHistory> + '_ {
        let quarantined = self.quarantined.iter();
        quarantined.filter_map(move |part| {
            let history = self.histories.get(part)?;
            Some(QuarantinedHistory {
                report: PartReport {
                    part: *part,
                    crashes: history.report(now),
                },
                is_received_here: history.is_received(),
            })
        })
    }

    /// Enters a part that earlier processes have quarantined and that was stored `elapsed` ago, and has
    /// it reported to the other entries.
    pub fn restore(&mut self, now: ClockTime, elapsed: TimeSpan, report: &PartReport) {
        let crashes = report.crashes.iter().map(|crash| PartCrash {
            age: crash.age + elapsed,
            ..*crash
        });
        let report = PartReport {
            part: report.part,
            crashes: crashes.collect(),
        };
        self.note_reports(now, std::slice::from_ref(&report), true);
        if let Some(history) = self.histories.get_mut(&report.part) {
            let ages = report.crashes.iter().map(|crash| crash.age);
            let age = ages.min().unwrap_or(elapsed);
            history.note_restored(now - age);
        }
    }

    /// Removes parts without a crash for long.
    pub fn sweep(&mut self, now: ClockTime) {
        let quarantined = &self.quarantined;
        self.histories.retain(|part, history| {
            let retention = match quarantined.contains(part) {
                true => QUARANTINE_RETENTION,
                false => SUSPECT_RETENTION,
            };
            now.since(history.changed_at()) < retention
        });
        self.update_if(true);
    }

    /// Decides anew which parts are quarantined if the evidence `is_changed`; returns those that were
    /// not before.
    fn update_if(&mut self, is_changed: bool) -> Vec<PartHash> {
        if !is_changed {
            return Vec::new();
        }
        let quarantined = self.parts_to_quarantine();
        let earlier = std::mem::replace(&mut self.quarantined, quarantined);
        self.quarantined.difference(&earlier).copied().collect()
    }

    /// The parts that explain the crashes: those with the most crashes first, then those that have
    /// enough beside the ones that are explained.
    fn parts_to_quarantine(&self) -> BTreeSet<PartHash> {
        let mut selected = self.often_crashing_parts();
        let pending = selected
            .iter()
            .flat_map(|part| self.histories[part].pending());
        let mut explained: BTreeSet<SiteHash> = pending.collect();
        loop {
            let histories = self.histories.iter();
            let weights = histories.map(|(part, history)| (*part, history.weight(&explained)));
            let conclusive = weights.filter(|(_, weight)| weight.is_conclusive());
            let conclusive: Vec<(PartHash, CrashWeight)> = conclusive.collect();
            let Some(most) = conclusive.iter().map(|(_, weight)| *weight).max() else {
                return selected;
            };
            // Nothing distinguishes parts with the same weight.
            for (part, _) in conclusive.iter().filter(|(_, weight)| *weight == most) {
                selected.insert(*part);
                explained.extend(self.histories[part].pending());
            }
        }
    }

    /// The parts with so many crashes that it does not matter what else explains these.
    fn often_crashing_parts(&self) -> BTreeSet<PartHash> {
        let nothing = BTreeSet::new();
        let histories = self.histories.iter();
        let often = histories.filter(|(_, history)| {
            let weight = history.weight(&nothing);
            weight.is_conclusive_if_explained()
        });
        often.map(|(part, _)| *part).collect()
    }

    fn quarantined_histories(&self) -> impl Iterator<Item = &PartHistory> {
        let quarantined = self.quarantined.iter();
        quarantined.filter_map(|part| self.histories.get(part))
    }

    /// The delay of this entry's repeated reports of `part`, from 0 to 1.
    fn repeat_delay(&self, part: PartHash) -> f64 {
        let hash = xxh3_64_with_seed(&part.number().to_le_bytes(), self.seed);
        (hash >> 32) as f64 / f64::from(u32::MAX)
    }

    fn history(&mut self, now: ClockTime, part: PartHash) -> &mut PartHistory {
        let is_known = self.histories.contains_key(&part);
        if !is_known && self.histories.len() >= MAX_PARTS {
            self.remove_least();
        }
        let history = self.histories.entry(part);
        history.or_insert_with(|| PartHistory::new(now))
    }

    /// Removes the part with the fewest crashes that has not changed for longest.
    fn remove_least(&mut self) {
        let nothing = BTreeSet::new();
        let least = self.histories.iter().min_by_key(|(_, history)| {
            let weight = history.weight(&nothing);
            (weight, history.changed_at())
        });
        if let Some(part) = least.map(|(part, _)| *part) {
            self.histories.remove(&part);
        }
    }
}
