//! What changes of the directory say about endpoints whose connections broke or that asked for rest.

use bluebell_core::{directory::EndpointRegistration, ids::EndpointId, streams::EndpointProcess};
use bluebell_daemon::logs::LogLine;

use crate::{
    context::EntryContext,
    forward::broken_runs::{self, EndEvidence},
};

/// Handles a registration that was entered into the directory: an earlier start of the endpoint has
/// ended.
pub fn note_registered(context: &EntryContext, registration: &EndpointRegistration) {
    let id = &registration.id;
    let now = context.now();
    let mut notices = context.endpoint_notices.lock();
    notices.note_started(now, id, registration.start);
    drop(notices);
    note_streams(context, registration);
    if registration.is_leaving {
        context.broken_runs.lock().remove_endpoint(id);
        return;
    }
    note_starts_ended(
        context,
        id,
        Some(registration.start),
        EndEvidence::LaterStart,
    );
}

/// Records again the streams that may have begun at the registered process, before its registration was
/// known here.
pub(super) fn note_streams(context: &EntryContext, registration: &EndpointRegistration) {
    let process = EndpointProcess {
        endpoint: registration.id.clone(),
        start: registration.start,
    };
    let origin = registration.origin();
    let peers = || context.record_peers();
    let local = context.local_recorder();
    let names = context
        .streams
        .note_started(&process, origin, &local, peers);
    if names > 0 {
        LogLine::new("streams_contradictory")
            .with("endpoint", &registration.id)
            .with("start", registration.start)
            .with("names", names)
            .info();
    }
}

/// Removes an endpoint at whose address another one answered: it has ended.
pub fn note_replaced(context: &EntryContext, endpoint: &EndpointId) {
    context.directory.lock().remove_endpoint(endpoint);
    note_removed(context, endpoint);
}

/// Handles the removal of an endpoint from the directory.
pub fn note_removed(context: &EntryContext, endpoint: &EndpointId) {
    note_starts_ended(context, endpoint, None, EndEvidence::Unregistered);
}

fn note_starts_ended(
    context: &EntryContext,
    endpoint: &EndpointId,
    before: Option<u64>,
    evidence: EndEvidence,
) {
    let starts = context.broken_runs.lock().starts_before(endpoint, before);
    for start in starts {
        broken_runs::note_ended(context, endpoint, start, evidence);
    }
}
