//! What can be made to go wrong, switched over HTTP.
//!
//! `POST /control/faults` replaces all faults at once by a [`PlatformFaults`];
//! `{}` heals everything. `GET /control/faults` shows those in force.

use std::collections::BTreeSet;

use bluebell_core::{
    clock::TimeSpan,
    ids::{FailureDomain, InstanceId},
};
use rocket::{Route, State, get, http::Status, post, routes, serde::json::Json};
use serde::{Deserialize, Serialize};

use crate::state::PlatformState;

/// How an interface that is out behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageKind {
    /// It answers 503.
    Refuse,
    /// It answers nothing.
    Hang,
}

/// How an answer is lost after the call took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LossKind {
    /// A broken path answers 502 in its place.
    Broken,
    /// No answer comes.
    Withheld,
}

/// The calls that have an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EffectCall {
    /// `POST /log/append`.
    Append,
    /// `POST /endpoints/start` and `/endpoints/stop`.
    Endpoint,
    /// `POST /usage/reports`.
    Usage,
}

/// Answers that are lost although the call took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LostAnswers {
    /// Of which call.
    pub call: EffectCall,
    /// How.
    pub loss: LossKind,
    /// Every n-th answer, from the n-th on.
    pub every: u64,
    /// How many in all; none means without end.
    #[serde(default)]
    pub count: Option<u64>,
}

/// All faults in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// The log is out, for reads and appends.
    pub log_outage: Option<OutageKind>,
    /// Each call to the log takes this much longer.
    pub log_delay: Option<TimeSpan>,
    /// Answers that are lost.
    pub lost_answers: Vec<LostAnswers>,
    /// Failure domains that are cut off from the platform.
    pub cut_domains: BTreeSet<FailureDomain>,
    /// Instances that are cut off from the platform.
    pub cut_instances: BTreeSet<InstanceId>,
    /// There is no preemptible capacity to be had.
    pub preemptible_unavailable: bool,
    /// The endpoint interface answers 503 to orders.
    pub endpoint_outage: bool,
    /// The usage intake answers 503.
    pub usage_outage: bool,
    /// The list of instances is frozen as it is.
    pub list_frozen: bool,
}

/// The faults in force, with counts of answers given and lost.
#[derive(Debug, Default)]
pub(crate) struct FaultState {
    pub(crate) faults: PlatformFaults,
    answered: Vec<u64>,
    lost: Vec<u64>,
}

impl FaultState {
    pub(crate) fn set(&mut self, faults: PlatformFaults) {
        self.answered = vec![0; faults.lost_answers.len()];
        self.lost = self.answered.clone();
        self.faults = faults;
    }

    /// Whether the answer to a call that took effect is lost, and how.
    pub(crate) fn loses(&mut self, call: EffectCall) -> Option<LossKind> {
        let mut loss = None;
        for (index, lost) in self.faults.lost_answers.iter().enumerate() {
            if lost.call != call {
                continue;
            }
            self.answered[index] += 1;
            let due = self.answered[index].is_multiple_of(lost.every.max(1));
            let left = lost.count.is_none_or(|count| self.lost[index] < count);
            if due && left {
                self.lost[index] += 1;
                loss = loss.or(Some(lost.loss));
            }
        }
        loss
    }
}

#[post("/control/faults", data = "<faults>")]
fn set(state: &State<PlatformState>, faults: Json<PlatformFaults>) -> Status {
    state.set_faults(faults.into_inner());
    Status::NoContent
}

#[get("/control/faults")]
fn show(state: &State<PlatformState>) -> Json<PlatformFaults> {
    Json(state.faults())
}

pub(crate) fn routes() -> Vec<Route> {
    routes![set, show]
}
