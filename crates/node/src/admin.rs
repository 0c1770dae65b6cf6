//! HTTP routes of a node, for operators' commands.
//!
//! | call | answer |
//! |---|---|
//! | `GET /node` | [`NodeReport`] |
//! | `POST /admin/withdraw` [`WithdrawRecord`] | 202 once taken; the record is appended and relayed after that |

use bluebell_core::{
    clock::TimeSpan,
    ids::{FailureDomain, InstanceId, LogOffset},
    membership::{InstanceState, PeerStatus},
    records::WithdrawRecord,
};
use rocket::{Build, Rocket, State, get, http::Status, post, routes, serde::json::Json};
use serde::{Deserialize, Serialize};

use crate::handle::NodeHandle;

/// What a node tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeReport {
    /// Which.
    pub instance: InstanceId,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// Whether it stays.
    pub state: InstanceState,
    /// The offset of the next entry that it will apply.
    pub next_offset: LogOffset,
    /// Whether it has caught up with the log or with its peers since its start.
    pub caught_up: bool,
    /// Why it has not caught up.
    pub obstacle: Option<String>,
    /// How old its newest confirmed knowledge of the log's end is.
    pub freshness: Option<TimeSpan>,
    /// Whether it reads the log from the platform rather than from a peer.
    pub reads_log: bool,
    /// Whom it is connected to.
    pub links: Vec<InstanceId>,
    /// What it knows of its peers.
    pub peers: Vec<PeerStatus>,
}

#[get("/node")]
fn node_report(node: &State<NodeHandle>) -> Json<NodeReport> {
    Json(node.report())
}

#[post("/admin/withdraw", data = "<record>")]
fn withdraw(node: &State<NodeHandle>, record: Json<WithdrawRecord>) -> Status {
    node.withdraw(&record.into_inner());
    Status::Accepted
}

/// Adds the routes to a daemon's server.
pub fn mount(rocket: Rocket<Build>, node: NodeHandle) -> Rocket<Build> {
    rocket
        .mount("/", routes![node_report, withdraw])
        .manage(node)
}
