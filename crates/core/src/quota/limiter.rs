//! The limits of all organisations on one instance.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{FailureDomain, OrganisationId},
    quota::{
        FleetSize, OrganisationHash, QuotaBounds, RateLimit, ReportSource, UsageReport, UsageSums,
        coverage::UsageCoverage,
        reports::{DomainUsage, ReportTable, ReportedSums},
        usage::OrganisationUsage,
    },
    units::TokenCount,
};

/// The time within which all usage in the window is reported at least once.
pub(super) const REPEAT_INTERVAL: TimeSpan = TimeSpan::from_millis(2_000);

/// The time after its start within which an instance receives a report of each reachable one.
const FIRST_CONTACT_PERIOD: TimeSpan = TimeSpan::from_millis(3_000);

/// The fraction of the remaining room that the fleet may use before it is reported.
const URGENT_SHARE: f64 = 0.5;

/// Minimum and maximum of the delay in `Retry-After`.
const RETRY_AFTER: (TimeSpan, TimeSpan) =
    (TimeSpan::from_millis(500), TimeSpan::from_millis(4_000));

/// Whether a request is admitted.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaDecision {
    /// The organisation has no limit.
    Unlimited,
    /// The request is admitted; its cost was counted.
    Admitted {
        /// The cost.
        cost: TokenCount,
    },
    /// The request is refused.
    Refused {
        /// The delay after which room for it is expected.
        retry_after: TimeSpan,
        /// What the decision was based on.
        status: QuotaStatus,
    },
}

/// What an instance knows of the usage of an organisation.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct QuotaStatus {
    /// The limit.
    pub limit: RateLimit,
    /// The most that may be used in a window, tolerance included.
    pub allowed: TokenCount,
    /// What was used within the window as far as it is known here.
    pub used: TokenCount,
    /// The part of it that was used at this instance.
    pub used_here: TokenCount,
    /// What arrives per second at all instances, refused requests included.
    pub demand: u64,
    /// The fraction of the instances whose usage is known here; this fraction of the limit
    /// may be used.
    pub coverage: f64,
    /// The age of the newest report of another instance.
    pub report_age: Option<TimeSpan>,
}

/// The limits of all organisations and what is known of their usage.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    bounds: QuotaBounds,
    random: ChaCha8Rng,
    started_at: ClockTime,
    coverage: UsageCoverage,
    organisations: BTreeMap<OrganisationHash, OrganisationUsage>,
    local: BTreeMap<OrganisationHash, ReportedSums>,
    /// The usage in the failure domain of this instance, its own included.
    domain: BTreeMap<OrganisationHash, ReportedSums>,
    instances: ReportTable,
    representatives: ReportTable,
    other_domains: BTreeMap<FailureDomain, DomainUsage>,
    reported_at: Option<ClockTime>,
    /// The number of broadcasts of this instance.
    round: u64,
}

impl RateLimiter {
    /// Creates the limiter of an instance that starts now. It has no limits yet, and no
    /// part of any limit before the size of the fleet is set.
    pub fn new(now: ClockTime, bounds: QuotaBounds) -> RateLimiter {
        RateLimiter {
            bounds,
            random: ChaCha8Rng::seed_from_u64(0),
            started_at: now,
            coverage: UsageCoverage::default(),
            organisations: BTreeMap::new(),
            local: BTreeMap::new(),
            domain: BTreeMap::new(),
            instances: ReportTable::default(),
            representatives: ReportTable::default(),
            other_domains: BTreeMap::new(),
            reported_at: None,
            round: 0,
        }
    }

    /// Sets the seed of the random choices.
    pub fn with_seed(mut self, seed: u64) -> RateLimiter {
        self.random = ChaCha8Rng::seed_from_u64(seed);
        self
    }

    /// Replaces the limits. The usage of organisations that keep a limit stays known.
    pub fn set_limits<Limits>(&mut self, now: ClockTime, limits: Limits)
    where
        Limits: IntoIterator<Item = (OrganisationId, RateLimit)>,
    {
        let mut earlier = std::mem::take(&mut self.organisations);
        for (name, limit) in limits {
            let organisation = OrganisationHash::with_name(&name);
            let usage = match earlier.remove(&organisation) {
                Some(usage) => usage.with_limit(limit),
                None => OrganisationUsage::new(now, limit),
            };
            self.organisations.insert(organisation, usage);
        }
    }

    /// Whether any organisation has a limit.
    pub fn has_limits(&self) -> bool {
        !self.organisations.is_empty()
    }

    /// Sets the size of the fleet, and the interval at which its instances report.
    pub fn set_fleet(&mut self, fleet: FleetSize, report_interval: TimeSpan) {
        self.coverage.set_fleet(fleet, report_interval);
    }

    /// Decides about a request that states `tokens`, and counts it if it is admitted. Priority
    /// 0 is the most urgent.
    pub fn admit(
        &mut self,
        now: ClockTime,
        organisation: &OrganisationId,
        tokens: Option<TokenCount>,
        priority: u8,
    ) -> QuotaDecision {
        let organisation = OrganisationHash::with_name(organisation);
        let age = now.since(self.started_at);
        let Some(usage) = self.organisations.get_mut(&organisation) else {
            return QuotaDecision::Unlimited;
        };
        let cost = usage.limit().cost(tokens);
        let amount = cost.count() as f64;
        usage.note_demand(now, amount);
        let room = usage.room(now, &self.bounds, &self.coverage, age);
        let fraction = (room.usable_rate / room.demand.max(1.0)).clamp(0.0, 1.0);
        // Requests to plain services state no tokens; what they load is not in their cost.
        let probability = match tokens {
            Some(_) => usage.admit_probability(amount, priority, fraction),
            None => fraction,
        };
        if amount <= room.room && self.random.random::<f64>() < probability {
            self.add_local(now, organisation, UsageSums::new().with_admitted(cost));
            return QuotaDecision::Admitted { cost };
        }
        let status = self.status_of(now, &self.organisations[&organisation]);
        self.add_local(now, organisation, UsageSums::new().with_refused(cost));
        QuotaDecision::Refused {
            retry_after: self.retry_after(probability),
            status,
        }
    }

    /// The delay until a refused request is probably admitted, if it is with this probability.
    /// Jitter keeps the callers from retrying all at once.
    fn retry_after(&mut self, probability: f64) -> TimeSpan {
        let min_ms = RETRY_AFTER.0.as_millis() as f64;
        let delay = TimeSpan::from_millis((min_ms / probability.max(0.01)) as u64);
        let delay = delay.min(RETRY_AFTER.1);
        let jitter = self.random.random_range(0..=delay.as_millis() / 2);
        delay + TimeSpan::from_millis(jitter)
    }

    /// Gives back the cost of an admitted request that has not run. To be called at most
    /// once for a request.
    pub fn give_back(&mut self, now: ClockTime, organisation: &OrganisationId, cost: TokenCount) {
        let organisation = OrganisationHash::with_name(organisation);
        if let Some(usage) = self.organisations.get_mut(&organisation) {
            usage.note_demand(now, -(cost.count() as f64));
        }
        self.add_local(now, organisation, UsageSums::new().with_returned(cost));
    }

    fn add_local(&mut self, now: ClockTime, organisation: OrganisationHash, sums: UsageSums) {
        if let Some(usage) = self.organisations.get_mut(&organisation) {
            usage.add_own(now, self.bounds.window, sums);
        }
        let window = self.bounds.window;
        for reported in [&mut self.local, &mut self.domain] {
            let reported = reported.entry(organisation).or_default();
            reported.add(now, window, sums);
        }
    }

    /// The usage at this instance, for the instances that receive its reports directly.
    /// They are expected to be sent now.
    pub fn local_reports(&mut self, now: ClockTime) -> Vec<UsageReport> {
        self.round += 1;
        let repeats = self.repeats();
        due_reports(now, self.bounds.window, &mut self.local, repeats)
    }

    /// The usage in the failure domain of this instance, for the other domains. They are
    /// expected to be sent now.
    pub fn domain_reports(&mut self, now: ClockTime) -> Vec<UsageReport> {
        let repeats = self.repeats();
        due_reports(now, self.bounds.window, &mut self.domain, repeats)
    }

    /// Which organisations are reported again in this round: all of them take turns within
    /// [`REPEAT_INTERVAL`], so that no datagram is much larger than the others.
    fn repeats(&self) -> impl Fn(OrganisationHash) -> bool + use<> {
        let interval_ms = self.coverage.report_interval().as_millis().max(1);
        let rounds = (REPEAT_INTERVAL.as_millis() / interval_ms).max(1);
        let round = self.round % rounds;
        move |organisation| organisation.number() % rounds == round
    }

    /// Whether the usage of `organisation` has to be reported before the next regular
    /// broadcast: if the usage at each instance grew like the usage here, the others would
    /// use up the room that is left before its report arrives. `represents_domain` is whether
    /// this instance reports the usage of its failure domain to the others.
    pub fn is_report_urgent(
        &self,
        now: ClockTime,
        organisation: &OrganisationId,
        represents_domain: bool,
    ) -> bool {
        let organisation = OrganisationHash::with_name(organisation);
        let Some(usage) = self.organisations.get(&organisation) else {
            return false;
        };
        let age = now.since(self.started_at);
        let room = usage.room(now, &self.bounds, &self.coverage, age);
        let unreported = |sums: &BTreeMap<OrganisationHash, ReportedSums>| {
            sums.get(&organisation).map_or(0, ReportedSums::unreported) as f64
        };
        let entries = self.coverage.total().unwrap_or(1) as f64;
        let domains = self.coverage.domain_count() as f64;
        let limit = URGENT_SHARE * room.room;
        unreported(&self.local) * entries > limit
            || (represents_domain && unreported(&self.domain) * domains > limit)
    }

    /// Records the usage that another instance reports of itself.
    pub fn note_instance(
        &mut self,
        now: ClockTime,
        source: &ReportSource,
        is_same_domain: bool,
        reports: &[UsageReport],
    ) {
        self.reported_at = Some(now);
        let is_starting = self.is_starting(now);
        let window = self.bounds.window;
        let coverage = &mut self.coverage;
        coverage.note_instance(now, source, is_starting, window);
        for added in self.instances.note(now, source, reports) {
            if is_same_domain {
                let sums = self.domain.entry(added.organisation).or_default();
                sums.add(now, window, added.usage);
            }
            if let Some(usage) = self.organisations.get_mut(&added.organisation) {
                usage.add_instance(now, window, &source.instance, added);
            }
        }
    }

    /// Records the usage of `entries` instances that a representative reports of its failure
    /// domain.
    pub fn note_domain(
        &mut self,
        now: ClockTime,
        source: &ReportSource,
        entries: usize,
        reports: &[UsageReport],
    ) {
        self.reported_at = Some(now);
        let is_starting = self.is_starting(now);
        self.coverage
            .note_domain(now, &source.domain, entries, is_starting);
        let window = self.bounds.window;
        for added in self.representatives.note(now, source, reports) {
            let domain = self.other_domains.entry(source.domain.clone()).or_default();
            let added = domain.add(now, &source.instance, added);
            if let Some(usage) = self.organisations.get_mut(&added.organisation) {
                usage.add_domain(now, window, &source.domain, added);
            }
        }
    }

    /// Whether this instance has just started and receives its first reports of the others. What
    /// they used before its start is bounded by [`OrganisationUsage::room`].
    fn is_starting(&self, now: ClockTime) -> bool {
        now.since(self.started_at) < FIRST_CONTACT_PERIOD
    }

    /// Forgets usage that no longer matters. To be called every few seconds.
    pub fn sweep(&mut self, now: ClockTime) {
        self.local.retain(|_, sums| !sums.has_expired(now));
        self.domain.retain(|_, sums| !sums.has_expired(now));
        self.instances.sweep(now);
        self.representatives.sweep(now);
        for domain in self.other_domains.values_mut() {
            domain.sweep(now);
        }
        for usage in self.organisations.values_mut() {
            usage.sweep(now, self.bounds.window);
        }
    }

    /// The number of instances whose usage [`Self::domain_reports`] contains.
    pub fn represented_entries(&self, now: ClockTime) -> usize {
        self.coverage.direct_entries(now)
    }

    /// What is known of the usage of an organisation; `None` if it has no limit.
    pub fn status(&self, now: ClockTime, organisation: &OrganisationId) -> Option<QuotaStatus> {
        let organisation = OrganisationHash::with_name(organisation);
        let usage = self.organisations.get(&organisation)?;
        Some(self.status_of(now, usage))
    }

    fn status_of(&self, now: ClockTime, usage: &OrganisationUsage) -> QuotaStatus {
        let (used_here, used) = usage.known(now, self.bounds.window);
        QuotaStatus {
            limit: *usage.limit(),
            allowed: TokenCount::new(self.bounds.allowed(usage.limit()) as u64),
            used: TokenCount::new(used as u64),
            used_here: TokenCount::new(used_here as u64),
            demand: usage.demand(now).round() as u64,
            coverage: self.coverage.fraction(now),
            report_age: self.reported_at.map(|at| now.since(at)),
        }
    }
}

fn due_reports<Repeats>(
    now: ClockTime,
    window: TimeSpan,
    sums: &mut BTreeMap<OrganisationHash, ReportedSums>,
    repeats: Repeats,
) -> Vec<UsageReport>
where
    Repeats: Fn(OrganisationHash) -> bool,
{
    let reports = sums.iter_mut().filter_map(|(organisation, sums)| {
        sums.note_broadcast();
        sums.report(now, window, *organisation, repeats(*organisation))
    });
    reports.collect()
}
