//! The software versions of each service that were in view lately.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::ServiceName,
    streams::OriginHash,
};

/// The longest time from the first event of a stream until its caller takes it up, whatever
/// the routes say. For as long after the last endpoint of a version has left, streams that began
/// there may come.
pub const MAX_STREAM_AGE: TimeSpan = TimeSpan::from_secs(60);

/// The minimum of that time: an endpoint may serve for some seconds after its registration is
/// gone.
const MIN_STREAM_AGE: TimeSpan = TimeSpan::from_secs(15);

/// That time in multiples of the longest timeout of the routes whose streams can be resumed.
/// The timeout bounds one attempt; callers make a few within their deadline.
const STREAM_AGE_TIMEOUTS: u64 = 2;

/// The maximum age of the known registrations while they prove anything.
pub const MAX_VIEW_AGE: TimeSpan = TimeSpan::from_millis(3_000);

#[derive(Clone, Debug, Default)]
struct VersionPresence {
    endpoints: usize,
    /// When the last of its endpoints was found to have left.
    gone_at: Option<ClockTime>,
}

#[derive(Clone, Debug, Default)]
struct ServiceVersions {
    versions: BTreeMap<OriginHash, VersionPresence>,
    /// Whether another instance has proved what preceded the knowledge of this one.
    is_vouched: bool,
}

/// The versions of all services, as the registrations show them.
#[derive(Clone, Debug)]
pub struct VersionHistory {
    services: BTreeMap<ServiceName, ServiceVersions>,
    /// Since when no change of the registrations was missed.
    complete_since: Option<ClockTime>,
    /// Everything that was registered at this time is known.
    current_at: Option<ClockTime>,
    /// Whether there was nothing before this instance started.
    is_first_start: bool,
    /// For how long streams of a version that has left are still taken up.
    stream_age: TimeSpan,
}

impl Default for VersionHistory {
    fn default() -> VersionHistory {
        VersionHistory::new()
    }
}

impl VersionHistory {
    /// Creates an empty history.
    pub fn new() -> VersionHistory {
        VersionHistory {
            services: BTreeMap::new(),
            complete_since: None,
            current_at: None,
            is_first_start: false,
            stream_age: MAX_STREAM_AGE,
        }
    }

    /// Sets that the whole system starts for the first time, so that no stream began earlier.
    pub fn with_first_start(mut self, is_first_start: bool) -> VersionHistory {
        self.is_first_start = is_first_start;
        self
    }

    /// Sets the longest timeout of the routes whose streams can be resumed.
    pub fn set_timeout(&mut self, timeout: TimeSpan) {
        let stream_age = timeout.times(STREAM_AGE_TIMEOUTS);
        self.stream_age = stream_age.max(MIN_STREAM_AGE).min(MAX_STREAM_AGE);
    }

    /// For how long streams of a version that has left are still taken up.
    pub fn stream_age(&self) -> TimeSpan {
        self.stream_age
    }

    /// Records a registration of an endpoint of `service`.
    pub fn note_registered(&mut self, service: &ServiceName, origin: OriginHash) {
        let known = self.services.entry(service.clone()).or_default();
        let presence = known.versions.entry(origin).or_default();
        presence.endpoints += 1;
        presence.gone_at = None;
    }

    /// Records that the registration of an endpoint of `service` was removed or replaced.
    pub fn note_removed(&mut self, service: &ServiceName, origin: OriginHash) {
        let known = self.services.get_mut(service);
        if let Some(presence) = known.and_then(|known| known.versions.get_mut(&origin)) {
            presence.endpoints = presence.endpoints.saturating_sub(1);
        }
    }

    /// Records that everything that was registered at `at` is known. A version that appeared and
    /// disappeared unseen matters only after a gap that is longer than streams are taken up.
    pub fn note_current(&mut self, at: ClockTime) {
        let is_bridged = self
            .current_at
            .is_some_and(|earlier| at.since(earlier) <= self.stream_age);
        if !is_bridged {
            self.forget_continuity(at);
        }
        self.current_at = self.current_at.max(Some(at));
    }

    fn forget_continuity(&mut self, at: ClockTime) {
        if self.current_at.is_some() {
            self.is_first_start = false;
        }
        self.complete_since = Some(at);
        for known in self.services.values_mut() {
            known.is_vouched = false;
        }
    }

    /// Forgets the versions whose last endpoint left so long ago that no stream of it is taken up.
    pub fn sweep(&mut self, now: ClockTime) {
        let stream_age = self.stream_age;
        for known in self.services.values_mut() {
            known.versions.retain(|_, presence| {
                if presence.endpoints > 0 {
                    return true;
                }
                let gone_at = *presence.gone_at.get_or_insert(now);
                now.since(gone_at) < stream_age
            });
        }
    }

    /// The only version at which a stream of `service` that is taken up now can have begun;
    /// `None` if there may be several, or the registrations are not known well enough.
    pub fn sole_origin(&self, now: ClockTime, service: &ServiceName) -> Option<OriginHash> {
        let known = self.services.get(service)?;
        self.sole_of(now, known)
    }

    /// The only versions of all services that have one, as [`Self::sole_origin`].
    pub fn sole_origins(&self, now: ClockTime) -> impl Iterator<Item = OriginHash> + '_ {
        let services = self.services.values();
        services.filter_map(move |known| self.sole_of(now, known))
    }

    /// Whether everything that was registered at `at` is known. A version that registered later can
    /// have begun streams as well.
    pub fn is_known_since(&self, at: ClockTime) -> bool {
        self.current_at >= Some(at)
    }

    /// Whether a proof as of `proved_at` leaves no gap before the knowledge of this instance.
    pub fn adjoins(&self, proved_at: ClockTime) -> bool {
        self.complete_since.is_some_and(|since| proved_at >= since)
    }

    /// The age of what is known.
    pub fn age(&self, now: ClockTime) -> Option<TimeSpan> {
        self.current_at.map(|at| now.since(at))
    }

    /// Applies the proofs of an instance that has known the registrations for longer.
    pub fn note_vouched(&mut self, now: ClockTime, proved: &BTreeSet<OriginHash>) {
        if !self.is_current(now) {
            return;
        }
        for known in self.services.values_mut() {
            let sole = only_version(known);
            known.is_vouched |= sole.is_some_and(|origin| proved.contains(&origin));
        }
    }

    /// Records that the log showed the versions of the last `span`, the `seen` ones.
    pub fn note_looked_back(
        &mut self,
        now: ClockTime,
        span: TimeSpan,
        seen: &BTreeSet<(ServiceName, OriginHash)>,
    ) {
        let Some(since) = &mut self.complete_since else {
            return;
        };
        *since = (*since).min(now - span);
        for (service, origin) in seen {
            let known = self.services.entry(service.clone()).or_default();
            known.versions.entry(*origin).or_default();
        }
        self.sweep(now);
    }

    /// Whether a service has a single version here, but nothing is proved of the time before.
    pub fn needs_proof(&self, now: ClockTime) -> bool {
        let mut services = self.services.values();
        self.is_current(now)
            && services.any(|known| only_version(known).is_some() && !self.is_covered(now, known))
    }

    /// The service of `origin`, if one of its endpoints is or was in view lately.
    pub fn service_of(&self, origin: OriginHash) -> Option<&ServiceName> {
        let mut services = self.services.iter();
        let found = services.find(|(_, known)| known.versions.contains_key(&origin));
        found.map(|(service, _)| service)
    }

    fn sole_of(&self, now: ClockTime, known: &ServiceVersions) -> Option<OriginHash> {
        let is_proved = self.is_current(now) && self.is_covered(now, known);
        only_version(known).filter(|_| is_proved)
    }

    fn is_current(&self, now: ClockTime) -> bool {
        let current_at = self.current_at;
        current_at.is_some_and(|at| now.since(at) <= MAX_VIEW_AGE)
    }

    fn is_covered(&self, now: ClockTime, known: &ServiceVersions) -> bool {
        let since = self.complete_since;
        let is_long = since.is_some_and(|since| now.since(since) >= self.stream_age);
        self.is_first_start || known.is_vouched || is_long
    }
}

/// The version of the service, if it has had no other lately.
fn only_version(known: &ServiceVersions) -> Option<OriginHash> {
    let mut versions = known.versions.keys();
    let first = versions.next().copied();
    first.filter(|_| versions.next().is_none())
}
