//! Appends to the log, one at a time; each is retried until its outcome is known
//! or its time-out ends.

use bluebell_core::{
    clock::{ClockSource, TimeSpan},
    ids::{LogOffset, WriterId},
    records::LogRecord,
};
use bluebell_platform::{PlatformClient, PlatformError, api::AppendRequest};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// The delay before an append that was not confirmed is sent again.
const RETRY_DELAY: TimeSpan = TimeSpan::from_millis(100);

/// Why an append is not known to be stored in the log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AppendError {
    /// The append had no effect and will not have one.
    #[error("the record was not appended: {0}")]
    NotAppended(String),
    /// The record may be stored in the log already, or be stored until this
    /// writer's next append. Reading the log shows which.
    #[error("whether the record was appended is unknown: {0}")]
    Unknown(String),
}

/// The result of a successful append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendedRecord {
    /// The offset returned by the platform.
    pub offset: LogOffset,
    /// The writer's sequence number for the record.
    pub sequence: u64,
    /// Whether an earlier response was lost, so that the log may hold an earlier
    /// copy: followers of the log then apply that copy and drop the one at `offset`.
    pub may_be_duplicated: bool,
}

/// A queued append.
#[derive(Debug)]
pub struct AppendJob {
    /// The record to append.
    pub record: LogRecord,
    /// Receives the result.
    pub reply: oneshot::Sender<Result<AppendedRecord, AppendError>>,
}

/// Appends queued records to the log.
#[derive(Debug)]
pub struct LogAppender {
    client: PlatformClient,
    clock: ClockSource,
    writer: WriterId,
    sequence: u64,
    timeout: TimeSpan,
}

impl LogAppender {
    /// Creates an appender that writes as `writer`, which must never have been used
    /// by another process. Each append is retried for up to `timeout`.
    pub fn new(
        client: PlatformClient,
        clock: ClockSource,
        writer: WriterId,
        timeout: TimeSpan,
    ) -> LogAppender {
        LogAppender {
            client,
            clock,
            writer,
            sequence: 0,
            timeout,
        }
    }

    /// Processes `jobs` until `token` is cancelled.
    pub async fn run(mut self, mut jobs: mpsc::Receiver<AppendJob>, token: CancellationToken) {
        loop {
            let job = tokio::select! {
                () = token.cancelled() => return,
                job = jobs.recv() => job,
            };
            let Some(job) = job else { return };
            let result = self.append(&job.record).await;
            let _ = job.reply.send(result);
        }
    }

    async fn append(&mut self, record: &LogRecord) -> Result<AppendedRecord, AppendError> {
        let payload = serde_json::to_string(record)
            .map_err(|error| AppendError::NotAppended(error.to_string()))?;
        self.sequence += 1;
        let request = AppendRequest {
            writer: self.writer.clone(),
            sequence: self.sequence,
            payload,
        };
        let deadline = self.clock.now() + self.timeout;
        let mut may_have_effect = false;
        loop {
            let error = match self.client.append(&request).await {
                Ok(answer) => {
                    return Ok(AppendedRecord {
                        offset: answer.offset,
                        sequence: self.sequence,
                        may_be_duplicated: may_have_effect,
                    });
                }
                Err(error) => error,
            };
            let message = error.to_string();
            may_have_effect |= matches!(error, PlatformError::Unknown(_));
            let refused = matches!(error, PlatformError::Refused { .. });
            if refused || self.clock.now() + RETRY_DELAY >= deadline {
                return Err(match may_have_effect {
                    true => AppendError::Unknown(message),
                    false => AppendError::NotAppended(message),
                });
            }
            tokio::time::sleep(RETRY_DELAY.as_duration()).await;
        }
    }
}
