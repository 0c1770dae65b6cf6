//! The usage that instances report to each other.

use std::collections::BTreeMap;

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{FailureDomain, InstanceId, OrganisationId},
    quota::window::SlidingWindow,
    units::TokenCount,
};

/// How long a change is reported, since datagrams can be lost.
const REPORT_PERIOD: TimeSpan = TimeSpan::from_millis(1_000);

/// Time without a change after which a sender starts a sum again at zero.
const SUM_LIFETIME: TimeSpan = TimeSpan::from_millis(20_000);

/// Time without a change after which a receiver forgets a sum. It is shorter than
/// [`SUM_LIFETIME`], so a receiver never compares a sum with one from before it was
/// started again.
const RECEIVED_LIFETIME: TimeSpan = TimeSpan::from_millis(10_000);

/// An organisation, by the hash of its name, as the names are long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(transparent)]
pub struct OrganisationHash(u64);

impl OrganisationHash {
    /// Creates the hash from its number.
    pub const fn new(hash: u64) -> OrganisationHash {
        OrganisationHash(hash)
    }

    /// Computes the hash of `organisation`.
    pub fn with_name(organisation: &OrganisationId) -> OrganisationHash {
        OrganisationHash(xxh3_64(organisation.as_str().as_bytes()))
    }

    /// The hash as a number.
    pub const fn number(self) -> u64 {
        self.0
    }
}

/// Sums of the usage of an organisation, in tokens or requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct UsageSums {
    /// Admitted.
    pub admitted: u64,
    /// Admitted, but known not to have run.
    pub returned: u64,
    /// Refused because of the limit.
    pub refused: u64,
}

impl UsageSums {
    /// No usage.
    pub fn new() -> UsageSums {
        UsageSums::default()
    }

    /// Sets what was admitted.
    pub fn with_admitted(mut self, cost: TokenCount) -> UsageSums {
        self.admitted = cost.count();
        self
    }

    /// Sets what was admitted and has not run.
    pub fn with_returned(mut self, cost: TokenCount) -> UsageSums {
        self.returned = cost.count();
        self
    }

    /// Sets what was refused.
    pub fn with_refused(mut self, cost: TokenCount) -> UsageSums {
        self.refused = cost.count();
        self
    }

    /// These sums and `other` together.
    pub fn plus(self, other: UsageSums) -> UsageSums {
        UsageSums {
            admitted: self.admitted.saturating_add(other.admitted),
            returned: self.returned.saturating_add(other.returned),
            refused: self.refused.saturating_add(other.refused),
        }
    }

    /// By how much each sum exceeds that of `earlier`.
    pub fn minus(self, earlier: UsageSums) -> UsageSums {
        UsageSums {
            admitted: self.admitted.saturating_sub(earlier.admitted),
            returned: self.returned.saturating_sub(earlier.returned),
            refused: self.refused.saturating_sub(earlier.refused),
        }
    }

    /// What counts towards the limit of a window.
    pub(super) fn used(self) -> f64 {
        self.admitted as f64 - self.returned as f64
    }

    /// What the callers have asked for. Requests that have not run are expected again.
    pub(super) fn asked(self) -> f64 {
        self.used() + self.refused as f64
    }

    /// The greater one of each sum.
    fn max(self, other: UsageSums) -> UsageSums {
        UsageSums {
            admitted: self.admitted.max(other.admitted),
            returned: self.returned.max(other.returned),
            refused: self.refused.max(other.refused),
        }
    }
}

/// The usage of one organisation as an instance reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// The organisation.
    pub organisation: OrganisationHash,
    /// The usage since a time that the sender chose.
    pub sums: UsageSums,
    /// What was admitted and not returned within the window of the limit. A receiver that
    /// has no earlier report counts this part.
    pub in_window: u64,
}

/// The sender of reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportSource {
    /// The instance.
    pub instance: InstanceId,
    /// The time of its start, which distinguishes its restarts.
    pub start: u64,
    /// Rises from one datagram of the instance to the next.
    pub stamp: u64,
    /// Its failure domain.
    pub domain: FailureDomain,
}

/// Sums that an instance reports, with the time of their last change.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportedSums {
    sums: UsageSums,
    window: SlidingWindow,
    changed_at: ClockTime,
    /// What was admitted up to the last broadcast.
    broadcast: u64,
}

impl ReportedSums {
    /// Adds usage.
    pub fn add(&mut self, now: ClockTime, window: TimeSpan, usage: UsageSums) {
        self.window.add(now, window, usage.used());
        self.sums = self.sums.plus(usage);
        self.changed_at = now;
    }

    /// The report of these sums; `None` if they are not due. Usage is reported for a while,
    /// since datagrams can be lost, and again in `is_repeated` rounds while it is in the
    /// window, for instances that missed the earlier reports.
    pub fn report(
        &mut self,
        now: ClockTime,
        window: TimeSpan,
        organisation: OrganisationHash,
        is_repeated: bool,
    ) -> Option<UsageReport> {
        let age = now.since(self.changed_at);
        let is_due = age < REPORT_PERIOD || (is_repeated && age <= window);
        is_due.then(|| UsageReport {
            organisation,
            sums: self.sums,
            in_window: self.window.sum(now, window) as u64,
        })
    }

    /// What was admitted since the last broadcast.
    pub fn unreported(&self) -> u64 {
        self.sums.admitted.saturating_sub(self.broadcast)
    }

    /// Records that the sums are broadcast now.
    pub fn note_broadcast(&mut self) {
        self.broadcast = self.sums.admitted;
    }

    /// Whether the sums start again at zero, as they have not changed for long.
    pub fn has_expired(&self, now: ClockTime) -> bool {
        now.since(self.changed_at) >= SUM_LIFETIME
    }
}

#[derive(Clone, Copy, Debug)]
struct ReceivedSum {
    sums: UsageSums,
    changed_at: ClockTime,
}

impl ReceivedSum {
    fn has_expired(&self, now: ClockTime) -> bool {
        now.since(self.changed_at) >= RECEIVED_LIFETIME
    }
}

/// The last reports of one instance.
#[derive(Clone, Debug)]
struct SourceReports {
    start: u64,
    stamp: u64,
    sums: BTreeMap<OrganisationHash, ReceivedSum>,
}

impl SourceReports {
    /// Records `report` and returns the usage that it adds to the earlier ones.
    fn note(&mut self, now: ClockTime, report: &UsageReport) -> AddedUsage {
        let organisation = report.organisation;
        let last = self.sums.get(&report.organisation);
        let last = last.filter(|last| !last.has_expired(now));
        let last = last.map(|last| last.sums);
        let received = ReceivedSum {
            sums: report.sums,
            changed_at: now,
        };
        self.sums.insert(organisation, received);
        match last {
            Some(last) => AddedUsage {
                organisation,
                usage: report.sums.minus(last),
                is_backlog: false,
            },
            None => AddedUsage {
                organisation,
                usage: UsageSums {
                    admitted: report.in_window,
                    ..UsageSums::default()
                },
                is_backlog: true,
            },
        }
    }
}

/// The last reports of all sources of one kind.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportTable {
    sources: BTreeMap<InstanceId, SourceReports>,
}

impl ReportTable {
    /// Records reports and returns the usage that each adds. Nothing is added by a datagram
    /// that was overtaken by a later one.
    pub fn note(
        &mut self,
        now: ClockTime,
        source: &ReportSource,
        reports: &[UsageReport],
    ) -> Vec<AddedUsage> {
        let version = (source.start, source.stamp);
        let known = self.sources.get_mut(&source.instance);
        let known = known.filter(|known| known.start == source.start || version.0 < known.start);
        if known.is_none() {
            let reports = SourceReports {
                start: source.start,
                stamp: 0,
                sums: BTreeMap::new(),
            };
            self.sources.insert(source.instance.clone(), reports);
        }
        let Some(known) = self.sources.get_mut(&source.instance) else {
            return Vec::new();
        };
        if version <= (known.start, known.stamp) {
            return Vec::new();
        }
        known.stamp = source.stamp;
        let added = reports.iter().map(|report| known.note(now, report));
        added.filter(|added| !added.is_empty()).collect()
    }

    /// Forgets sums that have not changed for long.
    pub fn sweep(&mut self, now: ClockTime) {
        for source in self.sources.values_mut() {
            source.sums.retain(|_, sum| !sum.has_expired(now));
        }
    }
}

/// Usage of an organisation that was not known before.
#[derive(Clone, Copy, Debug)]
pub(super) struct AddedUsage {
    /// The organisation.
    pub organisation: OrganisationHash,
    /// Its usage.
    pub usage: UsageSums,
    /// Whether the usage took place at any time within the window, rather than since the
    /// last report.
    pub is_backlog: bool,
}

impl AddedUsage {
    fn is_empty(&self) -> bool {
        self.usage == UsageSums::default()
    }
}

/// The usage of one failure domain, as its representatives report it.
///
/// All representatives report the same usage, each with its own start and delay. What one
/// of them has reported must not be counted again when the others report it too.
#[derive(Clone, Debug, Default)]
pub(super) struct DomainUsage {
    /// The usage known, by organisation.
    known: BTreeMap<OrganisationHash, ReceivedSum>,
    /// The usage that each representative has reported. A new one starts at the usage that
    /// is known already.
    reported: BTreeMap<(OrganisationHash, InstanceId), UsageSums>,
}

impl DomainUsage {
    /// Adds what `representative` reported in addition to its earlier reports, and returns
    /// the part of it that was not known yet.
    pub fn add(
        &mut self,
        now: ClockTime,
        representative: &InstanceId,
        added: AddedUsage,
    ) -> AddedUsage {
        let organisation = added.organisation;
        let known = self.known.get(&organisation).map(|known| known.sums);
        let key = (organisation, representative.clone());
        let reported = match (self.reported.get(&key), known) {
            (Some(reported), _) => reported.plus(added.usage),
            // Its first report repeats what others have reported.
            (None, Some(known)) => known,
            (None, None) => added.usage,
        };
        self.reported.insert(key, reported);
        let known = known.unwrap_or_default();
        let newest = known.max(reported);
        let received = ReceivedSum {
            sums: newest,
            changed_at: now,
        };
        self.known.insert(organisation, received);
        AddedUsage {
            usage: newest.minus(known),
            ..added
        }
    }

    /// Forgets organisations without usage for long.
    pub fn sweep(&mut self, now: ClockTime) {
        self.known.retain(|_, known| !known.has_expired(now));
        let known = &self.known;
        self.reported
            .retain(|(organisation, _), _| known.contains_key(organisation));
    }
}
