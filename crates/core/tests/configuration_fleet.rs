//! Configurations that reach the instances of a fleet, in virtual time: datagrams are lost, late
//! and repeated, readers are suspended, starved and killed, and the store turns instances away.

use std::collections::VecDeque;

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::InstanceId,
    ingress::{
        CallerLimits, ConfigurationTracker, ConfigurationValidity, IngressConfiguration,
        StoreReads, ValidityLimits,
    },
    relay::{
        DIRECT_READERS, KnownState, MAX_CONFIGURATION_READ_DELAY, MAX_FAILED_COPIES,
        MAX_READER_AGE, StateSource, copy_timeout, parent_rank, read_wait, relay_age_limit,
        state_source,
    },
    units::ByteSize,
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

const STEP_MS: u64 = 50;
/// How long an instance has to be undisturbed to count as in touch.
const STABLE_MS: u64 = 3_000;
/// The interval of relayed messages, and the longest delay of one.
const RELAY_MS: u64 = 250;
const MAX_DELAY_MS: u64 = 120;
const LOST_DATAGRAMS: f64 = 0.05;
const REPEATED_DATAGRAMS: f64 = 0.05;
/// How long an instance that is gone still counts as alive.
const ALIVE_MS: u64 = 3_000;
/// How long a read of the store may take, without the wait for a record.
const READ_TIMEOUT_MS: u64 = 900;
/// How long an instance without a current state keeps a copier waiting.
const UNAVAILABLE_MS: u64 = 250;
/// How often an instance looks from where to take the state.
const CHECK_MS: u64 = 200;
/// The pause after a failed read.
const BACKOFF_MS: u64 = 100;
/// After what time callers who were refused come back. An instance that is in touch serves
/// them then.
const RETRY_AFTER_MS: u64 = 600;

/// After what time without the store all instances of a failure domain know that: the bound, a
/// read and its time limit.
const CUT_OFF_AFTER_MS: u64 = 2_000 + 2 * READ_TIMEOUT_MS;

/// What an instance does to learn of the configuration.
#[derive(Clone, Copy, Debug)]
enum Activity {
    Idle {
        until: u64,
    },
    Read {
        sent: u64,
        until: u64,
        outcome: ReadOutcome,
    },
    Copy {
        until: u64,
        source: Option<usize>,
        has_timed_out: bool,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadOutcome {
    Answered,
    Failed,
}

#[derive(Clone, Copy, Debug)]
struct Datagram {
    arrives: u64,
    version: u64,
    age_ms: u64,
    known_at: u64,
    from: usize,
}

struct Instance {
    domain: usize,
    tracker: ConfigurationTracker,
    reads: StoreReads,
    activity: Activity,
    inbox: VecDeque<Datagram>,
    advertised: u64,
    failed_copies: u32,
    is_reader_behind: bool,
    started: u64,
    /// Since and until when the process does not run.
    stopped_at: u64,
    suspended_until: u64,
    /// Until when it takes up to this much longer for everything.
    starved_until: u64,
    /// Until when it receives no datagrams.
    deaf_until: u64,
    /// Until when the store turns it away.
    turned_away_until: u64,
    undisturbed_since: u64,
    /// Since when it may decide nothing while it is in touch.
    undecided_since: Option<u64>,
}

impl Instance {
    fn new(domain: usize, now: u64) -> Instance {
        Instance {
            domain,
            tracker: ConfigurationTracker::new(),
            reads: StoreReads::new(),
            activity: Activity::Idle { until: now },
            inbox: VecDeque::new(),
            advertised: 0,
            failed_copies: 0,
            is_reader_behind: false,
            started: now,
            stopped_at: 0,
            suspended_until: 0,
            starved_until: 0,
            deaf_until: 0,
            turned_away_until: 0,
            undisturbed_since: now,
            undecided_since: None,
        }
    }

    fn runs(&self, now: u64) -> bool {
        now >= self.suspended_until
    }

    fn age(&self, now: u64) -> Option<TimeSpan> {
        self.tracker.age(at(now))
    }
}

fn at(ms: u64) -> ClockTime {
    ClockTime::from_millis(ms)
}

fn span(ms: u64) -> TimeSpan {
    TimeSpan::from_millis(ms)
}

fn configuration(version: u64) -> IngressConfiguration {
    IngressConfiguration {
        version,
        routes: Vec::new(),
        services: Default::default(),
        limits: CallerLimits {
            head: ByteSize::new(16_384),
            body: ByteSize::new(1_000_000),
            head_timeout: span(3_000),
            idle_timeout: span(15_000),
        },
        organisations: None,
    }
}

struct World {
    random: ChaCha8Rng,
    now: u64,
    bound: u64,
    instances: Vec<Instance>,
    domains: usize,
    /// The acknowledged versions, with their times.
    versions: Vec<(u64, u64)>,
    /// Until when the store answers nobody.
    away_until: u64,
    /// The longest span in which an instance in touch could decide nothing.
    longest_undecided: u64,
    decisions: u64,
    violations: Vec<String>,
}

impl World {
    fn new(seed: u64, instances: usize, domains: usize, bound: u64) -> World {
        let mut world = World {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 10_000,
            bound,
            instances: (0..instances)
                .map(|number| Instance::new(number % domains, 10_000))
                .collect(),
            domains,
            versions: vec![(1, 0)],
            away_until: 0,
            longest_undecided: 0,
            decisions: 0,
            violations: Vec::new(),
        };
        for number in 0..instances {
            world.instances[number].tracker.offer(configuration(1));
            world.instances[number].tracker.confirm(at(world.now));
        }
        world
    }

    fn stored_version(&self) -> u64 {
        self.versions.last().unwrap().0
    }

    /// The newest version that has to be in force everywhere.
    fn due_version(&self) -> u64 {
        let due = self.versions.iter().rev();
        let mut due = due.filter(|(_, acknowledged)| acknowledged + self.bound < self.now);
        due.next().map_or(0, |(version, _)| *version)
    }

    fn publish(&mut self) {
        let next = self.stored_version() + self.random.random_range(1..4);
        self.versions.push((next, self.now));
    }

    /// Whether `number` counts as alive at the others.
    fn seems_alive(&self, number: usize) -> bool {
        let instance = &self.instances[number];
        instance.runs(self.now) || self.now - instance.stopped_at < ALIVE_MS
    }

    /// The numbers of the instances of a failure domain that seem alive, by rank.
    fn members(&self, domain: usize) -> Vec<usize> {
        let numbers = (domain..self.instances.len()).step_by(self.domains);
        numbers.filter(|number| self.seems_alive(*number)).collect()
    }

    fn known_state(&self, number: usize) -> KnownState {
        let instance = &self.instances[number];
        let age = instance.age(self.now);
        let is_behind = instance.tracker.version() < Some(instance.advertised);
        KnownState {
            age: age.unwrap_or(span(self.now.saturating_sub(instance.started))),
            age_limit: relay_age_limit(span(self.bound)),
            max_read_delay: MAX_CONFIGURATION_READ_DELAY,
            is_incomplete: age.is_none() || is_behind,
            superseded_for: instance.tracker.superseded_for(at(self.now)),
            is_reader_behind: instance.is_reader_behind,
            failed_copies: instance.failed_copies,
        }
    }

    fn source(&self, number: usize, rank: usize) -> StateSource {
        match rank {
            0 => StateSource::Store,
            rank => state_source(rank, self.known_state(number)),
        }
    }

    /// Sends what the instances that read the store relay.
    fn relay(&mut self) {
        for domain in 0..self.domains {
            let members = self.members(domain);
            for (rank, number) in members.iter().enumerate() {
                let is_relaying = self.source(*number, rank) == StateSource::Store;
                let sender = &self.instances[*number];
                let Some(age) = sender.age(self.now) else {
                    continue;
                };
                if !is_relaying || !sender.runs(self.now) {
                    continue;
                }
                let version = sender.tracker.version().unwrap();
                for receiver in members.iter().filter(|receiver| *receiver != number) {
                    self.send(*number, *receiver, version, age.as_millis());
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, version: u64, age_ms: u64) {
        if self.random.random_bool(LOST_DATAGRAMS) || self.now < self.instances[to].deaf_until {
            return;
        }
        // The stamp that the sender echoes was sent at the last message of the receiver.
        let echoed = self.now - self.random.random_range(0..RELAY_MS + MAX_DELAY_MS);
        let copies = 1 + usize::from(self.random.random_bool(REPEATED_DATAGRAMS));
        for _ in 0..copies {
            let arrives = self.now + self.random.random_range(1..MAX_DELAY_MS);
            let known_at = echoed.saturating_sub(age_ms);
            self.instances[to].inbox.push_back(Datagram {
                arrives,
                version,
                age_ms,
                known_at,
                from,
            });
        }
    }

    fn receive(&mut self, number: usize) {
        let now = self.now;
        let limit = relay_age_limit(span(self.bound));
        let instance = &mut self.instances[number];
        let (arrived, waiting): (Vec<Datagram>, Vec<Datagram>) = instance
            .inbox
            .drain(..)
            .partition(|datagram| datagram.arrives <= now);
        instance.inbox.extend(waiting);
        for datagram in arrived {
            instance.is_reader_behind = span(datagram.age_ms) >= MAX_READER_AGE;
            let source = InstanceId::new(format!("entry-{}", datagram.from)).unwrap();
            let tracker = &mut instance.tracker;
            tracker.note_advertised(at(now), datagram.version, &source);
            if span(datagram.age_ms) >= limit {
                continue;
            }
            instance.advertised = instance.advertised.max(datagram.version);
            if tracker.version() == Some(datagram.version) {
                tracker.confirm(at(datagram.known_at));
            }
        }
    }

    fn act(&mut self, number: usize, rank: usize) {
        match self.instances[number].activity {
            Activity::Idle { until }
            | Activity::Read { until, .. }
            | Activity::Copy { until, .. }
                if self.now < until => {}
            Activity::Idle { .. } => self.begin(number, rank),
            Activity::Read { sent, outcome, .. } => {
                self.end_read(number, sent, outcome);
            }
            Activity::Copy {
                source,
                has_timed_out,
                ..
            } => self.end_copy(number, source, has_timed_out),
        }
    }

    fn begin(&mut self, number: usize, rank: usize) {
        let activity = match self.source(number, rank) {
            StateSource::Relay => Activity::Idle {
                until: self.now + CHECK_MS,
            },
            StateSource::Copy => self.begin_copy(number, rank),
            StateSource::Store => self.begin_read(number),
        };
        self.instances[number].activity = activity;
    }

    fn starvation(&mut self, number: usize) -> u64 {
        match self.now < self.instances[number].starved_until {
            true => self.random.random_range(0..1_500),
            false => 0,
        }
    }

    fn begin_read(&mut self, number: usize) -> Activity {
        let late = self.starvation(number);
        let state = self.known_state(number);
        let wait = read_wait(state.age, state.age_limit).as_millis();
        let instance = &mut self.instances[number];
        let is_refused = self.now < instance.turned_away_until;
        let is_silent = self.now < self.away_until;
        let timeout_ms = wait + READ_TIMEOUT_MS;
        instance.reads.note_sent(at(self.now), span(timeout_ms));
        let has_newer = instance.tracker.version() < Some(self.versions.last().unwrap().0);
        let (outcome, takes) = match (is_refused, is_silent) {
            (true, _) => (ReadOutcome::Failed, 5),
            (_, true) => (ReadOutcome::Failed, timeout_ms),
            (false, false) if has_newer => (ReadOutcome::Answered, 10),
            (false, false) => (ReadOutcome::Answered, wait + 10),
        };
        Activity::Read {
            sent: self.now,
            until: self.now + takes + late,
            outcome,
        }
    }

    fn end_read(&mut self, number: usize, sent: u64, outcome: ReadOutcome) {
        let now = self.now;
        // What the store held when the read arrived there.
        let held = self.versions.iter().rev().find(|(_, at)| *at <= sent);
        let version = held.unwrap().0;
        let instance = &mut self.instances[number];
        match outcome {
            ReadOutcome::Answered => {
                instance.reads.note_answer();
                instance.tracker.offer(configuration(version));
                instance.tracker.confirm(at(sent));
                instance.failed_copies = 0;
                instance.activity = Activity::Idle { until: now };
            }
            ReadOutcome::Failed => {
                instance.reads.note_failure(at(now));
                instance.activity = Activity::Idle {
                    until: now + BACKOFF_MS,
                };
            }
        }
    }

    fn begin_copy(&mut self, number: usize, rank: usize) -> Activity {
        let members = self.members(self.instances[number].domain);
        let source = parent_rank(rank).and_then(|parent| members.get(parent).copied());
        let late = self.starvation(number);
        let state = self.known_state(number);
        let limit = copy_timeout(rank, state).as_millis();
        let source = source.filter(|source| *source != number);
        let wanted = self.instances[number].advertised;
        let available = source.filter(|source| {
            let source = &self.instances[*source];
            let is_current = source
                .age(self.now)
                .is_some_and(|age| age < state.age_limit);
            source.runs(self.now) && is_current && source.tracker.version() >= Some(wanted)
        });
        let takes = match source {
            Some(source) if !self.instances[source].runs(self.now) => limit,
            _ if available.is_none() => UNAVAILABLE_MS.min(limit),
            _ => 30.min(limit),
        };
        Activity::Copy {
            until: self.now + takes + late,
            source: available,
            has_timed_out: takes == limit,
        }
    }

    fn end_copy(&mut self, number: usize, source: Option<usize>, has_timed_out: bool) {
        let now = self.now;
        let copied = source.and_then(|source| {
            let source = &self.instances[source];
            Some((source.tracker.version()?, source.age(now)?))
        });
        let instance = &mut self.instances[number];
        match copied {
            Some((version, age)) => {
                instance.tracker.offer(configuration(version));
                if instance.tracker.version() == Some(version) {
                    instance.tracker.confirm(at(now) - age);
                }
                instance.failed_copies = 0;
                instance.activity = Activity::Idle { until: now };
            }
            None => {
                instance.failed_copies = match has_timed_out {
                    true => MAX_FAILED_COPIES,
                    false => instance.failed_copies + 1,
                };
                instance.activity = Activity::Idle {
                    until: now + CHECK_MS,
                };
            }
        }
    }

    fn limits(&self) -> ValidityLimits {
        ValidityLimits::with_bound(span(self.bound))
    }

    /// What an instance decides now, held against what has to be in force.
    fn decide(&mut self, number: usize) {
        let (due, limits, now) = (self.due_version(), self.limits(), self.now);
        let instance = &self.instances[number];
        let validity = instance.tracker.validity(at(now), limits, instance.reads);
        let version = instance.tracker.version().unwrap_or(0);
        let is_cut_off = now < self.away_until.max(instance.turned_away_until) + STABLE_MS;
        let is_old = version < due;
        let is_wrong = match validity {
            ConfigurationValidity::Current => is_old,
            // Known routes only, at an instance that can't know better.
            ConfigurationValidity::CutOff => is_old && !is_cut_off,
            _ => false,
        };
        self.decisions += 1;
        if is_wrong {
            self.violations.push(format!(
                "at {now}: {number} decides by {version} instead of {due} as {validity:?}"
            ));
        }
        let is_in_touch = now >= instance.undisturbed_since + STABLE_MS && !is_cut_off;
        let instance = &mut self.instances[number];
        instance.undecided_since = match (is_in_touch, validity.serves_known_routes()) {
            (true, false) => instance.undecided_since.or(Some(now)),
            _ => None,
        };
        if let Some(since) = instance.undecided_since {
            self.longest_undecided = self.longest_undecided.max(now - since);
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        if self.now.is_multiple_of(RELAY_MS) {
            self.relay();
        }
        for domain in 0..self.domains {
            let members = self.members(domain);
            for (rank, number) in members.into_iter().enumerate() {
                if !self.instances[number].runs(self.now) {
                    continue;
                }
                // A request may be decided before what waited is read.
                self.decide(number);
                self.receive(number);
                self.act(number, rank);
                self.decide(number);
            }
        }
    }

    fn draw_fault(&mut self) {
        let count = *[1, 1, 2, 8].choose(&mut self.random).unwrap();
        let kind = self.random.random_range(0..6);
        let lasts = self.random.random_range(300..5_000);
        let (now, end) = (self.now, self.now + lasts);
        if kind == 5 {
            self.away_until = self.away_until.max(end);
            return;
        }
        for _ in 0..count {
            let number = self.draw_instance();
            let domain = self.instances[number].domain;
            let instance = &mut self.instances[number];
            match kind {
                0 => {
                    instance.stopped_at = now;
                    instance.suspended_until = end;
                }
                1 => instance.starved_until = end,
                2 => instance.deaf_until = end,
                3 => instance.turned_away_until = end,
                _ => {
                    *instance = Instance::new(domain, end);
                    instance.stopped_at = now;
                    instance.suspended_until = end;
                }
            }
            let instance = &mut self.instances[number];
            instance.undisturbed_since = instance.undisturbed_since.max(end);
        }
    }

    /// The first instances of a failure domain, from which the others learn, as often as all
    /// others.
    fn draw_instance(&mut self) -> usize {
        let first = self
            .instances
            .len()
            .min(self.domains * (DIRECT_READERS + 2));
        match self.random.random_bool(0.5) {
            true => self.random.random_range(0..first),
            false => self.random.random_range(0..self.instances.len()),
        }
    }

    /// Plays neither faults nor new versions.
    fn play_quietly(&mut self, span_ms: u64) {
        let end = self.now + span_ms;
        while self.now < end {
            self.step();
        }
    }

    /// Whether an instance serves known routes.
    fn serves(&self, number: usize) -> bool {
        let instance = &self.instances[number];
        let validity = instance
            .tracker
            .validity(at(self.now), self.limits(), instance.reads);
        validity.serves_known_routes()
    }

    /// Plays faults and new versions.
    fn play(&mut self, span_ms: u64) {
        let end = self.now + span_ms;
        let mut next_version = self.now + 500;
        let mut next_fault = self.now + 1_000;
        while self.now < end {
            if self.now >= next_version {
                self.publish();
                next_version = self.now + self.random.random_range(50..2_500);
            }
            if self.now >= next_fault {
                self.draw_fault();
                next_fault = self.now + self.random.random_range(200..2_500);
            }
            self.step();
        }
    }
}

/// The fleets that are played: instances, failure domains and the divisor of the seeds.
const FLEETS: [(usize, usize, u64); 5] =
    [(1, 1, 5), (9, 3, 1), (30, 3, 2), (90, 3, 3), (985, 5, 20)];

/// The number of seeds; `BLUEBELL_SEEDS=N` plays more.
fn seeds() -> u64 {
    std::env::var("BLUEBELL_SEEDS").map_or(20, |n| n.parse().unwrap())
}

/// Plays each fleet with its seeds.
fn for_each_play<Check>(check: Check)
where
    Check: Fn(&str, &World),
{
    for (instances, domains, divisor) in FLEETS {
        for seed in 0..seeds().div_ceil(divisor) {
            let bound = if seed % 2 == 0 { 2_000 } else { 3_000 };
            let mut world = World::new(seed, instances, domains, bound);
            world.play(30_000);
            check(&format!("{instances} instances, seed {seed}"), &world);
        }
    }
}

/// Guards against requests that are denied or run as only an older configuration allows, whatever
/// made an instance's knowledge old.
#[test]
fn no_request_is_decided_by_a_configuration_that_had_to_be_replaced() {
    for_each_play(|name, world| {
        let (count, decisions) = (world.violations.len(), world.decisions);
        let first = world.violations.first();
        assert!(first.is_none(), "{name}: {count} of {decisions}, {first:?}");
    });
}

/// Guards against an instance that refuses callers again when they come back, as its way to a
/// confirmation leads over instances that are gone, suspended or behind.
#[test]
fn an_undisturbed_instance_is_confirmed_before_refused_callers_come_back() {
    for_each_play(|name, world| {
        let longest = world.longest_undecided;
        assert!(longest <= RETRY_AFTER_MS, "{name}: {longest} ms");
    });
}

/// Guards against a failure domain without service while it is cut off, and against denials there.
#[test]
fn a_failure_domain_that_is_cut_off_goes_on_serving() {
    for (instances, domains) in [(1, 1), (9, 3), (90, 3), (295, 5)] {
        let mut world = World::new(1, instances, domains, 2_000);
        world.play_quietly(5_000);
        let end = world.now + 20_000;
        for instance in world.instances.iter_mut().step_by(domains) {
            instance.turned_away_until = end;
        }
        world.play_quietly(CUT_OFF_AFTER_MS);
        while world.now < end {
            world.play_quietly(STEP_MS);
            for number in (0..instances).step_by(domains) {
                assert!(world.serves(number), "{instances}: {number}");
            }
        }
        assert_eq!(world.violations.len(), 0);
    }
}
