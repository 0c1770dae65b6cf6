//! Entering registrations into the directory of endpoints and removing them, with what follows for
//! connections, engines, replicas and the other instances.

use std::collections::BTreeSet;

use bluebell_adapter::registrations;
use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    directory::{DirectoryChange, EndpointRegistration, RegistrationNumber},
    ids::{EndpointId, InstanceId},
};
use bluebell_daemon::logs::LogLine;

use crate::{context::EntryContext, forward, peers::ChangeMessage};

/// Enters a complete list of registrations into the directory.
pub(super) fn enter_all(context: &EntryContext, registered: &[EndpointRegistration]) {
    let listed = registered.iter().map(|entry| entry.id.clone());
    let listed: BTreeSet<EndpointId> = listed.collect();
    for registration in registered {
        let is_outdated = context.directory.lock().has_newer(registration);
        if !is_outdated {
            enter(context, registration);
        }
    }
    retain_listed(context, &listed);
}

/// Treats the endpoints that are not `listed` as unregistered.
pub(super) fn retain_listed(context: &EntryContext, listed: &BTreeSet<EndpointId>) {
    let now = context.now();
    let is_listed = |id: &EndpointId| listed.contains(id);
    let missing = context.directory.lock().retain_listed(now, is_listed);
    for id in missing {
        forget_if_removed(context, &id);
    }
}

/// Decodes a registration as read from the store and enters it into the directory.
pub(super) fn register(context: &EntryContext, id: &EndpointId, value: &[u8]) {
    if let Some(registration) = decode(id, value)
        && enter(context, &registration)
    {
        queue_change(context, id, Some(value));
    }
}

/// Enters a registration that another instance relays, which knew everything up to `known_at`.
pub fn register_relayed(
    context: &EntryContext,
    id: &EndpointId,
    value: &[u8],
    known_at: ClockTime,
) {
    let Some(registration) = decode(id, value) else {
        return;
    };
    let is_older = Some(known_at) < context.relayed.lock().endpoints.confirmed_at();
    let accepts_relayed = context
        .directory
        .lock()
        .accepts_relayed(&registration, is_older);
    if accepts_relayed && enter(context, &registration) {
        queue_change(context, id, Some(value));
    }
}

fn decode(id: &EndpointId, value: &[u8]) -> Option<EndpointRegistration> {
    let decoded = registrations::decode(id.clone(), value);
    let decoded = decoded.inspect_err(|error| {
        LogLine::new("registration_rejected")
            .with("endpoint", id)
            .with("error", error)
            .warn();
    });
    decoded.ok()
}

/// Enters a registration into the directory; returns whether it changed anything.
fn enter(context: &EntryContext, registration: &EndpointRegistration) -> bool {
    let change = context.directory.lock().register(registration.clone());
    let id = &registration.id;
    match change {
        DirectoryChange::Same => return false,
        DirectoryChange::Outdated => {
            log_outdated(context, registration);
            return false;
        }
        DirectoryChange::Started => {
            context.pools.remove_endpoint(id);
            context.probes.remove_endpoint(id);
        }
        _ => {}
    }
    if registration.stage.is_some() || is_engine(context, registration) {
        let now = context.now();
        context.engines.lock().set_engine(now, registration);
    }
    forward::note_registered(context, registration);
    LogLine::new("endpoint")
        .with("endpoint", id)
        .with("change", format!("{change:?}"))
        .with("service", &registration.service)
        .with("failure_domain", &registration.domain)
        .with("address", registration.address)
        .with("start", registration.start)
        .with("software", &registration.version)
        .with("stage", format!("{:?}", registration.stage))
        .with("preemptible", registration.is_preemptible)
        .with("leaving", registration.is_leaving)
        .info();
    true
}

fn log_outdated(context: &EntryContext, registration: &EndpointRegistration) {
    let known = context.directory.lock().last_number(&registration.id);
    LogLine::new("registration_outdated")
        .with("endpoint", &registration.id)
        .with("start", registration.start)
        .with("sequence", registration.sequence)
        .with("known_start", known.start)
        .with("known_sequence", known.sequence)
        .info();
}

/// Queues a changed registration for the other instances of the failure domain; it is
/// sent only if this instance is their reader.
fn queue_change(context: &EntryContext, id: &EndpointId, value: Option<&[u8]>) {
    let now = context.now();
    let (kept_for, number) = {
        let directory = context.directory.lock();
        (
            directory.remaining_grace(now, id),
            directory.last_number(id),
        )
    };
    let mut change = ChangeMessage {
        endpoint: id.to_string(),
        value: value.map(<[u8]>::to_vec),
        kept_for_ms: kept_for.map(|kept_for| kept_for.as_millis()),
        ..ChangeMessage::default()
    };
    if value.is_none() {
        change.start = number.start;
        change.sequence = number.sequence;
    }
    context.peers.lock().note_change(now, change);
    context.wake.notify_waiters();
}

fn is_engine(context: &EntryContext, registration: &EndpointRegistration) -> bool {
    let tracker = context.configuration.lock();
    let service = tracker
        .table()
        .and_then(|table| table.service(&registration.service));
    service.is_some_and(|service| service.engine.is_some())
}

/// Handles the message of another instance that the registration `number` was the last one of an
/// endpoint, unless a later one is known.
pub fn unregister_relayed(context: &EntryContext, id: &EndpointId, number: RegistrationNumber) {
    let is_last = context.directory.lock().note_relayed_removal(id, number);
    if is_last {
        unregister(context, id);
    }
}

/// Handles a registration that is no longer in the store.
pub(super) fn unregister(context: &EntryContext, id: &EndpointId) {
    let now = context.now();
    let change = context.directory.lock().unregister(now, id);
    if change == DirectoryChange::Same {
        return;
    }
    queue_change(context, id, None);
    record_removal(context, id, change, "store");
    forget_if_removed(context, id);
}

/// Handles the message of the failure domain's `reader` that the registration `number` of an endpoint
/// has lapsed and is kept for `kept_for` at most.
pub fn lapse(
    context: &EntryContext,
    id: &EndpointId,
    number: RegistrationNumber,
    kept_for: TimeSpan,
    reader: &InstanceId,
) {
    let now = context.now();
    let change = context.directory.lock().lapse(now, id, number, kept_for);
    if change == DirectoryChange::Same {
        return;
    }
    record_removal(context, id, change, reader.as_str());
    forget_if_removed(context, id);
}

/// Logs and counts a removed registration with the resulting change, and the instance or
/// store that reported it.
fn record_removal(context: &EntryContext, id: &EndpointId, change: DirectoryChange, source: &str) {
    let outcome = format!("{change:?}");
    let counter = &context.metrics.registrations_removed;
    counter.with_label_values(&[outcome.as_str()]).inc();
    let kept_for = context.directory.lock().remaining_grace(context.now(), id);
    let mut line = LogLine::new("endpoint")
        .with("endpoint", id)
        .with("change", outcome)
        .with("source", source);
    if let Some(kept_for) = kept_for {
        line = line.with("kept_for", kept_for);
    }
    line.info();
}

fn forget_if_removed(context: &EntryContext, id: &EndpointId) {
    if context.directory.lock().get(id).is_some() {
        return;
    }
    forward::note_removed(context, id);
    context.engines.lock().remove_engine(id);
    context.replicas.lock().remove(id);
    context.pools.remove_endpoint(id);
    context.probes.remove_endpoint(id);
}

/// Removes the endpoints that lapsed and did not register again in time.
pub(super) fn drop_lapsed(context: &EntryContext) {
    let now = context.now();
    let lapsed = context.directory.lock().remove_expired(now);
    for id in lapsed {
        LogLine::new("endpoint")
            .with("endpoint", &id)
            .with("change", "lapsed_and_not_back")
            .info();
        forget_if_removed(context, &id);
    }
}
