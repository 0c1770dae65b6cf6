//! How much of the load of engines instances know when they choose, in fleets of all sizes.

use std::collections::BTreeMap;

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    directory::{EndpointRegistration, EngineStage, SoftwareVersion},
    ids::{EndpointId, FailureDomain, InstanceId, ServiceName},
    ingress::EngineRule,
    placement::{
        EngineKey, EngineLoad, EngineTable, LoadLedger, LoadSource, PeerLoad, PlanRequest,
        PromptWork,
    },
    routing::RoutingSettings,
    units::{ByteSize, TokenCount},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const DOMAINS: usize = 4;
const STREAM_MS: u64 = 1_000;
/// The streams that run at an engine on average.
const MEAN_STREAMS: usize = 8;
const END_MS: u64 = 2_500;
/// How often instances that send their loads to each other do so.
const EXCHANGE_MS: u64 = 300;

/// How instances learn of each other's loads.
#[derive(Clone, Copy, PartialEq)]
enum Exchange {
    /// From the engines' trackers, which reports and queries reach after this many ms.
    Trackers(u64),
    /// From the instances of their failure domain.
    WithinDomain,
}

/// What was seen once as many streams run as end.
#[derive(Debug, Default)]
struct Outcome {
    known: u64,
    actual: u64,
    /// The most streams that ran at one engine at once.
    busiest: usize,
}

impl Outcome {
    fn known_share(&self) -> f64 {
        self.known as f64 / self.actual.max(1) as f64
    }
}

struct Stream {
    instance: usize,
    engine: usize,
    begun: u64,
}

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn domain(index: usize) -> FailureDomain {
    FailureDomain::new(format!("domain-{}", index % DOMAINS)).unwrap()
}

fn instance(index: usize) -> InstanceId {
    InstanceId::new(format!("edge-{index}")).unwrap()
}

fn engine(index: usize) -> EndpointRegistration {
    EndpointRegistration {
        id: EndpointId::new(format!("engine-{index:04}")).unwrap(),
        start: 1,
        service: ServiceName::new("chat").unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: domain(index),
        version: SoftwareVersion::new("v1"),
        slots: 16,
        is_leaving: false,
        leaves_in: None,
        is_preemptible: false,
        stage: Some(EngineStage::Decode),
        warming: TimeSpan::ZERO,
        sequence: 1,
    }
}

fn running(count: u32) -> EngineLoad {
    EngineLoad {
        running: count,
        ..EngineLoad::default()
    }
}

/// The streams of a fleet. The tables are those of the instances as far as they differ by
/// what they receive: one for each failure domain. None has load of its own.
struct Fleet {
    tables: Vec<EngineTable>,
    keys: Vec<EngineKey>,
    ledger: LoadLedger,
    streams: Vec<Stream>,
}

impl Fleet {
    fn new(instances: usize, engines: usize) -> Fleet {
        let share = (10.0 / instances as f64).powi(2);
        let tables = (0..DOMAINS as u64).map(|seed| {
            let mut table = EngineTable::new(RoutingSettings::default()).with_seed(seed);
            (0..engines).for_each(|index| table.set_engine(at(0), &engine(index)));
            table.set_candidate_share(share);
            table
        });
        let tables: Vec<EngineTable> = tables.collect();
        let hash = |index: usize| tables[0].hash(&engine(index).id).unwrap();
        let keys = (0..engines).map(|index| EngineKey {
            hash: hash(index),
            start: 1,
        });
        Fleet {
            keys: keys.collect(),
            tables,
            ledger: LoadLedger::new(),
            streams: Vec::new(),
        }
    }

    /// The streams of one instance at one engine.
    fn count(&self, by: usize, engine: usize) -> u32 {
        let placed = self.streams.iter();
        placed
            .filter(|stream| stream.instance == by && stream.engine == engine)
            .count() as u32
    }

    /// Has the tracker of an engine told what an instance runs there.
    fn report(&mut self, now: u64, counter: u64, by: usize, engine: usize) {
        let load = running(self.count(by, engine));
        let source = LoadSource {
            instance: instance(by),
            start: 1,
            counter,
        };
        self.ledger
            .note_report(at(now), &source, self.keys[engine], load);
    }

    /// Has all instances of each failure domain tell each other their loads.
    fn exchange(&mut self, now: u64) {
        let mut loads: BTreeMap<usize, BTreeMap<usize, u32>> = BTreeMap::new();
        for stream in &self.streams {
            let placed = loads.entry(stream.instance).or_default();
            *placed.entry(stream.engine).or_default() += 1;
        }
        for (by, placed) in loads {
            let reports = placed.iter().map(|(engine, count)| PeerLoad {
                engine: self.keys[*engine].hash,
                load: running(*count),
            });
            let reports: Vec<PeerLoad> = reports.collect();
            self.tables[by % DOMAINS].note_peer(at(now), &instance(by), &reports, &[]);
        }
    }

    /// The engine that instance `by` chooses, and the streams that it knows of there.
    fn choose(&mut self, now: u64, by: usize, exchange: Exchange) -> (usize, u32) {
        let service = ServiceName::new("chat").unwrap();
        let rule = EngineRule {
            slots: 16,
            memory: TokenCount::new(465_010),
            token_bytes: ByteSize::new(18_432),
            link_bytes_per_ms: 68_750_000,
            handle_lifetime: TimeSpan::from_secs(5),
            stage_switch: TimeSpan::from_secs(3),
            has_backups: false,
        };
        let work = PromptWork::new("500,20", "aa:500").unwrap();
        let request = PlanRequest {
            service: &service,
            rule: &rule,
            work: &work,
            priority: 1,
            excluded: &[],
            origin: None,
            time_left: TimeSpan::from_secs(5),
        };
        let table = &mut self.tables[by % DOMAINS];
        let source = engine(by % self.keys.len()).id;
        let target = match exchange {
            Exchange::WithinDomain => table.choose_runner(at(now), request, &source),
            Exchange::Trackers(_) => {
                let candidates = table.runner_candidates(at(now), request);
                let asked: Vec<EngineKey> = candidates.iter().map(|one| one.engine).collect();
                for engine in &asked {
                    // The streams of this instance count like those of others.
                    let asker = InstanceId::new("none").unwrap();
                    let tracked = self.ledger.load_without(at(now), *engine, &asker);
                    table.note_tracked(at(now), &tracked);
                }
                table.choose_runner_among(at(now), request, &source, &asked)
            }
        };
        let target = target.unwrap();
        let known = table.known_running(at(now), &target.id);
        let hash = table.hash(&target.id).unwrap();
        let index = self.keys.iter().position(|key| key.hash == hash).unwrap();
        (index, known)
    }
}

/// Runs streams that arrive at random instances at a steady rate and last [`STREAM_MS`].
fn run(instances: usize, engines: usize, exchange: Exchange, seed: u64) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::new(instances, engines);
    let mut outcome = Outcome::default();
    let streams = (engines * MEAN_STREAMS) as u64;
    let mut reports: Vec<(u64, usize, usize)> = Vec::new();
    let mut counter = 0;
    for number in 0..streams * END_MS / STREAM_MS {
        let now = number * STREAM_MS / streams;
        let previous = number.saturating_sub(1) * STREAM_MS / streams;
        if exchange == Exchange::WithinDomain && now / EXCHANGE_MS != previous / EXCHANGE_MS {
            fleet.exchange(now);
        }
        if let Exchange::Trackers(delay) = exchange {
            for (_, by, engine) in reports.extract_if(.., |(sent, _, _)| now >= *sent + delay) {
                counter += 1;
                fleet.report(now, counter, by, engine);
            }
        }
        let by = random.random_range(0..instances);
        let (engine, known) = fleet.choose(now, by, exchange);
        let actual = fleet.streams.iter().filter(|one| one.engine == engine);
        let actual = actual.count();
        if now >= STREAM_MS + EXCHANGE_MS {
            outcome.known += u64::from(known);
            outcome.actual += actual as u64;
            outcome.busiest = outcome.busiest.max(actual + 1);
        }
        fleet.streams.push(Stream {
            instance: by,
            engine,
            begun: now,
        });
        reports.push((now, by, engine));
        let ended = fleet
            .streams
            .extract_if(.., |one| now >= one.begun + STREAM_MS);
        reports.extend(ended.map(|one| (now, one.instance, one.engine)));
    }
    outcome
}

/// Guards against instances that choose engines without knowing the load that others placed
/// there, and overload some engines while others are nearly idle.
#[test]
fn instances_with_trackers_know_the_load_of_the_engines_that_they_choose() {
    for (instances, engines) in [(1, 8), (9, 16), (80, 112), (985, 300)] {
        for delay in [2, 10, 20] {
            let outcome = run(instances, engines, Exchange::Trackers(delay), 1);
            let share = outcome.known_share();
            assert!(
                (0.8..1.2).contains(&share),
                "{instances} {delay} {outcome:?}"
            );
            let most = MEAN_STREAMS as f64 * 1.6;
            assert!(
                (outcome.busiest as f64) < most,
                "{instances} {delay} {outcome:?}"
            );
        }
    }
}

/// Shows that the test above can fail: reports that stay in the failure domain.
#[test]
fn instances_of_a_large_fleet_without_trackers_know_little() {
    for (instances, engines) in [(80, 112), (985, 300)] {
        let outcome = run(instances, engines, Exchange::WithinDomain, 1);
        assert!(outcome.known_share() < 0.4, "{instances} {outcome:?}");
        let most = MEAN_STREAMS as f64 * 1.6;
        assert!(outcome.busiest as f64 > most, "{instances} {outcome:?}");
    }
}
