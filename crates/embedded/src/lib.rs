//! The whole system on loopback, in one process.
//!
//! All programs are libraries with a thin binary; here they run as tasks: the
//! stand-ins for platform, engines and plain services, some entries and some
//! controllers. The sample configuration is published through the same code
//! that `bluebell publish` runs. It is for newcomers and for trying things out;
//! in production each program is a process of its own.

pub mod endpoints;
pub mod fleet;
pub mod greeting;
pub mod layout;

pub use fleet::{EmbeddedFleet, start};
pub use layout::{FleetLayout, SampleUser};
