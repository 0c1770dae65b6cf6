//! How much of a demand engines with given roles can serve.

use serde::{Deserialize, Serialize};

use crate::{records::EngineRole, roles::TokenDemand, units::TokenRate};

/// What one engine does in a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineRates {
    /// Prompt tokens, if it only prefills.
    pub prefill: TokenRate,
    /// Output tokens, if it only decodes.
    pub decode: TokenRate,
    /// Percent of those rates that an engine reaches that does both, as prompts
    /// interrupt its decoding.
    pub mixed_percent: u32,
}

impl Default for EngineRates {
    fn default() -> EngineRates {
        EngineRates {
            prefill: TokenRate::new(8_000),
            decode: TokenRate::new(1_500),
            mixed_percent: 80,
        }
    }
}

/// How many engines have each role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleCounts {
    /// Engines that do both.
    pub mixed: u64,
    /// Engines that only prefill.
    pub prefill: u64,
    /// Engines that only decode.
    pub decode: u64,
}

impl RoleCounts {
    /// The count of a role.
    pub fn of(&mut self, role: EngineRole) -> &mut u64 {
        match role {
            EngineRole::Mixed => &mut self.mixed,
            EngineRole::Prefill => &mut self.prefill,
            EngineRole::Decode => &mut self.decode,
        }
    }

    /// The counts with one engine fewer of `role`.
    pub fn without(mut self, role: EngineRole) -> RoleCounts {
        let count = self.of(role);
        *count = count.saturating_sub(1);
        self
    }

    /// The counts with one engine more of `role`.
    pub fn with(mut self, role: EngineRole) -> RoleCounts {
        *self.of(role) += 1;
        self
    }
}

/// The share of `demand` that the engines can serve, in thousandths; above 1,000
/// it tells how much more they could serve. Engines with one role work first,
/// and mixed ones take what is left of both kinds.
pub fn servable_share(counts: RoleCounts, demand: TokenDemand, rates: EngineRates) -> u64 {
    const MOST: u64 = 4_000;
    let fits = |share: u64| {
        let prefill = demand.prefill.count() * share / 1_000;
        let decode = demand.decode.count() * share / 1_000;
        let left_prefill = prefill.saturating_sub(counts.prefill * rates.prefill.count());
        let left_decode = decode.saturating_sub(counts.decode * rates.decode.count());
        // Both in thousandths of one engine's time.
        let prefill_time = left_prefill * 1_000 / rates.prefill.count().max(1);
        let decode_time = left_decode * 1_000 / rates.decode.count().max(1);
        let available = counts.mixed * u64::from(rates.mixed_percent) * 10;
        prefill_time + decode_time <= available
    };
    let (mut low, mut high) = (0, MOST);
    while low < high {
        let middle = (low + high).div_ceil(2);
        match fits(middle) {
            true => low = middle,
            false => high = middle - 1,
        }
    }
    low
}
