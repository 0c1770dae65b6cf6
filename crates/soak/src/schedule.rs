//! Which faults come when, drawn from a seed.

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::proxy::PathMode;

/// The shortest and the longest time between two faults, in ms. Most faults last
/// longer, so that they overlap.
const PAUSE_MS: (u64, u64) = (150, 1_200);
/// The shortest and the longest time that a fault lasts, in ms.
const SPAN_MS: (u64, u64) = (300, 4_500);
/// The shortest and the longest delay on a path or at the store, in ms.
const DELAY_MS: (u64, u64) = (20, 600);

/// The shortest and the longest time between two steps of growth, in ms.
const GROWTH_PAUSE_MS: (u64, u64) = (1_000, 4_000);
/// The shortest and the longest time that an instance is cut off from the store before
/// endpoints are withdrawn, in ms: long enough for registrations to lapse.
const CUT_MS: (u64, u64) = (2_500, 5_000);
/// The latest that an endpoint is withdrawn after the path to the store is back, in ms.
const WITHDRAWN_MS: u64 = 400;
/// The most routes by which the configuration grows at once.
const ROUTES_GROWN: usize = 4_000;
/// Keeps the draws of growth apart from those of faults.
const GROWTH_STREAM: u64 = 1;

/// Keeps the draws of versions apart from those of faults.
const VERSION_STREAM: u64 = 2;
/// The shortest and the longest time between two replacements by another version, in ms.
const REPLACED_PAUSE_MS: (u64, u64) = (300, 2_500);
/// The most versions by which a replacement is newer than the first.
const NEWER_VERSIONS: u32 = 2;

/// Keeps the draws of changed routes and keys apart from those of faults.
const CHANGE_STREAM: u64 = 3;
/// The shortest and the longest time between two series of changes, in ms. Series overlap.
const SERIES_PAUSE_MS: (u64, u64) = (200, 1_800);
/// The most changes in a series.
const SERIES_LENGTH: u64 = 6;
/// The shortest and the longest time between two changes of a series, in ms.
const CHANGE_PAUSE_MS: (u64, u64) = (5, 700);

/// Keeps the draws of endpoints that leave in series apart from those of faults.
const LEAVING_STREAM: u64 = 4;
/// The shortest and the longest time between two series of endpoints that leave, in ms.
const LEAVING_PAUSE_MS: (u64, u64) = (400, 2_500);
/// The longest time between two endpoints of a series, in ms.
const LEFT_PAUSE_MS: u64 = 120;
/// The longest time between the start of a series and the fault of an instance beside it, in ms.
const READER_FAULT_MS: u64 = 400;
/// The number of instances that include those which read the store for the others.
const FIRST_INSTANCES: usize = 18;

/// What a schedule is drawn for.
#[derive(Clone, Copy, Debug)]
pub struct ScheduleSize {
    /// Entry instances.
    pub instances: usize,
    /// Endpoints.
    pub endpoints: usize,
    /// Organisations; one is never withdrawn.
    pub organisations: usize,
    /// Routes that may be led elsewhere.
    pub routes: usize,
    /// Routes that may be added and dropped.
    pub added_routes: usize,
    /// How long faults go on, in ms.
    pub span_ms: u64,
}

/// What goes wrong.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum SoakFault {
    /// Processes are killed at the same moment and start again later.
    Kill {
        /// Which instances.
        instances: Vec<usize>,
        /// When they start again, in ms.
        down_ms: u64,
    },
    /// A process is asked to stop, and started again when it has.
    Stop {
        /// Which instance.
        instance: usize,
    },
    /// A process stands still.
    Pause {
        /// Which instance.
        instance: usize,
        /// For how long, in ms.
        span_ms: u64,
    },
    /// A process is told that its settings changed.
    Hangup {
        /// Which instance.
        instance: usize,
    },
    /// The path of one instance to the store is disturbed.
    StorePath {
        /// Which instance.
        instance: usize,
        /// How.
        mode: PathMode,
        /// For how long, in ms.
        span_ms: u64,
    },
    /// Connections of one instance to the store go silent for good.
    StoreConnections {
        /// Which instance.
        instance: usize,
    },
    /// The store is away, slow, or loses answers.
    Store {
        /// How.
        trouble: StoreTrouble,
        /// For how long, in ms.
        span_ms: u64,
    },
    /// The store drops its history.
    StoreForgets,
    /// The path to an endpoint is disturbed.
    EndpointPath {
        /// Which endpoint.
        endpoint: usize,
        /// How.
        mode: PathMode,
        /// For how long, in ms.
        span_ms: u64,
    },
    /// Connections to an endpoint go silent for good.
    EndpointConnections {
        /// Which endpoint.
        endpoint: usize,
    },
    /// An endpoint treats part of its requests badly.
    Endpoint {
        /// Which endpoint.
        endpoint: usize,
        /// How.
        trouble: EndpointTrouble,
        /// For how long, in ms.
        span_ms: u64,
    },
    /// An endpoint ends without a word and starts anew later.
    EndpointCrash {
        /// Which endpoint.
        endpoint: usize,
        /// When it starts again, in ms.
        down_ms: u64,
    },
    /// An endpoint announces that it leaves, ends later, and another one comes.
    EndpointLeaves {
        /// Which endpoint.
        endpoint: usize,
    },
    /// The registration of an endpoint is withdrawn without notice, and another one
    /// comes later.
    EndpointWithdrawn {
        /// Which endpoint.
        endpoint: usize,
    },
    /// An endpoint announces that it leaves, and one of another software version takes its
    /// place before it ends.
    EndpointReplaced {
        /// Which endpoint.
        endpoint: usize,
        /// The number of the version.
        version: u32,
        /// Whether the other one has an id of its own.
        has_new_id: bool,
    },
    /// The configuration grows by routes that nobody uses.
    GrowConfiguration {
        /// How many.
        routes: usize,
    },
    /// A route is led to another service.
    MoveRoute {
        /// Which of the routes that may be.
        route: usize,
    },
    /// A route is added, or led to the other service if it is there.
    AddRoute {
        /// Which of the routes that may be.
        route: usize,
    },
    /// A route that was added is dropped.
    DropRoute {
        /// Which of the routes that may be.
        route: usize,
    },
    /// A further organisation gets a key.
    AddOrganisation,
    /// The key of the organisation that was added first, of those that have one, is withdrawn.
    WithdrawAdded,
    /// The keys of an organisation are withdrawn.
    Withdraw {
        /// Which organisation.
        organisation: usize,
    },
}

/// What is wrong with the store.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum StoreTrouble {
    /// It answers 503.
    Refuses,
    /// It breaks connections off.
    Resets,
    /// It says nothing.
    Silent,
    /// It answers this many ms later.
    Slow(u64),
    /// It does writes and doesn't answer.
    Loses,
    /// It does writes some seconds later and doesn't answer.
    Late,
}

/// What an endpoint does with part of its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum EndpointTrouble {
    /// It runs them and breaks the connection off.
    Loses,
    /// Its answers break off in the middle.
    Cuts,
    /// It refuses them.
    Refuses,
    /// It takes longer.
    Slow,
    /// It runs them and says nothing.
    Silent,
    /// It refuses them and asks the instance for rest.
    Rests,
    /// It refuses most of them, and half of those a second time.
    Repeats,
    /// It runs them and answers that it refuses them, without the statement that they have not run.
    Misstates,
}

/// A fault with its time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ScheduledFault {
    /// When it comes, in ms from the start of the faults.
    pub at_ms: u64,
    /// What it is.
    pub fault: SoakFault,
}

/// Draws a schedule: the same for the same seed and size.
pub fn draw(seed: u64, size: ScheduleSize) -> Vec<ScheduledFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut schedule = Vec::new();
    let mut at_ms = 0;
    loop {
        at_ms += random.random_range(PAUSE_MS.0..=PAUSE_MS.1);
        if at_ms >= size.span_ms {
            return schedule;
        }
        let fault = draw_fault(&mut random, size);
        schedule.push(ScheduledFault { at_ms, fault });
    }
}

/// Draws how the configuration grows and endpoints are withdrawn beside the faults of
/// [`draw`]: the same for the same seed and size.
pub fn draw_growth(seed: u64, size: ScheduleSize) -> Vec<ScheduledFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(GROWTH_STREAM);
    let mut schedule: Vec<ScheduledFault> = Vec::new();
    let mut at_ms = 0;
    loop {
        at_ms += random.random_range(GROWTH_PAUSE_MS.0..=GROWTH_PAUSE_MS.1);
        if at_ms >= size.span_ms {
            schedule.sort_by_key(|scheduled| scheduled.at_ms);
            return schedule;
        }
        let mut push = |at_ms, fault| schedule.push(ScheduledFault { at_ms, fault });
        match random.random_range(0..3) {
            0 => {
                let route = random.random_range(0..size.routes);
                push(at_ms, SoakFault::MoveRoute { route });
            }
            1 => {
                let routes = random.random_range(1..=ROUTES_GROWN);
                push(at_ms, SoakFault::GrowConfiguration { routes });
            }
            _ => {
                let (instance, span_ms, withdrawn_ms) = (
                    random.random_range(0..size.instances),
                    random.random_range(CUT_MS.0..=CUT_MS.1),
                    random.random_range(0..=WITHDRAWN_MS),
                );
                let mode = PathMode::Silent;
                let cut = SoakFault::StorePath {
                    instance,
                    mode,
                    span_ms,
                };
                push(at_ms, cut);
                let endpoint = random.random_range(0..size.endpoints);
                let withdrawn = SoakFault::EndpointWithdrawn { endpoint };
                push(at_ms + span_ms + withdrawn_ms, withdrawn);
            }
        }
    }
}

/// Draws how endpoints are replaced by other software versions beside the faults of [`draw`]:
/// the same for the same seed and size.
pub fn draw_versions(seed: u64, size: ScheduleSize) -> Vec<ScheduledFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(VERSION_STREAM);
    let mut schedule = Vec::new();
    let mut at_ms = 0;
    loop {
        at_ms += random.random_range(REPLACED_PAUSE_MS.0..=REPLACED_PAUSE_MS.1);
        if at_ms >= size.span_ms {
            return schedule;
        }
        let fault = SoakFault::EndpointReplaced {
            endpoint: random.random_range(0..size.endpoints),
            version: 1 + random.random_range(0..=NEWER_VERSIONS),
            has_new_id: random.random_bool(0.7),
        };
        schedule.push(ScheduledFault { at_ms, fault });
    }
}

/// Draws how routes and keys are added, changed and dropped beside the faults of [`draw`], in
/// series that overlap: the same for the same seed and size.
pub fn draw_changes(seed: u64, size: ScheduleSize) -> Vec<ScheduledFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(CHANGE_STREAM);
    let mut schedule = Vec::new();
    let mut series_at_ms = 0;
    loop {
        series_at_ms += random.random_range(SERIES_PAUSE_MS.0..=SERIES_PAUSE_MS.1);
        if series_at_ms >= size.span_ms {
            schedule.sort_by_key(|scheduled: &ScheduledFault| scheduled.at_ms);
            return schedule;
        }
        let pause_ms = random.random_range(CHANGE_PAUSE_MS.0..=CHANGE_PAUSE_MS.1);
        for number in 0..random.random_range(1..=SERIES_LENGTH) {
            let route = random.random_range(0..size.added_routes);
            let fault = match random.random_range(0..10) {
                0..=5 => SoakFault::AddRoute { route },
                6 => SoakFault::DropRoute { route },
                7 | 8 => SoakFault::AddOrganisation,
                _ => SoakFault::WithdrawAdded,
            };
            let at_ms = series_at_ms + number * pause_ms;
            schedule.push(ScheduledFault { at_ms, fault });
        }
    }
}

/// Draws endpoints that leave or are withdrawn in series, while instances that read the store for
/// others are killed, stopped or suspended: the same for the same seed and size.
pub fn draw_leavings(seed: u64, size: ScheduleSize) -> Vec<ScheduledFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(LEAVING_STREAM);
    let mut schedule = Vec::new();
    let mut series_at_ms = 0;
    loop {
        series_at_ms += random.random_range(LEAVING_PAUSE_MS.0..=LEAVING_PAUSE_MS.1);
        if series_at_ms >= size.span_ms {
            schedule.sort_by_key(|scheduled: &ScheduledFault| scheduled.at_ms);
            return schedule;
        }
        if random.random_bool(0.6) {
            let at_ms = series_at_ms + random.random_range(0..=READER_FAULT_MS);
            let fault = draw_reader_fault(&mut random, size);
            schedule.push(ScheduledFault { at_ms, fault });
        }
        let pause_ms = random.random_range(0..=LEFT_PAUSE_MS);
        for number in 0..random.random_range(1..=size.endpoints as u64 / 2) {
            let endpoint = random.random_range(0..size.endpoints);
            let fault = match random.random_bool(0.4) {
                true => SoakFault::EndpointWithdrawn { endpoint },
                false => SoakFault::EndpointLeaves { endpoint },
            };
            let at_ms = series_at_ms + number * pause_ms;
            schedule.push(ScheduledFault { at_ms, fault });
        }
    }
}

fn draw_reader_fault(random: &mut ChaCha8Rng, size: ScheduleSize) -> SoakFault {
    let instance = random.random_range(0..size.instances.min(FIRST_INSTANCES));
    let span_ms = random.random_range(SPAN_MS.0..=SPAN_MS.1);
    match random.random_range(0..3) {
        0 => SoakFault::Kill {
            instances: vec![instance],
            down_ms: span_ms / 2,
        },
        1 => SoakFault::Stop { instance },
        _ => SoakFault::Pause { instance, span_ms },
    }
}

/// The faults of both schedules, in the order of their times.
pub fn merge(one: Vec<ScheduledFault>, other: Vec<ScheduledFault>) -> Vec<ScheduledFault> {
    let mut merged = one;
    merged.extend(other);
    merged.sort_by_key(|scheduled| scheduled.at_ms);
    merged
}

fn draw_fault(random: &mut ChaCha8Rng, size: ScheduleSize) -> SoakFault {
    let instance = random.random_range(0..size.instances);
    let endpoint = random.random_range(0..size.endpoints);
    let span_ms = random.random_range(SPAN_MS.0..=SPAN_MS.1);
    match random.random_range(0..20) {
        0 | 1 => SoakFault::Kill {
            instances: draw_some(random, size.instances),
            down_ms: span_ms / 2,
        },
        2 | 3 => SoakFault::Stop { instance },
        4 | 5 => SoakFault::Pause { instance, span_ms },
        6 => SoakFault::Hangup { instance },
        7 | 8 => SoakFault::StorePath {
            instance,
            mode: draw_mode(random),
            span_ms,
        },
        9 => SoakFault::StoreConnections { instance },
        10 | 11 => SoakFault::Store {
            trouble: draw_store(random),
            span_ms,
        },
        12 => SoakFault::StoreForgets,
        13 => SoakFault::EndpointPath {
            endpoint,
            mode: draw_mode(random),
            span_ms,
        },
        14 => SoakFault::EndpointConnections { endpoint },
        15 => SoakFault::Endpoint {
            endpoint,
            trouble: draw_endpoint(random),
            span_ms,
        },
        16 => SoakFault::EndpointCrash {
            endpoint,
            down_ms: span_ms,
        },
        17 => SoakFault::EndpointLeaves { endpoint },
        18 => SoakFault::MoveRoute {
            route: random.random_range(0..size.routes),
        },
        _ => SoakFault::Withdraw {
            organisation: random.random_range(1..size.organisations),
        },
    }
}

/// One instance mostly; at times many or all at the same moment.
fn draw_some(random: &mut ChaCha8Rng, instances: usize) -> Vec<usize> {
    let share = *[0.0, 0.0, 0.6, 1.0].choose(random).unwrap_or(&0.0);
    let first = random.random_range(0..instances);
    let drawn = (0..instances).filter(|n| *n == first || random.random_bool(share));
    drawn.collect()
}

fn draw_mode(random: &mut ChaCha8Rng) -> PathMode {
    match random.random_range(0..4) {
        0 => PathMode::Delayed(random.random_range(DELAY_MS.0..=DELAY_MS.1)),
        1 => PathMode::Resets,
        2 => PathMode::Silent,
        _ => PathMode::OneWay,
    }
}

fn draw_store(random: &mut ChaCha8Rng) -> StoreTrouble {
    match random.random_range(0..6) {
        0 => StoreTrouble::Refuses,
        1 => StoreTrouble::Resets,
        2 => StoreTrouble::Silent,
        3 => StoreTrouble::Slow(random.random_range(DELAY_MS.0..=DELAY_MS.1)),
        4 => StoreTrouble::Loses,
        _ => StoreTrouble::Late,
    }
}

fn draw_endpoint(random: &mut ChaCha8Rng) -> EndpointTrouble {
    match random.random_range(0..5) {
        0 => EndpointTrouble::Loses,
        1 => EndpointTrouble::Cuts,
        2 => EndpointTrouble::Refuses,
        3 => EndpointTrouble::Slow,
        _ => EndpointTrouble::Silent,
    }
}
