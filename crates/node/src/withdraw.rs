//! Key withdrawals that take effect without waiting for the log.
//!
//! A withdrawal is monotone: applying it early or twice does no harm. It therefore
//! takes effect at once on the instance that receives the operator's command, is
//! forwarded to all peers, and is appended repeatedly until it is in the log. Peers
//! append it as well, later: the instance that received it first may fail before
//! the log is available again.

use std::collections::BTreeMap;

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{InstanceId, KeyDigest},
    records::{LogRecord, WithdrawRecord},
};
use bluebell_daemon::logs::LogLine;
use tokio_util::sync::CancellationToken;

use crate::handle::{NodeHandle, lock};

/// The time between two rounds of appending pending withdrawals.
const APPEND_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// How long a withdrawal received from a peer waits before this node appends it as
/// well; the sending peer usually has appended it by then.
const PEER_APPEND_DELAY: TimeSpan = TimeSpan::from_secs(10);

#[derive(Clone, Debug)]
struct PendingWithdrawal {
    record: WithdrawRecord,
    due: ClockTime,
}

/// Withdrawals that are in force here but not yet seen in the log.
#[derive(Clone, Debug, Default)]
pub struct PendingWithdrawals {
    pending: BTreeMap<KeyDigest, PendingWithdrawal>,
}

impl PendingWithdrawals {
    /// Creates an empty set.
    pub fn new() -> PendingWithdrawals {
        PendingWithdrawals::default()
    }

    fn add(&mut self, record: &WithdrawRecord, due: ClockTime) {
        let pending = PendingWithdrawal {
            record: record.clone(),
            due,
        };
        let digest = record.digest.clone();
        self.pending.entry(digest).or_insert(pending);
    }

    /// Removes a withdrawal that has been applied from the log.
    pub fn settle(&mut self, digest: &KeyDigest) {
        self.pending.remove(digest);
    }

    fn due(&self, now: ClockTime) -> Vec<WithdrawRecord> {
        let due = self.pending.values().filter(|pending| pending.due <= now);
        due.map(|pending| pending.record.clone()).collect()
    }

    /// All pending withdrawals.
    pub fn records(&self) -> impl Iterator<Item = &WithdrawRecord> {
        self.pending.values().map(|pending| &pending.record)
    }
}

impl NodeHandle {
    /// Applies a withdrawal requested by an operator: it is in force on this
    /// instance when this returns, is sent to peers at once, and is appended until
    /// it is in the log.
    pub fn withdraw(&self, withdrawal: &WithdrawRecord) {
        let now = self.state.clock.now();
        self.apply_withdrawal(withdrawal, now);
        self.broadcast_urgent_record(&LogRecord::Withdraw(withdrawal.clone()));
    }

    /// Applies a withdrawal received from the peer `from`.
    pub(crate) fn apply_peer_withdrawal(&self, withdrawal: &WithdrawRecord, from: &InstanceId) {
        let now = self.state.clock.now();
        LogLine::new("key_withdrawn_by_peer")
            .with("digest", withdrawal.digest.short())
            .with("peer", from)
            .info();
        self.apply_withdrawal(withdrawal, now + PEER_APPEND_DELAY);
    }

    fn apply_withdrawal(&self, withdrawal: &WithdrawRecord, due: ClockTime) {
        lock(&self.state.withdrawals).add(withdrawal, due);
        let events = self.log().view.withdraw(withdrawal);
        self.publish_events(events);
    }
}

/// Appends pending withdrawals until each is in the log, or `token` is cancelled.
pub async fn run(node: NodeHandle, token: CancellationToken) {
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            () = tokio::time::sleep(APPEND_INTERVAL.as_duration()) => {}
        }
        let now = node.clock().now();
        let due = lock(&node.state.withdrawals).due(now);
        for record in due {
            let digest = record.digest.clone();
            match node.append(LogRecord::Withdraw(record)).await {
                Ok(offset) => LogLine::new("withdrawal_appended")
                    .with("digest", digest.short())
                    .with("offset", offset)
                    .info(),
                Err(error) => LogLine::new("withdrawal_pending")
                    .with("digest", digest.short())
                    .with("error", error)
                    .warn(),
            }
        }
    }
}
