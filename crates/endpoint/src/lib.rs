//! The interfaces of endpoints: model engines and plain services.

pub mod api;
pub mod orders;
pub mod reference;
