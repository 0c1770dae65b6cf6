//! Load on running entries, and what came back.
//!
//! [`caller`] sends one chat request and reads its answer as a kiosk would;
//! [`verdict`] compares the answer with what the stand-in's model must have said.

pub mod caller;
pub mod verdict;
