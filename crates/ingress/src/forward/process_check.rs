//! Checks which process serves at the address of an endpoint.

use std::time::Duration;

use bluebell_adapter::CallError;
use bluebell_core::{clock::TimeSpan, placement::EndpointTarget};
use bluebell_daemon::logs::LogLine;

use crate::context::EntryContext;

/// How long the report of an endpoint is awaited. It takes a round trip, as it needs no slot.
const REPORT_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);

/// The pause before the report is asked for once more. An endpoint resets connections beyond its limit.
const REPEAT_DELAY: Duration = Duration::from_millis(50);

/// What serves at the address of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// The registered process.
    Registered,
    /// A process with the endpoint's id, which reports no start.
    Unstated,
    /// A process with the endpoint's id, which reports nothing.
    Unreported,
    /// A later process with the endpoint's id.
    Restarted,
    /// Nothing that answers in time, or another endpoint.
    Gone,
}

impl ProcessState {
    /// The label in logs.
    const fn as_str(self) -> &'static str {
        match self {
            ProcessState::Registered => "registered",
            ProcessState::Unstated => "unstated",
            ProcessState::Unreported => "unreported",
            ProcessState::Restarted => "restarted",
            ProcessState::Gone => "gone",
        }
    }

    /// Whether a process of the endpoint serves that is not known to be a later one.
    pub fn is_running(self) -> bool {
        !matches!(self, ProcessState::Restarted | ProcessState::Gone)
    }
}

/// Finds out which process serves at the address of `target`.
pub async fn check(context: &EntryContext, target: &EndpointTarget) -> ProcessState {
    let asking = ask_twice(context, target);
    let asked = tokio::time::timeout(REPORT_TIMEOUT.as_duration(), asking).await;
    let (state, detail) = match asked {
        Ok(Ok(state)) => (state, "-".to_string()),
        Ok(Err(error)) => (ProcessState::Gone, error.to_string()),
        Err(_) => (ProcessState::Gone, "no report in time".to_string()),
    };
    LogLine::new("process_checked")
        .with("endpoint", &target.id)
        .with("outcome", state.as_str())
        .with("detail", detail)
        .info();
    state
}

async fn ask_twice(
    context: &EntryContext,
    target: &EndpointTarget,
) -> Result<ProcessState, CallError> {
    match ask(context, target).await {
        Err(CallError::Transfer(_)) => {
            tokio::time::sleep(REPEAT_DELAY).await;
            ask(context, target).await
        }
        asked => asked,
    }
}

async fn ask(context: &EntryContext, target: &EndpointTarget) -> Result<ProcessState, CallError> {
    let client = &context.engine_client;
    let report = client.report(target.address, &target.id, REPORT_TIMEOUT);
    let report = report.await?;
    Ok(match report.start {
        Some(start) if start == target.start => ProcessState::Registered,
        Some(_) => ProcessState::Restarted,
        None if report.is_reported => ProcessState::Unstated,
        None => ProcessState::Unreported,
    })
}
