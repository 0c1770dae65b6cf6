//! Claiming, renewing and giving up duties.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
};

use bluebell_core::{
    authority::{DutyCandidacy, DutyGrant, LeaseManager, duty_ranks},
    clock::TimeSpan,
    records::{DutyName, LeaseAction, LeaseRecord, LogRecord},
};
use bluebell_daemon::{
    journal::{DecisionJournal, DecisionRecord},
    logs::LogLine,
};
use bluebell_node::NodeHandle;
use tokio_util::sync::CancellationToken;

use crate::{members::InstanceList, metrics::ControllerMetrics, settings::LeaseSettings};

/// How often the leases are looked at.
const LEASE_INTERVAL: TimeSpan = TimeSpan::from_millis(100);

struct DutyState {
    keeper: LeaseManager,
    busy: BTreeSet<DutyName>,
    held: BTreeSet<DutyName>,
}

/// The duties of this controller; clones share them.
#[derive(Clone)]
pub struct DutyDesk {
    node: NodeHandle,
    list: InstanceList,
    journal: DecisionJournal,
    metrics: ControllerMetrics,
    state: Arc<Mutex<DutyState>>,
}

impl DutyDesk {
    /// A desk that holds nothing yet.
    pub fn new(
        node: NodeHandle,
        list: InstanceList,
        journal: DecisionJournal,
        metrics: ControllerMetrics,
        settings: &LeaseSettings,
    ) -> DutyDesk {
        let instance = node.settings().instance.clone();
        let state = DutyState {
            keeper: LeaseManager::new(instance, settings.timing()),
            busy: BTreeSet::new(),
            held: BTreeSet::new(),
        };
        DutyDesk {
            node,
            list,
            journal,
            metrics,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// The authority for `duty` now, if this controller has it.
    pub fn grant(&self, duty: &DutyName) -> Option<DutyGrant> {
        let state = self.state.lock().expect("no holder panics");
        let now = self.node.clock().now();
        self.node
            .with_view(|view| state.keeper.grant(now, &view.leases, duty))
    }

    /// All authorities that this controller has now.
    pub fn grants(&self) -> Vec<DutyGrant> {
        let duties = self.duties();
        duties.iter().filter_map(|duty| self.grant(duty)).collect()
    }

    /// Says whether an order of `duty` is under way here; a busy duty is not
    /// handed over.
    pub fn set_busy(&self, duty: &DutyName, busy: bool) {
        let mut state = self.state.lock().expect("no holder panics");
        match busy {
            true => state.busy.insert(duty.clone()),
            false => state.busy.remove(duty),
        };
    }

    fn duties(&self) -> Vec<DutyName> {
        let domains = self.list.failure_domains();
        let engines = domains.into_iter().map(DutyName::Engines);
        [DutyName::Fleet, DutyName::Usage, DutyName::Log]
            .into_iter()
            .chain(engines)
            .collect()
    }

    /// Keeps the leases until `token` is cancelled.
    pub async fn run(self, token: CancellationToken) {
        loop {
            if self.node.progress().caught_up {
                self.pass().await;
            }
            tokio::select! {
                () = token.cancelled() => return,
                () = tokio::time::sleep(LEASE_INTERVAL.as_duration()) => {}
            }
        }
    }

    async fn pass(&self) {
        let me = self.list.own_candidate();
        let mut candidates = self.list.candidates();
        candidates.push(me.clone());
        let ranks = duty_ranks(&self.duties(), &me.instance, &candidates);
        for (duty, rank) in ranks {
            if let Some(record) = self.next_record(&duty, rank) {
                self.append(record).await;
            }
            self.note_held(&duty);
        }
    }

    fn next_record(&self, duty: &DutyName, rank: usize) -> Option<LeaseRecord> {
        let mut state = self.state.lock().expect("no holder panics");
        let now = self.node.clock().now();
        let seat = DutyCandidacy {
            duty: duty.clone(),
            rank,
            busy: state.busy.contains(duty),
        };
        self.node.with_view(|view| {
            let next = view.next_offset();
            state.keeper.next_record(now, &view.leases, next, &seat)
        })
    }

    async fn append(&self, record: LeaseRecord) {
        let duty = record.duty.clone();
        let action = record.action;
        let sent_at = self.node.clock().now();
        match self.node.append(LogRecord::Lease(record)).await {
            Ok(offset) => {
                if !matches!(action, LeaseAction::Release { .. }) {
                    let mut state = self.state.lock().expect("no holder panics");
                    state.keeper.appended(&duty, sent_at, offset);
                }
                self.node.wait_applied(offset, LEASE_INTERVAL).await;
            }
            Err(error) => {
                let failures = &self.metrics.append_failures;
                failures.with_label_values(&["lease"]).inc();
                LogLine::new("lease_append_failed")
                    .with("duty", &duty)
                    .with("error", &error)
                    .warn();
            }
        }
    }

    fn note_held(&self, duty: &DutyName) {
        let grant = self.grant(duty);
        let gauge = self.metrics.held.with_label_values(&[&duty.to_string()]);
        gauge.set(i64::from(grant.is_some()));
        let mut state = self.state.lock().expect("no holder panics");
        let (decision, reason) = match &grant {
            Some(grant) if state.held.insert(duty.clone()) => (
                "duty taken",
                format!("its claim stands in the log under fence {}", grant.fence),
            ),
            None if state.held.remove(duty) => (
                "duty lost or given up",
                "its lease was superseded, released or has run out here".to_string(),
            ),
            _ => return,
        };
        drop(state);
        LogLine::new("duty_changed")
            .with("duty", duty)
            .with("decision", decision)
            .with("reason", &reason)
            .info();
        self.journal.record(DecisionRecord {
            at: self.node.clock().now(),
            subjects: vec![duty.to_string()],
            decision: decision.to_string(),
            reason,
        });
    }

    /// Gives up everything: the authority ends here first, then the log says so.
    pub async fn release_all(&self) {
        let records = {
            let mut state = self.state.lock().expect("no holder panics");
            state.keeper.release_all()
        };
        for record in records {
            let duty = record.duty.clone();
            self.append(record).await;
            self.note_held(&duty);
        }
    }
}
