//! The decision logic of bluebellhollow, as a deterministic library without I/O.
//!
//! Each responsibility of the system is one module with its state and messages, and with
//! its tests under `tests/`. The state is a plain struct whose methods take the current
//! time and an event, and return the action to take. It opens no socket, reads no clock,
//! uses no ambient randomness and iterates over no hash map, so a failure can be
//! reproduced from a list of messages, with the same result on every run. The daemons
//! only transfer data between these modules and sockets.
//!
//! Processes agree by applying the same log: the platform's log orders all records, every
//! process applies them in that order through [`view::FleetView`], and the first valid
//! record takes effect.

pub mod admission;
pub mod attempts;
pub mod authority;
pub mod backups;
pub mod checkpoint;
pub mod claims;
pub mod clock;
pub mod config;
pub mod connections;
pub mod directory;
pub mod draining;
pub mod endpoint_limits;
pub mod endpoint_notices;
pub mod fleet;
pub mod ids;
pub mod ingress;
pub mod keys;
pub mod leadership;
pub mod membership;
pub mod memory;
pub mod orders;
pub mod placement;
pub mod provision;
pub mod publication;
pub mod quarantine;
pub mod quota;
pub mod reachability;
pub mod records;
pub mod relay;
pub mod retries;
pub mod roles;
pub mod room;
pub mod routing;
pub mod shutdown;
pub mod streams;
pub mod units;
pub mod usage;
pub mod view;
pub mod writers;
