//! The platform's interfaces: their message types, and a client for them.
//!
//! The platform runs the log, the list of instances, the endpoint interface, the
//! weight store and the interface for usage reports. [`api`] defines the messages,
//! [`client::PlatformClient`] sends them.

pub mod api;
pub mod client;

pub use client::{PlatformClient, PlatformError};
