//! The handle that a daemon holds on its node.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use bluebell_core::{
    clock::{ClockSource, ClockTime, TimeSpan},
    ids::{LogOffset, WriterId},
    membership::{
        InstanceListing, InstanceProgram, InstanceState, LocalStatus, MemberTable, PeerStatus,
    },
    records::{LogEntry, LogRecord, WithdrawRecord},
    view::{FleetView, ViewEvent},
};
use bluebell_platform::PlatformClient;
use tokio::{
    net::TcpListener,
    sync::{broadcast, mpsc, oneshot, watch},
};
use tokio_util::sync::CancellationToken;

use crate::{
    admin::NodeReport,
    announce,
    append::{AppendError, AppendJob, LogAppender},
    follow,
    settings::NodeSettings,
};

/// How many events a slow subscriber may lag behind before it must look at the
/// whole view again.
const EVENT_BACKLOG: usize = 1_024;

/// How many appends may wait.
const APPEND_BACKLOG: usize = 1_024;

/// What a node knows of its own place in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct LogProgress {
    /// The offset of the next entry to apply.
    pub next: LogOffset,
    /// Whether the log's end has been reached since the node started.
    pub caught_up: bool,
    /// When the log was last read with success.
    pub read_at: Option<ClockTime>,
}

struct NodeState {
    settings: NodeSettings,
    clock: ClockSource,
    client: PlatformClient,
    view: Mutex<FleetView>,
    events: broadcast::Sender<ViewEvent>,
    progress: watch::Sender<LogProgress>,
    appends: mpsc::Sender<AppendJob>,
    members: Mutex<MemberTable>,
    local: watch::Sender<LocalStatus>,
}

/// A handle on a running node; clones share it.
#[derive(Clone)]
pub struct NodeHandle {
    state: Arc<NodeState>,
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
        let writer = incarnation_writer(&settings, &clock);
        let appender = LogAppender::new(
            client.clone(),
            clock.clone(),
            writer,
            settings.append_timeout,
        );
        tokio::spawn(appender.run(jobs, token.child_token()));
        let wait = settings.read_wait;
        let incarnation = clock.now().as_millis();
        let members = Mutex::new(MemberTable::new(settings.instance.clone(), incarnation));
        let state = NodeState {
            settings,
            clock,
            client: client.clone(),
            view: Mutex::new(FleetView::new()),
            events: broadcast::Sender::new(EVENT_BACKLOG),
            progress: watch::Sender::new(LogProgress::default()),
            appends,
            members,
            local: watch::Sender::new(LocalStatus::default()),
        };
        let node = NodeHandle {
            state: Arc::new(state),
        };
        tokio::spawn(follow::run(node.clone(), client, wait, token.child_token()));
        node
    }

    /// Joins the other instances: takes peer connections, appears on the
    /// platform's list as a `program` that answers HTTP at `http_address`, and
    /// does both until `token` is cancelled. Answers the address for peers.
    pub async fn join(
        &self,
        program: InstanceProgram,
        http_address: SocketAddr,
        token: &CancellationToken,
    ) -> std::io::Result<SocketAddr> {
        let settings = &self.state.settings;
        let listener = TcpListener::bind(settings.peer_address).await?;
        let peer_address = listener.local_addr()?;
        let listing = InstanceListing {
            instance: settings.instance.clone(),
            failure_domain: settings.failure_domain.clone(),
            program,
            state: InstanceState::Live,
            http_address: http_address.to_string(),
            peer_address: settings.peer_advertise.unwrap_or(peer_address).to_string(),
        };
        tokio::spawn(announce::run(self.clone(), listing, token.child_token()));
        Ok(peer_address)
    }

    /// Sets what this process tells its peers of its work. Setting the state to
    /// leaving is told at once, to peers and to the platform's list.
    pub fn set_local(&self, status: LocalStatus) {
        self.state.local.send_replace(status);
    }

    /// What this process tells its peers of its work.
    pub fn local(&self) -> LocalStatus {
        self.state.local.borrow().clone()
    }

    pub(crate) fn local_state(&self) -> InstanceState {
        self.state.local.borrow().state
    }

    /// Waits until this process's own state is no longer `before`.
    pub(crate) async fn local_changed(&self, before: InstanceState) {
        let mut local = self.state.local.subscribe();
        let changed = local.wait_for(|status| status.state != before).await;
        drop(changed);
    }

    /// What is known of every other instance, by instance.
    pub fn peers(&self) -> Vec<PeerStatus> {
        let now = self.state.clock.now();
        self.members().peers(now)
    }

    pub(crate) fn members(&self) -> std::sync::MutexGuard<'_, MemberTable> {
        self.state.members.lock().expect("no holder panics")
    }

    pub(crate) fn note_listings(&self, listings: &[InstanceListing]) {
        let now = self.state.clock.now();
        self.members().list(now, listings);
    }

    /// What this node tells operators of itself.
    pub fn report(&self) -> NodeReport {
        let progress = self.progress();
        NodeReport {
            instance: self.state.settings.instance.clone(),
            failure_domain: self.state.settings.failure_domain.clone(),
            state: self.local_state(),
            next_offset: progress.next,
            caught_up: progress.caught_up,
            freshness: self.freshness(),
            peers: self.peers(),
        }
    }

    /// The age of the newest confirmed knowledge of the log's end: no record
    /// that stood in the log longer ago than this is missing from the view.
    /// None if the end has never been confirmed.
    pub fn freshness(&self) -> Option<TimeSpan> {
        let read_at = self.progress().read_at?;
        Some(self.state.clock.now().since(read_at))
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

    /// Lets `read` look at the view. It must not block.
    pub fn with_view<Answer, Read>(&self, read: Read) -> Answer
    where
        Read: FnOnce(&FleetView) -> Answer,
    {
        read(
            &self
                .state
                .view
                .lock()
                .expect("no reader of the view panics"),
        )
    }

    /// What changes from now on.
    pub fn subscribe(&self) -> broadcast::Receiver<ViewEvent> {
        self.state.events.subscribe()
    }

    /// Where the node stands in the log.
    pub fn progress(&self) -> LogProgress {
        *self.state.progress.borrow()
    }

    /// Appends a record and waits until its fate is known or the settings'
    /// patience ends.
    pub async fn append(&self, record: LogRecord) -> Result<LogOffset, AppendError> {
        let (reply, answer) = oneshot::channel();
        let stopped = || AppendError::NotAppended("the node is stopping".to_string());
        self.state
            .appends
            .send(AppendJob { record, reply })
            .await
            .map_err(|_| stopped())?;
        answer
            .await
            .unwrap_or_else(|_| Err(AppendError::Unknown("the node stopped".to_string())))
    }

    /// Waits until the entry at `offset` has been applied; answers whether it
    /// was within `patience`.
    pub async fn wait_applied(&self, offset: LogOffset, patience: TimeSpan) -> bool {
        let mut progress = self.state.progress.subscribe();
        let applied = progress.wait_for(|progress| offset < progress.next);
        tokio::time::timeout(patience.as_duration(), applied)
            .await
            .is_ok_and(|seen| seen.is_ok())
    }

    /// Waits until the node has caught up; answers whether it did within `patience`.
    pub async fn wait_caught_up(&self, patience: TimeSpan) -> bool {
        let mut progress = self.state.progress.subscribe();
        let caught_up = progress.wait_for(|progress| progress.caught_up);
        tokio::time::timeout(patience.as_duration(), caught_up)
            .await
            .is_ok_and(|seen| seen.is_ok())
    }

    /// Applies an entry, read from the log or relayed by a peer.
    ///
    /// Events go out before the progress does, and both under the view's lock:
    /// whoever waits for an offset and then looks for its event would otherwise
    /// miss it, and of two entries applied at once the older could set the
    /// progress back.
    pub fn apply(&self, entry: &LogEntry) {
        let now = self.state.clock.now();
        let mut view = self.state.view.lock().expect("no reader panics");
        let events = view.apply(now, entry);
        let next = view.next_offset();
        self.tell(events);
        self.state.progress.send_if_modified(|progress| {
            let moved = progress.next != next;
            progress.next = next;
            moved
        });
    }

    /// Takes a withdrawal that a peer or an operator told of before the log did.
    pub fn withdraw(&self, withdrawal: &WithdrawRecord) {
        let events = self
            .state
            .view
            .lock()
            .expect("no reader panics")
            .withdraw(withdrawal);
        self.tell(events);
    }

    fn tell(&self, events: Vec<ViewEvent>) {
        for event in events {
            let _ = self.state.events.send(event);
        }
    }

    /// Notes a read of the log that succeeded, with the log's end at `end`.
    pub(crate) fn note_read(&self, end: LogOffset) {
        let now = self.state.clock.now();
        self.state.progress.send_modify(|progress| {
            progress.read_at = Some(now);
            progress.caught_up |= progress.next >= end;
        });
    }

    /// Notes a read of the log that failed.
    pub(crate) fn note_read_failure(&self) {
        self.state.progress.send_modify(|_| {});
    }
}

/// A writer name that no earlier process of this instance had: sequence numbers
/// start again with every process, and readers drop what they take for repeats.
fn incarnation_writer(settings: &NodeSettings, clock: &ClockSource) -> WriterId {
    let salt: u32 = rand::random();
    let name = format!("{}:{}:{salt:08x}", settings.instance, clock.now());
    WriterId::new(name).expect("instance ids are short enough")
}
