//! `bluebell-lab`: policy experiments in virtual time.
//!
//! `tables` drives the decision slices of `bluebell-core` against small fakes,
//! in the two scenarios of today's sizes, and prints each policy beside its
//! baselines in the same run. `capacity` measures how the slices' costs grow.
//! All draws come from fixed seeds, so `tables` prints the same each time.

pub mod brownout;
pub mod commands;
pub mod engine;
pub mod fluid;
pub mod policy;
pub mod scenario;
pub mod slopes;
pub mod tables;
pub mod world;
