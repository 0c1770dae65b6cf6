//! Sends and handles each kind of frame.

use bluebell_core::{
    checkpoint::{CheckpointWriter, PART_SIZE},
    clock::TimeSpan,
    ids::{InstanceId, LogOffset},
    membership::LogEndConfirmation,
    records::{CheckpointPart, LogRecord},
    view::FleetView,
};
use bluebell_daemon::logs::LogLine;
use prost::Message;
use tokio::sync::broadcast;

use crate::{
    handle::{NodeHandle, lock},
    peers::{
        link::{LinkError, PeerConnection},
        wire::{
            EntriesMessage, EntryMessage, HeartbeatMessage, ItemMessage, PeerBody,
            SnapshotPartMessage, UrgentRecordMessage,
        },
    },
};

/// Bytes of gossip updates that one process sends, and accepts, per second over
/// all its connections.
const UPDATE_BYTES_PER_SECOND: usize = 500;

/// Minimum credit, in bytes, for which gossip updates are sent: with many
/// connections, some heartbeats carry none until the credit has built up.
const MIN_UPDATE_BYTES: usize = 64;

/// Maximum bytes of gossip updates in one heartbeat.
const MAX_UPDATE_BYTES: usize = 400;

impl PeerConnection {
    /// Handles a received frame.
    pub(crate) async fn handle_frame(&mut self, body: PeerBody) -> Result<(), LinkError> {
        match body {
            PeerBody::Hello(_) => Err(LinkError::Frame(
                "a second hello message was received".to_string(),
            )),
            PeerBody::Heartbeat(heartbeat) => {
                self.handle_heartbeat(heartbeat);
                Ok(())
            }
            PeerBody::Pull(pull) => {
                self.pull = Some(LogOffset::new(pull.from));
                self.answer_pull().await
            }
            PeerBody::Entries(entries) => {
                self.handle_entries(entries);
                Ok(())
            }
            PeerBody::UrgentRecord(message) => {
                self.node.handle_urgent_record(&message, &self.peer);
                Ok(())
            }
            PeerBody::SnapshotPull(_) => self.send_snapshot().await,
            PeerBody::SnapshotPart(part) => self.handle_snapshot_part(&part),
        }
    }

    pub(crate) async fn send_heartbeat(&mut self) -> Result<(), LinkError> {
        let local = self.node.settings().instance.clone();
        let budget = UPDATE_BYTES_PER_SECOND / lock(&self.node.state.links).len().max(1);
        let items = self.next_updates(&local, budget);
        let now = self.node.clock().now();
        let progress = self.node.progress();
        let heartbeat = HeartbeatMessage {
            stamp: now.since(self.node.state.started).as_millis(),
            echo: self.echo,
            next_offset: progress.next.number(),
            freshness: self.node.freshness().map(TimeSpan::as_millis),
            caught_up: progress.caught_up,
            items,
            update_budget: Some(budget as u64),
        };
        self.send(PeerBody::Heartbeat(heartbeat)).await
    }

    /// Returns the gossip updates to send with the next heartbeat. Each call adds
    /// the smaller of `budget` and the peer's budget, in bytes, to the credit;
    /// nothing is sent until the credit reaches [`MIN_UPDATE_BYTES`].
    fn next_updates(&mut self, local: &InstanceId, budget: usize) -> Vec<ItemMessage> {
        self.credit = (self.credit + budget.min(self.peer_budget)).min(MAX_UPDATE_BYTES);
        if self.credit < MIN_UPDATE_BYTES {
            return Vec::new();
        }
        let items = self.node.members().heartbeat_items(&self.peer, self.credit);
        let items: Vec<ItemMessage> = items
            .iter()
            .map(|item| ItemMessage::new(local, item))
            .collect();
        let bytes: usize = items.iter().map(Message::encoded_len).sum();
        self.credit = self.credit.saturating_sub(bytes);
        items
    }

    fn handle_heartbeat(&mut self, heartbeat: HeartbeatMessage) {
        self.echo = Some(heartbeat.stamp);
        if let Some(budget) = heartbeat.update_budget {
            self.peer_budget = budget as usize;
        }
        let next = LogOffset::new(heartbeat.next_offset);
        let now = self.node.clock().now();
        if let Some(link) = lock(&self.node.state.links).link_mut(&self.peer) {
            link.next_offset = Some(next);
            link.caught_up = heartbeat.caught_up;
        }
        let echoed = heartbeat.echoed(self.node.state.started);
        if let (Some(echoed), Some(age)) = (echoed, heartbeat.age()) {
            self.node
                .confirm(LogEndConfirmation::with_heartbeat(echoed, age, next));
        }
        let items = heartbeat.items.into_iter();
        let items: Vec<_> = items.filter_map(|i| i.into_item(&self.peer)).collect();
        self.node.members().receive(now, &self.peer, &items);
        // While the log can't be read, entries are only available from a peer that
        // is ahead.
        if next > self.node.progress().next && self.node.is_log_reading_late() {
            self.node.pull(&self.peer);
        }
    }

    pub(crate) async fn answer_pull(&mut self) -> Result<(), LinkError> {
        let Some(from) = self.pull else {
            return Ok(());
        };
        let (first_buffered, entries) = {
            let log = self.node.log();
            let next = log.view.next_offset();
            if from >= next {
                return Ok(());
            }
            (log.buffer.first_buffered(next), log.buffer.read(from))
        };
        self.pull = None;
        let answer = EntriesMessage {
            first_buffered: first_buffered.number(),
            entries: entries.iter().map(EntryMessage::new).collect(),
        };
        self.send(PeerBody::Entries(answer)).await
    }

    fn handle_entries(&mut self, message: EntriesMessage) {
        let first_buffered = LogOffset::new(message.first_buffered);
        for entry in message.entries {
            if let Some(raw) = entry.into_entry() {
                self.node.apply_raw(raw);
            }
        }
        if let Some(link) = lock(&self.node.state.links).link_mut(&self.peer) {
            link.pulled_at = None;
        }
        if first_buffered > self.node.progress().next {
            self.node.pull_snapshot();
            return;
        }
        self.node.pull(&self.peer);
    }

    async fn send_snapshot(&mut self) -> Result<(), LinkError> {
        let writer = {
            let log = self.node.log();
            CheckpointWriter::new(LogOffset::START, &log.view, PART_SIZE)
        };
        let Some(mut writer) = writer else {
            return Ok(());
        };
        while let Some(part) = writer.next_part() {
            let payload = serde_json::to_string(&part)
                .map_err(|error| LinkError::Frame(error.to_string()))?;
            self.send(PeerBody::SnapshotPart(SnapshotPartMessage { payload }))
                .await?;
        }
        Ok(())
    }

    fn handle_snapshot_part(&mut self, message: &SnapshotPartMessage) -> Result<(), LinkError> {
        let part: CheckpointPart = serde_json::from_str(&message.payload)
            .map_err(|error| LinkError::Frame(error.to_string()))?;
        let now = self.node.clock().now();
        self.snapshot.apply(now, part.as_of.next(), &part);
        let newest = self.snapshot.newest().map(|newest| newest.as_of);
        if newest != Some(part.as_of) {
            return Ok(());
        }
        let reader = std::mem::replace(
            &mut self.snapshot,
            bluebell_core::checkpoint::CheckpointReader::with_items(),
        );
        if let Some(snapshot) = reader.into_usable(LogOffset::START) {
            let view = FleetView::with_checkpoint(now, snapshot.as_of, &snapshot.items);
            let replaced = self.node.replace_view(view);
            LogLine::new("snapshot_restored")
                .with("peer", &self.peer)
                .with("as_of", snapshot.as_of)
                .with("taken", replaced)
                .info();
            self.node.pull(&self.peer);
        }
        Ok(())
    }
}

impl NodeHandle {
    /// Whether this node's last direct read of the log is overdue; it may then pull
    /// entries from any peer.
    fn is_log_reading_late(&self) -> bool {
        let max_age = TimeSpan::from_secs(1) + self.settings().read_wait;
        let read_at = self.progress().read_at;
        let now = self.clock().now();
        read_at.is_none_or(|read_at| now.since(read_at) > max_age)
    }

    /// Makes all connections send a heartbeat now.
    pub(crate) fn request_heartbeats(&self) {
        self.state
            .heartbeat_requests
            .send_modify(|heartbeat_requests| *heartbeat_requests += 1);
    }

    /// Sends an urgent record, such as a withdrawal, a quarantine or a drain mark,
    /// to all peers without waiting for the log. The record must be appended to the
    /// log as well.
    pub fn broadcast_urgent_record(&self, record: &LogRecord) {
        let Ok(payload) = serde_json::to_string(record) else {
            return;
        };
        if !lock(&self.state.urgent_records).insert(&payload) {
            return;
        }
        let message = PeerBody::UrgentRecord(UrgentRecordMessage { payload });
        lock(&self.state.links).broadcast(&message, None);
    }

    /// Subscribes to the urgent records received from peers. Withdrawals are not
    /// included: the node applies them itself.
    pub fn subscribe_urgent_records(&self) -> broadcast::Receiver<LogRecord> {
        self.state.urgent_record_events.subscribe()
    }

    fn handle_urgent_record(&self, message: &UrgentRecordMessage, from: &InstanceId) {
        let Ok(record) = serde_json::from_str::<LogRecord>(&message.payload) else {
            return;
        };
        if !lock(&self.state.urgent_records).insert(&message.payload) {
            return;
        }
        lock(&self.state.links).broadcast(&PeerBody::UrgentRecord(message.clone()), Some(from));
        match record {
            LogRecord::Withdraw(withdrawal) => self.apply_peer_withdrawal(&withdrawal, from),
            record => {
                let _ = self.state.urgent_record_events.send(record);
            }
        }
    }

    pub(crate) fn urgent_records_for_new_peer(&self) -> Vec<UrgentRecordMessage> {
        let mut payloads: Vec<String> =
            lock(&self.state.urgent_records).recent().cloned().collect();
        for record in lock(&self.state.withdrawals).records() {
            let record = LogRecord::Withdraw(record.clone());
            payloads.extend(serde_json::to_string(&record));
        }
        payloads.sort_unstable();
        payloads.dedup();
        let message = |payload| UrgentRecordMessage { payload };
        payloads.into_iter().map(message).collect()
    }
}
