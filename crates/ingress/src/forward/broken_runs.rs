//! Broken connections, and whether the endpoints at their other ends have ended.

use std::{io, sync::Arc, time::Duration};

use bluebell_core::{
    attempts::WorkKind,
    clock::TimeSpan,
    endpoint_notices::CallObstacle,
    ids::{EndpointId, ServiceName},
    placement::EndpointTarget,
    quarantine::{BreakStep, BrokenRun, PartHash},
};
use bluebell_daemon::logs::LogLine;
use tokio::net::TcpStream;

use crate::{
    context::EntryContext,
    forward::{
        crashes::{self, CrashProof},
        notices, reach, request_log_line,
    },
    frontend::CallerRequest,
};

/// Timeout for opening a connection to an endpoint whose connection broke.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a request whose connection broke waits for the probe before it is sent again. An
/// endpoint that has ended refuses the connection within a round trip.
const MAX_WAIT: TimeSpan = TimeSpan::from_millis(100);

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

/// What shows that an endpoint has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndEvidence {
    /// It was known before.
    Known,
    /// It refuses connections.
    Refused,
    /// It is registered with a later start.
    LaterStart,
    /// It is no longer registered.
    Unregistered,
}

impl EndEvidence {
    /// The label in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            EndEvidence::Known => "known",
            EndEvidence::Refused => "refused",
            EndEvidence::LaterStart => "later_start",
            EndEvidence::Unregistered => "registration",
        }
    }
}

/// Records that the connection to `target` broke while the request ran there, and finds out whether
/// the endpoint has ended. Before a request that may be sent again, waits for that.
pub async fn note_lost_run(
    context: &Arc<EntryContext>,
    request: &CallerRequest,
    target: &EndpointTarget,
    progress: AnswerProgress,
) {
    record_break(context, request, target, progress);
    if request.route.work_kind() == WorkKind::Repeatable {
        wait_for_probe(context, target).await;
    }
}

fn record_break(
    context: &Arc<EntryContext>,
    request: &CallerRequest,
    target: &EndpointTarget,
    progress: AnswerProgress,
) {
    reach::note_broken(context, &request.service, &target.id);
    let parts = request.shared_parts();
    let line = request_log_line(context, "run_lost", request)
        .with("endpoint", &target.id)
        .with("start", target.start)
        .with("answer", progress.as_str())
        .with("parts", part_list(&parts))
        .with("fingerprint", request.fingerprint());
    if !is_expected_to_stay(context, target) {
        line.with("outcome", "endpoint_leaves").info();
        return;
    }
    line.with("outcome", "suspected").info();
    let run = BrokenRun {
        fingerprint: request.fingerprint().clone(),
        parts,
    };
    let now = context.now();
    let step = {
        let mut broken_runs = context.broken_runs.lock();
        broken_runs.note_break(now, &target.id, target.start, run)
    };
    match step {
        BreakStep::Ended => {
            note_ended(context, &target.id, target.start, EndEvidence::Known);
        }
        BreakStep::Probe => {
            let service = request.service.clone();
            tokio::spawn(probe(Arc::clone(context), service, target.clone()));
        }
        BreakStep::Wait => {}
    }
}

/// Waits for the result of a probe of `target`, so that the request is not sent again before it is
/// known whether it may have crashed the endpoint.
pub(super) async fn wait_for_probe(context: &EntryContext, target: &EndpointTarget) {
    let probed = async {
        loop {
            let notified = context.break_probed.notified();
            let is_probing = {
                let broken_runs = context.broken_runs.lock();
                broken_runs.is_probing(&target.id, target.start)
            };
            if !is_probing {
                return;
            }
            notified.await;
        }
    };
    let _ = tokio::time::timeout(MAX_WAIT.as_duration(), probed).await;
}

/// Records that an endpoint has ended, by `evidence`.
pub fn note_ended(
    context: &EntryContext,
    endpoint: &EndpointId,
    start: u64,
    evidence: EndEvidence,
) {
    let now = context.now();
    let (runs, proof) = {
        let mut broken_runs = context.broken_runs.lock();
        match is_certain(evidence) || broken_runs.is_gone(endpoint, start) {
            true => {
                let runs = broken_runs.note_gone(now, endpoint, start);
                (runs, CrashProof::Registration)
            }
            false => {
                let runs = broken_runs.note_ended(now, endpoint, start);
                (runs, CrashProof::Refusal)
            }
        }
    };
    if runs.is_empty() {
        return;
    }
    LogLine::new("endpoint_ended")
        .with("endpoint", endpoint)
        .with("start", start)
        .with("evidence", evidence.as_str())
        .with("runs", runs.len())
        .info();
    crashes::note_crash(context, endpoint, start, &runs, proof);
}

/// Whether the evidence comes from the registrations. A partition may refuse connections as well.
fn is_certain(evidence: EndEvidence) -> bool {
    matches!(
        evidence,
        EndEvidence::LaterStart | EndEvidence::Unregistered
    )
}

/// Whether the endpoint is registered and does not leave. The end of another one is planned, and
/// breaks what has not ended by then.
fn is_expected_to_stay(context: &EntryContext, target: &EndpointTarget) -> bool {
    let obstacle = notices::call_obstacle(context, &target.id, target.start);
    if obstacle == Some(CallObstacle::Leaving) {
        return false;
    }
    let directory = context.directory.lock();
    let known = directory.get(&target.id);
    known.is_some_and(|known| !known.is_leaving)
}

/// Opens a connection to an endpoint of `service` whose connection broke. An endpoint that has ended
/// refuses it; while none of the service is reachable, a refusal is no evidence.
async fn probe(context: Arc<EntryContext>, service: ServiceName, target: EndpointTarget) {
    let connecting = TcpStream::connect(target.address);
    let connected = tokio::time::timeout(PROBE_TIMEOUT, connecting).await;
    let is_refused = matches!(
        &connected,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused
    );
    let outcome = match connected {
        Ok(Ok(_)) => "connected",
        _ if is_refused => "refused",
        _ => "no_answer",
    };
    LogLine::new("endpoint_probed")
        .with("endpoint", &target.id)
        .with("start", target.start)
        .with("outcome", outcome)
        .info();
    if is_refused && !context.reach.lock().is_unreachable(&service) {
        note_ended(&context, &target.id, target.start, EndEvidence::Refused);
    }
    let mut broken_runs = context.broken_runs.lock();
    broken_runs.note_probed(&target.id, target.start);
    drop(broken_runs);
    context.break_probed.notify_waiters();
}

/// The parts of a prompt for the log.
fn part_list(parts: &[PartHash]) -> String {
    /// Maximum number of parts in a log line.
    const MAX_LISTED: usize = 16;
    let listed = parts.iter().take(MAX_LISTED).map(ToString::to_string);
    listed.collect::<Vec<_>>().join(",")
}
