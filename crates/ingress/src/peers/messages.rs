//! The records and datagrams with which entries describe themselves to each other.

use bluebell_core::{
    directory::EngineStage,
    ids::{FailureDomain, ServiceName},
    placement::{EngineLoad, PRIORITY_RANKS, PeerLoad, PeerPart},
    provision::EngineDemand,
    quarantine::{CrashReport, PartReport},
    quota::{OrganisationHash, UsageReport, UsageSums},
    usage::MeterWriter,
};
use prost::Message;

use crate::{
    engine_loads::EngineLoadMessage,
    leader::UsageRecord,
    peers::{
        crashes::CrashMessage, demands::DemandMessage, prompt_parts::PartMessage,
        relay_messages::RelayMessage, speeds::SpeedMessage,
    },
    stream_origins::OriginMessage,
};

/// An instance's registration in the store.
#[derive(Clone, PartialEq, Message)]
pub struct PeerRecord {
    /// The socket address at which it receives datagrams.
    #[prost(string, tag = "1")]
    pub address: String,
    /// The time of its start in ms, which distinguishes its restarts.
    #[prost(uint64, tag = "2")]
    pub start: u64,
    /// Its failure domain.
    #[prost(string, tag = "3")]
    pub domain: String,
}

/// The load that an instance has placed on one engine.
#[derive(Clone, PartialEq, Message)]
pub struct LoadMessage {
    /// The engine, by the hash of its id.
    #[prost(fixed64, tag = "1")]
    pub engine: u64,
    /// Queued prefill work in ms, by urgency.
    #[prost(uint32, repeated, tag = "2")]
    pub prefill_ms: Vec<u32>,
    /// The number of running requests.
    #[prost(uint32, tag = "3")]
    pub running: u32,
}

/// The prompt parts that were sent to one engine.
#[derive(Clone, PartialEq, Message)]
pub struct PartsMessage {
    /// The engine, by the hash of its id.
    #[prost(fixed64, tag = "1")]
    pub engine: u64,
    /// The parts, by their ids.
    #[prost(fixed64, repeated, tag = "2")]
    pub parts: Vec<u64>,
}

/// One datagram.
#[derive(Clone, PartialEq, Message)]
pub struct PeerMessage {
    /// The sender.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// The complete load that the sender has placed on engines.
    #[prost(message, repeated, tag = "2")]
    pub loads: Vec<LoadMessage>,
    /// Parts sent to engines since the sender's last datagram.
    #[prost(message, repeated, tag = "3")]
    pub parts: Vec<PartsMessage>,
    /// Stage changes that the sender ordered recently as the leader.
    #[prost(message, repeated, tag = "4")]
    pub stages: Vec<StageMessage>,
    /// The time of the sender's start in ms, which distinguishes its restarts.
    #[prost(uint64, tag = "5")]
    pub start: u64,
    /// The sender's failure domain.
    #[prost(string, tag = "6")]
    pub domain: String,
    /// The sender's clock in ms.
    #[prost(uint64, tag = "7")]
    pub stamp: u64,
    /// The last stamp that the sender received from the recipient; 0 for none.
    #[prost(uint64, tag = "8")]
    pub echo: u64,
    /// The start of the recipient's process that sent the echoed stamp.
    #[prost(uint64, tag = "25")]
    pub echo_start: u64,
    /// The store state that the reader of a failure domain relays to the others there.
    #[prost(message, optional, tag = "9")]
    pub relay: Option<RelayMessage>,
    /// The sender's usage counts, for the reader of its failure domain to publish.
    #[prost(message, optional, tag = "10")]
    pub usage: Option<UsageRecord>,
    /// Whether the datagram reports loads and parts; if so, an empty list means that there
    /// are none.
    #[prost(bool, tag = "11")]
    pub includes_loads: bool,
    /// Engines that refused the sender recently, by the hashes of their ids.
    #[prost(fixed64, repeated, tag = "12")]
    pub refusing: Vec<u64>,
    /// The demand of the sender's requests for engines.
    #[prost(message, repeated, tag = "13")]
    pub demands: Vec<DemandMessage>,
    /// The demand for engines of all entries of the sender's failure domain, for entries in
    /// other failure domains.
    #[prost(message, repeated, tag = "14")]
    pub domain_demands: Vec<DemandMessage>,
    /// The usage of limits at the sender.
    #[prost(message, repeated, tag = "15")]
    pub usages: Vec<UsageMessage>,
    /// The usage of limits in the sender's failure domain, for entries in other failure
    /// domains.
    #[prost(message, repeated, tag = "16")]
    pub domain_usages: Vec<UsageMessage>,
    /// The number of entries whose usage `domain_usages` contains; 0 if it is not reported.
    #[prost(uint32, tag = "17")]
    pub domain_entries: u32,
    /// Crashes of endpoints that ran the same request.
    #[prost(message, repeated, tag = "18")]
    pub crashes: Vec<CrashMessage>,
    /// The services whose endpoints the sender does not reach.
    #[prost(string, repeated, tag = "19")]
    pub unreachable: Vec<String>,
    /// Crashes of endpoints at which prompts with the same part ran.
    #[prost(message, repeated, tag = "21")]
    pub prompt_parts: Vec<PartMessage>,
    /// The speeds of engines that the sender knows of.
    #[prost(message, repeated, tag = "22")]
    pub speeds: Vec<SpeedMessage>,
    /// Where streams began; a datagram with it has no other field.
    #[prost(message, optional, tag = "20")]
    pub origins: Option<OriginMessage>,
    /// Loads of engines; a datagram with it has no other field.
    #[prost(message, optional, tag = "24")]
    pub engine_loads: Option<EngineLoadMessage>,
}

/// The usage of the limit of one organisation, in tokens or requests.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct UsageMessage {
    /// The organisation, by the hash of its name.
    #[prost(fixed64, tag = "1")]
    pub organisation: u64,
    /// The sum of what was admitted.
    #[prost(uint64, tag = "2")]
    pub admitted: u64,
    /// The sum of what was admitted and has not run.
    #[prost(uint64, tag = "3")]
    pub returned: u64,
    /// The sum of what was refused.
    #[prost(uint64, tag = "4")]
    pub refused: u64,
    /// What was admitted and has not been returned within the window of the limit.
    #[prost(uint64, tag = "5")]
    pub in_window: u64,
}

impl UsageMessage {
    /// Encodes a report.
    pub fn new(report: &UsageReport) -> UsageMessage {
        let sums = report.sums;
        UsageMessage {
            organisation: report.organisation.number(),
            admitted: sums.admitted,
            returned: sums.returned,
            refused: sums.refused,
            in_window: report.in_window,
        }
    }

    /// Decodes the report.
    pub fn report(&self) -> UsageReport {
        UsageReport {
            organisation: OrganisationHash::new(self.organisation),
            sums: UsageSums {
                admitted: self.admitted,
                returned: self.returned,
                refused: self.refused,
            },
            in_window: self.in_window,
        }
    }
}

/// The fields of a datagram that differ between its recipients. Their encoding is appended
/// to that of the fields that are the same for all, and the two decode as one
/// [`PeerMessage`].
#[derive(Clone, PartialEq, Message)]
pub struct PerTargetMessage {
    /// As in [`PeerMessage`].
    #[prost(uint64, tag = "8")]
    pub echo: u64,
    /// As in [`PeerMessage`].
    #[prost(uint64, tag = "25")]
    pub echo_start: u64,
    /// As in [`PeerMessage`].
    #[prost(message, optional, tag = "9")]
    pub relay: Option<RelayMessage>,
    /// As in [`PeerMessage`].
    #[prost(message, optional, tag = "10")]
    pub usage: Option<UsageRecord>,
}

/// An order to an engine to change to a stage.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct StageMessage {
    /// The engine, by the hash of its id.
    #[prost(fixed64, tag = "1")]
    pub engine: u64,
    /// Whether the stage is prefill; it is decode otherwise.
    #[prost(bool, tag = "2")]
    pub prefills: bool,
}

impl StageMessage {
    /// The ordered stage.
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
    /// A datagram that reports the given loads and parts.
    pub fn new(loads: &[PeerLoad], parts: &[PeerPart]) -> PeerMessage {
        let mut by_engine: Vec<PartsMessage> = Vec::new();
        for sent in parts {
            match by_engine.iter_mut().find(|m| m.engine == sent.engine) {
                Some(message) if message.parts.contains(&sent.part) => {}
                Some(message) => message.parts.push(sent.part),
                None => by_engine.push(PartsMessage {
                    engine: sent.engine,
                    parts: vec![sent.part],
                }),
            }
        }
        let loads = loads.iter().map(|placed| LoadMessage {
            engine: placed.engine,
            prefill_ms: placed.load.prefill_ms.iter().map(|ms| *ms as u32).collect(),
            running: placed.load.running,
        });
        PeerMessage {
            includes_loads: true,
            loads: loads.collect(),
            parts: by_engine,
            ..PeerMessage::default()
        }
    }

    /// A datagram that does not report loads and parts.
    pub fn without_loads() -> PeerMessage {
        PeerMessage::default()
    }

    /// Sets the sender, its failure domain and its clock in ms.
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

    /// Sets the engines that refused the sender, by the hashes of their ids.
    pub fn with_refusing(mut self, refusing: Vec<u64>) -> PeerMessage {
        self.refusing = refusing;
        self
    }

    /// Sets the demand of the sender's requests for engines.
    pub fn with_demands(mut self, demands: &[(ServiceName, EngineDemand)]) -> PeerMessage {
        self.demands = demand_messages(demands);
        self
    }

    /// Sets the demand for engines of the sender's whole failure domain.
    pub fn with_domain_demands(mut self, demands: &[(ServiceName, EngineDemand)]) -> PeerMessage {
        self.domain_demands = demand_messages(demands);
        self
    }

    /// Sets the usage of limits at the sender.
    pub fn with_usages(mut self, reports: &[UsageReport]) -> PeerMessage {
        self.usages = reports.iter().map(UsageMessage::new).collect();
        self
    }

    /// Sets the usage of limits in the sender's failure domain, at `entries` entries.
    pub fn with_domain_usages(mut self, entries: usize, reports: &[UsageReport]) -> PeerMessage {
        self.domain_usages = reports.iter().map(UsageMessage::new).collect();
        self.domain_entries = entries as u32;
        self
    }

    /// Sets the crashes of endpoints that ran the same request.
    pub fn with_crashes(mut self, reports: &[CrashReport]) -> PeerMessage {
        self.crashes = reports.iter().map(CrashMessage::new).collect();
        self
    }

    /// Sets the crashes of endpoints at which prompts with the same part ran.
    pub fn with_prompt_parts(mut self, reports: &[PartReport]) -> PeerMessage {
        self.prompt_parts = reports.iter().map(PartMessage::new).collect();
        self
    }

    /// Sets the recently ordered stage changes.
    pub fn with_stages(mut self, stages: Vec<StageMessage>) -> PeerMessage {
        self.stages = stages;
        self
    }

    /// Decodes the loads.
    pub fn peer_loads(&self) -> Vec<PeerLoad> {
        let loads = self.loads.iter().map(|message| {
            let mut prefill_ms = [0.0; PRIORITY_RANKS];
            for (rank, sent_ms) in prefill_ms.iter_mut().zip(&message.prefill_ms) {
                *rank = f64::from(*sent_ms);
            }
            PeerLoad {
                engine: message.engine,
                load: EngineLoad {
                    prefill_ms,
                    running: message.running,
                },
            }
        });
        loads.collect()
    }

    /// Decodes the parts.
    pub fn peer_parts(&self) -> Vec<PeerPart> {
        let parts = self.parts.iter().flat_map(|message| {
            let engine = message.engine;
            let parts = message.parts.iter();
            parts.map(move |part| PeerPart {
                engine,
                part: *part,
            })
        });
        parts.collect()
    }
}
