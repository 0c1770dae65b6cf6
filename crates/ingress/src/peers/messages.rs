//! What entries write and say about themselves.

use std::io;

use bluebell_core::{
    directory::EngineStage,
    ids::{FailureDomain, LogOffset, ServiceName},
    placement::{EngineLoad, RANKS, ToldLoad, ToldPart},
    provision::EngineDemand,
    relay::{CopyPlace, CopyState},
    units::ByteSize,
    usage::MeterWriter,
};
use prost::Message;

use crate::{
    compression::{compress, decompress},
    steward::UsageRecord,
};

/// The most bytes that the changes of one datagram may have when they are unpacked.
const CHANGES_LIMIT: ByteSize = ByteSize::new(1_000_000);

/// An instance's registration in the store.
#[derive(Clone, PartialEq, Message)]
pub struct PeerRecord {
    /// Where it listens for datagrams.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Tells its starts apart.
    #[prost(uint64, tag = "2")]
    pub start: u64,
    /// Its failure domain.
    #[prost(string, tag = "3")]
    pub domain: String,
}

/// What an instance has at one engine.
#[derive(Clone, PartialEq, Message)]
pub struct LoadMessage {
    /// The engine, by the hash of its id.
    #[prost(fixed64, tag = "1")]
    pub engine: u64,
    /// Prefill work in ms, by urgency.
    #[prost(uint32, repeated, tag = "2")]
    pub prefill_ms: Vec<u32>,
    /// Requests that run.
    #[prost(uint32, tag = "3")]
    pub running: u32,
}

/// Parts that were sent to one engine.
#[derive(Clone, PartialEq, Message)]
pub struct PartsMessage {
    /// The engine, by the hash of its id.
    #[prost(fixed64, tag = "1")]
    pub engine: u64,
    /// The parts.
    #[prost(fixed64, repeated, tag = "2")]
    pub parts: Vec<u64>,
}

/// One datagram.
#[derive(Clone, PartialEq, Message)]
pub struct PeerMessage {
    /// Who tells.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Everything that it has at engines.
    #[prost(message, repeated, tag = "2")]
    pub loads: Vec<LoadMessage>,
    /// Parts sent since its last datagram.
    #[prost(message, repeated, tag = "3")]
    pub parts: Vec<PartsMessage>,
    /// Stages that this instance ordered lately, as the steward.
    #[prost(message, repeated, tag = "4")]
    pub stages: Vec<StageMessage>,
    /// Tells the starts of the instance apart.
    #[prost(uint64, tag = "5")]
    pub start: u64,
    /// Its failure domain.
    #[prost(string, tag = "6")]
    pub domain: String,
    /// Its clock, in ms.
    #[prost(uint64, tag = "7")]
    pub stamp: u64,
    /// The last stamp that it received from the receiver.
    #[prost(uint64, tag = "8")]
    pub echo: u64,
    /// What the reader of a failure domain tells the others there.
    #[prost(message, optional, tag = "9")]
    pub relay: Option<RelayMessage>,
    /// What the sender counted, for the reader of its failure domain to publish.
    #[prost(message, optional, tag = "10")]
    pub usage: Option<UsageRecord>,
    /// Whether loads and parts are told: none means that there are none.
    #[prost(bool, tag = "11")]
    pub says_loads: bool,
    /// Engines that refused the sender lately, by the hashes of their ids.
    #[prost(fixed64, repeated, tag = "12")]
    pub refusing: Vec<u64>,
    /// What the sender's requests ask of engines.
    #[prost(message, repeated, tag = "13")]
    pub demands: Vec<DemandMessage>,
    /// What the requests of all entries of the sender's failure domain ask of engines,
    /// for other failure domains.
    #[prost(message, repeated, tag = "14")]
    pub domain_demands: Vec<DemandMessage>,
}

/// What an instance's requests ask of the engines of a service.
#[derive(Clone, PartialEq, Message)]
pub struct DemandMessage {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Thousandths of an engine that prefills.
    #[prost(uint32, tag = "2")]
    pub prefill: u32,
    /// Thousandths of an engine whose slots or memory are taken by what runs.
    #[prost(uint32, tag = "3")]
    pub held: u32,
    /// Hundredths of requests that run.
    #[prost(uint32, tag = "4")]
    pub running: u32,
    /// Thousandths of the speed of a request that has an engine for itself; 0 if it
    /// is not known.
    #[prost(uint32, tag = "5")]
    pub speed: u32,
}

impl DemandMessage {
    /// The demand as it is told.
    pub fn new(service: &ServiceName, demand: EngineDemand) -> DemandMessage {
        let thousandths = |figure: f64| (figure * 1_000.0).round() as u32;
        DemandMessage {
            service: service.to_string(),
            prefill: thousandths(demand.prefill),
            held: thousandths(demand.held),
            running: (demand.running * 100.0).round() as u32,
            speed: demand.speed.map_or(0, thousandths),
        }
    }

    /// The demand as the slices know it.
    pub fn demand(&self) -> EngineDemand {
        let figure = |thousandths: u32| f64::from(thousandths) / 1_000.0;
        EngineDemand {
            prefill: figure(self.prefill),
            held: figure(self.held),
            running: f64::from(self.running) / 100.0,
            speed: (self.speed > 0).then(|| figure(self.speed)),
        }
    }
}

/// What differs between the receivers of a datagram; it is appended to the part
/// that is the same for all, which makes it one message.
#[derive(Clone, PartialEq, Message)]
pub struct ReceiverPart {
    /// As in [`PeerMessage`].
    #[prost(uint64, tag = "8")]
    pub echo: u64,
    /// As in [`PeerMessage`].
    #[prost(message, optional, tag = "9")]
    pub relay: Option<RelayMessage>,
    /// As in [`PeerMessage`].
    #[prost(message, optional, tag = "10")]
    pub usage: Option<UsageRecord>,
}

/// What a reader knows from the store.
#[derive(Clone, PartialEq, Message)]
pub struct RelayMessage {
    /// The version of the configuration in force.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// How old the knowledge of configuration and keys is, in ms.
    #[prost(uint64, tag = "2")]
    pub keys_age_ms: u64,
    /// How old the knowledge of endpoints is, in ms.
    #[prost(uint64, tag = "3")]
    pub endpoints_age_ms: u64,
    /// The digest of the endpoints.
    #[prost(fixed64, tag = "4")]
    pub digest: u64,
    /// Registrations that changed lately, a compressed [`ChangesMessage`].
    #[prost(bytes = "vec", tag = "5")]
    pub packed_changes: Vec<u8>,
    /// The copy of that version, if there is or will be one.
    #[prost(message, optional, tag = "6")]
    pub copy: Option<CopyMessage>,
    /// The offset of the configuration that the reader reads next.
    #[prost(uint64, tag = "7")]
    pub configuration_next: u64,
}

impl RelayMessage {
    /// The registrations that changed.
    pub fn changes(&self) -> io::Result<Vec<ChangeMessage>> {
        if self.packed_changes.is_empty() {
            return Ok(Vec::new());
        }
        let bytes = decompress(&self.packed_changes, CHANGES_LIMIT)?;
        let message = ChangesMessage::decode(&bytes[..])?;
        Ok(message.changes)
    }
}

/// Registrations as a [`RelayMessage`] carries them.
pub fn pack_changes(changes: Vec<ChangeMessage>) -> io::Result<Vec<u8>> {
    if changes.is_empty() {
        return Ok(Vec::new());
    }
    compress(&ChangesMessage { changes }.encode_to_vec())
}

/// Registrations that changed.
#[derive(Clone, PartialEq, Message)]
struct ChangesMessage {
    /// The newest first.
    #[prost(message, repeated, tag = "1")]
    changes: Vec<ChangeMessage>,
}

/// A copy of the configuration; without records as long as it is being made.
#[derive(Clone, PartialEq, Message)]
pub struct CopyMessage {
    /// The offset of its first record.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// How many records it has.
    #[prost(uint32, tag = "2")]
    pub records: u32,
    /// Its size in bytes.
    #[prost(uint64, tag = "3")]
    pub size: u64,
}

impl CopyMessage {
    /// The state as it is sent.
    pub fn new(state: CopyState) -> Option<CopyMessage> {
        match state {
            CopyState::Absent => None,
            CopyState::Pending => Some(CopyMessage::default()),
            CopyState::Available(place) => Some(CopyMessage {
                offset: place.offset.number(),
                records: place.records,
                size: place.size.count(),
            }),
        }
    }

    /// The state as the slices know it.
    pub fn state(message: Option<&CopyMessage>) -> CopyState {
        match message {
            None => CopyState::Absent,
            Some(message) if message.records == 0 => CopyState::Pending,
            Some(message) => CopyState::Available(CopyPlace {
                offset: LogOffset::new(message.offset),
                records: message.records,
                size: ByteSize::new(message.size),
            }),
        }
    }
}

/// A registration that changed.
#[derive(Clone, PartialEq, Message)]
pub struct ChangeMessage {
    /// The endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// The registration as it lies in the store; none if it is gone.
    #[prost(bytes = "vec", optional, tag = "2")]
    pub value: Option<Vec<u8>>,
    /// For how many ms it is kept although it is gone.
    #[prost(uint64, optional, tag = "3")]
    pub kept_for_ms: Option<u64>,
}

/// An order to an engine to change its stage.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct StageMessage {
    /// The engine, by the hash of its id.
    #[prost(fixed64, tag = "1")]
    pub engine: u64,
    /// Whether it is to prefill; it is to run requests otherwise.
    #[prost(bool, tag = "2")]
    pub prefills: bool,
}

impl StageMessage {
    /// The stage that was ordered.
    pub fn stage(self) -> EngineStage {
        match self.prefills {
            true => EngineStage::Prefill,
            false => EngineStage::Decode,
        }
    }
}

fn demand_messages(demands: &[(ServiceName, EngineDemand)]) -> Vec<DemandMessage> {
    let demands = demands.iter();
    demands
        .map(|(service, demand)| DemandMessage::new(service, *demand))
        .collect()
}

impl PeerMessage {
    /// A datagram.
    pub fn new(loads: &[ToldLoad], parts: &[ToldPart]) -> PeerMessage {
        let mut by_engine: Vec<PartsMessage> = Vec::new();
        for told in parts {
            match by_engine.iter_mut().find(|m| m.engine == told.engine) {
                Some(message) if message.parts.contains(&told.part) => {}
                Some(message) => message.parts.push(told.part),
                None => by_engine.push(PartsMessage {
                    engine: told.engine,
                    parts: vec![told.part],
                }),
            }
        }
        let loads = loads.iter().map(|told| LoadMessage {
            engine: told.engine,
            prefill_ms: told.load.prefill_ms.iter().map(|ms| *ms as u32).collect(),
            running: told.load.running,
        });
        PeerMessage {
            says_loads: true,
            loads: loads.collect(),
            parts: by_engine,
            ..PeerMessage::default()
        }
    }

    /// A datagram that says nothing of loads.
    pub fn without_loads() -> PeerMessage {
        PeerMessage::default()
    }

    /// Adds who tells, and when.
    pub fn with_sender(
        mut self,
        writer: &MeterWriter,
        domain: &FailureDomain,
        stamp: u64,
    ) -> PeerMessage {
        self.instance = writer.instance.to_string();
        self.start = writer.start;
        self.domain = domain.to_string();
        self.stamp = stamp;
        self
    }

    /// Adds the engines that refused the sender.
    pub fn with_refusing(mut self, refusing: Vec<u64>) -> PeerMessage {
        self.refusing = refusing;
        self
    }

    /// Adds what the sender's requests ask of engines.
    pub fn with_demands(mut self, demands: &[(ServiceName, EngineDemand)]) -> PeerMessage {
        self.demands = demand_messages(demands);
        self
    }

    /// Adds what the requests of the sender's whole failure domain ask of engines.
    pub fn with_domain_demands(mut self, demands: &[(ServiceName, EngineDemand)]) -> PeerMessage {
        self.domain_demands = demand_messages(demands);
        self
    }

    /// Adds the stages that were ordered lately.
    pub fn with_stages(mut self, stages: Vec<StageMessage>) -> PeerMessage {
        self.stages = stages;
        self
    }

    /// The loads as the slices know them.
    pub fn told_loads(&self) -> Vec<ToldLoad> {
        let loads = self.loads.iter().map(|message| {
            let mut prefill_ms = [0.0; RANKS];
            for (rank, told) in prefill_ms.iter_mut().zip(&message.prefill_ms) {
                *rank = f64::from(*told);
            }
            ToldLoad {
                engine: message.engine,
                load: EngineLoad {
                    prefill_ms,
                    running: message.running,
                },
            }
        });
        loads.collect()
    }

    /// The parts as the slices know them.
    pub fn told_parts(&self) -> Vec<ToldPart> {
        let parts = self.parts.iter().flat_map(|message| {
            let engine = message.engine;
            let parts = message.parts.iter();
            parts.map(move |part| ToldPart {
                engine,
                part: *part,
            })
        });
        parts.collect()
    }
}
