//! The endpoints that may receive work, from their registrations in the store, and
//! how outages of the store affect them.
//!
//! A registration lapses when its endpoint's heartbeats stop, and also when the store
//! was unavailable and received none. If an entry dropped every lapsed endpoint when
//! the store recovers, it would have no endpoint for its callers' requests until all
//! had registered again; if it kept them indefinitely, it would send work to failed
//! endpoints. Registrations that lapse around an outage are therefore kept for a short
//! time after the recovery, within which live endpoints register again.
//!
//! A registration that disappears may also have been withdrawn: some endpoints leave
//! without announcing it. It is therefore kept only where an outage is known that was
//! long enough for a registration to lapse. An instance that could reach the store
//! throughout drops it, even if a partitioned instance reports it as lapsed.

mod outages;
mod registration;
mod sync;

use std::collections::BTreeMap;

use xxhash_rust::xxh3::Xxh3;

use self::outages::StoreOutages;
pub use self::{
    outages::LAPSE_GRACE,
    registration::{EndpointRegistration, EngineStage, RegistrationNumber, SoftwareVersion},
    sync::{
        DirectoryStatus, DirectorySync, ReaderState, RelayedDirectory, WantedCopy,
        max_directory_age,
    },
};
use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{EndpointId, ServiceName},
    streams::VersionHistory,
};

/// How long the last registration of a removed endpoint is kept, to reject older ones. Relayed
/// registrations arrive within seconds, or their messages are too old to be applied.
const REMOVAL_RETENTION: TimeSpan = TimeSpan::from_millis(10_000);

/// The effect of a registration, or of its removal, on the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// A new endpoint, or a restart of a known one.
    Started,
    /// A known endpoint changed another property.
    Updated,
    /// The endpoint is leaving and receives no new work.
    Leaving,
    /// The registration was removed.
    Gone,
    /// The registration is missing after an outage of the store; the endpoint is kept
    /// until [`LAPSE_GRACE`] after the recovery.
    Lapsed,
    /// The registration is older than the last one known of the endpoint and was not entered.
    Outdated,
    /// No change.
    Same,
}

#[derive(Clone, Debug)]
struct KnownEndpoint {
    registration: EndpointRegistration,
    /// The number of its last registration, as far as it is known here: heartbeats that change
    /// nothing are not relayed.
    last_number: RegistrationNumber,
    /// When it is removed unless it registers again; `None` unless the registration
    /// lapsed.
    expires_at: Option<ClockTime>,
}

/// The last registration of a removed endpoint.
#[derive(Clone, Copy, Debug)]
struct RemovedEndpoint {
    number: RegistrationNumber,
    /// When [`EndpointDirectory::remove_expired`] was first called after the removal.
    removed_at: Option<ClockTime>,
}

/// All registered endpoints, including those whose registration has lapsed.
#[derive(Clone, Debug)]
pub struct EndpointDirectory {
    endpoints: BTreeMap<EndpointId, KnownEndpoint>,
    /// The last registrations of recently removed endpoints, to reject older ones.
    removed: BTreeMap<EndpointId, RemovedEndpoint>,
    /// The software versions that were registered lately.
    versions: VersionHistory,
    /// The digest, unless the endpoints have changed since it was computed.
    digest: Option<u64>,
    /// Outages of the store, in which registrations lapse.
    outages: StoreOutages,
}

impl Default for EndpointDirectory {
    fn default() -> EndpointDirectory {
        EndpointDirectory::new()
    }
}

impl EndpointDirectory {
    /// An empty directory.
    pub fn new() -> EndpointDirectory {
        EndpointDirectory {
            endpoints: BTreeMap::new(),
            removed: BTreeMap::new(),
            versions: VersionHistory::new(),
            digest: None,
            outages: StoreOutages::new(),
        }
    }

    /// Sets the heartbeat interval of endpoints.
    pub fn with_heartbeat(mut self, interval: TimeSpan) -> EndpointDirectory {
        self.outages = self.outages.with_heartbeat(interval);
        self
    }

    /// Sets how long after an outage of the store the drain bound applies again, so that endpoints
    /// that have left must get no more work.
    pub fn with_stable_period(mut self, delay: TimeSpan) -> EndpointDirectory {
        self.outages = self.outages.with_stable_period(delay);
        self
    }

    /// Sets whether the whole system starts for the first time.
    pub fn with_first_start(mut self, is_first_start: bool) -> EndpointDirectory {
        self.versions = self.versions.with_first_start(is_first_start);
        self
    }

    /// The software versions that were registered lately.
    pub fn versions(&self) -> &VersionHistory {
        &self.versions
    }

    /// The software versions that were registered lately, to record what is known of them.
    pub fn versions_mut(&mut self) -> &mut VersionHistory {
        &mut self.versions
    }

    /// Records that a read of the registrations failed that was sent at `sent`.
    pub fn note_outage(&mut self, sent: ClockTime) {
        self.outages.note_failure(sent);
    }

    /// Records that the store answered a read of the registrations at `at`, sent by the reader of
    /// the failure domain, whose messages also state how long it keeps lapsed registrations.
    pub fn note_answer(&mut self, at: ClockTime) {
        self.outages.note_relayed_answer(at);
    }

    /// Records that the store answered a read of the registrations at `at`, sent by this instance.
    pub fn note_own_answer(&mut self, at: ClockTime) {
        self.outages.note_own_answer(at);
    }

    /// Inserts or replaces a registration that was read, unless a later one is or was known. The store
    /// may execute a heartbeat that it has not answered seconds later, after newer ones.
    pub fn register(&mut self, registration: EndpointRegistration) -> DirectoryChange {
        let id = registration.id.clone();
        if registration.number() < self.last_number(&id) {
            return DirectoryChange::Outdated;
        }
        let known = self.endpoints.get(&id);
        let change = match known {
            None => DirectoryChange::Started,
            Some(known) if known.registration.start != registration.start => {
                DirectoryChange::Started
            }
            Some(known) if known.registration.same_except_heartbeat(&registration) => {
                DirectoryChange::Same
            }
            Some(known) if registration.is_leaving && !known.registration.is_leaving => {
                DirectoryChange::Leaving
            }
            Some(_) => DirectoryChange::Updated,
        };
        let known = KnownEndpoint {
            last_number: registration.number(),
            registration,
            expires_at: None,
        };
        let (service, origin) = (
            known.registration.service.clone(),
            known.registration.origin(),
        );
        self.removed.remove(&id);
        let earlier = self.endpoints.insert(id, known);
        self.versions.note_registered(&service, origin);
        if let Some(KnownEndpoint { registration, .. }) = &earlier {
            let origin = registration.origin();
            self.versions.note_removed(&registration.service, origin);
        }
        let was_lapsed = earlier.is_some_and(|earlier| earlier.expires_at.is_some());
        if was_lapsed || change != DirectoryChange::Same {
            self.digest = None;
        }
        change
    }

    /// Whether `other`, which another instance sent, is outdated: a later registration of the
    /// endpoint is known here, or that it lapsed or was removed after `other`.
    pub fn has_newer(&self, other: &EndpointRegistration) -> bool {
        let number = other.number();
        let is_removed = self
            .removed
            .get(&other.id)
            .is_some_and(|removed| removed.number >= number);
        let known = self.endpoints.get(&other.id);
        let is_known = known.is_some_and(|known| {
            let known_number = known.last_number;
            known_number > number || (known_number == number && known.expires_at.is_some())
        });
        is_known || is_removed
    }

    /// Whether a relayed registration is to be entered. If the message is older than the last
    /// confirmation of the directory (`is_older`), an endpoint that is not known here has left
    /// since.
    pub fn accepts_relayed(&self, registration: &EndpointRegistration, is_older: bool) -> bool {
        let has_left = is_older && self.get(&registration.id).is_none();
        !has_left && !self.has_newer(registration)
    }

    /// Records that another instance has removed `id`, whose last registration was `number`.
    /// Returns whether the endpoint has to be unregistered here: it is known, and not by a later
    /// registration. The removal of an unknown endpoint is recorded, since a message with an older
    /// registration may arrive after it.
    pub fn note_relayed_removal(&mut self, id: &EndpointId, number: RegistrationNumber) -> bool {
        match self.endpoints.get_mut(id) {
            Some(known) if known.last_number <= number => {
                known.last_number = number;
                true
            }
            Some(_) => false,
            None => {
                let removed = self.removed.entry(id.clone()).or_insert(RemovedEndpoint {
                    number,
                    removed_at: None,
                });
                removed.number = removed.number.max(number);
                false
            }
        }
    }

    /// The number of the last registration of `id`, which may have been removed.
    pub fn last_number(&self, id: &EndpointId) -> RegistrationNumber {
        let known = self.endpoints.get(id).map(|known| known.last_number);
        let removed = || self.removed.get(id).map(|removed| removed.number);
        known.or_else(removed).unwrap_or_default()
    }

    /// Records that the store no longer has the registration of `id`.
    pub fn unregister(&mut self, now: ClockTime, id: &EndpointId) -> DirectoryChange {
        let end = self.outages.grace_end(now);
        self.end_registration(id, end)
    }

    /// Schedules the removal of `id` at `end`; removes it at once if there is no `end` or
    /// the endpoint had announced that it is leaving.
    fn end_registration(&mut self, id: &EndpointId, end: Option<ClockTime>) -> DirectoryChange {
        let Some(known) = self.endpoints.get_mut(id) else {
            return DirectoryChange::Same;
        };
        match end {
            Some(_) if known.expires_at.is_some() => DirectoryChange::Same,
            Some(end) if !known.registration.is_leaving => {
                known.expires_at = Some(end);
                self.digest = None;
                DirectoryChange::Lapsed
            }
            _ => {
                self.remove_endpoint(id);
                DirectoryChange::Gone
            }
        }
    }

    /// Records that another instance reports the registration, whose last number was `number`, as
    /// lapsed around an outage of the store and keeps it for `kept_for` longer. It is kept here for
    /// at most that time, and not at all if no outage is known here. A later registration that is
    /// known here stays: the report may have been overtaken by it.
    pub fn lapse(
        &mut self,
        now: ClockTime,
        id: &EndpointId,
        number: RegistrationNumber,
        kept_for: TimeSpan,
    ) -> DirectoryChange {
        if !self.note_relayed_removal(id, number) {
            return DirectoryChange::Same;
        }
        let end = self
            .outages
            .grace_end(now)
            .map(|end| end.min(now + kept_for));
        self.end_registration(id, end)
    }

    /// How much longer a lapsed registration is kept.
    pub fn remaining_grace(&self, now: ClockTime, id: &EndpointId) -> Option<TimeSpan> {
        let expires_at = self.endpoints.get(id)?.expires_at?;
        Some(expires_at.since(now))
    }

    /// A hash of all endpoint properties that decide where work is sent, to compare the
    /// directories of two instances. It is kept until an endpoint changes.
    pub fn digest(&mut self) -> u64 {
        match self.digest {
            Some(digest) => digest,
            None => *self.digest.insert(self.compute_digest()),
        }
    }

    fn compute_digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for entry in self.registered() {
            hasher.update(entry.id.as_str().as_bytes());
            hasher.update(&entry.start.to_le_bytes());
            hasher.update(entry.service.as_str().as_bytes());
            hasher.update(entry.version.as_str().as_bytes());
            hasher.update(entry.address.to_string().as_bytes());
            let stage = match entry.stage {
                None => 0,
                Some(EngineStage::Prefill) => 1,
                Some(EngineStage::Decode) => 2,
            };
            hasher.update(&[u8::from(entry.is_leaving), stage]);
        }
        hasher.digest()
    }

    /// Treats all endpoints that are not `listed` as unregistered, and returns them. The
    /// list must be complete.
    pub fn retain_listed<Listed>(&mut self, now: ClockTime, listed: Listed) -> Vec<EndpointId>
    where
        Listed: Fn(&EndpointId) -> bool,
    {
        let missing = self.endpoints.keys().filter(|id| !listed(id));
        let missing: Vec<EndpointId> = missing.cloned().collect();
        for id in &missing {
            self.unregister(now, id);
        }
        missing
    }

    /// Removes an endpoint at whose address another endpoint answered.
    pub fn remove_endpoint(&mut self, id: &EndpointId) {
        let removed = self.endpoints.remove(id);
        if let Some(known) = removed {
            let origin = known.registration.origin();
            let service = &known.registration.service;
            self.versions.note_removed(service, origin);
            let removed = RemovedEndpoint {
                number: known.last_number,
                removed_at: None,
            };
            self.removed.insert(id.clone(), removed);
        }
        self.digest = None;
    }

    /// Removes lapsed endpoints that did not register again in time, and returns them. Forgets
    /// endpoints that were removed long ago.
    pub fn remove_expired(&mut self, now: ClockTime) -> Vec<EndpointId> {
        self.removed.retain(|_, removed| {
            let removed_at = *removed.removed_at.get_or_insert(now);
            now.since(removed_at) < REMOVAL_RETENTION
        });
        let lapsed = |known: &KnownEndpoint| known.expires_at.is_some_and(|at| now >= at);
        let ids = self.endpoints.iter().filter(|(_, known)| lapsed(known));
        let ids: Vec<EndpointId> = ids.map(|(id, _)| id.clone()).collect();
        for id in &ids {
            self.remove_endpoint(id);
        }
        ids
    }

    /// The registration of `id`.
    pub fn get(&self, id: &EndpointId) -> Option<&EndpointRegistration> {
        self.endpoints.get(id).map(|known| &known.registration)
    }

    /// The registration of `id` if it may receive new work at `now`.
    pub fn open_at(&self, now: ClockTime, id: &EndpointId) -> Option<&EndpointRegistration> {
        let known = self.endpoints.get(id)?;
        let has_expired = known.expires_at.is_some_and(|at| now >= at);
        let is_open = !known.registration.is_leaving && !has_expired;
        is_open.then_some(&known.registration)
    }

    /// The time until the next lapsed endpoint is due to be removed.
    pub fn time_to_removal(&self, now: ClockTime) -> Option<TimeSpan> {
        let ends = self.endpoints.values().filter_map(|known| known.expires_at);
        ends.min().map(|end| end.since(now))
    }

    /// The endpoints of a service that may receive new work.
    pub fn available_for<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a EndpointRegistration> {
        self.iter()
            .filter(move |entry| entry.service == *service && !entry.is_leaving)
    }

    /// The registrations that have not lapsed, by id.
    pub fn registered(&self) -> impl Iterator<Item = &EndpointRegistration> {
        let known = self.endpoints.values();
        let registered = known.filter(|known| known.expires_at.is_none());
        registered.map(|known| &known.registration)
    }

    /// All registrations, by id.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointRegistration> {
        self.endpoints.values().map(|known| &known.registration)
    }
}
