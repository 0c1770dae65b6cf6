//! First-in, first-out admission, the baseline to which the fair queue is compared.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    admission::{AdmissionAction, AdmissionRequest},
    ids::RequestId,
    routing::RoutePool,
};

/// One FIFO queue per pool, without shares and deadlines.
#[derive(Clone, Debug, Default)]
pub struct FifoQueue {
    slots: BTreeMap<RoutePool, u32>,
    running: BTreeMap<RoutePool, u32>,
    queued: BTreeMap<RoutePool, VecDeque<RequestId>>,
    request_pools: BTreeMap<RequestId, RoutePool>,
}

impl FifoQueue {
    /// Creates an empty queue.
    pub fn new() -> FifoQueue {
        FifoQueue::default()
    }

    /// Sets how many requests of the pool run at once, and starts those that now can.
    pub fn set_slots(&mut self, pool: &RoutePool, slots: u32) -> Vec<AdmissionAction> {
        self.slots.insert(pool.clone(), slots);
        self.start_ready(pool)
    }

    /// Queues a request, and starts it if a slot is free.
    pub fn offer(&mut self, admission: &AdmissionRequest) -> Vec<AdmissionAction> {
        self.request_pools
            .insert(admission.request.clone(), admission.pool.clone());
        let queue = self.queued.entry(admission.pool.clone()).or_default();
        queue.push_back(admission.request.clone());
        self.start_ready(&admission.pool)
    }

    /// Removes a request that ended or was cancelled, and starts the next one.
    pub fn finish(&mut self, request: &RequestId) -> Vec<AdmissionAction> {
        let Some(pool) = self.request_pools.remove(request) else {
            return Vec::new();
        };
        let queue = self.queued.entry(pool.clone()).or_default();
        let before = queue.len();
        queue.retain(|queued| queued != request);
        if queue.len() == before {
            *self.running.entry(pool.clone()).or_insert(1) -= 1;
        }
        self.start_ready(&pool)
    }

    fn start_ready(&mut self, pool: &RoutePool) -> Vec<AdmissionAction> {
        let slots = self.slots.get(pool).copied().unwrap_or(0);
        let running = self.running.entry(pool.clone()).or_default();
        let queue = self.queued.entry(pool.clone()).or_default();
        let mut actions = Vec::new();
        while *running < slots {
            let Some(request) = queue.pop_front() else {
                break;
            };
            *running += 1;
            let reason = "first in the FIFO queue".to_string();
            actions.push(AdmissionAction::Start { request, reason });
        }
        actions
    }
}
