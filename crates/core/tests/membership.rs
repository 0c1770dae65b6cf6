//! Planned connections, gossip in heartbeats, suspicion of members, and log freshness.
//!
//! Schedules are random, from fixed seeds; `BLUEBELL_SEEDS=N` runs N seeds instead.

use std::collections::{BTreeMap, BTreeSet};

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{EndpointId, FailureDomain, InstanceId, LogOffset, OrganisationId},
    membership::{
        EndpointLoad, FIRST_HEARTBEAT_TIMEOUT, GossipTable, HEARTBEAT_TIMEOUT, InstanceListing,
        InstanceProgram, InstanceState, LinkPlan, LocalStatus, LogEndConfirmation, LogFreshness,
        MemberPresence, MemberTable, OrganisationShare, PlanMember,
    },
    units::{TokenCount, WorkCost},
};
use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;

fn seeds() -> u64 {
    let seeds = std::env::var("BLUEBELL_SEEDS").ok();
    seeds.and_then(|text| text.parse().ok()).unwrap_or(40)
}

fn instance(name: &str) -> InstanceId {
    InstanceId::new(name).expect("valid")
}

fn presence(domain: &str) -> MemberPresence {
    MemberPresence {
        failure_domain: FailureDomain::new(domain).expect("valid"),
        program: InstanceProgram::Entry,
        state: InstanceState::Live,
        http_address: "10.0.0.1:8000".to_string(),
        peer_address: "10.0.0.1:8001".to_string(),
    }
}

fn members(domains: usize, each: usize) -> Vec<PlanMember> {
    let member = |n: usize| PlanMember {
        failure_domain: FailureDomain::new(format!("domain-{}", n % domains)).expect("valid"),
        instance: instance(&format!("instance-{n}")),
    };
    (0..domains * each).map(member).collect()
}

fn plans(members: &[PlanMember]) -> BTreeMap<InstanceId, LinkPlan> {
    let plan = |own: &PlanMember| (own.instance.clone(), LinkPlan::new(own, members));
    members.iter().map(plan).collect()
}

fn reached(plans: &BTreeMap<InstanceId, LinkPlan>) -> usize {
    let mut seen: BTreeSet<InstanceId> = plans.keys().take(1).cloned().collect();
    let mut open: Vec<InstanceId> = seen.iter().cloned().collect();
    while let Some(instance) = open.pop() {
        for neighbour in &plans[&instance].neighbours {
            if seen.insert(neighbour.clone()) {
                open.push(neighbour.clone());
            }
        }
    }
    seen.len()
}

/// If instances with the same members planned different connections, some could be left
/// without any, and a withdrawal would not reach them.
#[test]
fn planned_connections_are_mutual_and_reach_all_instances() {
    for (domains, each) in [
        (1, 1),
        (1, 3),
        (3, 3),
        (3, 6),
        (3, 16),
        (3, 17),
        (3, 117),
        (39, 9),
    ] {
        let members = members(domains, each);
        let plans = plans(&members);
        for (own, plan) in &plans {
            assert!(!plan.neighbours.contains(own));
            for neighbour in &plan.neighbours {
                let mutual = plans[neighbour].neighbours.contains(own);
                assert!(mutual, "{own} and {neighbour} of {domains} x {each}");
            }
        }
        assert_eq!(reached(&plans), members.len(), "{domains} x {each}");
    }
}

/// If all of 350 instances read the log, or each of them connected to all others, they
/// would overload the platform's log and their own machines.
#[test]
fn a_large_fleet_keeps_few_connections_and_few_readers() {
    let plans = plans(&members(3, 117));
    let readers = plans.values().filter(|plan| plan.is_reader).count();
    assert_eq!(readers, 3 * 15);
    let most = plans.values().map(|plan| plan.neighbours.len()).max();
    assert!(most.is_some_and(|most| most <= 40), "{most:?} connections");
    for plan in plans.values().filter(|plan| !plan.is_reader) {
        assert_eq!(plan.readers.len(), 2);
        assert!(plan.neighbours.len() <= 6);
    }
}

/// A reader is lost: all instances must choose the same next one without coordination.
#[test]
fn every_follower_has_a_reader_after_one_is_lost() {
    let mut members = members(1, 40);
    let lost = plans(&members)
        .into_iter()
        .find(|(_, plan)| plan.is_reader)
        .expect("a member reads");
    members.retain(|member| member.instance != lost.0);
    let plans = plans(&members);
    for plan in plans.values().filter(|plan| !plan.is_reader) {
        assert!(plan.readers.iter().all(|reader| plans[reader].is_reader));
        assert_eq!(plan.readers.len(), 2);
    }
}

fn status(requests: u64, cost: u64) -> LocalStatus {
    let load = |n: u64| EndpointLoad {
        endpoint: EndpointId::new(format!("engine-{n}")).expect("valid"),
        requests,
        tokens: TokenCount::new(requests * 100),
    };
    let share = |n: u64| OrganisationShare {
        organisation: OrganisationId::new(format!("organisation-{n}")).expect("valid"),
        cost: WorkCost::new(cost + n),
    };
    LocalStatus {
        state: InstanceState::Live,
        loads: (0..12).map(load).collect(),
        shares: (0..8).map(share).collect(),
    }
}

/// Heartbeats that grow with the fleet would exceed the few kilobytes per second that are
/// allowed for control traffic. If they left items out permanently, entries would count
/// load that has ended.
#[test]
fn heartbeats_are_bounded_and_all_items_are_sent_in_turn() {
    let (a, b) = (instance("a"), instance("b"));
    let mut sender = GossipTable::new(a.clone(), 1);
    let mut receiver = GossipTable::new(b.clone(), 1);
    sender.set_local(presence("x"), LogOffset::new(7), &status(3, 50));
    let mut heartbeats = 0;
    loop {
        let items = sender.heartbeat_items(&b, 200);
        assert!(items.len() <= 8, "{} items", items.len());
        if items.is_empty() {
            break;
        }
        heartbeats += 1;
        for item in &items {
            receiver.merge(&a, item);
        }
    }
    assert!(heartbeats > 1);
    assert_eq!(receiver.status(&a).loads.len(), 12);
    assert_eq!(receiver.status(&a).shares.len(), 8);
    sender.set_local(presence("x"), LogOffset::new(7), &LocalStatus::default());
    for _ in 0..heartbeats {
        for item in sender.heartbeat_items(&b, 200) {
            receiver.merge(&a, &item);
        }
    }
    assert_eq!(receiver.status(&a).loads, Vec::new());
}

/// An instance is replaced under the same name. The items of its former process are void,
/// also where they arrive later over a slow path.
#[test]
fn items_of_an_earlier_process_do_not_replace_those_of_a_later_one() {
    let (a, b) = (instance("a"), instance("b"));
    let mut former = GossipTable::new(a.clone(), 1);
    let mut latter = GossipTable::new(a.clone(), 2);
    let mut receiver = GossipTable::new(b.clone(), 1);
    former.set_local(presence("x"), LogOffset::new(9), &status(3, 50));
    latter.set_local(presence("x"), LogOffset::new(2), &LocalStatus::default());
    let late = former.heartbeat_items(&b, 4_000);
    for item in latter.heartbeat_items(&b, 4_000).iter().chain(&late) {
        receiver.merge(&instance("c"), item);
    }
    assert_eq!(receiver.progress(&a), Some(LogOffset::new(2)));
    assert_eq!(receiver.status(&a).loads, Vec::new());
}

/// Updates arrive over several connections, reordered and duplicated. All instances must
/// end with the same, newest state.
#[test]
fn updates_reach_all_instances_in_any_order() {
    for seed in 0..seeds() {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let names: Vec<InstanceId> = ["a", "b", "c", "d"].map(instance).to_vec();
        let mut tables: Vec<GossipTable> = names
            .iter()
            .map(|name| GossipTable::new(name.clone(), 1))
            .collect();
        let paths = [(0, 1), (1, 3), (0, 2), (2, 3)];
        let mut late = Vec::new();
        for round in 0..60u64 {
            if round < 10 {
                let next = LogOffset::new(round);
                tables[0].set_local(presence("x"), next, &status(round, round));
            }
            let (from, to) = paths[random.random_range(0..paths.len())];
            let (from, to) = match random.random_bool(0.5) {
                true => (from, to),
                false => (to, from),
            };
            let mut items = tables[from].heartbeat_items(&names[to], 1_000);
            items.shuffle(&mut random);
            late.push((from, to, items));
            if late.len() > 3 {
                let (from, to, items) = late.swap_remove(random.random_range(0..late.len()));
                for item in items {
                    tables[to].merge(&names[from], &item);
                }
            }
        }
        for (from, to, items) in late.into_iter().rev() {
            for item in items {
                tables[to].merge(&names[from], &item);
            }
        }
        for _ in 0..10 {
            for (from, to) in paths {
                for item in tables[from].heartbeat_items(&names[to], 1_000) {
                    tables[to].merge(&names[from], &item);
                }
            }
        }
        for table in &tables[1..] {
            assert_eq!(table.progress(&names[0]), Some(LogOffset::new(9)));
            assert_eq!(table.status(&names[0]).loads[0].requests, 9, "seed {seed}");
        }
    }
}

/// Bytes of items in each heartbeat of [`TightFleet`].
const TIGHT_BUDGET: usize = 80;

/// Rounds of heartbeats after which every instance must have the presence of all others.
const PRESENCE_ROUNDS: u64 = 80;

/// Rounds of heartbeats after which no instance may still have progress or load from
/// before [`PRESENCE_ROUNDS`].
const WORK_ROUNDS: u64 = 400;

/// 60 instances in three failure domains. Their loads and shares change in each round by
/// more than their heartbeats can carry.
struct TightFleet {
    members: Vec<PlanMember>,
    plans: BTreeMap<InstanceId, LinkPlan>,
    tables: BTreeMap<InstanceId, GossipTable>,
    random: ChaCha8Rng,
}

impl TightFleet {
    fn new(seed: u64) -> TightFleet {
        let members = members(3, 20);
        let table = |own: &PlanMember| {
            let table = GossipTable::new(own.instance.clone(), 1);
            (own.instance.clone(), table)
        };
        TightFleet {
            plans: plans(&members),
            tables: members.iter().map(table).collect(),
            members,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn run(&mut self, round: u64) {
        for member in &self.members {
            let table = self.tables.get_mut(&member.instance).expect("known");
            let presence = presence(member.failure_domain.as_str());
            table.set_local(presence, LogOffset::new(round), &status(round, round));
        }
        let mut links: Vec<(InstanceId, InstanceId)> = Vec::new();
        for (own, plan) in &self.plans {
            links.extend(plan.neighbours.iter().map(|to| (own.clone(), to.clone())));
        }
        links.shuffle(&mut self.random);
        for (from, to) in links {
            let sender = self.tables.get_mut(&from).expect("known");
            let items = sender.heartbeat_items(&to, TIGHT_BUDGET);
            let receiver = self.tables.get_mut(&to).expect("known");
            for item in items {
                receiver.merge(&from, &item);
            }
        }
    }

    /// The number of pairs of instances for which the table of the first one satisfies
    /// `check` about the second one.
    fn pairs<Check>(&self, check: Check) -> usize
    where
        Check: Fn(&GossipTable, &InstanceId) -> bool,
    {
        let tables = self.tables.values();
        let known = |table| self.tables.keys().filter(|of| check(table, of)).count();
        tables.map(known).sum()
    }
}

/// All instances start at the same time and are busy. If loads and shares shared one queue
/// with the rest, the status of any instance would lack most of the fleet for long. If
/// they were never sent, entries would use outdated loads.
#[test]
fn busy_instances_receive_all_presences_soon_and_still_receive_loads() {
    let mut fleet = TightFleet::new(7);
    let all = fleet.members.len() * fleet.members.len();
    for round in 1..=PRESENCE_ROUNDS {
        fleet.run(round);
    }
    let present = fleet.pairs(|table, of| table.presence(of).is_some());
    assert_eq!(present, all, "pairs with the presence of the other");
    for round in PRESENCE_ROUNDS + 1..=WORK_ROUNDS {
        fleet.run(round);
    }
    let applied = LogOffset::new(PRESENCE_ROUNDS);
    let progress = fleet.pairs(|table, of| table.progress(of) >= Some(applied));
    assert_eq!(progress, all, "pairs with later progress");
    for (own, plan) in &fleet.plans {
        for of in &plan.neighbours {
            let loads = fleet.tables[own].status(of).loads;
            let newest = loads.iter().map(|load| load.requests).max();
            assert!(newest > Some(PRESENCE_ROUNDS), "{own} of {of}: {newest:?}");
        }
    }
}

fn listing(name: &str) -> InstanceListing {
    presence("x").listing(&instance(name))
}

/// A peer is killed. The platform's list still shows it for many seconds, while its
/// missing heartbeats on a direct connection reveal the failure sooner.
#[test]
fn a_direct_peer_without_heartbeats_is_suspected_although_it_is_listed() {
    let peer = instance("peer");
    let mut table = MemberTable::new(instance("own"), 1);
    let start = ClockTime::from_millis(10_000);
    table.update_listings(start, &[listing("peer")]);
    assert!(!table.is_suspected(start, &peer));
    table.receive(start, &peer, &[]);
    let later = start + HEARTBEAT_TIMEOUT + TimeSpan::from_millis(1);
    table.update_listings(later, &[listing("peer")]);
    assert!(table.is_suspected(later, &peer));
    table.receive(later, &peer, &[]);
    assert!(!table.is_suspected(later, &peer));
}

/// An instance fails just after it appeared on the list, before all planned connections
/// to it are established. An instance that never reached it receives no heartbeat that
/// could then be missing. By the list and the updates of others alone it would count as
/// a reader of the log for a minute, and the failure domain would lack one reader.
#[test]
fn a_planned_peer_that_is_never_reached_is_suspected_although_it_is_listed() {
    let start = ClockTime::from_millis(5_000);
    let mut table = MemberTable::new(instance("own"), 1);
    let lost = instance("lost");
    table.update_listings(start, &[listing("lost")]);
    table.set_expected_links(start, std::slice::from_ref(&lost));
    let in_time = start + FIRST_HEARTBEAT_TIMEOUT;
    table.update_listings(in_time, &[listing("lost")]);
    table.set_expected_links(in_time, std::slice::from_ref(&lost));
    assert!(!table.is_suspected(in_time, &lost));
    let late = in_time + TimeSpan::from_millis(1);
    table.update_listings(late, &[listing("lost")]);
    table.set_expected_links(late, std::slice::from_ref(&lost));
    assert!(table.is_suspected(late, &lost));
    table.set_expected_links(late, &[]);
    assert!(
        !table.is_suspected(late, &lost),
        "no connection to it is planned"
    );
    table.set_expected_links(late, std::slice::from_ref(&lost));
    table.receive(late, &lost, &[]);
    assert!(!table.is_suspected(late + HEARTBEAT_TIMEOUT, &lost));
}

/// A process whose reported freshness is younger than a record must have applied the
/// record. Otherwise a partitioned failure domain would keep admitting a withdrawn key
/// while its state counts as fresh.
#[test]
fn the_reported_age_of_the_log_is_never_too_low() {
    for seed in 0..seeds() {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = FreshnessFleet::new();
        for _ in 0..400 {
            fleet.step(&mut random);
        }
        assert!(fleet.checks > 50, "seed {seed}: {} checks", fleet.checks);
    }
}

/// A reader A, a follower B, and messages with random delays. All times are simulated;
/// each process's clock has a different origin.
struct FreshnessFleet {
    time: u64,
    appended_at: Vec<u64>,
    a: LogFreshness,
    a_next: u64,
    b: LogFreshness,
    b_next: u64,
    reads: Vec<(u64, u64, u64)>,
    timestamps: Vec<(u64, u64)>,
    last_timestamp: Option<u64>,
    heartbeats: Vec<(u64, u64, TimeSpan, u64)>,
    checks: u64,
}

const A_ORIGIN: u64 = 5_000_000;
const B_ORIGIN: u64 = 80_000;

impl FreshnessFleet {
    fn new() -> FreshnessFleet {
        FreshnessFleet {
            time: 10_000,
            appended_at: Vec::new(),
            a: LogFreshness::new(),
            a_next: 0,
            b: LogFreshness::new(),
            b_next: 0,
            reads: Vec::new(),
            timestamps: Vec::new(),
            last_timestamp: None,
            heartbeats: Vec::new(),
            checks: 0,
        }
    }

    fn a_now(&self) -> ClockTime {
        ClockTime::from_millis(A_ORIGIN + self.time)
    }

    fn b_now(&self) -> ClockTime {
        ClockTime::from_millis(B_ORIGIN + self.time)
    }

    fn step(&mut self, random: &mut ChaCha8Rng) {
        self.time += random.random_range(1..200);
        match random.random_range(0..6) {
            0 => self.appended_at.push(self.time),
            // A reads the log's end; the answer takes up to 2 s.
            1 => {
                let end = self.appended_at.len() as u64;
                let arrives = self.time + random.random_range(0..2_000);
                self.reads.push((arrives, self.time, end));
            }
            // B sends a heartbeat with its timestamp to A.
            2 => self
                .timestamps
                .push((self.time + random.random_range(0..1_500), self.time)),
            // A sends a heartbeat to B that echoes B's last timestamp.
            3 => {
                let age = self.a.age(self.a_now());
                if let (Some(age), Some(timestamp)) = (age, self.last_timestamp) {
                    let arrives = self.time + random.random_range(0..3_000);
                    self.heartbeats.push((arrives, timestamp, age, self.a_next));
                }
            }
            // A and B apply entries.
            4 => self.a_next = (self.a_next + 1).min(self.appended_at.len() as u64),
            _ => self.b_next = (self.b_next + 2).min(self.a_next.max(self.b_next)),
        }
        self.deliver();
        self.a.advance(LogOffset::new(self.a_next));
        self.b.advance(LogOffset::new(self.b_next));
        let (a_age, b_age) = (self.a.age(self.a_now()), self.b.age(self.b_now()));
        self.check(a_age, self.a_next);
        self.check(b_age, self.b_next);
    }

    fn deliver(&mut self) {
        let time = self.time;
        for (_, sent_at, end) in self.reads.extract_if(.., |read| read.0 <= time) {
            let confirmation = LogEndConfirmation {
                at: ClockTime::from_millis(A_ORIGIN + sent_at),
                end: LogOffset::new(end),
            };
            self.a.confirm(confirmation, LogOffset::new(self.a_next));
        }
        for (_, timestamp) in self
            .timestamps
            .extract_if(.., |timestamp| timestamp.0 <= time)
        {
            self.last_timestamp = self.last_timestamp.max(Some(timestamp));
        }
        for (_, timestamp, age, next) in self
            .heartbeats
            .extract_if(.., |heartbeat| heartbeat.0 <= time)
        {
            let echoed = ClockTime::from_millis(B_ORIGIN + timestamp);
            let confirmation =
                LogEndConfirmation::with_heartbeat(echoed, age, LogOffset::new(next));
            self.b.confirm(confirmation, LogOffset::new(self.b_next));
        }
    }

    fn check(&mut self, age: Option<TimeSpan>, next: u64) {
        let Some(age) = age else { return };
        self.checks += 1;
        let known_at = self.time.saturating_sub(age.as_millis());
        let stored = self.appended_at.iter().filter(|at| **at < known_at).count() as u64;
        assert!(stored <= next, "{stored} records stored, {next} applied");
    }
}
