//! What a connection does with each kind of frame.

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
    handle::{NodeHandle, hold},
    peers::{
        link::{LinkError, PeerConnection},
        wire::{
            EntriesMessage, EntryMessage, HeartbeatMessage, ItemMessage, PeerBody,
            SnapshotPartMessage, UrgentRecordMessage,
        },
    },
};

/// Bytes of news that one process sends, and takes, in a second over all its
/// connections.
const NEWS_BYTES: usize = 500;

/// The fewest bytes that news is sent for: with many connections, a heartbeat
/// without any goes between.
const MIN_NEWS: usize = 64;

/// The most bytes of news in one heartbeat.
const MAX_NEWS: usize = 400;

impl PeerConnection {
    /// Takes a frame.
    pub(crate) async fn take(&mut self, body: PeerBody) -> Result<(), LinkError> {
        match body {
            PeerBody::Hello(_) => Err(LinkError::Frame("a second greeting".to_string())),
            PeerBody::Heartbeat(heartbeat) => {
                self.take_heartbeat(heartbeat);
                Ok(())
            }
            PeerBody::Pull(pull) => {
                self.pull = Some(LogOffset::new(pull.from));
                self.answer_pull().await
            }
            PeerBody::Entries(entries) => {
                self.take_entries(entries);
                Ok(())
            }
            PeerBody::UrgentRecord(note) => {
                self.node.take_note(&note, &self.peer);
                Ok(())
            }
            PeerBody::SnapshotPull(_) => self.send_snapshot().await,
            PeerBody::SnapshotPart(part) => self.take_snapshot_part(&part),
        }
    }

    pub(crate) async fn send_heartbeat(&mut self) -> Result<(), LinkError> {
        let own = self.node.settings().instance.clone();
        let share = NEWS_BYTES / hold(&self.node.state.links).len().max(1);
        let items = self.news(&own, share);
        let now = self.node.clock().now();
        let progress = self.node.progress();
        let heartbeat = HeartbeatMessage {
            stamp: now.since(self.node.state.started).as_millis(),
            echo: self.echo,
            next_offset: progress.next.number(),
            freshness: self.node.freshness().map(TimeSpan::as_millis),
            caught_up: progress.caught_up,
            items,
            update_budget: Some(share as u64),
        };
        self.send(PeerBody::Heartbeat(heartbeat)).await
    }

    /// The news to send now: what this process may send over one connection and
    /// its peer takes, saved up until it is worth sending.
    fn news(&mut self, own: &InstanceId, share: usize) -> Vec<ItemMessage> {
        self.credit = (self.credit + share.min(self.peer_share)).min(MAX_NEWS);
        if self.credit < MIN_NEWS {
            return Vec::new();
        }
        let items = self.node.members().heartbeat_items(&self.peer, self.credit);
        let items: Vec<ItemMessage> = items
            .iter()
            .map(|item| ItemMessage::new(own, item))
            .collect();
        let bytes: usize = items.iter().map(Message::encoded_len).sum();
        self.credit = self.credit.saturating_sub(bytes);
        items
    }

    fn take_heartbeat(&mut self, heartbeat: HeartbeatMessage) {
        self.echo = Some(heartbeat.stamp);
        if let Some(share) = heartbeat.update_budget {
            self.peer_share = share as usize;
        }
        let next = LogOffset::new(heartbeat.next_offset);
        let now = self.node.clock().now();
        if let Some(link) = hold(&self.node.state.links).link_mut(&self.peer) {
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
        // Without the log, a peer that is ahead is the only way to learn more.
        if next > self.node.progress().next && self.node.reads_late() {
            self.node.pull(&self.peer);
        }
    }

    pub(crate) async fn answer_pull(&mut self) -> Result<(), LinkError> {
        let Some(from) = self.pull else {
            return Ok(());
        };
        let (first_held, entries) = {
            let log = self.node.log();
            let next = log.view.next_offset();
            if from >= next {
                return Ok(());
            }
            (log.buffer.first_held(next), log.buffer.read(from))
        };
        self.pull = None;
        let answer = EntriesMessage {
            first_held: first_held.number(),
            entries: entries.iter().map(EntryMessage::new).collect(),
        };
        self.send(PeerBody::Entries(answer)).await
    }

    fn take_entries(&mut self, message: EntriesMessage) {
        let first_held = LogOffset::new(message.first_held);
        for entry in message.entries {
            if let Some(raw) = entry.into_entry() {
                self.node.apply_raw(raw);
            }
        }
        if let Some(link) = hold(&self.node.state.links).link_mut(&self.peer) {
            link.pulled_at = None;
        }
        if first_held > self.node.progress().next {
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

    fn take_snapshot_part(&mut self, message: &SnapshotPartMessage) -> Result<(), LinkError> {
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
            let taken = self.node.replace_view(view);
            LogLine::new("snapshot_restored")
                .with("peer", &self.peer)
                .with("as_of", snapshot.as_of)
                .with("taken", taken)
                .info();
            self.node.pull(&self.peer);
        }
        Ok(())
    }
}

impl NodeHandle {
    /// Whether this node's own reading of the log does not keep up: it may then
    /// take entries from any peer.
    fn reads_late(&self) -> bool {
        let slack = TimeSpan::from_secs(1) + self.settings().read_wait;
        let read_at = self.progress().read_at;
        let now = self.clock().now();
        read_at.is_none_or(|read_at| now.since(read_at) > slack)
    }

    /// Makes all connections send a heartbeat now.
    pub(crate) fn beat_now(&self) {
        self.state.beats.send_modify(|beats| *beats += 1);
    }

    /// Tells all peers a record that can't wait for the log: a withdrawal, a
    /// quarantine, a mark. It is no substitute for appending it.
    pub fn broadcast_urgent_record(&self, record: &LogRecord) {
        let Ok(payload) = serde_json::to_string(record) else {
            return;
        };
        if !hold(&self.state.notes).take(&payload) {
            return;
        }
        let note = PeerBody::UrgentRecord(UrgentRecordMessage { payload });
        hold(&self.state.links).broadcast(&note, None);
    }

    /// Records that peers told before they stood in the log. Withdrawals are
    /// not among them: they have taken effect already.
    pub fn subscribe_urgent_records(&self) -> broadcast::Receiver<LogRecord> {
        self.state.note_events.subscribe()
    }

    fn take_note(&self, note: &UrgentRecordMessage, from: &InstanceId) {
        let Ok(record) = serde_json::from_str::<LogRecord>(&note.payload) else {
            return;
        };
        if !hold(&self.state.notes).take(&note.payload) {
            return;
        }
        hold(&self.state.links).broadcast(&PeerBody::UrgentRecord(note.clone()), Some(from));
        match record {
            LogRecord::Withdraw(withdrawal) => self.take_peer_withdrawal(&withdrawal, from),
            record => {
                let _ = self.state.note_events.send(record);
            }
        }
    }

    pub(crate) fn notes_for_new_peer(&self) -> Vec<UrgentRecordMessage> {
        let mut payloads: Vec<String> = hold(&self.state.notes).recent().cloned().collect();
        for record in hold(&self.state.withdrawals).records() {
            let record = LogRecord::Withdraw(record.clone());
            payloads.extend(serde_json::to_string(&record));
        }
        payloads.sort_unstable();
        payloads.dedup();
        let note = |payload| UrgentRecordMessage { payload };
        payloads.into_iter().map(note).collect()
    }
}
