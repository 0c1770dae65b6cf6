//! Load on running entries, and what came back.
//!
//! [`plan`] says what is sent and [`arrivals`] turns it into a list of requests
//! with their times, the same for the same seed. [`run`] sends them when they
//! are due, however slow the answers are (an open loop: callers at kiosks do
//! not wait for each other). [`caller`] reads an answer as a kiosk would,
//! [`verdict`] compares it with what the stand-in's model must have said, and
//! [`report`] sums up. [`compare`] measures what an entry adds.

pub mod arrivals;
pub mod caller;
pub mod commands;
pub mod compare;
pub mod plain;
pub mod plan;
pub mod report;
pub mod run;
pub mod times;
pub mod verdict;
