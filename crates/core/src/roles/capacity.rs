//! The share of a demand that engines with given roles can serve.

use serde::{Deserialize, Serialize};

use crate::{records::EngineRole, roles::TokenDemand, units::TokenRate};

/// The throughput of one engine per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineRates {
    /// Prompt tokens per second of an engine that only prefills.
    pub prefill: TokenRate,
    /// Output tokens per second of an engine that only decodes.
    pub decode: TokenRate,
    /// The percentage of those rates that a mixed engine reaches: prompts interrupt its
    /// decoding.
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

/// The number of engines in each role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleCounts {
    /// Engines that prefill and decode.
    pub mixed: u64,
    /// Engines that only prefill.
    pub prefill: u64,
    /// Engines that only decode.
    pub decode: u64,
}

impl RoleCounts {
    /// The count of `role`, for changing it.
    pub fn of(&mut self, role: EngineRole) -> &mut u64 {
        match role {
            EngineRole::Mixed => &mut self.mixed,
            EngineRole::Prefill => &mut self.prefill,
            EngineRole::Decode => &mut self.decode,
        }
    }

    /// The counts with one engine less in `role`.
    pub fn without(mut self, role: EngineRole) -> RoleCounts {
        let count = self.of(role);
        *count = count.saturating_sub(1);
        self
    }

    /// The counts with one more engine in `role`.
    pub fn with(mut self, role: EngineRole) -> RoleCounts {
        *self.of(role) += 1;
        self
    }
}

/// The share of `demand` that the engines can serve, in thousandths, limited to 4,000.
/// A value above 1,000 means that there is spare capacity. Engines with a single role
/// are used first, and mixed ones serve the rest of both kinds.
pub fn servable_share(counts: RoleCounts, demand: TokenDemand, rates: EngineRates) -> u64 {
    const MAX_SHARE: u64 = 4_000;
    let is_servable = |share: u64| {
        let prefill = demand.prefill.count() * share / 1_000;
        let decode = demand.decode.count() * share / 1_000;
        let remaining_prefill = prefill.saturating_sub(counts.prefill * rates.prefill.count());
        let remaining_decode = decode.saturating_sub(counts.decode * rates.decode.count());
        // Both are in thousandths of one engine's time.
        let prefill_time = remaining_prefill * 1_000 / rates.prefill.count().max(1);
        let decode_time = remaining_decode * 1_000 / rates.decode.count().max(1);
        let available = counts.mixed * u64::from(rates.mixed_percent) * 10;
        prefill_time + decode_time <= available
    };
    let (mut low, mut high) = (0, MAX_SHARE);
    while low < high {
        let middle = (low + high).div_ceil(2);
        match is_servable(middle) {
            true => low = middle,
            false => high = middle - 1,
        }
    }
    low
}
