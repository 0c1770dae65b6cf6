//! Requests that crash the endpoints that run them: what their runs show, and whether they
//! are refused.

use bluebell_core::{
    clock::TimeSpan,
    ids::EndpointId,
    quarantine::{BrokenRun, CrashStatus, MAX_LOST_ENDPOINTS, PartHash, SiteHash},
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

/// Whether the request is quarantined, by itself or for a part of its prompt. Without any known
/// crash, neither is looked up.
pub fn quarantined(context: &EntryContext, request: &CallerRequest) -> Option<Quarantined> {
    quarantined_part(context, request).or_else(|| quarantined_request(context, request))
}

fn quarantined_part(context: &EntryContext, request: &CallerRequest) -> Option<Quarantined> {
    if context.prompt_parts.lock().is_empty() {
        return None;
    }
    let parts = request.shared_parts();
    let now = context.now();
    let refused = context.prompt_parts.lock().refuse(now, &parts)?;
    Some(Quarantined {
        remaining: refused.remaining,
        detail: format!(
            "{} endpoints crashed under prompts with the part `{}`",
            refused.crashes, refused.part
        ),
    })
}

fn quarantined_request(context: &EntryContext, request: &CallerRequest) -> Option<Quarantined> {
    if context.quarantine.lock().is_empty() {
        return None;
    }
    let fingerprint = request.fingerprint();
    let now = context.now();
    let mut quarantine = context.quarantine.lock();
    let remaining = quarantine.quarantined_for(now, fingerprint)?;
    // Requests that ran beside one with a part that crashes endpoints did not crash them.
    let prompt_parts = context.prompt_parts.lock();
    let sites = quarantine.sites(fingerprint);
    let unexplained = sites.filter(|site| !prompt_parts.explains(*site));
    if unexplained.count() < MAX_LOST_ENDPOINTS {
        return None;
    }
    quarantine.note_refused(now, fingerprint);
    let crashes = quarantine.crashes(fingerprint);
    Some(Quarantined {
        remaining,
        detail: format!("{crashes} endpoints crashed while they ran `{fingerprint}`"),
    })
}

/// The evidence that an endpoint ended while it ran requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashProof {
    /// It refuses connections, as a partition may do as well.
    Refusal,
    /// Its registration has lapsed or has a later start.
    Registration,
}

/// Records that the endpoint that was started at `start` ended while these runs were there, and has
/// it reported to the other entries.
pub fn note_crash(
    context: &EntryContext,
    endpoint: &EndpointId,
    start: u64,
    runs: &[BrokenRun],
    proof: CrashProof,
) {
    let site = SiteHash::with_endpoint(endpoint, start);
    let now = context.now();
    for run in runs {
        let mut quarantine = context.quarantine.lock();
        let earlier = quarantine.status(&run.fingerprint);
        let status = match proof {
            CrashProof::Refusal => quarantine.note_crash(now, &run.fingerprint, site),
            CrashProof::Registration => quarantine.confirm_crash(now, &run.fingerprint, site),
        };
        drop(quarantine);
        if status == CrashStatus::Quarantined && status != earlier {
            LogLine::new("request_quarantined")
                .with("fingerprint", &run.fingerprint)
                .with("source", &context.writer.instance)
                .warn();
            context.crash_records.note_quarantined();
        }
    }
    let parts = runs.iter().flat_map(|run| run.parts.iter().copied());
    let parts = parts.collect();
    let mut prompt_parts = context.prompt_parts.lock();
    let quarantined = match proof {
        CrashProof::Refusal => prompt_parts.note_crash(now, site, &parts),
        CrashProof::Registration => prompt_parts.confirm_crash(now, site, &parts),
    };
    drop(prompt_parts);
    log_quarantined_parts(context, &quarantined, context.writer.instance.as_str());
    context.report_due.notify_one();
}

/// Logs parts that are quarantined since a report of `source`.
pub fn log_quarantined_parts(context: &EntryContext, parts: &[PartHash], source: &str) {
    for part in parts {
        LogLine::new("prompt_part_quarantined")
            .with("part", part)
            .with("source", source)
            .warn();
        context.crash_records.note_quarantined();
    }
    let quarantined = context.prompt_parts.lock().quarantined().count();
    context.metrics.quarantined_parts.set(quarantined as i64);
}

/// Records that an endpoint completed the request. An answer that states a failure does not count: its
/// endpoint may not have begun to run the request.
pub fn note_completed(context: &EntryContext, request: &CallerRequest) {
    if context.quarantine.lock().is_empty() {
        return;
    }
    let fingerprint = request.fingerprint();
    let mut quarantine = context.quarantine.lock();
    quarantine.note_completed(context.now(), fingerprint);
}

/// Records that an endpoint has written an answer to the request, or has been writing it for some
/// time: no part of its prompt crashes endpoints.
pub fn note_answered(context: &EntryContext, request: &CallerRequest) {
    let parts = request.shared_parts();
    if !parts.is_empty() {
        let now = context.now();
        context.prompt_parts.lock().note_answered(now, &parts);
    }
}
