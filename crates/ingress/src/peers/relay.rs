//! Telling a failure domain what its reader knows, and taking the reader's word.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{EndpointId, InstanceId, LogOffset},
    relay::{ConfigurationAdvert, VersionSource, told_limit},
};
use bluebell_daemon::logs::LogLine;

use crate::{
    believe,
    context::EntryContext,
    peers::{
        messages::{ChangeMessage, CopyMessage, PeerMessage, RelayMessage, pack_changes},
        table::PeerTable,
    },
};

impl EntryContext {
    /// Whether this instance reads the store for its failure domain.
    pub fn is_reader(&self) -> bool {
        let (own, domain) = (&self.writer.instance, &self.settings.domain);
        self.peers.lock().is_reader(self.now(), own, domain)
    }

    /// Who reads the store for this failure domain.
    pub fn reader(&self) -> InstanceId {
        let (own, domain) = (&self.writer.instance, &self.settings.domain);
        self.peers.lock().reader(self.now(), own, domain)
    }

    /// Whether the knowledge of keys is too old to be anybody's word.
    pub fn must_read_keys_by_age(&self) -> bool {
        let now = self.now();
        let limit = told_limit(self.settings.bounds.configuration);
        !self.configuration.lock().is_fresh(now, limit)
    }

    /// Whether configuration and keys have to be read from the store here: nobody
    /// reads for this instance, the reader's word is too old, or it advertises a newer
    /// version that can be fetched.
    pub fn must_read_keys(&self) -> bool {
        let advertised = self.relayed.lock().configuration;
        let is_behind = self.configuration.lock().version() < Some(advertised.version());
        let is_available = advertised.source(self.now()) != VersionSource::Awaited;
        self.must_read_keys_by_age() || (is_behind && is_available) || self.is_reader()
    }

    /// Whether the endpoints have to be read from the store here.
    pub fn must_read_endpoints(&self) -> bool {
        let now = self.now();
        let relayed = self.relayed.lock();
        let known_at = relayed.endpoints_synced_at;
        let limit = told_limit(self.settings.bounds.leaving);
        let is_old = known_at.is_none_or(|at| now.since(at) >= limit);
        let differs = relayed.must_resync;
        drop(relayed);
        is_old || differs || self.is_reader()
    }
}

/// What this instance tells its failure domain, if it reads for it.
pub fn message(context: &EntryContext, now: ClockTime) -> Option<RelayMessage> {
    if !context.is_reader() {
        return None;
    }
    let (version, keys_age) = {
        let belief = context.configuration.lock();
        (belief.version()?, belief.age(now)?)
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

/// Takes the word of the reader of this instance's failure domain.
pub fn take(context: &EntryContext, peer: &InstanceId, message: &PeerMessage) {
    let Some(relay) = &message.relay else { return };
    let now = context.now();
    let (own, domain) = (&context.writer.instance, &context.settings.domain);
    if !context.peers.lock().has_reader(now, own, domain, peer) {
        return;
    }
    let Some(echo) = PeerTable::echoed(message.echo) else {
        return;
    };
    let keys_known_at = echo.known_at(TimeSpan::from_millis(relay.keys_age_ms));
    let endpoints_known_at = echo.known_at(TimeSpan::from_millis(relay.endpoints_age_ms));
    // Before the changes: whether a registration can have lapsed depends on it.
    context.directory.lock().note_return(endpoints_known_at);
    match relay.changes() {
        Ok(changes) => {
            for change in &changes {
                take_change(context, peer, change);
            }
        }
        Err(error) => LogLine::new("relay_rejected").with("error", error).warn(),
    }
    {
        let mut belief = context.configuration.lock();
        belief.note_advertised(now, relay.version);
        if belief.version() == Some(relay.version) {
            belief.confirm(keys_known_at);
        }
    }
    let digest = context.directory.lock().digest();
    let mut relayed = context.relayed.lock();
    if relay.version > relayed.configuration.version() {
        note_advertised_version(context, peer, relay.version);
    }
    let advert = ConfigurationAdvert {
        version: relay.version,
        known_at: keys_known_at,
        next: LogOffset::new(relay.configuration_next),
        copy: CopyMessage::state(relay.copy.as_ref()),
    };
    if relayed.configuration.note(now, advert) {
        context.wake.notify_waiters();
    }
    if relayed.difference.compare(now, digest, relay.digest) {
        relayed.must_resync = true;
        context.wake.notify_waiters();
    } else if digest == relay.digest {
        relayed.endpoints_synced_at = relayed.endpoints_synced_at.max(Some(endpoints_known_at));
    }
}

fn note_advertised_version(context: &EntryContext, peer: &InstanceId, version: u64) {
    context.metrics.advertised_version.set(version as i64);
    let own = context.configuration.lock().version();
    if own == Some(version) {
        return;
    }
    LogLine::new("configuration")
        .with("version", version)
        .with("own_version", own.unwrap_or_default())
        .with("source", peer)
        .with("outcome", "advertised")
        .info();
}

fn take_change(context: &EntryContext, teller: &InstanceId, change: &ChangeMessage) {
    let id = match EndpointId::new(change.endpoint.as_str()) {
        Ok(id) => id,
        Err(error) => {
            LogLine::new("relay_rejected").with("error", error).warn();
            return;
        }
    };
    match (&change.value, change.kept_for_ms) {
        (Some(value), _) => believe::register(context, &id, value),
        (None, Some(kept_for_ms)) => {
            let kept_for = TimeSpan::from_millis(kept_for_ms);
            believe::lapse(context, &id, kept_for, teller);
        }
        (None, None) => believe::unregister(context, &id),
    }
}
