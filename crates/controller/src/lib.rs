//! The controller: the duties that need authority.
//!
//! Every instance runs one. Controllers share the duties out among themselves
//! through leases in the log ([`duties`]); whoever holds a duty does its work
//! and stops at once when it can't count on the lease any more.

pub mod daemon;
pub mod duties;
pub mod error;
pub mod members;
pub mod metrics;
pub mod settings;

pub use daemon::{RunningController, start};
pub use error::ControllerError;
pub use settings::ControllerSettings;
