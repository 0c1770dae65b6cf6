//! The router against random, round robin and least outstanding.

use bluebell_core::clock::TimeSpan;

use crate::{
    policy::{LabPolicy, RoutingRule},
    scenario::LabScenario,
    tables::{MedianRange, TextTable},
    world::{RunResult, run},
};

/// How old the engines' reports are.
pub const LAGS: [u64; 3] = [1, 3, 10];

/// What one policy did over all seeds.
pub struct RoutingRow {
    /// The policy.
    pub name: &'static str,
    /// Requests served in time in a second.
    pub goodput: MedianRange,
    /// Percent served in time.
    pub served: MedianRange,
    /// The 95th percentile of the time to the first token, in ms.
    pub first_token: MedianRange,
}

/// The policies compared.
pub fn policies(lag: u64) -> Vec<LabPolicy> {
    let lag = TimeSpan::from_secs(lag);
    [
        ("router", RoutingRule::Router),
        ("least outstanding, own", RoutingRule::LeastOutstanding),
        ("least outstanding, reported", RoutingRule::LeastReported),
        ("round robin", RoutingRule::RoundRobin),
        ("random", RoutingRule::Random),
    ]
    .into_iter()
    .map(|(name, rule)| LabPolicy::new(name).with_routing(rule).with_lag(lag))
    .collect()
}

/// Runs the policies with reports that lag `lag` seconds.
pub fn rows(scenario: &LabScenario, lag: u64, seeds: &[u64]) -> Vec<RoutingRow> {
    let row = |policy: LabPolicy| {
        let results: Vec<RunResult> = seeds.iter().map(|s| run(scenario, &policy, *s)).collect();
        let over = |value: &dyn Fn(&RunResult) -> f64| {
            MedianRange::new(results.iter().map(value).collect())
        };
        RoutingRow {
            name: policy.name,
            goodput: over(&RunResult::goodput),
            served: over(&RunResult::served_percent),
            first_token: over(&RunResult::first_token_p95),
        }
    };
    policies(lag).into_iter().map(row).collect()
}

/// Prints the table.
pub fn table(seeds: &[u64]) -> String {
    let mut text = String::new();
    for scenario in [LabScenario::magnolia(), LabScenario::formosa()] {
        let scenario = scenario.without_flood();
        let mut table = TextTable::new(
            &format!("Routing, {}", scenario.name),
            "The scenario without the flood; admission is the fair queue in all rows. \
             Median (range) over the seeds.",
            &[
                "reports lag",
                "routing",
                "goodput, req/s",
                "served in time, %",
                "first token p95, ms",
            ],
        );
        for lag in LAGS {
            for row in rows(&scenario, lag, seeds) {
                table.row(&[
                    format!("{lag} s"),
                    row.name.to_string(),
                    row.goodput.to_string(),
                    row.served.to_string(),
                    row.first_token.to_string(),
                ]);
            }
        }
        text.push_str(&table.finish());
    }
    text
}
