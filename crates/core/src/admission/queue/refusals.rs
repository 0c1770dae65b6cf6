//! Refusals: which requests are refused, when, and after which time a retry makes
//! sense.

use rand::Rng;

use super::{AdmissionQueue, TrackedRequest};
use crate::{
    admission::{AdmissionAction, AdmissionRequest, RefuseReason, pool::WorkClass},
    clock::{ClockTime, TimeSpan},
    ids::RequestId,
};

impl AdmissionQueue {
    pub(super) fn check_admission(
        &mut self,
        now: ClockTime,
        admission: &AdmissionRequest,
    ) -> Result<TrackedRequest, (RefuseReason, TimeSpan)> {
        let limits = self.limits_of(&admission.organisation);
        let in_flight = self
            .in_flight
            .get(&admission.organisation)
            .copied()
            .unwrap_or(0);
        if in_flight >= limits.max_in_flight {
            let limit = limits.max_in_flight;
            return Err((RefuseReason::InFlightLimit { limit }, TimeSpan::ZERO));
        }
        let Some(pool) = self
            .pools
            .get(&admission.pool)
            .filter(|p| p.capacity.slots > 0)
        else {
            return Err((RefuseReason::NoCapacity, self.settings.min_retry_after));
        };
        let position = (admission.deadline, self.next_sequence);
        let class = WorkClass::from(admission);
        let cost_ahead = pool.cost_ahead(&admission.organisation, class, position);
        let wait = pool.wait(&admission.organisation, limits.weight, class, cost_ahead)
            + pool.closed_for(now);
        let latest_start = admission.deadline - pool.window.first_token();
        let allowed = latest_start.since(now);
        if now > latest_start || wait > allowed {
            let reason = RefuseReason::DeadlineUnreachable { wait, allowed };
            return Err((reason, wait.saturating_sub(allowed)));
        }
        let cost = self.expected_cost(admission);
        Ok(TrackedRequest {
            admission: admission.clone(),
            cost,
            latest_start,
            position: Some(position),
            charged: 0,
            first_token_pending_since: None,
        })
    }

    pub(super) fn refuse_expired(&mut self, now: ClockTime, actions: &mut Vec<AdmissionAction>) {
        while let Some((latest_start, request)) = self.deadlines.first().cloned() {
            if now <= latest_start {
                break;
            }
            self.refuse_queued(&request, TimeSpan::ZERO, TimeSpan::ZERO, actions);
        }
    }

    /// Refuses queued requests as soon as they would start too late, for example
    /// because an endpoint was lost. Otherwise their callers would receive the refusal
    /// only when the deadline has passed.
    pub(super) fn refuse_late(&mut self, now: ClockTime, actions: &mut Vec<AdmissionAction>) {
        let requests = &self.requests;
        let latest_start =
            |request: &RequestId| requests.get(request).map(|tracked| tracked.latest_start);
        let mut late_requests = Vec::new();
        for pool in self.pools.values_mut() {
            pool.measure(now);
            late_requests.extend(pool.late_requests(now, latest_start));
        }
        for (request, wait) in late_requests {
            let Some(tracked) = self.requests.get(&request) else {
                continue;
            };
            let allowed = tracked.latest_start.since(now);
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
        if self.dequeue(request).is_none() {
            return;
        }
        let reason = RefuseReason::DeadlineUnreachable { wait, allowed };
        let refusal = self.refusal(request.clone(), reason, wait.saturating_sub(allowed));
        actions.push(refusal);
    }

    pub(super) fn refusal(
        &mut self,
        request: RequestId,
        reason: RefuseReason,
        wait: TimeSpan,
    ) -> AdmissionAction {
        let min_retry_after = self.settings.min_retry_after;
        let max_retry_after = self.settings.max_retry_after;
        let base_ms = wait.max(min_retry_after).as_millis();
        let jitter_ms = self.random.random_range(0..=base_ms / 2);
        let retry_after = TimeSpan::from_millis(base_ms + jitter_ms).min(max_retry_after);
        AdmissionAction::Refuse {
            request,
            reason,
            retry_after,
        }
    }
}
