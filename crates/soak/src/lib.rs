//! A randomized soak: the real entry program as several processes on loopback,
//! before stand-ins of the platform, with faults injected from outside.
//!
//! A seed gives a schedule of faults that come in series and overlap: processes
//! are killed, paused, stopped and restarted by signals; paths to the store and to
//! endpoints are delayed, reset, cut one way or silenced by proxies; the store and
//! endpoints misbehave; the configuration changes. Callers go on all the while, as
//! the users' clients do. What callers got and what endpoints ran is held against
//! the promises as it happens.
//!
//! The schedule is the same for the same seed; how the processes meet it is not.

pub mod caller;
pub mod commands;
pub mod fleet;
pub mod inject;
pub mod operator;
pub mod process;
pub mod processes;
pub mod promises;
pub mod proxy;
pub mod refusals;
pub mod rests;
pub mod rotation;
pub mod run;
pub mod schedule;
