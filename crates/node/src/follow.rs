//! Follows the log, read from the platform or relayed by a peer that reads it.
//!
//! A few instances per failure domain read the log directly (see
//! [`bluebell_core::membership::LinkPlan`]); the others pull the entries from one
//! of these readers. A follower reads directly, too, while it has no such peer,
//! while the end of the log was last confirmed too long ago, and while a caller
//! waits for an entry that has not arrived. The relay only saves reads;
//! correctness does not depend on it.

use std::sync::atomic::Ordering;

use bluebell_core::{
    clock::TimeSpan,
    ids::{InstanceId, LogOffset},
    records::{LogEntry, LogRecord},
};
use bluebell_daemon::logs::LogLine;
use bluebell_platform::{
    PlatformClient, PlatformError,
    api::{RawEntry, ReadAnswer},
};
use tokio_util::sync::CancellationToken;

use crate::{
    handle::{NodeHandle, lock},
    peers::wire::{PeerBody, PullMessage, SnapshotPullMessage},
    restore,
};

/// Maximum number of entries of one read.
pub(crate) const MAX_READ_ENTRIES: usize = 500;

/// The delay after a failed read.
const READ_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(200);

/// The maximum age of a follower's last confirmation of the log's end before it
/// reads the log itself. A working relay takes up to two heartbeats and a long
/// poll, which stay below this limit.
const MAX_RELAY_AGE: TimeSpan = TimeSpan::from_secs(3);

/// How often a follower checks whether its relay is still usable.
const RELAY_CHECK_INTERVAL: TimeSpan = TimeSpan::from_millis(250);

/// The time after which an unanswered request for entries is sent again.
const PULL_RETRY_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// How long a new process waits for peers to connect before it treats the
/// greatest offset among the connected peers as the end of the log.
const PEER_DISCOVERY_TIME: TimeSpan = TimeSpan::from_secs(2);

/// Follows the log until `token` is cancelled.
pub async fn run(node: NodeHandle, client: PlatformClient, token: CancellationToken) {
    let follow = async {
        loop {
            match node.upstream() {
                Some(upstream) => follow_peer(&node, &upstream).await,
                None => read_platform(&node, &client).await,
            }
        }
    };
    tokio::select! {
        () = token.cancelled() => {}
        () = follow => {}
    }
}

async fn follow_peer(node: &NodeHandle, upstream: &InstanceId) {
    node.pull(upstream);
    let mut requested_offset = node.state.requested_offset.subscribe();
    let mut plan = node.state.plan.subscribe();
    tokio::select! {
        _ = requested_offset.changed() => {}
        _ = plan.changed() => {}
        () = tokio::time::sleep(RELAY_CHECK_INTERVAL.as_duration()) => {}
    }
}

async fn read_platform(node: &NodeHandle, client: &PlatformClient) {
    let from = node.progress().next;
    let requested_at = node.clock().now();
    node.state.log_reads.fetch_add(1, Ordering::Relaxed);
    match client
        .read(from, MAX_READ_ENTRIES, node.settings().read_wait)
        .await
    {
        Ok(answer) if answer.first_kept > node.progress().next => {
            restore::restore(node, client, answer.first_kept).await;
        }
        Ok(answer) => {
            let end = answer.end;
            apply_answer(node, answer);
            node.note_read(requested_at, end);
        }
        Err(error) => {
            note_failure(node, &error);
            tokio::time::sleep(READ_RETRY_DELAY.as_duration()).await;
        }
    }
}

pub(crate) fn note_failure(node: &NodeHandle, error: &PlatformError) {
    LogLine::new("log_read_failed").with("error", error).debug();
    node.pull_from_most_advanced_peer();
    node.check_caught_up_with_peers();
    let ready = node.has_caught_up_peer();
    node.note_obstacle(match ready {
        true => format!("the log can't be read ({error}); catching up with peers"),
        false => format!("the log can't be read ({error}) and no peer that is ready is connected"),
    });
}

fn apply_answer(node: &NodeHandle, answer: ReadAnswer) {
    for raw in answer.entries {
        node.apply_raw(raw);
    }
}

impl NodeHandle {
    /// The peer to pull the log from, if the relay may be used now.
    fn upstream(&self) -> Option<InstanceId> {
        let plan = self.state.plan.borrow().clone();
        let progress = self.progress();
        let requested_offset = *self.state.requested_offset.borrow();
        if plan.is_reader || !progress.caught_up || requested_offset > progress.next {
            return None;
        }
        if self.freshness().is_none_or(|age| age > MAX_RELAY_AGE) {
            return None;
        }
        let links = lock(&self.state.links);
        let serves = |reader: &&InstanceId| links.link(reader).is_some_and(|l| l.caught_up);
        plan.readers.iter().find(serves).cloned()
    }

    /// Requests entries from `peer`, unless a request was sent within
    /// [`PULL_RETRY_INTERVAL`].
    pub(crate) fn pull(&self, peer: &InstanceId) {
        let now = self.state.clock.now();
        let mut links = lock(&self.state.links);
        let Some(link) = links.link_mut(peer) else {
            return;
        };
        if link
            .pulled_at
            .is_some_and(|at| now.since(at) < PULL_RETRY_INTERVAL)
        {
            return;
        }
        link.pulled_at = Some(now);
        let from = self.progress().next.number();
        links.send(peer, PeerBody::Pull(PullMessage { from }));
    }

    /// Requests entries from the peer that has applied most of the log, if it is
    /// ahead of this node.
    pub(crate) fn pull_from_most_advanced_peer(&self) {
        if let Some((peer, next)) = self.most_advanced_peer()
            && next > self.progress().next
        {
            self.pull(&peer);
        }
    }

    fn most_advanced_peer(&self) -> Option<(InstanceId, LogOffset)> {
        let links = lock(&self.state.links);
        let offsets = links
            .links()
            .filter_map(|(peer, link)| Some((peer.clone(), link.next_offset?)));
        offsets.max_by_key(|(_, next)| *next)
    }

    /// Requests a snapshot of the state from the peer that has applied most of the
    /// log, if it is ahead of this node; returns whether a request was queued.
    pub(crate) fn pull_snapshot(&self) -> bool {
        let Some((peer, next)) = self.most_advanced_peer() else {
            return false;
        };
        let body = PeerBody::SnapshotPull(SnapshotPullMessage {});
        next > self.progress().next && lock(&self.state.links).send(&peer, body)
    }

    pub(crate) fn has_caught_up_peer(&self) -> bool {
        let links = lock(&self.state.links);
        links.links().any(|(_, link)| link.caught_up)
    }

    /// Used while the log can't be read: marks this node as caught up once it has
    /// reached the greatest offset among the connected peers, if at least one of
    /// them has caught up itself. Without such a peer a new process must not serve:
    /// it has no record of withdrawn keys or of idempotency keys already in use.
    pub(crate) fn check_caught_up_with_peers(&self) {
        let gathered = self.state.clock.now().since(self.state.started) >= PEER_DISCOVERY_TIME;
        if !gathered || !self.has_caught_up_peer() {
            return;
        }
        let reached = self
            .most_advanced_peer()
            .is_some_and(|(_, next)| next <= self.progress().next);
        if reached {
            self.note_caught_up();
        }
    }
}

/// Decodes an entry. An entry whose record this version can't parse becomes an
/// empty publish, so that all instances skip it in the same way.
pub fn decode(raw: &RawEntry) -> LogEntry {
    let record = serde_json::from_str(&raw.payload).unwrap_or_else(|error| {
        LogLine::new("log_entry_unreadable")
            .with("offset", raw.offset)
            .with("error", error)
            .warn();
        let publisher = raw.writer.to_string();
        LogRecord::Publish(bluebell_core::records::PublishRecord {
            publisher,
            changes: Vec::new(),
        })
    });
    LogEntry {
        offset: raw.offset,
        writer: raw.writer.clone(),
        sequence: raw.sequence,
        record,
    }
}

/// Encodes an entry in the form in which the platform stores it.
pub fn encode(entry: &LogEntry) -> RawEntry {
    RawEntry {
        offset: entry.offset,
        writer: entry.writer.clone(),
        sequence: entry.sequence,
        payload: serde_json::to_string(&entry.record).unwrap_or_default(),
    }
}
