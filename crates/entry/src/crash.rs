//! Requests that crash endpoints, as one entry sees and runs them.

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

/// How long a waiting suspect may not notice that endpoints have changed.
const RECHECK_PAUSE: TimeSpan = TimeSpan::from_millis(100);

/// The suspects that this entry runs, and those that wait for their turn.
#[derive(Debug)]
pub struct CrashWatch {
    trials: Mutex<CrashTrials>,
    freed: Notify,
}

/// A suspect's run on an endpoint, until it is dropped.
#[derive(Debug)]
pub struct TrialTicket {
    watch: Arc<CrashWatch>,
    endpoint: EndpointId,
}

impl Drop for TrialTicket {
    fn drop(&mut self) {
        self.watch.lock().end(&self.endpoint);
        self.watch.freed.notify_waiters();
    }
}

impl CrashWatch {
    /// No suspect yet.
    pub fn new(instance: InstanceId) -> CrashWatch {
        CrashWatch {
            trials: Mutex::new(CrashTrials::new(instance)),
            freed: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, CrashTrials> {
        self.trials.lock().expect("no holder panics")
    }

    /// Asks `check` until it answers: at once, when a suspect's run ends, and now
    /// and then, since endpoints come and go.
    pub async fn wait_for<Found, Check>(&self, mut check: Check) -> Found
    where
        Check: FnMut() -> Option<Found>,
    {
        loop {
            let freed = self.freed.notified();
            tokio::pin!(freed);
            freed.as_mut().enable();
            if let Some(found) = check() {
                return found;
            }
            let _ = tokio::time::timeout(RECHECK_PAUSE.as_duration(), freed).await;
        }
    }

    /// Begins a suspect's run.
    pub fn begin(
        self: &Arc<Self>,
        fingerprint: &RequestFingerprint,
        endpoint: &EndpointId,
    ) -> TrialTicket {
        self.lock().begin(fingerprint, endpoint);
        TrialTicket {
            watch: self.clone(),
            endpoint: endpoint.clone(),
        }
    }
}

impl EntryContext {
    /// What is known of the request's part in crashes.
    pub fn standing(&self, fingerprint: &RequestFingerprint) -> CrashStatus {
        let trials = self.crashes.lock();
        self.node
            .with_view(|view| trials.status(&view.quarantine, fingerprint))
    }

    /// The endpoints of a pool that serve and stay, by id.
    pub fn open_endpoints(&self, pool: &RoutePool) -> Vec<EndpointId> {
        let snapshots = self.traffic.lock().router.snapshots(self.now(), pool);
        let open = snapshots.into_iter().filter(|snapshot| snapshot.open);
        open.map(|snapshot| snapshot.endpoint).collect()
    }

    /// Where a suspect may run, of `endpoints`.
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

    /// Whether an attempt was lost because the endpoint's process ended under it.
    /// An endpoint that can't be reached may as well be cut off, and one that is
    /// leaving ends by plan: neither says anything of the request.
    pub async fn has_crashed(&self, chosen: &ChosenEndpoint, probe: ProbeResult) -> bool {
        let id = &chosen.endpoint;
        let leaving = self.node.with_view(|view| view.marks.is_leaving(id));
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

    /// Notes that the request was running when the endpoint crashed, and waits
    /// until the log knows it or can't be reached: another try before that could
    /// cost a third endpoint.
    pub async fn note_crash(&self, fingerprint: &RequestFingerprint, chosen: &ChosenEndpoint) {
        let incarnation = chosen.incarnation.unwrap_or_default();
        let site = CrashSite {
            endpoint: chosen.endpoint.clone(),
            incarnation,
        };
        self.crashes.lock().crashed(fingerprint, site);
        let record = self.crash_record(fingerprint, &chosen.endpoint, incarnation);
        let subjects = [fingerprint.as_str(), chosen.endpoint.as_str()];
        self.decided(
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

    /// Notes that a suspect ran to its end.
    pub async fn note_cleared(&self, fingerprint: &RequestFingerprint, endpoint: &EndpointId) {
        self.crashes.lock().cleared(fingerprint);
        let mut record = self.crash_record(fingerprint, endpoint, 0);
        record.cleared = true;
        let subjects = [fingerprint.as_str(), endpoint.as_str()];
        self.decided(&subjects, "cleared the request", "it ran to its end");
        let record = LogRecord::Quarantine(record);
        self.node.broadcast_urgent_record(&record);
        let _ = self.node.append(record).await;
    }

    /// Takes peers' word of crashes, which comes before the log's and also while
    /// the log is down, until `token` is cancelled.
    pub async fn hear_crashes(self: Arc<Self>, token: CancellationToken) {
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
