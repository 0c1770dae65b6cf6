//! Which of our instances live, are suspected, or leave, and what they tell of
//! their own work.
//!
//! Two sources feed [`MemberTable`]: the platform's list, which lags, and direct
//! heartbeats with [`GossipItem`]s. A direct heartbeat outweighs the list.
//! [`LinkPlan`] says who keeps a connection to whom and who reads the log from
//! the platform.

mod freshness;
mod gossip;
mod lanes;
mod links;
mod status;
mod table;

pub use freshness::{EndConfirmation, LogKnowledge};
pub use gossip::{GossipBody, GossipItem, GossipTable, MemberPresence, OWN_ITEM_LIMIT};
pub use links::{LinkPlan, PlanMember};
pub use status::{
    EndpointLoad, InstanceListing, InstanceProgram, InstanceState, LocalStatus, OrganisationShare,
    PeerStatus,
};
pub use table::{FORGET_AFTER, HEARTBEAT_TIMEOUT, MemberTable, REACH_TIMEOUT, RELAYED_TIMEOUT};
