//! Observes whether the endpoints of each service are reached, and probes them in doubt.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{EndpointId, ServiceName},
    reachability::ReachChange,
};
use bluebell_daemon::logs::LogLine;
use futures::{StreamExt, stream::FuturesUnordered};
use rand::seq::IteratorRandom;
use tokio::net::TcpStream;

use crate::context::EntryContext;

/// How many endpoints of a service are probed at the same time. That all of them have
/// crashed while others work is unlikely.
const PROBED_ENDPOINTS: usize = 4;

/// Timeout for opening a connection to a probed endpoint.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// The pause between two probes of a service that stays in doubt or unreachable.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// How long a request waits for the result of a probe.
const DECISION_TIMEOUT: Duration = Duration::from_millis(400);

/// How long an endpoint may leave a call unanswered, while no other one of its service
/// answers, before that counts against the path to it.
pub const MAX_SILENCE: TimeSpan = TimeSpan::from_millis(600);

/// Records that a connection to an endpoint of `service` was opened.
pub fn note_connected(context: &EntryContext, service: &ServiceName) {
    context.reach.lock().note_connected(service);
}

/// Records that an endpoint of `service` answered.
pub fn note_answered(context: &EntryContext, service: &ServiceName) {
    let now = context.now();
    context.reach.lock().note_answered(now, service);
}

/// Records that no connection to `endpoint` could be opened.
pub fn note_not_connected(context: &EntryContext, service: &ServiceName, endpoint: &EndpointId) {
    let known = known_endpoints(context, service);
    let now = context.now();
    let mut reach = context.reach.lock();
    if reach.note_not_connected(now, service, endpoint, known) {
        context.probe_due.notify_one();
    }
}

/// Records that a connection to `endpoint` broke, or carried no answer for long.
pub fn note_broken(context: &EntryContext, service: &ServiceName, endpoint: &EndpointId) {
    let known = known_endpoints(context, service);
    let now = context.now();
    let mut reach = context.reach.lock();
    if reach.note_broken(now, service, endpoint, known) {
        context.probe_due.notify_one();
    }
}

/// Records that `endpoint` has not answered a call that was sent at `sent`, unless another
/// endpoint of `service` has answered since.
pub fn note_silent(
    context: &EntryContext,
    service: &ServiceName,
    endpoint: &EndpointId,
    sent: ClockTime,
) {
    if !context.reach.lock().has_answered_since(service, sent) {
        note_broken(context, service, endpoint);
    }
}

/// Whether `service` is unreachable from here. While that is in doubt, waits for the result
/// of the probe.
pub async fn is_unreachable(context: &EntryContext, service: &ServiceName) -> bool {
    let decided = context.probed.notified();
    if context.reach.lock().is_unreachable(service) {
        return true;
    }
    if context.reach.lock().is_in_doubt(context.now(), service) {
        let _ = tokio::time::timeout(DECISION_TIMEOUT, decided).await;
    }
    context.reach.lock().is_unreachable(service)
}

/// Probes the endpoints of services that are in doubt or unreachable; never returns.
pub async fn run(context: Arc<EntryContext>) {
    loop {
        let services = context.reach.lock().probe_due(context.now());
        if services.is_empty() {
            context.probe_due.notified().await;
            continue;
        }
        let mut is_any_lost = false;
        for service in services {
            is_any_lost |= probe(&context, &service).await;
        }
        context.probed.notify_waiters();
        if is_any_lost {
            suspect_all(&context);
        } else {
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }
}

/// Puts all services in doubt, so that they are probed before their requests time out.
fn suspect_all(context: &EntryContext) {
    let Some(table) = context.configuration.lock().table().cloned() else {
        return;
    };
    let now = context.now();
    let mut reach = context.reach.lock();
    for service in table.configuration().services.keys() {
        reach.suspect(now, service);
    }
}

/// Probes the endpoints of `service`; returns whether it became unreachable.
async fn probe(context: &EntryContext, service: &ServiceName) -> bool {
    let addresses = sample(context, service);
    let change = match addresses.is_empty() {
        // No probe could end the doubt, which suppresses all crash reports of this instance.
        true => context.reach.lock().note_empty(service),
        false => {
            let is_reached = is_any_reached(addresses).await;
            context.reach.lock().note_probed(service, is_reached)
        }
    };
    match change {
        Some(ReachChange::Lost(since)) => handle_lost(context, service, since),
        Some(ReachChange::Regained) => handle_regained(context, service),
        None => {}
    }
    matches!(change, Some(ReachChange::Lost(_)))
}

fn sample(context: &EntryContext, service: &ServiceName) -> Vec<SocketAddr> {
    let directory = context.directory.lock();
    let endpoints = directory.available_for(service);
    let chosen = endpoints.choose_multiple(&mut rand::rng(), PROBED_ENDPOINTS);
    chosen.into_iter().map(|entry| entry.address).collect()
}

/// Whether a connection to any of the addresses can be opened.
async fn is_any_reached(addresses: Vec<SocketAddr>) -> bool {
    let attempts = addresses.into_iter().map(|address| async move {
        let connected = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
        matches!(connected, Ok(Ok(_)))
    });
    let mut attempts: FuturesUnordered<_> = attempts.collect();
    while let Some(is_reached) = attempts.next().await {
        if is_reached {
            return true;
        }
    }
    false
}

fn handle_lost(context: &EntryContext, service: &ServiceName, since: ClockTime) {
    LogLine::new("endpoints_lost")
        .with("service", service)
        .with("failing_for", context.now().since(since))
        .warn();
    context.quarantine.lock().retract_observed(since);
    context.prompt_parts.lock().retract_observed(since);
    context.broken_runs.lock().retract_since(since);
    context.metrics.unreachable_services.inc();
    // The others are to leave this instance out when they look for one to proxy a request.
    context.report_due.notify_one();
}

fn handle_regained(context: &EntryContext, service: &ServiceName) {
    LogLine::new("endpoints_regained")
        .with("service", service)
        .info();
    context.metrics.unreachable_services.dec();
    context.engines.lock().forget_failures(service);
    let directory = context.directory.lock();
    let mut replicas = context.replicas.lock();
    for entry in directory.available_for(service) {
        replicas.forget_failures(&entry.id);
    }
    drop(replicas);
    drop(directory);
    context.report_due.notify_one();
}

fn known_endpoints(context: &EntryContext, service: &ServiceName) -> usize {
    context.directory.lock().available_for(service).count()
}
