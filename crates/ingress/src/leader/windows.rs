//! Closing usage windows, and reporting their counts.

use std::collections::BTreeSet;

use bluebell_adapter::{CallError, store::ReadAnswer};
use bluebell_core::{clock::TimeSpan, ids::InstanceId, records::UsageWindow};
use bluebell_daemon::logs::LogLine;
use prost::Message;

use crate::{
    leader::{
        publish,
        records::{USAGE_PART, UsageRecord, WindowCounts, parse_writer},
        task::{CALL_TIMEOUT, LeaderTask, POLL_INTERVAL},
    },
    time::wall_time,
};

/// How often the usage counts are read while a window lacks some.
const USAGE_READ_INTERVAL: TimeSpan = TimeSpan::from_millis(400);

/// The number of instances that a log line names of those whose counts are missing.
const LOGGED_INSTANCES: usize = 5;

impl LeaderTask {
    pub(super) fn note_reported(&mut self, window: UsageWindow) {
        self.reported = self.reported.max(Some(window));
        let reported = self.reported;
        self.frozen.retain(|window, _| Some(*window) > reported);
    }

    /// The oldest window that has ended and has not been reported.
    pub(super) fn window_to_report(&self) -> Option<UsageWindow> {
        let schedule = publish::schedule(&self.context);
        schedule.next_report(wall_time(), self.reported, self.first_window)
    }

    /// Freezes and reports a window; returns false if it can't be frozen yet.
    pub(super) async fn report_window(&mut self, window: UsageWindow) -> Result<bool, CallError> {
        let counts = match self.frozen.get(&window) {
            Some(counts) => counts.clone(),
            None => {
                self.read_usage_if_due().await?;
                if !self.may_freeze(window) {
                    return Ok(false);
                }
                self.ledger.sum(window)
            }
        };
        let frozen = WindowCounts::new(window, &counts);
        let Some(grant) = self.append(Some(frozen)).await? else {
            return Ok(true);
        };
        // If the window was frozen twice, the counts that were frozen first are valid.
        let counts = self.frozen.entry(window).or_insert(counts).clone();
        if counts.is_empty() {
            self.note_reported(window);
            return Ok(true);
        }
        let authority = self.authority(&grant);
        if !grant.allows(self.context.now()) {
            return Ok(true);
        }
        let number = window.number();
        let reporting = self
            .client
            .report_usage(&authority, number, &counts, CALL_TIMEOUT);
        let reported = self.call_within(&grant, reporting).await;
        let line = LogLine::new("usage_report")
            .with("window", window)
            .with("fence", grant.fence)
            .with("requests", counts.values().sum::<u64>());
        match reported {
            Ok(()) => {
                line.with("outcome", "accepted").info();
                self.note_reported(window);
            }
            Err(error) => {
                line.with("outcome", "failed").with("error", error).warn();
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(true)
    }

    /// Whether a window may be frozen: no counts are missing, or it must be frozen to be
    /// reported in time. Logs once for each window which instances it waits for.
    fn may_freeze(&mut self, window: UsageWindow) -> bool {
        let awaited = self.awaited(window);
        if awaited.is_empty() {
            return true;
        }
        let is_overdue = publish::schedule(&self.context).is_overdue(wall_time(), window);
        if is_overdue || self.waiting_window != Some(window) {
            let outcome = if is_overdue { "incomplete" } else { "waiting" };
            let names: Vec<String> = awaited
                .iter()
                .take(LOGGED_INSTANCES)
                .map(ToString::to_string)
                .collect();
            LogLine::new("usage_window")
                .with("window", window)
                .with("outcome", outcome)
                .with("missing", awaited.len())
                .with("instances", names.join(","))
                .info();
        }
        self.waiting_window = Some(window);
        is_overdue
    }

    /// The instances that may still publish counts of a window that has ended.
    ///
    /// An instance that is partitioned from the store continues to serve requests for some
    /// seconds, and publishes its counts when it is back. A report without them would lack
    /// all of its requests.
    fn awaited(&self, window: UsageWindow) -> Vec<InstanceId> {
        let now = self.context.now();
        let peers = self.context.peers.lock();
        let local = &self.context.writer.instance;
        let domain = &self.context.settings.domain;
        let current = publish::schedule(&self.context).current(wall_time());
        let alive = peers.alive(now).map(|(instance, _)| instance);
        let incomplete = alive
            .chain([local])
            .filter(|instance| !self.ledger.is_complete(instance, window));
        let pending = self.ledger.pending(window, current);
        let silent = pending.filter(|instance| peers.is_represented(now, domain, instance));
        let awaited: BTreeSet<&InstanceId> = incomplete.chain(silent).collect();
        awaited.into_iter().cloned().collect()
    }

    async fn read_usage_if_due(&mut self) -> Result<(), CallError> {
        let now = self.context.now();
        if self
            .usage_read_at
            .is_some_and(|at| now.since(at) < USAGE_READ_INTERVAL)
        {
            return Ok(());
        }
        self.usage_read_at = Some(now);
        self.read_usage().await
    }

    async fn read_usage(&mut self) -> Result<(), CallError> {
        loop {
            let from = self.usage_next;
            let read = self
                .context
                .store
                .read(USAGE_PART, from, TimeSpan::ZERO, CALL_TIMEOUT);
            match read.await {
                Ok(ReadAnswer::Records { records, end }) => {
                    for record in &records {
                        self.note_usage(&record.bytes);
                    }
                    let next = records.last().map_or(end, |record| record.offset.next());
                    self.usage_next = next;
                    if records.is_empty() || next >= end {
                        return Ok(());
                    }
                }
                Ok(ReadAnswer::Trimmed { first }) => self.usage_next = first,
                Err(CallError::Status { status: 404, .. }) => return Ok(()),
                Err(error) => return Err(error),
            }
        }
    }

    fn note_usage(&mut self, bytes: &[u8]) {
        let record = match UsageRecord::decode(bytes) {
            Ok(record) => record,
            Err(error) => {
                LogLine::new("usage_record_rejected")
                    .with("error", error)
                    .warn();
                return;
            }
        };
        let Some(writer) = parse_writer(&record.instance, record.start) else {
            return;
        };
        let current = UsageWindow::new(record.current);
        match record.has_ended {
            true => self.ledger.note_ended(&writer),
            false => self.ledger.note_published(&writer, current),
        }
        for window in &record.windows {
            let number = UsageWindow::new(window.window);
            self.ledger.record(number, writer.clone(), window.counts());
        }
    }
}
