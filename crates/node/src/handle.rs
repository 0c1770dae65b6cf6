//! The handle through which a daemon uses its node: the view, its events, appends.

use std::sync::{Arc, Mutex, MutexGuard};

use bluebell_core::{
    clock::{ClockSource, ClockTime, TimeSpan},
    ids::{LogOffset, WriterId},
    membership::{LinkPlan, LocalStatus, LogFreshness, MemberTable},
    records::LogRecord,
    view::{FleetView, ViewEvent},
};
use bluebell_platform::PlatformClient;
use tokio::sync::{broadcast, mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::{
    append::{AppendError, AppendJob, LogAppender},
    buffer::RelayBuffer,
    follow,
    peers::link_table::LinkTable,
    settings::NodeSettings,
    urgent_records::UrgentRecordCache,
    withdraw::PendingWithdrawals,
};

/// How many events are buffered for a slow subscriber. One that lags further
/// loses events and must read the whole view again.
const EVENT_BACKLOG: usize = 1_024;

/// Maximum number of queued appends.
const APPEND_BACKLOG: usize = 1_024;

/// How long a wait for an entry relies on the relay before the log is read directly.
const RELAY_TIMEOUT: TimeSpan = TimeSpan::from_millis(50);

/// How far a node has followed the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct LogProgress {
    /// The offset of the next entry to apply.
    pub next: LogOffset,
    /// Whether the node has, since it started, reached the end of the log or, while
    /// the log was unavailable, the greatest offset of the connected peers.
    pub caught_up: bool,
    /// When the log was last read successfully.
    pub read_at: Option<ClockTime>,
}

/// The state that each applied entry changes, under one lock: the view is never
/// visible without the buffered entries that led to it.
pub(crate) struct LogState {
    pub(crate) view: FleetView,
    pub(crate) buffer: RelayBuffer,
    pub(crate) freshness: LogFreshness,
}

pub(crate) struct NodeState {
    pub(crate) settings: NodeSettings,
    pub(crate) clock: ClockSource,
    pub(crate) started: ClockTime,
    pub(crate) client: PlatformClient,
    pub(crate) log: Mutex<LogState>,
    pub(crate) events: broadcast::Sender<ViewEvent>,
    pub(crate) progress: watch::Sender<LogProgress>,
    /// The next offset that callers wait to reach. While it is ahead of the
    /// progress, the log is read directly.
    pub(crate) requested_offset: watch::Sender<LogOffset>,
    pub(crate) appends: mpsc::Sender<AppendJob>,
    pub(crate) writer: WriterId,
    pub(crate) members: Mutex<MemberTable>,
    pub(crate) plan: watch::Sender<LinkPlan>,
    pub(crate) links: Mutex<LinkTable>,
    pub(crate) urgent_records: Mutex<UrgentRecordCache>,
    pub(crate) urgent_record_events: broadcast::Sender<LogRecord>,
    pub(crate) withdrawals: Mutex<PendingWithdrawals>,
    pub(crate) local: watch::Sender<LocalStatus>,
    /// Why the node has not caught up, as shown to operators.
    pub(crate) obstacle: Mutex<String>,
    /// Incremented to make all connections send a heartbeat at once.
    pub(crate) heartbeat_requests: watch::Sender<u64>,
    pub(crate) peer_bytes: std::sync::atomic::AtomicU64,
    pub(crate) log_reads: std::sync::atomic::AtomicU64,
}

/// A handle to a running node; clones refer to the same node.
#[derive(Clone)]
pub struct NodeHandle {
    pub(crate) state: Arc<NodeState>,
}

pub(crate) fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex
        .lock()
        .expect("no thread panics while it holds the lock")
}

impl NodeHandle {
    /// Starts a node that runs until `token` is cancelled.
    pub fn start(
        settings: NodeSettings,
        clock: ClockSource,
        token: &CancellationToken,
    ) -> NodeHandle {
        let client = PlatformClient::new(
            &settings.platform,
            &settings.instance,
            &settings.failure_domain,
        );
        let (appends, jobs) = mpsc::channel(APPEND_BACKLOG);
        let writer = unique_writer_id(&settings, &clock);
        let appender = LogAppender::new(
            client.clone(),
            clock.clone(),
            writer.clone(),
            settings.append_timeout,
        );
        tokio::spawn(appender.run(jobs, token.child_token()));
        let started = clock.now();
        let members = MemberTable::new(settings.instance.clone(), started.as_millis());
        let state = NodeState {
            clock,
            started,
            client: client.clone(),
            log: Mutex::new(LogState {
                view: FleetView::new(),
                buffer: RelayBuffer::new(),
                freshness: LogFreshness::new(),
            }),
            events: broadcast::Sender::new(EVENT_BACKLOG),
            progress: watch::Sender::new(LogProgress::default()),
            requested_offset: watch::Sender::new(LogOffset::START),
            appends,
            writer,
            members: Mutex::new(members),
            plan: watch::Sender::new(LinkPlan {
                is_reader: true,
                ..LinkPlan::default()
            }),
            links: Mutex::new(LinkTable::new()),
            urgent_records: Mutex::new(UrgentRecordCache::new()),
            urgent_record_events: broadcast::Sender::new(EVENT_BACKLOG),
            withdrawals: Mutex::new(PendingWithdrawals::new()),
            local: watch::Sender::new(LocalStatus::default()),
            obstacle: Mutex::new("the log has not been read yet".to_string()),
            heartbeat_requests: watch::Sender::new(0),
            peer_bytes: Default::default(),
            log_reads: Default::default(),
            settings,
        };
        let node = NodeHandle {
            state: Arc::new(state),
        };
        tokio::spawn(follow::run(node.clone(), client, token.child_token()));
        node
    }

    /// The node's settings.
    pub fn settings(&self) -> &NodeSettings {
        &self.state.settings
    }

    /// The node's clock.
    pub fn clock(&self) -> &ClockSource {
        &self.state.clock
    }

    /// The node's client of the platform.
    pub fn platform(&self) -> &PlatformClient {
        &self.state.client
    }

    /// The writer id under which this process appends.
    pub fn writer(&self) -> &WriterId {
        &self.state.writer
    }

    pub(crate) fn log(&self) -> MutexGuard<'_, LogState> {
        lock(&self.state.log)
    }

    /// Calls `read` with the view while the view is locked; `read` must not block.
    pub fn with_view<Answer, Read>(&self, read: Read) -> Answer
    where
        Read: FnOnce(&FleetView) -> Answer,
    {
        read(&self.log().view)
    }

    /// Subscribes to the events that the view produces from now on.
    pub fn subscribe(&self) -> broadcast::Receiver<ViewEvent> {
        self.state.events.subscribe()
    }

    /// How far the node has followed the log.
    pub fn progress(&self) -> LogProgress {
        *self.state.progress.borrow()
    }

    /// The time since the end of the log was last confirmed, by a read of this node
    /// or through a peer: no record that was in the log that long ago is missing
    /// from the view. None if the end has never been confirmed.
    pub fn freshness(&self) -> Option<TimeSpan> {
        let now = self.state.clock.now();
        self.log().freshness.age(now)
    }

    /// Why the node has not caught up yet; none if it has.
    pub fn obstacle(&self) -> Option<String> {
        match self.progress().caught_up {
            true => None,
            false => Some(lock(&self.state.obstacle).clone()),
        }
    }

    pub(crate) fn note_obstacle(&self, obstacle: String) {
        *lock(&self.state.obstacle) = obstacle;
    }

    /// Appends a record and waits until its outcome is known or the configured
    /// append time-out ends. Returns the offset at which the record is applied: if
    /// the response to the first attempt was lost and the record is in the log
    /// twice, the offset of the first copy.
    ///
    /// # Errors
    ///
    /// [`AppendError::NotAppended`] if the record has no effect,
    /// [`AppendError::Unknown`] if it may be in the log.
    pub async fn append(&self, record: LogRecord) -> Result<LogOffset, AppendError> {
        let (reply, answer) = oneshot::channel();
        let stopped = || AppendError::NotAppended("the node is stopping".to_string());
        self.state
            .appends
            .send(AppendJob { record, reply })
            .await
            .map_err(|_| stopped())?;
        let appended = answer
            .await
            .unwrap_or_else(|_| Err(AppendError::Unknown("the node stopped".to_string())))?;
        if !appended.may_be_duplicated {
            return Ok(appended.offset);
        }
        let timeout = self.state.settings.append_timeout;
        if !self.wait_applied(appended.offset, timeout).await {
            let message = format!(
                "the record may be in the log twice, up to offset {}",
                appended.offset
            );
            return Err(AppendError::Unknown(message));
        }
        let last_applied = self.with_view(|view| view.writers.last_record(&self.state.writer));
        match last_applied {
            Some(mark) if mark.sequence == appended.sequence => Ok(mark.offset),
            // The writer has appended again since. The copy applied before that was
            // the first one, and its offset is no longer stored.
            _ => Err(AppendError::Unknown("the record may be in the log twice, and the offset at which it was applied is no longer stored".to_string())),
        }
    }

    /// Waits until the entry at `offset` has been applied; returns whether it was
    /// applied within `timeout`.
    pub async fn wait_applied(&self, offset: LogOffset, timeout: TimeSpan) -> bool {
        let mut progress = self.state.progress.subscribe();
        let mut applied = async |timeout: TimeSpan| {
            let applied = progress.wait_for(|progress| offset < progress.next);
            tokio::time::timeout(timeout.as_duration(), applied)
                .await
                .is_ok_and(|seen| seen.is_ok())
        };
        if applied(timeout.min(RELAY_TIMEOUT)).await {
            return true;
        }
        // The relay lags and this entry is awaited: request a direct read of the log.
        self.state
            .requested_offset
            .send_if_modified(|requested_offset| {
                let advanced = *requested_offset <= offset;
                *requested_offset = (*requested_offset).max(offset.next());
                advanced
            });
        applied(timeout.saturating_sub(RELAY_TIMEOUT)).await
    }

    /// Waits until the node has caught up; returns whether it did within `timeout`.
    pub async fn wait_caught_up(&self, timeout: TimeSpan) -> bool {
        let mut progress = self.state.progress.subscribe();
        let caught_up = progress.wait_for(|progress| progress.caught_up);
        tokio::time::timeout(timeout.as_duration(), caught_up)
            .await
            .is_ok_and(|seen| seen.is_ok())
    }

    /// Bytes of peer traffic sent and received since the node started.
    pub fn peer_bytes(&self) -> u64 {
        self.state
            .peer_bytes
            .load(std::sync::atomic::Ordering::Relaxed)
    }

    /// Number of reads of the platform's log since the node started.
    pub fn log_reads(&self) -> u64 {
        self.state
            .log_reads
            .load(std::sync::atomic::Ordering::Relaxed)
    }
}

/// Returns a writer id that no earlier process of this instance used: sequence
/// numbers start again with every process, and followers of the log drop a
/// sequence number that they have already applied for a writer.
fn unique_writer_id(settings: &NodeSettings, clock: &ClockSource) -> WriterId {
    let salt: u32 = rand::random();
    let name = format!("{}:{}:{salt:08x}", settings.instance, clock.now());
    WriterId::new(name).expect("instance ids are short enough")
}
