//! What travels between peers: length-delimited protobuf messages.
//!
//! The messages are derived by hand. Offsets, versions and stamps are varints;
//! records travel as the JSON text that stands in the log.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{EndpointId, FailureDomain, InstanceId, LogOffset, OrganisationId},
    membership::{
        EndpointLoad, GossipBody, GossipItem, InstanceProgram, InstanceState, MemberPresence,
        OrganisationShare,
    },
    units::{TokenCount, WorkCost},
};
use bluebell_platform::api::RawEntry;

/// The largest frame: a part of a snapshot or a stretch of the log fits with room.
pub const FRAME_LIMIT: usize = 1024 * 1024;

/// One frame.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerFrame {
    /// What it says.
    #[prost(oneof = "PeerBody", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub body: Option<PeerBody>,
}

/// What a frame says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum PeerBody {
    /// Who speaks; the first frame of each side.
    #[prost(message, tag = "1")]
    Hello(HelloMessage),
    /// A sign of life with news.
    #[prost(message, tag = "2")]
    Heartbeat(HeartbeatMessage),
    /// A wish for entries.
    #[prost(message, tag = "3")]
    Pull(PullMessage),
    /// Entries.
    #[prost(message, tag = "4")]
    Entries(EntriesMessage),
    /// A record that can't wait for the log.
    #[prost(message, tag = "5")]
    UrgentRecord(UrgentRecordMessage),
    /// A wish for the whole state.
    #[prost(message, tag = "6")]
    SnapshotPull(SnapshotPullMessage),
    /// A part of the whole state.
    #[prost(message, tag = "7")]
    SnapshotPart(SnapshotPartMessage),
}

/// Who speaks.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HelloMessage {
    /// The instance.
    #[prost(string, tag = "1")]
    pub instance: String,
}

/// A sign of life.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HeartbeatMessage {
    /// The sender's clock, in milliseconds since its process started.
    #[prost(uint64, tag = "1")]
    pub stamp: u64,
    /// The last stamp that the sender got from the receiver.
    #[prost(uint64, optional, tag = "2")]
    pub echo: Option<u64>,
    /// The offset of the next entry that the sender will apply.
    #[prost(uint64, tag = "3")]
    pub next_offset: u64,
    /// How old the sender's knowledge of the log's end is, in milliseconds.
    #[prost(uint64, optional, tag = "4")]
    pub freshness: Option<u64>,
    /// Whether the sender has caught up since its start.
    #[prost(bool, tag = "5")]
    pub caught_up: bool,
    /// News of the sender and of others.
    #[prost(message, repeated, tag = "6")]
    pub items: Vec<ItemMessage>,
    /// How many bytes of news the sender takes from the receiver each second:
    /// few, if it has many connections.
    #[prost(uint64, optional, tag = "7")]
    pub update_budget: Option<u64>,
}

/// A wish for entries: answered as soon as there are any.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct PullMessage {
    /// From which offset on.
    #[prost(uint64, tag = "1")]
    pub from: u64,
}

/// Entries in the order of the log.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EntriesMessage {
    /// The oldest offset that the sender can still relay. If it lies beyond what
    /// the receiver asked for, the receiver needs a snapshot.
    #[prost(uint64, tag = "1")]
    pub first_buffered: u64,
    /// The entries.
    #[prost(message, repeated, tag = "2")]
    pub entries: Vec<EntryMessage>,
}

/// One entry.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EntryMessage {
    /// Where it stands.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// Who appended it.
    #[prost(string, tag = "2")]
    pub writer: String,
    /// The writer's own number for it.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The record.
    #[prost(string, tag = "4")]
    pub payload: String,
}

/// A record that can't wait for the log, such as a withdrawal.
#[derive(Clone, PartialEq, prost::Message)]
pub struct UrgentRecordMessage {
    /// The record, as it would stand in the log.
    #[prost(string, tag = "1")]
    pub payload: String,
}

/// A wish for the whole state.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct SnapshotPullMessage {}

/// A part of the whole state, as a checkpoint part in JSON.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SnapshotPartMessage {
    /// The part.
    #[prost(string, tag = "1")]
    pub payload: String,
}

/// News of a member.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ItemMessage {
    /// The member; empty for the sender itself.
    #[prost(string, tag = "1")]
    pub member: String,
    /// Which of its processes.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Greater for later news.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// What the news is.
    #[prost(oneof = "ItemBody", tags = "4, 5, 6, 7")]
    pub body: Option<ItemBody>,
}

/// What the news of a member is.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum ItemBody {
    /// Where it runs.
    #[prost(message, tag = "4")]
    Presence(PresenceMessage),
    /// The offset of the next entry that it will apply.
    #[prost(uint64, tag = "5")]
    Progress(u64),
    /// Its work at an endpoint.
    #[prost(message, tag = "6")]
    Load(LoadMessage),
    /// Its work for an organisation.
    #[prost(message, tag = "7")]
    Share(ShareMessage),
}

/// Where a member runs.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PresenceMessage {
    /// Its failure domain.
    #[prost(string, tag = "1")]
    pub failure_domain: String,
    /// Whether it is a controller.
    #[prost(bool, tag = "2")]
    pub controller: bool,
    /// Whether it is leaving.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// Where it answers HTTP.
    #[prost(string, tag = "4")]
    pub http_address: String,
    /// Where it takes peer connections.
    #[prost(string, tag = "5")]
    pub peer_address: String,
}

/// Work at an endpoint.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadMessage {
    /// The endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Requests outstanding.
    #[prost(uint64, tag = "2")]
    pub requests: u64,
    /// Tokens outstanding.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
}

/// Work for an organisation.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ShareMessage {
    /// The organisation.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// The cost served.
    #[prost(uint64, tag = "2")]
    pub cost: u64,
}

impl HeartbeatMessage {
    /// The sender's knowledge age as a span.
    pub fn age(&self) -> Option<TimeSpan> {
        self.freshness.map(TimeSpan::from_millis)
    }

    /// The echoed stamp on the clock that started at `started`.
    pub fn echoed(&self, started: ClockTime) -> Option<ClockTime> {
        self.echo.map(|echo| started + TimeSpan::from_millis(echo))
    }
}

impl EntryMessage {
    /// The message for `entry`.
    pub fn new(entry: &RawEntry) -> EntryMessage {
        EntryMessage {
            offset: entry.offset.number(),
            writer: entry.writer.to_string(),
            sequence: entry.sequence,
            payload: entry.payload.clone(),
        }
    }

    /// The entry, if its writer can be read.
    pub fn into_entry(self) -> Option<RawEntry> {
        Some(RawEntry {
            offset: LogOffset::new(self.offset),
            writer: self.writer.parse().ok()?,
            sequence: self.sequence,
            payload: self.payload,
        })
    }
}

impl ItemMessage {
    /// The message for `item`, sent by `sender`.
    pub fn new(sender: &InstanceId, item: &GossipItem) -> ItemMessage {
        let body = match &item.body {
            GossipBody::Presence(presence) => ItemBody::Presence(PresenceMessage {
                failure_domain: presence.failure_domain.to_string(),
                controller: presence.program == InstanceProgram::Controller,
                leaving: presence.state == InstanceState::Leaving,
                http_address: presence.http_address.clone(),
                peer_address: presence.peer_address.clone(),
            }),
            GossipBody::Progress(next) => ItemBody::Progress(next.number()),
            GossipBody::Load(load) => ItemBody::Load(LoadMessage {
                endpoint: load.endpoint.to_string(),
                requests: load.requests,
                tokens: load.tokens.count(),
            }),
            GossipBody::Share(share) => ItemBody::Share(ShareMessage {
                organisation: share.organisation.to_string(),
                cost: share.cost.count(),
            }),
        };
        let member = match item.member == *sender {
            true => String::new(),
            false => item.member.to_string(),
        };
        ItemMessage {
            member,
            incarnation: item.incarnation,
            version: item.version,
            body: Some(body),
        }
    }

    /// The item, if all of it can be read.
    pub fn into_item(self, sender: &InstanceId) -> Option<GossipItem> {
        let member = match self.member.is_empty() {
            true => sender.clone(),
            false => self.member.parse().ok()?,
        };
        Some(GossipItem {
            member,
            incarnation: self.incarnation,
            version: self.version,
            body: self.body?.into_body()?,
        })
    }
}

impl ItemBody {
    fn into_body(self) -> Option<GossipBody> {
        Some(match self {
            ItemBody::Presence(presence) => GossipBody::Presence(MemberPresence {
                failure_domain: FailureDomain::new(presence.failure_domain).ok()?,
                program: match presence.controller {
                    true => InstanceProgram::Controller,
                    false => InstanceProgram::Entry,
                },
                state: match presence.leaving {
                    true => InstanceState::Leaving,
                    false => InstanceState::Live,
                },
                http_address: presence.http_address,
                peer_address: presence.peer_address,
            }),
            ItemBody::Progress(next) => GossipBody::Progress(LogOffset::new(next)),
            ItemBody::Load(load) => GossipBody::Load(EndpointLoad {
                endpoint: EndpointId::new(load.endpoint).ok()?,
                requests: load.requests,
                tokens: TokenCount::new(load.tokens),
            }),
            ItemBody::Share(share) => GossipBody::Share(OrganisationShare {
                organisation: OrganisationId::new(share.organisation).ok()?,
                cost: WorkCost::new(share.cost),
            }),
        })
    }
}
