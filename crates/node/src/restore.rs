//! Restores the view when the log no longer holds the next entry needed.
//!
//! This happens to a new process and to one that was suspended for longer than
//! the log's retention. Continuing from the oldest entry that is still kept would
//! silently lose publishes, withdrawals and claims. The node restores the newest
//! complete checkpoint in the log instead, or requests the state of a peer that is
//! ahead. If it can get neither, it stays not ready and reports why.

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

/// The delay before the next attempt when nothing could be restored.
const RETRY_DELAY: TimeSpan = TimeSpan::from_millis(500);

/// Restores the view of `node` when the log starts at `first_kept`, after the next
/// entry that the node needs.
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
        "the log keeps entries from offset {first_kept} on, offset {next} is needed, and neither a complete checkpoint nor a peer that is ahead is available"
    ));
    tokio::time::sleep(RETRY_DELAY.as_duration()).await;
}

/// Reads the whole log and returns the newest complete checkpoint from which the
/// log can be followed without a gap.
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
