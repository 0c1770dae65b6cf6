//! The speeds of engines: learning them from prefills, and reporting them to the other
//! instances.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    placement::{EngineKey, PrefillSample, SpeedChange, SpeedClass, SpeedReport, SpeedSource},
};
use bluebell_daemon::logs::LogLine;
use prost::Message;

use crate::{context::EntryContext, peers::messages::PeerMessage};

/// Maximum number of speeds in one datagram.
const MAX_SPEEDS_PER_DATAGRAM: usize = 32;

/// The speed of one engine.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct SpeedMessage {
    /// The engine, by the hash of its id.
    #[prost(fixed64, tag = "1")]
    pub engine: u64,
    /// The time of the engine's start in ms, by its own clock.
    #[prost(uint64, tag = "2")]
    pub start: u64,
    /// The number of its class.
    #[prost(sint32, tag = "3")]
    pub class: i32,
    /// The number of prefills that the class follows from.
    #[prost(uint32, tag = "4")]
    pub samples: u32,
    /// The time in ms since the last of them.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
}

impl SpeedMessage {
    /// Encodes a report.
    pub fn new(report: &SpeedReport) -> SpeedMessage {
        SpeedMessage {
            engine: report.engine.hash,
            start: report.engine.start,
            class: report.class.number(),
            samples: report.samples,
            age_ms: report.age.as_millis(),
        }
    }

    /// Decodes the report.
    pub fn report(&self) -> SpeedReport {
        SpeedReport {
            engine: EngineKey {
                hash: self.engine,
                start: self.start,
            },
            class: SpeedClass::new(self.class),
            samples: self.samples,
            age: TimeSpan::from_millis(self.age_ms),
        }
    }
}

impl PeerMessage {
    /// Sets the speeds of engines.
    pub fn with_speeds(mut self, speeds: Vec<SpeedMessage>) -> PeerMessage {
        self.speeds = speeds;
        self
    }
}

/// Learns from the prefills that were reported since the last call.
pub fn note_samples(context: &EntryContext) {
    for sample in context.engine_loads.take_samples() {
        note_sample(context, sample);
    }
}

fn note_sample(context: &EntryContext, sample: PrefillSample) {
    let now = context.now();
    let change = context.engines.lock().note_sample(now, sample);
    if let Some(change) = change {
        note_change(context, &change, "prefills");
    }
}

/// The speeds known from `source` or closer by, for the next datagram.
pub fn speed_messages(
    context: &EntryContext,
    now: ClockTime,
    source: SpeedSource,
) -> Vec<SpeedMessage> {
    let mut engines = context.engines.lock();
    let reports = engines.speed_reports(now, source, MAX_SPEEDS_PER_DATAGRAM);
    reports.iter().map(SpeedMessage::new).collect()
}

/// Applies the speeds that another instance reports.
pub fn note_speeds(
    context: &EntryContext,
    now: ClockTime,
    messages: &[SpeedMessage],
    is_same_domain: bool,
) {
    if messages.is_empty() {
        return;
    }
    let source = match is_same_domain {
        true => SpeedSource::SameDomain,
        false => SpeedSource::OtherDomain,
    };
    let reports: Vec<SpeedReport> = messages.iter().map(SpeedMessage::report).collect();
    let changes = context.engines.lock().note_speeds(now, &reports, source);
    for change in changes {
        note_change(context, &change, "report");
    }
}

/// Updates the number of engines by their speed.
pub fn update_speed_metrics(context: &EntryContext) {
    let counts = context.engines.lock().engines_by_speed();
    let gauge = &context.metrics.engines_by_speed;
    gauge.reset();
    for (percent, count) in counts {
        let label = percent.map_or("unknown".to_string(), |percent| percent.to_string());
        gauge.with_label_values(&[&label]).set(count as i64);
    }
}

fn note_change(context: &EntryContext, change: &SpeedChange, source: &str) {
    let changes = &context.metrics.speed_changes;
    changes.with_label_values(&[source]).inc();
    // Each change is logged where it was learned.
    if source != "prefills" {
        return;
    }
    let engine = context.engines.lock().engine_id(change.engine).cloned();
    let class = |class: SpeedClass| class.number().to_string();
    LogLine::new("engine_speed_changed")
        .with("engine", engine.map_or(String::new(), |id| id.to_string()))
        .with("old", change.old.map_or("unknown".to_string(), class))
        .with("new", class(change.new))
        .with("samples", change.samples)
        .info();
}
