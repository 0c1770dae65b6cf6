//! What entries and controllers share: a node that follows the platform's log,
//! appends to it, and knows its peers.
//!
//! [`NodeHandle`] is what the rest of a daemon holds. One task per node follows
//! the log in order, read from the platform or relayed by a peer, and folds it
//! into a [`bluebell_core::view::FleetView`]; another appends, one record at a
//! time. Because a writer has at most one append under way, its sequence
//! numbers stand in the log in order, and an append that was given up and lands
//! late is dropped by every reader.
//!
//! [`NodeHandle::join`] adds the peers: heartbeats with what each instance tells
//! of its work, the relay of the log, and notes that can't wait for the log.

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
