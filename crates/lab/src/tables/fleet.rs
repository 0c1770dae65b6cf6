//! The fleet planner against fixed fleets and a plan without the reclaim bound.

use std::collections::BTreeMap;

use bluebell_core::{
    fleet::{
        FleetPlanner, FleetSettings, FleetSize, WorkDemand, baselines::fixed_fleet, cheapest_size,
    },
    ids::ServiceName,
};

use crate::{
    fluid::{FleetDay, FleetPick, FleetResult, run_day},
    tables::{MedianRange, TextTable},
};

/// What one policy did over all seeds.
pub struct FleetRow {
    /// The policy.
    pub name: &'static str,
    /// Cost, in reserved endpoints on average.
    pub cost: MedianRange,
    /// Percent of the urgent work that was late.
    pub late: MedianRange,
    /// Percent of it that was late within two minutes of a reclaim.
    pub late_after_reclaim: MedianRange,
    /// Percent of the work on preemptible endpoints.
    pub cheap_share: MedianRange,
    /// Percent of the deferrable work that waited for more than a minute.
    pub deferred: MedianRange,
}

/// A fleet and its work.
#[derive(Clone, Copy, Debug)]
pub struct FleetCase {
    /// Endpoints that the work keeps busy at its height.
    pub peak: f64,
    /// Percent of the work that is deferrable.
    pub deferrable: f64,
    /// The utilisation that the fleet is sized for.
    pub utilisation: u64,
}

/// The cases of the tables. In the last, little of the work can wait and
/// endpoints are kept busy, so that a reclaim would hurt.
pub const CASES: [(&str, FleetCase); 3] = [
    (
        "magnolia",
        FleetCase {
            peak: 8.0,
            deferrable: 25.0,
            utilisation: 70,
        },
    ),
    (
        "formosa",
        FleetCase {
            peak: 6.0,
            deferrable: 25.0,
            utilisation: 70,
        },
    ),
    (
        "twenty engines, little headroom",
        FleetCase {
            peak: 20.0,
            deferrable: 5.0,
            utilisation: 90,
        },
    ),
];

/// A policy of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetRule {
    /// The planner.
    Planner,
    /// The planner as if nothing were ever reclaimed.
    Unbounded,
    /// A fixed reserved fleet for the day's peak.
    FixedPeak,
    /// A fixed reserved fleet that costs what the planner's does.
    FixedCost,
}

/// The policies compared.
pub const RULES: [FleetRule; 4] = [
    FleetRule::Planner,
    FleetRule::Unbounded,
    FleetRule::FixedPeak,
    FleetRule::FixedCost,
];

fn fixed(reserved: u64) -> FleetPick {
    let service = ServiceName::new("assistant").expect("the name is an identifier");
    let sizes = BTreeMap::from([(service, FleetSize::new(reserved, 0))]);
    Box::new(fixed_fleet(sizes))
}

fn planner(settings: FleetSettings) -> FleetPick {
    let planner = FleetPlanner::new(settings);
    Box::new(move |now, inputs| planner.plan(now, inputs))
}

/// Runs one policy for one day.
pub fn run_rule(rule: FleetRule, day: &FleetDay, settings: FleetSettings) -> FleetResult {
    let plan = match rule {
        FleetRule::Planner => planner(settings),
        FleetRule::Unbounded => planner(FleetSettings {
            loss_utilisation: 1_000_000,
            ..settings
        }),
        FleetRule::FixedPeak => {
            let peak = day
                .demand
                .iter()
                .fold(WorkDemand::default(), |p, d| p.max(*d));
            fixed(cheapest_size(peak, 3, 0, &settings).total())
        }
        FleetRule::FixedCost => {
            let cost = run_rule(FleetRule::Planner, day, settings).cost;
            fixed(cost.round() as u64)
        }
    };
    run_day(day, &settings, plan)
}

fn name(rule: FleetRule) -> &'static str {
    match rule {
        FleetRule::Planner => "planner",
        FleetRule::Unbounded => "planner without the reclaim bound",
        FleetRule::FixedPeak => "fixed, reserved, for the peak",
        FleetRule::FixedCost => "fixed, reserved, at the planner's cost",
    }
}

/// Runs the policies for days of this case.
pub fn rows(case: FleetCase, seeds: &[u64]) -> Vec<FleetRow> {
    let settings = FleetSettings {
        utilisation: case.utilisation,
        ..FleetSettings::default()
    };
    let row = |rule: FleetRule| {
        let day = |seed: &u64| {
            run_rule(
                rule,
                &FleetDay::new(case.peak, case.deferrable, *seed),
                settings,
            )
        };
        let results: Vec<FleetResult> = seeds.iter().map(day).collect();
        let over = |value: &dyn Fn(&FleetResult) -> f64| {
            MedianRange::new(results.iter().map(value).collect())
        };
        FleetRow {
            name: name(rule),
            cost: over(&|r| r.cost),
            late: over(&|r| r.late),
            late_after_reclaim: over(&|r| r.late_after_reclaim),
            cheap_share: over(&|r| r.cheap_share),
            deferred: over(&|r| r.deferred),
        }
    };
    RULES.into_iter().map(row).collect()
}

/// Prints the table.
pub fn table(seeds: &[u64]) -> String {
    let mut text = String::new();
    for (name, case) in CASES {
        let mut table = TextTable::new(
            &format!("Fleet, {name}"),
            "A day in four hours: the work rises and falls fivefold and swings every three \
             minutes; five reclaims of all preemptible endpoints of a failure domain; none are \
             to be had for twenty minutes around the peak. Starting takes a minute. Median \
             (range) over the seeds.",
            &[
                "fleet",
                "cost, reserved endpoints",
                "urgent work late, %",
                "late within 2 min of a reclaim, %",
                "cheap share, %",
                "deferrable work that waited over a minute, %",
            ],
        );
        for row in rows(case, seeds) {
            table.row(&[
                row.name.to_string(),
                row.cost.to_string(),
                two_digits(row.late),
                two_digits(row.late_after_reclaim),
                row.cheap_share.to_string(),
                row.deferred.to_string(),
            ]);
        }
        text.push_str(&table.finish());
    }
    text
}

fn two_digits(range: MedianRange) -> String {
    let (median, least, greatest) = (range.median, range.least, range.greatest);
    format!("{median:.2} ({least:.2}–{greatest:.2})")
}
