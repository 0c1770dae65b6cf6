//! Reports in datagrams of the parts of prompts that crash endpoints.

use bluebell_core::{
    clock::TimeSpan,
    quarantine::{PartCrash, PartHash, PartReport, SiteHash},
};
use prost::Message;

/// The crashes of endpoints at which prompts with one part ran. The lists are equally long.
#[derive(Clone, PartialEq, Message)]
pub struct PartMessage {
    /// The part.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// The endpoints that ended, by the hashes of their ids and starts.
    #[prost(fixed64, repeated, tag = "2")]
    pub sites: Vec<u64>,
    /// How many ms ago each of them ended.
    #[prost(uint64, repeated, tag = "3")]
    pub ages_ms: Vec<u64>,
    /// Whether the part was answered after that.
    #[prost(bool, repeated, tag = "4")]
    pub are_refuted: Vec<bool>,
}

impl PartMessage {
    /// Encodes a report.
    pub fn new(report: &PartReport) -> PartMessage {
        let crashes = || report.crashes.iter();
        PartMessage {
            part: report.part.number(),
            sites: crashes().map(|crash| crash.site.number()).collect(),
            ages_ms: crashes().map(|crash| crash.age.as_millis()).collect(),
            are_refuted: crashes().map(|crash| crash.is_refuted).collect(),
        }
    }

    /// Decodes the report.
    pub fn report(&self) -> PartReport {
        let details = self.ages_ms.iter().zip(&self.are_refuted);
        let crashes = self.sites.iter().zip(details);
        let crashes = crashes.map(|(site, (age_ms, is_refuted))| PartCrash {
            site: SiteHash::new(*site),
            age: TimeSpan::from_millis(*age_ms),
            is_refuted: *is_refuted,
        });
        PartReport {
            part: PartHash::new(self.part),
            crashes: crashes.collect(),
        }
    }
}
