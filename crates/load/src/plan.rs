//! What is sent: a TOML file.

use bluebell_core::{clock::TimeSpan, config::WorkPriority};
use bluebell_daemon::settings::SettingProblem;
use serde::{Deserialize, Serialize};

/// A run of load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// The same seed gives the same requests at the same times.
    pub seed: u64,
    /// How long requests are sent.
    pub duration: TimeSpan,
    /// The entries, as `ip:port`; requests are spread over them.
    #[serde(default)]
    pub entries: Vec<String>,
    /// Requests in a second, over all organisations.
    pub rate: f64,
    /// The model service that is asked.
    pub service: String,
    /// How long a caller waits for the first token.
    pub first_token_deadline: TimeSpan,
    /// How long a caller bears silence.
    pub patience: TimeSpan,
    /// The share of callers who walk away, from 0 to 1.
    #[serde(default)]
    pub cancel_share: f64,
    /// Who asks.
    pub organisations: Vec<OrganisationMix>,
    /// How long prompts and answers are; between two of these the lengths
    /// shift in a straight line.
    pub lengths: Vec<LengthPoint>,
    /// Calls of a plain service among the requests.
    #[serde(default)]
    pub plain: Option<PlainMix>,
}

/// One organisation's part of the load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationMix {
    /// Its name, for the report.
    pub name: String,
    /// Its key.
    pub key: String,
    /// Its part of the requests, against the others' parts.
    pub part: f64,
    /// The share of its requests that can wait, from 0 to 1.
    #[serde(default)]
    pub deferrable_share: f64,
    /// Tokens that all its prompts begin with.
    #[serde(default)]
    pub shared_prefix: u64,
}

/// How long prompts and answers are at some time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LengthPoint {
    /// The time since the start.
    pub at: TimeSpan,
    /// Tokens of a prompt, on average.
    pub prompt: u64,
    /// Tokens of an answer, on average.
    pub output: u64,
}

/// Calls of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainMix {
    /// The service.
    pub service: String,
    /// Their share of the requests, from 0 to 1.
    pub share: f64,
    /// The path that may be repeated.
    pub path: String,
}

impl LoadPlan {
    /// All that can't be used.
    pub fn problems(&self) -> Vec<SettingProblem> {
        let mut problems = Vec::new();
        let mut check = |fine: bool, field: &str, value: String, expected: &str| {
            if !fine {
                problems.push(SettingProblem::new(field, value, expected));
            }
        };
        let is_share = |share: f64| (0.0..=1.0).contains(&share);
        let rate = self.rate.to_string();
        check(self.rate > 0.0, "rate", rate, "more than `0`");
        let share = self.cancel_share;
        let fine = is_share(share);
        check(fine, "cancel_share", share.to_string(), "from `0` to `1`");
        let none = self.organisations.is_empty();
        check(!none, "organisations", "[]".to_string(), "at least one");
        let none = self.lengths.is_empty();
        check(!none, "lengths", "[]".to_string(), "at least one");
        let sorted = self.lengths.is_sorted_by(|a, b| a.at < b.at);
        check(sorted, "lengths", "unsorted".to_string(), "rising `at`");
        for mix in &self.organisations {
            let part = mix.part.to_string();
            check(mix.part > 0.0, "organisations.part", part, "more than `0`");
            let share = mix.deferrable_share;
            let field = "organisations.deferrable_share";
            check(is_share(share), field, share.to_string(), "from `0` to `1`");
        }
        if let Some(plain) = &self.plain {
            let share = plain.share;
            let fine = is_share(share);
            check(fine, "plain.share", share.to_string(), "from `0` to `1`");
        }
        problems
    }

    /// The average lengths at `at`.
    pub fn lengths_at(&self, at: TimeSpan) -> LengthPoint {
        let after = self.lengths.partition_point(|point| point.at <= at);
        let Some(before) = after.checked_sub(1) else {
            return self.lengths[0];
        };
        let from = self.lengths[before];
        let Some(to) = self.lengths.get(after) else {
            return from;
        };
        let span = to.at.saturating_sub(from.at).as_millis().max(1) as f64;
        let share = at.saturating_sub(from.at).as_millis() as f64 / span;
        let between = |a: u64, b: u64| (a as f64 + (b as f64 - a as f64) * share).round() as u64;
        LengthPoint {
            at,
            prompt: between(from.prompt, to.prompt),
            output: between(from.output, to.output),
        }
    }
}

/// The priority of a request that can wait or can't.
pub fn priority(deferrable: bool) -> WorkPriority {
    match deferrable {
        true => WorkPriority::Deferrable,
        false => WorkPriority::Interactive,
    }
}
