//! Usage windows: frozen once, reported with one figure, nothing billed twice.
//!
//! The schedules' seeds are fixed; `BLUEBELL_SEEDS=N` runs N further ones.

use std::collections::BTreeMap;

use bluebell_core::{
    authority::DutyGrant,
    clock::{ClockTime, TimeSpan},
    ids::{InstanceId, LogOffset, OrderId, OrganisationId, ServiceName, WriterId},
    orders::{ObservedEffect, OrderRun, OrderStep, OrderTiming, SendAnswer},
    records::{
        DutyName, LeaseAction, LeaseRecord, LogEntry, LogRecord, OrderBody, UsageDelta, UsageLine,
        UsageWindow, WindowClose,
    },
    units::TokenCount,
    view::FleetView,
};
use rand::Rng;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

const WINDOW: TimeSpan = TimeSpan::from_secs(10);
const GRACE: TimeSpan = TimeSpan::from_secs(2);

/// From this step on holders stay and read the whole log.
const CALM_STEP: u64 = 1_000;

fn line(organisation: u32, tokens: u64) -> UsageLine {
    UsageLine {
        organisation: OrganisationId::new(format!("org-{organisation}")).expect("valid"),
        service: ServiceName::new("chat").expect("valid"),
        requests: 1,
        prompt_tokens: TokenCount::new(tokens),
        output_tokens: TokenCount::new(tokens * 2),
    }
}

fn instance(index: usize) -> InstanceId {
    InstanceId::new(format!("i{index}")).expect("the name is valid")
}

/// A reporter that acts by its own view alone, however stale: what a holder does
/// that was frozen at any step and believes that it is still in charge.
struct Reporter {
    index: usize,
    view: FleetView,
    runs: BTreeMap<UsageWindow, OrderRun>,
    held_send: Option<(UsageWindow, LogOffset)>,
}

struct World {
    rng: ChaCha8Rng,
    log: Vec<LogEntry>,
    sequences: BTreeMap<WriterId, u64>,
    checks_fencing: bool,
    calm: bool,
    fence: LogOffset,
    reports: Vec<(UsageWindow, LogOffset, Vec<UsageLine>)>,
    metered: u64,
}

impl World {
    fn new(seed: u64, checks_fencing: bool) -> World {
        World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            log: Vec::new(),
            sequences: BTreeMap::new(),
            checks_fencing,
            calm: false,
            fence: LogOffset::START,
            reports: Vec::new(),
            metered: 0,
        }
    }

    /// Appends, now and then twice, as after an answer that was lost.
    fn append(&mut self, index: usize, record: &LogRecord) {
        let writer = WriterId::new(format!("w{index}")).expect("the name is valid");
        let sequence = self.sequences.entry(writer.clone()).or_default();
        *sequence += 1;
        let sequence = *sequence;
        for _ in 0..self.rng.random_range(1..3) {
            self.log.push(LogEntry {
                offset: LogOffset::new(self.log.len() as u64),
                writer: writer.clone(),
                sequence,
                record: record.clone(),
            });
        }
    }

    fn meter(&mut self, time: ClockTime) {
        let tokens = self.rng.random_range(1..50);
        let lateness = TimeSpan::from_millis(self.rng.random_range(0..25_000));
        let delta = UsageDelta {
            entry: instance(9),
            window: UsageWindow::at(time - lateness, WINDOW),
            lines: vec![line(self.rng.random_range(0..3), tokens)],
        };
        self.metered += tokens;
        self.append(9, &LogRecord::Usage(delta));
    }

    /// Another controller takes the duty over, whether the former one knows or not.
    fn change_holder(&mut self, time: ClockTime) {
        let mut truth = FleetView::new();
        for entry in &self.log {
            truth.apply(time, entry);
        }
        let held = truth.leases.held(&DutyName::Usage);
        let index = self.rng.random_range(0..3);
        let claim = LeaseRecord {
            duty: DutyName::Usage,
            holder: instance(index),
            action: LeaseAction::Claim,
            duration: TimeSpan::from_secs(6),
            supersedes: held.map(|lease| lease.latest),
        };
        self.append(index, &LogRecord::Lease(claim));
    }

    fn report(&mut self, window: UsageWindow, fence: LogOffset, lines: &[UsageLine]) -> SendAnswer {
        if self.checks_fencing && fence < self.fence {
            return SendAnswer::Stale;
        }
        self.fence = self.fence.max(fence);
        self.reports.push((window, fence, lines.to_vec()));
        match self.rng.random_range(0..3) {
            0 => SendAnswer::Unknown,
            _ => SendAnswer::Done,
        }
    }

    fn turn(&mut self, time: ClockTime, reporter: &mut Reporter) {
        if let Some((window, fence)) = reporter.held_send.take() {
            self.send(time, reporter, window, fence);
            return;
        }
        if self.calm || self.rng.random_range(0..3) == 0 {
            let read = match self.calm {
                true => self.log.len(),
                false => self.rng.random_range(0..=self.log.len()),
            };
            for entry in self.log.iter().take(read) {
                reporter.view.apply(time, entry);
            }
        }
        let held = reporter.view.leases.held(&DutyName::Usage);
        let own = held.filter(|lease| lease.holder == instance(reporter.index));
        let Some(fence) = own.map(|lease| lease.fence) else {
            return;
        };
        if let Some(window) = reporter.view.usage.next_to_close(time, WINDOW, GRACE)
            && self.rng.random_range(0..3) == 0
        {
            let close = WindowClose { window, fence };
            self.append(reporter.index, &LogRecord::WindowClose(close));
            return;
        }
        let window = reporter
            .view
            .usage
            .unreported()
            .map(|(window, _)| window)
            .next();
        if let Some(window) = window {
            self.carry_on(time, reporter, window, fence);
        }
    }

    fn carry_on(
        &mut self,
        time: ClockTime,
        reporter: &mut Reporter,
        window: UsageWindow,
        fence: LogOffset,
    ) {
        let grant = DutyGrant {
            duty: DutyName::Usage,
            fence,
            claimed_at: ClockTime::default(),
            until: time + TimeSpan::from_secs(60),
        };
        let index = reporter.index;
        let run = reporter
            .runs
            .entry(window)
            .or_insert_with(|| report_run(window));
        match run.next_step(time, Some(&grant), &reporter.view.orders) {
            OrderStep::Intend(intent) => self.append(index, &LogRecord::Intent(intent)),
            OrderStep::Settle { record, .. } => self.append(index, &LogRecord::Outcome(record)),
            OrderStep::Observe => {
                // What the platform shows may lag behind what it has taken.
                let lags = self.rng.random_range(0..4) == 0;
                let known = self.reports.iter().any(|(known, ..)| *known == window);
                let view = match known && !lags {
                    true => ObservedEffect::Done,
                    false => ObservedEffect::Absent,
                };
                run.note_observation(time, &view);
            }
            OrderStep::Send if self.rng.random_range(0..4) == 0 => {
                reporter.held_send = Some((window, fence));
            }
            OrderStep::Send => self.send(time, reporter, window, fence),
            OrderStep::Wait(_) => {}
            OrderStep::Stop(_) => drop(reporter.runs.remove(&window)),
        }
    }

    fn send(
        &mut self,
        time: ClockTime,
        reporter: &mut Reporter,
        window: UsageWindow,
        fence: LogOffset,
    ) {
        let Some(lines) = reporter.view.usage.frozen(window).cloned() else {
            return;
        };
        let answer = self.report(window, fence, &lines);
        if let Some(run) = reporter.runs.get_mut(&window) {
            run.note_answer(time, answer);
        }
    }
}

fn report_run(window: UsageWindow) -> OrderRun {
    let rule = OrderTiming {
        timeout: TimeSpan::from_secs(1),
        retry_pause: TimeSpan::ZERO,
        takeover_delay: TimeSpan::ZERO,
    };
    let order = OrderId::new(format!("usage:{window}")).expect("the name is valid");
    OrderRun::new(order, OrderBody::ReportUsage { window }, true, rule)
}

fn seeds() -> std::ops::Range<u64> {
    let further = std::env::var("BLUEBELL_SEEDS").ok();
    let further = further.and_then(|text| text.parse().ok()).unwrap_or(0);
    0..40 + further
}

fn check(checks_fencing: bool) {
    let mut repeats = 0;
    for seed in seeds() {
        let mut world = World::new(seed, checks_fencing);
        let mut reporters: Vec<Reporter> = (0..3).map(new_reporter).collect();
        for step in 0..CALM_STEP + 600 {
            let time = ClockTime::from_millis(100_000 + step * 100);
            world.calm = step > CALM_STEP;
            if !world.calm && world.rng.random_range(0..20) == 0 {
                world.meter(time);
            }
            if step == CALM_STEP || (!world.calm && world.rng.random_range(0..100) == 0) {
                world.change_holder(time);
            }
            for reporter in &mut reporters {
                world.turn(time, reporter);
            }
        }
        repeats += judge(&world, seed);
    }
    assert!(repeats > 20, "hardly any report was repeated: {repeats}");
}

fn new_reporter(index: usize) -> Reporter {
    Reporter {
        index,
        view: FleetView::new(),
        runs: BTreeMap::new(),
        held_send: None,
    }
}

/// Answers how many reports were repeats.
fn judge(world: &World, seed: u64) -> usize {
    let mut figures: BTreeMap<UsageWindow, &Vec<UsageLine>> = BTreeMap::new();
    for (window, _, lines) in &world.reports {
        let first = figures.entry(*window).or_insert(lines);
        assert_eq!(*first, lines, "seed {seed}: two figures for {window}");
    }
    let fences: Vec<LogOffset> = world.reports.iter().map(|(_, fence, _)| *fence).collect();
    if world.checks_fencing {
        assert!(fences.is_sorted(), "seed {seed}: a late holder was heard");
    }
    let billed = figures.values().flat_map(|lines| lines.iter());
    let billed: u64 = billed.map(|line| line.prompt_tokens.count()).sum();
    assert_eq!(
        billed, world.metered,
        "seed {seed}: billed and metered differ"
    );
    world.reports.len() - figures.len()
}

/// Holders of the duty are frozen at every step, believe that they are still in
/// charge, lose answers, and report a window again. An operator would get two
/// bills for one window if their figures differed.
#[test]
fn a_window_has_one_figure_whoever_reports_it() {
    check(true);
}

/// The same with a platform that accepts any report: a late holder is heard, but
/// what it says is what its successor says.
#[test]
fn a_window_has_one_figure_also_if_the_platform_ignores_fencing() {
    check(false);
}

/// An entry tells only after a window was closed what it metered in it. Were it
/// added there, the report and the figures would differ; were it dropped, the
/// organisation's bill would miss it.
#[test]
fn a_late_delta_counts_in_the_first_open_window() {
    let mut world = World::new(1, true);
    let time = ClockTime::from_millis(100_000);
    world.change_holder(time);
    let delta = |tokens: u64| {
        LogRecord::Usage(UsageDelta {
            entry: instance(9),
            window: UsageWindow::new(7),
            lines: vec![line(1, tokens)],
        })
    };
    world.append(9, &delta(10));
    let close = WindowClose {
        window: UsageWindow::new(7),
        fence: LogOffset::START,
    };
    world.append(5, &LogRecord::WindowClose(close));
    world.append(9, &delta(5));
    let mut view = FleetView::new();
    for entry in &world.log {
        view.apply(time, entry);
    }
    assert_eq!(
        view.usage.frozen(UsageWindow::new(7)),
        Some(&vec![line(1, 10)])
    );
    let next = view.usage.next_to_close(time, WINDOW, GRACE);
    assert_eq!(next, Some(UsageWindow::new(8)));
}

/// A holder is frozen before it closes a window and wakes up when a successor is
/// in charge. Its close would cut the window short that the successor keeps open.
#[test]
fn a_holder_that_was_superseded_closes_no_window() {
    let mut world = World::new(1, true);
    let time = ClockTime::from_millis(100_000);
    world.change_holder(time);
    world.change_holder(time);
    let close = WindowClose {
        window: UsageWindow::new(7),
        fence: LogOffset::START,
    };
    world.append(5, &LogRecord::WindowClose(close));
    let mut view = FleetView::new();
    for entry in &world.log {
        view.apply(time, entry);
    }
    assert_eq!(view.usage.last_closed(), None);
}

/// All processes are replaced and start from a checkpoint: a window must keep its
/// figures and must not be opened again.
#[test]
fn a_checkpoint_keeps_windows_as_they_are() {
    let mut world = World::new(3, true);
    let mut reporters: Vec<Reporter> = (0..3).map(new_reporter).collect();
    for step in 0..400 {
        let time = ClockTime::from_millis(100_000 + step * 100);
        world.meter(time);
        if step % 100 == 0 {
            world.change_holder(time);
        }
        for reporter in &mut reporters {
            world.turn(time, reporter);
        }
    }
    let mut view = FleetView::new();
    for entry in &world.log {
        view.apply(ClockTime::default(), entry);
    }
    assert!(view.usage.last_closed().is_some());
    let mut restored = FleetView::new();
    for item in view
        .usage
        .checkpoint()
        .iter()
        .chain(&view.orders.checkpoint())
    {
        restored.usage.restore(ClockTime::default(), item);
        restored.orders.restore(ClockTime::default(), item);
    }
    assert_eq!(restored.usage, view.usage);
    assert_eq!(restored.orders, view.orders);
}
