//! The records that entries and the leader append to topics of the store.

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

/// The topic in which entries publish their usage counts.
pub const USAGE_PART: TopicPart = TopicPart::first("usage");

/// The topic to which a leader appends a record before each action.
pub const LEADER_PART: TopicPart = TopicPart::first("steward");

/// The number of requests of each organisation in one window.
#[derive(Clone, PartialEq, Message)]
pub struct WindowCounts {
    /// The number of the window.
    #[prost(uint64, tag = "1")]
    pub window: u64,
    /// The number of requests by organisation.
    #[prost(btree_map = "string, uint64", tag = "2")]
    pub requests: BTreeMap<String, u64>,
}

/// The usage counts of an entry.
#[derive(Clone, PartialEq, Message)]
pub struct UsageRecord {
    /// The instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// The time of its start in ms, which distinguishes its restarts.
    #[prost(uint64, tag = "2")]
    pub start: u64,
    /// The complete counts of windows.
    #[prost(message, repeated, tag = "3")]
    pub windows: Vec<WindowCounts>,
    /// The number of the entry's current window; its counts of earlier ones no longer change.
    #[prost(uint64, tag = "4")]
    pub current: u64,
    /// Whether the entry has ended in order and publishes nothing more.
    #[prost(bool, tag = "5")]
    pub has_ended: bool,
}

/// A leader's record, appended before each action and as a heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct LeaderRecord {
    /// The instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// The time of its start in ms, which distinguishes its restarts.
    #[prost(uint64, tag = "2")]
    pub start: u64,
    /// A window that is frozen: from now on it is reported with these counts only.
    #[prost(message, optional, tag = "3")]
    pub frozen: Option<WindowCounts>,
    /// The number of the last window whose report was accepted; 0 for none.
    #[prost(uint64, tag = "4")]
    pub reported: u64,
    /// The numbers of endpoints of failure domains when they were first observed.
    #[prost(message, repeated, tag = "5")]
    pub bases: Vec<BaseMessage>,
    /// The numbers of engines that services need.
    #[prost(message, repeated, tag = "6")]
    pub needs: Vec<NeedMessage>,
}

/// The number of engines that a service needs.
#[derive(Clone, PartialEq, Message)]
pub struct NeedMessage {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The number of engines, in thousandths.
    #[prost(uint64, tag = "2")]
    pub engines: u64,
}

impl NeedMessage {
    /// Encodes a number of engines.
    pub fn new(service: &ServiceName, engines: f64) -> NeedMessage {
        NeedMessage {
            service: service.to_string(),
            engines: (engines * 1_000.0).round() as u64,
        }
    }

    /// Decodes the service and its number of engines; `None` if the name is invalid.
    pub fn need(&self) -> Option<(ServiceName, f64)> {
        let service = ServiceName::new(self.service.as_str()).ok()?;
        Some((service, self.engines as f64 / 1_000.0))
    }
}

/// The number of endpoints of a service in a failure domain when it was first observed.
#[derive(Clone, PartialEq, Message)]
pub struct BaseMessage {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The failure domain.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// The number of endpoints at that time.
    #[prost(uint32, tag = "3")]
    pub endpoints: u32,
}

impl BaseMessage {
    /// Encodes a baseline.
    pub fn new(baseline: &DomainBaseline) -> BaseMessage {
        BaseMessage {
            service: baseline.service.to_string(),
            domain: baseline.domain.to_string(),
            endpoints: baseline.endpoints,
        }
    }

    /// Decodes the baseline; `None` if one of its names is invalid.
    pub fn base(&self) -> Option<DomainBaseline> {
        Some(DomainBaseline {
            service: ServiceName::new(self.service.as_str()).ok()?,
            domain: FailureDomain::new(self.domain.as_str()).ok()?,
            endpoints: self.endpoints,
        })
    }
}

impl UsageRecord {
    /// The record of the counts of `writer`, whose current window is `current`.
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
            has_ended: false,
        }
    }
}

impl WindowCounts {
    /// Encodes the counts of a window.
    pub fn new(window: UsageWindow, counts: &MeteredCounts) -> WindowCounts {
        let requests = counts
            .iter()
            .map(|(name, count)| (name.to_string(), *count));
        WindowCounts {
            window: window.number(),
            requests: requests.collect(),
        }
    }

    /// Decodes the counts; those with an invalid organisation name are left out.
    pub fn counts(&self) -> MeteredCounts {
        let requests = self.requests.iter();
        let valid = requests.filter_map(|(name, count)| {
            let name = OrganisationId::new(name.as_str()).ok()?;
            Some((name, *count))
        });
        valid.collect()
    }
}

/// The writer of a record; `None` if the name of the instance is invalid.
pub fn parse_writer(instance: &str, start: u64) -> Option<MeterWriter> {
    let instance = InstanceId::new(instance).ok()?;
    Some(MeterWriter { instance, start })
}

/// Encodes a record.
pub fn encode<Record>(record: &Record) -> Bytes
where
    Record: Message,
{
    Bytes::from(record.encode_to_vec())
}
