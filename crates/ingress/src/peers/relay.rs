//! Relaying the state of the store from the reader of a failure domain to the others there.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    directory::{ReaderState, RelayedDirectory},
    ids::{EndpointId, InstanceId, LogOffset},
    relay::{
        self, ConfirmationSource, EchoedTimestamp, KnownState, MAX_CONFIGURATION_READ_DELAY,
        MAX_READER_AGE, ProcessStamp, StateSource, VersionAdvertisement, VersionSource,
        relay_age_limit,
    },
};
use bluebell_daemon::logs::LogLine;

use crate::{
    context::EntryContext,
    peers::{
        messages::PeerMessage,
        relay_messages::{ChangeMessage, CopyMessage, RelayMessage, pack_changes},
    },
    sync,
};

impl EntryContext {
    /// Whether this instance reads the store for its failure domain: it is the first there,
    /// or it reads the store as no current state is relayed.
    pub fn is_reader(&self) -> bool {
        let (local, domain) = (&self.writer.instance, &self.settings.domain);
        let is_first = self.peers.lock().is_reader(self.now(), local, domain);
        if is_first {
            return true;
        }
        let state = self.known_endpoints();
        let rank = self.rank();
        rank.is_some_and(|rank| relay::is_relaying(rank, state))
    }

    /// Whether this instance makes the calls that one instance makes for its failure domain.
    pub fn calls_for_domain(&self) -> bool {
        let (local, domain) = (&self.writer.instance, &self.settings.domain);
        let now = self.now();
        if self.peers.lock().is_reader(now, local, domain) {
            return true;
        }
        let state = self.known_endpoints();
        let is_lost =
            self.endpoint_reads.lock().is_lost(now) || self.store_reads.lock().is_lost(now);
        let rank = self.rank();
        rank.is_some_and(|rank| relay::is_domain_caller(rank, state, !is_lost))
    }

    /// Whether a read of the endpoints is left out, as the store can't be read. Fleets in which
    /// every instance hears all others are small enough to read at once when it is back.
    pub fn defers_endpoint_read(&self) -> bool {
        let is_full_mesh = self.peers.lock().is_full_mesh();
        let reads = *self.store_reads.lock();
        let rank = self.rank().filter(|_| !is_full_mesh);
        rank.is_some_and(|rank| relay::is_read_deferred(rank, reads, self.now()))
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

    /// From where the configuration and keys are taken.
    pub fn configuration_source(&self) -> StateSource {
        self.state_source(self.known_configuration())
    }

    /// How long to wait for a copy of the configuration; `None` if there is no configuration yet,
    /// as the copy of the first one has no time limit.
    pub fn configuration_copy_timeout(&self) -> Option<TimeSpan> {
        self.configuration.lock().version()?;
        let rank = self.rank()?;
        Some(relay::copy_timeout(rank, self.known_configuration()))
    }

    /// How long the store may hold a read of the configuration until there is a newer one.
    pub fn configuration_read_wait(&self) -> TimeSpan {
        let known = self.known_configuration();
        relay::read_wait(known.age, known.age_limit)
    }

    fn known_configuration(&self) -> KnownState {
        let now = self.now();
        let (advertised, is_reader_behind, failed_copies) = {
            let relayed = self.relayed.lock();
            let failed_copies = relayed.failed_configuration_copies;
            (
                relayed.configuration,
                relayed.is_reader_behind,
                failed_copies,
            )
        };
        let (version, age, superseded_for) = {
            let tracker = self.configuration.lock();
            (
                tracker.version(),
                tracker.age(now),
                tracker.superseded_for(now),
            )
        };
        let is_behind = version < Some(advertised.version());
        let is_available = advertised.source(now) != VersionSource::Pending;
        KnownState {
            age: age.unwrap_or(now.since(self.started_at)),
            age_limit: relay_age_limit(self.settings.bounds.configuration_rollout),
            max_read_delay: MAX_CONFIGURATION_READ_DELAY,
            is_incomplete: age.is_none() || (is_behind && is_available),
            superseded_for,
            is_reader_behind,
            silent_for: self.relay_silence(now),
            failed_copies,
        }
    }

    /// The time since an instance of the failure domain has relayed current state.
    pub fn relay_silence(&self, now: ClockTime) -> TimeSpan {
        let last = self.peers.lock().last_relay_at();
        now.since(last.unwrap_or(self.started_at))
    }

    /// From where the endpoints are taken.
    pub fn endpoints_source(&self) -> StateSource {
        self.state_source(self.known_endpoints())
    }

    fn known_endpoints(&self) -> KnownState {
        let now = self.now();
        let silent_for = self.relay_silence(now);
        let bound = self.settings.bounds.endpoint_drain;
        let relayed = self.relayed.lock();
        let reader = ReaderState {
            is_behind: relayed.is_reader_behind,
            silent_for,
        };
        relayed
            .endpoints
            .known_state(now, self.started_at, bound, reader)
    }

    fn rank(&self) -> Option<usize> {
        let (local, domain) = (&self.writer.instance, &self.settings.domain);
        self.peers.lock().rank(self.now(), local, domain)
    }

    fn state_source(&self, state: KnownState) -> StateSource {
        match self.rank() {
            Some(0) => StateSource::Store,
            Some(rank) => relay::state_source(rank, state),
            // No source of copies is known yet. The instance reads the registrations of the
            // others first: further reads would only keep a busy store from answering that.
            None => StateSource::Copy,
        }
    }
}

/// The relay message of this instance, with the due changes; `None` unless it reads the
/// store and has done so.
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
        (
            relayed.endpoints.confirmed_at()?,
            relayed.configuration_next,
        )
    };
    let digest = context.directory.lock().digest();
    let omissions = omit_excess_changes(context, now);
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
        omissions,
    })
}

/// Leaves out the due changes if there are too many; returns how many times that has happened.
fn omit_excess_changes(context: &EntryContext, now: ClockTime) -> u64 {
    let mut peers = context.peers.lock();
    let omitted = peers.omit_excess_changes(now, &context.settings.domain);
    if omitted > 0 {
        LogLine::new("changes_omitted")
            .with("changes", omitted)
            .info();
    }
    peers.omissions()
}

/// Whether relayed state of these ages is current. A reader that the store turns away keeps
/// relaying, and another one takes its place.
fn is_current(context: &EntryContext, relay: &RelayMessage) -> bool {
    let bounds = &context.settings.bounds;
    let is_younger = |age_ms, limit| TimeSpan::from_millis(age_ms) < limit;
    is_younger(
        relay.keys_age_ms,
        relay_age_limit(bounds.configuration_rollout),
    ) && is_younger(
        relay.endpoints_age_ms,
        relay_age_limit(bounds.endpoint_drain),
    )
}

/// Applies the relay message in `message` if `peer` relays current state of this failure
/// domain.
pub fn apply(context: &EntryContext, peer: &InstanceId, message: &PeerMessage) {
    let Some(relay) = &message.relay else { return };
    if message.domain != context.settings.domain.as_str() {
        return;
    }
    let reader_age_ms = relay.keys_age_ms.max(relay.endpoints_age_ms);
    let is_behind = TimeSpan::from_millis(reader_age_ms) >= MAX_READER_AGE;
    context.relayed.lock().is_reader_behind = is_behind;
    let now = context.now();
    // Versions only rise, so even outdated state proves that an older version is superseded.
    context
        .configuration
        .lock()
        .note_advertised(now, relay.version, peer);
    if !is_current(context, relay) {
        return;
    }
    context.peers.lock().note_relay(now, peer);
    let echo = ProcessStamp::new(message.echo_start, message.echo);
    let Some(echo) = EchoedTimestamp::of_process(echo, context.writer.start, now) else {
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
                apply_change(context, peer, change, endpoints_known_at);
            }
        }
        Err(error) => LogLine::new("relay_rejected").with("error", error).warn(),
    }
    let source = ConfirmationSource::Instance(peer.clone());
    sync::confirm_version(context, relay.version, keys_known_at, source);
    let digest = {
        let mut directory = context.directory.lock();
        let digest = directory.digest();
        if digest == relay.digest {
            directory.versions_mut().note_current(endpoints_known_at);
        }
        digest
    };
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
    let directory = RelayedDirectory {
        reader: peer.clone(),
        digest: relay.digest,
        known_at: endpoints_known_at,
        omissions: relay.omissions,
    };
    let before = relayed.endpoints.status(now);
    let had_to_resync = relayed.endpoints.must_resync();
    let must_resync = relayed.endpoints.note_relayed(now, digest, directory);
    drop(relayed);
    if must_resync && !had_to_resync {
        log_difference(peer, relay, before.differs_for);
    }
    if must_resync {
        context.wake.notify_waiters();
    }
    sync::log_directory_confirmed(context, before.age);
    context.confirmed.notify_waiters();
}

/// Logs why the registrations have to be copied.
fn log_difference(reader: &InstanceId, relay: &RelayMessage, differs_for: Option<TimeSpan>) {
    LogLine::new("endpoints_differ")
        .with("reader", reader)
        .with("omissions", relay.omissions)
        .with("differs", differs_for.unwrap_or_default())
        .info();
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

fn apply_change(
    context: &EntryContext,
    reader: &InstanceId,
    change: &ChangeMessage,
    known_at: ClockTime,
) {
    let id = match EndpointId::new(change.endpoint.as_str()) {
        Ok(id) => id,
        Err(error) => {
            LogLine::new("relay_rejected").with("error", error).warn();
            return;
        }
    };
    match (&change.value, change.kept_for_ms) {
        (Some(value), _) => sync::register_relayed(context, &id, value, known_at),
        (None, Some(kept_for_ms)) => {
            let kept_for = TimeSpan::from_millis(kept_for_ms);
            sync::lapse(context, &id, change.removed_number(), kept_for, reader);
        }
        (None, None) => sync::unregister_relayed(context, &id, change.removed_number()),
    }
}
