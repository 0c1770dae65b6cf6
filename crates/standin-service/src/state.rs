//! What the routes share.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
};

use bluebell_core::clock::{ClockSource, TimeSpan};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::{
    faults::ServiceFaults,
    history::{ExecutionCount, ExecutionRecord, ServiceHistory},
    settings::ServiceSettings,
};

/// How long a call hangs: longer than any caller's patience.
const HANG_LIMIT: TimeSpan = TimeSpan::from_secs(60);

/// The service.
pub(crate) struct ServiceState {
    pub(crate) settings: ServiceSettings,
    pub(crate) clock: ClockSource,
    token: CancellationToken,
    powered: AtomicBool,
    faults: watch::Sender<ServiceFaults>,
    history: Mutex<ServiceHistory>,
}

impl ServiceState {
    pub(crate) fn new(
        settings: ServiceSettings,
        clock: ClockSource,
        token: CancellationToken,
    ) -> ServiceState {
        ServiceState {
            settings,
            clock,
            token,
            powered: AtomicBool::new(true),
            faults: watch::Sender::new(ServiceFaults::default()),
            history: Mutex::new(ServiceHistory::default()),
        }
    }

    /// Whether the replica runs at all.
    pub(crate) fn is_powered(&self) -> bool {
        self.powered.load(Ordering::Relaxed)
    }

    pub(crate) fn set_power(&self, on: bool) {
        self.powered.store(on, Ordering::Relaxed);
    }

    pub(crate) fn faults(&self) -> ServiceFaults {
        self.faults.borrow().clone()
    }

    pub(crate) fn set_faults(&self, faults: ServiceFaults) {
        self.faults.send_replace(faults);
    }

    fn lock(&self) -> MutexGuard<'_, ServiceHistory> {
        self.history
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Waits until the faults change, the service stops, or no caller can still
    /// be waiting.
    pub(crate) async fn hang(&self) {
        let mut faults = self.faults.subscribe();
        tokio::select! {
            _ = faults.changed() => {}
            () = self.token.cancelled() => {}
            () = tokio::time::sleep(HANG_LIMIT.as_duration()) => {}
        }
    }

    /// Executes a call: answers how many executions there are now in all.
    pub(crate) fn execute(&self, record: ExecutionRecord) -> u64 {
        let mut history = self.lock();
        history.executions.push(record);
        history.executions.len() as u64
    }

    pub(crate) fn note_refusal(&self) {
        self.lock().refused += 1;
    }

    /// The history with its counts made up.
    pub(crate) fn history(&self) -> ServiceHistory {
        let mut history = self.lock().clone();
        let mut counts = BTreeMap::new();
        for record in &history.executions {
            let action = ExecutionCount {
                method: record.method.clone(),
                path: record.path.clone(),
                idempotency_key: record.idempotency_key.clone(),
                request: record.request.clone(),
                executions: 0,
            };
            *counts.entry(action).or_insert(0) += 1;
        }
        let counted = counts.into_iter();
        history.counts = counted
            .map(|(action, executions)| ExecutionCount {
                executions,
                ..action
            })
            .collect();
        history
    }
}
