//! Support for tests that run the programs as processes.
//!
//! [`process::ProgramProcess`] runs one program, [`fleet::TestFleet`] a whole
//! fleet on loopback, [`link::CutLink`] breaks connections between them, and
//! [`histories`] checks afterwards that what callers, endpoints and the
//! platform saw keeps the system's promises.

pub mod callers;
pub mod control;
pub mod fleet;
pub mod histories;
pub mod link;
pub mod process;
mod publish;
pub mod settings;
pub mod unlocks;
pub mod wait;
