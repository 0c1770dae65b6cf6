//! What endpoints ask of instances, and the part of prompts that crashes them.

use std::{collections::BTreeMap, fmt};

use bluebell_core::clock::{ClockTime, TimeSpan};

use crate::promises::{Promise, PromiseBook, STABLE_WINDOW};

/// The number of crashes after which a part counts as known.
const KNOWN_AFTER_CRASHES: usize = 5;
/// How many requests with the part may run once it is known.
const MAX_LATE_RUNS: u64 = 3;
/// How long after an endpoint asked for rest requests may still arrive.
const REST_SLACK: TimeSpan = TimeSpan::from_millis(500);
/// How many requests may arrive at an endpoint while it rests.
const MAX_ARRIVALS_AT_REST: u32 = 2;

/// An endpoint and the instance that it asked for rest.
type RestKey = (String, String);

/// The rests in force, and the crashes under the part.
#[derive(Debug, Default)]
pub struct NoticeTally {
    rests: BTreeMap<RestKey, RestRecord>,
    crashes: Vec<ClockTime>,
    late_runs: u64,
    rests_asked: u64,
}

#[derive(Clone, Copy, Debug)]
struct RestRecord {
    from: ClockTime,
    until: ClockTime,
    arrivals: u32,
}

impl NoticeTally {
    /// An endpoint asked an instance for rest.
    pub fn note_rest(&mut self, now: ClockTime, endpoint: &str, instance: &str, span: TimeSpan) {
        self.rests_asked += 1;
        let key = (endpoint.to_string(), instance.to_string());
        let record = RestRecord {
            from: now,
            until: now + span,
            arrivals: 0,
        };
        self.rests.entry(key).or_insert(record);
    }

    /// An endpoint starts again and knows nothing of the rests that it asked for.
    pub fn note_restart(&mut self, endpoint: &str) {
        self.rests.retain(|(resting, _), _| resting != endpoint);
    }

    /// A request of an instance reached an endpoint. Returns since when the endpoint rests if too many
    /// have since.
    pub fn note_arrival(
        &mut self,
        now: ClockTime,
        endpoint: &str,
        instance: &str,
    ) -> Option<ClockTime> {
        let key = (endpoint.to_string(), instance.to_string());
        let record = self.rests.get_mut(&key)?;
        if now >= record.until {
            self.rests.remove(&key);
            return None;
        }
        record.arrivals += u32::from(now >= record.from + REST_SLACK);
        (record.arrivals > MAX_ARRIVALS_AT_REST).then_some(record.from)
    }

    /// An endpoint crashed under the part.
    pub fn note_crash(&mut self, now: ClockTime) {
        self.crashes.push(now);
    }

    /// When the part counted as known.
    pub fn known_at(&self) -> Option<ClockTime> {
        self.crashes.get(KNOWN_AFTER_CRASHES - 1).copied()
    }

    /// A request with the part runs later than it may. Returns whether too many have.
    pub fn note_late_run(&mut self) -> bool {
        self.late_runs += 1;
        self.late_runs > MAX_LATE_RUNS
    }
}

impl PromiseBook {
    /// The instance that an attempt was sent to.
    pub(super) fn instance_of(&self, attempt: &str) -> Option<String> {
        let known = self.attempts.get(attempt)?;
        Some(known.request.process.instance.to_string())
    }

    /// An endpoint gets the rest that it asked an undisturbed instance for.
    pub(super) fn check_rest(&mut self, now: ClockTime, attempt: &str, endpoint: &str) {
        let Some(instance) = self.instance_of(attempt) else {
            return;
        };
        let resting_since = self.notices.note_arrival(now, endpoint, &instance);
        if let Some(since) = resting_since
            && self.is_calm(&instance, since, now, true)
        {
            let detail = format!("attempt={attempt} instance={instance} endpoint={endpoint}");
            self.broke(now, Promise::RestGranted, detail);
        }
    }

    /// Requests with the part that crashes endpoints stop running once it is known.
    pub(super) fn check_crashing(
        &mut self,
        now: ClockTime,
        instance: &str,
        sent: ClockTime,
        who: &str,
    ) {
        let known_at = self.notices.known_at();
        let is_late = known_at.is_some_and(|at| sent > at + STABLE_WINDOW);
        if is_late && self.is_in_touch(instance, sent, now) && self.notices.note_late_run() {
            self.broke(now, Promise::CrashingPartStopped, who.to_string());
        }
    }
}

impl fmt::Display for NoticeTally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "crashes={} late_runs={} rests={}",
            self.crashes.len(),
            self.late_runs,
            self.rests_asked
        )
    }
}
