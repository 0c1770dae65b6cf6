//! A stand-in for a replica of a plain service.
//!
//! It takes any method and path, counts how often each action was executed
//! (`GET /control/history`), and answers with what it did. Faults are switched
//! on through `POST /control/faults` ([`faults::ServiceFaults`]).

mod call;
mod control;
pub mod faults;
pub mod history;
mod server;
pub mod settings;
mod state;

pub use call::ServiceAnswer;
pub use server::{RunningService, start};
pub use settings::ServiceSettings;
