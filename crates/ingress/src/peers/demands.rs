//! The demand for engines, as instances report it to each other.

use bluebell_core::{ids::ServiceName, provision::EngineDemand};
use prost::Message;

/// The demand for engines of one service.
#[derive(Clone, PartialEq, Message)]
pub struct DemandMessage {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Engines kept busy with prefills, in thousandths.
    #[prost(uint32, tag = "2")]
    pub prefill: u32,
    /// Engines whose slots or memory the running requests fill, in thousandths.
    #[prost(uint32, tag = "3")]
    pub held: u32,
    /// Running requests, in hundredths.
    #[prost(uint32, tag = "4")]
    pub running: u32,
    /// Speed relative to a request that has an engine to itself, in thousandths; 0 if it is
    /// not known.
    #[prost(uint32, tag = "5")]
    pub speed: u32,
}

impl DemandMessage {
    /// Encodes a demand.
    pub fn new(service: &ServiceName, demand: EngineDemand) -> DemandMessage {
        let thousandths = |value: f64| (value * 1_000.0).round() as u32;
        DemandMessage {
            service: service.to_string(),
            prefill: thousandths(demand.prefill),
            held: thousandths(demand.held),
            running: (demand.running * 100.0).round() as u32,
            speed: demand.speed.map_or(0, thousandths),
        }
    }

    /// Decodes the demand.
    pub fn demand(&self) -> EngineDemand {
        let value = |thousandths: u32| f64::from(thousandths) / 1_000.0;
        EngineDemand {
            prefill: value(self.prefill),
            held: value(self.held),
            running: f64::from(self.running) / 100.0,
            speed: (self.speed > 0).then(|| value(self.speed)),
        }
    }
}
