//! Assigns the roles prefill, decode or mixed to engines.
//!
//! The ratio of prompt to output tokens varies within minutes, and a change of role
//! makes an engine unavailable for seconds. So the benefit of a change must exceed its
//! cost: [`RolePlanner`] compares the servable share of the demand with and without the
//! change over a horizon and subtracts the loss while the engine changes. It makes the
//! change only if a minimum gain remains by the demand of both the short *and* the long
//! window. Until then, mixed engines absorb a shift by the composition of their batches.
//!
//! The demand is measured by arrivals less cancellations ([`DemandEstimator`]), not by
//! served tokens: a fleet that lacks decode capacity serves few output tokens, and a
//! planner based on those would reduce its decode capacity further.

pub mod baselines;
mod capacity;
mod demand;
mod planner;

pub use capacity::{EngineRates, RoleCounts, servable_share};
pub use demand::{DemandEstimator, PoolDemand, TokenDemand};
pub use planner::{PlannedRoleChange, RoleEngine, RoleInputs, RolePlanner, RoleSettings};
