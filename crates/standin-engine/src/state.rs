//! What the routes and the scheduler share.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock},
};

use bluebell_core::{
    clock::{ClockSource, TimeSpan},
    ids::RequestId,
    units::TokenCount,
};
use tokio::sync::{Notify, mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::{
    batch::BatchModel,
    cache::PrefixCache,
    faults::EngineFaults,
    history::{EngineEvent, EventHistory},
    kv::KvStore,
    orders::OrderDesk,
    reports::LoadSamples,
    settings::EngineSettings,
};

/// How long the engine is down after a crash; none means for good.
pub(crate) type DownTime = Option<TimeSpan>;

/// The parts of the engine, behind one lock.
pub(crate) struct EngineParts {
    pub(crate) batch: BatchModel,
    pub(crate) cache: PrefixCache,
    pub(crate) kv: KvStore,
    pub(crate) orders: OrderDesk,
    pub(crate) samples: LoadSamples,
    pub(crate) faults: EngineFaults,
    pub(crate) history: EventHistory,
    pub(crate) incarnation: u64,
    pub(crate) powered: bool,
    pub(crate) crashing: bool,
}

/// The engine.
pub(crate) struct EngineState {
    pub(crate) settings: EngineSettings,
    pub(crate) clock: ClockSource,
    pub(crate) token: CancellationToken,
    pub(crate) address: OnceLock<SocketAddr>,
    pub(crate) wake: Notify,
    pub(crate) silences: watch::Sender<u64>,
    pub(crate) losses: watch::Sender<u64>,
    pub(crate) http: reqwest::Client,
    parts: Mutex<EngineParts>,
    crashes: mpsc::UnboundedSender<DownTime>,
}

/// The engine as routes are given it.
pub(crate) type SharedState = Arc<EngineState>;

impl EngineState {
    pub(crate) fn new(
        settings: EngineSettings,
        clock: ClockSource,
        token: CancellationToken,
        crashes: mpsc::UnboundedSender<DownTime>,
    ) -> EngineState {
        let memory = settings.memory;
        let parts = EngineParts {
            batch: BatchModel::new(settings.costs, memory),
            cache: PrefixCache::new(memory.cache_blocks, settings.event_gap),
            kv: KvStore::new(),
            orders: OrderDesk::new(&settings),
            samples: LoadSamples::default(),
            faults: EngineFaults::default(),
            history: EventHistory::default(),
            incarnation: rand::random::<u32>().into(),
            powered: true,
            crashing: false,
        };
        EngineState {
            settings,
            clock,
            token,
            address: OnceLock::new(),
            wake: Notify::new(),
            silences: watch::Sender::new(0),
            losses: watch::Sender::new(0),
            http: reqwest::Client::new(),
            parts: Mutex::new(parts),
            crashes,
        }
    }

    /// Locks the parts; no holder panics.
    pub(crate) fn lock(&self) -> MutexGuard<'_, EngineParts> {
        self.parts
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Whether the engine does anything at all.
    pub(crate) fn runs(&self) -> bool {
        let parts = self.lock();
        parts.powered && !parts.crashing
    }

    /// Begins a crash after which the engine is down for `down`. The server goes
    /// first and then the work: if open streams ended while new connections still
    /// worked, their callers would take the engine for a healthy one.
    pub(crate) fn crash(&self, down: DownTime) {
        let at = self.clock.now();
        let mut parts = self.lock();
        if std::mem::replace(&mut parts.crashing, true) {
            return;
        }
        let incarnation = parts.incarnation;
        parts.history.push(EngineEvent::Crashed { at, incarnation });
        let _ = self.crashes.send(down);
    }

    /// Loses all work and memory; open streams end.
    pub(crate) fn lose_memory(&self) {
        {
            let memory = self.settings.memory;
            let mut parts = self.lock();
            parts.incarnation += 1;
            parts.batch.clear();
            parts.cache = PrefixCache::new(memory.cache_blocks, self.settings.event_gap);
            parts.kv = KvStore::new();
            parts.orders = OrderDesk::new(&self.settings);
            parts.samples = LoadSamples::default();
        }
        self.losses.send_modify(|losses| *losses += 1);
    }

    /// Keeps the KV cache of prefilled requests for export.
    pub(crate) fn keep_kv(&self, prefilled: Vec<(RequestId, TokenCount)>) {
        let mut parts = self.lock();
        for (request, tokens) in prefilled {
            parts.kv.keep(request, tokens);
        }
    }
}
