//! The usage of one organisation, by where it was reported from.

use std::collections::BTreeMap;

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{FailureDomain, InstanceId},
    quota::{
        QuotaBounds, RateLimit, UsageSums, average::RateAverage, coverage::UsageCoverage,
        reports::AddedUsage, shedding::SizeDistribution, window::SlidingWindow,
    },
};

/// The fraction of what is allowed in a window that is left unused. It takes up requests
/// that arrive at several instances before their reports do.
const MARGIN: f64 = 0.06;

/// A span in which usage is bounded.
struct BoundedSpan {
    /// The number of such spans in a window.
    per_window: u64,
    /// The fraction of the limit of a window that may be used in it.
    fraction: f64,
}

/// The spans in which usage is bounded. Without the shorter one, an organisation above its
/// limit would use all of it at the start of each window, and be refused for the rest.
const BOUNDED_SPANS: [BoundedSpan; 2] = [
    BoundedSpan {
        per_window: 1,
        fraction: 1.0,
    },
    BoundedSpan {
        per_window: 4,
        fraction: 0.375,
    },
];

/// The fraction of the limit that is used until an instance has run for a whole window. Up
/// to then it does not know what was used before its start.
const FRACTION_AFTER_START: f64 = 0.6;

/// The same for an organisation that sends more than its limit. It has probably used the
/// whole limit before the start.
const FRACTION_AFTER_START_ABOVE_LIMIT: f64 = 0.1;

/// What an organisation may ask for at its first requests after the start of an instance, as
/// a fraction of its limit, without being taken for one that sends more than its limit.
const BURST_AFTER_START: f64 = 0.15;

/// Minimum time over which usage that leaves the window is averaged.
const MIN_HORIZON: TimeSpan = TimeSpan::from_millis(750);

/// Usage that one other instance or failure domain has reported.
#[derive(Clone, Debug)]
struct ReportedUsage {
    window: SlidingWindow,
    demand: RateAverage,
    reported_at: ClockTime,
}

impl ReportedUsage {
    fn new(now: ClockTime) -> ReportedUsage {
        ReportedUsage {
            window: SlidingWindow::default(),
            demand: RateAverage::new(now),
            reported_at: now,
        }
    }

    /// Adds usage that was reported now, and took place since the last report or, as
    /// backlog, at any time within the window.
    fn add(&mut self, now: ClockTime, length: TimeSpan, added: AddedUsage) {
        let since_report = now.since(self.reported_at).min(MIN_HORIZON);
        let middle = now - TimeSpan::from_millis(since_report.as_millis() / 2);
        self.window.add(middle, length, added.usage.used());
        if !added.is_backlog {
            self.demand.add(now, added.usage.asked());
        }
        self.reported_at = now;
    }
}

/// Usage within the window, as estimated at one instance.
#[derive(Clone, Copy, Debug, Default)]
struct WindowUsage {
    used: f64,
    /// The part of it that leaves the window soon.
    leaving: f64,
}

impl WindowUsage {
    fn plus(self, other: WindowUsage) -> WindowUsage {
        WindowUsage {
            used: self.used + other.used,
            leaving: self.leaving + other.leaving,
        }
    }
}

/// What an instance knows and expects of the usage and the demand at all instances.
#[derive(Clone, Copy, Debug)]
struct UsageEstimate {
    all: WindowUsage,
    /// At this instance and at the covered ones.
    covered: WindowUsage,
    /// What arrives per second at the covered instances.
    demand: f64,
}

/// What may be admitted now.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuotaRoom {
    /// The room that is left.
    pub room: f64,
    /// The rate at which the room that is left and that becomes free may be used.
    pub usable_rate: f64,
    /// What arrives per second at this instance and at the covered ones.
    pub demand: f64,
}

impl QuotaRoom {
    fn min(self, other: QuotaRoom) -> QuotaRoom {
        QuotaRoom {
            room: self.room.min(other.room),
            usable_rate: self.usable_rate.min(other.usable_rate),
            demand: self.demand.max(other.demand),
        }
    }
}

/// The usage of one organisation.
#[derive(Clone, Debug)]
pub(super) struct OrganisationUsage {
    limit: RateLimit,
    own: SlidingWindow,
    instances: BTreeMap<InstanceId, ReportedUsage>,
    domains: BTreeMap<FailureDomain, ReportedUsage>,
    demand: RateAverage,
    /// All usage that took place after the start of this instance, and what was asked for.
    since_start: f64,
    asked_since_start: f64,
    /// The fraction of the tokens that was admitted last.
    fraction: f64,
    sizes: SizeDistribution,
}

impl OrganisationUsage {
    /// An organisation without usage.
    pub fn new(now: ClockTime, limit: RateLimit) -> OrganisationUsage {
        OrganisationUsage {
            limit,
            own: SlidingWindow::default(),
            instances: BTreeMap::new(),
            domains: BTreeMap::new(),
            demand: RateAverage::new(now),
            since_start: 0.0,
            asked_since_start: 0.0,
            fraction: 1.0,
            sizes: SizeDistribution::new(),
        }
    }

    /// The limit.
    pub fn limit(&self) -> &RateLimit {
        &self.limit
    }

    /// Replaces the limit; the usage stays known.
    pub fn with_limit(mut self, limit: RateLimit) -> OrganisationUsage {
        self.limit = limit;
        self
    }

    /// Adds usage at this instance.
    pub fn add_own(&mut self, now: ClockTime, window: TimeSpan, usage: UsageSums) {
        self.own.add(now, window, usage.used());
        self.note_since_start(usage);
    }

    /// Records that a request of `amount` arrived at this instance; a negative amount if an
    /// earlier one has not run.
    pub fn note_demand(&mut self, now: ClockTime, amount: f64) {
        self.demand.add(now, amount);
    }

    /// The probability with which to admit a request, if `fraction` of all tokens is to be
    /// admitted.
    pub fn admit_probability(&mut self, cost: f64, priority: u8, fraction: f64) -> f64 {
        self.fraction = fraction;
        self.sizes.add(cost, priority);
        self.sizes.probability(cost, priority, fraction)
    }

    /// Adds usage that an instance reported of itself.
    pub fn add_instance(
        &mut self,
        now: ClockTime,
        window: TimeSpan,
        instance: &InstanceId,
        added: AddedUsage,
    ) {
        if !added.is_backlog {
            self.note_since_start(added.usage);
        }
        if !self.instances.contains_key(instance) {
            let reported = ReportedUsage::new(now);
            self.instances.insert(instance.clone(), reported);
        }
        if let Some(reported) = self.instances.get_mut(instance) {
            reported.add(now, window, added);
        }
    }

    /// Adds usage that was reported of a failure domain.
    pub fn add_domain(
        &mut self,
        now: ClockTime,
        window: TimeSpan,
        domain: &FailureDomain,
        added: AddedUsage,
    ) {
        if !added.is_backlog {
            self.note_since_start(added.usage);
        }
        let reported = self.domains.entry(domain.clone());
        let reported = reported.or_insert_with(|| ReportedUsage::new(now));
        reported.add(now, window, added);
    }

    fn note_since_start(&mut self, usage: UsageSums) {
        self.since_start += usage.used();
        self.asked_since_start += usage.asked();
    }

    /// What may be admitted now: the least of what the limit, the parts of the covered
    /// instances and a recent start leave. `age` is the time since the start of this
    /// instance.
    pub fn room(
        &self,
        now: ClockTime,
        bounds: &QuotaBounds,
        coverage: &UsageCoverage,
        age: TimeSpan,
    ) -> QuotaRoom {
        let allowed = bounds.allowed(&self.limit) * (1.0 - MARGIN);
        let covered_fraction = coverage.fraction(now);
        let time_to_use_room = coverage.time_to_use_room();
        let horizon = coverage.report_interval().max(MIN_HORIZON);
        let horizon_seconds = horizon.as_millis() as f64 / 1_000.0;
        let own_demand = self.demand.rate(now);
        let mut least: Option<QuotaRoom> = None;
        for bounded in BOUNDED_SPANS {
            let span = TimeSpan::from_millis(bounds.window.as_millis() / bounded.per_window);
            let estimate = self.estimate(now, bounds.window, span, horizon, coverage);
            let room_in = |allowed: f64, usage: WindowUsage| {
                let room = allowed * bounded.fraction - usage.used;
                QuotaRoom {
                    room,
                    usable_rate: room / time_to_use_room + usage.leaving / horizon_seconds,
                    demand: own_demand + estimate.demand,
                }
            };
            let of_limit = room_in(allowed, estimate.all);
            let of_part = room_in(allowed * covered_fraction, estimate.covered);
            let room = of_limit.min(of_part);
            least = Some(least.map_or(room, |least| least.min(room)));
        }
        let after_start = self.room_after_start(bounds.window, allowed * covered_fraction, age);
        match (least, after_start) {
            (Some(room), None) => room,
            (Some(room), Some((left, rate))) => QuotaRoom {
                room: room.room.min(left),
                usable_rate: room.usable_rate.min(left / time_to_use_room + rate),
                demand: room.demand,
            },
            (None, _) => QuotaRoom {
                room: 0.0,
                usable_rate: 0.0,
                demand: own_demand,
            },
        }
    }

    /// The usage within `span`, as estimated here.
    ///
    /// Until its next report or until it is no longer covered, a reporter is expected to be
    /// sent the same demand as before, and to admit the same fraction as this instance. If it
    /// were expected to use nothing, both sides of a partition would take over the part of
    /// the other one. If its report is late, the demand may have risen there as it has here.
    fn estimate(
        &self,
        now: ClockTime,
        window: TimeSpan,
        span: TimeSpan,
        horizon: TimeSpan,
        coverage: &UsageCoverage,
    ) -> UsageEstimate {
        let measure = |usage: &SlidingWindow| {
            let (used, leaving) = usage.within(now, window, span, horizon);
            WindowUsage { used, leaving }
        };
        let own = measure(&self.own);
        let own_demand = self.demand.rate(now);
        let fraction = self.fraction;
        let mut estimate = UsageEstimate {
            all: own,
            covered: own,
            demand: 0.0,
        };
        let mut count = |reported: &ReportedUsage, report_age: Option<TimeSpan>| {
            let mut usage = measure(&reported.window);
            if let Some(report_age) = report_age {
                let seconds = report_age.as_millis() as f64 / 1_000.0;
                let reported_demand = reported.demand.rate(now - report_age);
                let expected = match coverage.is_late(report_age) {
                    true => reported_demand.max(own_demand),
                    false => reported_demand,
                };
                estimate.demand += expected;
                usage.used += expected * fraction * seconds;
                estimate.covered = estimate.covered.plus(usage);
            }
            estimate.all = estimate.all.plus(usage);
        };
        for (instance, reported) in &self.instances {
            count(reported, coverage.instance_age(now, instance));
        }
        for (domain, reported) in &self.domains {
            count(reported, coverage.domain_age(now, domain));
        }
        estimate
    }

    /// What is left of the part of the limit that is used after a start, and the rate at
    /// which it grows; `None` once this instance knows the whole window.
    fn room_after_start(
        &self,
        window: TimeSpan,
        allowed: f64,
        age: TimeSpan,
    ) -> Option<(f64, f64)> {
        if age >= window {
            return None;
        }
        let elapsed = age.as_millis() as f64 / window.as_millis().max(1) as f64;
        let is_above_limit = self.asked_since_start > allowed * (BURST_AFTER_START + elapsed);
        let fraction = match is_above_limit {
            true => FRACTION_AFTER_START_ABOVE_LIMIT,
            false => FRACTION_AFTER_START,
        };
        let left = fraction * allowed * elapsed - self.since_start;
        let rate = fraction * allowed * 1_000.0 / window.as_millis().max(1) as f64;
        Some((left, rate))
    }

    /// What is known to arrive at all instances, per second.
    pub fn demand(&self, now: ClockTime) -> f64 {
        let instances = self.instances.values();
        let reported = instances.chain(self.domains.values());
        let demands = reported.map(|reported| reported.demand.rate(now));
        self.demand.rate(now) + demands.sum::<f64>()
    }

    /// The usage known within the window: at this instance and at all instances.
    pub fn known(&self, now: ClockTime, window: TimeSpan) -> (f64, f64) {
        let sum = |usage: &SlidingWindow| usage.clone().sum(now, window);
        let instances = self.instances.values();
        let reported = instances.chain(self.domains.values());
        let reported: f64 = reported.map(|reported| sum(&reported.window)).sum();
        let own = sum(&self.own);
        (own, own + reported)
    }

    /// Forgets reports from before the window.
    pub fn sweep(&mut self, now: ClockTime, window: TimeSpan) {
        let is_recent = |reported: &ReportedUsage| now.since(reported.reported_at) <= window;
        self.instances.retain(|_, reported| is_recent(reported));
        self.domains.retain(|_, reported| is_recent(reported));
    }
}
