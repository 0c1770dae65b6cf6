//! The datagrams with which instances report loads of engines to trackers and ask for them.

use bluebell_core::{
    clock::TimeSpan,
    placement::{DueLoads, EngineKey, EngineLoad, PRIORITY_RANKS, PrefillSample, TrackedLoad},
};
use prost::{Message, Oneof};

/// What a datagram about loads of engines contains.
#[derive(Clone, PartialEq, Message)]
pub struct EngineLoadMessage {
    /// The content.
    #[prost(oneof = "EngineLoadContent", tags = "1, 2, 3")]
    pub content: Option<EngineLoadContent>,
}

/// The content of an [`EngineLoadMessage`].
#[derive(Clone, PartialEq, Oneof)]
pub enum EngineLoadContent {
    /// Loads that the sender has placed on engines.
    #[prost(message, tag = "1")]
    Report(LoadReport),
    /// Asks for the loads of engines.
    #[prost(message, tag = "2")]
    Query(LoadQuery),
    /// The answer to a query.
    #[prost(message, tag = "3")]
    Answer(LoadAnswer),
}

/// An engine, and its load where one is told.
#[derive(Clone, PartialEq, Message)]
pub struct EngineRecord {
    /// The engine, by the hash of its id.
    #[prost(fixed64, tag = "1")]
    pub engine: u64,
    /// The time of the engine's start in ms.
    #[prost(uint64, tag = "2")]
    pub start: u64,
    /// Queued prefill work in ms, by urgency.
    #[prost(uint32, repeated, tag = "3")]
    pub prefill_ms: Vec<u32>,
    /// The number of running requests.
    #[prost(uint32, tag = "4")]
    pub running: u32,
    /// The age in ms of the oldest report in an answer.
    #[prost(uint32, tag = "5")]
    pub oldest_ms: u32,
}

impl EngineRecord {
    /// Names an engine.
    pub fn new(engine: EngineKey) -> EngineRecord {
        EngineRecord {
            engine: engine.hash,
            start: engine.start,
            ..EngineRecord::default()
        }
    }

    /// Adds the engine's load.
    pub fn with_load(mut self, load: &EngineLoad) -> EngineRecord {
        if load.prefill_ms.iter().any(|work| *work > 0.0) {
            let works = load.prefill_ms.iter();
            self.prefill_ms = works.map(|work| work.ceil() as u32).collect();
        }
        self.running = load.running;
        self
    }

    /// The engine.
    pub fn key(&self) -> EngineKey {
        EngineKey {
            hash: self.engine,
            start: self.start,
        }
    }

    /// The engine's load.
    pub fn load(&self) -> EngineLoad {
        let mut load = EngineLoad {
            running: self.running,
            ..EngineLoad::default()
        };
        let works = self.prefill_ms.iter().take(PRIORITY_RANKS);
        for (rank, work) in works.enumerate() {
            load.prefill_ms[rank] = f64::from(*work);
        }
        load
    }
}

/// A prefill that an engine did while nothing else was known to be queued there.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SampleRecord {
    /// The engine, by the hash of its id.
    #[prost(fixed64, tag = "1")]
    pub engine: u64,
    /// The time of the engine's start in ms.
    #[prost(uint64, tag = "2")]
    pub start: u64,
    /// Tokens that were prefilled.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// The time that it took in ms.
    #[prost(uint64, tag = "4")]
    pub elapsed_ms: u64,
    /// Whether the engine was in the decode stage.
    #[prost(bool, tag = "5")]
    pub is_decode_stage: bool,
}

impl SampleRecord {
    /// Encodes a sample.
    pub fn new(sample: &PrefillSample) -> SampleRecord {
        SampleRecord {
            engine: sample.engine.hash,
            start: sample.engine.start,
            tokens: sample.tokens,
            elapsed_ms: sample.elapsed.as_millis(),
            is_decode_stage: sample.is_decode_stage,
        }
    }

    /// Decodes the sample.
    pub fn sample(&self) -> PrefillSample {
        PrefillSample {
            engine: EngineKey {
                hash: self.engine,
                start: self.start,
            },
            tokens: self.tokens,
            elapsed: TimeSpan::from_millis(self.elapsed_ms),
            is_decode_stage: self.is_decode_stage,
        }
    }
}

/// The complete loads that the sender has placed on some engines.
#[derive(Clone, PartialEq, Message)]
pub struct LoadReport {
    /// The sender.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// The time of the sender's start in ms.
    #[prost(uint64, tag = "2")]
    pub start: u64,
    /// Rises with each report of the sender.
    #[prost(uint64, tag = "3")]
    pub counter: u64,
    /// The engines with their loads.
    #[prost(message, repeated, tag = "4")]
    pub loads: Vec<EngineRecord>,
    /// Prefills that ended since the last report.
    #[prost(message, repeated, tag = "5")]
    pub samples: Vec<SampleRecord>,
}

impl LoadReport {
    /// Encodes loads and samples; the sender is left empty.
    pub fn new(loads: &DueLoads, samples: &[PrefillSample]) -> LoadReport {
        let loads = loads
            .iter()
            .map(|(engine, load)| EngineRecord::new(*engine).with_load(load));
        LoadReport {
            loads: loads.collect(),
            samples: samples.iter().map(SampleRecord::new).collect(),
            ..LoadReport::default()
        }
    }
}

/// Asks a tracker for the loads of engines; without engines, whether it answers.
#[derive(Clone, PartialEq, Message)]
pub struct LoadQuery {
    /// Identifies the query in the answer.
    #[prost(fixed64, tag = "1")]
    pub number: u64,
    /// The sender, whose own load is left out of the answer.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// The engines.
    #[prost(message, repeated, tag = "3")]
    pub engines: Vec<EngineRecord>,
}

/// The loads of the engines of a query, as known to the sender.
#[derive(Clone, PartialEq, Message)]
pub struct LoadAnswer {
    /// The number of the query.
    #[prost(fixed64, tag = "1")]
    pub number: u64,
    /// The sender.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// The loads.
    #[prost(message, repeated, tag = "3")]
    pub loads: Vec<EngineRecord>,
}

impl LoadAnswer {
    /// Encodes an answer of `instance` to the query with this number.
    pub fn new<Loads>(number: u64, instance: &str, loads: Loads) -> LoadAnswer
    where
        Loads: Iterator<Item = TrackedLoad>,
    {
        let loads = loads.map(|tracked| EngineRecord {
            oldest_ms: tracked.oldest.as_millis() as u32,
            ..EngineRecord::new(tracked.engine).with_load(&tracked.load)
        });
        LoadAnswer {
            number,
            instance: instance.to_string(),
            loads: loads.collect(),
        }
    }

    /// Decodes the loads.
    pub fn tracked(&self) -> impl Iterator<Item = TrackedLoad> + '_ {
        self.loads.iter().map(|record| TrackedLoad {
            engine: record.key(),
            load: record.load(),
            oldest: TimeSpan::from_millis(u64::from(record.oldest_ms)),
        })
    }
}
