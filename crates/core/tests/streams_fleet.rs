//! Streams of a fleet whose endpoints are replaced by other versions, in virtual time: instances
//! are killed and cut off, and messages between them are lost and overtake each other.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
};

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    directory::SoftwareVersion,
    ids::{FailureDomain, InstanceId, RequestId, ServiceName},
    streams::{
        OriginHash, RecordPeer, RecordScope, RecordedOrigin, StreamHash, StreamRecord, StreamTable,
        VersionHistory, queried_peers, recording_peers, resolve_origin,
    },
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

/// How many streams may go on at another version.
const MAX_MIXED: usize = 2;
/// From how many streams on that are taken up a share of them has to go on.
const MIN_TAKEN_UP: usize = 12;

const TICK_MS: u64 = 250;
/// When the first change of versions comes, in ms: all instances know the time before it.
const FIRST_CHANGE: u64 = 65_000;
const END: u64 = 150_000;
/// How long an instance has to be undisturbed to count as in touch, in ms.
const STABLE_MS: u64 = 3_000;
/// The longest delay after which a change of the registrations is known, in ms.
const MAX_VIEW_DELAY_MS: u64 = 1_000;
/// The longest delay of a datagram, in ms.
const MAX_DELAY_MS: u64 = 120;
const LOST_DATAGRAMS: f64 = 0.05;
/// How long endpoints go on serving after their registration is gone, in ms.
const MAX_LINGER_MS: u64 = 8_000;
/// The longest time from the begin of a stream until its caller takes it up, in ms.
const MAX_STREAM_MS: u64 = 9_000;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The endpoints are replaced by those of other versions.
    Versions,
    /// An instance learns which versions are registered.
    View(usize, u64, BTreeSet<u32>),
    Tick(usize),
    Record(usize, u64, u64),
    Begin,
    TakeUp(usize),
    Kill,
    Restart(usize),
    Cut,
    Heal,
}

struct Instance {
    peer: RecordPeer<usize>,
    versions: VersionHistory,
    table: StreamTable,
    /// The versions in view.
    view: BTreeSet<u32>,
    is_alive: bool,
    is_cut: bool,
    disturbed_at: u64,
    killed_at: u64,
    /// The last change of the fleet after which all streams were recorded.
    recorded_for: Option<u64>,
}

struct Stream {
    hash: StreamHash,
    version: u32,
}

#[derive(Debug, Default)]
struct Tally {
    mixed: usize,
    /// Taken up while endpoints of the version serve, at instances in touch.
    owed: usize,
    went_on: usize,
    records: usize,
    records_before: usize,
}

struct Fleet {
    random: ChaCha8Rng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next: u64,
    instances: Vec<Instance>,
    /// The registered versions.
    registered: BTreeSet<u32>,
    /// When the last endpoint of a version that is no longer registered ends.
    ends: BTreeMap<u32, u64>,
    newest: u32,
    streams: Vec<Stream>,
    /// The number of changes of the instances.
    changes: u64,
    tally: Tally,
}

fn service() -> ServiceName {
    ServiceName::new("chat").unwrap()
}

fn origin(version: u32) -> OriginHash {
    let version = SoftwareVersion::new(format!("v{version}"));
    OriginHash::with_version(&service(), &version)
}

fn history() -> VersionHistory {
    let mut versions = VersionHistory::new();
    versions.set_timeout(TimeSpan::from_millis(MAX_STREAM_MS));
    versions
}

fn at(millis: u64) -> ClockTime {
    // Clocks of machines that have run for long.
    ClockTime::from_millis(1_000_000 + millis)
}

impl Fleet {
    fn new(seed: u64, count: usize) -> Fleet {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let domains = [1, 2, 3, 7][random.random_range(0..4)].min(count);
        let instances = (0..count).map(|number| {
            let mut instance = Instance {
                peer: RecordPeer {
                    instance: InstanceId::new(format!("edge-{number}")).unwrap(),
                    domain: FailureDomain::new(format!("d{}", number % domains)).unwrap(),
                    start: 1,
                    address: number,
                },
                versions: history().with_first_start(random.random_bool(0.5)),
                table: StreamTable::new(),
                view: BTreeSet::new(),
                is_alive: true,
                is_cut: false,
                disturbed_at: 0,
                killed_at: 0,
                recorded_for: None,
            };
            instance.learn(&BTreeSet::from([1]));
            instance
        });
        let mut fleet = Fleet {
            instances: instances.collect(),
            random,
            now: 0,
            events: BinaryHeap::new(),
            next: 0,
            registered: BTreeSet::from([1]),
            ends: BTreeMap::new(),
            newest: 1,
            streams: Vec::new(),
            changes: 0,
            tally: Tally::default(),
        };
        for number in 0..count {
            let first = fleet.random.random_range(0..TICK_MS);
            fleet.push(first, Event::Tick(number));
        }
        for event in [Event::Begin, Event::Kill, Event::Cut] {
            fleet.push(FIRST_CHANGE - 5_000, event);
        }
        fleet.push(FIRST_CHANGE, Event::Versions);
        fleet
    }

    fn push(&mut self, time: u64, event: Event) {
        self.next += 1;
        self.events.push(Reverse((time, self.next, event)));
    }

    fn after(&mut self, from: u64, to: u64) -> u64 {
        self.now + self.random.random_range(from..=to)
    }

    fn run(mut self) -> Tally {
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time > END {
                break;
            }
            self.now = time;
            self.handle(event);
        }
        self.tally
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Versions => self.change_versions(),
            Event::View(number, start, versions) => self.view(number, start, &versions),
            Event::Tick(number) => self.tick(number),
            Event::Record(number, stream, origin) => {
                let record = StreamRecord {
                    stream: StreamHash::new(stream),
                    origin: OriginHash::new(origin),
                };
                let instance = &mut self.instances[number];
                if instance.is_alive {
                    instance.table.note_record(at(self.now), record);
                }
            }
            Event::Begin => {
                self.begin();
                let next = self.after(5, 60);
                self.push(next, Event::Begin);
            }
            Event::TakeUp(stream) => self.take_up(stream),
            Event::Kill => self.kill(),
            Event::Restart(number) => self.restart(number),
            Event::Cut => {
                let domain = self.instances.choose(&mut self.random).unwrap();
                let domain = domain.peer.domain.clone();
                let is_whole = self.random.random_bool(0.5);
                for instance in &mut self.instances {
                    let is_chosen = is_whole || self.random.random_bool(0.5);
                    instance.is_cut |= instance.peer.domain == domain && is_chosen;
                }
                let healed = self.after(500, 14_000);
                self.push(healed, Event::Heal);
                let next = self.after(10_000, 30_000);
                self.push(next, Event::Cut);
            }
            Event::Heal => self.heal(),
        }
    }

    /// Another version comes or one leaves; endpoints of several may stay side by side.
    fn change_versions(&mut self) {
        if self.registered.len() > 1 && self.random.random_bool(0.6) {
            let versions: Vec<u32> = self.registered.iter().copied().collect();
            let gone = *versions.choose(&mut self.random).unwrap();
            self.registered.remove(&gone);
            let end = self.after(2_000, MAX_LINGER_MS);
            self.ends.insert(gone, end);
        } else {
            self.newest += 1;
            self.registered.insert(self.newest);
        }
        for number in 0..self.instances.len() {
            if !self.instances[number].is_cut {
                self.schedule_view(number);
            }
        }
        let next = self.after(200, 12_000);
        self.push(next, Event::Versions);
    }

    fn schedule_view(&mut self, number: usize) {
        let time = self.after(1, MAX_VIEW_DELAY_MS);
        let start = self.instances[number].peer.start;
        let versions = self.registered.clone();
        self.push(time, Event::View(number, start, versions));
    }

    fn view(&mut self, number: usize, start: u64, versions: &BTreeSet<u32>) {
        let instance = &mut self.instances[number];
        if instance.is_alive && instance.peer.start == start {
            instance.learn(versions);
        }
    }

    fn tick(&mut self, number: usize) {
        self.push(self.now + TICK_MS, Event::Tick(number));
        if !self.instances[number].is_alive {
            return;
        }
        let now = at(self.now);
        let instance = &mut self.instances[number];
        if !instance.is_cut {
            let known_at = self.now.saturating_sub(MAX_VIEW_DELAY_MS);
            instance.versions.note_current(at(known_at));
        }
        instance.versions.sweep(now);
        instance.table.sweep(now);
        if instance.versions.needs_proof(now) {
            self.ask_for_proofs(number);
        }
        let instance = &mut self.instances[number];
        let sole = instance.versions.sole_origin(now, &service());
        let recorded_for = sole.is_none().then_some(self.changes);
        let earlier = std::mem::replace(&mut instance.recorded_for, recorded_for);
        if recorded_for.is_some() && earlier != recorded_for {
            self.record(number, RecordScope::Services(&[service()]));
        }
    }

    fn ask_for_proofs(&mut self, number: usize) {
        let asked: Vec<usize> = self.peers(number).iter().map(|peer| peer.address).collect();
        let asked: Vec<usize> = asked
            .choose_multiple(&mut self.random, 3)
            .copied()
            .collect();
        for peer in asked {
            if self.is_connected(number, peer) {
                let proved = self.proofs(peer);
                let versions = &mut self.instances[number].versions;
                versions.note_vouched(at(self.now), &proved);
            }
        }
    }

    fn proofs(&self, number: usize) -> BTreeSet<OriginHash> {
        let versions = &self.instances[number].versions;
        versions.sole_origins(at(self.now)).collect()
    }

    /// The other instances as `number` sees them: a killed one counts as alive for 3 s.
    fn peers(&self, number: usize) -> Vec<RecordPeer<usize>> {
        let is_seen = |one: &&Instance| one.is_alive || self.now < one.killed_at + STABLE_MS;
        let others = self.instances.iter().filter(is_seen);
        let others = others.filter(|one| one.peer.address != number);
        others.map(|one| one.peer.clone()).collect()
    }

    /// Whether datagrams pass: cut instances reach those of their failure domain only.
    fn is_connected(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.instances[from], &self.instances[to]);
        let is_cut = from.is_cut || to.is_cut;
        to.is_alive && (!is_cut || from.peer.domain == to.peer.domain)
    }

    fn record(&mut self, number: usize, scope: RecordScope<'_>) {
        let peers = self.peers(number);
        let instance = &mut self.instances[number];
        let domain = instance.peer.domain.clone();
        let due = instance.table.take_due(scope, |stream| {
            let chosen = recording_peers(stream, &domain, &peers);
            chosen.into_iter().cloned().collect()
        });
        for (recipient, records) in due {
            self.tally.records += 1;
            if !self.is_connected(number, recipient) || self.random.random_bool(LOST_DATAGRAMS) {
                continue;
            }
            let time = self.after(1, MAX_DELAY_MS);
            for record in records {
                let (stream, origin) = (record.stream.number(), record.origin.number());
                self.push(time, Event::Record(recipient, stream, origin));
            }
        }
        if self.now < FIRST_CHANGE {
            self.tally.records_before = self.tally.records;
        }
    }

    /// A stream begins at a random instance, at a version of its view that still serves.
    fn begin(&mut self) {
        let number = self.random.random_range(0..self.instances.len());
        if !self.instances[number].is_alive {
            return;
        }
        let view = self.instances[number].view.iter().copied();
        let serving: Vec<u32> = view.filter(|version| self.serves(*version)).collect();
        let Some(version) = serving.choose(&mut self.random).copied() else {
            return;
        };
        let id = RequestId::new(format!("stream-{}", self.streams.len())).unwrap();
        let hash = StreamHash::with_attempt(&id);
        self.streams.push(Stream { hash, version });
        let record = StreamRecord {
            stream: hash,
            origin: origin(version),
        };
        let now = at(self.now);
        let instance = &mut self.instances[number];
        instance.table.note_begun(now, record, &service());
        if instance.versions.sole_origin(now, &service()).is_none() {
            self.record(number, RecordScope::Stream(hash));
        }
        let time = self.after(MAX_DELAY_MS, MAX_STREAM_MS);
        self.push(time, Event::TakeUp(self.streams.len() - 1));
    }

    fn serves(&self, version: u32) -> bool {
        let end = self.ends.get(&version);
        self.registered.contains(&version) || end.is_some_and(|end| self.now < *end)
    }

    fn take_up(&mut self, stream: usize) {
        let number = self.random.random_range(0..self.instances.len());
        if !self.instances[number].is_alive {
            return;
        }
        let now = at(self.now);
        let Stream { hash, version } = self.streams[stream];
        let known = self.find(number, hash);
        let instance = &self.instances[number];
        let resolved = resolve_origin(now, known, &instance.versions, &service());
        let is_in_touch = !instance.is_cut && self.now >= instance.disturbed_at + STABLE_MS;
        if resolved
            .as_ref()
            .is_ok_and(|(found, _)| *found != origin(version))
        {
            self.tally.mixed += 1;
        }
        if is_in_touch && self.registered.contains(&version) {
            self.tally.owed += 1;
            let goes_on = resolved.is_ok() && instance.view.contains(&version);
            self.tally.went_on += usize::from(goes_on);
        }
    }

    fn find(&mut self, number: usize, stream: StreamHash) -> Option<RecordedOrigin> {
        if let Some(known) = self.instances[number].table.origin(stream) {
            return Some(known);
        }
        let peers = self.peers(number);
        let asked = queried_peers(stream, &peers);
        let mut proved = BTreeSet::new();
        let mut found = None;
        for peer in asked {
            if !self.is_connected(number, peer.address) || self.random.random_bool(LOST_DATAGRAMS) {
                continue;
            }
            proved.extend(self.proofs(peer.address));
            found = found.or(self.instances[peer.address].table.origin(stream));
        }
        let versions = &mut self.instances[number].versions;
        versions.note_vouched(at(self.now), &proved);
        found
    }

    fn kill(&mut self) {
        let share = [0.05, 0.3, 1.0][self.random.random_range(0..3)];
        let count = (self.instances.len() as f64 * share).ceil() as usize;
        for _ in 0..count {
            let number = self.random.random_range(0..self.instances.len());
            let instance = &mut self.instances[number];
            if instance.is_alive {
                instance.is_alive = false;
                instance.killed_at = self.now;
                let time = self.after(200, 2_000);
                self.push(time, Event::Restart(number));
            }
        }
        let next = self.after(4_000, 25_000);
        self.push(next, Event::Kill);
    }

    fn restart(&mut self, number: usize) {
        let now = self.now;
        self.changes += 1;
        let instance = &mut self.instances[number];
        instance.is_alive = true;
        instance.disturbed_at = now;
        instance.peer.start += 1;
        instance.versions = history();
        instance.table = StreamTable::new();
        instance.view = BTreeSet::new();
        if !instance.is_cut {
            self.schedule_view(number);
        }
    }

    fn heal(&mut self) {
        let now = self.now;
        self.changes += 1;
        let mut healed = Vec::new();
        for (number, instance) in self.instances.iter_mut().enumerate() {
            if instance.is_cut {
                instance.is_cut = false;
                instance.disturbed_at = now;
                healed.push(number);
            }
        }
        for number in healed {
            self.schedule_view(number);
        }
    }
}

impl Instance {
    fn learn(&mut self, registered: &BTreeSet<u32>) {
        for version in registered.difference(&self.view) {
            self.versions.note_registered(&service(), origin(*version));
        }
        for version in self.view.difference(registered) {
            self.versions.note_removed(&service(), origin(*version));
        }
        self.view = registered.clone();
    }
}

fn check(seed: u64, count: usize) {
    let tally = Fleet::new(seed, count).run();
    assert!(tally.mixed <= MAX_MIXED, "seed {seed}: {tally:?}");
    let is_owed = tally.owed >= MIN_TAKEN_UP;
    let goes_on = tally.went_on * 2 >= tally.owed;
    assert!(!is_owed || goes_on, "seed {seed}: {tally:?}");
}

fn seeds(default: u64) -> u64 {
    let seeds = std::env::var("BLUEBELL_SEEDS").ok();
    seeds.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Guards against streams that change their version, or are refused too often, in small fleets.
#[test]
fn streams_of_a_small_fleet_go_on_at_their_version() {
    for seed in 0..seeds(25) {
        check(seed, [1, 2, 3, 9, 30][seed as usize % 5]);
    }
}

/// Guards against the same in a fleet whose views of each other differ more.
#[test]
fn streams_of_a_large_fleet_go_on_at_their_version() {
    for seed in 0..seeds(1) {
        check(seed, 985);
    }
}

/// Guards against messages while one version serves.
#[test]
fn nothing_is_recorded_while_one_version_serves() {
    let mut fleet = Fleet::new(1, 9);
    for instance in &mut fleet.instances {
        instance.versions = history().with_first_start(true);
        instance.versions.note_registered(&service(), origin(1));
    }
    let kept = |event: &Reverse<(u64, u64, Event)>| {
        !matches!(event.0.2, Event::Versions | Event::Kill | Event::Cut)
    };
    fleet.events = fleet.events.into_iter().filter(kept).collect();
    let tally = fleet.run();
    assert!(tally.owed >= MIN_TAKEN_UP, "{tally:?}");
    assert_eq!(tally.went_on, tally.owed, "{tally:?}");
    assert_eq!(tally.records, 0, "{tally:?}");
}

/// Guards against a version that a view without endpoints, or an old one, is taken to prove.
#[test]
fn one_version_in_view_proves_nothing_by_itself() {
    let (now, later) = (at(0), |ms: u64| at(0) + TimeSpan::from_millis(ms));
    let mut versions = history();
    versions.note_registered(&service(), origin(1));
    versions.note_current(now);
    assert_eq!(versions.sole_origin(now, &service()), None, "just started");
    let mut at_ms = 0;
    while at_ms < 60_000 {
        at_ms += 1_000;
        versions.note_current(later(at_ms));
    }
    let sole = |versions: &VersionHistory, ms| versions.sole_origin(later(ms), &service());
    assert_eq!(sole(&versions, 60_000), Some(origin(1)));
    assert_eq!(sole(&versions, 63_001), None, "an old view");
    versions.note_current(later(63_500));
    versions.note_registered(&service(), origin(2));
    assert_eq!(sole(&versions, 63_600), None, "two versions");
    versions.note_removed(&service(), origin(1));
    versions.sweep(later(64_000));
    assert_eq!(sole(&versions, 64_100), None, "one has just left");
}
