//! Membership of the instances: which are alive, suspected or leaving, and the load that
//! each reports.
//!
//! Two sources feed [`MemberTable`]: the platform's list, which lags, and direct
//! heartbeats with [`GossipItem`]s. A direct heartbeat takes precedence over the list.
//! [`LinkPlan`] decides which instances keep connections to each other and which of them
//! read the log from the platform.

mod freshness;
mod gossip;
mod links;
mod status;
mod table;
mod update_queues;

pub use freshness::{LogEndConfirmation, LogFreshness};
pub use gossip::{GossipBody, GossipItem, GossipTable, LOCAL_ITEM_LIMIT, MemberPresence};
pub use links::{LinkPlan, PlanMember};
pub use status::{
    EndpointLoad, InstanceListing, InstanceProgram, InstanceState, LocalStatus, OrganisationShare,
    PeerStatus,
};
pub use table::{
    FIRST_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT, MEMBER_RETENTION, MemberTable, RELAYED_TIMEOUT,
};
