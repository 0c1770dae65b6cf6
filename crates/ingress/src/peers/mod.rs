//! The other entry instances: who they are, and what entries tell each other.
//!
//! Each instance registers its address in the store once at its start and reads
//! who has before it; who comes later makes itself heard. What is told is soft:
//! which prefills are queued where, and which engines hold which parts. It goes
//! by datagrams, in full each time, so one that is lost is made good by the next,
//! and no connection can go silent. An entry that hears nobody serves from its
//! own books alone.

mod broadcast;
mod messages;
mod registry;
mod relay;
mod table;
mod targets;

use std::{io, sync::Arc};

use tokio_util::sync::CancellationToken;

pub use self::{
    messages::{ChangeMessage, RelayMessage, StageMessage, pack_changes},
    table::{KnownPeer, MAX_CHANGES_PER_DATAGRAM, PeerTable},
    targets::{BroadcastTarget, TargetSelector},
};
use crate::context::EntryContext;

/// Starts registering, following and talking; all end with `stop`.
pub async fn start(context: &Arc<EntryContext>, stop: &CancellationToken) -> io::Result<()> {
    let broadcast = broadcast::PeerBroadcaster::bind(Arc::clone(context)).await?;
    let token = stop.clone();
    tokio::spawn(async move { token.run_until_cancelled(broadcast.run()).await });
    let follow = registry::register_and_read(Arc::clone(context));
    let token = stop.clone();
    tokio::spawn(async move { token.run_until_cancelled(follow).await });
    Ok(())
}
