//! Copies of the state of the store, which instances of a failure domain hand on to each
//! other over TCP.
//!
//! Datagrams carry changes; the complete configuration and the registrations of all
//! endpoints and instances do not fit into them. An instance that starts, or whose state
//! differs from the reader's, copies them from another one. Whose copy it takes follows from
//! its rank ([`bluebell_core::relay::parent_rank`]), so that no instance hands on many.

mod client;
mod messages;
mod server;

pub use self::{
    client::{CopyError, StateCopy, fetch},
    messages::{ListedPeer, PeerList, StateKind, StateRequest},
    server::{PackedState, StateCache, start},
};
