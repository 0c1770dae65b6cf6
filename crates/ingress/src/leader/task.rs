//! Competing for leadership, and carrying out the leader's duties while it is held.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bluebell_adapter::{
    CallError,
    duties::{DutyAuthority, DutyClient},
    store::{AppendAnswer, ReadAnswer},
};
use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::LogOffset,
    leadership::{LEADER_HEARTBEAT_INTERVAL, LeaderGrant, LeadershipState},
    provision::ProvisionPlanner,
    records::UsageWindow,
    usage::{MeteredCounts, UsageLedger},
};
use bluebell_daemon::logs::LogLine;
use prost::Message;

use crate::{
    context::EntryContext,
    leader::records::{
        BaseMessage, LEADER_PART, LeaderRecord, NeedMessage, USAGE_PART, UsageRecord, WindowCounts,
        encode, parse_writer,
    },
    sync::StoreBackoff,
    time::wall_time,
};

/// How long after its end a window may be frozen: entries publish their last counts some ms
/// after the end, and the store may be slow.
const FREEZE_DELAY: TimeSpan = TimeSpan::from_millis(1_600);

/// How long before it is due a report is sent even if some instances have not published. In
/// this time a failed report can be retried once, and another leader can take over.
const REPORT_MARGIN: TimeSpan = TimeSpan::from_millis(3_000);

/// How long the store may hold a read of the leaders' topic until there is a record.
const READ_WAIT: TimeSpan = TimeSpan::from_millis(4_500);

/// The timeout of one call; a longer call would outlast the right to act.
pub(super) const CALL_TIMEOUT: TimeSpan = TimeSpan::from_millis(900);

/// The pause between two checks for work.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// How often the usage counts are read while a window lacks some.
const USAGE_READ_INTERVAL: TimeSpan = TimeSpan::from_millis(700);

/// The number of past windows that are still reported after an outage.
const MAX_WINDOWS_BACK: u64 = 3;

/// The leadership task of one process: carries out the duties while the process is the
/// leader, and otherwise waits until the leader stops appending records.
#[derive(Debug)]
pub struct LeaderTask {
    pub(super) context: Arc<EntryContext>,
    pub(super) client: DutyClient,
    leadership: LeadershipState,
    /// The counts of windows that this leader or an earlier one has frozen.
    frozen: BTreeMap<UsageWindow, MeteredCounts>,
    /// The last window whose report was accepted.
    reported: Option<UsageWindow>,
    pub(super) planner: ProvisionPlanner,
    ledger: UsageLedger,
    usage_next: LogOffset,
    usage_read_at: Option<ClockTime>,
    /// When this process last appended a record.
    appended_at: Option<ClockTime>,
    /// The window in which this process started.
    first_window: UsageWindow,
}

impl LeaderTask {
    /// A task of a process that has not read the topic yet.
    pub fn new(context: Arc<EntryContext>, client: DutyClient) -> LeaderTask {
        let lease = context.settings.bounds.lease;
        let leadership = LeadershipState::new(context.now(), context.writer.clone(), lease);
        let first_window = UsageWindow::at(wall_time(), context.settings.bounds.usage_window);
        LeaderTask {
            context,
            client,
            leadership,
            frozen: BTreeMap::new(),
            reported: None,
            planner: ProvisionPlanner::new(),
            ledger: UsageLedger::new(),
            usage_next: LogOffset::START,
            usage_read_at: None,
            appended_at: None,
            first_window,
        }
    }

    /// Runs the task; never returns.
    pub async fn run(mut self) {
        let mut backoff = StoreBackoff::new("steward");
        loop {
            let step = self.step().await;
            let context = Arc::clone(&self.context);
            match step {
                Ok(()) => backoff.note_answer(&context),
                Err(error) => backoff.wait_after_failure(&context, &error).await,
            }
        }
    }

    async fn step(&mut self) -> Result<(), CallError> {
        if self.context.stopping.is_cancelled() || self.context.is_partitioned() {
            // Another instance takes over after the lease; nothing is started here. What a
            // partitioned instance sees says nothing about the engines.
            tokio::time::sleep(POLL_INTERVAL).await;
            return Ok(());
        }
        if !self.leadership.is_leader() {
            // Only readers are candidates, since each candidate has to follow the topic.
            if !self.context.is_reader() {
                tokio::time::sleep(POLL_INTERVAL).await;
                return Ok(());
            }
            return self.wait_for_takeover().await;
        }
        if let Some(window) = self.window_to_report()
            && self.report_window(window).await?
        {
            return Ok(());
        }
        let steps = self.due_steps();
        if !steps.is_empty() {
            return self.carry_out(steps).await;
        }
        let now = self.context.now();
        if self
            .appended_at
            .is_none_or(|at| now.since(at) >= LEADER_HEARTBEAT_INTERVAL)
        {
            return self.append(None).await.map(drop);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
        Ok(())
    }

    /// Reads the topic; appends a record if the leader has not appended one for too long.
    async fn wait_for_takeover(&mut self) -> Result<(), CallError> {
        let wait = match self.leadership.end() {
            None => TimeSpan::ZERO,
            Some(_) => READ_WAIT.min(self.leadership.takeover_wait(self.context.now())),
        };
        self.read_records(wait).await?;
        if !self.leadership.is_leader() && self.leadership.may_append(self.context.now()) {
            self.append(None).await?;
            if self.leadership.is_leader() {
                LogLine::new("steward").with("outcome", "taken_over").info();
            }
        }
        if self.leadership.leader().is_none() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn read_records(&mut self, wait: TimeSpan) -> Result<(), CallError> {
        let from = self.leadership.end().unwrap_or(LogOffset::START);
        let timeout = wait + CALL_TIMEOUT;
        match self
            .context
            .store
            .read(LEADER_PART, from, wait, timeout)
            .await
        {
            Ok(ReadAnswer::Records { records, end }) => {
                for record in records {
                    self.apply_record(record.offset, &record.bytes);
                }
                self.leadership.note_end(end);
                Ok(())
            }
            Ok(ReadAnswer::Trimmed { first }) => {
                self.leadership.note_end(first);
                Ok(())
            }
            // A topic without any record does not exist yet.
            Err(CallError::Status { status: 404, .. }) => {
                self.leadership.note_end(LogOffset::START);
                Ok(())
            }
            Err(error) => Err(error),
        }
    }

    fn apply_record(&mut self, offset: LogOffset, bytes: &[u8]) {
        let record = match LeaderRecord::decode(bytes) {
            Ok(record) => record,
            Err(error) => {
                LogLine::new("steward_record_rejected")
                    .with("offset", offset)
                    .with("error", error)
                    .warn();
                return;
            }
        };
        let Some(writer) = parse_writer(&record.instance, record.start) else {
            return;
        };
        if let Some(frozen) = &record.frozen {
            let window = UsageWindow::new(frozen.window);
            self.frozen.entry(window).or_insert_with(|| frozen.counts());
        }
        if record.reported > 0 {
            self.note_reported(UsageWindow::new(record.reported));
        }
        for baseline in record.bases.iter().filter_map(BaseMessage::base) {
            self.planner.set_baseline(baseline);
        }
        for (service, engines) in record.needs.iter().filter_map(NeedMessage::need) {
            self.planner.set_needed(service, engines);
        }
        self.leadership
            .note_record(self.context.now(), offset, writer);
    }

    fn note_reported(&mut self, window: UsageWindow) {
        self.reported = self.reported.max(Some(window));
        let reported = self.reported;
        self.frozen.retain(|window, _| Some(*window) > reported);
    }

    /// The oldest window that has ended and has not been reported.
    fn window_to_report(&self) -> Option<UsageWindow> {
        let length = self.context.settings.bounds.usage_window;
        let current = UsageWindow::at(wall_time() - FREEZE_DELAY, length);
        let oldest = UsageWindow::new(current.number().saturating_sub(MAX_WINDOWS_BACK));
        let next = self.reported.map_or(self.first_window, UsageWindow::next);
        let window = next.max(oldest);
        (window < current).then_some(window)
    }

    /// Freezes and reports a window; returns false if it can't be frozen yet.
    async fn report_window(&mut self, window: UsageWindow) -> Result<bool, CallError> {
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
        let reported = self
            .client
            .report_usage(&authority, number, &counts, CALL_TIMEOUT);
        let reported = reported.await;
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

    /// Whether the counts of a window are complete, because each instance that is alive has
    /// published after its end, or must be frozen to be reported in time.
    ///
    /// An instance that is partitioned from the store continues to serve requests for some
    /// seconds, and publishes its counts when it is back. A report without them would lack
    /// all of its requests.
    fn may_freeze(&self, window: UsageWindow) -> bool {
        let bounds = &self.context.settings.bounds;
        let end_ms = window.next().number() * bounds.usage_window.as_millis();
        let due_ms = end_ms
            + bounds
                .usage_lateness
                .saturating_sub(REPORT_MARGIN)
                .as_millis();
        if wall_time().as_millis() >= due_ms {
            return true;
        }
        let now = self.context.now();
        let peers = self.context.peers.lock();
        let mut alive = peers.alive(now).map(|(instance, _)| instance);
        let local = &self.context.writer.instance;
        let domain = &self.context.settings.domain;
        let mut pending = self.ledger.pending(window);
        alive.all(|peer| self.ledger.is_complete(peer, window))
            && self.ledger.is_complete(local, window)
            && !pending.any(|peer| peers.is_represented(now, domain, peer))
    }

    pub(super) fn authority(&self, grant: &LeaderGrant) -> DutyAuthority {
        DutyAuthority {
            holder: self.context.writer.instance.clone(),
            fence: grant.fence,
        }
    }

    /// Appends a record only if the topic still ends where this process has read up to.
    /// Returns the right to act, or `None` if another process has appended meanwhile.
    pub(super) async fn append(
        &mut self,
        frozen: Option<WindowCounts>,
    ) -> Result<Option<LeaderGrant>, CallError> {
        let record = LeaderRecord {
            instance: self.context.writer.instance.to_string(),
            start: self.context.writer.start,
            frozen: frozen.clone(),
            reported: self.reported.map_or(0, UsageWindow::number),
            bases: self
                .planner
                .baselines()
                .iter()
                .map(BaseMessage::new)
                .collect(),
            needs: self
                .planner
                .needed()
                .map(|(service, engines)| NeedMessage::new(service, engines))
                .collect(),
        };
        let end = self.leadership.end();
        let sent = self.context.now();
        let records = [encode(&record)];
        let store = &self.context.store;
        let appended = store.append(LEADER_PART, end, &records, CALL_TIMEOUT).await;
        match appended {
            Ok(AppendAnswer::Appended { offset }) => {
                let now = self.context.now();
                self.appended_at = Some(now);
                if let Some(frozen) = frozen {
                    let window = UsageWindow::new(frozen.window);
                    self.frozen.entry(window).or_insert_with(|| frozen.counts());
                }
                Ok(Some(self.leadership.appended(now, sent, offset)))
            }
            Ok(AppendAnswer::EndMismatch { .. }) => {
                self.read_records(TimeSpan::ZERO).await?;
                Ok(None)
            }
            Err(error) => {
                // The append may have been carried out nevertheless, so the topic is read
                // before anything else is attempted.
                self.read_records(TimeSpan::ZERO).await?;
                Err(error)
            }
        }
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
        self.ledger.note_reached(writer.instance.clone(), current);
        for window in &record.windows {
            let number = UsageWindow::new(window.window);
            self.ledger.record(number, writer.clone(), window.counts());
        }
    }
}
