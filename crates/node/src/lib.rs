//! The node shared by entries and controllers: follows the platform's log,
//! appends to it, and exchanges state with peer instances.
//!
//! The rest of a daemon uses the node through [`NodeHandle`]. One task per node
//! follows the log in order, read from the platform or relayed by a peer, and
//! applies it to a [`bluebell_core::view::FleetView`]; another task appends, one
//! record at a time. Because a writer has at most one append in flight, its
//! sequence numbers appear in the log in order, and every node that follows the
//! log drops an append that timed out and is stored late.
//!
//! [`NodeHandle::join`] adds the peer connections: heartbeats that carry each
//! instance's load, the relay of the log, and urgent records that are sent to
//! peers without waiting for the log.

pub mod admin;
pub mod announce;
pub mod append;
mod apply;
pub mod buffer;
pub mod follow;
pub mod handle;
mod membership;
pub mod peers;
pub mod restore;
pub mod settings;
pub mod urgent_records;
pub mod withdraw;

pub use append::AppendError;
pub use handle::NodeHandle;
pub use settings::NodeSettings;
