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
    leader::{
        publish,
        records::{
            BaseMessage, LEADER_PART, LeaderRecord, NeedMessage, WindowCounts, encode, parse_writer,
        },
    },
    sync::StoreBackoff,
    time::wall_time,
};

/// How long the store may hold a read of the leaders' topic until there is a record.
const READ_WAIT: TimeSpan = TimeSpan::from_millis(4_500);

/// The timeout of one call; a longer call would outlast the right to act.
pub(super) const CALL_TIMEOUT: TimeSpan = TimeSpan::from_millis(900);

/// The pause between two checks for work.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// How often the clock is read during a call, as timers stand still while the process is suspended.
const EXPIRY_CHECK_INTERVAL: TimeSpan = TimeSpan::from_millis(100);

/// The leadership task of one process: carries out the duties while the process is the
/// leader, and otherwise waits until the leader stops appending records.
#[derive(Debug)]
pub struct LeaderTask {
    pub(super) context: Arc<EntryContext>,
    pub(super) client: DutyClient,
    leadership: LeadershipState,
    /// The counts of windows that this leader or an earlier one has frozen.
    pub(super) frozen: BTreeMap<UsageWindow, MeteredCounts>,
    /// The last window whose report was accepted.
    pub(super) reported: Option<UsageWindow>,
    pub(super) planner: ProvisionPlanner,
    pub(super) ledger: UsageLedger,
    pub(super) usage_next: LogOffset,
    pub(super) usage_read_at: Option<ClockTime>,
    /// When this process last appended a record.
    appended_at: Option<ClockTime>,
    /// The window in which this process started.
    pub(super) first_window: UsageWindow,
    /// The last window that waited for counts.
    pub(super) waiting_window: Option<UsageWindow>,
}

impl LeaderTask {
    /// A task of a process that has not read the topic yet.
    pub fn new(context: Arc<EntryContext>, client: DutyClient) -> LeaderTask {
        let lease = context.settings.bounds.lease;
        let leadership = LeadershipState::new(context.now(), context.writer.clone(), lease);
        let first_window = publish::schedule(&context).current(wall_time());
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
            waiting_window: None,
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
            // One instance of a failure domain is a candidate, since each has to follow the topic.
            if !self.context.calls_for_domain() {
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

    pub(super) fn authority(&self, grant: &LeaderGrant) -> DutyAuthority {
        DutyAuthority {
            holder: self.context.writer.instance.clone(),
            fence: grant.fence,
        }
    }

    /// Makes a call that `grant` allows, and drops it once the grant no longer covers it. The timeout of
    /// the call itself does not elapse while the process is suspended.
    pub(super) async fn call_within<Call, Answer>(
        &self,
        grant: &LeaderGrant,
        call: Call,
    ) -> Result<Answer, CallError>
    where
        Call: Future<Output = Result<Answer, CallError>>,
    {
        tokio::select! {
            answer = call => answer,
            () = self.wait_until_expired(grant) => Err(CallError::Revoked),
        }
    }

    async fn wait_until_expired(&self, grant: &LeaderGrant) {
        loop {
            let remaining = grant.call_time_left(self.context.now());
            if remaining == TimeSpan::ZERO {
                return;
            }
            tokio::time::sleep(remaining.min(EXPIRY_CHECK_INTERVAL).as_duration()).await;
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
}
