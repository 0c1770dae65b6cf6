//! State shared by all parts of an entry.

use std::{net::SocketAddr, sync::Arc};

use bluebell_adapter::{
    engines::EngineClient,
    settings::InstanceSettings,
    store::{StoreClient, TopicPart},
};
use bluebell_core::{
    clock::{ClockSource, ClockTime, TimeSpan},
    directory::{DirectoryStatus, DirectorySync, EndpointDirectory},
    endpoint_limits::EndpointLimits,
    endpoint_notices::EndpointNotices,
    ids::{InstanceId, LogOffset},
    ingress::{ConfigurationTracker, ConfigurationValidity, ValidityLimits},
    placement::{EngineTable, ReplicaTable},
    provision::DemandTable,
    quarantine::{BrokenRuns, PartQuarantine, SharedQuarantine},
    quota::RateLimiter,
    reachability::ReachTable,
    relay::{AdvertisedConfiguration, RELAY_TIMEOUT, StateValidity, StoreReads},
    retries::{RetryAllowance, SharedRetryBudget},
    routing::RoutingSettings,
    shutdown::ShutdownSchedule,
    streams::RecordPeer,
    usage::{MeterWriter, UsageMeter},
};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::{
    crash_records::CrashRecords,
    engine_loads::EngineLoads,
    forward::{ConnectionPools, ProcessProbes, WaitingRequests},
    leader::PeerUsage,
    memory::MemoryAccount,
    metrics::EntryMetrics,
    peers::{self, PeerTable},
    shared::Shared,
    state_transfer::StateCache,
    stream_origins::{RecorderFleet, StreamOrigins},
    sync::copies::PublishedCopy,
};

/// Subtracted from the time that the operators allow between the withdrawal of a key and
/// its rejection, which limits the age of the last confirmation of keys: clocks drift, and a
/// request takes a few ms to arrive.
const WITHDRAWAL_MARGIN: TimeSpan = TimeSpan::from_millis(250);

/// The fraction of the extra retries allowed to all entries together that the entries
/// divide among them. The rest is a reserve, because an instance that has just started
/// takes its share before the others count it when they compute theirs.
const EXTRA_BUDGET_SHARE: f64 = 0.8;

/// Duration of the first ejection of a failed endpoint. Crashed replicas are available
/// again after some 4 s.
const FIRST_EJECTION: TimeSpan = TimeSpan::from_millis(1_000);

/// Maximum duration of an ejection: a service may consist of only a few replicas.
const MAX_EJECTION: TimeSpan = TimeSpan::from_millis(8_000);

/// Time until an endpoint receives its full share of requests after an ejection.
const SLOW_START: TimeSpan = TimeSpan::from_millis(2_000);

/// State relayed by the reader of the failure domain, and freshness of the endpoints.
#[derive(Debug, Default)]
pub struct RelayedState {
    /// The newest version of the configuration that the reader advertised.
    pub configuration: AdvertisedConfiguration,
    /// The offset of the next configuration record to read; older ones have been read.
    pub configuration_next: LogOffset,
    /// How far the directory of endpoints agrees with the store.
    pub endpoints: DirectorySync,
    /// Whether the reader relays state that it has not read for some time.
    pub is_reader_behind: bool,
    /// The number of attempts in a row to copy the configuration that have failed.
    pub failed_configuration_copies: u32,
}

/// State shared by requests, background tasks and duties.
#[derive(Debug)]
pub struct EntryContext {
    /// The settings that the platform provides to this instance.
    pub settings: InstanceSettings,
    /// The clock that advances also while the instance is suspended.
    pub clock: ClockSource,
    /// The time of the start of the process.
    pub started_at: ClockTime,
    /// Identifies this instance and this start of its process to others.
    pub writer: MeterWriter,
    /// The client of the store.
    pub store: StoreClient,
    /// The client for control calls to engines.
    pub engine_client: EngineClient,
    /// The configuration in force.
    pub configuration: Shared<ConfigurationTracker>,
    /// Held while the configuration in force is confirmed by a read of its own.
    pub configuration_check: tokio::sync::Mutex<()>,
    /// Whether the configuration can be read from the store.
    pub store_reads: Shared<StoreReads>,
    /// Whether the registrations of endpoints can be read from the store.
    pub endpoint_reads: Shared<StoreReads>,
    /// The registered endpoints.
    pub directory: Shared<EndpointDirectory>,
    /// The queues and the memory use of the engines.
    pub engines: Shared<EngineTable>,
    /// The loads of the engines that this instance tracks for all, and the exchange of loads.
    pub engine_loads: EngineLoads,
    /// The demand of requests on engines, here and at the other entries.
    pub demands: Shared<DemandTable>,
    /// The state of the replicas of plain services.
    pub replicas: Shared<ReplicaTable>,
    /// The requests that wait for room at their service.
    pub room: Shared<WaitingRequests>,
    /// The retry budget.
    pub budget: Shared<SharedRetryBudget>,
    /// The requests that ran on endpoints that crashed.
    pub quarantine: Shared<SharedQuarantine>,
    /// The parts of prompts that crash endpoints.
    pub prompt_parts: Shared<PartQuarantine>,
    /// What is quarantined, in the store.
    pub crash_records: CrashRecords,
    /// Runs whose connections broke, until it is known whether their endpoints ended.
    pub broken_runs: Shared<BrokenRuns>,
    /// The versions at which streams began.
    pub streams: StreamOrigins,
    /// Whether this instance reaches the endpoints of each service.
    pub reach: Shared<ReachTable>,
    /// The limits of organisations and their usage at all instances.
    pub limiter: Shared<RateLimiter>,
    /// The limits that endpoints named for the requests of all entries together.
    pub endpoint_limits: Shared<EndpointLimits>,
    /// The endpoints that asked this instance for rest or said that they leave.
    pub endpoint_notices: Shared<EndpointNotices>,
    /// The usage of organisations per usage window.
    pub meter: Shared<UsageMeter>,
    /// The other entry instances.
    pub peers: Shared<PeerTable>,
    /// The state relayed by the reader of the failure domain.
    pub relayed: Shared<RelayedState>,
    /// The compressed state that other instances copy.
    pub state_cache: Shared<StateCache>,
    /// The cached copy of the configuration that this instance publishes for the others.
    pub published_copy: Shared<PublishedCopy>,
    /// Unpublished usage reported by other entries of the failure domain.
    pub peer_usage: Shared<PeerUsage>,
    /// Wakes the tasks that follow the store and that send messages to peers.
    pub wake: Notify,
    /// Wakes requests that wait for a confirmation of the configuration or the endpoints.
    pub confirmed: Notify,
    /// Wakes the task that reads the registrations before its next read is due.
    pub read_due: Notify,
    /// Wakes the task that reports usage of limits and crashes to the other instances.
    pub report_due: Notify,
    /// Wakes the task that probes the endpoints of services in doubt.
    pub probe_due: Notify,
    /// Wakes requests that wait for the result of a probe.
    pub probed: Notify,
    /// Wakes requests that wait until it is known whether an endpoint has ended.
    pub break_probed: Notify,
    /// Wakes the task that lets waiting requests through.
    pub room_changed: Notify,
    /// Idle connections to endpoints.
    pub pools: ConnectionPools,
    /// The probe connections to endpoints that state no start.
    pub probes: ProcessProbes,
    /// The bytes held for callers and endpoints.
    pub memory: Arc<MemoryAccount>,
    /// The metrics of the process.
    pub metrics: EntryMetrics,
    /// Cancelled when the process is asked to stop; no deferrable work starts afterwards.
    pub stopping: CancellationToken,
    /// The times of the stop, once the process was asked to stop.
    pub shutdown: Shared<Option<ShutdownSchedule>>,
    /// Cancelled during a stop when the requests that are still open have to be answered.
    pub answers_due: CancellationToken,
}

impl EntryContext {
    /// Creates the state of an entry that has neither configuration nor endpoints yet.
    pub fn new(
        settings: InstanceSettings,
        clock: ClockSource,
        store: StoreClient,
        engine_client: EngineClient,
        metrics: EntryMetrics,
    ) -> EntryContext {
        let routing = RoutingSettings {
            eject_first: FIRST_EJECTION,
            eject_most: MAX_EJECTION,
            slow_start: SLOW_START,
            ..RoutingSettings::default()
        };
        let bounds = settings.bounds;
        let allowance = RetryAllowance {
            share: bounds.retry_share,
            extra: 0.0,
            window: bounds.retry_window,
        };
        let writer = MeterWriter {
            instance: settings.instance.clone(),
            start: crate::time::wall_time().as_millis(),
        };
        let started_at = clock.now();
        let heartbeat = settings.heartbeat;
        let directory = EndpointDirectory::new()
            .with_heartbeat(heartbeat)
            .with_stable_period(bounds.stable_period)
            .with_first_start(settings.is_first_start);
        let seed = rand::random();
        let limiter = RateLimiter::new(started_at, bounds.quota).with_seed(seed);
        let memory = MemoryAccount::new(settings.memory_mb, clock.clone());
        let engine_loads = EngineLoads::new(
            writer.clone(),
            settings.domain.clone(),
            clock.clone(),
            metrics.engine_loads.clone(),
        );
        EntryContext {
            settings,
            started_at,
            clock,
            writer,
            store,
            engine_client,
            configuration: Shared::new(ConfigurationTracker::new()),
            configuration_check: tokio::sync::Mutex::default(),
            store_reads: Shared::new(StoreReads::new()),
            endpoint_reads: Shared::new(StoreReads::new()),
            directory: Shared::new(directory),
            engines: Shared::new(EngineTable::new(routing.clone()).with_seed(seed)),
            engine_loads,
            demands: Shared::new(DemandTable::new()),
            replicas: Shared::new(ReplicaTable::new(routing).with_seed(seed)),
            room: Shared::new(WaitingRequests::with_seed(seed)),
            budget: Shared::new(SharedRetryBudget::new(allowance).with_start(started_at)),
            quarantine: Shared::new(SharedQuarantine::new()),
            prompt_parts: Shared::new(PartQuarantine::new().with_seed(seed)),
            crash_records: CrashRecords::new(),
            broken_runs: Shared::new(BrokenRuns::new().with_heartbeat(heartbeat)),
            streams: StreamOrigins::new(),
            reach: Shared::new(ReachTable::new()),
            limiter: Shared::new(limiter),
            endpoint_limits: Shared::new(EndpointLimits::new()),
            endpoint_notices: Shared::new(EndpointNotices::new()),
            meter: Shared::new(UsageMeter::new()),
            peers: Shared::new(PeerTable::new()),
            relayed: Shared::new(RelayedState::default()),
            state_cache: Shared::new(StateCache::default()),
            published_copy: Shared::new(PublishedCopy::default()),
            peer_usage: Shared::new(PeerUsage::default()),
            wake: Notify::new(),
            confirmed: Notify::new(),
            read_due: Notify::new(),
            report_due: Notify::new(),
            probe_due: Notify::new(),
            probed: Notify::new(),
            break_probed: Notify::new(),
            room_changed: Notify::new(),
            pools: ConnectionPools::new(),
            probes: ProcessProbes::new(),
            memory,
            metrics,
            stopping: CancellationToken::new(),
            shutdown: Shared::new(None),
            answers_due: CancellationToken::new(),
        }
    }

    /// The current time of the entry's clock.
    pub fn now(&self) -> ClockTime {
        self.clock.now()
    }

    /// Updates the metrics of the ages of the configuration and of the directory of endpoints.
    pub fn update_state_ages(&self, now: ClockTime) {
        if let Some(age) = self.configuration.lock().age(now) {
            self.metrics.configuration_age.set(age.as_millis() as i64);
        }
        if let Some(age) = self.relayed.lock().endpoints.age(now) {
            self.metrics.endpoints_age.set(age.as_millis() as i64);
        }
    }

    /// Updates this entry's share of the extra retries allowed to all entries together.
    /// Known but unresponsive entries count as well: they may be partitioned and still
    /// use their share. An entry that has not discovered the others yet uses only the
    /// retries earned by its own requests: if each of many new entries used the total,
    /// they would exceed the operators' limit by a factor of their number.
    pub fn update_budget_share(&self) {
        let peers = self.peers.lock();
        if !peers.is_complete(self.now()) {
            return;
        }
        let entries = peers.len() + 1;
        drop(peers);
        let extra = f64::from(self.settings.bounds.retry_extra);
        self.budget
            .lock()
            .set_extra(EXTRA_BUDGET_SHARE * extra / entries as f64);
    }

    /// Updates the entries that share the limits of endpoints with this one. An entry that
    /// has not discovered the others yet has no part of a limit.
    pub fn update_endpoint_limits(&self) {
        if self.endpoint_limits.lock().is_empty() {
            return;
        }
        let peers = self.peers.lock();
        if !peers.is_read() {
            return;
        }
        let others = peers.sharing(self.now(), &self.settings.domain);
        let others: Vec<&InstanceId> = others.collect();
        let local = &self.writer.instance;
        self.endpoint_limits.lock().set_entries(local, &others);
    }

    /// This instance as one that can record streams.
    pub fn local_recorder(&self) -> RecordPeer<SocketAddr> {
        RecordPeer {
            instance: self.writer.instance.clone(),
            domain: self.settings.domain.clone(),
            start: self.writer.start,
            address: peers::local_address(self),
        }
    }

    /// The partition of `topic` of the failure domain of this instance.
    pub fn domain_part(&self, topic: &'static str) -> TopicPart {
        let settings = &self.settings;
        let mut domains = settings.domains.iter();
        let index = domains.position(|domain| *domain == settings.domain);
        let part = index.unwrap_or_default() as u32 % settings.store.parts;
        TopicPart { topic, part }
    }

    /// The partitions of `topic` of all failure domains.
    pub fn domain_parts(&self, topic: &'static str) -> impl Iterator<Item = TopicPart> + use<> {
        let domains = self.settings.domains.len().max(1) as u32;
        let parts = 0..domains.min(self.settings.store.parts);
        parts.map(move |part| TopicPart { topic, part })
    }

    /// The other instances as those that can record streams.
    pub fn record_peers(&self) -> Vec<RecordPeer<SocketAddr>> {
        let peers = self.peers.lock();
        peers::record_peers(&peers, self.now(), &self.settings.domain)
    }

    /// The other instances that can record streams, and the failure domains of all that are registered.
    pub fn recorder_fleet(&self) -> RecorderFleet {
        let peers = self.peers.lock();
        let domains = peers.iter().map(|(_, peer)| peer.domain.clone());
        RecorderFleet {
            domains: domains.collect(),
            peers: peers::record_peers(&peers, self.now(), &self.settings.domain),
        }
    }

    /// Updates the size of the fleet, whose instances report their usage of limits every
    /// `interval`.
    pub fn update_fleet_size(&self, interval: TimeSpan) {
        let size = {
            let peers = self.peers.lock();
            peers::fleet_size(&peers, &self.settings.domain)
        };
        if let Some(size) = size {
            self.limiter.lock().set_fleet(size, interval);
        }
    }

    /// Whether this instance reports the state of its failure domain to the other ones.
    pub fn is_representative(&self, now: ClockTime) -> bool {
        let peers = self.peers.lock();
        let (local, domain) = (&self.writer.instance, &self.settings.domain);
        !peers.is_full_mesh() && peers.is_representative(now, local, domain)
    }

    /// Whether an instance that reaches all services is alive while this one does not.
    pub fn is_partitioned(&self) -> bool {
        if self.reach.lock().unreachable().next().is_none() {
            return false;
        }
        self.peers.lock().has_alive_peer_with_endpoints(self.now())
    }

    /// Maximum age of the last confirmation of the API keys while keys are accepted.
    pub fn max_key_age(&self) -> TimeSpan {
        self.settings
            .bounds
            .key_withdrawal
            .saturating_sub(WITHDRAWAL_MARGIN)
    }

    /// What requests may be decided by the configuration in force.
    pub fn configuration_validity(&self, now: ClockTime) -> ConfigurationValidity {
        let limits = ValidityLimits::with_bound(self.settings.bounds.configuration_rollout);
        let reads = *self.store_reads.lock();
        self.configuration.lock().validity(now, limits, reads)
    }

    /// Whether requests may be sent by the directory of endpoints.
    pub fn directory_validity(&self, now: ClockTime) -> StateValidity {
        let bound = self.settings.bounds.endpoint_drain;
        let reads = self.directory_reads(now);
        self.relayed.lock().endpoints.validity(now, bound, reads)
    }

    /// Whether the configuration that was in force at `at` is known, and the endpoints that were
    /// registered then.
    pub fn is_state_known_since(&self, at: ClockTime) -> bool {
        let since = self.now().since(at);
        let is_configured = {
            let age = self.configuration.lock().age(self.now());
            age.is_some_and(|age| age <= since)
        };
        is_configured && self.directory.lock().versions().is_known_since(at)
    }

    /// Whether neither the store nor an instance that reads it answers this one.
    pub fn is_cut_off(&self, now: ClockTime) -> bool {
        self.directory_reads(now).is_lost(now)
    }

    /// The reads that tell whether the store can be read: those of the endpoints, or of the
    /// configuration while this instance does not read the endpoints itself. None do while
    /// others read the store, from whom the endpoints can be copied.
    fn directory_reads(&self, now: ClockTime) -> StoreReads {
        if self.relay_silence(now) < RELAY_TIMEOUT {
            return StoreReads::new();
        }
        let endpoint_reads = *self.endpoint_reads.lock();
        match endpoint_reads.is_lost(now) {
            true => endpoint_reads,
            false => *self.store_reads.lock(),
        }
    }

    /// What is known of the directory of endpoints.
    pub fn directory_status(&self, now: ClockTime) -> DirectoryStatus {
        self.relayed.lock().endpoints.status(now)
    }

    /// Whether requests with API keys may be served.
    pub fn keys_are_fresh(&self, now: ClockTime) -> bool {
        let limit = self.max_key_age();
        !self.settings.bounds.fail_closed || self.configuration.lock().is_fresh(now, limit)
    }
}
