//! What every daemon has: checked settings, structured logs, metrics, a state
//! dump, readiness, and a clean end.

pub mod journal;
pub mod logs;
pub mod ops;
pub mod program;
pub mod settings;
pub mod shutdown;
