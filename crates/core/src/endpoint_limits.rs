//! Limits that endpoints in need name for the requests of all entries together.
//!
//! The entries of a fleet divide such a limit among them without communication, as they do
//! with the extra of the retry budget. Each entry ranks all entries by a hash of their names
//! and the endpoint; of the requests that the limit allows in a window, each entry gets
//! the same whole number, and those that rank first get the remainder. The parts add up to
//! the limit, also where there are more entries than requests in a window. They are not
//! moved to entries with more demand: an endpoint in need is relieved rather than used up,
//! and others serve the rest.
//!
//! An endpoint lifts its limit by an answer that names none. Entries without a part get no
//! answers, so now and then each of them sends one request; they take turns by their ranks.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{EndpointId, InstanceId},
    units::MilliRequestRate,
};

/// The window in which the requests to an endpoint are counted.
pub const LIMIT_WINDOW: TimeSpan = TimeSpan::from_millis(4_000);

/// How long after it named its limit an endpoint is sent one request by the first entry
/// without a part.
const PROBE_DELAY: TimeSpan = TimeSpan::from_millis(10_000);

/// The share of the limit that the requests of entries without a part may use.
const PROBE_SHARE: f64 = 0.25;

/// The lowest rate of all these requests together, in thousandths a second.
const MIN_PROBE_RATE: f64 = 25.0;

/// How long the limit of an endpoint is kept after its last answer: its id is not used again.
const RETENTION: TimeSpan = TimeSpan::from_secs(3_600);

/// What an answer says about the limit of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitStatement {
    /// The endpoint takes this rate from all entries together.
    Limited(MilliRequestRate),
    /// The endpoint names no limit.
    Unlimited,
}

/// The place of an entry among those that share the limit of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
struct EntryRank {
    rank: u64,
    entries: u64,
}

impl EntryRank {
    fn new(endpoint: &EndpointId, local: &InstanceId, others: &[&InstanceId]) -> EntryRank {
        let seed = xxh3_64(endpoint.as_str().as_bytes());
        let score = |entry: &InstanceId| xxh3_64_with_seed(entry.as_str().as_bytes(), seed);
        let local_score = score(local);
        let before = others.iter().filter(|entry| score(entry) < local_score);
        EntryRank {
            rank: before.count() as u64,
            entries: others.len() as u64 + 1,
        }
    }
}

/// The limit of one endpoint.
#[derive(Clone, Debug, Serialize)]
struct EndpointLimit {
    rate: MilliRequestRate,
    /// `None` until the other entries are known; the entry has no part until then.
    place: Option<EntryRank>,
    limited_at: ClockTime,
    answered_at: ClockTime,
    #[serde(skip)]
    sent: VecDeque<ClockTime>,
}

impl EndpointLimit {
    /// The number of requests that this entry may send within a window.
    fn part(&self) -> u64 {
        let Some(place) = self.place else {
            return 0;
        };
        let allowed = self.rate.count() * LIMIT_WINDOW.as_millis() / 1_000_000;
        allowed / place.entries + u64::from(place.rank < allowed % place.entries)
    }

    fn sent_in_window(&self, now: ClockTime) -> u64 {
        let sent = self.sent.iter().rev();
        sent.take_while(|at| now.since(**at) < LIMIT_WINDOW).count() as u64
    }

    /// Whether a request is due that shows whether the limit still holds.
    fn is_probe_due(&self, now: ClockTime) -> bool {
        let Some(place) = self.place else {
            return false;
        };
        let rate = (self.rate.count() as f64 * PROBE_SHARE).max(MIN_PROBE_RATE);
        let turns = |count: u64| TimeSpan::from_millis((count as f64 * 1e6 / rate) as u64);
        match self.sent.back() {
            None => now.since(self.limited_at) >= PROBE_DELAY + turns(place.rank),
            Some(last) => now.since(*last) >= turns(place.entries).max(PROBE_DELAY),
        }
    }

    fn is_exhausted(&self, now: ClockTime) -> bool {
        self.sent_in_window(now) >= self.part() && !self.is_probe_due(now)
    }

    /// The time until the entry may send a request again; `None` if it may now, or without a
    /// part.
    fn room_in(&self, now: ClockTime) -> Option<TimeSpan> {
        if !self.is_exhausted(now) {
            return None;
        }
        let part = self.part() as usize;
        let oldest = self.sent.len().checked_sub(part)?;
        let at = self.sent.get(oldest)?;
        Some(LIMIT_WINDOW.saturating_sub(now.since(*at)))
    }
}

/// The limits of all endpoints that have named one, as known to one entry.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(transparent)]
pub struct EndpointLimits {
    limits: BTreeMap<EndpointId, EndpointLimit>,
}

impl EndpointLimits {
    /// Creates a table without limits.
    pub fn new() -> EndpointLimits {
        EndpointLimits::default()
    }

    /// Whether no endpoint has a limit.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Records what an answer says. Returns whether the endpoint is limited from now on and
    /// was not before, or the other way round.
    pub fn note_answer(
        &mut self,
        now: ClockTime,
        endpoint: &EndpointId,
        statement: LimitStatement,
    ) -> bool {
        let LimitStatement::Limited(rate) = statement else {
            return self.limits.remove(endpoint).is_some();
        };
        if let Some(limit) = self.limits.get_mut(endpoint) {
            limit.rate = rate;
            limit.answered_at = now;
            return false;
        }
        let limit = EndpointLimit {
            rate,
            place: None,
            limited_at: now,
            answered_at: now,
            sent: VecDeque::new(),
        };
        self.limits.insert(endpoint.clone(), limit);
        true
    }

    /// Sets the entries that share the limits with the `local` one.
    pub fn set_entries(&mut self, local: &InstanceId, others: &[&InstanceId]) {
        for (endpoint, limit) in &mut self.limits {
            limit.place = Some(EntryRank::new(endpoint, local, others));
        }
    }

    /// Records a request to the endpoint.
    pub fn note_sent(&mut self, now: ClockTime, endpoint: &EndpointId) {
        let Some(limit) = self.limits.get_mut(endpoint) else {
            return;
        };
        limit.sent.push_back(now);
        while limit
            .sent
            .front()
            .is_some_and(|at| now.since(*at) >= LIMIT_WINDOW)
        {
            limit.sent.pop_front();
        }
    }

    /// The endpoints that get no further request from this entry now.
    pub fn exhausted(&self, now: ClockTime) -> Vec<EndpointId> {
        let exhausted = self.limits.iter();
        exhausted
            .filter(|(_, limit)| limit.is_exhausted(now))
            .map(|(endpoint, _)| endpoint.clone())
            .collect()
    }

    /// The endpoints that have a limit.
    pub fn limited(&self) -> Vec<EndpointId> {
        self.limits.keys().cloned().collect()
    }

    /// The time until an exhausted endpoint among the `candidates` may get a request of this
    /// entry again.
    pub fn room_in<Candidates>(&self, now: ClockTime, candidates: Candidates) -> Option<TimeSpan>
    where
        Candidates: Fn(&EndpointId) -> bool,
    {
        let limits = self.limits.iter();
        let limits = limits.filter(|(endpoint, _)| candidates(endpoint));
        limits.filter_map(|(_, limit)| limit.room_in(now)).min()
    }

    /// Removes the limits of endpoints that have not answered for long.
    pub fn sweep(&mut self, now: ClockTime) {
        self.limits
            .retain(|_, limit| now.since(limit.answered_at) < RETENTION);
    }
}
