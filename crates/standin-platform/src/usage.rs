//! The intake of usage reports.

use std::collections::BTreeMap;

use bluebell_core::{
    ids::LogOffset,
    records::{UsageLine, UsageWindow},
};
use bluebell_platform::api::UsageReport;
use rocket::{Route, State, get, http::Status, post, routes, serde::json::Json};

use crate::{
    faults::EffectCall,
    history::ReportSeen,
    sender::CallSender,
    settings::PlatformSettings,
    state::{PlatformState, hold},
};

/// Reports in the order of arrival, refused ones included.
#[derive(Debug)]
pub(crate) struct UsageIntake {
    checks_fencing: bool,
    fence: LogOffset,
    figures: BTreeMap<UsageWindow, Vec<UsageLine>>,
    pub(crate) seen: Vec<ReportSeen>,
}

impl UsageIntake {
    pub(crate) fn new(settings: &PlatformSettings) -> UsageIntake {
        UsageIntake {
            checks_fencing: settings.checks_fencing,
            fence: LogOffset::START,
            figures: BTreeMap::new(),
            seen: Vec::new(),
        }
    }

    fn take(&mut self, report: UsageReport) -> Status {
        let stale = self.checks_fencing && report.fence < self.fence;
        let known = self.figures.get(&report.window);
        let differs = known.is_some_and(|lines| *lines != report.lines);
        let accepted = !stale && !differs;
        if accepted {
            self.fence = self.fence.max(report.fence);
            self.figures.insert(report.window, report.lines.clone());
        }
        self.seen.push(ReportSeen { report, accepted });
        match accepted {
            true => Status::NoContent,
            false => Status::Conflict,
        }
    }
}

#[post("/usage/reports", data = "<report>")]
async fn take(
    state: &State<PlatformState>,
    _sender: CallSender,
    report: Json<UsageReport>,
) -> Result<Status, Status> {
    if state.faults().usage_outage {
        return Err(Status::ServiceUnavailable);
    }
    let status = hold(&state.usage).take(report.into_inner());
    state.answer(EffectCall::Usage, status).await
}

#[get("/usage/reports")]
fn list(state: &State<PlatformState>, _sender: CallSender) -> Json<Vec<UsageReport>> {
    let usage = hold(&state.usage);
    let accepted = usage.seen.iter().filter(|seen| seen.accepted);
    Json(accepted.map(|seen| seen.report.clone()).collect())
}

pub(crate) fn routes() -> Vec<Route> {
    routes![take, list]
}
