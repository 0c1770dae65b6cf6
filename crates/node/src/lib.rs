//! What entries and controllers share: a node that follows the platform's log,
//! appends to it, and knows its peers.
//!
//! [`NodeHandle`] is what the rest of a daemon holds. One task per node reads
//! the log in order and folds it into a [`bluebell_core::view::FleetView`];
//! another appends, one record at a time. Because a writer has at most one
//! append under way, its sequence numbers stand in the log in order, and an
//! append that was given up and lands late is dropped by every reader.

pub mod admin;
pub mod announce;
pub mod append;
pub mod follow;
pub mod handle;
pub mod settings;

pub use append::AppendError;
pub use handle::NodeHandle;
pub use settings::NodeSettings;
