//! How fast each engine prefills, as learned from its prefills and exchanged between instances.
//!
//! The engines of one service may differ in speed by a factor of two. An instance that learns
//! an engine's speed reports it, so that all instances assign the parts of prompts to engines
//! by the same speeds.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    clock::{ClockTime, TimeSpan},
    placement::{EngineKey, PrefillSample, engine::FIXED_LATENCY_MS},
};

/// Number of speed classes in a doubling of the speed.
const CLASSES_PER_DOUBLING: f64 = 8.0;
/// Lowest and highest class: 4 and 1,024 tokens per ms.
const CLASS_BOUNDS: (i32, i32) = (16, 80);
/// By how many classes an estimate has to differ from the class in force to change it.
/// Each change moves parts of prompts to engines that have to prefill them again.
const CHANGE_MARGIN: f64 = 1.0;

/// Minimum size in tokens of a prefill that shows the speed; the time of smaller ones is
/// mostly fixed cost.
const MIN_SAMPLE_TOKENS: u64 = 1_500;
/// Number of samples that are kept for an engine.
const MAX_SAMPLES: usize = 12;
/// Minimum number of samples for an estimate.
const MIN_SAMPLES: usize = 5;
/// How long a sample is kept.
const SAMPLE_TTL: TimeSpan = TimeSpan::from_millis(60_000);
/// The estimate is the time that this share of the samples went below. Some samples are slow
/// because of work that the sender didn't know of.
const SAMPLE_QUANTILE: f64 = 0.35;

/// How long a class is in force without a prefill that confirms it.
const CLASS_TTL: TimeSpan = TimeSpan::from_millis(180_000);
/// Age at which the samples of a report count half as much as new ones.
const EVIDENCE_HALF_LIFE_MS: f64 = 10_000.0;
/// How many times a changed class is reported ahead of the others, as datagrams can be lost.
const CHANGE_REPEATS: u32 = 3;
/// Maximum number of engines of which classes are kept, or samples.
const MAX_ENGINES: usize = 8_000;

/// The speed at which an engine prefills, in steps of an eighth of a doubling.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SpeedClass(i32);

impl SpeedClass {
    /// The class with this number; 0 is one token per ms. Numbers beyond the bounds give the
    /// lowest or the highest class.
    pub fn new(number: i32) -> SpeedClass {
        SpeedClass(number.clamp(CLASS_BOUNDS.0, CLASS_BOUNDS.1))
    }

    /// The number of the class.
    pub fn number(self) -> i32 {
        self.0
    }

    /// By what factor engines of this class are faster than those of `other`.
    pub fn relative_to(self, other: SpeedClass) -> f64 {
        (f64::from(self.0 - other.0) / CLASSES_PER_DOUBLING).exp2()
    }
}

/// What an instance tells the others of the speed of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpeedReport {
    /// The engine.
    pub engine: EngineKey,
    /// Its class.
    pub class: SpeedClass,
    /// Number of prefills that the class follows from.
    pub samples: u32,
    /// Time since the last of them.
    pub age: TimeSpan,
}

/// A class that has come into force for an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpeedChange {
    /// The engine.
    pub engine: EngineKey,
    /// The class that was in force before; `None` if there was none.
    pub old: Option<SpeedClass>,
    /// The class that is in force now.
    pub new: SpeedClass,
    /// Number of prefills that it follows from.
    pub samples: u32,
}

/// From where an instance knows the class of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SpeedSource {
    /// From samples that it received itself.
    Samples,
    /// From an instance of its own failure domain.
    SameDomain,
    /// From another failure domain.
    OtherDomain,
}

#[derive(Clone, Copy, Debug)]
struct KnownSpeed {
    class: SpeedClass,
    samples: u32,
    evidence_at: ClockTime,
    source: SpeedSource,
    /// How many times the class is still to be reported ahead of others.
    repeats: u32,
}

impl KnownSpeed {
    /// The number of samples, the older the fewer.
    fn strength(&self, now: ClockTime) -> f64 {
        strength(self.samples, now.since(self.evidence_at))
    }
}

fn strength(samples: u32, age: TimeSpan) -> f64 {
    f64::from(samples) * (-(age.as_millis() as f64) / EVIDENCE_HALF_LIFE_MS).exp2()
}

/// The speed that one prefill shows, in classes.
#[derive(Clone, Copy, Debug)]
struct SpeedSample {
    at: ClockTime,
    speed: f64,
}

/// The speeds of engines, as known to one instance.
#[derive(Clone, Debug, Default)]
pub struct EngineSpeeds {
    known: BTreeMap<EngineKey, KnownSpeed>,
    samples: BTreeMap<EngineKey, VecDeque<SpeedSample>>,
    /// The engine that was reported last, by the widest source that was asked for.
    reported: BTreeMap<SpeedSource, EngineKey>,
}

impl EngineSpeeds {
    /// Creates a record without any engine.
    pub fn new() -> EngineSpeeds {
        EngineSpeeds::default()
    }

    /// The class in force for an engine; `None` if its speed is unknown.
    pub fn class(&self, engine: EngineKey) -> Option<SpeedClass> {
        self.known.get(&engine).map(|known| known.class)
    }

    /// The class in force for an engine with its evidence; `None` if its speed is unknown.
    pub fn report(&self, now: ClockTime, engine: EngineKey) -> Option<SpeedReport> {
        let known = self.known.get(&engine)?;
        Some(SpeedReport {
            engine,
            class: known.class,
            samples: known.samples,
            age: now.since(known.evidence_at),
        })
    }

    /// Records a prefill. Returns the class that comes into force by it.
    pub fn note_sample(&mut self, now: ClockTime, sample: PrefillSample) -> Option<SpeedChange> {
        let speed = measured_speed(&sample)?;
        if self.samples.len() >= MAX_ENGINES {
            self.sweep(now);
        }
        if self.samples.len() >= MAX_ENGINES && !self.samples.contains_key(&sample.engine) {
            return None;
        }
        let kept = self.samples.entry(sample.engine).or_default();
        kept.push_back(SpeedSample { at: now, speed });
        if kept.len() > MAX_SAMPLES {
            kept.pop_front();
        }
        kept.retain(|sample| now.since(sample.at) < SAMPLE_TTL);
        let estimate = estimated_speed(kept)?;
        let class = match self.class(sample.engine) {
            Some(class) if (estimate - f64::from(class.0)).abs() < CHANGE_MARGIN => class,
            _ => SpeedClass::new(estimate.round() as i32),
        };
        let report = SpeedReport {
            engine: sample.engine,
            class,
            samples: self.samples[&sample.engine].len() as u32,
            age: TimeSpan::ZERO,
        };
        self.note(now, report, SpeedSource::Samples)
    }

    /// Records what another instance reports. Returns the class that comes into force by it.
    ///
    /// Of two reports for an engine, the one with more samples counts, where older samples
    /// count less.
    pub fn note_report(
        &mut self,
        now: ClockTime,
        report: SpeedReport,
        source: SpeedSource,
    ) -> Option<SpeedChange> {
        if report.age >= CLASS_TTL {
            return None;
        }
        self.note(now, report, source)
    }

    fn note(
        &mut self,
        now: ClockTime,
        report: SpeedReport,
        source: SpeedSource,
    ) -> Option<SpeedChange> {
        let old = self.known.get(&report.engine).copied();
        let continues = old.is_some_and(|old| {
            old.source == SpeedSource::Samples && source == SpeedSource::Samples
        });
        let is_weaker =
            old.is_some_and(|old| strength(report.samples, report.age) <= old.strength(now));
        if is_weaker && !continues {
            return None;
        }
        if old.is_none() && self.known.len() >= MAX_ENGINES {
            self.sweep(now);
            if self.known.len() >= MAX_ENGINES {
                return None;
            }
        }
        let is_change = old.is_none_or(|old| old.class != report.class);
        let known = KnownSpeed {
            class: report.class,
            samples: report.samples,
            evidence_at: ClockTime::from_millis(
                now.as_millis().saturating_sub(report.age.as_millis()),
            ),
            source,
            repeats: match is_change {
                true => CHANGE_REPEATS,
                false => old.map_or(0, |old| old.repeats),
            },
        };
        self.known.insert(report.engine, known);
        is_change.then_some(SpeedChange {
            engine: report.engine,
            old: old.map(|old| old.class),
            new: report.class,
            samples: report.samples,
        })
    }

    /// Returns at most `most` reports of what is known from `source` or closer by, to be
    /// sent: the classes that changed, then the others in turn.
    pub fn reports(
        &mut self,
        now: ClockTime,
        source: SpeedSource,
        most: usize,
    ) -> Vec<SpeedReport> {
        self.remove_expired(now);
        let is_reported = |known: &KnownSpeed| known.source <= source;
        let last = self.reported.get(&source).copied();
        let mut changed = Vec::new();
        let mut later = Vec::new();
        let mut earlier = Vec::new();
        for (engine, known) in self.known.iter().filter(|(_, known)| is_reported(known)) {
            match known.repeats {
                0 if last.is_none_or(|last| *engine > last) => later.push(*engine),
                0 => earlier.push(*engine),
                _ => changed.push(*engine),
            }
        }
        changed.truncate(most);
        let in_turn = later.into_iter().chain(earlier);
        let in_turn: Vec<EngineKey> = in_turn.take(most - changed.len()).collect();
        if let Some(last) = in_turn.last() {
            self.reported.insert(source, *last);
        }
        changed.extend(in_turn);
        let reports = changed.into_iter().filter_map(|engine| {
            let known = self.known.get_mut(&engine)?;
            known.repeats = known.repeats.saturating_sub(1);
            self.report(now, engine)
        });
        reports.collect()
    }

    /// Removes what is known of an engine that has ended.
    pub fn remove_engine(&mut self, engine: EngineKey) {
        self.known.remove(&engine);
        self.samples.remove(&engine);
    }

    /// Removes classes that no prefill has confirmed for some minutes, and old samples.
    /// Returns whether a class was removed.
    pub fn sweep(&mut self, now: ClockTime) -> bool {
        self.samples.retain(|_, kept| {
            kept.back()
                .is_some_and(|sample| now.since(sample.at) < SAMPLE_TTL)
        });
        self.remove_expired(now)
    }

    fn remove_expired(&mut self, now: ClockTime) -> bool {
        let before = self.known.len();
        self.known
            .retain(|_, known| now.since(known.evidence_at) < CLASS_TTL);
        self.known.len() < before
    }
}

/// The speed that a prefill shows, in classes; `None` if it is too small.
fn measured_speed(sample: &PrefillSample) -> Option<f64> {
    if sample.tokens < MIN_SAMPLE_TOKENS {
        return None;
    }
    let prefill_ms = (sample.elapsed.as_millis() as f64 - FIXED_LATENCY_MS).max(1.0);
    let slowdown = sample.stage_slowdown();
    let speed = (sample.tokens as f64 / prefill_ms * slowdown).log2() * CLASSES_PER_DOUBLING;
    Some(speed.clamp(f64::from(CLASS_BOUNDS.0), f64::from(CLASS_BOUNDS.1)))
}

/// The speed that the faster samples show; `None` if there are too few.
fn estimated_speed(samples: &VecDeque<SpeedSample>) -> Option<f64> {
    if samples.len() < MIN_SAMPLES {
        return None;
    }
    let mut speeds: Vec<f64> = samples.iter().map(|sample| sample.speed).collect();
    speeds.sort_by(|a, b| b.total_cmp(a));
    let index = ((speeds.len() - 1) as f64 * SAMPLE_QUANTILE) as usize;
    speeds.get(index).copied()
}
