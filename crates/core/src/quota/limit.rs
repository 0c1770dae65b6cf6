//! The limit of an organisation, and the tolerance with which it is checked.

use serde::Serialize;

use crate::{
    clock::TimeSpan,
    units::{TokenCount, TokenRate},
};

/// What a limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitUnit {
    /// Each request counts as 1.
    Requests,
    /// A request counts as its prompt and output tokens.
    Tokens {
        /// The count of a request that doesn't state its tokens.
        unstated: TokenCount,
    },
}

/// The limit of an organisation for all instances together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct RateLimit {
    /// The refill rate, in tokens or requests per second.
    pub rate: TokenRate,
    /// What may be used at once after a pause, in tokens or requests.
    pub burst: TokenCount,
    /// What the rate and the burst count.
    pub unit: LimitUnit,
}

impl RateLimit {
    /// What a request counts that states `tokens`.
    pub fn cost(&self, tokens: Option<TokenCount>) -> TokenCount {
        match self.unit {
            LimitUnit::Requests => TokenCount::new(1),
            LimitUnit::Tokens { unstated } => tokens.unwrap_or(unstated),
        }
    }
}

/// The window in which the operators check limits, and what they tolerate above them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// The length of the window.
    pub window: TimeSpan,
    /// The tolerated fraction above the limit of a window.
    pub overage: f64,
    /// Tolerated in each window in addition, in tokens or requests.
    pub slack: TokenCount,
}

impl QuotaBounds {
    /// The most that may be used of `limit` in any window, tolerance included.
    pub fn allowed(&self, limit: &RateLimit) -> f64 {
        let seconds = self.window.as_millis() as f64 / 1_000.0;
        let allowed = limit.rate.count() as f64 * seconds + limit.burst.count() as f64;
        allowed * (1.0 + self.overage) + self.slack.count() as f64
    }
}
