//! The program of an entry instance on the users' platform.
//!
//! Every instance runs one process, which accepts requests of callers ([`frontend`]),
//! forwards them to endpoints ([`forward`]), follows the configuration and the endpoints
//! in the store ([`sync`]) and exchanges messages with the other instances ([`peers`]), from
//! which it also copies the state of the store (`state_transfer`).
//! The instance that is the leader also reports usage and orders endpoints ([`leader`]).
//! The decision logic is in `bluebell-core`; names and formats of the platform are in
//! `bluebell-adapter`.

mod compression;
pub mod context;
mod crash_records;
pub mod engine_loads;
pub mod forward;
pub mod frontend;
mod hop_headers;
pub mod leader;
pub mod logs;
mod memory;
pub mod metrics;
pub mod peers;
pub mod program;
pub mod ready;
mod shared;
pub mod shutdown;
mod state_transfer;
mod stream_origins;
pub mod sync;
pub mod time;
