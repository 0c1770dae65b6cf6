//! The queue of one pool: which organisation's request starts next.

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

/// A place in an organisation's queue: the earliest deadline first.
pub(super) type QueuePlace = (ClockTime, u64);

/// A request that waits.
#[derive(Clone, Debug)]
pub(super) struct QueuedWork {
    pub request: RequestId,
    pub cost: TokenCount,
    pub queued_at: ClockTime,
}

#[derive(Clone, Debug, Default)]
struct OrganisationQueue {
    weight: ShareWeight,
    interactive: BTreeMap<QueuePlace, QueuedWork>,
    deferrable: BTreeMap<QueuePlace, QueuedWork>,
    queued_cost: u64,
}

impl OrganisationQueue {
    fn class(&self, priority: WorkPriority) -> &BTreeMap<QueuePlace, QueuedWork> {
        match priority {
            WorkPriority::Interactive => &self.interactive,
            WorkPriority::Deferrable => &self.deferrable,
        }
    }

    fn class_mut(&mut self, priority: WorkPriority) -> &mut BTreeMap<QueuePlace, QueuedWork> {
        match priority {
            WorkPriority::Interactive => &mut self.interactive,
            WorkPriority::Deferrable => &mut self.deferrable,
        }
    }

    fn is_empty(&self) -> bool {
        self.interactive.is_empty() && self.deferrable.is_empty()
    }
}

/// Work that the pool lets start.
#[derive(Clone, Debug)]
pub(super) struct StartedWork {
    pub organisation: OrganisationId,
    pub work: QueuedWork,
    /// The counter units that it was charged.
    pub charged: u64,
    /// By how much cost the organisation was ahead of the floor.
    pub debt: TokenCount,
}

/// The queue and the running count of one pool.
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

    /// Takes a new capacity; the measured rate is scaled with the slots.
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

    /// The estimated time until work of `organisation` that has `ahead` of its
    /// own cost before it starts: its share of the rate works off what is ahead
    /// and what it owes, and never later than the whole queue is worked off.
    pub fn wait(
        &self,
        organisation: &OrganisationId,
        weight: ShareWeight,
        priority: WorkPriority,
        ahead: u64,
    ) -> TimeSpan {
        let starts = self.running < self.capacity.slots && self.window.admits(priority);
        if starts && self.queued == 0 {
            return TimeSpan::ZERO;
        }
        let weight_count = weight.count().max(1);
        let others = match self.queues.contains_key(organisation) {
            true => self.waiting_weight,
            false => self.waiting_weight + weight_count,
        };
        let by_share = ahead.saturating_mul(others) / weight_count;
        // What it owes is worked off as the floor rises, and the floor rises with
        // what all entries serve, not this one alone.
        let owed_time = match self.meter.floor_rate() {
            0 => {
                let owed = self.counters.debt(organisation, weight).count();
                owed.saturating_mul(others) * 1_000 / weight_count / self.rate()
            }
            rate => self.counters.ahead(organisation).saturating_mul(1_000) / rate,
        };
        let queue_cost = match priority {
            WorkPriority::Interactive => self.interactive_cost,
            WorkPriority::Deferrable => self.interactive_cost + self.deferrable_cost,
        };
        let before = match priority {
            WorkPriority::Interactive => by_share.min(queue_cost),
            WorkPriority::Deferrable => (by_share + self.interactive_cost).min(queue_cost),
        };
        let whole = queue_cost.saturating_mul(1_000) / self.rate();
        let wait = before.saturating_mul(1_000) / self.rate() + owed_time;
        TimeSpan::from_millis(wait.min(whole))
    }

    /// What `organisation` has queued that would start before a new request.
    pub fn own_ahead(
        &self,
        organisation: &OrganisationId,
        priority: WorkPriority,
        place: QueuePlace,
    ) -> u64 {
        let Some(queue) = self.queues.get(organisation) else {
            return 0;
        };
        let class = queue.class(priority);
        class
            .range(..place)
            .map(|(_, work)| work.cost.count())
            .sum()
    }

    pub fn push(
        &mut self,
        organisation: &OrganisationId,
        weight: ShareWeight,
        priority: WorkPriority,
        place: QueuePlace,
        work: QueuedWork,
    ) {
        if !self.queues.contains_key(organisation) {
            self.counters.enter(organisation);
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
            .expect("it was just inserted");
        queue.queued_cost += cost;
        queue.class_mut(priority).insert(place, work);
        self.queued += 1;
        *self.class_cost(priority) += cost;
        self.order(priority).insert((counter, organisation.clone()));
    }

    /// Takes a request out of the queue, to start, refuse or cancel it.
    pub fn remove(
        &mut self,
        organisation: &OrganisationId,
        priority: WorkPriority,
        place: QueuePlace,
    ) -> Option<QueuedWork> {
        let counter = self.counters.counter(organisation);
        let queue = self.queues.get_mut(organisation)?;
        let work = queue.class_mut(priority).remove(&place)?;
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

    /// The next request that may start: of the organisation that was served
    /// least, interactive before deferrable. Deferrable work goes first only
    /// where its organisation is behind by the handicap, or another's flood of
    /// interactive work would keep it out for good.
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
        let first = match self.is_behind(settings.deferrable_handicap) {
            true => [WorkPriority::Deferrable, WorkPriority::Interactive],
            false => [WorkPriority::Interactive, WorkPriority::Deferrable],
        };
        first
            .into_iter()
            .find_map(|priority| self.pop_class(priority, limit))
    }

    /// Whether the organisation that is first among the deferrable is behind the
    /// first among the interactive by `handicap`.
    fn is_behind(&self, handicap: TokenCount) -> bool {
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
        let place = *queue.class(priority).first_key_value()?.0;
        let debt = self.counters.debt(&organisation, weight);
        let work = self.remove(&organisation, priority, place)?;
        self.counters.start(counter);
        self.running += 1;
        self.window.start(priority);
        let charged = self.recount(&organisation, |counters| {
            counters.charge(&organisation, work.cost, weight, limit.max(work.cost))
        });
        Some(StartedWork {
            organisation,
            work,
            charged,
            debt,
        })
    }

    /// Changes an organisation's counter and puts it in its new place.
    pub fn recount<Change, Answer>(
        &mut self,
        organisation: &OrganisationId,
        change: Change,
    ) -> Answer
    where
        Change: FnOnce(&mut FairCounters) -> Answer,
    {
        let before = (self.counters.counter(organisation), organisation.clone());
        let answer = change(&mut self.counters);
        let after = (self.counters.counter(organisation), organisation.clone());
        for order in [&mut self.interactive_order, &mut self.deferrable_order] {
            if order.remove(&before) {
                order.insert(after.clone());
            }
        }
        answer
    }

    /// A started request got its first token, or ended without one.
    pub fn answered(
        &mut self,
        now: ClockTime,
        priority: WorkPriority,
        took: Option<TimeSpan>,
        target: TimeSpan,
    ) {
        let slots = self.capacity.slots;
        self.window.answer(now, priority, took, target, slots);
    }

    /// Counts finished work for the measured rate.
    pub fn finish(&mut self, now: ClockTime, cost: TokenCount) {
        self.running = self.running.saturating_sub(1);
        self.meter.finish(cost.count());
        self.measure(now);
    }

    /// Lets the meter end its measurement when the time for it has come.
    pub fn measure(&mut self, now: ClockTime) {
        let floor = self.counters.floor();
        self.meter.measure(now, self.queued > 0, floor);
    }

    /// The requests that would now start too late, with their estimated waits,
    /// given the latest time at which each may start.
    pub fn late<Latest>(&self, now: ClockTime, latest: Latest) -> Vec<(RequestId, TimeSpan)>
    where
        Latest: Fn(&RequestId) -> Option<ClockTime>,
    {
        let mut late = Vec::new();
        for (organisation, queue) in &self.queues {
            for priority in [WorkPriority::Interactive, WorkPriority::Deferrable] {
                let mut ahead = 0;
                for work in queue.class(priority).values() {
                    let wait = self.wait(organisation, queue.weight, priority, ahead);
                    match latest(&work.request) {
                        Some(latest) if now + wait > latest => {
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
