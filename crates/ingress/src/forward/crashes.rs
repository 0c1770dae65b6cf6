//! Requests that crash the endpoints that run them: what their runs show, and whether they
//! are refused.

use bluebell_core::{
    clock::TimeSpan,
    placement::EndpointTarget,
    quarantine::{CrashStatus, PartHash, SiteHash},
};

use crate::{
    context::EntryContext,
    forward::{reach, request_log_line},
    frontend::CallerRequest,
};

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

/// How far the answer to a run had come when the connection broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerProgress {
    /// Nothing had arrived.
    None,
    /// The head had arrived.
    Head,
    /// Events had arrived.
    Events,
}

impl AnswerProgress {
    /// The label in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            AnswerProgress::None => "none",
            AnswerProgress::Head => "head",
            AnswerProgress::Events => "events",
        }
    }
}

/// Records that the connection to `target` broke while the request ran there, and has it
/// reported to the other entries.
pub fn note_crash(
    context: &EntryContext,
    request: &CallerRequest,
    target: &EndpointTarget,
    progress: AnswerProgress,
) {
    reach::note_broken(context, &request.service, &target.id);
    let site = SiteHash::with_endpoint(&target.id, target.start);
    let fingerprint = request.fingerprint();
    let status = {
        let mut quarantine = context.quarantine.lock();
        quarantine.note_crash(context.now(), fingerprint, site)
    };
    context.report_due.notify_one();
    let line = request_log_line(context, "run_lost", request)
        .with("endpoint", &target.id)
        .with("start", target.start)
        .with("answer", progress.as_str())
        .with("parts", part_list(&request.shared_parts()))
        .with("fingerprint", fingerprint);
    match status {
        CrashStatus::Quarantined => line.with("outcome", "quarantined").warn(),
        _ => line.with("outcome", "suspect").info(),
    }
}

/// The parts of a prompt for the log.
fn part_list(parts: &[PartHash]) -> String {
    /// Maximum number of parts in a log line.
    const MAX_LISTED: usize = 16;
    let listed = parts.iter().take(MAX_LISTED).map(ToString::to_string);
    listed.collect::<Vec<_>>().join(",")
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
