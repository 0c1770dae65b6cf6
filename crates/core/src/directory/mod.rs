//! Which endpoints may get work: their registrations in the store, and what an
//! outage of the store says and doesn't say about them.
//!
//! An endpoint's registration lapses when it falls silent, also when the store
//! itself was away and heard nobody. An entry that dropped every lapsed endpoint
//! as the store returns would have nowhere to send its callers' requests until
//! all had registered again; one that kept them for good would send work to the
//! dead. So registrations that lapse around an outage are kept for a short time
//! after the store is back, within which live endpoints register again.
//!
//! A registration that goes may also have been withdrawn: some endpoints leave
//! without saying so. So only those doubt it who know of an outage that was long
//! enough for a registration to lapse. An instance that had the store all along
//! does not, whatever one says that was cut off from it.

mod registration;

use std::collections::BTreeMap;

use xxhash_rust::xxh3::Xxh3;

pub use self::registration::{EndpointRegistration, EngineStage};
use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{EndpointId, ServiceName},
};

/// How long a lapsed registration is kept after the store's return: live endpoints
/// register again within it.
pub const LAPSE_GRACE: TimeSpan = TimeSpan::from_millis(2_000);

/// After how many heartbeats that are missing a registration lapses.
const MISSED_HEARTBEATS: u64 = 3;

/// How often endpoints write heartbeats where the settings are silent.
const DEFAULT_HEARTBEAT: TimeSpan = TimeSpan::from_millis(1_200);

/// What a new registration changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// A new endpoint, or a new start of a known one.
    Started,
    /// Something about a known one.
    Updated,
    /// It leaves: it gets nothing new.
    Leaving,
    /// Its registration is gone.
    Gone,
    /// Its registration is gone, but so was the store: it is kept for now.
    Lapsed,
    /// Nothing.
    Same,
}

#[derive(Clone, Debug)]
struct KnownEndpoint {
    registration: EndpointRegistration,
    /// Dropped at this time unless it registers again.
    expires_at: Option<ClockTime>,
}

/// All registered endpoints.
#[derive(Clone, Debug)]
pub struct EndpointDirectory {
    endpoints: BTreeMap<EndpointId, KnownEndpoint>,
    /// The shortest outage in which a registration can lapse.
    min_outage: TimeSpan,
    /// When the store last answered, as far as known.
    answered_at: Option<ClockTime>,
    /// The store's last answer before the reads that fail now.
    outage_since: Option<ClockTime>,
    /// The first answer after the last outage in which registrations can have lapsed.
    recovered_at: Option<ClockTime>,
}

impl Default for EndpointDirectory {
    fn default() -> EndpointDirectory {
        EndpointDirectory::new()
    }
}

impl EndpointDirectory {
    /// No endpoint.
    pub fn new() -> EndpointDirectory {
        EndpointDirectory {
            endpoints: BTreeMap::new(),
            min_outage: TimeSpan::ZERO,
            answered_at: None,
            outage_since: None,
            recovered_at: None,
        }
        .with_heartbeat(DEFAULT_HEARTBEAT)
    }

    /// Endpoints write heartbeats at this interval. The last one before an outage
    /// may be nearly one interval old as the outage begins.
    pub fn with_heartbeat(mut self, interval: TimeSpan) -> EndpointDirectory {
        let missed = interval.as_millis() * (MISSED_HEARTBEATS - 1);
        self.min_outage = TimeSpan::from_millis(missed);
        self
    }

    /// A read of the registrations failed.
    pub fn note_outage(&mut self, now: ClockTime) {
        let last_answer = self.answered_at.unwrap_or(now);
        self.outage_since.get_or_insert(last_answer);
    }

    /// The store answered a read of the registrations at `at`: one of ours, or one
    /// of the instance that reads for us.
    pub fn note_answer(&mut self, at: ClockTime) {
        self.answered_at = self.answered_at.max(Some(at));
        let Some(since) = self.outage_since.take_if(|since| at > *since) else {
            return;
        };
        if at.since(since) >= self.min_outage {
            self.recovered_at = Some(at);
        }
    }

    /// Until when a registration that goes may have lapsed in an outage.
    fn grace_end(&self, now: ClockTime) -> Option<ClockTime> {
        let end = self.recovered_at? + LAPSE_GRACE;
        (now < end).then_some(end)
    }

    /// Takes a registration as it was read.
    pub fn register(&mut self, registration: EndpointRegistration) -> DirectoryChange {
        let id = registration.id.clone();
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
            registration,
            expires_at: None,
        };
        self.endpoints.insert(id, known);
        change
    }

    /// The registration of `id` is gone from the store.
    pub fn unregister(&mut self, now: ClockTime, id: &EndpointId) -> DirectoryChange {
        let end = self.grace_end(now);
        self.end_registration(id, end)
    }

    /// Drops `id` at `end`, or at once if there is none or it had said that it leaves.
    fn end_registration(&mut self, id: &EndpointId, end: Option<ClockTime>) -> DirectoryChange {
        let Some(known) = self.endpoints.get_mut(id) else {
            return DirectoryChange::Same;
        };
        match end {
            Some(_) if known.expires_at.is_some() => DirectoryChange::Same,
            Some(end) if !known.registration.is_leaving => {
                known.expires_at = Some(end);
                DirectoryChange::Lapsed
            }
            _ => {
                self.endpoints.remove(id);
                DirectoryChange::Gone
            }
        }
    }

    /// Another instance says that the registration has lapsed around an outage of
    /// the store, and for how much longer it keeps it. That is no longer than here,
    /// where the outage may be unknown.
    pub fn lapse(
        &mut self,
        now: ClockTime,
        id: &EndpointId,
        kept_for: TimeSpan,
    ) -> DirectoryChange {
        let end = self.grace_end(now).map(|end| end.min(now + kept_for));
        self.end_registration(id, end)
    }

    /// For how much longer a lapsed registration is kept.
    pub fn remaining_grace(&self, now: ClockTime, id: &EndpointId) -> Option<TimeSpan> {
        let expires_at = self.endpoints.get(id)?.expires_at?;
        Some(expires_at.since(now))
    }

    /// A number that differs where two pictures of the endpoints differ in
    /// anything that decides where work goes.
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        let present = self
            .endpoints
            .values()
            .filter(|known| known.expires_at.is_none());
        for known in present {
            let entry = &known.registration;
            hasher.update(entry.id.as_str().as_bytes());
            hasher.update(&entry.start.to_le_bytes());
            hasher.update(entry.service.as_str().as_bytes());
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

    /// Keeps what is listed and treats the others as unregistered: the listing
    /// stands for everything in the store.
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

    /// The endpoint answered under another name: whoever had the address is gone.
    pub fn remove_endpoint(&mut self, id: &EndpointId) {
        self.endpoints.remove(id);
    }

    /// Drops what lapsed and did not register again; answers their ids.
    pub fn remove_expired(&mut self, now: ClockTime) -> Vec<EndpointId> {
        let lapsed = |known: &KnownEndpoint| known.expires_at.is_some_and(|at| now >= at);
        let ids = self.endpoints.iter().filter(|(_, known)| lapsed(known));
        let ids: Vec<EndpointId> = ids.map(|(id, _)| id.clone()).collect();
        for id in &ids {
            self.endpoints.remove(id);
        }
        ids
    }

    /// The registration of `id`.
    pub fn get(&self, id: &EndpointId) -> Option<&EndpointRegistration> {
        self.endpoints.get(id).map(|known| &known.registration)
    }

    /// The endpoints of a service that may get new work.
    pub fn available_for<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a EndpointRegistration> {
        self.iter()
            .filter(move |entry| entry.service == *service && !entry.is_leaving)
    }

    /// All registrations, by id.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointRegistration> {
        self.endpoints.values().map(|known| &known.registration)
    }
}
