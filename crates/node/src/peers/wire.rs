//! The protocol between peers: length-delimited protobuf messages.
//!
//! The messages are declared in Rust, without a schema file. Offsets, versions and
//! stamps are varints; records are sent as the JSON text that is stored in the log.

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

/// Maximum frame size in bytes. A snapshot part and an answer with log entries are
/// well below it.
pub const FRAME_LIMIT: usize = 1024 * 1024;

/// A frame: the unit of transmission on a peer connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerFrame {
    /// The message; none if its kind is unknown to this version.
    #[prost(oneof = "PeerBody", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub body: Option<PeerBody>,
}

/// The message in a frame.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum PeerBody {
    /// Identifies the sender; the first frame in each direction.
    #[prost(message, tag = "1")]
    Hello(HelloMessage),
    /// A heartbeat with gossip updates.
    #[prost(message, tag = "2")]
    Heartbeat(HeartbeatMessage),
    /// A request for log entries.
    #[prost(message, tag = "3")]
    Pull(PullMessage),
    /// Log entries, in answer to a pull.
    #[prost(message, tag = "4")]
    Entries(EntriesMessage),
    /// A record that is sent without waiting for the log.
    #[prost(message, tag = "5")]
    UrgentRecord(UrgentRecordMessage),
    /// A request for a snapshot of the state.
    #[prost(message, tag = "6")]
    SnapshotPull(SnapshotPullMessage),
    /// One part of a snapshot.
    #[prost(message, tag = "7")]
    SnapshotPart(SnapshotPartMessage),
}

/// Identifies the sender.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HelloMessage {
    /// The id of the sending instance.
    #[prost(string, tag = "1")]
    pub instance: String,
}

/// Shows that the sender is alive and reports its progress and gossip updates.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HeartbeatMessage {
    /// The sender's clock, in milliseconds since its process started.
    #[prost(uint64, tag = "1")]
    pub stamp: u64,
    /// The last stamp that the sender received from the receiver.
    #[prost(uint64, optional, tag = "2")]
    pub echo: Option<u64>,
    /// The offset of the next entry that the sender will apply.
    #[prost(uint64, tag = "3")]
    pub next_offset: u64,
    /// The time since the sender last confirmed the end of the log, in milliseconds.
    #[prost(uint64, optional, tag = "4")]
    pub freshness: Option<u64>,
    /// Whether the sender has caught up since it started.
    #[prost(bool, tag = "5")]
    pub caught_up: bool,
    /// Gossip updates about the sender and other members.
    #[prost(message, repeated, tag = "6")]
    pub items: Vec<ItemMessage>,
    /// How many bytes of gossip updates the sender accepts from the receiver per
    /// second; the more connections it has, the fewer.
    #[prost(uint64, optional, tag = "7")]
    pub update_budget: Option<u64>,
}

/// A request for entries, answered as soon as there are any.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct PullMessage {
    /// The offset of the first requested entry.
    #[prost(uint64, tag = "1")]
    pub from: u64,
}

/// Entries in log order.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EntriesMessage {
    /// The oldest offset that the sender can still relay. If it is greater than the
    /// offset that the receiver needs next, the receiver needs a snapshot.
    #[prost(uint64, tag = "1")]
    pub first_buffered: u64,
    /// The entries.
    #[prost(message, repeated, tag = "2")]
    pub entries: Vec<EntryMessage>,
}

/// A log entry.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EntryMessage {
    /// The offset of the entry in the log.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// The id of the writer that appended the entry.
    #[prost(string, tag = "2")]
    pub writer: String,
    /// The writer's sequence number for the entry.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The record as JSON.
    #[prost(string, tag = "4")]
    pub payload: String,
}

/// A record that is sent without waiting for the log, such as a withdrawal.
#[derive(Clone, PartialEq, prost::Message)]
pub struct UrgentRecordMessage {
    /// The record as JSON, in the form stored in the log.
    #[prost(string, tag = "1")]
    pub payload: String,
}

/// A request for a snapshot of the state.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct SnapshotPullMessage {}

/// One part of a snapshot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SnapshotPartMessage {
    /// The checkpoint part as JSON.
    #[prost(string, tag = "1")]
    pub payload: String,
}

/// A gossip update about a member.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ItemMessage {
    /// The member; empty for the sender itself.
    #[prost(string, tag = "1")]
    pub member: String,
    /// Distinguishes the member's current process from earlier ones.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Increases with each update.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// The updated value.
    #[prost(oneof = "ItemBody", tags = "4, 5, 6, 7")]
    pub body: Option<ItemBody>,
}

/// The value in a gossip update.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum ItemBody {
    /// The member's location, state and addresses.
    #[prost(message, tag = "4")]
    Presence(PresenceMessage),
    /// The offset of the next entry that the member will apply.
    #[prost(uint64, tag = "5")]
    Progress(u64),
    /// The member's outstanding work at an endpoint.
    #[prost(message, tag = "6")]
    Load(LoadMessage),
    /// The work that the member has served for an organisation.
    #[prost(message, tag = "7")]
    Share(ShareMessage),
}

/// Location, state and addresses of a member.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PresenceMessage {
    /// The failure domain in which the member runs.
    #[prost(string, tag = "1")]
    pub failure_domain: String,
    /// Whether the member is a controller; otherwise it is an entry.
    #[prost(bool, tag = "2")]
    pub controller: bool,
    /// Whether the member is leaving; otherwise it is live.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// The address on which the member serves HTTP.
    #[prost(string, tag = "4")]
    pub http_address: String,
    /// The address on which the member accepts peer connections.
    #[prost(string, tag = "5")]
    pub peer_address: String,
}

/// Outstanding work of a member at an endpoint.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadMessage {
    /// The endpoint id.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Number of outstanding requests.
    #[prost(uint64, tag = "2")]
    pub requests: u64,
    /// Number of outstanding tokens.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
}

/// Work that a member has served for an organisation.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ShareMessage {
    /// The organisation id.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// The cost of the served work.
    #[prost(uint64, tag = "2")]
    pub cost: u64,
}

impl HeartbeatMessage {
    /// The sender's freshness as a time span.
    pub fn age(&self) -> Option<TimeSpan> {
        self.freshness.map(TimeSpan::from_millis)
    }

    /// The time of the echoed stamp on this process's clock; `started` is the time
    /// at which the process started.
    pub fn echoed(&self, started: ClockTime) -> Option<ClockTime> {
        self.echo.map(|echo| started + TimeSpan::from_millis(echo))
    }
}

impl EntryMessage {
    /// Converts a log entry to a message.
    pub fn new(entry: &RawEntry) -> EntryMessage {
        EntryMessage {
            offset: entry.offset.number(),
            writer: entry.writer.to_string(),
            sequence: entry.sequence,
            payload: entry.payload.clone(),
        }
    }

    /// Converts the message to a log entry; none if the writer id is invalid.
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
    /// Converts a gossip item to a message sent by `sender`.
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

    /// Converts a message from `sender` to a gossip item; none if an id is invalid or
    /// the kind of the update is unknown to this version.
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
