//! Who is refused, when, and when asking again makes sense.

use rand::Rng;

use super::{AdmissionQueue, KnownRequest};
use crate::{
    admission::{AdmissionAction, AdmissionRequest, RefuseReason},
    clock::{ClockTime, TimeSpan},
    ids::RequestId,
};

impl AdmissionQueue {
    pub(super) fn check(
        &mut self,
        now: ClockTime,
        ask: &AdmissionRequest,
    ) -> Result<KnownRequest, (RefuseReason, TimeSpan)> {
        let limits = self.limits_of(&ask.organisation);
        let in_flight = self.in_flight.get(&ask.organisation).copied().unwrap_or(0);
        if in_flight >= limits.max_in_flight {
            let limit = limits.max_in_flight;
            return Err((RefuseReason::InFlightLimit { limit }, TimeSpan::ZERO));
        }
        let Some(pool) = self.pools.get(&ask.pool).filter(|p| p.capacity.slots > 0) else {
            return Err((RefuseReason::NoCapacity, self.settings.least_retry_after));
        };
        let place = (ask.deadline, self.next_place);
        let ahead = pool.own_ahead(&ask.organisation, ask.priority, place);
        let wait = pool.wait(&ask.organisation, limits.weight, ask.priority, ahead);
        let latest_start = ask.deadline - pool.window.first_token();
        let allowed = latest_start.since(now);
        if now > latest_start || wait > allowed {
            let reason = RefuseReason::DeadlineUnreachable { wait, allowed };
            return Err((reason, wait.less(allowed)));
        }
        let cost = self.expected_cost(ask);
        Ok(KnownRequest {
            ask: ask.clone(),
            cost,
            latest_start,
            place: Some(place),
            charged: 0,
            unanswered_since: None,
        })
    }

    pub(super) fn refuse_expired(&mut self, now: ClockTime, actions: &mut Vec<AdmissionAction>) {
        while let Some((latest, request)) = self.deadlines.first().cloned() {
            if now <= latest {
                break;
            }
            self.refuse_queued(&request, TimeSpan::ZERO, TimeSpan::ZERO, actions);
        }
    }

    /// Refuses queued work as soon as it is clear that it would start too late,
    /// for instance because an endpoint was lost. Without this its callers would
    /// learn of the refusal only when their deadline is over.
    pub(super) fn review(&mut self, now: ClockTime, actions: &mut Vec<AdmissionAction>) {
        let requests = &self.requests;
        let latest = |request: &RequestId| requests.get(request).map(|known| known.latest_start);
        let mut late = Vec::new();
        for pool in self.pools.values_mut() {
            pool.measure(now);
            late.extend(pool.late(now, latest));
        }
        for (request, wait) in late {
            let Some(known) = self.requests.get(&request) else {
                continue;
            };
            let allowed = known.latest_start.since(now);
            self.refuse_queued(&request, wait, allowed, actions);
        }
    }

    pub(super) fn refuse_queued(
        &mut self,
        request: &RequestId,
        wait: TimeSpan,
        allowed: TimeSpan,
        actions: &mut Vec<AdmissionAction>,
    ) {
        if self.unqueue(request).is_none() {
            return;
        }
        let reason = RefuseReason::DeadlineUnreachable { wait, allowed };
        let refusal = self.refusal(request.clone(), reason, wait.less(allowed));
        actions.push(refusal);
    }

    pub(super) fn refusal(
        &mut self,
        request: RequestId,
        reason: RefuseReason,
        wait: TimeSpan,
    ) -> AdmissionAction {
        let least = self.settings.least_retry_after;
        let most = self.settings.most_retry_after;
        let base = wait.max(least).as_millis();
        let jitter = self.random.random_range(0..=base / 2);
        let retry_after = TimeSpan::from_millis(base + jitter).min(most);
        AdmissionAction::Refuse {
            request,
            reason,
            retry_after,
        }
    }
}
