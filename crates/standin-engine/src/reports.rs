//! Load reports, which lag, and cache events, which come late and with gaps.

use std::{collections::VecDeque, time::Duration};

use bluebell_core::clock::{ClockTime, TimeSpan};
use bluebell_endpoint::api::{CacheEvent, LoadReport};
use rocket::{Route, State, get, routes, serde::json::Json};

use crate::{
    power::PoweredOn,
    state::{EngineState, SharedState},
};

/// How often the load is sampled.
const SAMPLE_PAUSE: Duration = Duration::from_millis(100);

/// Samples of the load, oldest first.
#[derive(Debug, Default)]
pub(crate) struct LoadSamples {
    samples: VecDeque<LoadReport>,
}

impl LoadSamples {
    /// Adds a sample and drops those that no report can be made of any more.
    fn push(&mut self, lag: TimeSpan, sample: LoadReport) {
        let now = sample.measured_at;
        while self.samples.len() > 1 && now.since(self.samples[1].measured_at) >= lag {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
    }

    /// The latest sample that is at least `lag` old, or the oldest there is.
    fn report(&self, now: ClockTime, lag: TimeSpan) -> Option<LoadReport> {
        let late = |sample: &&LoadReport| now.since(sample.measured_at) >= lag;
        let sample = self.samples.iter().rev().find(late);
        let sample = sample.or(self.samples.front())?;
        Some(LoadReport {
            age: now.since(sample.measured_at),
            ..sample.clone()
        })
    }
}

/// Samples the load until the engine stops.
pub(crate) async fn sample(state: SharedState) {
    loop {
        let sample = current(&state);
        state.lock().samples.push(state.settings.report_lag, sample);
        tokio::select! {
            () = state.token.cancelled() => return,
            () = tokio::time::sleep(SAMPLE_PAUSE) => {}
        }
    }
}

fn current(state: &EngineState) -> LoadReport {
    let parts = state.lock();
    LoadReport {
        measured_at: state.clock.now(),
        age: TimeSpan::ZERO,
        waiting: parts.batch.waiting() as u64,
        running: parts.batch.running() as u64,
        prefill_backlog: parts.batch.prefill_backlog(),
        kv_used: parts.batch.kv_used(),
        kv_capacity: state.settings.memory.kv_capacity,
    }
}

#[get("/load")]
fn load(state: &State<SharedState>, _power: PoweredOn) -> Json<LoadReport> {
    let now = state.clock.now();
    let report = state.lock().samples.report(now, state.settings.report_lag);
    Json(report.unwrap_or_else(|| current(state)))
}

#[get("/cache-events?<from>")]
fn cache_events(state: &State<SharedState>, from: Option<u64>) -> Json<Vec<CacheEvent>> {
    let now = state.clock.now();
    let lag = state.settings.event_lag;
    let parts = state.lock();
    Json(parts.cache.events(now, lag, from.unwrap_or(0)))
}

pub(crate) fn routes() -> Vec<Route> {
    routes![load, cache_events]
}
