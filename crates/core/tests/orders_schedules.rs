//! Orders under random schedules: several controllers compete for one duty over a
//! log that loses, duplicates and delays appends, while any controller may be
//! frozen at any step and the engine may crash.
//!
//! The seeds are fixed. `BLUEBELL_SEEDS=N cargo test -p bluebell-core --test
//! orders_schedules` runs N additional seeds.

use std::collections::BTreeSet;

use bluebell_core::{
    authority::{DutyCandidacy, DutyGrant, HeldLease, LeaseManager, LeaseTiming},
    clock::{ClockTime, TimeSpan},
    ids::{EndpointId, FailureDomain, InstanceId, LogOffset, ModelName, OrderId, WriterId},
    orders::{EngineView, ObservedEffect, OrderRun, OrderStep, OrderTiming, SendAnswer},
    records::{DutyName, EngineRole, LogEntry, LogRecord, OrderBody},
    view::FleetView,
};
use rand::Rng;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

const TICK_MS: u64 = 50;
const END_MS: u64 = 240_000;
const CHANGE_MS: u64 = 500;
const LEASE: TimeSpan = TimeSpan::from_secs(6);
const MARGIN: TimeSpan = TimeSpan::from_secs(1);
const TIMEOUT: TimeSpan = TimeSpan::from_secs(1);

fn lease_timing() -> LeaseTiming {
    LeaseTiming {
        duration: LEASE,
        margin: MARGIN,
        renew_after: TimeSpan::from_secs(2),
        stagger: TimeSpan::from_millis(300),
        handover_after: TimeSpan::from_secs(5),
    }
}

fn order_timing() -> OrderTiming {
    OrderTiming {
        timeout: TIMEOUT,
        retry_pause: TimeSpan::from_millis(250),
        takeover_delay: LEASE + TIMEOUT + MARGIN,
    }
}

fn duty() -> DutyName {
    DutyName::Engines(FailureDomain::new("se-a").expect("the name is valid"))
}

fn engine_id() -> EndpointId {
    EndpointId::new("engine-1").expect("the name is valid")
}

/// The faults of a schedule besides lost, duplicated and late appends.
#[derive(Clone, Copy)]
struct ScheduleFaults {
    checks_fencing: bool,
    crashes: bool,
    /// The longest freeze between a sender's check of the clock and its write to the
    /// socket, in milliseconds; 0 for none.
    max_send_delay: u64,
}

struct Engine {
    checks_fencing: bool,
    incarnation: u64,
    fence: LogOffset,
    role: EngineRole,
    last: Option<OrderId>,
    busy_until: u64,
}

impl Engine {
    fn view(&self, now: u64) -> ObservedEffect {
        ObservedEffect::Engine(EngineView {
            incarnation: self.incarnation,
            role: self.role,
            model: ModelName::new("m").expect("the name is valid"),
            changing: now < self.busy_until,
            last_order: self.last.clone(),
        })
    }

    /// Receives an order. Returns the answer and whether the order has an effect.
    fn receive(&mut self, now: u64, sent: &SentOrder) -> (SendAnswer, bool) {
        if self.last.as_ref() == Some(&sent.order) {
            return (SendAnswer::Accepted, false);
        }
        if self.checks_fencing && sent.fence < self.fence {
            return (SendAnswer::Stale, false);
        }
        if self.checks_fencing && now < self.busy_until {
            return (SendAnswer::Unavailable, false);
        }
        if let OrderBody::SetRole { role, .. } = sent.body {
            self.role = role;
        }
        self.fence = self.fence.max(sent.fence);
        self.last = Some(sent.order.clone());
        self.busy_until = now + CHANGE_MS;
        (SendAnswer::Accepted, true)
    }

    fn crash(&mut self) {
        self.incarnation += 1;
        self.last = None;
        self.busy_until = 0;
    }
}

#[derive(Clone)]
struct SentOrder {
    order: OrderId,
    fence: LogOffset,
    body: OrderBody,
}

enum PendingAction {
    Append {
        record: LogRecord,
        sent_at: ClockTime,
    },
    Send,
    Answer(SendAnswer),
}

struct Controller {
    writer: WriterId,
    rank: usize,
    clock_origin: u64,
    clock_rate: u64,
    view: FleetView,
    lease_manager: LeaseManager,
    sequence: u64,
    orders: u64,
    run: Option<OrderRun>,
    pending: Option<(u64, PendingAction)>,
    frozen_until: u64,
}

impl Controller {
    fn new(index: usize, rng: &mut ChaCha8Rng) -> Controller {
        let name = format!("c{index}");
        Controller {
            writer: WriterId::new(name.clone()).expect("the name is valid"),
            rank: index,
            clock_origin: rng.random_range(0..1_000_000),
            clock_rate: rng.random_range(980..=1_020),
            view: FleetView::new(),
            lease_manager: LeaseManager::new(InstanceId::new(name).expect("valid"), lease_timing()),
            sequence: 0,
            orders: 0,
            run: None,
            pending: None,
            frozen_until: 0,
        }
    }

    /// The controller's clock at `time`: its origin differs from that of the others,
    /// and it runs up to two percent faster or slower.
    fn now(&self, time: u64) -> ClockTime {
        ClockTime::from_millis(self.clock_origin + time * self.clock_rate / 1_000)
    }

    fn grant(&self, time: u64) -> Option<DutyGrant> {
        self.lease_manager
            .grant(self.now(time), &self.view.leases, &duty())
    }
}

struct Simulation {
    rng: ChaCha8Rng,
    faults: ScheduleFaults,
    log: Vec<LogEntry>,
    reference_view: FleetView,
    appends: Vec<(u64, LogEntry)>,
    sends: Vec<(u64, SentOrder)>,
    engine: Engine,
    effects: Vec<LogOffset>,
    holders: BTreeSet<usize>,
    failure: Option<String>,
}

impl Simulation {
    fn new(seed: u64, faults: ScheduleFaults) -> Simulation {
        Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults,
            log: Vec::new(),
            reference_view: FleetView::new(),
            appends: Vec::new(),
            sends: Vec::new(),
            engine: Engine {
                checks_fencing: faults.checks_fencing,
                incarnation: 1,
                fence: LogOffset::START,
                role: EngineRole::Mixed,
                last: None,
                busy_until: 0,
            },
            effects: Vec::new(),
            holders: BTreeSet::new(),
            failure: None,
        }
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        self.rng.random_range(0..1_000) < per_mille
    }

    fn fail(&mut self, time: u64, what: &str) {
        self.failure.get_or_insert(format!("at {time}: {what}"));
    }

    fn run(&mut self) {
        let mut controllers: Vec<Controller> = (0..3)
            .map(|index| Controller::new(index, &mut self.rng))
            .collect();
        for time in (0..END_MS).step_by(TICK_MS as usize) {
            self.deliver(time);
            if self.faults.crashes && self.chance(1) {
                self.engine.crash();
            }
            for controller in &mut controllers {
                self.run_step(time, controller);
            }
            let granted = controllers.iter().filter(|c| c.grant(time).is_some());
            let granted: Vec<usize> = granted.map(|c| c.rank).collect();
            self.holders.extend(&granted);
            if granted.len() > 1 {
                self.fail(time, &format!("two holders: {granted:?}"));
            }
        }
        for controller in &mut controllers {
            self.compare_views(controller);
        }
    }

    /// A reader that was frozen and one that never was must agree on everything but
    /// the time of reading, and so must a reader that starts from a checkpoint.
    fn compare_views(&mut self, controller: &mut Controller) {
        for entry in &self.log {
            controller.view.apply(controller.now(END_MS), entry);
        }
        let mut restored = FleetView::new();
        for item in self.reference_view.checkpoint() {
            restored.leases.restore(ClockTime::default(), &item);
            restored.orders.restore(ClockTime::default(), &item);
        }
        for view in [&controller.view, &restored] {
            let same = view.orders == self.reference_view.orders
                && holders(view) == holders(&self.reference_view);
            if !same {
                self.failure.get_or_insert("two readers differ".to_string());
            }
        }
    }

    fn deliver(&mut self, time: u64) {
        for (_, mut entry) in self.appends.extract_if(.., |(at, _)| *at <= time) {
            entry.offset = LogOffset::new(self.log.len() as u64);
            self.reference_view
                .apply(ClockTime::from_millis(time), &entry);
            self.log.push(entry);
        }
        let due: Vec<_> = self.sends.extract_if(.., |(at, _)| *at <= time).collect();
        for (_, sent) in due {
            self.deliver_to_engine(time, &sent);
        }
    }

    /// Delivers an order to the engine and checks its effect: the order must be
    /// open, and no effect of an earlier holder may follow one of a later holder.
    fn deliver_to_engine(&mut self, time: u64, sent: &SentOrder) -> SendAnswer {
        let (answer, effect) = self.engine.receive(time, sent);
        if !effect {
            return answer;
        }
        if self.reference_view.orders.open(&sent.order).is_none() {
            self.fail(time, &format!("{} took effect while not open", sent.order));
        }
        if self.effects.last().is_some_and(|last| sent.fence < *last) {
            self.fail(
                time,
                &format!("{} took effect after a successor's", sent.order),
            );
        }
        self.effects.push(sent.fence);
        answer
    }

    fn run_step(&mut self, time: u64, controller: &mut Controller) {
        if time < controller.frozen_until {
            return;
        }
        if self.chance(4) {
            controller.frozen_until = time + self.rng.random_range(0..25_000);
            return;
        }
        let lag = self.rng.random_range(0..3);
        let now = controller.now(time);
        for entry in self.log.iter().take(self.log.len().saturating_sub(lag)) {
            controller.view.apply(now, entry);
        }
        match controller.pending.take() {
            Some((at, action)) if time >= at => self.act(time, controller, action),
            Some(later) => controller.pending = Some(later),
            None => self.decide(time, controller),
        }
    }

    fn decide(&mut self, time: u64, controller: &mut Controller) {
        let now = controller.now(time);
        let candidacy = DutyCandidacy {
            duty: duty(),
            rank: controller.rank,
            busy: controller.run.is_some(),
        };
        let (leases, next) = (&controller.view.leases, controller.view.next_offset());
        if let Some(record) = controller
            .lease_manager
            .next_record(now, leases, next, &candidacy)
        {
            return self.append(time, controller, LogRecord::Lease(record));
        }
        let Some(grant) = controller.grant(time) else {
            controller.run = None;
            return;
        };
        if controller.run.is_none() {
            controller.run = self.next_order(controller, &grant);
        }
        let Some(run) = &mut controller.run else {
            return;
        };
        match run.next_step(now, Some(&grant), &controller.view.orders) {
            OrderStep::Intend(intent) => {
                self.append(time, controller, LogRecord::Intent(intent));
            }
            OrderStep::Settle { record, .. } => {
                self.append(time, controller, LogRecord::Outcome(record));
            }
            OrderStep::Observe if self.rng.random_range(0..10) == 0 => {
                run.note_observation(now, &ObservedEffect::Unreachable);
            }
            OrderStep::Observe => run.note_observation(now, &self.engine.view(time)),
            OrderStep::Send => controller.pending = Some((time + TICK_MS, PendingAction::Send)),
            OrderStep::Wait(_) => {}
            OrderStep::Stop(_) => controller.run = None,
        }
    }

    fn next_order(&mut self, controller: &mut Controller, grant: &DutyGrant) -> Option<OrderRun> {
        let checks = self.faults.checks_fencing;
        if let Some((order, open)) = controller.view.orders.open_orders().next() {
            return Some(OrderRun::new(
                order.clone(),
                open.body.clone(),
                checks,
                order_timing(),
            ));
        }
        if !self.chance(200) {
            return None;
        }
        controller.orders += 1;
        let order = OrderId::new(format!("order:{}:{}", grant.fence, controller.orders));
        let role = match self.rng.random_range(0..2) {
            0 => EngineRole::Prefill,
            _ => EngineRole::Decode,
        };
        let endpoint = engine_id();
        let body = OrderBody::SetRole { endpoint, role };
        Some(OrderRun::new(
            order.expect("valid"),
            body,
            checks,
            order_timing(),
        ))
    }

    fn append(&mut self, time: u64, controller: &mut Controller, record: LogRecord) {
        let sent_at = controller.now(time);
        let action = PendingAction::Append { record, sent_at };
        controller.pending = Some((time + TICK_MS, action));
    }

    fn act(&mut self, time: u64, controller: &mut Controller, action: PendingAction) {
        match action {
            PendingAction::Append { record, sent_at } => {
                self.act_append(time, controller, record, sent_at);
            }
            PendingAction::Send => self.act_send(time, controller),
            PendingAction::Answer(answer) => {
                let now = controller.now(time);
                if let Some(run) = &mut controller.run {
                    run.note_answer(now, answer);
                }
            }
        }
    }

    fn act_append(
        &mut self,
        time: u64,
        controller: &mut Controller,
        record: LogRecord,
        sent_at: ClockTime,
    ) {
        controller.sequence += 1;
        let entry = LogEntry {
            offset: LogOffset::START,
            writer: controller.writer.clone(),
            sequence: controller.sequence,
            record: record.clone(),
        };
        match self.rng.random_range(0..20) {
            0 => return,
            1 => {
                let late = time + self.rng.random_range(0..10_000);
                self.appends.push((late, entry));
                return;
            }
            2 => self.appends.push((time, entry.clone())),
            3 => {
                let late = time + self.rng.random_range(0..10_000);
                self.appends.push((late, entry.clone()));
            }
            _ => {}
        }
        let lost_answer = self.chance(50);
        self.appends.push((time, entry));
        self.deliver(time);
        if lost_answer {
            return;
        }
        let last = self.log.iter().rposition(|entry| {
            entry.writer == controller.writer && entry.sequence == controller.sequence
        });
        let offset = LogOffset::new(last.expect("it was just delivered") as u64);
        let now = controller.now(time);
        for entry in &self.log {
            controller.view.apply(now, entry);
        }
        match (record, &mut controller.run) {
            (LogRecord::Intent(_), Some(run)) => run.note_intent(),
            (LogRecord::Lease(_), _) => controller.lease_manager.appended(&duty(), sent_at, offset),
            _ => {}
        }
    }

    fn act_send(&mut self, time: u64, controller: &mut Controller) {
        let now = controller.now(time);
        let grant = controller.grant(time);
        let Some(grant) = grant.filter(|grant| grant.covers(now, TIMEOUT)) else {
            return;
        };
        let Some(run) = &controller.run else { return };
        let sent = SentOrder {
            order: run.order().clone(),
            fence: grant.fence,
            body: run.body().clone(),
        };
        if self.faults.max_send_delay > 0 && self.chance(100) {
            let max_delay = self.faults.max_send_delay;
            let late = time + self.rng.random_range(max_delay / 2..max_delay);
            self.sends.push((late, sent));
            controller.frozen_until = late;
            let answer = PendingAction::Answer(SendAnswer::Unknown);
            controller.pending = Some((late, answer));
            return;
        }
        let answer = match self.rng.random_range(0..5) {
            0 => {
                let late = time + self.rng.random_range(0..TIMEOUT.as_millis());
                self.sends.push((late, sent));
                SendAnswer::Unknown
            }
            1 => {
                self.deliver_to_engine(time, &sent);
                SendAnswer::Unknown
            }
            _ => self.deliver_to_engine(time, &sent),
        };
        let answered = match answer {
            SendAnswer::Unknown => time + TIMEOUT.as_millis(),
            _ => time + TICK_MS,
        };
        controller.pending = Some((answered, PendingAction::Answer(answer)));
    }
}

fn holders(view: &FleetView) -> Vec<(InstanceId, LogOffset, LogOffset)> {
    let leases = view.leases.leases();
    let holder = |(_, lease): (_, &HeldLease)| (lease.holder.clone(), lease.fence, lease.latest);
    leases.map(holder).collect()
}

fn seeds() -> std::ops::Range<u64> {
    let additional = std::env::var("BLUEBELL_SEEDS").ok();
    let additional = additional.and_then(|text| text.parse().ok()).unwrap_or(0);
    0..60 + additional
}

fn check(faults: ScheduleFaults) {
    let mut effects = 0;
    let mut holder_changes = 0;
    for seed in seeds() {
        let mut simulation = Simulation::new(seed, faults);
        simulation.run();
        assert_eq!(simulation.failure, None, "seed {seed}");
        effects += simulation.effects.len();
        holder_changes += simulation.holders.len();
    }
    assert!(effects > 100, "only {effects} orders took effect");
    assert!(
        holder_changes > 100,
        "the duty changed its holder only {holder_changes} times"
    );
}

/// Controllers are frozen at any step, the log loses and duplicates appends, and
/// the engine crashes. If two controllers held the duty at once, the engine would
/// change its role back and forth and callers' requests would be aborted.
#[test]
fn an_engine_that_checks_fencing_executes_orders_of_one_holder_at_a_time() {
    check(ScheduleFaults {
        checks_fencing: true,
        crashes: true,
        max_send_delay: 0,
    });
}

/// The same for an engine that executes orders of any sender.
#[test]
fn an_engine_that_ignores_fencing_executes_orders_of_one_holder_at_a_time() {
    check(ScheduleFaults {
        checks_fencing: false,
        crashes: true,
        max_send_delay: 0,
    });
}

/// A holder is frozen for up to half a minute between its last check of the clock
/// and its write to the socket, so its order is sent long after a successor has
/// taken the duty over.
#[test]
fn a_late_order_has_no_effect_on_an_engine_that_checks_fencing() {
    check(ScheduleFaults {
        checks_fencing: true,
        crashes: false,
        max_send_delay: 30_000,
    });
}

/// The same for an engine that executes orders of any sender. No sender can rule
/// out a late order completely, but a freeze shorter than the lease, twice the
/// order timeout and twice the margin has no effect.
#[test]
fn a_late_order_within_the_window_has_no_effect_on_an_engine_that_ignores_fencing() {
    let window = LEASE + TIMEOUT + TIMEOUT + MARGIN + MARGIN;
    check(ScheduleFaults {
        checks_fencing: false,
        crashes: false,
        max_send_delay: window.as_millis() * 95 / 100,
    });
}
