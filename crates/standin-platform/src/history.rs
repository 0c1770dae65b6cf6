//! What reached the platform, for history checks: `GET /control/history`.

use bluebell_core::{clock::ClockTime, ids::InstanceId};
use bluebell_platform::api::{RawEntry, StartEndpoint, StopEndpoint, UsageReport, WeightFetch};
use rocket::{Route, State, get, routes, serde::json::Json};
use serde::{Deserialize, Serialize};

use crate::state::{PlatformState, hold};

/// An order to the endpoint interface.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointOrder {
    /// A start.
    Start(StartEndpoint),
    /// A stop.
    Stop(StopEndpoint),
}

/// An order that reached the endpoint interface.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderSeen {
    /// When, on the platform's clock.
    pub at: ClockTime,
    /// Who sent it.
    pub sender: Option<InstanceId>,
    /// The order.
    pub order: EndpointOrder,
    /// Whether it took effect: a stale or repeated one did not.
    pub effect: bool,
}

/// A usage report that reached the intake.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportSeen {
    /// The report.
    pub report: UsageReport,
    /// Whether it was accepted.
    pub accepted: bool,
}

/// All that reached the platform, in the order of arrival.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformHistory {
    /// Records of the log, forgotten ones included.
    pub appends: Vec<RawEntry>,
    /// Orders to the endpoint interface.
    pub orders: Vec<OrderSeen>,
    /// Usage reports.
    pub reports: Vec<ReportSeen>,
    /// Weight fetches.
    pub fetches: Vec<WeightFetch>,
}

#[get("/control/history")]
fn history(state: &State<PlatformState>) -> Json<PlatformHistory> {
    Json(PlatformHistory {
        appends: hold(&state.log).appended.clone(),
        orders: hold(&state.endpoints).seen.clone(),
        reports: hold(&state.usage).seen.clone(),
        fetches: hold(&state.weights).fetched.clone(),
    })
}

pub(crate) fn routes() -> Vec<Route> {
    routes![history]
}
