//! The queue of one pool, which determines the organisation whose request starts next.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    admission::{
        AdmissionSettings, FairCounters, PoolCapacity, rate::RateMeter, window::StartWindow,
    },
    clock::{ClockTime, TimeSpan},
    config::WorkPriority,
    ids::{OrganisationId, RequestId},
    units::{ShareWeight, TokenCount},
};

/// Position in an organisation's queue: the earliest deadline first, then the order of
/// arrival.
pub(super) type QueuePosition = (ClockTime, u64);

/// A queued request.
#[derive(Clone, Debug)]
pub(super) struct QueuedWork {
    pub request: RequestId,
    pub cost: TokenCount,
    pub queued_at: ClockTime,
}

#[derive(Clone, Debug, Default)]
struct OrganisationQueue {
    weight: ShareWeight,
    interactive: BTreeMap<QueuePosition, QueuedWork>,
    deferrable: BTreeMap<QueuePosition, QueuedWork>,
    queued_cost: u64,
}

impl OrganisationQueue {
    fn class(&self, priority: WorkPriority) -> &BTreeMap<QueuePosition, QueuedWork> {
        match priority {
            WorkPriority::Interactive => &self.interactive,
            WorkPriority::Deferrable => &self.deferrable,
        }
    }

    fn class_mut(&mut self, priority: WorkPriority) -> &mut BTreeMap<QueuePosition, QueuedWork> {
        match priority {
            WorkPriority::Interactive => &mut self.interactive,
            WorkPriority::Deferrable => &mut self.deferrable,
        }
    }

    fn is_empty(&self) -> bool {
        self.interactive.is_empty() && self.deferrable.is_empty()
    }
}

/// A request that was taken from the queue to be started.
#[derive(Clone, Debug)]
pub(super) struct StartedWork {
    pub organisation: OrganisationId,
    pub work: QueuedWork,
    /// Counter units charged for the request.
    pub charged: u64,
    /// The cost by which the organisation's counter was above the floor.
    pub debt: TokenCount,
}

/// The queue and the number of running requests of one pool.
#[derive(Clone, Debug)]
pub(super) struct PoolQueue {
    pub capacity: PoolCapacity,
    pub counters: FairCounters,
    pub running: u32,
    pub window: StartWindow,
    queues: BTreeMap<OrganisationId, OrganisationQueue>,
    interactive_order: BTreeSet<(u64, OrganisationId)>,
    deferrable_order: BTreeSet<(u64, OrganisationId)>,
    queued: usize,
    interactive_cost: u64,
    deferrable_cost: u64,
    waiting_weight: u64,
    meter: RateMeter,
}

impl PoolQueue {
    pub fn new(now: ClockTime, capacity: PoolCapacity) -> PoolQueue {
        PoolQueue {
            capacity,
            counters: FairCounters::new(),
            running: 0,
            window: StartWindow::new(capacity.slots, capacity.first_token),
            queues: BTreeMap::new(),
            interactive_order: BTreeSet::new(),
            deferrable_order: BTreeSet::new(),
            queued: 0,
            interactive_cost: 0,
            deferrable_cost: 0,
            waiting_weight: 0,
            meter: RateMeter::new(now, capacity.token_rate.count()),
        }
    }

    /// Sets the pool's capacity and scales the measured rate with the slots.
    pub fn set_capacity(&mut self, capacity: PoolCapacity) {
        let (old, new) = (self.capacity.slots, capacity.slots);
        self.meter.rescale(old, new, capacity.token_rate.count());
        match old {
            0 => self.window = StartWindow::new(new, capacity.first_token),
            _ => self.window.rescale(old, new),
        }
        self.capacity = capacity;
    }

    pub fn queued(&self) -> usize {
        self.queued
    }

    pub fn waiting_organisations(&self) -> usize {
        self.queues.len()
    }

    pub fn rate(&self) -> u64 {
        self.meter.rate()
    }

    /// Returns the estimated wait of a request of `organisation` that is queued behind
    /// requests of the same organisation with the total cost `ahead`. The organisation's
    /// share of the rate processes that cost and the organisation's debt; the wait is
    /// never longer than the time that the whole queue takes.
    pub fn wait(
        &self,
        organisation: &OrganisationId,
        weight: ShareWeight,
        priority: WorkPriority,
        ahead: u64,
    ) -> TimeSpan {
        let can_start = self.running < self.capacity.slots && self.window.admits(priority);
        if can_start && self.queued == 0 {
            return TimeSpan::ZERO;
        }
        let own_weight = weight.count().max(1);
        let total_weight = match self.queues.contains_key(organisation) {
            true => self.waiting_weight,
            false => self.waiting_weight + own_weight,
        };
        let share_cost = ahead.saturating_mul(total_weight) / own_weight;
        // The debt shrinks as the floor rises, and the floor rises with the cost that
        // all entries serve, not this one alone.
        let debt_ms = match self.meter.floor_rate() {
            0 => {
                let debt = self.counters.debt(organisation, weight).count();
                debt.saturating_mul(total_weight) * 1_000 / own_weight / self.rate()
            }
            rate => {
                self.counters
                    .units_above_floor(organisation)
                    .saturating_mul(1_000)
                    / rate
            }
        };
        let queue_cost = match priority {
            WorkPriority::Interactive => self.interactive_cost,
            WorkPriority::Deferrable => self.interactive_cost + self.deferrable_cost,
        };
        let cost_before = match priority {
            WorkPriority::Interactive => share_cost.min(queue_cost),
            WorkPriority::Deferrable => (share_cost + self.interactive_cost).min(queue_cost),
        };
        let full_queue_ms = queue_cost.saturating_mul(1_000) / self.rate();
        let wait_ms = cost_before.saturating_mul(1_000) / self.rate() + debt_ms;
        TimeSpan::from_millis(wait_ms.min(full_queue_ms))
    }

    /// Returns the queued cost of `organisation` that would start before a new request.
    pub fn cost_ahead(
        &self,
        organisation: &OrganisationId,
        priority: WorkPriority,
        position: QueuePosition,
    ) -> u64 {
        let Some(queue) = self.queues.get(organisation) else {
            return 0;
        };
        let class = queue.class(priority);
        class
            .range(..position)
            .map(|(_, work)| work.cost.count())
            .sum()
    }

    pub fn push(
        &mut self,
        organisation: &OrganisationId,
        weight: ShareWeight,
        priority: WorkPriority,
        position: QueuePosition,
        work: QueuedWork,
    ) {
        if !self.queues.contains_key(organisation) {
            self.counters.activate(organisation);
            self.waiting_weight += weight.count().max(1);
            let queue = OrganisationQueue {
                weight,
                ..OrganisationQueue::default()
            };
            self.queues.insert(organisation.clone(), queue);
        }
        let counter = self.counters.counter(organisation);
        let cost = work.cost.count();
        let queue = self
            .queues
            .get_mut(organisation)
            .expect("the organisation's queue was inserted above");
        queue.queued_cost += cost;
        queue.class_mut(priority).insert(position, work);
        self.queued += 1;
        *self.class_cost(priority) += cost;
        self.order(priority).insert((counter, organisation.clone()));
    }

    /// Removes a request from the queue, to start, refuse or cancel it.
    pub fn remove(
        &mut self,
        organisation: &OrganisationId,
        priority: WorkPriority,
        position: QueuePosition,
    ) -> Option<QueuedWork> {
        let counter = self.counters.counter(organisation);
        let queue = self.queues.get_mut(organisation)?;
        let work = queue.class_mut(priority).remove(&position)?;
        let cost = work.cost.count();
        queue.queued_cost -= cost;
        let class_is_empty = queue.class(priority).is_empty();
        let weight = queue.weight.count().max(1);
        let is_empty = queue.is_empty();
        self.queued -= 1;
        *self.class_cost(priority) -= cost;
        if class_is_empty {
            self.order(priority)
                .remove(&(counter, organisation.clone()));
        }
        if is_empty {
            self.queues.remove(organisation);
            self.waiting_weight -= weight;
        }
        Some(work)
    }

    /// Takes the next request that may start: one of the organisation that was served
    /// least, interactive before deferrable. Deferrable work starts first only if its
    /// organisation is behind by the handicap, as a flood of interactive work of
    /// another organisation would otherwise keep it waiting indefinitely.
    pub fn pop(&mut self, settings: &AdmissionSettings) -> Option<StartedWork> {
        let slots = u64::from(self.capacity.slots);
        let running = u64::from(self.running);
        if running >= slots {
            return None;
        }
        let limit = settings.debt_limit;
        let reserved = slots * u64::from(settings.interactive_reserve) / 100;
        if running >= (slots - reserved).max(1) {
            return self.pop_class(WorkPriority::Interactive, limit);
        }
        let priorities = match self.deferrable_is_behind(settings.deferrable_handicap) {
            true => [WorkPriority::Deferrable, WorkPriority::Interactive],
            false => [WorkPriority::Interactive, WorkPriority::Deferrable],
        };
        priorities
            .into_iter()
            .find_map(|priority| self.pop_class(priority, limit))
    }

    /// Whether the first organisation with deferrable work is behind the first one with
    /// interactive work by `handicap`.
    fn deferrable_is_behind(&self, handicap: TokenCount) -> bool {
        let (Some(interactive), Some(deferrable)) = (
            self.interactive_order.first(),
            self.deferrable_order.first(),
        ) else {
            return false;
        };
        deferrable.0 + FairCounters::units(handicap) < interactive.0
    }

    fn pop_class(&mut self, priority: WorkPriority, limit: TokenCount) -> Option<StartedWork> {
        if !self.window.admits(priority) {
            return None;
        }
        let (counter, organisation) = self.order(priority).first()?.clone();
        let queue = self.queues.get(&organisation)?;
        let weight = queue.weight;
        let position = *queue.class(priority).first_key_value()?.0;
        let debt = self.counters.debt(&organisation, weight);
        let work = self.remove(&organisation, priority, position)?;
        self.counters.raise_floor(counter);
        self.running += 1;
        self.window.record_start(priority);
        let charged = self.update_counter(&organisation, |counters| {
            counters.charge(&organisation, work.cost, weight, limit.max(work.cost))
        });
        Some(StartedWork {
            organisation,
            work,
            charged,
            debt,
        })
    }

    /// Changes an organisation's counter and updates its place in the orders.
    pub fn update_counter<Change, Output>(
        &mut self,
        organisation: &OrganisationId,
        change: Change,
    ) -> Output
    where
        Change: FnOnce(&mut FairCounters) -> Output,
    {
        let before = (self.counters.counter(organisation), organisation.clone());
        let result = change(&mut self.counters);
        let after = (self.counters.counter(organisation), organisation.clone());
        for order in [&mut self.interactive_order, &mut self.deferrable_order] {
            if order.remove(&before) {
                order.insert(after.clone());
            }
        }
        result
    }

    /// Records that a started request produced its first token after `elapsed`, or
    /// ended without one.
    pub fn record_first_token(
        &mut self,
        now: ClockTime,
        priority: WorkPriority,
        elapsed: Option<TimeSpan>,
        target: TimeSpan,
    ) {
        let slots = self.capacity.slots;
        self.window
            .record_first_token(now, priority, elapsed, target, slots);
    }

    /// Records a finished request and its cost for the measured rate.
    pub fn finish(&mut self, now: ClockTime, cost: TokenCount) {
        self.running = self.running.saturating_sub(1);
        self.meter.finish(cost.count());
        self.measure(now);
    }

    /// Completes the rate measurement if its period is over.
    pub fn measure(&mut self, now: ClockTime) {
        let floor = self.counters.floor();
        self.meter.measure(now, self.queued > 0, floor);
    }

    /// Returns the queued requests that would start too late, with their estimated
    /// waits. `latest_start` gives the latest time at which a request may start.
    pub fn late_requests<LatestStart>(
        &self,
        now: ClockTime,
        latest_start: LatestStart,
    ) -> Vec<(RequestId, TimeSpan)>
    where
        LatestStart: Fn(&RequestId) -> Option<ClockTime>,
    {
        let mut late = Vec::new();
        for (organisation, queue) in &self.queues {
            for priority in [WorkPriority::Interactive, WorkPriority::Deferrable] {
                let mut ahead = 0;
                for work in queue.class(priority).values() {
                    let wait = self.wait(organisation, queue.weight, priority, ahead);
                    match latest_start(&work.request) {
                        Some(latest_start) if now + wait > latest_start => {
                            late.push((work.request.clone(), wait));
                        }
                        _ => ahead += work.cost.count(),
                    }
                }
            }
        }
        late
    }

    fn order(&mut self, priority: WorkPriority) -> &mut BTreeSet<(u64, OrganisationId)> {
        match priority {
            WorkPriority::Interactive => &mut self.interactive_order,
            WorkPriority::Deferrable => &mut self.deferrable_order,
        }
    }

    fn class_cost(&mut self, priority: WorkPriority) -> &mut u64 {
        match priority {
            WorkPriority::Interactive => &mut self.interactive_cost,
            WorkPriority::Deferrable => &mut self.deferrable_cost,
        }
    }
}
