//! Writing checkpoints, for whoever holds the `log` duty.

use bluebell_core::{
    checkpoint::{CheckpointSchedule, CheckpointWriter, KeptRange, PART_SIZE},
    clock::TimeSpan,
    ids::LogOffset,
    records::LogRecord,
};
use bluebell_daemon::{logs::LogLine, settings::SettingProblem};
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use crate::{append::AppendError, handle::NodeHandle};

/// How often the schedule is looked at.
const LOOK_EVERY: TimeSpan = TimeSpan::from_secs(1);

/// The `[checkpoints]` table: when a checkpoint is due. Both must lie well below
/// what the platform's log keeps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CheckpointSettings {
    /// After how many records.
    pub every_records: u64,
    /// After how long.
    pub every: TimeSpan,
}

impl Default for CheckpointSettings {
    fn default() -> CheckpointSettings {
        CheckpointSettings {
            every_records: 5_000,
            every: TimeSpan::from_secs(300),
        }
    }
}

impl CheckpointSettings {
    /// All that can't be used.
    pub fn problems(&self) -> Vec<SettingProblem> {
        let mut problems = Vec::new();
        if self.every_records == 0 {
            let field = "checkpoints.every_records";
            problems.push(SettingProblem::new(field, 0, "at least `1`"));
        }
        if self.every < LOOK_EVERY {
            let expected = "at least `1s`";
            problems.push(SettingProblem::new(
                "checkpoints.every",
                self.every,
                expected,
            ));
        }
        problems
    }
}

/// Writes checkpoints while `fence` answers the fencing number of the `log` duty
/// that this process holds, until `token` is cancelled. `written` is told how many
/// parts each complete one has.
pub async fn run<Fence, Written>(
    node: NodeHandle,
    settings: CheckpointSettings,
    fence: Fence,
    written: Written,
    token: CancellationToken,
) where
    Fence: Fn() -> Option<LogOffset> + Send,
    Written: Fn(usize) + Send,
{
    let now = node.clock().now();
    let schedule = CheckpointSchedule::new(now, settings.every_records, settings.every);
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            () = tokio::time::sleep(LOOK_EVERY.as_duration()) => {}
        }
        let Some(held) = fence() else { continue };
        if !node.progress().caught_up || !is_due(&node, &schedule).await {
            continue;
        }
        let still_held = || fence() == Some(held);
        match write(&node, held, still_held).await {
            Ok(parts) => {
                LogLine::new("checkpoint_written")
                    .with("fence", held)
                    .with("parts", parts)
                    .info();
                written(parts);
            }
            Err(error) => LogLine::new("checkpoint_failed")
                .with("fence", held)
                .with("error", error)
                .warn(),
        }
    }
}

async fn is_due(node: &NodeHandle, schedule: &CheckpointSchedule) -> bool {
    let next = node.progress().next;
    let Ok(answer) = node.platform().read(next, 1, TimeSpan::ZERO).await else {
        return false;
    };
    let kept = KeptRange {
        first_kept: answer.first_kept,
        end: answer.end,
    };
    let newest = node.with_view(|view| view.checkpoint.newest());
    schedule.is_due(node.clock().now(), next, kept, newest)
}

/// Why a checkpoint was not completed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CheckpointError {
    /// The `log` duty was lost halfway; the successor writes its own.
    #[error("the duty was lost before the last part")]
    DutyLost,
    /// A part could not be appended.
    #[error(transparent)]
    Append(#[from] AppendError),
}

/// Appends a checkpoint of the view as it is now, part by part, as long as
/// `still_held` says so; answers how many parts it has.
pub async fn write<Held>(
    node: &NodeHandle,
    fence: LogOffset,
    still_held: Held,
) -> Result<usize, CheckpointError>
where
    Held: Fn() -> bool,
{
    let writer = node.with_view(|view| CheckpointWriter::new(fence, view, PART_SIZE));
    let Some(mut writer) = writer else {
        return Ok(0);
    };
    let parts = writer.parts_left();
    while let Some(part) = writer.next_part() {
        if !still_held() {
            return Err(CheckpointError::DutyLost);
        }
        node.append(LogRecord::Checkpoint(part)).await?;
    }
    Ok(parts)
}
