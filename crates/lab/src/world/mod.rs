//! One run: entries' slices against engine fakes, in virtual time.
//!
//! This is no simulator of a cluster. A fake holds only what a decision reads;
//! there is no network, no log and no platform here, and what travels between
//! entries arrives once a second.

mod entry;
mod result;
mod run;

pub use entry::{EntryFake, model_pool};
pub use result::{OrganisationCount, RequestEnd, RunResult, SecondCount};
pub use run::run;
