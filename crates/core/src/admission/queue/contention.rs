//! Pools whose endpoints turn away requests for lack of room.

use super::{AdmissionQueue, TrackedRequest};
use crate::{
    admission::{AdmissionAction, AdmissionRequest},
    clock::{ClockTime, TimeSpan},
    ids::RequestId,
    routing::RoutePool,
    units::TokenCount,
};

impl AdmissionQueue {
    /// Returns a started request to the queue that found no room at the endpoints: nothing is
    /// charged for it.
    pub fn requeue(&mut self, now: ClockTime, request: &RequestId) -> Vec<AdmissionAction> {
        let is_started = |tracked: &&TrackedRequest| tracked.position.is_none();
        let Some(tracked) = self.requests.get(request).filter(is_started).cloned() else {
            return self.advance(now);
        };
        self.requests.remove(request);
        self.decrement_in_flight(&tracked.admission.organisation);
        let weight = self.limits_of(&tracked.admission.organisation).weight;
        let limit = self.settings.debt_limit;
        if let Some(pool) = self.pools.get_mut(&tracked.admission.pool) {
            pool.release();
            if tracked.first_token_pending_since.is_some() {
                let (priority, target) = (tracked.admission.priority, self.settings.start_target);
                pool.record_first_token(now, priority, None, target);
            }
            let organisation = &tracked.admission.organisation;
            let (charged, actual) = (tracked.charged, TokenCount::ZERO);
            pool.update_counter(organisation, |counters| {
                counters.correct(organisation, charged, actual, weight, limit);
            });
        }
        let admission = AdmissionRequest {
            has_returned: true,
            ..tracked.admission
        };
        self.offer(now, admission)
    }

    /// Starts no request of the pool before `until`, when its endpoints are expected to have
    /// room again.
    pub fn close(&mut self, pool: &RoutePool, until: ClockTime) {
        if let Some(queue) = self.pools.get_mut(pool) {
            queue.close(until);
        }
    }

    /// Whether a request that comes now has to wait: the pool is closed or others wait for it.
    pub fn is_contended(&self, now: ClockTime, pool: &RoutePool) -> bool {
        let queue = self.pools.get(pool);
        queue.is_some_and(|queue| queue.queued() > 0 || queue.closed_for(now) > TimeSpan::ZERO)
    }
}
