//! The decisions of bluebellhollow, as a pure library.
//!
//! Every duty of the system is a vertical slice: a module with its state, its
//! messages and (under `tests/`) its tests. A slice is a plain struct that is
//! told the time and what happened, and answers with what to do. It opens no
//! socket, reads no clock, draws no ambient randomness and iterates no hash
//! map, so any failure can be played to it as a list of messages and replays
//! to the same answer. The daemons only move bytes between slices and sockets.
//!
//! Whatever processes must agree on is decided by the *reader's rule*: the
//! platform's log orders all records, every process folds the same prefix
//! through [`view::FleetView`], and the first valid record wins.

pub mod admission;
pub mod attempts;
pub mod authority;
pub mod checkpoint;
pub mod claims;
pub mod clock;
pub mod config;
pub mod directory;
pub mod draining;
pub mod fleet;
pub mod ids;
pub mod ingress;
pub mod keys;
pub mod leadership;
pub mod membership;
pub mod orders;
pub mod placement;
pub mod provision;
pub mod publication;
pub mod quarantine;
pub mod records;
pub mod relay;
pub mod retries;
pub mod roles;
pub mod routing;
pub mod units;
pub mod usage;
pub mod view;
pub mod writers;
