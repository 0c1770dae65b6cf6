//! The queue of the requests of one instance that wait for room.

use std::collections::BTreeMap;

use super::{RoomEstimate, estimate::REQUEST_COST, returns::ReturnSchedule};
use crate::{
    admission::{
        AdmissionAction, AdmissionQueue, AdmissionRequest, AdmissionSettings, RefuseReason,
    },
    clock::{ClockTime, TimeSpan},
    config::WorkPriority,
    ids::{OrganisationId, RequestFingerprint, RequestId, ServiceName},
    routing::RoutePool,
    units::TokenCount,
};

/// Minimum `Retry-After` of a refusal.
const MIN_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(50);

/// Number of waiting requests by service and rank.
pub type WaitingCounts = BTreeMap<(ServiceName, u8), usize>;

/// A request that asks for room.
#[derive(Clone, Debug)]
pub struct RoomRequest {
    /// Id of the request.
    pub request: RequestId,
    /// Recognises the request if its caller sends it again.
    pub fingerprint: RequestFingerprint,
    /// The organisation that sent it.
    pub organisation: OrganisationId,
    /// The service whose endpoints can run it.
    pub service: ServiceName,
    /// The rank; 0 is the most urgent.
    pub rank: u8,
    /// When the answer is due.
    pub deadline: ClockTime,
}

/// What happens to a request that asked for room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoomDecision {
    /// It may be sent to an endpoint now.
    Start(RequestId),
    /// It is refused; this queue has not let it be sent.
    Refuse {
        /// Id of the request.
        request: RequestId,
        /// Why it is refused.
        reason: RefuseReason,
        /// Time after which the caller may return.
        retry_after: TimeSpan,
    },
}

impl RoomDecision {
    /// The request that is decided.
    pub fn request(&self) -> &RequestId {
        match self {
            RoomDecision::Start(request) | RoomDecision::Refuse { request, .. } => request,
        }
    }
}

#[derive(Clone, Debug)]
struct KnownRequest {
    request: RoomRequest,
    is_waiting: bool,
}

/// The requests that wait for room, and those that were let through while their service was
/// contended.
#[derive(Clone, Debug)]
pub struct RoomQueue {
    queue: AdmissionQueue,
    returns: ReturnSchedule,
    estimates: BTreeMap<ServiceName, RoomEstimate>,
    known: BTreeMap<RequestId, KnownRequest>,
}

impl Default for RoomQueue {
    fn default() -> RoomQueue {
        RoomQueue::new()
    }
}

impl RoomQueue {
    /// Creates an empty queue.
    pub fn new() -> RoomQueue {
        let settings = AdmissionSettings {
            interactive_reserve: 0,
            counts_turns: true,
            min_retry_after: MIN_RETRY_AFTER,
            ..AdmissionSettings::default()
        };
        RoomQueue {
            queue: AdmissionQueue::new(settings),
            returns: ReturnSchedule::new(),
            estimates: BTreeMap::new(),
            known: BTreeMap::new(),
        }
    }

    /// Seeds the jitter of the delays.
    pub fn with_seed(mut self, seed: u64) -> RoomQueue {
        self.queue = self.queue.with_seed(seed);
        self.returns = self.returns.with_seed(seed);
        self
    }

    /// Whether requests to the service have to wait.
    pub fn is_contended(&self, now: ClockTime, service: &ServiceName) -> bool {
        self.queue.is_contended(now, &pool(service))
    }

    /// Whether a request with this id waits or was let through.
    pub fn knows(&self, request: &RequestId) -> bool {
        self.known.contains_key(request)
    }

    /// Records that all endpoints of the service are full: no request starts until room comes.
    pub fn note_full(
        &mut self,
        now: ClockTime,
        service: &ServiceName,
        estimate: RoomEstimate,
    ) -> Vec<RoomDecision> {
        let decisions = self.set_room(now, service, estimate);
        self.queue.close(&pool(service), now + estimate.room_in);
        decisions
    }

    /// Updates what is known of the endpoints of the service. If none is left, all its waiting
    /// requests are refused.
    pub fn set_room(
        &mut self,
        now: ClockTime,
        service: &ServiceName,
        estimate: RoomEstimate,
    ) -> Vec<RoomDecision> {
        self.estimates.insert(service.clone(), estimate);
        let pool = pool(service);
        let actions = self.queue.set_capacity(now, &pool, estimate.share());
        let mut decisions = self.decisions(now, actions);
        if estimate.slots == 0 {
            decisions.extend(self.refuse_all(now, service));
        }
        decisions
    }

    /// Adds a request. The decisions include one for it unless it has to wait.
    pub fn offer(&mut self, now: ClockTime, request: RoomRequest) -> Vec<RoomDecision> {
        let has_returned = self.returns.take(now, &request.fingerprint);
        let admission = AdmissionRequest {
            request: request.request.clone(),
            organisation: request.organisation.clone(),
            pool: pool(&request.service),
            priority: WorkPriority::Interactive,
            rank: request.rank,
            has_returned,
            deadline: request.deadline,
            prompt_tokens: REQUEST_COST,
            max_output: TokenCount::ZERO,
        };
        let known = KnownRequest {
            request,
            is_waiting: true,
        };
        self.known.insert(admission.request.clone(), known);
        let actions = self.queue.offer(now, admission);
        self.decisions(now, actions)
    }

    /// Has a request wait again that was let through and found no room.
    pub fn requeue(&mut self, now: ClockTime, request: &RequestId) -> Vec<RoomDecision> {
        if let Some(known) = self.known.get_mut(request) {
            known.is_waiting = true;
        }
        let actions = self.queue.requeue(now, request);
        self.decisions(now, actions)
    }

    /// Records that a request has ended, or that its caller has left.
    pub fn finish(&mut self, now: ClockTime, request: &RequestId) -> Vec<RoomDecision> {
        if self.known.remove(request).is_none() {
            return Vec::new();
        }
        let actions = self.queue.finish(now, request, TokenCount::ZERO);
        self.decisions(now, actions)
    }

    /// Lets requests through for which there is room, and refuses those that became too late.
    pub fn advance(&mut self, now: ClockTime) -> Vec<RoomDecision> {
        let actions = self.queue.advance(now);
        self.decisions(now, actions)
    }

    /// When [`RoomQueue::advance`] must be called next if nothing else happens.
    pub fn next_wake(&self) -> Option<ClockTime> {
        self.queue.next_wake()
    }

    /// The number of waiting requests by service and rank.
    pub fn waiting(&self) -> WaitingCounts {
        let mut counts = WaitingCounts::new();
        for known in self.known.values().filter(|known| known.is_waiting) {
            let key = (known.request.service.clone(), known.request.rank);
            *counts.entry(key).or_default() += 1;
        }
        counts
    }

    fn refuse_all(&mut self, now: ClockTime, service: &ServiceName) -> Vec<RoomDecision> {
        let waits = |known: &&KnownRequest| known.is_waiting && known.request.service == *service;
        let waiting = self.known.values().filter(waits);
        let waiting: Vec<RequestId> = waiting.map(|known| known.request.request.clone()).collect();
        let mut decisions = Vec::new();
        for request in waiting {
            self.queue.cancel(now, &request, TokenCount::ZERO);
            let refusal = self.refuse(now, request, RefuseReason::NoCapacity, MIN_RETRY_AFTER);
            decisions.extend(refusal);
        }
        decisions
    }

    fn decisions(&mut self, now: ClockTime, actions: Vec<AdmissionAction>) -> Vec<RoomDecision> {
        let mut decisions = Vec::with_capacity(actions.len());
        for action in actions {
            match action {
                AdmissionAction::Start { request, .. } => {
                    if let Some(known) = self.known.get_mut(&request) {
                        known.is_waiting = false;
                        decisions.push(RoomDecision::Start(request));
                    }
                }
                AdmissionAction::Refuse {
                    request,
                    reason,
                    retry_after,
                } => decisions.extend(self.refuse(now, request, reason, retry_after)),
            }
        }
        decisions
    }

    fn refuse(
        &mut self,
        now: ClockTime,
        request: RequestId,
        reason: RefuseReason,
        room_in: TimeSpan,
    ) -> Option<RoomDecision> {
        let known = self.known.remove(&request)?.request;
        let estimate = self.estimates.get(&known.service)?;
        let spacing = estimate.spacing();
        let (service, fingerprint) = (&known.service, &known.fingerprint);
        let retry_after = self
            .returns
            .assign(now, service, fingerprint, room_in, spacing);
        Some(RoomDecision::Refuse {
            request,
            reason,
            retry_after,
        })
    }
}

fn pool(service: &ServiceName) -> RoutePool {
    RoutePool::Plain(service.clone())
}
