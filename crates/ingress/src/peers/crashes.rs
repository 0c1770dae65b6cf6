//! Reports of crashes in datagrams.

use bluebell_core::{
    ids::RequestFingerprint,
    quarantine::{CrashReport, SiteHash},
};
use prost::Message;

/// The crashes of endpoints that ran one request.
#[derive(Clone, PartialEq, Message)]
pub struct CrashMessage {
    /// The request, by its fingerprint.
    #[prost(string, tag = "1")]
    pub fingerprint: String,
    /// The endpoints that crashed, by the hashes of their ids and incarnations.
    #[prost(fixed64, repeated, tag = "2")]
    pub sites: Vec<u64>,
    /// Whether an endpoint has completed the request.
    #[prost(bool, tag = "3")]
    pub is_cleared: bool,
}

impl CrashMessage {
    /// Encodes a report.
    pub fn new(report: &CrashReport) -> CrashMessage {
        CrashMessage {
            fingerprint: report.fingerprint.to_string(),
            sites: report.sites.iter().map(|site| site.number()).collect(),
            is_cleared: report.is_cleared,
        }
    }

    /// Decodes the report.
    pub fn report(&self) -> CrashReport {
        let Ok(fingerprint) = self.fingerprint.parse::<RequestFingerprint>();
        let sites = self.sites.iter().map(|site| SiteHash::new(*site));
        CrashReport {
            fingerprint,
            sites: sites.collect(),
            is_cleared: self.is_cleared,
        }
    }
}
