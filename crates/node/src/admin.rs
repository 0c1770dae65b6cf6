//! HTTP routes of a node for operator commands.
//!
//! | request | response |
//! |---|---|
//! | `GET /node` | [`NodeReport`] |
//! | `POST /admin/withdraw` [`WithdrawRecord`] | 202 once the withdrawal is in force here; the record is appended and relayed after that |

use bluebell_core::{
    clock::TimeSpan,
    ids::{FailureDomain, InstanceId, LogOffset},
    membership::{InstanceState, PeerStatus},
    records::WithdrawRecord,
};
use rocket::{Build, Rocket, State, get, http::Status, post, routes, serde::json::Json};
use serde::{Deserialize, Serialize};

use crate::handle::NodeHandle;

/// Status of a node, as returned by `GET /node`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeReport {
    /// The reporting instance.
    pub instance: InstanceId,
    /// The failure domain in which the instance runs.
    pub failure_domain: FailureDomain,
    /// Whether the instance is live or leaving.
    pub state: InstanceState,
    /// The offset of the next log entry to apply.
    pub next_offset: LogOffset,
    /// Whether the node has caught up with the log or with its peers since it started.
    pub caught_up: bool,
    /// Why the node has not caught up; none if it has.
    pub obstacle: Option<String>,
    /// The time since the end of the log was last confirmed; none if it never was.
    pub freshness: Option<TimeSpan>,
    /// Whether the link plan makes this node read the log from the platform
    /// rather than from a peer.
    pub reads_log: bool,
    /// The peers with an open connection.
    pub links: Vec<InstanceId>,
    /// The last known status of every other instance.
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

/// Mounts the routes on a daemon's server.
pub fn mount(rocket: Rocket<Build>, node: NodeHandle) -> Rocket<Build> {
    rocket
        .mount("/", routes![node_report, withdraw])
        .manage(node)
}
