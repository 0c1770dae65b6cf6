//! Which instances report their usage to an instance.

use std::collections::BTreeMap;

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{FailureDomain, InstanceId},
    quota::{ReportSource, limiter::REPEAT_INTERVAL},
};

/// Minimum time for which a report of usage covers its sender: that of two heartbeats of an
/// instance without usage.
const MIN_REPORT_LIFETIME: TimeSpan = TimeSpan::from_millis(700);

/// The longest gap in the reports of an instance that a restart explains. After a longer one
/// it may have run behind a partition.
const MAX_RESTART_TIME: TimeSpan = TimeSpan::from_millis(5_000);

/// The longest usual delay of a datagram.
const MAX_DELAY: TimeSpan = TimeSpan::from_millis(50);

/// The time for which a report of usage covers its sender, in multiples of the interval of
/// the reports: the loss of one datagram has no effect.
const REPORT_LIFETIME_INTERVALS: u64 = 3;

/// The time within which remaining room is used up, in multiples of the interval of the
/// reports. A shorter time makes the usage swing around the limit.
const INTERVALS_TO_USE_ROOM: u64 = 2;

/// Minimum time within which remaining room is used up.
const MIN_TIME_TO_USE_ROOM: TimeSpan = TimeSpan::from_millis(750);

/// The instances of the fleet, as one instance knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetSize {
    /// The other instances that report their usage to this one directly.
    pub direct: usize,
    /// The numbers of instances in the failure domains that report their usage through
    /// representatives.
    pub domains: BTreeMap<FailureDomain, usize>,
}

impl FleetSize {
    /// The number of all instances, this one included.
    pub fn total(&self) -> usize {
        1 + self.direct + self.domains.values().sum::<usize>()
    }
}

/// When an instance or a failure domain reports.
#[derive(Clone, Copy, Debug)]
struct ReportTimes {
    /// From when on all usage within the window is known from its reports.
    complete_at: ClockTime,
    last_at: ClockTime,
}

#[derive(Clone, Copy, Debug)]
struct InstanceReports {
    start: u64,
    times: ReportTimes,
}

#[derive(Clone, Copy, Debug)]
struct DomainReports {
    entries: usize,
    times: ReportTimes,
}

/// The instances whose usage is known at one instance.
#[derive(Clone, Debug, Default)]
pub(super) struct UsageCoverage {
    /// `None` while the other instances are not known.
    fleet: Option<FleetSize>,
    report_interval: TimeSpan,
    direct: BTreeMap<InstanceId, InstanceReports>,
    domains: BTreeMap<FailureDomain, DomainReports>,
}

impl UsageCoverage {
    /// Sets the size of the fleet, and the interval at which its instances report.
    pub fn set_fleet(&mut self, fleet: FleetSize, report_interval: TimeSpan) {
        self.fleet = Some(fleet);
        self.report_interval = report_interval;
    }

    /// Records a report of an instance. Its usage is known at once if this instance has just
    /// started or if it has restarted within a short time, otherwise after it has reported all
    /// usage within the window. What it used before a restart that was not noticed here leaves
    /// the window only.
    pub fn note_instance(
        &mut self,
        now: ClockTime,
        source: &ReportSource,
        is_starting: bool,
        window: TimeSpan,
    ) {
        let known = self.direct.get(&source.instance);
        let restarted = known.filter(|known| known.start < source.start);
        let delay = match restarted {
            _ if is_starting => TimeSpan::ZERO,
            Some(known) if now.since(known.times.last_at) > MAX_RESTART_TIME => window,
            Some(_) => TimeSpan::ZERO,
            None => REPEAT_INTERVAL,
        };
        let last = known.filter(|known| known.start == source.start);
        let times = self.next_times(now, last.map(|last| last.times), delay);
        let start = source.start;
        let reports = InstanceReports { start, times };
        match self.direct.get_mut(&source.instance) {
            Some(known) => *known = reports,
            None => {
                self.direct.insert(source.instance.clone(), reports);
            }
        }
    }

    /// Records a report of the usage of `entries` instances of a failure domain.
    pub fn note_domain(
        &mut self,
        now: ClockTime,
        domain: &FailureDomain,
        entries: usize,
        is_starting: bool,
    ) {
        let last = self.domains.get(domain).map(|last| last.times);
        let delay = match is_starting {
            true => TimeSpan::ZERO,
            false => REPEAT_INTERVAL,
        };
        let times = self.next_times(now, last, delay);
        let reports = DomainReports { entries, times };
        self.domains.insert(domain.clone(), reports);
    }

    /// The times after a report. After a gap in the reports, the usage is complete after
    /// `delay`.
    fn next_times(
        &self,
        now: ClockTime,
        last: Option<ReportTimes>,
        delay: TimeSpan,
    ) -> ReportTimes {
        let last = last.filter(|last| self.is_recent(now, last.last_at));
        ReportTimes {
            complete_at: last.map_or(now + delay, |last| last.complete_at),
            last_at: now,
        }
    }

    /// The interval at which instances report.
    pub fn report_interval(&self) -> TimeSpan {
        self.report_interval
    }

    /// The time within which remaining room is used up, in seconds.
    pub fn time_to_use_room(&self) -> f64 {
        let span = self.report_interval.times(INTERVALS_TO_USE_ROOM);
        span.max(MIN_TIME_TO_USE_ROOM).as_millis() as f64 / 1_000.0
    }

    /// The number of all instances; `None` while it is not known.
    pub fn total(&self) -> Option<usize> {
        self.fleet.as_ref().map(FleetSize::total)
    }

    /// The number of failure domains, the one of this instance included.
    pub fn domain_count(&self) -> usize {
        1 + self.fleet.as_ref().map_or(0, |fleet| fleet.domains.len())
    }

    /// The instances that report directly, this one included.
    pub fn direct_entries(&self, now: ClockTime) -> usize {
        let reports = self.direct.values();
        let covered = reports.filter(|reports| self.age(now, reports.times).is_some());
        1 + covered.count()
    }

    /// The fraction of all instances whose usage is known here.
    pub fn fraction(&self, now: ClockTime) -> f64 {
        let Some(fleet) = &self.fleet else {
            return 0.0;
        };
        let direct = self.direct_entries(now).min(1 + fleet.direct);
        let domains = fleet.domains.iter().map(|(domain, total)| {
            let reports = self.domains.get(domain);
            let reports = reports.filter(|reports| self.age(now, reports.times).is_some());
            reports.map_or(0, |reports| reports.entries.min(*total))
        });
        (direct + domains.sum::<usize>()) as f64 / fleet.total() as f64
    }

    /// The age of the last report of an instance; `None` if its usage is not known.
    pub fn instance_age(&self, now: ClockTime, instance: &InstanceId) -> Option<TimeSpan> {
        self.age(now, self.direct.get(instance)?.times)
    }

    /// The age of the last report of a failure domain; `None` if its usage is not known.
    pub fn domain_age(&self, now: ClockTime, domain: &FailureDomain) -> Option<TimeSpan> {
        self.age(now, self.domains.get(domain)?.times)
    }

    /// Whether a report of this age should have been followed by another one.
    pub fn is_late(&self, report_age: TimeSpan) -> bool {
        report_age > self.report_interval.times(2) + MAX_DELAY
    }

    fn age(&self, now: ClockTime, times: ReportTimes) -> Option<TimeSpan> {
        let is_known = now >= times.complete_at && self.is_recent(now, times.last_at);
        is_known.then(|| now.since(times.last_at))
    }

    fn is_recent(&self, now: ClockTime, at: ClockTime) -> bool {
        let lifetime = self.report_interval.times(REPORT_LIFETIME_INTERVALS);
        now.since(at) <= lifetime.max(MIN_REPORT_LIFETIME)
    }
}
