//! Usage windows: each is frozen once and always reported with the same usage, and no
//! usage is billed twice.
//!
//! The seeds of the schedules are fixed; `BLUEBELL_SEEDS=N` runs N additional seeds.

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

/// From this step on the holder no longer changes and every reporter reads the whole
/// log.
const STABLE_STEP: u64 = 1_000;

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

/// A reporter that acts by its own view alone, however stale: it stands for a holder
/// that was frozen at any step and assumes that it still holds the duty.
struct Reporter {
    index: usize,
    view: FleetView,
    runs: BTreeMap<UsageWindow, OrderRun>,
    delayed_send: Option<(UsageWindow, LogOffset)>,
}

struct Simulation {
    rng: ChaCha8Rng,
    log: Vec<LogEntry>,
    sequences: BTreeMap<WriterId, u64>,
    checks_fencing: bool,
    is_stable: bool,
    fence: LogOffset,
    reports: Vec<(UsageWindow, LogOffset, Vec<UsageLine>)>,
    metered: u64,
}

impl Simulation {
    fn new(seed: u64, checks_fencing: bool) -> Simulation {
        Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            log: Vec::new(),
            sequences: BTreeMap::new(),
            checks_fencing,
            is_stable: false,
            fence: LogOffset::START,
            reports: Vec::new(),
            metered: 0,
        }
    }

    /// Appends a record once or twice: an append whose answer was lost is repeated.
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

    /// Another controller takes the duty over; the former one may not have read this yet.
    fn change_holder(&mut self, time: ClockTime) {
        let mut current_view = FleetView::new();
        for entry in &self.log {
            current_view.apply(time, entry);
        }
        let held = current_view.leases.held(&DutyName::Usage);
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

    fn run_step(&mut self, time: ClockTime, reporter: &mut Reporter) {
        if let Some((window, fence)) = reporter.delayed_send.take() {
            self.send(time, reporter, window, fence);
            return;
        }
        if self.is_stable || self.rng.random_range(0..3) == 0 {
            let read_count = match self.is_stable {
                true => self.log.len(),
                false => self.rng.random_range(0..=self.log.len()),
            };
            for entry in self.log.iter().take(read_count) {
                reporter.view.apply(time, entry);
            }
        }
        let held = reporter.view.leases.held(&DutyName::Usage);
        let own_lease = held.filter(|lease| lease.holder == instance(reporter.index));
        let Some(fence) = own_lease.map(|lease| lease.fence) else {
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
            self.run_report(time, reporter, window, fence);
        }
    }

    fn run_report(
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
                // The platform's listing may lag behind the reports that it has accepted.
                let lags = self.rng.random_range(0..4) == 0;
                let known = self.reports.iter().any(|(known, ..)| *known == window);
                let view = match known && !lags {
                    true => ObservedEffect::Done,
                    false => ObservedEffect::Absent,
                };
                run.note_observation(time, &view);
            }
            OrderStep::Send if self.rng.random_range(0..4) == 0 => {
                reporter.delayed_send = Some((window, fence));
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
    let timing = OrderTiming {
        timeout: TimeSpan::from_secs(1),
        retry_pause: TimeSpan::ZERO,
        takeover_delay: TimeSpan::ZERO,
    };
    let order = OrderId::new(format!("usage:{window}")).expect("the name is valid");
    OrderRun::new(order, OrderBody::ReportUsage { window }, true, timing)
}

fn seeds() -> std::ops::Range<u64> {
    let additional = std::env::var("BLUEBELL_SEEDS").ok();
    let additional = additional.and_then(|text| text.parse().ok()).unwrap_or(0);
    0..40 + additional
}

fn check(checks_fencing: bool) {
    let mut repeats = 0;
    for seed in seeds() {
        let mut simulation = Simulation::new(seed, checks_fencing);
        let mut reporters: Vec<Reporter> = (0..3).map(new_reporter).collect();
        for step in 0..STABLE_STEP + 600 {
            let time = ClockTime::from_millis(100_000 + step * 100);
            simulation.is_stable = step > STABLE_STEP;
            if !simulation.is_stable && simulation.rng.random_range(0..20) == 0 {
                simulation.meter(time);
            }
            if step == STABLE_STEP
                || (!simulation.is_stable && simulation.rng.random_range(0..100) == 0)
            {
                simulation.change_holder(time);
            }
            for reporter in &mut reporters {
                simulation.run_step(time, reporter);
            }
        }
        repeats += check_reports(&simulation, seed);
    }
    assert!(repeats > 20, "too few reports were repeated: {repeats}");
}

fn new_reporter(index: usize) -> Reporter {
    Reporter {
        index,
        view: FleetView::new(),
        runs: BTreeMap::new(),
        delayed_send: None,
    }
}

/// Checks that repeated reports are equal and that billed and metered usage agree.
/// Returns the number of repeated reports.
fn check_reports(simulation: &Simulation, seed: u64) -> usize {
    let mut reported_lines: BTreeMap<UsageWindow, &Vec<UsageLine>> = BTreeMap::new();
    for (window, _, lines) in &simulation.reports {
        let first = reported_lines.entry(*window).or_insert(lines);
        assert_eq!(
            *first, lines,
            "seed {seed}: two different reports for window {window}"
        );
    }
    let fences: Vec<LogOffset> = simulation
        .reports
        .iter()
        .map(|(_, fence, _)| *fence)
        .collect();
    if simulation.checks_fencing {
        assert!(
            fences.is_sorted(),
            "seed {seed}: a report of a superseded holder was accepted"
        );
    }
    let billed = reported_lines.values().flat_map(|lines| lines.iter());
    let billed: u64 = billed.map(|line| line.prompt_tokens.count()).sum();
    assert_eq!(
        billed, simulation.metered,
        "seed {seed}: billed and metered tokens differ"
    );
    simulation.reports.len() - reported_lines.len()
}

/// Holders of the duty are frozen at any step, assume that they still hold it, lose
/// answers, and report a window again. An operator would get two bills for one window
/// if the reports differed.
#[test]
fn all_holders_report_the_same_usage_for_a_window() {
    check(true);
}

/// The same with a platform that accepts any report: it accepts one of a superseded
/// holder too, but that equals its successor's.
#[test]
fn all_holders_report_the_same_usage_if_the_platform_ignores_fencing() {
    check(false);
}

/// An entry appends the usage that it metered in a window only after the window was
/// closed. If it were added there, the report and the recorded usage would differ; if
/// it were dropped, it would be missing from the organisation's bill.
#[test]
fn a_late_delta_counts_in_the_first_open_window() {
    let mut simulation = Simulation::new(1, true);
    let time = ClockTime::from_millis(100_000);
    simulation.change_holder(time);
    let delta = |tokens: u64| {
        LogRecord::Usage(UsageDelta {
            entry: instance(9),
            window: UsageWindow::new(7),
            lines: vec![line(1, tokens)],
        })
    };
    simulation.append(9, &delta(10));
    let close = WindowClose {
        window: UsageWindow::new(7),
        fence: LogOffset::START,
    };
    simulation.append(5, &LogRecord::WindowClose(close));
    simulation.append(9, &delta(5));
    let mut view = FleetView::new();
    for entry in &simulation.log {
        view.apply(time, entry);
    }
    assert_eq!(
        view.usage.frozen(UsageWindow::new(7)),
        Some(&vec![line(1, 10)])
    );
    let next = view.usage.next_to_close(time, WINDOW, GRACE);
    assert_eq!(next, Some(UsageWindow::new(8)));
}

/// A holder is frozen before it closes a window and resumes when a successor holds the
/// duty. Its record would close a window early that the successor keeps open.
#[test]
fn a_superseded_holder_closes_no_window() {
    let mut simulation = Simulation::new(1, true);
    let time = ClockTime::from_millis(100_000);
    simulation.change_holder(time);
    simulation.change_holder(time);
    let close = WindowClose {
        window: UsageWindow::new(7),
        fence: LogOffset::START,
    };
    simulation.append(5, &LogRecord::WindowClose(close));
    let mut view = FleetView::new();
    for entry in &simulation.log {
        view.apply(time, entry);
    }
    assert_eq!(view.usage.last_closed(), None);
}

/// All processes are replaced and start from a checkpoint: a window must keep its
/// usage and must not be opened again.
#[test]
fn a_checkpoint_preserves_windows() {
    let mut simulation = Simulation::new(3, true);
    let mut reporters: Vec<Reporter> = (0..3).map(new_reporter).collect();
    for step in 0..400 {
        let time = ClockTime::from_millis(100_000 + step * 100);
        simulation.meter(time);
        if step % 100 == 0 {
            simulation.change_holder(time);
        }
        for reporter in &mut reporters {
            simulation.run_step(time, reporter);
        }
    }
    let mut view = FleetView::new();
    for entry in &simulation.log {
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
