//! Trials: runs of suspects, each on an endpoint without another suspect.
//!
//! Entries don't coordinate before they run a suspect. Each entry runs suspects only on
//! the endpoints that its index in the sorted lists assigns to it, so two entries that
//! see the same lists and at least as many endpoints as entries never run two suspects
//! on one endpoint. With fewer endpoints, a few entries share one.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::{
    ids::{EndpointId, InstanceId, RequestFingerprint},
    quarantine::{CrashSite, CrashStatus, QuarantineState},
};

/// Maximum number of fingerprints in an entry's own record of crashes.
const MAX_LOCAL_FINGERPRINTS: usize = 1_024;

/// Where a suspect may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrialChoice {
    /// On any of these endpoints.
    AnyOf(Vec<EndpointId>),
    /// On no endpoint until another suspect's run ends.
    Wait,
}

/// The suspects that one entry runs, and the crashes that it has observed or received
/// from peers.
#[derive(Clone, Debug, Serialize)]
pub struct CrashTrials {
    instance: InstanceId,
    local: BTreeMap<RequestFingerprint, BTreeSet<CrashSite>>,
    running: BTreeMap<EndpointId, RequestFingerprint>,
}

impl CrashTrials {
    /// Creates the state of an entry without any suspect.
    pub fn new(instance: InstanceId) -> CrashTrials {
        CrashTrials {
            instance,
            local: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }

    /// Records that an endpoint crashed while the request ran there, before the log has
    /// the record.
    pub fn crashed(&mut self, fingerprint: &RequestFingerprint, site: CrashSite) {
        if self.local.len() >= MAX_LOCAL_FINGERPRINTS && !self.local.contains_key(fingerprint) {
            self.local.pop_first();
        }
        let lost = self.local.entry(fingerprint.clone()).or_default();
        lost.insert(site);
    }

    /// Records that the request was run to its end.
    pub fn cleared(&mut self, fingerprint: &RequestFingerprint) {
        self.local.remove(fingerprint);
    }

    /// Returns the crashes of endpoints that ran the request, according to the log and
    /// this entry's own record.
    pub fn lost(
        &self,
        log: &QuarantineState,
        fingerprint: &RequestFingerprint,
    ) -> BTreeSet<CrashSite> {
        let mut lost = log.lost(fingerprint);
        lost.extend(self.local.get(fingerprint).into_iter().flatten().cloned());
        lost
    }

    /// Returns the request's status, according to the log and this entry's own record.
    pub fn status(&self, log: &QuarantineState, fingerprint: &RequestFingerprint) -> CrashStatus {
        CrashStatus::with_lost_endpoints(self.lost(log, fingerprint).len())
    }

    /// Returns where the suspect may run. Both the `endpoints` and the `entries`, which
    /// include this one, must be sorted.
    pub fn choose(
        &self,
        fingerprint: &RequestFingerprint,
        endpoints: &[EndpointId],
        entries: &[InstanceId],
    ) -> TrialChoice {
        if self.running.values().any(|running| running == fingerprint) {
            return TrialChoice::Wait;
        }
        let local_index = entries.iter().position(|entry| *entry == self.instance);
        let is_assigned = |index: usize| match local_index {
            None => true,
            Some(local_index) if endpoints.len() < entries.len() => {
                local_index % endpoints.len() == index
            }
            Some(local_index) => index % entries.len() == local_index,
        };
        let free = endpoints.iter().enumerate().filter(|(index, endpoint)| {
            is_assigned(*index) && !self.running.contains_key(*endpoint)
        });
        let free: Vec<EndpointId> = free.map(|(_, endpoint)| endpoint.clone()).collect();
        match free.is_empty() {
            true => TrialChoice::Wait,
            false => TrialChoice::AnyOf(free),
        }
    }

    /// Records that a suspect starts on `endpoint`.
    pub fn begin(&mut self, fingerprint: &RequestFingerprint, endpoint: &EndpointId) {
        self.running.insert(endpoint.clone(), fingerprint.clone());
    }

    /// Records that a suspect no longer runs on `endpoint`.
    pub fn end(&mut self, endpoint: &EndpointId) {
        self.running.remove(endpoint);
    }
}
