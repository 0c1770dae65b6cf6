//! Budgets that keep retries from outliving their cause.
//!
//! When endpoints slow down, every caller's attempt fails and is sent again;
//! with three attempts each, a pool that lacks a tenth of its capacity gets
//! three times its load and stays down after the cause is gone. So retries are
//! paid for by requests that succeed: an organisation's budget grows by a share
//! of those and by a small minimum rate, and a retry without budget is refused
//! at once. One notices a storm by attempts far above requests; with
//! the budget they can't exceed them by more than the share and the minimum.

mod arrivals;
mod shared;

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

pub use self::{
    arrivals::{EngineArrival, RequestArrivals},
    shared::{RetryAllowance, SharedRetryBudget},
};
use crate::{
    clock::{ClockTime, TimeSpan},
    ids::OrganisationId,
};

/// Budget units for one retry.
const RETRY_UNITS: u64 = 1_000;

/// How retries are paid for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetrySettings {
    /// Retries for every hundred requests that succeed.
    pub share: u32,
    /// Retries in ten seconds that an organisation always has.
    pub minimum: u32,
    /// The most retries that can be saved up.
    pub most: u32,
    /// The most attempts of one request.
    pub attempts: u32,
    /// The wait before the second attempt, at most; it doubles for each next.
    pub first_backoff: TimeSpan,
    /// The longest wait before an attempt.
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

/// Whether a failed attempt may be followed by another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "snake_case")]
pub enum RetryDecision {
    /// Yes, after a wait.
    Retry {
        /// How long to wait first.
        after: TimeSpan,
        /// Why, for the journal.
        reason: String,
    },
    /// No: the caller gets a final answer now.
    GiveUp {
        /// Why, for the journal.
        reason: String,
    },
}

#[derive(Clone, Copy, Debug)]
struct BudgetState {
    units: u64,
    /// What requests earned and failures have not given back.
    earned: u64,
    refilled_at: ClockTime,
}

/// The retry budgets of all organisations at one entry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    random: ChaCha8Rng,
    budgets: BTreeMap<OrganisationId, BudgetState>,
}

impl RetryBudget {
    /// Everybody has the minimum.
    pub fn new(settings: RetrySettings) -> RetryBudget {
        RetryBudget {
            settings,
            random: ChaCha8Rng::seed_from_u64(0),
            budgets: BTreeMap::new(),
        }
    }

    /// Draws the jitter of waits from `seed`.
    pub fn with_seed(mut self, seed: u64) -> RetryBudget {
        self.random = ChaCha8Rng::seed_from_u64(seed);
        self
    }

    /// A request's first attempt is sent: it pays for a share of a retry, unless
    /// it fails.
    pub fn note_request(&mut self, now: ClockTime, organisation: &OrganisationId) {
        let earned = self.earned();
        let most = RETRY_UNITS * u64::from(self.settings.most);
        let budget = self.refilled(now, organisation);
        budget.units = (budget.units + earned).min(most);
        budget.earned = (budget.earned + earned).min(most);
    }

    /// Attempt number `failed` (from 1) of a repeatable request failed. A retry
    /// is paid for here and now.
    pub fn try_retry(
        &mut self,
        now: ClockTime,
        organisation: &OrganisationId,
        failed: u32,
    ) -> RetryDecision {
        if failed >= self.settings.attempts {
            let reason = format!("{failed} attempts failed, the most that are made");
            return RetryDecision::GiveUp { reason };
        }
        let earned = self.earned();
        let budget = self.refilled(now, organisation);
        // A request that fails gives back what it earned: in an outage nothing is
        // earned, and a pool that has just come back isn't met by retries.
        let returned = earned.min(budget.earned);
        budget.earned -= returned;
        budget.units = budget.units.saturating_sub(returned);
        if budget.units < RETRY_UNITS {
            let reason = format!("the retry budget of `{organisation}` is used up");
            return RetryDecision::GiveUp { reason };
        }
        budget.units -= RETRY_UNITS;
        let left = budget.units / RETRY_UNITS;
        let after = self.backoff(failed);
        let reason = format!("`{organisation}` has {left} more retries");
        RetryDecision::Retry { after, reason }
    }

    /// Retries that the organisation could make now.
    pub fn left(&mut self, now: ClockTime, organisation: &OrganisationId) -> u64 {
        self.refilled(now, organisation).units / RETRY_UNITS
    }

    /// Forgets organisations that have not sent for `idle`.
    pub fn sweep(&mut self, now: ClockTime, idle: TimeSpan) {
        self.budgets
            .retain(|_, budget| now.since(budget.refilled_at) < idle);
    }

    fn earned(&self) -> u64 {
        RETRY_UNITS * u64::from(self.settings.share) / 100
    }

    fn refilled(&mut self, now: ClockTime, organisation: &OrganisationId) -> &mut BudgetState {
        let minimum = RETRY_UNITS * u64::from(self.settings.minimum);
        if !self.budgets.contains_key(organisation) {
            let fresh = BudgetState {
                units: minimum,
                earned: 0,
                refilled_at: now,
            };
            self.budgets.insert(organisation.clone(), fresh);
        }
        let budget = self
            .budgets
            .get_mut(organisation)
            .expect("it was just inserted");
        let elapsed = now.since(budget.refilled_at).as_millis();
        let refill = minimum * elapsed / 10_000;
        if refill > 0 || minimum == 0 {
            // The minimum only fills up to itself; more is paid for by requests.
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
        let most = doubled.min(self.settings.most_backoff).as_millis().max(1);
        TimeSpan::from_millis(self.random.random_range(most / 2..=most))
    }
}
