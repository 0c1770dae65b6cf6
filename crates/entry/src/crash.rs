//! Tracking of requests that crash endpoints, and trial runs of suspected ones.

use std::sync::{Arc, Mutex, MutexGuard};

use bluebell_core::{
    clock::TimeSpan,
    ids::{EndpointId, InstanceId, RequestFingerprint},
    quarantine::{CrashSite, CrashStatus, CrashTrials, TrialChoice},
    records::{LogRecord, QuarantineRecord},
    routing::RoutePool,
};
use bluebell_endpoint::client::ProbeResult;
use bluebell_platform::api::EndpointState;
use tokio::sync::{Notify, broadcast::error::RecvError};
use tokio_util::sync::CancellationToken;

use crate::{context::EntryContext, directory::ChosenEndpoint, traffic_feed::live_entries};

/// How often a waiting suspect checks whether the endpoints have changed.
const RECHECK_INTERVAL: TimeSpan = TimeSpan::from_millis(100);

/// The suspected requests that this entry runs in trials, and those that wait to run.
#[derive(Debug)]
pub struct CrashTracker {
    trials: Mutex<CrashTrials>,
    trial_ended: Notify,
}

/// A suspected request's trial on an endpoint; dropping it ends the trial.
#[derive(Debug)]
pub struct TrialTicket {
    tracker: Arc<CrashTracker>,
    endpoint: EndpointId,
}

impl Drop for TrialTicket {
    fn drop(&mut self) {
        self.tracker.lock().end(&self.endpoint);
        self.tracker.trial_ended.notify_waiters();
    }
}

impl CrashTracker {
    /// Creates a tracker without suspects for the entry `instance`.
    pub fn new(instance: InstanceId) -> CrashTracker {
        CrashTracker {
            trials: Mutex::new(CrashTrials::new(instance)),
            trial_ended: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, CrashTrials> {
        self.trials.lock().expect("no holder panics")
    }

    /// Calls `check` until it returns a value: at once, whenever a trial ends, and
    /// every 100 ms, because endpoints are added and removed.
    pub async fn wait_for<Found, Check>(&self, mut check: Check) -> Found
    where
        Check: FnMut() -> Option<Found>,
    {
        loop {
            let trial_ended = self.trial_ended.notified();
            tokio::pin!(trial_ended);
            trial_ended.as_mut().enable();
            if let Some(found) = check() {
                return found;
            }
            let _ = tokio::time::timeout(RECHECK_INTERVAL.as_duration(), trial_ended).await;
        }
    }

    /// Begins a suspected request's trial on `endpoint`.
    pub fn begin(
        self: &Arc<Self>,
        fingerprint: &RequestFingerprint,
        endpoint: &EndpointId,
    ) -> TrialTicket {
        self.lock().begin(fingerprint, endpoint);
        TrialTicket {
            tracker: self.clone(),
            endpoint: endpoint.clone(),
        }
    }
}

impl EntryContext {
    /// Whether the request is clean, suspected or quarantined.
    pub fn crash_status(&self, fingerprint: &RequestFingerprint) -> CrashStatus {
        let trials = self.crashes.lock();
        self.node
            .with_view(|view| trials.status(&view.quarantine, fingerprint))
    }

    /// The endpoints of a pool that accept new work, sorted by id.
    pub fn open_endpoints(&self, pool: &RoutePool) -> Vec<EndpointId> {
        let snapshots = self.traffic.lock().router.snapshots(self.now(), pool);
        let accepting = snapshots.into_iter().filter(|snapshot| snapshot.open);
        accepting.map(|snapshot| snapshot.endpoint).collect()
    }

    /// Chooses which of `endpoints` a suspected request may run on now.
    pub fn trial_choice(
        &self,
        fingerprint: &RequestFingerprint,
        endpoints: &[EndpointId],
    ) -> TrialChoice {
        let peers = live_entries(&self.node.peers());
        let mut entries: Vec<InstanceId> = peers.into_iter().map(|peer| peer.instance).collect();
        entries.push(self.settings.node.instance.clone());
        entries.sort();
        entries.dedup();
        self.crashes.lock().choose(fingerprint, endpoints, &entries)
    }

    /// Whether an attempt was lost because the endpoint's process ended during it.
    /// An unreachable endpoint may just as well be partitioned, and one that is
    /// leaving stops as planned: neither is evidence against the request.
    pub async fn has_crashed(&self, chosen: &ChosenEndpoint, probe: ProbeResult) -> bool {
        let id = &chosen.endpoint;
        let leaving = self.node.with_view(|view| view.drain_marks.is_draining(id));
        let stays = self.directory.state(id) == Some(EndpointState::Ready);
        if leaving || !stays {
            return false;
        }
        match probe {
            ProbeResult::ConnectionRefused => true,
            ProbeResult::Unreachable => false,
            ProbeResult::Healthy => {
                let (Some(before), Ok(status)) = (chosen.incarnation, chosen.client.state().await)
                else {
                    return false;
                };
                status.incarnation != before
            }
        }
    }

    /// Records that the request was running when the endpoint crashed. Waits until
    /// the record is in the log, the append fails or `requests.claim_patience` has
    /// passed: an earlier retry could crash a third endpoint.
    pub async fn note_crash(&self, fingerprint: &RequestFingerprint, chosen: &ChosenEndpoint) {
        let incarnation = chosen.incarnation.unwrap_or_default();
        let site = CrashSite {
            endpoint: chosen.endpoint.clone(),
            incarnation,
        };
        self.crashes.lock().crashed(fingerprint, site);
        let record = self.crash_record(fingerprint, &chosen.endpoint, incarnation);
        let subjects = [fingerprint.as_str(), chosen.endpoint.as_str()];
        self.record_decision(
            &subjects,
            "suspects the request",
            "it ran when the endpoint crashed",
        );
        let record = LogRecord::Quarantine(record);
        self.node.broadcast_urgent_record(&record);
        let appended = self.node.append(record);
        let limit = self.settings.requests.claim_patience;
        let _ = tokio::time::timeout(limit.as_duration(), appended).await;
    }

    /// Records that a suspected request ran to completion.
    pub async fn note_cleared(&self, fingerprint: &RequestFingerprint, endpoint: &EndpointId) {
        self.crashes.lock().cleared(fingerprint);
        let mut record = self.crash_record(fingerprint, endpoint, 0);
        record.cleared = true;
        let subjects = [fingerprint.as_str(), endpoint.as_str()];
        self.record_decision(&subjects, "cleared the request", "it ran to completion");
        let record = LogRecord::Quarantine(record);
        self.node.broadcast_urgent_record(&record);
        let _ = self.node.append(record).await;
    }

    /// Applies crash records that peers send directly, until `token` is cancelled.
    /// They arrive before the log's records, and also while the log is unreachable.
    pub async fn follow_crash_notes(self: Arc<Self>, token: CancellationToken) {
        let mut notes = self.node.subscribe_urgent_records();
        loop {
            let note = tokio::select! {
                () = token.cancelled() => return,
                note = notes.recv() => note,
            };
            match note {
                Ok(LogRecord::Quarantine(record)) if !record.cleared => {
                    let site = CrashSite {
                        endpoint: record.endpoint,
                        incarnation: record.incarnation,
                    };
                    self.crashes.lock().crashed(&record.fingerprint, site);
                }
                Ok(LogRecord::Quarantine(record)) => {
                    self.crashes.lock().cleared(&record.fingerprint);
                }
                Ok(_) | Err(RecvError::Lagged(_)) => {}
                Err(RecvError::Closed) => return,
            }
        }
    }

    fn crash_record(
        &self,
        fingerprint: &RequestFingerprint,
        endpoint: &EndpointId,
        incarnation: u64,
    ) -> QuarantineRecord {
        QuarantineRecord {
            fingerprint: fingerprint.clone(),
            endpoint: endpoint.clone(),
            incarnation,
            entry: self.settings.node.instance.clone(),
            cleared: false,
        }
    }
}
