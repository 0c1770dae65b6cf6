//! The handle that a daemon holds on its node: the view, its changes, appends.

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

/// How many events a slow subscriber may lag behind before it must look at the
/// whole view again.
const EVENT_BACKLOG: usize = 1_024;

/// How many appends may wait.
const APPEND_BACKLOG: usize = 1_024;

/// How long a wait for an entry trusts the relay before the log is read directly.
const RELAY_TIMEOUT: TimeSpan = TimeSpan::from_millis(50);

/// What a node knows of its own place in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct LogProgress {
    /// The offset of the next entry to apply.
    pub next: LogOffset,
    /// Whether the log's end, or in an outage the greatest offset of the peers
    /// within reach, has been reached since the node started.
    pub caught_up: bool,
    /// When the log was last read with success.
    pub read_at: Option<ClockTime>,
}

/// Everything that changes with an entry, under one lock: a reader never sees
/// a view without the relayed entries that led to it.
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
    /// An offset that somebody waits for, to be read directly if need be.
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
    /// Why the node has not caught up, for operators.
    pub(crate) obstacle: Mutex<String>,
    /// Counts up to make all connections send a heartbeat at once.
    pub(crate) heartbeat_requests: watch::Sender<u64>,
    pub(crate) peer_bytes: std::sync::atomic::AtomicU64,
    pub(crate) log_reads: std::sync::atomic::AtomicU64,
}

/// A handle on a running node; clones share it.
#[derive(Clone)]
pub struct NodeHandle {
    pub(crate) state: Arc<NodeState>,
}

pub(crate) fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().expect("no holder panics")
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

    /// The name under which this process appends.
    pub fn writer(&self) -> &WriterId {
        &self.state.writer
    }

    pub(crate) fn log(&self) -> MutexGuard<'_, LogState> {
        lock(&self.state.log)
    }

    /// Lets `read` look at the view. It must not block.
    pub fn with_view<Answer, Read>(&self, read: Read) -> Answer
    where
        Read: FnOnce(&FleetView) -> Answer,
    {
        read(&self.log().view)
    }

    /// What changes from now on.
    pub fn subscribe(&self) -> broadcast::Receiver<ViewEvent> {
        self.state.events.subscribe()
    }

    /// Where the node stands in the log.
    pub fn progress(&self) -> LogProgress {
        *self.state.progress.borrow()
    }

    /// The age of the newest confirmed knowledge of the log's end, read by this
    /// node or relayed: no record that stood in the log longer ago than this is
    /// missing from the view. None if the end has never been confirmed.
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

    /// Appends a record and waits until its fate is known or the settings'
    /// patience ends. The offset is that at which readers count the record: if
    /// the answer to a first try was lost and the record stands twice, the first.
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
            let message = format!("it may stand twice, up to offset {}", appended.offset);
            return Err(AppendError::Unknown(message));
        }
        let standing = self.with_view(|view| view.writers.last_record(&self.state.writer));
        match standing {
            Some(mark) if mark.sequence == appended.sequence => Ok(mark.offset),
            // The writer has appended since; only the first copy can have been
            // taken before that, and its offset is no longer remembered.
            _ => Err(AppendError::Unknown("it stands twice".to_string())),
        }
    }

    /// Waits until the entry at `offset` has been applied; answers whether it
    /// was within `patience`.
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
        // The relay lags: somebody waits for this very entry, so read the log.
        self.state
            .requested_offset
            .send_if_modified(|requested_offset| {
                let further = *requested_offset <= offset;
                *requested_offset = (*requested_offset).max(offset.next());
                further
            });
        applied(timeout.saturating_sub(RELAY_TIMEOUT)).await
    }

    /// Waits until the node has caught up; answers whether it did within `patience`.
    pub async fn wait_caught_up(&self, timeout: TimeSpan) -> bool {
        let mut progress = self.state.progress.subscribe();
        let caught_up = progress.wait_for(|progress| progress.caught_up);
        tokio::time::timeout(timeout.as_duration(), caught_up)
            .await
            .is_ok_and(|seen| seen.is_ok())
    }

    /// Bytes of peer traffic sent and received since the start.
    pub fn peer_bytes(&self) -> u64 {
        self.state
            .peer_bytes
            .load(std::sync::atomic::Ordering::Relaxed)
    }

    /// Reads of the platform's log since the start.
    pub fn log_reads(&self) -> u64 {
        self.state
            .log_reads
            .load(std::sync::atomic::Ordering::Relaxed)
    }
}

/// A writer name that no earlier process of this instance had: sequence numbers
/// start again with every process, and readers drop what they take for repeats.
fn unique_writer_id(settings: &NodeSettings, clock: &ClockSource) -> WriterId {
    let salt: u32 = rand::random();
    let name = format!("{}:{}:{salt:08x}", settings.instance, clock.now());
    WriterId::new(name).expect("instance ids are short enough")
}
