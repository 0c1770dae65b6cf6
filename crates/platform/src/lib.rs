//! The platform's interfaces: their types, and a client for them.
//!
//! The platform runs the log, the list of instances, the endpoint interface,
//! the weight store and the usage intake. [`api`] holds what travels,
//! [`client::PlatformClient`] sends it.

pub mod api;
pub mod client;

pub use client::{PlatformClient, PlatformError};
