//! What endpoints saw.

use std::collections::{BTreeMap, BTreeSet};

use bluebell_core::clock::{ClockTime, TimeSpan};
use standin_engine::history::EngineEvent;
use standin_service::history::ExecutionRecord;

use super::{Promise, Violation};

/// The ids of all requests that an engine accepted.
pub fn accepted_requests(events: &[EngineEvent]) -> BTreeSet<String> {
    let accepted = |event: &EngineEvent| match event {
        EngineEvent::Accepted { request, .. } => Some(request.to_string()),
        _ => None,
    };
    events.iter().filter_map(accepted).collect()
}

/// What is one action for a service that may not repeat it: the caller's mark,
/// or the request itself where there is none.
fn action(record: &ExecutionRecord) -> Option<String> {
    let mark = record.idempotency_key.as_ref().or(record.request.as_ref());
    mark.map(|mark| format!("{} {} {mark}", record.method, record.path))
}

/// Over all replicas of a service, no action runs twice.
pub fn at_most_once(executions: &[ExecutionRecord]) -> Vec<Violation> {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for action in executions.iter().filter_map(action) {
        *counts.entry(action).or_default() += 1;
    }
    let doubled = counts.into_iter().filter(|(_, count)| *count > 1);
    doubled
        .map(|(action, count)| {
            let detail = format!("`{action}` ran {count} times");
            Violation::new(Promise::AtMostOnce, detail)
        })
        .collect()
}

/// No caller's key is anywhere in `texts`, what endpoints saw and processes
/// wrote.
pub fn no_key_seen(keys: &[&str], texts: &[String]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (number, text) in texts.iter().enumerate() {
        if keys.iter().any(|key| text.contains(*key)) {
            let detail = format!("text {number} holds a key");
            violations.push(Violation::new(Promise::OwnOrganisation, detail));
        }
    }
    violations
}

/// Whose request an endpoint ran, as the processes' records tell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedRequest {
    /// The request.
    pub request: String,
    /// The organisation.
    pub organisation: String,
}

/// Every request that was attributed to an organisation is one that its own
/// callers sent.
pub fn own_organisation(attributed: &[OwnedRequest], sent: &[OwnedRequest]) -> Vec<Violation> {
    let known: BTreeMap<&str, &str> = sent
        .iter()
        .map(|owned| (owned.request.as_str(), owned.organisation.as_str()))
        .collect();
    let strange = attributed.iter().filter(|owned| {
        let owner = known.get(owned.request.as_str());
        owner.is_some_and(|owner| *owner != owned.organisation)
    });
    strange
        .map(|owned| {
            let detail = format!("`{}` ran for `{}`", owned.request, owned.organisation);
            Violation::new(Promise::OwnOrganisation, detail)
        })
        .collect()
}

/// The engine accepted no work later than `bound` after `marked_at`, when it
/// was marked as leaving.
pub fn leaving_gets_no_work(
    events: &[EngineEvent],
    marked_at: ClockTime,
    bound: TimeSpan,
) -> Vec<Violation> {
    let late = |event: &EngineEvent| match event {
        EngineEvent::Accepted { at, request, .. } if *at > marked_at + bound => {
            Some(format!("`{request}` came {} after", at.since(marked_at)))
        }
        _ => None,
    };
    let details = events.iter().filter_map(late);
    details
        .map(|detail| Violation::new(Promise::LeavingGetsNoWork, detail))
        .collect()
}
