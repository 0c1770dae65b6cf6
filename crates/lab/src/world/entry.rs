//! One entry's slices, as a run drives them.

use bluebell_core::{
    admission::{
        AdmissionAction, AdmissionQueue, AdmissionRequest, AdmissionSettings, PoolCapacity,
        baselines::FifoQueue,
    },
    clock::{ClockTime, TimeSpan},
    ids::{FailureDomain, InstanceId, ModelName, RequestId},
    retries::{RetryBudget, RetrySettings},
    routing::{NoRoute, RequestRouter, RouteChoice, RoutePool, RouteRequest},
    units::{TokenCount, TokenRate},
};

use crate::policy::{AdmissionRule, EndpointPick, LabPolicy};

/// Organisations that an entry tells its peers of at once.
const SHARES_AT_ONCE: usize = 16;
/// The time from a start to the first token that admission reckons with.
const FIRST_TOKEN: TimeSpan = TimeSpan::from_millis(200);

/// The queue of an entry.
enum EntryQueue {
    Fair(Box<AdmissionQueue>),
    Arrival(FifoQueue),
}

/// An entry.
pub struct EntryFake {
    /// Its name among its peers.
    pub instance: InstanceId,
    /// Whether it is there.
    pub alive: bool,
    /// Its router.
    pub router: RequestRouter,
    /// Its retry budgets.
    pub budget: RetryBudget,
    queue: EntryQueue,
    pick: Option<EndpointPick>,
    told: bool,
}

/// The one pool of the scenarios.
pub fn model_pool() -> RoutePool {
    RoutePool::Model(ModelName::new("assistant").expect("the name is an identifier"))
}

impl EntryFake {
    /// An entry that knows nothing.
    pub fn new(number: usize, domain: FailureDomain, policy: &LabPolicy, seed: u64) -> EntryFake {
        let seed = seed * 1_000 + number as u64;
        let queue = match policy.admission {
            AdmissionRule::Fair | AdmissionRule::FairAlone => {
                let queue = AdmissionQueue::new(AdmissionSettings::default()).with_seed(seed);
                EntryQueue::Fair(Box::new(queue))
            }
            AdmissionRule::ArrivalOrder => EntryQueue::Arrival(FifoQueue::new()),
        };
        EntryFake {
            instance: InstanceId::new(format!("entry-{number}")).expect("an identifier"),
            alive: true,
            router: RequestRouter::new(policy.router.clone(), domain).with_seed(seed),
            budget: RetryBudget::new(RetrySettings::default()).with_seed(seed),
            queue,
            pick: policy.routing.pick(seed),
            told: policy.admission == AdmissionRule::Fair,
        }
    }

    /// Sets the slots of this entry.
    pub fn set_slots(&mut self, now: ClockTime, slots: u32, rate: u64) -> Vec<AdmissionAction> {
        let capacity = PoolCapacity {
            slots,
            token_rate: TokenRate::new(rate),
            first_token: FIRST_TOKEN,
        };
        match &mut self.queue {
            EntryQueue::Fair(queue) => queue.set_capacity(now, &model_pool(), capacity),
            EntryQueue::Arrival(queue) => queue.set_slots(&model_pool(), slots),
        }
    }

    /// Takes a request.
    pub fn offer(&mut self, now: ClockTime, ask: AdmissionRequest) -> Vec<AdmissionAction> {
        match &mut self.queue {
            EntryQueue::Fair(queue) => queue.offer(now, ask),
            EntryQueue::Arrival(queue) => queue.offer(&ask),
        }
    }

    /// The first token of a request came.
    pub fn first_token(&mut self, now: ClockTime, request: &RequestId) -> Vec<AdmissionAction> {
        self.router.note_first_token(now, request);
        match &mut self.queue {
            EntryQueue::Fair(queue) => queue.note_first_token(now, request),
            EntryQueue::Arrival(_) => Vec::new(),
        }
    }

    /// A request ended.
    pub fn finish(
        &mut self,
        now: ClockTime,
        request: &RequestId,
        delivered: u64,
    ) -> Vec<AdmissionAction> {
        match &mut self.queue {
            EntryQueue::Fair(queue) => queue.finish(now, request, TokenCount::new(delivered)),
            EntryQueue::Arrival(queue) => queue.finish(request),
        }
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: ClockTime) -> Vec<AdmissionAction> {
        match &mut self.queue {
            EntryQueue::Fair(queue) => queue.advance(now),
            EntryQueue::Arrival(_) => Vec::new(),
        }
    }

    /// Chooses an endpoint.
    pub fn choose(&mut self, now: ClockTime, ask: &RouteRequest) -> Result<RouteChoice, NoRoute> {
        match &mut self.pick {
            Some(pick) => self.router.choose_by(now, ask, pick),
            None => self.router.choose(now, ask),
        }
    }
}

/// Lets all entries tell each other what they served and have outstanding.
pub fn exchange(now: ClockTime, entries: &mut [EntryFake]) {
    for sender in 0..entries.len() {
        if !entries[sender].alive {
            continue;
        }
        let instance = entries[sender].instance.clone();
        let outstanding = entries[sender].router.outstanding();
        let report = match &mut entries[sender].queue {
            EntryQueue::Fair(queue) => Some(queue.take_shares(now, SHARES_AT_ONCE)),
            EntryQueue::Arrival(_) => None,
        };
        for (receiver, entry) in entries.iter_mut().enumerate() {
            if receiver == sender || !entry.alive {
                continue;
            }
            entry.router.note_peer(now, &instance, &outstanding);
            if let (EntryQueue::Fair(queue), Some(report), true) =
                (&mut entry.queue, &report, entry.told)
            {
                queue.note_peer_shares(&instance, report);
            }
        }
    }
}
