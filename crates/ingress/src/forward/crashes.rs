//! Requests that crash the endpoints that run them: what their runs show, and whether they
//! are refused.

use bluebell_core::{
    clock::TimeSpan,
    ids::EndpointId,
    quarantine::{BrokenRun, CrashStatus, SiteHash},
};
use bluebell_daemon::logs::LogLine;

use crate::{context::EntryContext, frontend::CallerRequest};

/// Why and for how long a request is refused.
#[derive(Clone, Debug)]
pub struct Quarantined {
    /// The time until the request may be sent again.
    pub remaining: TimeSpan,
    /// Details for the log.
    pub detail: String,
}

/// Whether the request is quarantined. Without any known crash, its fingerprint is not
/// computed.
pub fn quarantined(context: &EntryContext, request: &CallerRequest) -> Option<Quarantined> {
    if context.quarantine.lock().is_empty() {
        return None;
    }
    let fingerprint = request.fingerprint();
    let now = context.now();
    let mut quarantine = context.quarantine.lock();
    let remaining = quarantine.quarantined_for(now, fingerprint)?;
    quarantine.note_refused(now, fingerprint);
    let crashes = quarantine.crashes(fingerprint);
    Some(Quarantined {
        remaining,
        detail: format!("{crashes} endpoints crashed while they ran `{fingerprint}`"),
    })
}

/// Records that the endpoint that was started at `start` ended while these runs were there, and has
/// it reported to the other entries.
pub fn note_crash(context: &EntryContext, endpoint: &EndpointId, start: u64, runs: &[BrokenRun]) {
    let site = SiteHash::with_endpoint(endpoint, start);
    let now = context.now();
    for run in runs {
        let mut quarantine = context.quarantine.lock();
        let status = quarantine.note_crash(now, &run.fingerprint, site);
        drop(quarantine);
        if status == CrashStatus::Quarantined {
            LogLine::new("request_quarantined")
                .with("fingerprint", &run.fingerprint)
                .with("source", &context.writer.instance)
                .warn();
        }
    }
    context.report_due.notify_one();
}

/// Records that an endpoint completed the request.
pub fn note_completed(context: &EntryContext, request: &CallerRequest) {
    if context.quarantine.lock().is_empty() {
        return;
    }
    let fingerprint = request.fingerprint();
    let mut quarantine = context.quarantine.lock();
    quarantine.note_completed(context.now(), fingerprint);
}
