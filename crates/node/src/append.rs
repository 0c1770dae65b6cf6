//! Appends to the log, one at a time, each repeated until its fate is known.

use bluebell_core::{
    clock::{ClockSource, TimeSpan},
    ids::{LogOffset, WriterId},
    records::LogRecord,
};
use bluebell_platform::{PlatformClient, PlatformError, api::AppendRequest};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// The pause before an append whose fate is unknown is sent again.
const RETRY_DELAY: TimeSpan = TimeSpan::from_millis(100);

/// Why an append is not known to stand in the log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AppendError {
    /// It had no effect and won't have one.
    #[error("the record was not appended: {0}")]
    NotAppended(String),
    /// It may stand in the log or come to stand there until this writer's next
    /// append; readers tell.
    #[error("whether the record was appended is unknown: {0}")]
    Unknown(String),
}

/// Where an append landed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendedRecord {
    /// The offset that the platform answered.
    pub offset: LogOffset,
    /// The writer's own number for it.
    pub sequence: u64,
    /// Whether an answer was lost before, so that an earlier copy may stand too:
    /// readers count that one and drop the one at `offset`.
    pub may_be_duplicated: bool,
}

/// One append that waits for its turn.
#[derive(Debug)]
pub struct AppendJob {
    /// The record.
    pub record: LogRecord,
    /// Who wants to know.
    pub reply: oneshot::Sender<Result<AppendedRecord, AppendError>>,
}

/// The task that appends.
#[derive(Debug)]
pub struct LogAppender {
    client: PlatformClient,
    clock: ClockSource,
    writer: WriterId,
    sequence: u64,
    timeout: TimeSpan,
}

impl LogAppender {
    /// An appender that writes as `writer`, a name no other process ever had.
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

    /// Serves `jobs` until `token` is cancelled.
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
