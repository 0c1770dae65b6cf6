//! What entries and the steward write into the store's topics.

use std::collections::BTreeMap;

use bluebell_adapter::store::TopicPart;
use bluebell_core::{
    ids::{FailureDomain, InstanceId, OrganisationId, ServiceName},
    provision::DomainBaseline,
    records::UsageWindow,
    usage::{MeterWriter, MeteredCounts},
};
use bytes::Bytes;
use prost::Message;

/// Where entries publish their counts.
pub const USAGE_PART: TopicPart = TopicPart::first("usage");

/// Where stewards write before they act.
pub const LEADER_PART: TopicPart = TopicPart::first("steward");

/// The requests of each organisation in one window.
#[derive(Clone, PartialEq, Message)]
pub struct WindowCounts {
    /// The number of the window.
    #[prost(uint64, tag = "1")]
    pub window: u64,
    /// Requests by organisation.
    #[prost(btree_map = "string, uint64", tag = "2")]
    pub requests: BTreeMap<String, u64>,
}

/// What an entry counted.
#[derive(Clone, PartialEq, Message)]
pub struct UsageRecord {
    /// The instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Which of its starts.
    #[prost(uint64, tag = "2")]
    pub start: u64,
    /// Windows in full.
    #[prost(message, repeated, tag = "3")]
    pub windows: Vec<WindowCounts>,
    /// The window that it is in: earlier ones are over for it.
    #[prost(uint64, tag = "4")]
    pub current: u64,
}

/// What a steward is about to do.
#[derive(Clone, PartialEq, Message)]
pub struct LeaderRecord {
    /// The instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Which of its starts.
    #[prost(uint64, tag = "2")]
    pub start: u64,
    /// A window that is reported from now on with these figures only.
    #[prost(message, optional, tag = "3")]
    pub frozen: Option<WindowCounts>,
    /// The last window whose report was accepted.
    #[prost(uint64, tag = "4")]
    pub reported: u64,
    /// What failure domains had when they were first seen.
    #[prost(message, repeated, tag = "5")]
    pub bases: Vec<BaseMessage>,
}

/// What a failure domain had of a service when it was first seen.
#[derive(Clone, PartialEq, Message)]
pub struct BaseMessage {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The failure domain.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// Its endpoints then.
    #[prost(uint32, tag = "3")]
    pub endpoints: u32,
}

impl BaseMessage {
    /// The message of a base.
    pub fn new(base: &DomainBaseline) -> BaseMessage {
        BaseMessage {
            service: base.service.to_string(),
            domain: base.domain.to_string(),
            endpoints: base.endpoints,
        }
    }

    /// The base as the product's own type, if the names are any.
    pub fn base(&self) -> Option<DomainBaseline> {
        Some(DomainBaseline {
            service: ServiceName::new(self.service.as_str()).ok()?,
            domain: FailureDomain::new(self.domain.as_str()).ok()?,
            endpoints: self.endpoints,
        })
    }
}

impl UsageRecord {
    /// What a writer counted, while it is in the window `current`.
    pub fn new(
        writer: &MeterWriter,
        windows: &[(UsageWindow, MeteredCounts)],
        current: UsageWindow,
    ) -> UsageRecord {
        let windows = windows.iter();
        UsageRecord {
            instance: writer.instance.to_string(),
            start: writer.start,
            windows: windows
                .map(|(window, counts)| WindowCounts::new(*window, counts))
                .collect(),
            current: current.number(),
        }
    }
}

impl WindowCounts {
    /// The counts of a window.
    pub fn new(window: UsageWindow, counts: &MeteredCounts) -> WindowCounts {
        let requests = counts
            .iter()
            .map(|(name, count)| (name.to_string(), *count));
        WindowCounts {
            window: window.number(),
            requests: requests.collect(),
        }
    }

    /// The counts as the product's own types; names that are none are left out.
    pub fn counts(&self) -> MeteredCounts {
        let requests = self.requests.iter();
        let named = requests.filter_map(|(name, count)| {
            let name = OrganisationId::new(name.as_str()).ok()?;
            Some((name, *count))
        });
        named.collect()
    }
}

/// The writer that a record names, if it names one.
pub fn writer(instance: &str, start: u64) -> Option<MeterWriter> {
    let instance = InstanceId::new(instance).ok()?;
    Some(MeterWriter { instance, start })
}

/// A record's bytes.
pub fn encode<Record>(record: &Record) -> Bytes
where
    Record: Message,
{
    Bytes::from(record.encode_to_vec())
}
