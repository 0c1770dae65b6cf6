//! Publishing the usage counts of this entry and, as a reader, those of its failure domain.

use std::{collections::BTreeMap, mem, sync::Arc};

use bluebell_adapter::store::AppendAnswer;
use bluebell_core::{
    clock::TimeSpan,
    records::UsageWindow,
    usage::{MeteredCounts, UsageSchedule},
};
use bluebell_daemon::logs::LogLine;
use bytes::Bytes;

use crate::{
    context::EntryContext,
    leader::records::{USAGE_PART, UsageRecord, encode},
    sync::StoreBackoff,
    time::wall_time,
};

/// The number of windows whose counts are sent to the reader: the current one, and two that
/// may not have been published when they ended.
const WINDOWS_SENT_TO_READER: usize = 3;

/// The timeout of an append to the store.
const APPEND_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_200);

/// The timeout of the last append of an instance that ends.
const END_TIMEOUT: TimeSpan = TimeSpan::from_millis(400);

/// Publishes counts at fixed times within each window: the unpublished counts of this entry
/// and, if it is the reader of its failure domain, the counts that the others there sent to
/// it. Never returns.
pub async fn publish(context: Arc<EntryContext>) {
    let mut backoff = StoreBackoff::new("usage");
    let mut last_published = UsageWindow::new(0);
    loop {
        let wait = schedule(&context).until_publication(wall_time());
        tokio::time::sleep(wait.as_duration()).await;
        if !context.calls_for_domain() && has_peer_to_publish(&context) {
            continue;
        }
        let peer_records = context.peer_usage.lock().take();
        let (local, unpublished) = local_record(&context, last_published);
        let records: Vec<Bytes> = local.iter().chain(&peer_records).map(encode).collect();
        if records.is_empty() {
            continue;
        }
        let appended = context
            .store
            .append(USAGE_PART, None, &records, APPEND_TIMEOUT);
        match appended.await {
            Ok(AppendAnswer::Appended { .. }) => {
                backoff.note_answer(&context);
                context.meter.lock().mark_published(&unpublished);
                let current = unsettled_window(&context).number();
                last_published = last_published.max(UsageWindow::new(current.saturating_sub(1)));
            }
            Ok(AppendAnswer::EndMismatch { .. }) => {}
            Err(error) => {
                context.peer_usage.lock().restore(peer_records);
                backoff.wait_after_failure(&context, &error).await;
            }
        }
    }
}

/// Whether another instance of this failure domain is alive, which publishes the counts of this
/// one, or does so when it reaches the store again.
fn has_peer_to_publish(context: &EntryContext) -> bool {
    let (now, domain) = (context.now(), &context.settings.domain);
    context.peers.lock().has_alive_peer_in(now, domain)
}

/// The times of the usage windows of this deployment.
pub(super) fn schedule(context: &EntryContext) -> UsageSchedule {
    let bounds = &context.settings.bounds;
    UsageSchedule::new(bounds.usage_window, bounds.usage_lateness)
}

/// The first window whose counts may still change.
pub fn unsettled_window(context: &EntryContext) -> UsageWindow {
    schedule(context).first_unsettled(wall_time())
}

/// The record that this entry has to publish, and the counts in it. Each window is published once
/// after its end even if nothing was counted in it or all of it was published before: the leader
/// waits for it.
fn local_record(
    context: &EntryContext,
    last_published: UsageWindow,
) -> (Option<UsageRecord>, Vec<(UsageWindow, MeteredCounts)>) {
    let current = unsettled_window(context);
    let last = UsageWindow::new(current.number().saturating_sub(1));
    let unpublished = context.meter.lock().unpublished();
    let is_due = !unpublished.is_empty() || last_published < last;
    let record = is_due.then(|| UsageRecord::new(&context.writer, &unpublished, current));
    (record, unpublished)
}

/// The counts of this entry in the last windows, for the reader to publish. An entry without any
/// says so: the leader may wait for it because of an earlier start.
pub fn recent_usage(context: &EntryContext) -> UsageRecord {
    let current = unsettled_window(context);
    let windows = context.meter.lock().last_windows(WINDOWS_SENT_TO_READER);
    UsageRecord::new(&context.writer, &windows, current)
}

/// Publishes the last counts of this entry, which serves nothing more. Without it, the leader
/// would wait for them until this instance has started again.
pub async fn publish_end(context: &EntryContext) {
    let unpublished = context.meter.lock().unpublished();
    let record = UsageRecord {
        has_ended: true,
        ..UsageRecord::new(&context.writer, &unpublished, unsettled_window(context))
    };
    let records = [encode(&record)];
    let store = &context.store;
    let appended = store.append(USAGE_PART, None, &records, END_TIMEOUT).await;
    if let Err(error) = appended {
        LogLine::new("usage_end_not_published")
            .with("error", error)
            .info();
    }
}

/// Records the counts that another entry sent.
pub fn note_peer_usage(context: &EntryContext, usage: &UsageRecord) {
    context.peer_usage.lock().note_report(usage);
}

/// The counts that other entries sent and that are not published yet. Each record has the
/// complete counts of its windows, so the last record of each entry is sufficient.
#[derive(Debug, Default)]
pub struct PeerUsage {
    /// The last unpublished record of each instance.
    pending: BTreeMap<String, UsageRecord>,
    /// The last published record of each instance.
    published: BTreeMap<String, UsageRecord>,
}

impl PeerUsage {
    fn note_report(&mut self, usage: &UsageRecord) {
        if self.published.get(&usage.instance) != Some(usage) {
            self.pending.insert(usage.instance.clone(), usage.clone());
        }
    }

    fn take(&mut self) -> Vec<UsageRecord> {
        let pending = mem::take(&mut self.pending);
        self.published.extend(pending.clone());
        pending.into_values().collect()
    }

    fn restore(&mut self, records: Vec<UsageRecord>) {
        for record in records {
            self.published.remove(&record.instance);
            self.pending
                .entry(record.instance.clone())
                .or_insert(record);
        }
    }
}
