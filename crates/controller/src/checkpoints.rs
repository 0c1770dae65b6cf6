//! The `log` duty: writing the live state again before the log forgets it.

use bluebell_core::records::DutyName;
use bluebell_node::checkpoint;
use tokio_util::sync::CancellationToken;

use crate::context::DutyContext;

/// Writes checkpoints while the duty is held here.
pub async fn run(context: DutyContext, token: CancellationToken) {
    let fence = || context.desk.grant(&DutyName::Log).map(|grant| grant.fence);
    let written = |parts| {
        let decision = format!("checkpoint of {parts} parts written");
        let reason = "its schedule or what the log keeps called for it";
        context.decide(&DutyName::Log, &[], &decision, reason);
    };
    let settings = context.settings.checkpoints.clone();
    checkpoint::run(context.node.clone(), settings, fence, written, token).await;
}
