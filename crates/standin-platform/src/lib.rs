//! A stand-in for the platform: the log, the list of instances, the endpoint
//! interface, the weight store and the usage intake, all in memory.
//!
//! [`start`] runs one inside a test or an embedded fleet; the program of the
//! same name runs it alone. What can go wrong with a platform is switched on
//! through `POST /control/faults` ([`faults::PlatformFaults`]), and what
//! reached it can be read back at `GET /control/history`
//! ([`history::PlatformHistory`]).

mod book;
mod endpoints;
pub mod faults;
pub mod history;
mod instances;
mod log;
mod power;
mod rate;
mod sender;
pub mod server;
pub mod settings;
mod state;
mod usage;
mod weights;

pub use book::ReclaimRequest;
pub use server::{PlatformStandin, RunningPlatform, start};
pub use settings::PlatformSettings;
