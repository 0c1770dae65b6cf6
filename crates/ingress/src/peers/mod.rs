//! The other entry instances, and the messages that entries exchange.
//!
//! Each instance registers its address in the store once at its start and learns of the
//! earlier registrations; instances that start later send it messages, from which it takes
//! their addresses. Messages hold soft state: which prefills are queued at which engines, and
//! which engines hold which prompt parts. Each is one datagram with the complete loads, so
//! the next one makes up for one that was lost, and there is no connection that can stall.
//! An entry that receives no messages serves requests by its own state alone.

mod broadcast;
mod crashes;
mod demands;
mod fleet_size;
mod messages;
mod prompt_parts;
mod receive;
mod recorders;
mod registry;
mod relay;
mod relay_messages;
mod speeds;
mod table;
mod targets;

use std::{io, sync::Arc};

use tokio_util::sync::CancellationToken;

pub use self::{
    crashes::CrashMessage,
    fleet_size::fleet_size,
    messages::{PeerRecord, StageMessage},
    prompt_parts::PartMessage,
    recorders::record_peers,
    registry::{local_address, local_record, proxy_address},
    relay_messages::{ChangeMessage, RelayMessage, pack_changes},
    table::{KnownPeer, MAX_CHANGES_PER_DATAGRAM, PeerTable},
    targets::{BroadcastTarget, TargetSelector},
};
use crate::context::EntryContext;

/// Binds the socket and spawns the tasks that exchange messages with the other instances
/// and register this one; they end with `stop`.
pub async fn start(context: &Arc<EntryContext>, stop: &CancellationToken) -> io::Result<()> {
    let broadcaster = broadcast::PeerBroadcaster::bind(Arc::clone(context)).await?;
    let token = stop.clone();
    tokio::spawn(async move { token.run_until_cancelled(broadcaster.run()).await });
    let registration = registry::register_and_read(Arc::clone(context));
    let token = stop.clone();
    tokio::spawn(async move { token.run_until_cancelled(registration).await });
    Ok(())
}
