//! The interfaces of endpoints: model engines and plain services.

pub mod api;
pub mod client;
pub mod orders;
pub mod reference;

pub use client::{EndpointClient, EndpointError};
