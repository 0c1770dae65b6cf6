//! Roles through a shift of the mix: the planner, static roles, an eager rule.

use bluebell_core::records::EngineRole;

use crate::{
    policy::{LabPolicy, RoleRule},
    scenario::{LabScenario, WorkMix, at},
    tables::{MedianRange, TextTable},
    world::{RunResult, run},
};

/// What one policy did over all seeds.
pub struct RolesRow {
    /// The policy.
    pub name: &'static str,
    /// Requests served in time in a second.
    pub goodput: MedianRange,
    /// Percent served in time.
    pub served: MedianRange,
    /// Percent whose tokens came too slowly.
    pub slow: MedianRange,
    /// The 95th percentile of the time to the first token, in ms.
    pub first_token: MedianRange,
    /// Changes of role.
    pub changes: MedianRange,
}

/// Roles for `engines` engines: every third prefills, every sixth does both, the
/// others decode.
pub fn first_roles(engines: usize) -> Vec<EngineRole> {
    let role = |index: usize| match index % 6 {
        0 | 3 => EngineRole::Prefill,
        5 => EngineRole::Mixed,
        _ => EngineRole::Decode,
    };
    (0..engines).map(role).collect()
}

/// A scenario whose mix shifts for minutes and, in between, for seconds.
pub fn shifting(scenario: LabScenario) -> LabScenario {
    let mix = |secs, prompt, output| WorkMix {
        from: at(secs),
        prompt,
        output,
    };
    scenario
        .without_flood()
        .with_events(Vec::new())
        .with_mixes(vec![
            mix(0, 900.0, 200.0),
            mix(60, 2_600.0, 50.0),
            mix(300, 600.0, 330.0),
            mix(540, 2_600.0, 50.0),
            mix(555, 600.0, 330.0),
            mix(570, 2_600.0, 50.0),
            mix(585, 600.0, 330.0),
        ])
        .with_length(600)
        .with_load(LOAD)
}

/// The percent of the scenario's load, high enough that roles matter.
const LOAD: f64 = 100.0;

/// The policies compared.
pub fn policies(engines: usize) -> Vec<LabPolicy> {
    let first = first_roles(engines);
    vec![
        LabPolicy::new("planner").with_roles(RoleRule::Planner, first.clone()),
        LabPolicy::new("static").with_roles(RoleRule::Static, first.clone()),
        LabPolicy::new("eager").with_roles(RoleRule::Eager, first),
        LabPolicy::new("all mixed, for comparison"),
    ]
}

/// Runs the policies.
pub fn rows(scenario: &LabScenario, seeds: &[u64]) -> Vec<RolesRow> {
    let row = |policy: LabPolicy| {
        let results: Vec<RunResult> = seeds.iter().map(|s| run(scenario, &policy, *s)).collect();
        let over = |value: &dyn Fn(&RunResult) -> f64| {
            MedianRange::new(results.iter().map(value).collect())
        };
        RolesRow {
            name: policy.name,
            goodput: over(&RunResult::goodput),
            served: over(&RunResult::served_percent),
            slow: over(&RunResult::slow_percent),
            first_token: over(&RunResult::first_token_p95),
            changes: over(&|r| r.role_changes as f64),
        }
    };
    let engines = scenario.engines.len();
    policies(engines).into_iter().map(row).collect()
}

/// Prints the table.
pub fn table(seeds: &[u64]) -> String {
    let mut text = String::new();
    for scenario in [LabScenario::magnolia(), LabScenario::formosa()] {
        let scenario = shifting(scenario);
        let mut table = TextTable::new(
            &format!("Roles, {}", scenario.name),
            "The mix shifts to long prompts for four minutes, to long answers for four, then \
             back and forth every 15 s. Median (range) over the seeds.",
            &[
                "roles",
                "goodput, req/s",
                "served in time, %",
                "tokens too slow, %",
                "first token p95, ms",
                "changes of role",
            ],
        );
        for row in rows(&scenario, seeds) {
            table.row(&[
                row.name.to_string(),
                row.goodput.to_string(),
                row.served.to_string(),
                row.slow.to_string(),
                row.first_token.to_string(),
                row.changes.to_string(),
            ]);
        }
        text.push_str(&table.finish());
    }
    text
}
