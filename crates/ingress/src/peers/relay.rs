//! Relaying the state of the store from the reader of a failure domain to the others there.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{EndpointId, InstanceId, LogOffset},
    relay::{VersionAdvertisement, VersionSource, relay_age_limit},
};
use bluebell_daemon::logs::LogLine;

use crate::{
    context::EntryContext,
    peers::{
        messages::{ChangeMessage, CopyMessage, PeerMessage, RelayMessage, pack_changes},
        table::PeerTable,
    },
    sync,
};

impl EntryContext {
    /// Whether this instance reads the store for its failure domain.
    pub fn is_reader(&self) -> bool {
        let (local, domain) = (&self.writer.instance, &self.settings.domain);
        self.peers.lock().is_reader(self.now(), local, domain)
    }

    /// The instance that reads the store for this failure domain.
    pub fn reader(&self) -> InstanceId {
        let (local, domain) = (&self.writer.instance, &self.settings.domain);
        self.peers.lock().reader(self.now(), local, domain)
    }

    /// Whether the configuration and keys here are older than relayed ones may be.
    pub fn must_read_keys_by_age(&self) -> bool {
        let now = self.now();
        let limit = relay_age_limit(self.settings.bounds.configuration_rollout);
        !self.configuration.lock().is_fresh(now, limit)
    }

    /// Whether configuration and keys must be read from the store here: this instance is the
    /// reader, the relayed state is too old, or the reader advertises a newer version that
    /// can be fetched.
    pub fn must_read_keys(&self) -> bool {
        let advertised = self.relayed.lock().configuration;
        let is_behind = self.configuration.lock().version() < Some(advertised.version());
        let is_available = advertised.source(self.now()) != VersionSource::Pending;
        self.must_read_keys_by_age() || (is_behind && is_available) || self.is_reader()
    }

    /// Whether the endpoints must be read from the store here: this instance is the reader,
    /// the relayed state is too old, or it differs from the directory here.
    pub fn must_read_endpoints(&self) -> bool {
        let now = self.now();
        let relayed = self.relayed.lock();
        let known_at = relayed.endpoints_synced_at;
        let limit = relay_age_limit(self.settings.bounds.endpoint_drain);
        let is_stale = known_at.is_none_or(|at| now.since(at) >= limit);
        let differs = relayed.must_resync;
        drop(relayed);
        is_stale || differs || self.is_reader()
    }
}

/// The relay message of this instance, with the due changes; `None` unless it is the reader
/// and has read the store.
pub fn message(context: &EntryContext, now: ClockTime) -> Option<RelayMessage> {
    if !context.is_reader() {
        return None;
    }
    let (version, keys_age) = {
        let tracker = context.configuration.lock();
        (tracker.version()?, tracker.age(now)?)
    };
    let (endpoints_known_at, configuration_next) = {
        let relayed = context.relayed.lock();
        (relayed.endpoints_synced_at?, relayed.configuration_next)
    };
    let digest = context.directory.lock().digest();
    let changes = context.peers.lock().take_due_changes(now);
    let copy = CopyMessage::new(context.published_copy.lock().state(version));
    let packed_changes = pack_changes(changes).unwrap_or_else(|error| {
        LogLine::new("changes_not_packed")
            .with("error", error)
            .warn();
        Vec::new()
    });
    Some(RelayMessage {
        version,
        configuration_next: configuration_next.number(),
        copy,
        keys_age_ms: keys_age.as_millis(),
        endpoints_age_ms: now.since(endpoints_known_at).as_millis(),
        digest,
        packed_changes,
    })
}

/// Applies the relay message in `message` if `peer` is the reader of this failure domain.
pub fn apply(context: &EntryContext, peer: &InstanceId, message: &PeerMessage) {
    let Some(relay) = &message.relay else { return };
    let now = context.now();
    let (local, domain) = (&context.writer.instance, &context.settings.domain);
    if !context
        .peers
        .lock()
        .is_peer_reader(now, local, domain, peer)
    {
        return;
    }
    let Some(echo) = PeerTable::echoed_stamp(message.echo) else {
        return;
    };
    let keys_known_at = echo.known_at(TimeSpan::from_millis(relay.keys_age_ms));
    let endpoints_known_at = echo.known_at(TimeSpan::from_millis(relay.endpoints_age_ms));
    // Precedes the changes: whether a registration can have lapsed depends on the time of
    // the store's last answer.
    context.directory.lock().note_answer(endpoints_known_at);
    match relay.changes() {
        Ok(changes) => {
            for change in &changes {
                apply_change(context, peer, change);
            }
        }
        Err(error) => LogLine::new("relay_rejected").with("error", error).warn(),
    }
    {
        let mut tracker = context.configuration.lock();
        tracker.note_advertised(now, relay.version);
        if tracker.version() == Some(relay.version) {
            tracker.confirm(keys_known_at);
        }
    }
    let digest = context.directory.lock().digest();
    let mut relayed = context.relayed.lock();
    if relay.version > relayed.configuration.version() {
        log_advertised_version(context, peer, relay.version);
    }
    let advertisement = VersionAdvertisement {
        version: relay.version,
        known_at: keys_known_at,
        next: LogOffset::new(relay.configuration_next),
        copy: CopyMessage::state(relay.copy.as_ref()),
    };
    if relayed.configuration.note_advertisement(now, advertisement) {
        context.wake.notify_waiters();
    }
    if relayed.difference.compare(now, digest, relay.digest) {
        relayed.must_resync = true;
        context.wake.notify_waiters();
    } else if digest == relay.digest {
        relayed.endpoints_synced_at = relayed.endpoints_synced_at.max(Some(endpoints_known_at));
    }
}

fn log_advertised_version(context: &EntryContext, peer: &InstanceId, version: u64) {
    context.metrics.advertised_version.set(version as i64);
    let in_force = context.configuration.lock().version();
    if in_force == Some(version) {
        return;
    }
    LogLine::new("configuration")
        .with("version", version)
        .with("own_version", in_force.unwrap_or_default())
        .with("source", peer)
        .with("outcome", "advertised")
        .info();
}

fn apply_change(context: &EntryContext, reader: &InstanceId, change: &ChangeMessage) {
    let id = match EndpointId::new(change.endpoint.as_str()) {
        Ok(id) => id,
        Err(error) => {
            LogLine::new("relay_rejected").with("error", error).warn();
            return;
        }
    };
    match (&change.value, change.kept_for_ms) {
        (Some(value), _) => sync::register(context, &id, value),
        (None, Some(kept_for_ms)) => {
            let kept_for = TimeSpan::from_millis(kept_for_ms);
            sync::lapse(context, &id, kept_for, reader);
        }
        (None, None) => sync::unregister(context, &id),
    }
}
