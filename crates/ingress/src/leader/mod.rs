//! Leadership, and the duties towards the platform that the leader carries out: usage reports
//! and endpoint orders. All instances publish their usage counts for the leader.

mod orders;
mod publish;
mod records;
mod task;
mod windows;

use std::sync::Arc;

use bluebell_adapter::{PlatformClient, duties::DutyClient};
use tokio_util::sync::CancellationToken;

pub use self::{
    publish::{PeerUsage, note_peer_usage, publish_end, recent_usage, unsettled_window},
    records::UsageRecord,
};
use crate::context::EntryContext;

/// Spawns the task that publishes usage counts and, if the settings name an interface for
/// duties, the task that competes for leadership. Both end with `stop`.
pub fn start(context: &Arc<EntryContext>, client: &PlatformClient, stop: &CancellationToken) {
    let publication = publish::publish(Arc::clone(context));
    let token = stop.clone();
    tokio::spawn(async move { token.run_until_cancelled(publication).await });
    let Some(duties) = &context.settings.duties else {
        return;
    };
    let client = DutyClient::new(client.clone(), duties.address);
    let task = task::LeaderTask::new(Arc::clone(context), client);
    let token = stop.clone();
    tokio::spawn(async move { token.run_until_cancelled(task.run()).await });
}
