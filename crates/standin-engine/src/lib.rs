//! A stand-in for a model engine.
//!
//! It models cheaply what our processes can observe of one: continuous
//! batching ([`batch`]), a limited prefix cache ([`cache`]), lagging reports,
//! orders that take seconds ([`orders`]), KV cache that can be handed over,
//! and faults that are switched on through `POST /control/faults`
//! ([`faults::EngineFaults`]). The tokens themselves are those of
//! [`bluebell_endpoint::reference`]. What reached the engine can be read back
//! at `GET /control/history` ([`history::EngineEvent`]).

pub mod batch;
pub mod cache;
mod control;
pub mod faults;
mod generate;
pub mod history;
mod kv;
pub mod orders;
pub mod power;
mod reports;
mod scheduler;
mod server;
pub mod settings;
mod state;
mod stream;

pub use control::CrashRequest;
pub use server::{RunningEngine, start};
pub use settings::EngineSettings;
