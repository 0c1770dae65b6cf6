//! The speeds of a table's engines: which are in force, and how they weigh in choices.

use std::collections::BTreeMap;

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{EndpointId, ServiceName},
    placement::{
        EngineKey, EngineSpeeds, EngineTable, PrefillSample, SpeedChange, SpeedClass, SpeedReport,
        SpeedSource, engine::EngineState,
    },
};

/// Number of values of a hash.
const HASH_RANGE: f64 = u64::MAX as f64 + 1.0;

/// The classes of the engines, and what they are relative to.
#[derive(Clone, Debug, Default)]
pub(super) struct AppliedSpeeds {
    known: EngineSpeeds,
    /// Whether speeds are learned and applied.
    are_applied: bool,
    typical: BTreeMap<ServiceName, SpeedClass>,
}

impl AppliedSpeeds {
    /// The speed of an engine of `service` relative to the typical one; 1 if it is unknown.
    pub(super) fn factor(&self, key: EngineKey, service: &ServiceName) -> f64 {
        match (self.typical.get(service), self.known.class(key)) {
            (Some(typical), Some(class)) => class.relative_to(*typical),
            _ => 1.0,
        }
    }

    /// Removes what is known of an engine that has ended.
    pub(super) fn remove_engine(&mut self, key: EngineKey) {
        self.known.remove_engine(key);
    }
}

impl EngineTable {
    /// Sets whether the speeds of engines are learned and applied. Where few instances share
    /// the engines, the queue of each engine is known well enough.
    pub fn set_speeds_applied(&mut self, are_applied: bool) {
        if self.speeds.are_applied != are_applied {
            self.speeds.are_applied = are_applied;
            self.update_speed_factors();
        }
    }

    /// Records a prefill of an engine that this instance tracks. Returns the class that comes
    /// into force by it.
    pub fn note_sample(&mut self, now: ClockTime, sample: PrefillSample) -> Option<SpeedChange> {
        if !self.speeds.are_applied {
            return None;
        }
        let change = self.speeds.known.note_sample(now, sample)?;
        self.update_speed_factors();
        Some(change)
    }

    /// Records the classes that another instance reports. Returns those that come into force.
    pub fn note_speeds(
        &mut self,
        now: ClockTime,
        reports: &[SpeedReport],
        source: SpeedSource,
    ) -> Vec<SpeedChange> {
        if !self.speeds.are_applied {
            return Vec::new();
        }
        let reports = reports.iter();
        let changes =
            reports.filter_map(|report| self.speeds.known.note_report(now, *report, source));
        let changes: Vec<SpeedChange> = changes.collect();
        if !changes.is_empty() {
            self.update_speed_factors();
        }
        changes
    }

    /// Returns at most `most` reports of what is known from `source` or closer by.
    pub fn speed_reports(
        &mut self,
        now: ClockTime,
        source: SpeedSource,
        most: usize,
    ) -> Vec<SpeedReport> {
        match self.speeds.are_applied {
            true => self.speeds.known.reports(now, source, most),
            false => Vec::new(),
        }
    }

    /// Removes classes that no prefill has confirmed for some minutes.
    pub fn sweep_speeds(&mut self, now: ClockTime) {
        if self.speeds.known.sweep(now) {
            self.update_speed_factors();
        }
    }

    /// Returns the speed of an engine relative to the typical one of its service; 1 if it is
    /// unknown.
    pub fn speed_factor(&self, id: &EndpointId) -> Option<f64> {
        self.engines.get(id).map(|state| state.speed_factor)
    }

    /// Returns the id of the engine that `key` names, if it is registered.
    pub fn engine_id(&self, key: EngineKey) -> Option<&EndpointId> {
        let id = self.by_hash.get(&key.hash)?;
        let state = self.engines.get(id)?;
        (state.start == key.start).then_some(id)
    }

    /// Returns what is known of the speeds of engines, for operators.
    pub fn speed_status(&self, now: ClockTime) -> Vec<SpeedStatus> {
        let states = self.engines.iter();
        let known = states.filter_map(|(id, state)| {
            let report = self.speeds.known.report(now, state.key())?;
            Some(SpeedStatus {
                engine: id.clone(),
                class: report.class.number(),
                relative_speed: state.speed_factor,
                samples: report.samples,
                age: report.age,
            })
        });
        known.collect()
    }

    /// Returns the number of engines for each speed relative to the typical one, in percent;
    /// `None` stands for an unknown speed.
    pub fn engines_by_speed(&self) -> BTreeMap<Option<u32>, usize> {
        let mut counts = BTreeMap::new();
        for state in self.engines.values() {
            let class = self.speeds.known.class(state.key());
            let percent = class.map(|_| (state.speed_factor * 100.0).round() as u32);
            *counts.entry(percent).or_default() += 1;
        }
        counts
    }

    /// Computes the speed of each engine relative to the median of its service.
    fn update_speed_factors(&mut self) {
        self.speeds.typical = match self.speeds.are_applied {
            true => self.median_classes(),
            false => BTreeMap::new(),
        };
        let factors: Vec<f64> = self
            .engines
            .values()
            .map(|state| self.speeds.factor(state.key(), &state.service))
            .collect();
        for (state, factor) in self.engines.values_mut().zip(factors) {
            state.speed_factor = factor;
        }
    }

    fn median_classes(&self) -> BTreeMap<ServiceName, SpeedClass> {
        let mut classes: BTreeMap<&ServiceName, Vec<SpeedClass>> = BTreeMap::new();
        for state in self.engines.values() {
            if let Some(class) = self.speeds.known.class(state.key()) {
                classes.entry(&state.service).or_default().push(class);
            }
        }
        let medians = classes.into_iter().map(|(service, mut classes)| {
            classes.sort();
            (service.clone(), classes[(classes.len() - 1) / 2])
        });
        medians.collect()
    }
}

/// What is known of the speed of one engine.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SpeedStatus {
    /// The engine.
    pub engine: EndpointId,
    /// The number of its class.
    pub class: i32,
    /// Its speed relative to the typical one of its service.
    pub relative_speed: f64,
    /// Number of prefills that the class follows from.
    pub samples: u32,
    /// Time since the last of them.
    pub age: TimeSpan,
}

/// Returns the engine that weighted rendezvous hashing assigns a part to. With equal speeds it
/// is the one with the highest hash; if one speed changes, only parts that are assigned to
/// that engine, before or after, move.
pub(super) fn weighted_rendezvous<'a, Engines>(
    engines: Engines,
    part: u64,
) -> Option<&'a EngineState>
where
    Engines: Iterator<Item = &'a EngineState> + Clone,
{
    let speed = engines.clone().next()?.speed_factor;
    let are_equal = engines.clone().all(|state| state.speed_factor == speed);
    let hash = |state: &EngineState| xxh3_64_with_seed(&state.hash.to_le_bytes(), part);
    let score = |state: &EngineState| {
        let uniform = (hash(state) as f64 + 0.5) / HASH_RANGE;
        state.speed_factor / -uniform.min(1.0 - f64::EPSILON).ln()
    };
    match are_equal {
        true => engines.max_by_key(|state| hash(state)),
        false => engines.max_by(|a, b| score(a).total_cmp(&score(b))),
    }
}
