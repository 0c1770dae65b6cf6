//! Standing for the stewardship, and acting while it is held.

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
        BaseMessage, LEADER_PART, LeaderRecord, USAGE_PART, UsageRecord, WindowCounts, encode,
        writer,
    },
    sync::StoreBackoff,
    time::wall_time,
};

/// How long after its end a window is frozen: entries publish their last counts
/// some ms after it, and the store may be slow.
const FREEZE_AFTER: TimeSpan = TimeSpan::from_millis(1_600);

/// How long before a report is due it is sent, whoever has not published: a failed
/// report can be repeated once in this time, and a next steward can take over.
const REPORT_MARGIN: TimeSpan = TimeSpan::from_millis(3_000);

/// How long the store may hold back a read of the stewards' topic.
const READ_WAIT: TimeSpan = TimeSpan::from_millis(4_500);

/// How long one call may take: the right to act is over by then.
pub(super) const CALL_TIMEOUT: TimeSpan = TimeSpan::from_millis(900);

/// How often a steward looks whether there is something to do.
const STEP: Duration = Duration::from_millis(250);

/// How often the counts are read while a window waits for some.
const USAGE_INTERVAL: TimeSpan = TimeSpan::from_millis(700);

/// How many windows back are reported after an outage.
const WINDOWS_BACK: u64 = 3;

/// The duties of one process: those of the steward while it is the steward,
/// waiting for the steward's silence otherwise.
#[derive(Debug)]
pub struct LeaderTask {
    pub(super) context: Arc<EntryContext>,
    pub(super) client: DutyClient,
    seat: LeadershipState,
    /// Figures that were frozen, by this steward or one before it.
    frozen: BTreeMap<UsageWindow, MeteredCounts>,
    reported: Option<UsageWindow>,
    pub(super) planner: ProvisionPlanner,
    ledger: UsageLedger,
    usage_next: LogOffset,
    usage_read_at: Option<ClockTime>,
    /// When this process last appended.
    beat_at: Option<ClockTime>,
    started: UsageWindow,
}

impl LeaderTask {
    /// A process that knows nothing yet.
    pub fn new(context: Arc<EntryContext>, client: DutyClient) -> LeaderTask {
        let lease = context.settings.bounds.lease;
        let seat = LeadershipState::new(context.now(), context.writer.clone(), lease);
        let started = UsageWindow::at(wall_time(), context.settings.bounds.usage_window);
        LeaderTask {
            context,
            client,
            seat,
            frozen: BTreeMap::new(),
            reported: None,
            planner: ProvisionPlanner::new(),
            ledger: UsageLedger::new(),
            usage_next: LogOffset::START,
            usage_read_at: None,
            beat_at: None,
            started,
        }
    }

    /// Serves for good.
    pub async fn serve(mut self) {
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
        if self.context.stopping.is_cancelled() {
            // Somebody else takes over after the lease; nothing is begun here.
            tokio::time::sleep(STEP).await;
            return Ok(());
        }
        if !self.seat.is_leader() {
            // Only readers stand for it: each candidate has to follow the topic.
            if !self.context.is_reader() {
                tokio::time::sleep(STEP).await;
                return Ok(());
            }
            return self.wait_for_silence().await;
        }
        if let Some(window) = self.window_to_report()
            && self.report(window).await?
        {
            return Ok(());
        }
        let steps = self.provision_steps();
        if !steps.is_empty() {
            return self.provide(steps).await;
        }
        let now = self.context.now();
        if self
            .beat_at
            .is_none_or(|at| now.since(at) >= LEADER_HEARTBEAT_INTERVAL)
        {
            return self.append(None).await.map(drop);
        }
        tokio::time::sleep(STEP).await;
        Ok(())
    }

    /// Reads on; appends if the steward has been silent for too long.
    async fn wait_for_silence(&mut self) -> Result<(), CallError> {
        let wait = match self.seat.end() {
            None => TimeSpan::ZERO,
            Some(_) => READ_WAIT.min(self.seat.takeover_wait(self.context.now())),
        };
        self.read(wait).await?;
        if !self.seat.is_leader() && self.seat.may_append(self.context.now()) {
            self.append(None).await?;
            if self.seat.is_leader() {
                LogLine::new("steward").with("outcome", "taken_over").info();
            }
        }
        if self.seat.leader().is_none() {
            tokio::time::sleep(STEP).await;
        }
        Ok(())
    }

    async fn read(&mut self, wait: TimeSpan) -> Result<(), CallError> {
        let from = self.seat.end().unwrap_or(LogOffset::START);
        let timeout = wait + CALL_TIMEOUT;
        match self
            .context
            .store
            .read(LEADER_PART, from, wait, timeout)
            .await
        {
            Ok(ReadAnswer::Records { records, end }) => {
                for record in records {
                    self.take(record.offset, &record.bytes);
                }
                self.seat.note_end(end);
                Ok(())
            }
            Ok(ReadAnswer::Forgotten { first }) => {
                self.seat.note_end(first);
                Ok(())
            }
            // A topic that nobody has written to does not exist yet.
            Err(CallError::Status { status: 404, .. }) => {
                self.seat.note_end(LogOffset::START);
                Ok(())
            }
            Err(error) => Err(error),
        }
    }

    fn take(&mut self, offset: LogOffset, bytes: &[u8]) {
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
        let Some(writer) = writer(&record.instance, record.start) else {
            return;
        };
        if let Some(frozen) = &record.frozen {
            let window = UsageWindow::new(frozen.window);
            self.frozen.entry(window).or_insert_with(|| frozen.counts());
        }
        if record.reported > 0 {
            self.note_reported(UsageWindow::new(record.reported));
        }
        for base in record.bases.iter().filter_map(BaseMessage::base) {
            self.planner.set_baseline(base);
        }
        self.seat.note_record(self.context.now(), offset, writer);
    }

    fn note_reported(&mut self, window: UsageWindow) {
        self.reported = self.reported.max(Some(window));
        let reported = self.reported;
        self.frozen.retain(|window, _| Some(*window) > reported);
    }

    /// The oldest window that is over and has not been reported.
    fn window_to_report(&self) -> Option<UsageWindow> {
        let length = self.context.settings.bounds.usage_window;
        let current = UsageWindow::at(wall_time() - FREEZE_AFTER, length);
        let oldest = UsageWindow::new(current.number().saturating_sub(WINDOWS_BACK));
        let next = self.reported.map_or(self.started, UsageWindow::next);
        let window = next.max(oldest);
        (window < current).then_some(window)
    }

    /// Reports a window; answers whether anything was done, or has to wait.
    async fn report(&mut self, window: UsageWindow) -> Result<bool, CallError> {
        let counts = match self.frozen.get(&window) {
            Some(counts) => counts.clone(),
            None => {
                self.read_usage_at_times().await?;
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
        // Whatever was frozen first holds, should two have frozen the window.
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
                tokio::time::sleep(STEP).await;
            }
        }
        Ok(true)
    }

    /// Whether the figures of a window are whole: each instance that is alive has
    /// published after its end, or there is no more time to wait.
    ///
    /// An instance that is cut off from the store goes on serving for some seconds,
    /// and publishes what it counted when it is back; a report without its counts
    /// would be off by its whole share.
    fn may_freeze(&self, window: UsageWindow) -> bool {
        let bounds = &self.context.settings.bounds;
        let end_ms = window.next().number() * bounds.usage_window.as_millis();
        let due_ms = end_ms + bounds.usage_lateness.less(REPORT_MARGIN).as_millis();
        if wall_time().as_millis() >= due_ms {
            return true;
        }
        let now = self.context.now();
        let peers = self.context.peers.lock();
        let mut alive = peers.alive(now).map(|(instance, _)| instance);
        let own = &self.context.writer.instance;
        let domain = &self.context.settings.domain;
        let mut pending = self.ledger.pending(window);
        alive.all(|peer| self.ledger.is_complete(peer, window))
            && self.ledger.is_complete(own, window)
            && !pending.any(|peer| peers.is_represented(now, domain, peer))
    }

    pub(super) fn authority(&self, grant: &LeaderGrant) -> DutyAuthority {
        DutyAuthority {
            holder: self.context.writer.instance.clone(),
            fence: grant.fence,
        }
    }

    /// Appends a record where the topic ends as far as this process has read it.
    /// Nothing comes back if somebody else has written meanwhile.
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
        };
        let end = self.seat.end();
        let sent = self.context.now();
        let records = [encode(&record)];
        let store = &self.context.store;
        let appended = store.append(LEADER_PART, end, &records, CALL_TIMEOUT).await;
        match appended {
            Ok(AppendAnswer::Appended { offset }) => {
                let now = self.context.now();
                self.beat_at = Some(now);
                if let Some(frozen) = frozen {
                    let window = UsageWindow::new(frozen.window);
                    self.frozen.entry(window).or_insert_with(|| frozen.counts());
                }
                Ok(Some(self.seat.appended(now, sent, offset)))
            }
            Ok(AppendAnswer::EndMoved { .. }) => {
                self.read(TimeSpan::ZERO).await?;
                Ok(None)
            }
            Err(error) => {
                // It may be carried out all the same, so what stands there now is
                // read before anything else is tried.
                self.read(TimeSpan::ZERO).await?;
                Err(error)
            }
        }
    }

    async fn read_usage_at_times(&mut self) -> Result<(), CallError> {
        let now = self.context.now();
        if self
            .usage_read_at
            .is_some_and(|at| now.since(at) < USAGE_INTERVAL)
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
                        self.take_usage(&record.bytes);
                    }
                    let next = records.last().map_or(end, |record| record.offset.next());
                    self.usage_next = next;
                    if records.is_empty() || next >= end {
                        return Ok(());
                    }
                }
                Ok(ReadAnswer::Forgotten { first }) => self.usage_next = first,
                Err(CallError::Status { status: 404, .. }) => return Ok(()),
                Err(error) => return Err(error),
            }
        }
    }

    fn take_usage(&mut self, bytes: &[u8]) {
        let record = match UsageRecord::decode(bytes) {
            Ok(record) => record,
            Err(error) => {
                LogLine::new("usage_record_rejected")
                    .with("error", error)
                    .warn();
                return;
            }
        };
        let Some(writer) = writer(&record.instance, record.start) else {
            return;
        };
        let current = UsageWindow::new(record.current);
        self.ledger.note_reached(writer.instance.clone(), current);
        for window in &record.windows {
            let number = UsageWindow::new(window.window);
            self.ledger.take(number, writer.clone(), window.counts());
        }
    }
}
