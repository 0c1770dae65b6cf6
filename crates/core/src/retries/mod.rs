//! Retry budgets, which prevent retries from prolonging an overload.
//!
//! When endpoints slow down, attempts of all callers fail and are sent again. With
//! three attempts each, a pool that lacks a tenth of its capacity receives three times
//! its load and stays overloaded after the cause has passed. Retries are therefore
//! limited by a budget: the budget of an organisation grows with a share of its
//! successful requests and at a small minimum rate, and a retry that exceeds the budget
//! is refused immediately. A retry storm shows in a number of attempts far above the
//! number of requests; with the budget, attempts exceed requests by the share and the
//! minimum at most.

mod arrivals;
mod shared;

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

pub use self::{
    arrivals::{EngineArrival, EngineCall, RequestArrivals},
    shared::{RetryAllowance, RetryStatus, SharedRetryBudget},
};
use crate::{
    clock::{ClockTime, TimeSpan},
    ids::OrganisationId,
};

/// Budget units that one retry costs.
const UNITS_PER_RETRY: u64 = 1_000;

/// Settings of the retry budgets and of the backoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetrySettings {
    /// Retries that are granted per hundred successful requests.
    pub share: u32,
    /// Retries per ten seconds that each organisation is always granted.
    pub minimum: u32,
    /// Maximum number of retries that a budget accumulates.
    pub most: u32,
    /// Maximum number of attempts per request.
    pub attempts: u32,
    /// Maximum wait before the second attempt; it doubles for each further attempt.
    pub first_backoff: TimeSpan,
    /// Maximum wait before any attempt.
    pub most_backoff: TimeSpan,
}

impl Default for RetrySettings {
    fn default() -> RetrySettings {
        RetrySettings {
            share: 10,
            minimum: 5,
            most: 20,
            attempts: 3,
            first_backoff: TimeSpan::from_millis(50),
            most_backoff: TimeSpan::from_secs(1),
        }
    }
}

/// Decision whether a failed attempt is retried.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "snake_case")]
pub enum RetryDecision {
    /// The request is retried after a wait.
    Retry {
        /// Time to wait before the retry.
        after: TimeSpan,
        /// Reason for the decision, for log events.
        reason: String,
    },
    /// The request is not retried; its caller gets a final answer now.
    GiveUp {
        /// Reason for the decision, for log events.
        reason: String,
    },
}

#[derive(Clone, Copy, Debug)]
struct BudgetState {
    units: u64,
    /// Units that were added for requests and not taken back for failed ones.
    earned: u64,
    refilled_at: ClockTime,
}

/// Retry budgets of all organisations at one entry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    random: ChaCha8Rng,
    budgets: BTreeMap<OrganisationId, BudgetState>,
}

impl RetryBudget {
    /// Creates the budgets; each organisation starts with the minimum.
    pub fn new(settings: RetrySettings) -> RetryBudget {
        RetryBudget {
            settings,
            random: ChaCha8Rng::seed_from_u64(0),
            budgets: BTreeMap::new(),
        }
    }

    /// Sets the seed of the jitter of waits.
    pub fn with_seed(mut self, seed: u64) -> RetryBudget {
        self.random = ChaCha8Rng::seed_from_u64(seed);
        self
    }

    /// Records the first attempt of a request, which adds a share of a retry to the
    /// budget. The share is taken back if an attempt of the request fails.
    pub fn note_request(&mut self, now: ClockTime, organisation: &OrganisationId) {
        let earned = self.earned();
        let max_units = UNITS_PER_RETRY * u64::from(self.settings.most);
        let budget = self.refilled(now, organisation);
        budget.units = (budget.units + earned).min(max_units);
        budget.earned = (budget.earned + earned).min(max_units);
    }

    /// Decides whether a repeatable request is retried after the failure of its attempt
    /// number `failed` (from 1). If it is, the retry is charged to the budget.
    pub fn try_retry(
        &mut self,
        now: ClockTime,
        organisation: &OrganisationId,
        failed: u32,
    ) -> RetryDecision {
        if failed >= self.settings.attempts {
            let reason = format!("{failed} attempts failed, the maximum per request");
            return RetryDecision::GiveUp { reason };
        }
        let earned = self.earned();
        let budget = self.refilled(now, organisation);
        // The failure takes back the share that the request added. In an outage the
        // budget therefore doesn't grow, and a pool that has just recovered doesn't
        // receive a burst of retries.
        let taken_back = earned.min(budget.earned);
        budget.earned -= taken_back;
        budget.units = budget.units.saturating_sub(taken_back);
        if budget.units < UNITS_PER_RETRY {
            let reason = format!("the retry budget of `{organisation}` is exhausted");
            return RetryDecision::GiveUp { reason };
        }
        budget.units -= UNITS_PER_RETRY;
        let remaining = budget.units / UNITS_PER_RETRY;
        let after = self.backoff(failed);
        let reason = format!("`{organisation}` has {remaining} retries left");
        RetryDecision::Retry { after, reason }
    }

    /// Number of retries that the organisation could make now.
    pub fn remaining(&mut self, now: ClockTime, organisation: &OrganisationId) -> u64 {
        self.refilled(now, organisation).units / UNITS_PER_RETRY
    }

    /// Removes the budgets of organisations that have sent nothing for `idle`.
    pub fn sweep(&mut self, now: ClockTime, idle: TimeSpan) {
        self.budgets
            .retain(|_, budget| now.since(budget.refilled_at) < idle);
    }

    fn earned(&self) -> u64 {
        UNITS_PER_RETRY * u64::from(self.settings.share) / 100
    }

    fn refilled(&mut self, now: ClockTime, organisation: &OrganisationId) -> &mut BudgetState {
        let minimum = UNITS_PER_RETRY * u64::from(self.settings.minimum);
        if !self.budgets.contains_key(organisation) {
            let initial = BudgetState {
                units: minimum,
                earned: 0,
                refilled_at: now,
            };
            self.budgets.insert(organisation.clone(), initial);
        }
        let budget = self
            .budgets
            .get_mut(organisation)
            .expect("it was just inserted");
        let elapsed = now.since(budget.refilled_at).as_millis();
        let refill = minimum * elapsed / 10_000;
        if refill > 0 || minimum == 0 {
            // The minimum rate fills the budget only up to the minimum; anything above
            // is added by requests.
            budget.units = budget.units.max((budget.units + refill).min(minimum));
            budget.refilled_at = now;
        }
        budget
    }

    fn backoff(&mut self, failed: u32) -> TimeSpan {
        let doubled = self
            .settings
            .first_backoff
            .times(1 << failed.saturating_sub(1).min(16));
        let max_ms = doubled.min(self.settings.most_backoff).as_millis().max(1);
        TimeSpan::from_millis(self.random.random_range(max_ms / 2..=max_ms))
    }
}
