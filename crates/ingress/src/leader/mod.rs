//! The duties towards the platform: usage reports and endpoint orders.

mod orders;
mod publish;
mod records;
mod task;

use std::sync::Arc;

use bluebell_adapter::{PlatformClient, duties::DutyClient};
use tokio_util::sync::CancellationToken;

pub use self::{
    publish::{PeerUsage, note_peer_usage, recent_usage},
    records::UsageRecord,
};
use crate::context::EntryContext;

/// Starts publishing counts and, where there is an interface for duties, standing
/// for the stewardship. Both end with `stop`.
pub fn start(context: &Arc<EntryContext>, client: &PlatformClient, stop: &CancellationToken) {
    let publishing = publish::publish(Arc::clone(context));
    let token = stop.clone();
    tokio::spawn(async move { token.run_until_cancelled(publishing).await });
    let Some(duties) = &context.settings.duties else {
        return;
    };
    let client = DutyClient::new(client.clone(), duties.address);
    let duty = task::LeaderTask::new(Arc::clone(context), client);
    let token = stop.clone();
    tokio::spawn(async move { token.run_until_cancelled(duty.serve()).await });
}
