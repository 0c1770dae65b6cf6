//! The interfaces of endpoints: model engines and plain services.

pub mod api;
pub mod reference;
