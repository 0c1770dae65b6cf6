//! The queue of one pool, which determines the organisation whose request starts next.

mod class;
mod contention;

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

pub(super) use self::class::WorkClass;

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
    classes: BTreeMap<WorkClass, BTreeMap<QueuePosition, QueuedWork>>,
    queued_cost: u64,
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
    /// The organisations with queued requests of each class, the least served first.
    orders: BTreeMap<WorkClass, BTreeSet<(u64, OrganisationId)>>,
    class_costs: BTreeMap<WorkClass, u64>,
    queued: usize,
    closed_until: Option<ClockTime>,
    counts_turns: bool,
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
            orders: BTreeMap::new(),
            class_costs: BTreeMap::new(),
            queued: 0,
            closed_until: None,
            counts_turns: false,
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
    /// never longer than the time that the whole queue takes. The time for which the pool is
    /// closed comes on top.
    pub fn wait(
        &self,
        organisation: &OrganisationId,
        weight: ShareWeight,
        class: WorkClass,
        ahead: u64,
    ) -> TimeSpan {
        let can_start = self.running < self.capacity.slots && self.window.admits(class.priority);
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
        let urgent_cost: u64 = self.class_costs.range(..class).map(|(_, cost)| cost).sum();
        let queue_cost = urgent_cost + self.class_costs.get(&class).copied().unwrap_or(0);
        let turns_cost = self.turns_before(organisation, class);
        let cost_before = (share_cost + urgent_cost + turns_cost).min(queue_cost);
        let full_queue_ms = queue_cost.saturating_mul(1_000) / self.rate();
        let wait_ms = cost_before.saturating_mul(1_000) / self.rate() + debt_ms;
        TimeSpan::from_millis(wait_ms.min(full_queue_ms))
    }

    /// Returns the queued cost of `organisation` that would start before a new request.
    pub fn cost_ahead(
        &self,
        organisation: &OrganisationId,
        class: WorkClass,
        position: QueuePosition,
    ) -> u64 {
        let Some(queue) = self.queues.get(organisation) else {
            return 0;
        };
        let queued = queue.classes.get(&class).into_iter();
        queued
            .flat_map(|queued| queued.range(..position))
            .map(|(_, work)| work.cost.count())
            .sum()
    }

    pub fn push(
        &mut self,
        organisation: &OrganisationId,
        weight: ShareWeight,
        class: WorkClass,
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
        let queued = queue.classes.entry(class).or_default();
        queued.insert(position, work);
        self.queued += 1;
        *self.class_costs.entry(class).or_default() += cost;
        let order = self.orders.entry(class).or_default();
        order.insert((counter, organisation.clone()));
    }

    /// Removes a request from the queue, to start, refuse or cancel it.
    pub fn remove(
        &mut self,
        organisation: &OrganisationId,
        class: WorkClass,
        position: QueuePosition,
    ) -> Option<QueuedWork> {
        let counter = self.counters.counter(organisation);
        let queue = self.queues.get_mut(organisation)?;
        let queued = queue.classes.get_mut(&class)?;
        let work = queued.remove(&position)?;
        let cost = work.cost.count();
        queue.queued_cost -= cost;
        self.queued -= 1;
        if let Some(class_cost) = self.class_costs.get_mut(&class) {
            *class_cost -= cost;
        }
        if queued.is_empty() {
            queue.classes.remove(&class);
            self.remove_from_order(class, &(counter, organisation.clone()));
        }
        if let Some(queue) = self.queues.get(organisation)
            && queue.classes.is_empty()
        {
            self.waiting_weight -= queue.weight.count().max(1);
            self.queues.remove(organisation);
        }
        Some(work)
    }

    fn remove_from_order(&mut self, class: WorkClass, entry: &(u64, OrganisationId)) {
        let Some(order) = self.orders.get_mut(&class) else {
            return;
        };
        order.remove(entry);
        if order.is_empty() {
            self.orders.remove(&class);
            self.class_costs.remove(&class);
        }
    }

    /// Takes the next request that may start: one of the most urgent rank, of the
    /// organisation that was served least, interactive before deferrable. Deferrable work
    /// starts first only if its organisation is behind by the handicap, as a flood of
    /// interactive work of another organisation would otherwise keep it waiting
    /// indefinitely.
    pub fn pop(&mut self, now: ClockTime, settings: &AdmissionSettings) -> Option<StartedWork> {
        let slots = u64::from(self.capacity.slots);
        let running = u64::from(self.running);
        self.closed_until = self.closed_until.filter(|until| now < *until);
        if running >= slots || self.closed_until.is_some() {
            return None;
        }
        let limit = settings.debt_limit;
        let reserved = slots * u64::from(settings.interactive_reserve) / 100;
        let interactive = self.first_class(WorkPriority::Interactive);
        if running >= (slots - reserved).max(1) {
            return self.pop_class(interactive?, limit);
        }
        let deferrable = self.first_class(WorkPriority::Deferrable);
        let classes = match self.deferrable_is_behind(settings.deferrable_handicap) {
            true => [deferrable, interactive],
            false => [interactive, deferrable],
        };
        let mut classes = classes.into_iter().flatten();
        classes.find_map(|class| self.pop_class(class, limit))
    }

    fn first_class(&self, priority: WorkPriority) -> Option<WorkClass> {
        let mut classes = self.orders.keys().copied();
        classes.find(|class| class.priority == priority)
    }

    /// Whether the first organisation with deferrable work is behind the first one with
    /// interactive work by `handicap`.
    fn deferrable_is_behind(&self, handicap: TokenCount) -> bool {
        let (Some(interactive), Some(deferrable)) = (
            self.least_counter(WorkPriority::Interactive),
            self.least_counter(WorkPriority::Deferrable),
        ) else {
            return false;
        };
        deferrable + FairCounters::units(handicap) < interactive
    }

    fn least_counter(&self, priority: WorkPriority) -> Option<u64> {
        let order = self.orders.get(&self.first_class(priority)?)?;
        order.first().map(|(counter, _)| *counter)
    }

    fn pop_class(&mut self, class: WorkClass, limit: TokenCount) -> Option<StartedWork> {
        if !self.window.admits(class.priority) {
            return None;
        }
        let (counter, organisation) = self.orders.get(&class)?.first()?.clone();
        let queue = self.queues.get(&organisation)?;
        let weight = queue.weight;
        let position = *queue.classes.get(&class)?.first_key_value()?.0;
        let debt = self.counters.debt(&organisation, weight);
        let work = self.remove(&organisation, class, position)?;
        self.counters.raise_floor(counter);
        self.running += 1;
        self.window.record_start(class.priority);
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
        for order in self.orders.values_mut() {
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
        let closed = self.closed_for(now);
        let mut late = Vec::new();
        for (organisation, queue) in &self.queues {
            for (class, queued) in &queue.classes {
                let mut ahead = 0;
                for work in queued.values() {
                    let wait = self.wait(organisation, queue.weight, *class, ahead) + closed;
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
}
