//! What endpoints ask of this entry in their answers, beside a limit: rest for some time, or nothing
//! more as they leave.
//!
//! Rest is asked of one entry; others may go on sending. It is no failure of the endpoint, so nothing
//! ends it early but a later start of the endpoint, which knows nothing of it.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::EndpointId,
};

/// The longest rest that is observed. A longer one is cut to it.
pub const MAX_REST: TimeSpan = TimeSpan::from_secs(86_400);

/// How long after its start the registration of an endpoint may arrive here. Until then its answers
/// count as those of its last known start.
const REGISTRATION_DELAY: TimeSpan = TimeSpan::from_millis(2_500);

/// How long it is remembered that an endpoint leaves: its registration may be outdated for as long as
/// the store does not answer.
const LEAVING_RETENTION: TimeSpan = TimeSpan::from_secs(3_600);

/// What an endpoint asks for in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointNotice {
    /// No request of this entry for this long.
    Rest(TimeSpan),
    /// No further request, as it leaves.
    Leaving,
}

/// Why an endpoint must not be called now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallObstacle {
    /// It has asked for rest, of which this much is left.
    Resting(TimeSpan),
    /// It has announced that it leaves.
    Leaving,
}

/// What one start of an endpoint has asked for.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct NoticedStart {
    start: u64,
    rest_asked_at: ClockTime,
    rest_until: Option<ClockTime>,
    left_at: Option<ClockTime>,
}

impl NoticedStart {
    fn obstacle(&self, now: ClockTime) -> Option<CallObstacle> {
        if self.left_at.is_some() {
            return Some(CallObstacle::Leaving);
        }
        let until = self.rest_until.filter(|until| now < *until)?;
        Some(CallObstacle::Resting(until.since(now)))
    }
}

/// What endpoints have asked of one entry.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(transparent)]
pub struct EndpointNotices {
    endpoints: BTreeMap<EndpointId, NoticedStart>,
}

impl EndpointNotices {
    /// Creates a table without notices.
    pub fn new() -> EndpointNotices {
        EndpointNotices::default()
    }

    /// Whether no endpoint has asked for anything.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Records what the endpoint that was started at `start` asks for. Returns whether it could be
    /// called until now.
    pub fn note(
        &mut self,
        now: ClockTime,
        endpoint: &EndpointId,
        start: u64,
        notice: EndpointNotice,
    ) -> bool {
        let noticed = self.endpoints.entry(endpoint.clone()).or_default();
        if noticed.start > start {
            return false;
        }
        if noticed.start < start {
            *noticed = NoticedStart {
                start,
                ..NoticedStart::default()
            };
        }
        let was_callable = noticed.obstacle(now).is_none();
        match notice {
            EndpointNotice::Rest(span) => {
                let until = now + span.min(MAX_REST);
                noticed.rest_asked_at = now;
                noticed.rest_until = noticed.rest_until.max(Some(until));
            }
            EndpointNotice::Leaving => {
                noticed.left_at.get_or_insert(now);
            }
        }
        was_callable && noticed.obstacle(now).is_some()
    }

    /// Records that the endpoint is registered with this start. What earlier ones asked for is void,
    /// but for a rest that was asked for so lately that it may have been by this start.
    pub fn note_started(&mut self, now: ClockTime, endpoint: &EndpointId, start: u64) {
        let Some(noticed) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        if noticed.start >= start {
            return;
        }
        let is_recent = now.since(noticed.rest_asked_at) < REGISTRATION_DELAY;
        *noticed = NoticedStart {
            start,
            left_at: None,
            rest_until: noticed.rest_until.filter(|_| is_recent),
            ..*noticed
        };
    }

    /// Why the endpoint that was started at `start` must not be called now, if so.
    pub fn obstacle(
        &self,
        now: ClockTime,
        endpoint: &EndpointId,
        start: u64,
    ) -> Option<CallObstacle> {
        let noticed = self.endpoints.get(endpoint);
        let noticed = noticed.filter(|noticed| noticed.start == start)?;
        noticed.obstacle(now)
    }

    /// The endpoints that must not be called now.
    pub fn not_callable(&self, now: ClockTime) -> Vec<EndpointId> {
        let noticed = self.endpoints.iter();
        let noticed = noticed.filter(|(_, noticed)| noticed.obstacle(now).is_some());
        noticed.map(|(endpoint, _)| endpoint.clone()).collect()
    }

    /// The time until the first of the resting `candidates` may be called again.
    pub fn shortest_rest<Candidates>(
        &self,
        now: ClockTime,
        candidates: Candidates,
    ) -> Option<TimeSpan>
    where
        Candidates: Fn(&EndpointId) -> bool,
    {
        let noticed = self.endpoints.iter();
        let noticed = noticed.filter(|(endpoint, _)| candidates(endpoint));
        let rests = noticed.filter_map(|(_, noticed)| match noticed.obstacle(now) {
            Some(CallObstacle::Resting(remaining)) => Some(remaining),
            _ => None,
        });
        rests.min()
    }

    /// Forgets rests that are over and endpoints that left long ago.
    pub fn sweep(&mut self, now: ClockTime) {
        self.endpoints.retain(|_, noticed| {
            let is_leaving = noticed
                .left_at
                .is_some_and(|at| now.since(at) < LEAVING_RETENTION);
            is_leaving || noticed.rest_until.is_some_and(|until| now < until)
        });
    }
}
