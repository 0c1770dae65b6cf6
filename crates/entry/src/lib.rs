//! The server for callers: API keys, admission, routing, attempts, streaming and
//! metering.
//!
//! A request arrives over HTTP ([`chat`], [`plain`]), is admitted by its headers
//! ([`context::EntryContext::admit`]) and becomes a run ([`model_run`],
//! [`plain_run`]) that sends attempts to endpoints. A model's answer is sent to
//! its caller by [`answer_body`].

pub mod active_keys;
pub mod answer_body;
pub mod body;
pub mod caller;
pub mod chat;
pub mod claims;
pub mod context;
pub mod crash;
pub mod delivered;
pub mod directory;
pub mod metering;
pub mod metrics;
pub mod model_run;
pub mod plain;
pub mod plain_run;
pub mod refusal;
pub mod server;
pub mod settings;
pub mod traffic;
pub mod traffic_feed;

pub use server::{RunningEntry, start};
pub use settings::EntrySettings;
