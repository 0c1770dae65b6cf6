//! Retry budgets against unlimited retries, through a brown-out.

use crate::{
    brownout::{RetryRule, StormResult, run_storm},
    tables::{MedianRange, TextTable},
};

/// What one rule did over all seeds.
pub struct RetryRow {
    /// The rule.
    pub name: &'static str,
    /// Attempts for each request at the worst second.
    pub peak_attempts: MedianRange,
    /// Seconds until all is as before once the server is.
    pub recovery: MedianRange,
    /// Percent of all requests answered.
    pub answered: MedianRange,
}

/// Runs the rules.
pub fn rows(seeds: &[u64]) -> Vec<RetryRow> {
    let row = |(name, rule)| {
        let results: Vec<StormResult> = seeds.iter().map(|seed| run_storm(rule, *seed)).collect();
        let over = |value: &dyn Fn(&StormResult) -> f64| {
            MedianRange::new(results.iter().map(value).collect())
        };
        RetryRow {
            name,
            peak_attempts: over(&|r| r.peak_attempts),
            recovery: over(&|r| r.recovery),
            answered: over(&|r| r.answered),
        }
    };
    [
        ("budget", RetryRule::Budget),
        ("three attempts with backoff", RetryRule::Backoff),
        ("three attempts at once", RetryRule::AtOnce),
        ("none", RetryRule::Never),
    ]
    .into_iter()
    .map(row)
    .collect()
}

/// Prints the table.
pub fn table(seeds: &[u64]) -> String {
    let mut table = TextTable::new(
        "Retry storm",
        "A server at 80% of its capacity does 40% of it for thirty seconds; attempts time out \
         after a second, and the server does them all the same. Median (range) over the seeds.",
        &[
            "retries",
            "attempts per request, worst second",
            "seconds to recover after the cause",
            "answered, %",
        ],
    );
    for row in rows(seeds) {
        table.row(&[
            row.name.to_string(),
            row.peak_attempts.to_string(),
            row.recovery.to_string(),
            row.answered.to_string(),
        ]);
    }
    table.finish()
}
