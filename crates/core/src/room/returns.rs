//! When refused callers may return, and whether a request is one that returns.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{RequestFingerprint, ServiceName},
};

/// Maximum `Retry-After` of a refusal. The load beyond it cannot be estimated.
const MAX_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(10);
/// How long after its time a request still counts as returning.
const RETURN_PERIOD: TimeSpan = TimeSpan::from_secs(10);
/// Maximum number of refused requests that are remembered.
const MAX_REFUSED: usize = 4_096;

/// Assigns to refused callers the times at which they may return, one after the other at the rate
/// at which room comes, and recognises their requests by fingerprint.
#[derive(Clone, Debug)]
pub struct ReturnSchedule {
    random: ChaCha8Rng,
    next_turns: BTreeMap<ServiceName, ClockTime>,
    refused: BTreeMap<RequestFingerprint, ClockTime>,
    by_turn: BTreeSet<(ClockTime, RequestFingerprint)>,
}

impl Default for ReturnSchedule {
    fn default() -> ReturnSchedule {
        ReturnSchedule::new()
    }
}

impl ReturnSchedule {
    /// Creates a schedule without refused callers.
    pub fn new() -> ReturnSchedule {
        ReturnSchedule {
            random: ChaCha8Rng::seed_from_u64(0),
            next_turns: BTreeMap::new(),
            refused: BTreeMap::new(),
            by_turn: BTreeSet::new(),
        }
    }

    /// Seeds the jitter of the delays.
    pub fn with_seed(mut self, seed: u64) -> ReturnSchedule {
        self.random = ChaCha8Rng::seed_from_u64(seed);
        self
    }

    /// Returns the delay after which a refused caller may return: not before `room_in`, and
    /// `spacing` after the caller of the service that was refused before.
    pub fn assign(
        &mut self,
        now: ClockTime,
        service: &ServiceName,
        request: &RequestFingerprint,
        room_in: TimeSpan,
        spacing: TimeSpan,
    ) -> TimeSpan {
        let last = now + MAX_RETRY_AFTER;
        let next = self.next_turns.get(service).copied().unwrap_or(now);
        let turn = next.max(now + room_in).min(last);
        self.next_turns.insert(service.clone(), turn + spacing);
        let jitter = self.random.random_range(0..=spacing.as_millis());
        let turn = (turn + TimeSpan::from_millis(jitter)).min(last);
        self.remember(now, request, turn);
        turn.since(now)
    }

    /// Whether the request was refused and comes at its time. One that comes earlier does not
    /// count, so that callers gain nothing by returning at once. The refusal is forgotten.
    pub fn take(&mut self, now: ClockTime, request: &RequestFingerprint) -> bool {
        let Some(turn) = self.refused.get(request).copied() else {
            return false;
        };
        if now < turn {
            return false;
        }
        self.forget(request);
        now.since(turn) <= RETURN_PERIOD
    }

    fn remember(&mut self, now: ClockTime, request: &RequestFingerprint, turn: ClockTime) {
        self.forget(request);
        while let Some((first_turn, first)) = self.by_turn.first().cloned() {
            let is_over = now.since(first_turn) > RETURN_PERIOD;
            if !is_over && self.refused.len() < MAX_REFUSED {
                break;
            }
            self.forget(&first);
        }
        self.refused.insert(request.clone(), turn);
        self.by_turn.insert((turn, request.clone()));
    }

    fn forget(&mut self, request: &RequestFingerprint) {
        if let Some(turn) = self.refused.remove(request) {
            self.by_turn.remove(&(turn, request.clone()));
        }
    }
}
