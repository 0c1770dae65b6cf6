//! What all parts of an entry share.

use std::sync::{Mutex, MutexGuard, PoisonError};

use bluebell_adapter::{engines::EngineClient, settings::InstanceSettings, store::StoreClient};
use bluebell_core::{
    clock::{ClockSource, ClockTime, TimeSpan},
    directory::EndpointDirectory,
    ids::LogOffset,
    ingress::ConfigurationTracker,
    placement::{EngineTable, ReplicaTable},
    provision::DemandTable,
    relay::{AdvertisedConfiguration, DigestMismatchTimer},
    retries::{RetryAllowance, SharedRetryBudget},
    routing::RoutingSettings,
    usage::{MeterWriter, UsageMeter},
};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::{
    forward::ConnectionPools, leader::PeerUsage, metrics::EntryMetrics, peers::PeerTable,
    sync::copies::PublishedCopy,
};

/// How much sooner than the operators ask a key stops working that nothing has
/// been heard of: clocks drift, and a request takes some ms to get here.
const WITHDRAWAL_MARGIN: TimeSpan = TimeSpan::from_millis(250);

/// How much sooner than it has to be in force everywhere a newer version that is not
/// here yet ends the use of the one in force: what was first heard of it was that late.
const TOLD_DELAY: TimeSpan = TimeSpan::from_millis(1_000);

/// The share of the extra of the retry budget that is given out: instances that
/// have just started know of others before those know of them.
const EXTRA_USED: f64 = 0.8;

/// How long an endpoint that failed is left alone first. Replicas that crash are
/// back after some 4 s.
const FIRST_EJECTION: TimeSpan = TimeSpan::from_millis(1_000);

/// The longest ejection: a few replicas carry a whole service.
const LONGEST_EJECTION: TimeSpan = TimeSpan::from_millis(8_000);

/// How long a returning endpoint takes to get its full share.
const SLOW_START: TimeSpan = TimeSpan::from_millis(2_000);

/// A mutex whose data stays usable if a holder panicked: each slice keeps its own
/// invariants between calls.
#[derive(Debug, Default)]
pub struct Shared<Data>(Mutex<Data>);

impl<Data> Shared<Data> {
    /// Wraps `data`.
    pub fn new(data: Data) -> Shared<Data> {
        Shared(Mutex::new(data))
    }

    /// Locks; never held across a wait.
    pub fn lock(&self) -> MutexGuard<'_, Data> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What the reader of the failure domain has told, and how fresh the endpoints are.
#[derive(Debug, Default)]
pub struct RelayedState {
    /// The newest version of the configuration that the reader advertised.
    pub configuration: AdvertisedConfiguration,
    /// The offset that this instance reads next; older records are known.
    pub configuration_next: LogOffset,
    /// When the picture of the endpoints was last known to be whole.
    pub endpoints_synced_at: Option<ClockTime>,
    /// Whether our picture of the endpoints differs from the reader's.
    pub difference: DigestMismatchTimer,
    /// Whether the endpoints have to be read whole.
    pub must_resync: bool,
}

/// Everything that requests, followers and duties share.
#[derive(Debug)]
pub struct EntryContext {
    /// What the platform told this instance.
    pub settings: InstanceSettings,
    /// The clock that goes on while the instance is suspended.
    pub clock: ClockSource,
    /// This start of this instance, as others see it.
    pub writer: MeterWriter,
    /// The store.
    pub store: StoreClient,
    /// Control calls to engines.
    pub engine_client: EngineClient,
    /// The configuration in force.
    pub configuration: Shared<ConfigurationTracker>,
    /// The endpoints.
    pub directory: Shared<EndpointDirectory>,
    /// The engines' queues and memories.
    pub engines: Shared<EngineTable>,
    /// What requests ask of engines, here and at the other entries.
    pub demands: Shared<DemandTable>,
    /// The replicas of plain services.
    pub replicas: Shared<ReplicaTable>,
    /// The budget of repeats.
    pub budget: Shared<SharedRetryBudget>,
    /// Counts for usage windows.
    pub meter: Shared<UsageMeter>,
    /// The other instances.
    pub peers: Shared<PeerTable>,
    /// What the reader of the failure domain has told.
    pub relayed: Shared<RelayedState>,
    /// The copy of the configuration that this instance publishes for the others.
    pub published_copy: Shared<PublishedCopy>,
    /// What other entries of the failure domain counted and is not published.
    pub peer_usage: Shared<PeerUsage>,
    /// Wakes the followers of the store, and the talk with other instances.
    pub wake: Notify,
    /// Connections to endpoints.
    pub pools: ConnectionPools,
    /// Counters.
    pub metrics: EntryMetrics,
    /// Set when the process is asked to end: nothing is begun that can wait.
    pub stopping: CancellationToken,
}

impl EntryContext {
    /// An entry that knows nothing yet.
    pub fn new(
        settings: InstanceSettings,
        clock: ClockSource,
        store: StoreClient,
        engine_client: EngineClient,
        metrics: EntryMetrics,
    ) -> EntryContext {
        let routing = RoutingSettings {
            eject_first: FIRST_EJECTION,
            eject_most: LONGEST_EJECTION,
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
        let directory = EndpointDirectory::new().with_heartbeat(settings.heartbeat);
        let seed = rand::random();
        EntryContext {
            settings,
            clock,
            writer,
            store,
            engine_client,
            configuration: Shared::new(ConfigurationTracker::new()),
            directory: Shared::new(directory),
            engines: Shared::new(EngineTable::new(routing.clone()).with_seed(seed)),
            demands: Shared::new(DemandTable::new()),
            replicas: Shared::new(ReplicaTable::new(routing).with_seed(seed)),
            budget: Shared::new(SharedRetryBudget::new(allowance)),
            meter: Shared::new(UsageMeter::new()),
            peers: Shared::new(PeerTable::new()),
            relayed: Shared::new(RelayedState::default()),
            published_copy: Shared::new(PublishedCopy::default()),
            peer_usage: Shared::new(PeerUsage::default()),
            wake: Notify::new(),
            pools: ConnectionPools::new(),
            metrics,
            stopping: CancellationToken::new(),
        }
    }

    /// The time now.
    pub fn now(&self) -> ClockTime {
        self.clock.now()
    }

    /// Takes this entry's part of the repeats that all entries have together. Those
    /// that are known but silent count as well: they may be cut off and use theirs.
    /// An entry that does not know the others yet takes nothing beside what its own
    /// requests earn: were each of many new entries to take the whole, together they
    /// would send that many times what the operators allow.
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
            .set_extra(EXTRA_USED * extra / entries as f64);
    }

    /// How old knowledge of keys may be.
    pub fn max_key_age(&self) -> TimeSpan {
        self.settings.bounds.withdrawal.less(WITHDRAWAL_MARGIN)
    }

    /// Whether the configuration in force has been replaced for so long that nothing
    /// may be decided by it any more.
    pub fn configuration_is_outdated(&self, now: ClockTime) -> bool {
        let limit = self.settings.bounds.configuration.less(TOLD_DELAY);
        self.configuration.lock().is_outdated(now, limit)
    }

    /// Whether requests with keys may be served.
    pub fn keys_are_fresh(&self, now: ClockTime) -> bool {
        let limit = self.max_key_age();
        !self.settings.bounds.fail_closed || self.configuration.lock().is_fresh(now, limit)
    }
}
