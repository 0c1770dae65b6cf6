//! How long it takes to full goodput after something comes back, and whether a
//! herd meets what came back.

use crate::{
    policy::{LabPolicy, RoutingRule},
    scenario::{LabScenario, WorldEvent, at},
    tables::{MedianRange, TextTable},
    world::{RunResult, run},
};

/// When it is lost, in seconds.
const LOST: u64 = 60;
/// When it comes back.
const BACK: u64 = 90;
/// Seconds of a run.
const LENGTH: u64 = 180;
/// What counts as full goodput, in percent served in time.
const FULL: f64 = 97.0;
/// Seconds that are looked at together.
const WINDOW: usize = 3;

/// What one policy did over all seeds after one loss.
pub struct RecoveryRow {
    /// What was lost and came back.
    pub lost: &'static str,
    /// The policy.
    pub name: &'static str,
    /// Seconds to full goodput after the loss.
    pub after_loss: MedianRange,
    /// Seconds to full goodput after the return.
    pub after_return: MedianRange,
    /// The worst percent served in time in the three seconds windows after the
    /// return.
    pub worst_after: MedianRange,
    /// What an endpoint that came back got in its first two seconds, in times of
    /// its even share.
    pub herd: MedianRange,
}

/// What is lost and comes back: its name, its events, and the engines that come
/// back.
struct LossCase {
    name: &'static str,
    events: Vec<WorldEvent>,
    returns: Vec<WorldEvent>,
    engines: Vec<usize>,
}

fn cases(scenario: &LabScenario) -> Vec<LossCase> {
    let engines: Vec<usize> = (0..scenario.engines.len()).step_by(3).collect();
    let entries: Vec<usize> = (0..scenario.entries).step_by(3).collect();
    let lose = |engines: &[usize]| engines.iter().map(|i| WorldEvent::EngineLost(*i)).collect();
    let bring = |engines: &[usize]| engines.iter().map(|i| WorldEvent::EngineBack(*i)).collect();
    let mut domain_lost: Vec<WorldEvent> = lose(&engines);
    domain_lost.extend(entries.iter().map(|i| WorldEvent::EntryLost(*i)));
    let mut domain_back: Vec<WorldEvent> = bring(&engines);
    domain_back.extend(entries.iter().map(|i| WorldEvent::EntryBack(*i)));
    vec![
        LossCase {
            name: "an entry instance",
            events: vec![WorldEvent::EntryLost(0)],
            returns: vec![WorldEvent::EntryBack(0)],
            engines: Vec::new(),
        },
        LossCase {
            name: "an endpoint",
            events: lose(&[0]),
            returns: bring(&[0]),
            engines: vec![0],
        },
        LossCase {
            name: "a failure domain",
            events: domain_lost,
            returns: domain_back,
            engines,
        },
    ]
}

/// The policies compared.
pub fn policies() -> Vec<LabPolicy> {
    vec![
        LabPolicy::new("router"),
        LabPolicy::new("router without slow start").without_slow_start(),
        LabPolicy::new("least outstanding, reported").with_routing(RoutingRule::LeastReported),
    ]
}

/// Runs all losses under all policies.
pub fn rows(scenario: &LabScenario, seeds: &[u64]) -> Vec<RecoveryRow> {
    let mut rows = Vec::new();
    for case in cases(scenario) {
        let events = case.events.iter().map(|event| (at(LOST), *event));
        let returns = case.returns.iter().map(|event| (at(BACK), *event));
        let scenario = scenario
            .clone()
            .without_flood()
            .with_mixes(vec![scenario.mixes[0]])
            .with_length(LENGTH)
            .with_events(events.chain(returns).collect());
        for policy in policies() {
            let results: Vec<RunResult> = seeds
                .iter()
                .map(|seed| run(&scenario, &policy, *seed))
                .collect();
            let over = |value: &dyn Fn(&RunResult) -> f64| {
                MedianRange::new(results.iter().map(value).collect())
            };
            rows.push(RecoveryRow {
                lost: case.name,
                name: policy.name,
                after_loss: over(&|r| seconds_to_full(r, LOST, BACK)),
                after_return: over(&|r| seconds_to_full(r, BACK, LENGTH - 10)),
                worst_after: over(&worst_after),
                herd: over(&|r| herd(r, &case.engines)),
            });
        }
    }
    rows
}

/// Seconds from `from` until goodput is full and stays so until `to`.
fn seconds_to_full(result: &RunResult, from: u64, to: u64) -> f64 {
    let (from, to) = (from as usize, to as usize);
    let last_low = (from..to - WINDOW)
        .rev()
        .find(|second| result.percent_between(*second, second + WINDOW) < FULL);
    last_low.map_or(0.0, |second| (second + 1 - from) as f64)
}

fn worst_after(result: &RunResult) -> f64 {
    let windows = BACK as usize..LENGTH as usize - 10;
    windows
        .map(|second| result.percent_between(second, second + WINDOW))
        .fold(100.0, f64::min)
}

fn herd(result: &RunResult, engines: &[usize]) -> f64 {
    let seconds = BACK as usize..BACK as usize + 2;
    let sent = |engine: usize| -> u32 { result.sent[engine][seconds.clone()].iter().sum() };
    let all: u32 = (0..result.sent.len()).map(sent).sum();
    let even = f64::from(all) / result.sent.len() as f64;
    let most = engines
        .iter()
        .map(|engine| sent(*engine))
        .max()
        .unwrap_or(0);
    f64::from(most) / even.max(1.0)
}

/// Prints the table.
pub fn table(seeds: &[u64]) -> String {
    let mut text = String::new();
    for scenario in [LabScenario::magnolia(), LabScenario::formosa()] {
        let mut table = TextTable::new(
            &format!("Recovery, {}", scenario.name),
            "Lost at 60 s, back at 90 s, with a steady mix. Full goodput is 97% served in time \
             over three seconds. Median (range) over the seeds.",
            &[
                "lost",
                "routing",
                "s to full goodput after the loss",
                "s after the return",
                "worst three seconds after the return, %",
                "first two seconds of what came back, times an even share",
            ],
        );
        for row in rows(&scenario, seeds) {
            table.row(&[
                row.lost.to_string(),
                row.name.to_string(),
                row.after_loss.to_string(),
                row.after_return.to_string(),
                row.worst_after.to_string(),
                row.herd.to_string(),
            ]);
        }
        text.push_str(&table.finish());
    }
    text
}
