//! Checks whether the process that was chosen for a request is the one that serves at its address.

use bluebell_core::{clock::TimeSpan, placement::EndpointTarget};
use bluebell_daemon::logs::LogLine;

use crate::context::EntryContext;

/// How long the report of an endpoint is awaited. It takes a round trip, as it needs no slot.
const REPORT_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);

/// Whether the process of `target` runs now: a process with its id answers at its address, and does
/// not state another start.
pub async fn is_running(context: &EntryContext, target: &EndpointTarget) -> bool {
    let client = &context.engine_client;
    let reporting = client.report(target.address, &target.id, REPORT_TIMEOUT);
    let reported = tokio::time::timeout(REPORT_TIMEOUT.as_duration(), reporting).await;
    let (is_running, outcome) = match reported {
        Ok(Ok(report)) if report.start.is_none_or(|start| start == target.start) => {
            (true, "running".to_string())
        }
        Ok(Ok(_)) => (false, "restarted".to_string()),
        Ok(Err(error)) => (false, error.to_string()),
        Err(_) => (false, "no report in time".to_string()),
    };
    LogLine::new("process_checked")
        .with("endpoint", &target.id)
        .with("outcome", outcome)
        .info();
    is_running
}
