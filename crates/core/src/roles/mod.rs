//! Which engines do prefill, decode or both.
//!
//! The mix of prompt and output tokens swings within minutes, and a change of
//! role takes an engine away for seconds. So a change must pay for itself:
//! [`RolePlanner`] compares what the fleet could serve of the demand with and
//! without the change over a horizon, takes off what is lost while the engine
//! changes, and does nothing unless the rest is a real gain, by the demand of
//! the last seconds *and* of the last minute. The first answer to a shift is
//! the mixed engines' own batches.
//!
//! Demand is what arrives, less what callers cancel ([`DemandEstimator`]). What
//! is served says nothing: a fleet that lacks decode serves little decode, and
//! a planner that goes by that would take even more of it away.

pub mod baselines;
mod capacity;
mod demand;
mod planner;

pub use capacity::{EngineRates, RoleCounts, servable_share};
pub use demand::{DemandEstimator, PoolDemand, TokenDemand};
pub use planner::{PlannedRoleChange, RoleEngine, RoleInputs, RolePlanner, RoleSettings};
