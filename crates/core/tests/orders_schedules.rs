//! Orders under random schedules: several controllers share one duty over a
//! log that loses, doubles and delays appends, while any of them may be frozen
//! at any step and the engine may crash.
//!
//! The seeds are fixed. `BLUEBELL_SEEDS=N cargo test -p bluebell-core --test
//! orders_schedules` runs N further ones.

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

const TICK: u64 = 50;
const END: u64 = 240_000;
const CHANGE: u64 = 500;
const LEASE: TimeSpan = TimeSpan::from_secs(6);
const MARGIN: TimeSpan = TimeSpan::from_secs(1);
const TIMEOUT: TimeSpan = TimeSpan::from_secs(1);

fn timing() -> LeaseTiming {
    LeaseTiming {
        duration: LEASE,
        margin: MARGIN,
        renew_after: TimeSpan::from_secs(2),
        stagger: TimeSpan::from_millis(300),
        handover_after: TimeSpan::from_secs(5),
    }
}

fn rule() -> OrderTiming {
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

/// What a schedule may contain besides lost, doubled and late appends.
#[derive(Clone, Copy)]
struct Weather {
    checks_fencing: bool,
    crashes: bool,
    /// The longest freeze between a sender's look at the clock and its socket.
    late_sends: u64,
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

    /// Takes an order; answers whether it has an effect.
    fn take(&mut self, now: u64, sent: &SentOrder) -> (SendAnswer, bool) {
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
        self.busy_until = now + CHANGE;
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
    keeper: LeaseManager,
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
            keeper: LeaseManager::new(InstanceId::new(name).expect("valid"), timing()),
            sequence: 0,
            orders: 0,
            run: None,
            pending: None,
            frozen_until: 0,
        }
    }

    /// Its own clock: another origin, and up to two percent faster or slower.
    fn now(&self, time: u64) -> ClockTime {
        ClockTime::from_millis(self.clock_origin + time * self.clock_rate / 1_000)
    }

    fn grant(&self, time: u64) -> Option<DutyGrant> {
        self.keeper
            .grant(self.now(time), &self.view.leases, &duty())
    }
}

struct World {
    rng: ChaCha8Rng,
    weather: Weather,
    log: Vec<LogEntry>,
    truth: FleetView,
    appends: Vec<(u64, LogEntry)>,
    sends: Vec<(u64, SentOrder)>,
    engine: Engine,
    effects: Vec<LogOffset>,
    holders: BTreeSet<usize>,
    failure: Option<String>,
}

impl World {
    fn new(seed: u64, weather: Weather) -> World {
        World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            weather,
            log: Vec::new(),
            truth: FleetView::new(),
            appends: Vec::new(),
            sends: Vec::new(),
            engine: Engine {
                checks_fencing: weather.checks_fencing,
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
        for time in (0..END).step_by(TICK as usize) {
            self.deliver(time);
            if self.weather.crashes && self.chance(1) {
                self.engine.crash();
            }
            for controller in &mut controllers {
                self.turn(time, controller);
            }
            let granted = controllers.iter().filter(|c| c.grant(time).is_some());
            let granted: Vec<usize> = granted.map(|c| c.rank).collect();
            self.holders.extend(&granted);
            if granted.len() > 1 {
                self.fail(time, &format!("two holders: {granted:?}"));
            }
        }
        for controller in &mut controllers {
            self.compare(controller);
        }
    }

    /// A reader that was frozen and one that never was must agree on everything
    /// but the time of reading, and so must one that starts from a checkpoint.
    fn compare(&mut self, controller: &mut Controller) {
        for entry in &self.log {
            controller.view.apply(controller.now(END), entry);
        }
        let mut restored = FleetView::new();
        for item in self.truth.checkpoint() {
            restored.leases.restore(ClockTime::default(), &item);
            restored.orders.restore(ClockTime::default(), &item);
        }
        for view in [&controller.view, &restored] {
            let same = view.orders == self.truth.orders && holders(view) == holders(&self.truth);
            if !same {
                self.failure.get_or_insert("two readers differ".to_string());
            }
        }
    }

    fn deliver(&mut self, time: u64) {
        for (_, mut entry) in self.appends.extract_if(.., |(at, _)| *at <= time) {
            entry.offset = LogOffset::new(self.log.len() as u64);
            self.truth.apply(ClockTime::from_millis(time), &entry);
            self.log.push(entry);
        }
        let due: Vec<_> = self.sends.extract_if(.., |(at, _)| *at <= time).collect();
        for (_, sent) in due {
            self.reach_engine(time, &sent);
        }
    }

    /// Judges each effect: its order must be the open one, and no effect of an
    /// earlier holder may come after one of a later holder.
    fn reach_engine(&mut self, time: u64, sent: &SentOrder) -> SendAnswer {
        let (answer, effect) = self.engine.take(time, sent);
        if !effect {
            return answer;
        }
        if self.truth.orders.open(&sent.order).is_none() {
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

    fn turn(&mut self, time: u64, controller: &mut Controller) {
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
        let seat = DutyCandidacy {
            duty: duty(),
            rank: controller.rank,
            busy: controller.run.is_some(),
        };
        let (leases, next) = (&controller.view.leases, controller.view.next_offset());
        if let Some(record) = controller.keeper.next_record(now, leases, next, &seat) {
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
            OrderStep::Send => controller.pending = Some((time + TICK, PendingAction::Send)),
            OrderStep::Wait(_) => {}
            OrderStep::Stop(_) => controller.run = None,
        }
    }

    fn next_order(&mut self, controller: &mut Controller, grant: &DutyGrant) -> Option<OrderRun> {
        let checks = self.weather.checks_fencing;
        if let Some((order, open)) = controller.view.orders.open_orders().next() {
            return Some(OrderRun::new(
                order.clone(),
                open.body.clone(),
                checks,
                rule(),
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
        Some(OrderRun::new(order.expect("valid"), body, checks, rule()))
    }

    fn append(&mut self, time: u64, controller: &mut Controller, record: LogRecord) {
        let sent_at = controller.now(time);
        let action = PendingAction::Append { record, sent_at };
        controller.pending = Some((time + TICK, action));
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
            (LogRecord::Lease(_), _) => controller.keeper.appended(&duty(), sent_at, offset),
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
        if self.weather.late_sends > 0 && self.chance(100) {
            let longest = self.weather.late_sends;
            let late = time + self.rng.random_range(longest / 2..longest);
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
                self.reach_engine(time, &sent);
                SendAnswer::Unknown
            }
            _ => self.reach_engine(time, &sent),
        };
        let answered = match answer {
            SendAnswer::Unknown => time + TIMEOUT.as_millis(),
            _ => time + TICK,
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
    let further = std::env::var("BLUEBELL_SEEDS").ok();
    let further = further.and_then(|text| text.parse().ok()).unwrap_or(0);
    0..60 + further
}

fn check(weather: Weather) {
    let mut effects = 0;
    let mut changes_of_holder = 0;
    for seed in seeds() {
        let mut world = World::new(seed, weather);
        world.run();
        assert_eq!(world.failure, None, "seed {seed}");
        effects += world.effects.len();
        changes_of_holder += world.holders.len();
    }
    assert!(effects > 100, "only {effects} orders took effect");
    assert!(changes_of_holder > 100, "the duty hardly ever moved");
}

/// A controller is frozen at any step, the log loses and doubles its appends,
/// and the engine crashes. Were two controllers in charge at once, an engine
/// would change its role back and forth and callers' work would be cut.
#[test]
fn an_engine_that_checks_fencing_obeys_one_holder_at_a_time() {
    check(Weather {
        checks_fencing: true,
        crashes: true,
        late_sends: 0,
    });
}

/// The same for an engine that obeys whoever sends.
#[test]
fn an_engine_that_ignores_fencing_obeys_one_holder_at_a_time() {
    check(Weather {
        checks_fencing: false,
        crashes: true,
        late_sends: 0,
    });
}

/// A holder is frozen for half a minute between its last look at the clock and
/// the socket, and its order leaves long after a successor has taken over.
#[test]
fn a_late_order_has_no_effect_on_an_engine_that_checks_fencing() {
    check(Weather {
        checks_fencing: true,
        crashes: false,
        late_sends: 30_000,
    });
}

/// The same for an engine that obeys whoever sends: no sender can close this
/// window, but a freeze shorter than lease, twice the order timeout and twice
/// the margin does no harm.
#[test]
fn a_late_order_within_the_stated_window_has_no_effect_on_an_engine_that_ignores_fencing() {
    let window = LEASE + TIMEOUT + TIMEOUT + MARGIN + MARGIN;
    check(Weather {
        checks_fencing: false,
        crashes: false,
        late_sends: window.as_millis() * 95 / 100,
    });
}
