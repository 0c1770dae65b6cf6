//! Publishing what this entry counted.

use std::{sync::Arc, time::Duration};

use bluebell_adapter::store::AppendAnswer;
use bluebell_core::{clock::TimeSpan, records::UsageWindow};

use crate::{
    believe::StorePath,
    context::EntryContext,
    steward::records::{USAGE_PART, UsageRecord, WindowCounts, encode},
    time::wall_time,
};

/// How often counts are published in a window. An entry that is killed takes what
/// it counted since with it: a quarter of its window at most.
const TIMES_A_WINDOW: u64 = 4;

/// How long after the end of a window its last counts are published: answers that
/// are on their way then still belong to it.
const AFTER_WINDOW: TimeSpan = TimeSpan::from_millis(60);

/// How long the store may take.
const APPEND_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_200);

/// Publishes news for good, in step with the windows.
pub async fn publish(context: Arc<EntryContext>) {
    let mut path = StorePath::new("usage");
    let interval = context.settings.bounds.usage_window.as_millis() / TIMES_A_WINDOW;
    let mut ended = UsageWindow::new(0);
    loop {
        let now = wall_time().as_millis();
        let phase = (now + interval - AFTER_WINDOW.as_millis()) % interval;
        tokio::time::sleep(Duration::from_millis(interval - phase)).await;
        let length = context.settings.bounds.usage_window;
        let current = UsageWindow::at(wall_time(), length);
        let (news, has_ended) = {
            let meter = context.meter.lock();
            // The end of a window is told once even if all of it was published
            // before: the steward waits for it.
            let last = UsageWindow::new(current.number().saturating_sub(1));
            let has_ended = ended < last && meter.has_counted(last);
            (meter.news(), has_ended.then_some(last))
        };
        if news.is_empty() && has_ended.is_none() {
            continue;
        }
        let record = UsageRecord {
            instance: context.writer.instance.to_string(),
            start: context.writer.start,
            windows: news
                .iter()
                .map(|(window, counts)| WindowCounts::new(*window, counts))
                .collect(),
            current: current.number(),
        };
        let records = [encode(&record)];
        let appended = context
            .store
            .append(USAGE_PART, None, &records, APPEND_TIMEOUT);
        match appended.await {
            Ok(AppendAnswer::Appended { .. }) => {
                path.answered(&context);
                context.meter.lock().published(&news);
                ended = ended.max(UsageWindow::new(current.number().saturating_sub(1)));
            }
            Ok(AppendAnswer::EndMoved { .. }) => {}
            Err(error) => path.failed(&context, &error).await,
        }
    }
}
