//! Running suspects again, each alone among suspects.
//!
//! Entries don't ask each other before they run a suspect. Each tries suspects
//! only on endpoints that are its own by their place in the sorted lists, so two
//! entries that see the same lists and as many endpoints as entries never try two
//! suspects on one endpoint. With fewer endpoints, few entries share one.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::{
    ids::{EndpointId, InstanceId, RequestFingerprint},
    quarantine::{CrashSite, CrashStatus, QuarantineState},
};

/// How many fingerprints an entry remembers by itself.
const LOCAL_KEPT: usize = 1_024;

/// Where a suspect may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrialChoice {
    /// On one of these.
    AnyOf(Vec<EndpointId>),
    /// Nowhere until another suspect's run ends.
    Wait,
}

/// The suspects that one entry runs.
#[derive(Clone, Debug, Serialize)]
pub struct CrashTrials {
    instance: InstanceId,
    local: BTreeMap<RequestFingerprint, BTreeSet<CrashSite>>,
    running: BTreeMap<EndpointId, RequestFingerprint>,
}

impl CrashTrials {
    /// No suspect yet at this entry.
    pub fn new(instance: InstanceId) -> CrashTrials {
        CrashTrials {
            instance,
            local: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }

    /// Notes a crash while the request ran there, before the log tells everybody.
    pub fn crashed(&mut self, fingerprint: &RequestFingerprint, site: CrashSite) {
        if self.local.len() >= LOCAL_KEPT && !self.local.contains_key(fingerprint) {
            self.local.pop_first();
        }
        let lost = self.local.entry(fingerprint.clone()).or_default();
        lost.insert(site);
    }

    /// Notes that the request ran to its end.
    pub fn cleared(&mut self, fingerprint: &RequestFingerprint) {
        self.local.remove(fingerprint);
    }

    /// The endpoints lost to the request, by the log and by own evidence.
    pub fn lost(
        &self,
        log: &QuarantineState,
        fingerprint: &RequestFingerprint,
    ) -> BTreeSet<CrashSite> {
        let mut lost = log.lost(fingerprint);
        lost.extend(self.local.get(fingerprint).into_iter().flatten().cloned());
        lost
    }

    /// The request's standing, by the log and by own evidence.
    pub fn status(&self, log: &QuarantineState, fingerprint: &RequestFingerprint) -> CrashStatus {
        CrashStatus::with_lost_endpoints(self.lost(log, fingerprint).len())
    }

    /// Where the suspect may run, of the sorted `endpoints` and by the sorted list
    /// of `entries`, this one included.
    pub fn choose(
        &self,
        fingerprint: &RequestFingerprint,
        endpoints: &[EndpointId],
        entries: &[InstanceId],
    ) -> TrialChoice {
        if self.running.values().any(|running| running == fingerprint) {
            return TrialChoice::Wait;
        }
        let place = entries.iter().position(|entry| *entry == self.instance);
        let is_own = |number: usize| match place {
            None => true,
            Some(place) if endpoints.len() < entries.len() => place % endpoints.len() == number,
            Some(place) => number % entries.len() == place,
        };
        let free = endpoints
            .iter()
            .enumerate()
            .filter(|(number, endpoint)| is_own(*number) && !self.running.contains_key(*endpoint));
        let free: Vec<EndpointId> = free.map(|(_, endpoint)| endpoint.clone()).collect();
        match free.is_empty() {
            true => TrialChoice::Wait,
            false => TrialChoice::AnyOf(free),
        }
    }

    /// A suspect starts on `endpoint`.
    pub fn begin(&mut self, fingerprint: &RequestFingerprint, endpoint: &EndpointId) {
        self.running.insert(endpoint.clone(), fingerprint.clone());
    }

    /// A suspect no longer runs on `endpoint`.
    pub fn end(&mut self, endpoint: &EndpointId) {
        self.running.remove(endpoint);
    }
}
