//! Starting where the log no longer keeps what is needed.
//!
//! A process that is new, or was frozen for longer than the log keeps records,
//! finds that the next entry it needs is gone. Reading on from the oldest that
//! is kept would silently lose publishes, withdrawals and claims. It restores
//! the newest complete checkpoint of the log instead, or takes the state of a
//! peer that is further; with neither it stays not ready and says so.

use bluebell_core::{
    checkpoint::{AssembledCheckpoint, CheckpointReader},
    clock::TimeSpan,
    ids::LogOffset,
    records::LogRecord,
    view::FleetView,
};
use bluebell_daemon::logs::LogLine;
use bluebell_platform::{PlatformClient, PlatformError};

use crate::{
    follow::{MAX_READ_ENTRIES, decode, note_failure},
    handle::NodeHandle,
};

/// The pause before another try when nothing could be restored.
const RETRY_DELAY: TimeSpan = TimeSpan::from_millis(500);

/// Restores the view of `node`, whose next entry the log no longer keeps.
pub(crate) async fn restore(node: &NodeHandle, client: &PlatformClient, first_kept: LogOffset) {
    let next = node.progress().next;
    LogLine::new("log_gap")
        .with("next", next)
        .with("first_kept", first_kept)
        .warn();
    match newest_checkpoint(client, first_kept).await {
        Ok(Some(checkpoint)) => {
            let now = node.clock().now();
            let view = FleetView::with_checkpoint(now, checkpoint.as_of, &checkpoint.items);
            let replaced = node.replace_view(view);
            LogLine::new("checkpoint_restored")
                .with("as_of", checkpoint.as_of)
                .with("items", checkpoint.items.len())
                .with("taken", replaced)
                .info();
            if replaced {
                return;
            }
        }
        Ok(None) => {}
        Err(error) => note_failure(node, &error),
    }
    node.pull_snapshot();
    node.note_obstacle(format!(
        "the log keeps entries from {first_kept} on, {next} is needed, and neither a complete checkpoint nor a peer that is further is in reach"
    ));
    tokio::time::sleep(RETRY_DELAY.as_duration()).await;
}

/// Reads all that the log keeps, for the newest checkpoint that can be read on from.
async fn newest_checkpoint(
    client: &PlatformClient,
    first_kept: LogOffset,
) -> Result<Option<AssembledCheckpoint>, PlatformError> {
    let mut reader = CheckpointReader::with_items();
    let mut from = first_kept;
    loop {
        let answer = client.read(from, MAX_READ_ENTRIES, TimeSpan::ZERO).await?;
        for raw in &answer.entries {
            let entry = decode(raw);
            if let LogRecord::Checkpoint(part) = &entry.record {
                reader.apply(Default::default(), entry.offset, part);
            }
            from = entry.offset.next();
        }
        if answer.entries.is_empty() || from >= answer.end {
            return Ok(reader.into_usable(answer.first_kept));
        }
    }
}
