//! Common parts of all daemons: checked settings, structured logs, metrics, a state
//! dump, readiness, and graceful shutdown.

pub mod journal;
pub mod logs;
pub mod ops;
pub mod program;
pub mod settings;
pub mod shutdown;
