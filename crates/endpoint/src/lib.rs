//! The interfaces of endpoints (model engines and plain services) and clients for them.

pub mod api;
mod bodies;
pub mod client;
pub mod orders;
pub mod reference;

pub use client::{EndpointClient, EndpointError};
