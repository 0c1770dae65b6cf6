//! The controller: the duties that need authority.
//!
//! Every instance runs one. Controllers share the duties out among themselves
//! through leases in the log ([`duties`]); whoever holds a duty does its work
//! and stops at once when it can't count on the lease any more.

pub mod checkpoints;
pub mod context;
pub mod daemon;
pub mod demand;
pub mod directory;
pub mod duties;
pub mod engines;
pub mod error;
pub mod fleet;
pub mod fleet_plan;
pub mod marks;
pub mod members;
pub mod metrics;
pub mod plans;
pub mod receivers;
pub mod role_plan;
pub mod settings;
pub mod steps;
pub mod usage;

pub use daemon::{RunningController, start};
pub use error::ControllerError;
pub use settings::ControllerSettings;
