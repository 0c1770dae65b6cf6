//! Publishing what this entry counted.

use std::{collections::BTreeMap, mem, sync::Arc, time::Duration};

use bluebell_adapter::store::AppendAnswer;
use bluebell_core::{clock::TimeSpan, records::UsageWindow, usage::MeteredCounts};
use bytes::Bytes;

use crate::{
    context::EntryContext,
    leader::records::{USAGE_PART, UsageRecord, encode},
    sync::StoreBackoff,
    time::wall_time,
};

/// How often counts are published in a window. An entry that is killed takes what
/// it counted since with it: a quarter of its window at most.
const TIMES_A_WINDOW: u64 = 4;

/// How long after the end of a window its last counts are published: answers that
/// are on their way then still belong to it.
const AFTER_WINDOW: TimeSpan = TimeSpan::from_millis(60);

/// How many windows are told to the reader: the current one, and two that may not
/// have been published when they ended.
const WINDOWS_TOLD: usize = 3;

/// How long the store may take.
const APPEND_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_200);

/// Publishes news for good, in step with the windows: what this entry counted and,
/// if it reads the store for its failure domain, what the others there told it.
pub async fn publish(context: Arc<EntryContext>) {
    let mut backoff = StoreBackoff::new("usage");
    let interval = context.settings.bounds.usage_window.as_millis() / TIMES_A_WINDOW;
    let mut ended = UsageWindow::new(0);
    loop {
        let now = wall_time().as_millis();
        let phase = (now + interval - AFTER_WINDOW.as_millis()) % interval;
        tokio::time::sleep(Duration::from_millis(interval - phase)).await;
        let is_reader = context.is_reader();
        let told = context.peer_usage.lock().take();
        if !is_reader && is_told(&context) {
            continue;
        }
        let (own, news) = own_record(&context, ended);
        let records: Vec<Bytes> = own.iter().chain(&told).map(encode).collect();
        if records.is_empty() {
            continue;
        }
        let appended = context
            .store
            .append(USAGE_PART, None, &records, APPEND_TIMEOUT);
        match appended.await {
            Ok(AppendAnswer::Appended { .. }) => {
                backoff.note_answer(&context);
                context.meter.lock().published(&news);
                let current = current_window(&context).number();
                ended = ended.max(UsageWindow::new(current.saturating_sub(1)));
            }
            Ok(AppendAnswer::EndMoved { .. }) => {}
            Err(error) => {
                context.peer_usage.lock().put_back(told);
                backoff.wait_after_failure(&context, &error).await;
            }
        }
    }
}

/// Whether somebody reads the store for this entry and can publish for it.
fn is_told(context: &EntryContext) -> bool {
    let (now, domain) = (context.now(), &context.settings.domain);
    let peers = context.peers.lock();
    let has_reader = peers.has_alive_peer_in(now, domain);
    has_reader && !context.must_read_keys_by_age()
}

fn current_window(context: &EntryContext) -> UsageWindow {
    UsageWindow::at(wall_time(), context.settings.bounds.usage_window)
}

/// What this entry has to publish. The end of a window is told once even if all of
/// it was published before: the steward waits for it.
fn own_record(
    context: &EntryContext,
    ended: UsageWindow,
) -> (Option<UsageRecord>, Vec<(UsageWindow, MeteredCounts)>) {
    let current = current_window(context);
    let last = UsageWindow::new(current.number().saturating_sub(1));
    let meter = context.meter.lock();
    let news = meter.news();
    let has_ended = ended < last && meter.has_counted(last);
    let is_due = !news.is_empty() || has_ended;
    let record = is_due.then(|| UsageRecord::new(&context.writer, &news, current));
    (record, news)
}

/// What this entry counted in the last windows, for the reader to publish.
pub fn recent_usage(context: &EntryContext) -> Option<UsageRecord> {
    let current = current_window(context);
    let windows = context.meter.lock().last_windows(WINDOWS_TOLD);
    let is_due = !windows.is_empty();
    is_due.then(|| UsageRecord::new(&context.writer, &windows, current))
}

/// Another entry told what it counted.
pub fn note_peer_usage(context: &EntryContext, usage: &UsageRecord) {
    context.peer_usage.lock().take_word(usage);
}

/// What other entries told and is not published yet. Counts are always told in
/// full, so the last word of each is enough.
#[derive(Debug, Default)]
pub struct PeerUsage {
    /// The last word of each instance.
    words: BTreeMap<String, UsageRecord>,
    /// What was published of each instance.
    published: BTreeMap<String, UsageRecord>,
}

impl PeerUsage {
    fn take_word(&mut self, usage: &UsageRecord) {
        if self.published.get(&usage.instance) != Some(usage) {
            self.words.insert(usage.instance.clone(), usage.clone());
        }
    }

    fn take(&mut self) -> Vec<UsageRecord> {
        let words = mem::take(&mut self.words);
        self.published.extend(words.clone());
        words.into_values().collect()
    }

    fn put_back(&mut self, records: Vec<UsageRecord>) {
        for record in records {
            self.published.remove(&record.instance);
            self.words.entry(record.instance.clone()).or_insert(record);
        }
    }
}
