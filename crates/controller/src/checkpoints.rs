//! The `log` duty: writing the live state again before the log forgets it.

use bluebell_core::{
    checkpoint::{CheckpointSchedule, CheckpointWriter, KeptRange, PART_SIZE},
    clock::TimeSpan,
    ids::LogOffset,
    records::{DutyName, LogRecord},
};
use bluebell_daemon::logs::LogLine;
use tokio_util::sync::CancellationToken;

use crate::context::DutyContext;

/// How often the schedule is looked at.
const LOOK_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// Writes checkpoints while the duty is held here.
pub async fn run(context: DutyContext, token: CancellationToken) {
    let settings = &context.settings.checkpoint;
    let schedule = CheckpointSchedule::new(context.now(), settings.every_records, settings.every);
    while !token.is_cancelled() {
        if context.desk.grant(&DutyName::Log).is_some() {
            pass(&context, &schedule, &token).await;
        }
        tokio::select! {
            () = token.cancelled() => return,
            () = tokio::time::sleep(LOOK_INTERVAL.as_duration()) => {}
        }
    }
}

async fn pass(context: &DutyContext, schedule: &CheckpointSchedule, token: &CancellationToken) {
    let Some(kept) = kept_range(context).await else {
        return;
    };
    let now = context.now();
    let due = context
        .node
        .with_view(|view| schedule.is_due(now, view.next_offset(), kept, view.checkpoint.newest()));
    if !due {
        return;
    }
    let Some(grant) = context.desk.grant(&DutyName::Log) else {
        return;
    };
    let writer = context
        .node
        .with_view(|view| CheckpointWriter::new(grant.fence, view, PART_SIZE));
    let Some(writer) = writer else { return };
    context.desk.set_busy(&DutyName::Log, true);
    write(context, grant.fence, writer, token).await;
    context.desk.set_busy(&DutyName::Log, false);
}

async fn kept_range(context: &DutyContext) -> Option<KeptRange> {
    let from = context.node.progress().next;
    match context.node.platform().read(from, 1, TimeSpan::ZERO).await {
        Ok(answer) => Some(KeptRange {
            first_kept: answer.first_kept,
            end: answer.end,
        }),
        Err(error) => {
            let line = LogLine::new("log_range_failed").with("error", &error);
            line.debug();
            None
        }
    }
}

/// Appends the parts one after the other. If one is not known to stand, or the
/// duty is lost between two, the rest is not written: a checkpoint counts only
/// with all its parts, and the next one starts anew.
async fn write(
    context: &DutyContext,
    fence: LogOffset,
    mut writer: CheckpointWriter,
    token: &CancellationToken,
) {
    let parts = writer.parts_left();
    while let Some(part) = writer.next_part() {
        let as_of = part.as_of;
        let grant = context.desk.grant(&DutyName::Log);
        let held = grant.is_some_and(|grant| grant.fence == fence);
        if !held || token.is_cancelled() {
            return;
        }
        let appended = context.append(LogRecord::Checkpoint(part)).await;
        if appended.is_none() {
            return;
        }
        if writer.parts_left() == 0 {
            let decision = format!("checkpoint of {parts} parts written as of {as_of}");
            let reason = "its schedule or what the log keeps called for it";
            context.decide(&DutyName::Log, &[], &decision, reason);
        }
    }
}
