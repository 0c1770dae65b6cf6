//! Reading the log in order and folding it into the view.

use bluebell_core::{
    clock::TimeSpan,
    records::{LogEntry, LogRecord},
};
use bluebell_daemon::logs::LogLine;
use bluebell_platform::{
    PlatformClient,
    api::{RawEntry, ReadAnswer},
};
use tokio_util::sync::CancellationToken;

use crate::handle::NodeHandle;

/// The most entries of one read.
const READ_LIMIT: usize = 500;

/// The pause after a read that failed.
const FAILURE_PAUSE: TimeSpan = TimeSpan::from_millis(200);

/// Follows the log until `token` is cancelled.
pub async fn run(
    node: NodeHandle,
    client: PlatformClient,
    wait: TimeSpan,
    token: CancellationToken,
) {
    loop {
        let from = node.with_view(|view| view.next_offset());
        let answer = tokio::select! {
            () = token.cancelled() => return,
            answer = client.read(from, READ_LIMIT, wait) => answer,
        };
        match answer {
            Ok(answer) => take(&node, &answer),
            Err(error) => {
                node.note_read_failure();
                LogLine::new("log_read_failed")
                    .with("error", &error)
                    .debug();
                tokio::time::sleep(FAILURE_PAUSE.as_duration()).await;
            }
        }
    }
}

fn take(node: &NodeHandle, answer: &ReadAnswer) {
    for raw in &answer.entries {
        node.apply(&decode(raw));
    }
    node.note_read(answer.end);
}

/// Decodes an entry. One that this version does not understand counts as an
/// empty publish: all readers skip it alike.
pub fn decode(raw: &RawEntry) -> LogEntry {
    let record = serde_json::from_str(&raw.payload).unwrap_or_else(|error| {
        LogLine::new("log_entry_unreadable")
            .with("offset", raw.offset)
            .with("error", error)
            .warn();
        let publisher = raw.writer.to_string();
        LogRecord::Publish(bluebell_core::records::PublishRecord {
            publisher,
            changes: Vec::new(),
        })
    });
    LogEntry {
        offset: raw.offset,
        writer: raw.writer.clone(),
        sequence: raw.sequence,
        record,
    }
}
