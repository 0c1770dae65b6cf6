//! Estimates how many engines the demand of a service needs.
//!
//! Engines cost while they run, whether they have work or not. A fleet that was sized for
//! other work may have many times the engines that its requests can ever use at once.

use crate::{
    clock::{ClockTime, TimeSpan},
    directory::{EndpointRegistration, EngineStage},
    provision::{EngineDemand, StageNeeds},
};

/// How long the demand is observed before the fleet is sized by it: longer than it is
/// averaged.
const OBSERVATION_TIME: TimeSpan = TimeSpan::from_millis(4_000);

/// Time constant with which the highest demand is forgotten. A burst is likely to return
/// within that time, and engines that were removed for it start in several seconds.
const PEAK_DECAY: TimeSpan = TimeSpan::from_secs(30);

/// Engines per engine that the highest demand needs: the demand doubles faster than further
/// engines start.
const BURST_FACTOR: f64 = 2.0;

/// The number of engines that a service needs at its highest recent demand.
#[derive(Clone, Copy, Debug, Default)]
pub struct SizeEstimate {
    peak: Option<f64>,
    observed_since: Option<ClockTime>,
    /// Whether the demand was observed for long enough, here or by an earlier leader.
    is_known: bool,
    at: ClockTime,
}

impl SizeEstimate {
    /// Sets the number of engines that an earlier leader found to be needed.
    pub fn set(&mut self, engines: f64) {
        self.peak = Some(engines);
        self.is_known = true;
    }

    /// Updates the estimate with the current demand on the registered `endpoints`.
    pub fn note(
        &mut self,
        now: ClockTime,
        demand: EngineDemand,
        endpoints: &[&EndpointRegistration],
    ) {
        let is_decoding = |entry: &&&EndpointRegistration| entry.stage == Some(EngineStage::Decode);
        let decode_engines = endpoints.iter().filter(is_decoding).count();
        let elapsed = now.since(self.at);
        self.at = now;
        let Some(needs) = StageNeeds::new(demand, decode_engines) else {
            return;
        };
        let observed_since = *self.observed_since.get_or_insert(now);
        self.is_known |= now.since(observed_since) >= OBSERVATION_TIME;
        let decay = (-(elapsed.as_millis() as f64) / PEAK_DECAY.as_millis() as f64).exp();
        let remembered = self.peak.unwrap_or_default() * decay;
        self.peak = Some(remembered.max(needs.prefill + needs.run));
    }

    /// The number of engines that the highest recent demand needs; `None` as long as it is
    /// not known.
    pub fn engines(&self) -> Option<f64> {
        self.peak.filter(|_| self.is_known)
    }

    /// The number of engines in `domains` failure domains that are to be kept for a burst
    /// of the demand and the loss of one of the failure domains.
    pub fn needed(&self, domains: usize) -> Option<f64> {
        let remaining = domains.saturating_sub(1).max(1) as f64;
        let loss_factor = domains.max(1) as f64 / remaining;
        Some(self.engines()? * BURST_FACTOR * loss_factor)
    }
}
