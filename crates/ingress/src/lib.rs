//! The program of an entry instance on the users' platform.
//!
//! Every instance runs one process with everything: it takes callers' requests
//! ([`frontend`]), sends them to endpoints ([`forward`]), follows configuration and
//! endpoints in the store ([`believe`]), talks to the
//! other instances ([`peers`]) and, while it holds the stewardship,
//! reports usage and orders endpoints ([`steward`]). The decisions are slices of
//! `bluebell-core`; names and formats of the platform are in `bluebell-adapter`.

mod compression;
pub mod context;
pub mod forward;
pub mod frontend;
mod hop_headers;
pub mod leader;
pub mod logs;
pub mod metrics;
pub mod peers;
pub mod program;
pub mod ready;
pub mod sync;
pub mod time;
