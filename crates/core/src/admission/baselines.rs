//! First come, first served, which the fair queue is measured against.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    admission::{AdmissionAction, AdmissionRequest},
    ids::RequestId,
    routing::RoutePool,
};

/// One queue per pool in the order of arrival, without shares and deadlines.
#[derive(Clone, Debug, Default)]
pub struct FifoQueue {
    slots: BTreeMap<RoutePool, u32>,
    running: BTreeMap<RoutePool, u32>,
    queued: BTreeMap<RoutePool, VecDeque<RequestId>>,
    known: BTreeMap<RequestId, RoutePool>,
}

impl FifoQueue {
    /// An empty queue.
    pub fn new() -> FifoQueue {
        FifoQueue::default()
    }

    /// Sets how many requests run at once.
    pub fn set_slots(&mut self, pool: &RoutePool, slots: u32) -> Vec<AdmissionAction> {
        self.slots.insert(pool.clone(), slots);
        self.start_ready(pool)
    }

    /// Takes a request.
    pub fn offer(&mut self, ask: &AdmissionRequest) -> Vec<AdmissionAction> {
        self.known.insert(ask.request.clone(), ask.pool.clone());
        let queue = self.queued.entry(ask.pool.clone()).or_default();
        queue.push_back(ask.request.clone());
        self.start_ready(&ask.pool)
    }

    /// A request ended, or its caller left.
    pub fn finish(&mut self, request: &RequestId) -> Vec<AdmissionAction> {
        let Some(pool) = self.known.remove(request) else {
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
            let reason = "first in the order of arrival".to_string();
            actions.push(AdmissionAction::Start { request, reason });
        }
        actions
    }
}
